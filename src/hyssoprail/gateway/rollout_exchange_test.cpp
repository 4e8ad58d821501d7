#include "hyssoprail/gateway/rollout_exchange.hpp"

#include <memory>
#include <vector>

#include <catch2/catch.hpp>
#include <unistd.h>

#include "hyssoprail/gateway/fake_feed.hpp"
#include "hyssoprail/gateway/rollout_messages.hpp"

namespace hyssoprail::gateway {
namespace {

using rollout::OrderId;
using rollout::RolloutState;
using rollout::StatusRecord;
using rollout::VersionAnswer;
using rollout::VersionChoice;

/// Takes states as a store does, and fails while it is down.
class StateFeed : public FakeFeed {
public:
  void writeRolloutState(const StatusRecord &State,
                         std::function<void(bool)> OnDone) override {
    ++Writes;
    if (Down)
      return OnDone(false);
    Written.push_back(State);
    if (OnWritten)
      OnWritten(State);
    OnDone(true);
  }

  bool Down = false;
  unsigned Writes = 0;
  std::vector<StatusRecord> Written;
  std::function<void(const StatusRecord &)> OnWritten;
};

struct Entry {
  Entry(const std::string &Name, std::uint64_t Incarnation, const Clock &Time,
        double Share = 0.1)
      : Log(STDERR_FILENO, Name, Time) {
    Settings.Name = Name;
    Settings.ExposureShare = Share;
    Settings.ExposureSlack = 20;
    Rollouts =
        std::make_unique<RolloutExchange>(Settings, Incarnation, Feed, Log);
    Feed.OnWritten = [this](const StatusRecord &S) {
      Rollouts->applyStored(S);
    };
    this->Incarnation = Incarnation;
  }

  GatewaySettings Settings;
  DecisionLog Log;
  StateFeed Feed;
  std::uint64_t Incarnation = 0;
  std::unique_ptr<RolloutExchange> Rollouts;
};

/// A coordinator and a follower on a clock that the test moves.
struct Fleet {
  Fleet() { First.Rollouts->startTerm(Time.now()); }

  void order() {
    Time.advance(milliseconds(10));
    for (Entry *E : {&First, &Second})
      E->Rollouts->order({"s1", "v2", milliseconds(8'000), OrderId{1, 7}}, {},
                         Time.now());
  }

  /// Exchanges one report and one update, and lets \p Coordinator decide.
  void exchange(Entry &Coordinator, Entry &Follower) {
    Time.advance(milliseconds(100));
    for (Entry *E : {&Coordinator, &Follower}) {
      wire::EntryReport Report;
      Report.set_sender(E->Settings.Name);
      Report.set_incarnation(E->Incarnation);
      E->Rollouts->fillReport(Report, Time.now());
      Coordinator.Rollouts->takeReport(Report);
    }
    Coordinator.Rollouts->decide([](auto, auto) { return std::size_t{2}; },
                                 Time.now());
    wire::CoordinatorUpdate Update;
    Coordinator.Rollouts->fillUpdate(Follower.Settings.Name, Update,
                                     Time.now());
    Follower.Rollouts->applyUpdate(Update, Time.now());
  }

  /// Sends requests of an entry; those that go to the target fail if \p Bad.
  unsigned send(Entry &E, int Requests, bool Bad) {
    unsigned ToTarget = 0;
    for (int I = 0; I < Requests; ++I) {
      const VersionChoice Choice = E.Rollouts->gate().choose(
          {"s1", true, 1, milliseconds(50)}, Time.now());
      const bool Target = Choice.Use == VersionChoice::Kind::Target;
      ToTarget += Target;
      E.Rollouts->gate().recordAnswer({"s1", "r1", Target ? "v2" : "v1", "e1",
                                       Target && Bad
                                           ? VersionAnswer::Result::Failure
                                           : VersionAnswer::Result::Success,
                                       milliseconds(20), milliseconds(60'000)},
                                      Time.now());
    }
    return ToTarget;
  }

  ManualClock Time;
  Entry First{"entry-1", 11, Time};
  Entry Second{"entry-2", 22, Time};
};

} // namespace

// Guards against evidence or allowances that are lost between the entries: a
// bad version would reach callers beyond the bound, or never be rolled back.
TEST_CASE("a follower's evidence rolls a bad version back at all entries") {
  Fleet F;
  F.order();
  unsigned ToTarget = 0;
  int Rounds = 0;
  while (F.First.Feed.Written.empty() ||
         F.First.Feed.Written.back().State != RolloutState::RolledBack) {
    REQUIRE(++Rounds < 70);
    ToTarget += F.send(F.Second, 20, true);
    F.exchange(F.First, F.Second);
  }
  CHECK(ToTarget > 0);
  CHECK(ToTarget <= 0.1 * 20 * Rounds + 20);
  CHECK(F.send(F.Second, 50, true) == 0);
  CHECK(F.send(F.First, 50, true) == 0);
  CHECK(F.Second.Rollouts->gate().isUnproven("s1", "v2"));
}

// Guards against a completion that the followers do not hear of, or that is in
// force before the store has accepted it.
TEST_CASE("a good version is completed once the store has accepted it") {
  Fleet F;
  F.order();
  F.exchange(F.First, F.Second);
  F.First.Feed.Down = true;
  for (int I = 0; I < 85; ++I) {
    F.send(F.First, 10, false);
    F.exchange(F.First, F.Second);
  }
  CHECK(F.Second.Rollouts->gate().isUnproven("s1", "v2"));
  F.First.Feed.Down = false;
  for (int I = 0; I < 5; ++I)
    F.exchange(F.First, F.Second);
  REQUIRE(F.First.Feed.Written.back().State == RolloutState::Completed);
  CHECK_FALSE(F.Second.Rollouts->gate().isUnproven("s1", "v2"));
  CHECK(F.send(F.Second, 10, false) == 10);
}

// Guards against a rollback that is lost with the coordinator that could not
// write it.
TEST_CASE("the next coordinator writes a rollback that was not written") {
  Fleet F;
  F.order();
  F.exchange(F.First, F.Second);
  F.First.Feed.Down = true;
  for (int I = 0; I < 40; ++I) {
    F.send(F.Second, 20, true);
    F.exchange(F.First, F.Second);
  }
  REQUIRE(F.send(F.Second, 20, true) == 0);
  F.Second.Rollouts->startTerm(F.Time.now());
  for (int I = 0; I < 3; ++I)
    F.exchange(F.Second, F.First);
  REQUIRE_FALSE(F.Second.Feed.Written.empty());
  CHECK(F.Second.Feed.Written.back().State == RolloutState::RolledBack);
}

// Guards against a final state that a restored store has lost for good.
TEST_CASE("a final state is written again after the store was restored") {
  Fleet F;
  F.order();
  F.exchange(F.First, F.Second);
  F.First.Rollouts->withdraw("s1");
  F.exchange(F.First, F.Second);
  REQUIRE(F.First.Feed.Written.back().State == RolloutState::RolledBack);
  const std::size_t Before = F.First.Feed.Written.size();
  F.exchange(F.First, F.Second);
  CHECK(F.First.Feed.Written.size() == Before);
  F.First.Rollouts->storeRestored();
  F.exchange(F.First, F.Second);
  F.exchange(F.First, F.Second);
  REQUIRE(F.First.Feed.Written.size() == Before + 1);
  CHECK(F.First.Feed.Written.back().State == RolloutState::RolledBack);
}

// Guards against rollouts in deployments that have not asked for them.
TEST_CASE("without an exposure share orders are ignored") {
  ManualClock Time;
  Entry E("entry-1", 11, Time, 0);
  E.Rollouts->startTerm(Time.now());
  E.Rollouts->order({"s1", "v2", milliseconds(8'000), OrderId{1, 7}}, {},
                    Time.now());
  E.Rollouts->decide([](auto, auto) { return std::size_t{1}; }, Time.now());
  wire::EntryReport Report;
  E.Rollouts->fillReport(Report, Time.now());
  CHECK(Report.rollouts_size() == 0);
  CHECK(E.Feed.Writes == 0);
  CHECK(E.Rollouts->usedGate() == nullptr);
  CHECK(E.Rollouts->noteVersion("s1", "v2", false, Time.now()) == TimePoint{});
}

// Guards against traffic to a new version whose order is still on its way, and
// against a canary that begins late as the order is known.
TEST_CASE("a version is held only until its order is known") {
  ManualClock Time;
  Entry E("entry-1", 11, Time);
  const TimePoint Now = Time.now();
  RolloutExchange &R = *E.Rollouts;
  CHECK(R.noteVersion("s1", "v1", true, Now) == TimePoint{});
  CHECK(R.noteVersion("s1", "v1", false, Now) == TimePoint{});
  const TimePoint HeldUntil = R.noteVersion("s1", "v2", false, Now);
  CHECK(HeldUntil > Now);
  Time.advance(milliseconds(500));
  CHECK(R.noteVersion("s1", "v2", false, Time.now()) == HeldUntil);
  R.order({"s1", "v2", milliseconds(8'000), OrderId{1, 7}}, {}, Time.now());
  CHECK(R.noteVersion("s1", "v2", false, Time.now()) == TimePoint{});
}

// Guards against messages that change what they carry, and against an unknown
// phase of a newer program.
TEST_CASE("evidence and decisions keep their content in messages") {
  rollout::RolloutEvidence E;
  E.Service = "s1";
  E.Order = {2, 9};
  E.Requests = 100;
  E.TargetRequests = 7;
  E.Allowance = 8;
  E.OldUnrepeatable = 3;
  E.RolledBack = true;
  E.LongestRun = milliseconds(250);
  E.Answers.Target["r1"].addFailure();
  E.Answers.Old["r1"].addSuccess(milliseconds(40));
  wire::RolloutEvidence Message;
  encodeEvidence(E, Message);
  const rollout::RolloutEvidence Out = decodeEvidence(Message);
  CHECK(Out.Order == E.Order);
  CHECK(Out.Requests == 100);
  CHECK(Out.TargetRequests == 7);
  CHECK(Out.Allowance == 8);
  CHECK(Out.OldUnrepeatable == 3);
  CHECK(Out.RolledBack);
  CHECK(Out.LongestRun == milliseconds(250));
  CHECK(Out.Answers.Target.at("r1").Failed == 1);
  CHECK(Out.Answers.Old.at("r1").Latencies == E.Answers.Old.at("r1").Latencies);
  wire::RolloutDecision Decision;
  Decision.set_phase(77);
  CHECK_FALSE(decodeDecision(Decision, TimePoint{}).has_value());
}

} // namespace hyssoprail::gateway
