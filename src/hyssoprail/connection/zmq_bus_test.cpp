#include <atomic>
#include <memory>
#include <utility>

#include <catch2/catch.hpp>
#include <sys/resource.h>

#include "hyssoprail/connection/bus.hpp"
#include "hyssoprail/testing/http_fixture.hpp"

namespace hyssoprail {
namespace {

/// Raises the limit of open files to the hard limit.
void raiseFileLimit() {
  rlimit Limit{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &Limit) == 0);
  Limit.rlim_cur = Limit.rlim_max;
  REQUIRE(setrlimit(RLIMIT_NOFILE, &Limit) == 0);
}

std::unique_ptr<Bus> startedBus(const BusOptions &Options, const Clock &Time,
                                Bus::Handler OnMessage) {
  auto Out = makeZmqBus(Options, Time);
  const Status Started = Out->start(std::move(OnMessage));
  REQUIRE(succeeded(Started));
  return Out;
}

} // namespace

// Guards against a second process that seems to listen on an address in use.
TEST_CASE("binding an address in use fails with a typed error") {
  SteadyClock Time;
  const auto First =
      startedBus({"a", 1, "tcp://127.0.0.1:*"}, Time, [](auto &, auto) {});
  const auto Second = makeZmqBus({"b", 2, First->boundAddress()}, Time);
  const Status Bound = Second->start([](auto &, auto) {});
  REQUIRE_FALSE(succeeded(Bound));
  CHECK(errorOf(Bound)->Kind == ErrorKind::Unavailable);
  CHECK(errorOf(Bound)->Field == "peer_address");
}

// Guards against ZeroMQ's default limit of 1,023 sockets: links beyond it were
// never opened, and only a log line reported it.
TEST_CASE("a bus opens more than a thousand links") {
  constexpr unsigned Count = 1'100;
  raiseFileLimit();
  SteadyClock Time;
  std::atomic<unsigned> Received{0};
  const auto Server =
      startedBus({"server", 1, "tcp://127.0.0.1:*"}, Time,
                 [&](const BusSource &, const auto &) { ++Received; });
  const auto Opener = startedBus({"opener", 2, ""}, Time, [](auto &, auto) {});
  for (unsigned I = 0; I < Count; ++I)
    Opener->send(Opener->openLink(Server->boundAddress()), wire::Envelope());
  CHECK(testing::waitUntil([&] { return Received == Count; },
                           std::chrono::seconds(30)));
}

} // namespace hyssoprail
