#include "hyssoprail/gateway/loop_lag.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail::gateway {
namespace {

constexpr milliseconds TickInterval{50};

/// A clock that stands still, and a timer that is handled late.
struct LateTimer {
  void tick(milliseconds Late) {
    const TimePoint DueAt = Time.now() + TickInterval;
    Time.advance(TickInterval + Late);
    Lag.record(DueAt, Time.now());
  }

  ManualClock Time;
  LoopLag Lag;
};

} // namespace

// Guards against a delay of this process that its log and metrics do not show.
TEST_CASE("the lag of the event loop is its latest timer") {
  LateTimer T;
  T.tick(milliseconds(3));
  CHECK(T.Lag.recent(T.Time.now()) == milliseconds(3));
  CHECK_FALSE(T.Lag.takeReport(T.Time.now()));
  T.tick(milliseconds(700));
  T.tick(milliseconds(2));
  CHECK(T.Lag.recent(T.Time.now()) == milliseconds(700));
  CHECK(T.Lag.takeReport(T.Time.now()) == milliseconds(700));
}

// Guards against a log line for each late timer.
TEST_CASE("the lag of the event loop is reported once a second") {
  LateTimer T;
  unsigned Reports = 0;
  for (int I = 0; I < 40; ++I) { // 12 s
    T.tick(milliseconds(250));
    Reports += T.Lag.takeReport(T.Time.now()) ? 1 : 0;
  }
  CHECK(Reports >= 9);
  CHECK(Reports <= 12);
}

// Guards against a lag that outlasts its cause.
TEST_CASE("a lag of the event loop is forgotten") {
  LateTimer T;
  T.tick(milliseconds(900));
  for (int I = 0; I < 50; ++I)
    T.tick(milliseconds(0));
  CHECK(T.Lag.recent(T.Time.now()) == Duration{});
}

} // namespace hyssoprail::gateway
