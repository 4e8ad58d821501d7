#include "hyssoprail/gateway/handler_guard.hpp"

#include <array>
#include <stdexcept>

#include <catch2/catch.hpp>
#include <unistd.h>

namespace hyssoprail::gateway {

// Guards against an error in the log that tells neither where it was caught nor
// which request it concerns.
TEST_CASE("an exception is logged with its boundary and request, and counted") {
  std::array<int, 2> Pipe{};
  REQUIRE(::pipe(Pipe.data()) == 0);
  const ManualClock Time;
  DecisionLog Log(Pipe[1], "entry-1", Time);
  HandlerGuard Guard(Log);
  CHECK(Guard.run(Boundary::Timer, "r1", [] {}));
  CHECK_FALSE(Guard.run(Boundary::Timer, "r\xfc",
                        [] { throw std::runtime_error("odd"); }));
  CHECK_FALSE(Guard.run(Boundary::Peer, "", [] { throw 1; }));
  ::close(Pipe[1]);
  std::string Lines;
  std::array<char, 1'024> Data{};
  for (ssize_t Size = 0;
       (Size = ::read(Pipe[0], Data.data(), Data.size())) > 0;)
    Lines.append(Data.data(), static_cast<std::size_t>(Size));
  ::close(Pipe[0]);
  CHECK(Lines.find(R"("request":"r\\xfc")") != std::string::npos);
  CHECK(Lines.find(R"("boundary":"timer","why":"odd")") != std::string::npos);
  CHECK(Lines.find(R"("boundary":"peer")") != std::string::npos);
  CHECK(Guard.errors(Boundary::Timer) == 1);
  Metrics Counters;
  Guard.exportTo(Counters);
  CHECK(Counters.prometheusText().find(
            R"(unexpected_errors{boundary="peer"} 1)") != std::string::npos);
}

} // namespace hyssoprail::gateway
