#include "hyssoprail/gateway/gateway_settings.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace hyssoprail::gateway {
namespace {

using Json = nlohmann::json;

Json document() {
  return {{"name", "entry-0"},
          {"zone", "z1"},
          {"caller_address", "127.0.0.1:1"},
          {"ready_address", "127.0.0.1:2"},
          {"peer_address", "127.0.0.1:3"},
          {"store", "127.0.0.1:4"}};
}

/// The error for the document with \p Value as \p Field.
Error errorWith(const std::string &Field, const Json &Value) {
  Json Document = document();
  Document[Field] = Value;
  const auto Parsed = parseGatewaySettings(Document.dump());
  CAPTURE(Field, Value.dump().substr(0, 40));
  REQUIRE(errorOf(Parsed) != nullptr);
  CHECK(errorOf(Parsed)->Kind == ErrorKind::InvalidSettings);
  CHECK_FALSE(errorOf(Parsed)->Remedy.empty());
  return *errorOf(Parsed);
}

} // namespace

// Guards against times that do not fit into their type: the conversion of a
// large number of seconds is undefined and gave negative times.
TEST_CASE("settings with unusable times are refused") {
  for (const char *Field : {"stop_grace_s", "retry_window_s"}) {
    CHECK(errorWith(Field, 1e300).Field == Field);
    CHECK(errorWith(Field, 1e10).Field == Field);
    Json Valid = document();
    Valid[Field] = 86'400;
    CHECK(succeeded(parseGatewaySettings(Valid.dump())));
  }
}

// Guards against addresses that only look like one: the port of "127.0.0.1:0"
// or "127.0.0.1:99999" was taken as another one, without an error.
TEST_CASE("settings with unusable addresses are refused") {
  for (const char *Field : {"caller_address", "ready_address", "peer_address",
                            "metrics_address", "store"})
    for (const char *Wrong : {"127.0.0.1:0", "127.0.0.1:99999", "1.2.3:80",
                              "999.0.0.1:80", "...:80"}) {
      const Error E = errorWith(Field, Wrong);
      CHECK(E.Field == Field);
      CHECK(E.Message.find(Wrong) != std::string::npos);
    }
}

// Guards against a message that fills the terminal or the log.
TEST_CASE("an error of the settings is short") {
  constexpr std::size_t MaxBytes = 1'000;
  const std::string Long(10'000, 'x');
  CHECK(errorWith(Long, 1).Message.size() < MaxBytes);
  CHECK(errorWith("store", Long).Message.size() < MaxBytes);
  const auto Unfinished = parseGatewaySettings("{\"" + Long);
  CHECK(errorOf(Unfinished)->Message.size() < MaxBytes);
}

// Guards against an error that does not tell which field is meant.
TEST_CASE("an unknown field without a name is named in the error") {
  CHECK(errorWith("", 1).Field == "(unnamed)");
}

} // namespace hyssoprail::gateway
