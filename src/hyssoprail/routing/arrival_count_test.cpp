#include "hyssoprail/routing/arrival_count.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail::routing {
namespace {

constexpr TimePoint Now{std::chrono::seconds(100)};

/// Budget of \p Sends further sends.
RetryWindow budget(double Sends) {
  return RetryWindow({.Ratio = 0, .Slack = Sends / 0.8 + 0.01});
}

} // namespace

TEST_CASE("a prefill and a decode draw nothing on the retry budget") {
  RetryWindow Retries = budget(0);
  ArrivalCount Count(Retries, "s");
  CHECK(Count.begin(LegKind::Prefill, Now));
  CHECK(Count.begin(LegKind::Decode, Now));
  CHECK_FALSE(Count.begin(LegKind::Decode, Now));
}

// Guards against a budget that is exceeded when addresses have changed owners:
// the decode after a refused prefill is a second arrival.
TEST_CASE("a refused prefill counts as an arrival") {
  RetryWindow Retries = budget(1);
  ArrivalCount Count(Retries, "s");
  CHECK(Count.begin(LegKind::Prefill, Now));
  Count.notAccepted(Now);
  CHECK(Count.begin(LegKind::Decode, Now));
  CHECK_FALSE(Retries.available("s", Now));
}

TEST_CASE("two refused prefills and a decode are two further arrivals") {
  RetryWindow Retries = budget(2);
  ArrivalCount Count(Retries, "s");
  CHECK(Count.begin(LegKind::Prefill, Now));
  Count.notAccepted(Now);
  CHECK(Count.begin(LegKind::Prefill, Now));
  Count.notAccepted(Now);
  CHECK(Count.begin(LegKind::Decode, Now));
  CHECK_FALSE(Retries.available("s", Now));
}

// Guards against a prompt that is read although the send which needs it cannot
// follow.
TEST_CASE("no prefill begins without budget for its decode") {
  RetryWindow Retries = budget(0);
  ArrivalCount Count(Retries, "s");
  CHECK(Count.begin(LegKind::Prefill, Now));
  Count.notAccepted(Now);
  CHECK_FALSE(Count.begin(LegKind::Prefill, Now));
}

// Guards against a decode that cannot follow: without budget, an engine that
// broke off the prefill is not replaced by another one.
TEST_CASE("a repeated prefill needs budget for its decode") {
  RetryWindow Retries = budget(0);
  ArrivalCount Count(Retries, "s");
  CHECK(Count.begin(LegKind::Prefill, Now));
  CHECK_FALSE(Count.begin(LegKind::Prefill, Now));
  CHECK(Count.begin(LegKind::Decode, Now));
}

TEST_CASE("a send that reached nobody is given back") {
  RetryWindow Retries = budget(1);
  ArrivalCount Count(Retries, "s");
  CHECK(Count.begin(LegKind::Prefill, Now));
  Count.notSent(Now);
  CHECK(Count.begin(LegKind::Prefill, Now));
  CHECK(Count.begin(LegKind::Decode, Now));
  Count.notSent(Now);
  CHECK(Count.begin(LegKind::Decode, Now));
  CHECK(Count.begin(LegKind::Decode, Now));
  CHECK_FALSE(Count.begin(LegKind::Decode, Now));
}

} // namespace hyssoprail::routing
