#include "hyssoprail/process/settings.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace hyssoprail {
namespace {

using Json = nlohmann::json;

Json entryDocument() {
  return {{"name", "entry1"},
          {"vm", "vm1"},
          {"zone", "a"},
          {"address", "127.0.0.1"},
          {"platform", "127.0.0.1:9000"},
          {"key_secret", "0123456789abcdef"},
          {"operator_token_digest", std::string(64, 'a')}};
}

Json agentDocument() {
  return {{"name", "agent1"},  {"vm", "vm1"},
          {"zone", "a"},       {"address", "127.0.0.1"},
          {"endpoint", "d1"},  {"engine", "127.0.0.1:9100"},
          {"kind", "service"}, {"lease_ms", 1500}};
}

Error entryError(const Json &Document, const SettingOverrides &Overrides = {}) {
  const auto Parsed = parseEntrySettings(Document.dump(), Overrides);
  REQUIRE(errorOf(Parsed) != nullptr);
  CHECK(errorOf(Parsed)->Kind == ErrorKind::InvalidSettings);
  CHECK_FALSE(errorOf(Parsed)->Remedy.empty());
  return *errorOf(Parsed);
}

} // namespace

// Guards against fields that are read into the wrong member or lose their
// default.
TEST_CASE("valid settings are read with their defaults") {
  Json Document = entryDocument();
  Document["policy"] = {{"limits", "fixed"}};
  Document["entries"] = {"tcp://127.0.0.1:7001"};
  Document["heartbeat_ms"] = 100;
  const auto Parsed = parseEntrySettings(Document.dump());
  REQUIRE(succeeded(Parsed));
  const EntrySettings &S = valueOf(Parsed);
  CHECK(S.Process.Name == "entry1");
  CHECK(S.Process.PeerAddress == "tcp://127.0.0.1:0");
  CHECK(S.Limits == LimitsPolicy::Fixed);
  CHECK(S.Scheduling == SchedulingPolicy::Early);
  CHECK(S.HeartbeatInterval == std::chrono::milliseconds(100));
  CHECK(S.OutageGrace == std::chrono::milliseconds(120'000));
  CHECK(S.Entries.size() == 1);
  const auto Agent = parseAgentSettings(agentDocument().dump());
  REQUIRE(succeeded(Agent));
  CHECK(valueOf(Agent).Kind == EndpointKind::Service);
  CHECK(valueOf(Agent).Lease == std::chrono::milliseconds(1500));
}

// Guards against a process that starts although a misspelt or misplaced setting
// has no effect.
TEST_CASE("the error of an unknown or missing field names its path") {
  Json Document = entryDocument();
  Document["policy"] = {{"schedulling", "early"}};
  const Error UnknownField = entryError(Document);
  CHECK(UnknownField.Field == "policy.schedulling");
  CHECK(UnknownField.Message.find("\"early\"") != std::string::npos);
  CHECK(UnknownField.Remedy.find("scheduling") != std::string::npos);
  Document = entryDocument();
  Document.erase("platform");
  CHECK(entryError(Document).Field == "platform");
  Document = agentDocument();
  Document["platform"] = "127.0.0.1:1";
  const auto Agent = parseAgentSettings(Document.dump());
  REQUIRE(errorOf(Agent) != nullptr);
  CHECK(errorOf(Agent)->Field == "platform");
}

// Guards against values of the wrong type or outside their range that are
// accepted.
TEST_CASE("the error of an invalid value names path, value and remedy") {
  const auto ErrorWith = [](const char *Pointer, Json Value) {
    Json Document = entryDocument();
    Document[Json::json_pointer(Pointer)] = std::move(Value);
    return entryError(Document);
  };
  CHECK(ErrorWith("/http_port", "80").Field == "http_port");
  const Error OutOfRange = ErrorWith("/http_port", 70000);
  CHECK(OutOfRange.Message.find("70000") != std::string::npos);
  CHECK(OutOfRange.Remedy.find("65535") != std::string::npos);
  CHECK(ErrorWith("/threads", 1.5).Field == "threads");
  CHECK(ErrorWith("/log", {{"level", "loud"}}).Field == "log.level");
  CHECK(ErrorWith("/entries", {"tcp://127.0.0.1:1", 7}).Field == "entries.1");
  CHECK(ErrorWith("/address", "1.2.3").Field == "address");
  CHECK(ErrorWith("/suspect_ms", 300).Field == "suspect_ms");
  CHECK(ErrorWith("/policy", 3).Field == "policy");
  CHECK(ErrorWith("/outage_grace_ms", 120'001).Field == "outage_grace_ms");
}

// Guards against secrets in the error output of a process that fails to start.
TEST_CASE("error messages do not show secrets") {
  Json Document = entryDocument();
  Document["key_secret"] = "short";
  const Error E = entryError(Document);
  CHECK(E.Field == "key_secret");
  CHECK(E.Message.find("short") == std::string::npos);
}

// Guards against accepting text that is not JSON or not an object.
TEST_CASE("documents other than JSON objects are rejected") {
  CHECK(errorOf(parseEntrySettings("{\"name\":")) != nullptr);
  CHECK(errorOf(parseEntrySettings("[]")) != nullptr);
  CHECK(errorOf(parseEntrySettings("")) != nullptr);
}

// Guards against overrides that are lost or not validated.
TEST_CASE("overrides are applied before validation") {
  const auto Parsed = parseEntrySettings(
      entryDocument().dump(),
      {{"policy.placement", "\"least_loaded\""}, {"http_port", "8080"}});
  REQUIRE(succeeded(Parsed));
  CHECK(valueOf(Parsed).Placement == PlacementPolicy::LeastLoaded);
  CHECK(valueOf(Parsed).Process.HttpPort == 8080);
  CHECK(entryError(entryDocument(), {{"http_port", "-1"}}).Field ==
        "http_port");
}

} // namespace hyssoprail
