#include "hyssoprail/standin/platform/platform.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/testing/http_fixture.hpp"

namespace hyssoprail::standin {
namespace {

struct TestPlatform {
  TestPlatform()
      : Server([this](const ExchangePtr &E) { Emulator->handle(E); }) {
    PlatformOptions Options;
    Options.VmLag = std::chrono::milliseconds(30);
    Emulator = std::make_unique<Platform>(Server.context(), Options, 7);
    REQUIRE(Server.start());
  }

  ~TestPlatform() { Server.stop(); }

  Json call(const std::string &Method, const std::string &Target,
            const Json &Body = Json::object()) {
    Last = Client.answer(Server.authority(), Method, Target, Body.dump());
    return parseObject(Last.Body);
  }

  testing::EmulatorServer Server;
  std::unique_ptr<Platform> Emulator;
  testing::TestClient Client;
  HttpResponse Last;
};

} // namespace

// Guards against wrong offsets and against a long poll that misses an append.
TEST_CASE("appended records are read in order and end a long poll") {
  TestPlatform P;
  CHECK(P.call("GET", "/log/read?after=0")["end"] == 0);
  HttpCall Poll;
  Poll.Authority = P.Server.authority();
  Poll.Request = {"GET", "/log/read?after=0&max=10&wait_ms=20000", {}, ""};
  auto Pending = P.Client.begin(Poll);
  CHECK(P.call("POST", "/log/append", {{"record", "YQ=="}})["offset"] == 1);
  const Json Read = parseObject(valueOf(Pending.get()).Body);
  CHECK(Read["records"][0]["record"] == "YQ==");
  CHECK(Read["end"] == 1);
}

// Guards against readers that take a shortened log for a complete one.
TEST_CASE("retention drops old records and readers get 410") {
  TestPlatform P;
  for (int I = 0; I < 5; ++I)
    P.call("POST", "/log/append", {{"record", "YQ=="}});
  P.call("POST", "/faults", {{"retention_records", 2}});
  CHECK(P.call("GET", "/log/read?after=1")["first"] == 4);
  CHECK(P.Last.Status == 410);
  CHECK(P.call("GET", "/log/read?after=3")["records"].size() == 2);
}

// Guards against a lost answer whose append did not take effect.
TEST_CASE("an append whose answer is lost has taken effect") {
  TestPlatform P;
  P.call("POST", "/faults", {{"lose_answers", 1.0}});
  P.call("POST", "/log/append", {{"record", "YQ=="}});
  CHECK(P.Last.Status == 0);
  CHECK(P.call("GET", "/log/read?after=0")["end"] == 1);
  P.call("POST", "/faults", {{"down", true}});
  P.call("GET", "/log/read?after=0");
  CHECK(P.Last.Status == 503);
}

// Guards against a VM list without lag, which would hide stale entries.
TEST_CASE("the VM list shows changes after its lag") {
  TestPlatform P;
  P.call("PUT", "/vms/a", {{"zone", "z"}, {"leaving", false}});
  CHECK(testing::waitUntil(
      [&] { return P.call("GET", "/vms")["vms"].size() == 1; }));
  P.call("DELETE", "/vms/a");
  CHECK(
      testing::waitUntil([&] { return P.call("GET", "/vms")["vms"].empty(); }));
}

} // namespace hyssoprail::standin
