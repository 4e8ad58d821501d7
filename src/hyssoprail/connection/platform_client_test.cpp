#include "hyssoprail/connection/platform_client.hpp"

#include <atomic>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "hyssoprail/connection/base64.hpp"
#include "hyssoprail/testing/http_fixture.hpp"

namespace hyssoprail {
namespace {

/// A platform that always sends the same response, or closes the connection if
/// Status is 0.
struct FixedPlatform {
  FixedPlatform(unsigned Status, const std::string &Body)
      : Server([Status, Body](const auto &Exchange) {
          if (Status == 0)
            Exchange->abort();
          else
            Exchange->respond(jsonResponse(Status, Body));
        }) {
    REQUIRE(Server.start());
  }

  template <typename T, typename F> Result<T> await(F Start) {
    std::promise<Result<T>> Done;
    boost::asio::post(Client.context(), [&] {
      PlatformClient Platform(Client.client(), Server.authority());
      Start(Platform, [&](Result<T> R) { Done.set_value(std::move(R)); });
    });
    return Done.get_future().get();
  }

  Result<std::uint64_t> append() {
    return await<std::uint64_t>(
        [](auto &P, auto OnDone) { P.append("x", OnDone); });
  }

  Result<LogBatch> read() {
    return await<LogBatch>([](auto &P, auto OnDone) {
      P.read(3, 10, std::chrono::milliseconds(0), OnDone);
    });
  }

  testing::EmulatorServer Server;
  testing::TestClient Client;
};

template <typename T> ErrorKind kindOf(const Result<T> &R) {
  REQUIRE_FALSE(succeeded(R));
  return errorOf(R)->Kind;
}

} // namespace

// Guards against an append that took effect but is reported as not done.
TEST_CASE("an append without a valid response has an unknown outcome") {
  CHECK(valueOf(FixedPlatform(200, R"({"offset":7})").append()) == 7);
  CHECK(kindOf(FixedPlatform(0, "").append()) == ErrorKind::OutcomeUnknown);
  CHECK(kindOf(FixedPlatform(200, "{").append()) == ErrorKind::OutcomeUnknown);
  CHECK(kindOf(FixedPlatform(503, "{}").append()) == ErrorKind::Unavailable);
}

// Guards against deleted log records that look like an empty read, and against
// malformed responses that are taken for records.
TEST_CASE("reads yield records, expired positions or typed errors") {
  const auto Good = FixedPlatform(200, R"({"first":1,"end":5,"records":[
    {"offset":4,"record":"YWI="},{"offset":5,"record":""}]})")
                        .read();
  REQUIRE(succeeded(Good));
  CHECK(valueOf(Good).NewestOffset == 5);
  REQUIRE(valueOf(Good).Records.size() == 2);
  CHECK(valueOf(Good).Records[0].Data == "ab");
  const auto Expired = FixedPlatform(410, R"({"first":9})").read();
  REQUIRE(succeeded(Expired));
  CHECK(valueOf(Expired).PositionExpired);
  CHECK(valueOf(Expired).OldestOffset == 9);
  for (const char *Bad :
       {"", "[]", "{}", R"({"first":1,"end":1,"records":[{"offset":1}]})",
        R"({"first":1,"end":1,"records":[{"offset":1,"record":"a"}]})",
        R"({"first":"x","end":1,"records":[]})"})
    CHECK(kindOf(FixedPlatform(200, Bad).read()) == ErrorKind::UpstreamFailed);
}

// Guards against records that are altered by the log's base64 encoding.
TEST_CASE("base64 round-trips and rejects invalid input") {
  CHECK(rc::check([](const std::string &Data) {
    RC_ASSERT(decodeBase64(encodeBase64(Data)) == Data);
  }));
  CHECK(encodeBase64("ab") == "YWI=");
  for (const char *Bad : {"a", "abc", "a===", "ab!=", "YW I=", "YWI=\n"})
    CHECK_FALSE(decodeBase64(Bad).has_value());
}

} // namespace hyssoprail
