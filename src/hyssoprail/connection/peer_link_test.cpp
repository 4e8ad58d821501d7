#include "hyssoprail/connection/peer_link.hpp"

#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "hyssoprail/core/random.hpp"

namespace hyssoprail {
namespace {

template <typename T> const T *firstOf(const PeerLinkActions &Actions) {
  for (const PeerLinkAction &A : Actions)
    if (const T *Found = std::get_if<T>(&A))
      return Found;
  return nullptr;
}

wire::Envelope ackOf(std::uint64_t Seq, std::uint64_t Incarnation = 7) {
  wire::Envelope Message;
  Message.set_incarnation(Incarnation);
  Message.mutable_heartbeat_ack()->set_acked_seq(Seq);
  return Message;
}

/// A link that was acked once.
struct Confirmed {
  Confirmed() {
    const auto Actions = Link.start(Clock.now());
    Link.receive(1, ackOf(firstOf<SendHeartbeat>(Actions)->Seq), Clock.now());
  }

  /// Ticks every 50 ms until \p T is asked for; returns the time it took.
  template <typename T> milliseconds untilAction(T &Found) {
    for (milliseconds Passed{0}; Passed < milliseconds(20'000);
         Passed += milliseconds(50)) {
      const auto Actions = Link.tick(Clock.now());
      if (const T *Action = firstOf<T>(Actions)) {
        Found = *Action;
        LastActions = Actions;
        return Passed;
      }
      Clock.advance(milliseconds(50));
    }
    return milliseconds::max();
  }

  ManualClock Clock;
  PeerLink Link{PeerLinkOptions{}};
  PeerLinkActions LastActions;
};

} // namespace

// Guards against heartbeats that stop or come too often.
TEST_CASE("heartbeats follow the schedule and carry growing numbers") {
  Confirmed C;
  std::uint64_t Last = 1;
  int Count = 0;
  for (int I = 0; I < 100; ++I) {
    C.Clock.advance(milliseconds(10));
    const auto Actions = C.Link.tick(C.Clock.now());
    const auto *Beat = firstOf<SendHeartbeat>(Actions);
    if (Beat == nullptr)
      continue;
    ++Count;
    CHECK(Beat->Seq > Last);
    Last = Beat->Seq;
    C.Link.receive(Beat->Slot, ackOf(Beat->Seq), C.Clock.now());
  }
  CHECK(Count == 4);
}

// Guards against a silent link that is kept because its socket looks open, and
// against closing the old socket before the new one is known to work.
TEST_CASE("a silent link is replaced once the new one is acked") {
  Confirmed C;
  OpenSlot Open;
  CHECK(C.untilAction(Open) <= milliseconds(1'050));
  CHECK_FALSE(C.Link.reachable(C.Clock.now()));
  CHECK(Open.Slot == 2);
  CHECK(firstOf<LinkSuspected>(C.LastActions) != nullptr);
  CHECK(firstOf<CloseSlot>(C.LastActions) == nullptr);
  CHECK(C.Link.sendSlot() == 2);
  const auto *Beat = firstOf<SendHeartbeat>(C.LastActions);
  REQUIRE(Beat != nullptr);
  const auto Actions = C.Link.receive(2, ackOf(Beat->Seq), C.Clock.now());
  REQUIRE(Actions.has_value());
  CHECK(firstOf<CloseSlot>(*Actions)->Slot == 1);
  CHECK(firstOf<LinkReplaced>(*Actions) != nullptr);
  CHECK(C.Link.reachable(C.Clock.now()));
}

// Guards against a replacement that is itself silent and never replaced.
TEST_CASE("an unconfirmed replacement is given up, the old link is kept") {
  Confirmed C;
  OpenSlot Open;
  C.untilAction(Open);
  CloseSlot Close;
  CHECK(C.untilAction(Close) <= milliseconds(1'050));
  CHECK(Close.Slot == 2);
  CHECK(firstOf<OpenSlot>(C.LastActions)->Slot == 3);
}

// Guards against a link that counts as alive because of late acks.
TEST_CASE("an ack proves no more than its heartbeat's send time") {
  Confirmed C;
  std::vector<SendHeartbeat> Sent;
  for (int I = 0; I < 20; ++I) {
    C.Clock.advance(milliseconds(50));
    const auto Actions = C.Link.tick(C.Clock.now());
    if (const auto *Beat = firstOf<SendHeartbeat>(Actions))
      Sent.push_back(*Beat);
  }
  C.Clock.advance(milliseconds(1'000));
  C.Link.receive(1, ackOf(Sent.front().Seq), C.Clock.now());
  CHECK_FALSE(C.Link.reachable(C.Clock.now()));
}

// Guards against a process that replaces all its links because it was itself
// paused.
TEST_CASE("after a pause of this process the peer may ack first") {
  Confirmed C;
  C.Clock.advance(milliseconds(30'000));
  const auto Actions = C.Link.tick(C.Clock.now());
  CHECK(firstOf<OpenSlot>(Actions) == nullptr);
  const auto *Beat = firstOf<SendHeartbeat>(Actions);
  REQUIRE(Beat != nullptr);
  CHECK_FALSE(C.Link.reachable(C.Clock.now()));
  C.Link.receive(1, ackOf(Beat->Seq), C.Clock.now());
  CHECK(C.Link.reachable(C.Clock.now()));
}

// Guards against a silent link that is never replaced because a busy process
// ticks so rarely that each tick looks like the end of a pause.
TEST_CASE("rare ticks do not hide a silent link") {
  Confirmed C;
  bool Opened = false;
  for (int I = 0; I < 5 && !Opened; ++I) {
    C.Clock.advance(milliseconds(600));
    Opened = firstOf<OpenSlot>(C.Link.tick(C.Clock.now())) != nullptr;
  }
  CHECK(Opened);
}

// Guards against late messages of a dead incarnation that look like news.
TEST_CASE("a new incarnation is reported once and the old one is dropped") {
  Confirmed C;
  CHECK(C.Link.incarnation() == 7);
  const auto Actions = C.Link.receive(1, ackOf(0, 8), C.Clock.now());
  REQUIRE(Actions.has_value());
  const auto *News = firstOf<NewIncarnation>(*Actions);
  REQUIRE(News != nullptr);
  CHECK(News->Old == 7);
  CHECK(News->New == 8);
  CHECK_FALSE(C.Link.receive(1, ackOf(0, 7), C.Clock.now()).has_value());
  CHECK(firstOf<NewIncarnation>(
            *C.Link.receive(1, ackOf(0, 8), C.Clock.now())) == nullptr);
}

namespace {

/// A network that loses and delays messages, and on which any socket may stop
/// forwarding while it stays open.
struct Simulation {
  explicit Simulation(std::uint64_t Seed) : Random(Seed) {
    apply(Link.start(Clock.now()));
  }

  void apply(const PeerLinkActions &Actions) {
    for (const PeerLinkAction &Action : Actions) {
      if (const auto *Opened = std::get_if<OpenSlot>(&Action))
        Open[Opened->Slot] = Random.unit() < Fault;
      if (const auto *Closed = std::get_if<CloseSlot>(&Action)) {
        RC_ASSERT(Closed->Slot != Link.sendSlot());
        RC_ASSERT(Open.erase(Closed->Slot) == 1U);
      }
      if (const auto *Beat = std::get_if<SendHeartbeat>(&Action))
        transmit(*Beat);
    }
    RC_ASSERT(!Open.empty());
    RC_ASSERT(Open.size() <= 2U);
    RC_ASSERT(Open.contains(Link.sendSlot()));
  }

  void transmit(const SendHeartbeat &Beat) {
    RC_ASSERT(Beat.Seq > LastSeq);
    LastSeq = Beat.Seq;
    RC_ASSERT(Open.contains(Beat.Slot));
    SentAt[Beat.Seq] = Clock.now();
    if (Open[Beat.Slot] || Random.unit() < Fault)
      return;
    const milliseconds Delay(Random.below(Fault > 0 ? 1'500 : 5));
    Acks.emplace(Clock.now() + Delay, Beat);
  }

  void step() {
    Clock.advance(milliseconds(10));
    for (auto &[Slot, Silent] : Open)
      if (Random.unit() < Fault / 50)
        Silent = true;
    while (!Acks.empty() && Acks.begin()->first <= Clock.now()) {
      const SendHeartbeat Beat = Acks.begin()->second;
      Acks.erase(Acks.begin());
      if (!Open.contains(Beat.Slot) || Open[Beat.Slot])
        continue;
      NewestAcked = std::max(NewestAcked, SentAt[Beat.Seq]);
      apply(*Link.receive(Beat.Slot, ackOf(Beat.Seq), Clock.now()));
    }
    apply(Link.tick(Clock.now()));
    RC_ASSERT(Link.reachable(Clock.now()) ==
              (NewestAcked != TimePoint() &&
               Clock.now() - NewestAcked <= milliseconds(1'000)));
  }

  RandomSource Random;
  ManualClock Clock;
  double Fault = 0;
  PeerLink Link{PeerLinkOptions{}};
  std::map<LinkSlot, bool> Open; ///< true: no longer forwards
  std::multimap<TimePoint, SendHeartbeat> Acks;
  std::map<std::uint64_t, TimePoint> SentAt;
  TimePoint NewestAcked;
  std::uint64_t LastSeq = 0;
};

} // namespace

// Guards against states from which a link does not recover, leaked sockets,
// repeated sequence numbers and a wrong answer of reachable().
TEST_CASE("a link recovers from random loss, delay and silence") {
  const bool Passed = rc::check([](std::uint64_t Seed, std::uint8_t Steps) {
    Simulation S(Seed);
    S.Fault = S.Random.unit();
    for (int I = 0; I < 20 * Steps; ++I)
      S.step();
    S.Fault = 0;
    // One attempt at replacement may have to run out first (2 s), then the
    // next one is confirmed at once.
    int Needed = 0;
    while (Needed < 1'000 &&
           !(S.Link.reachable(S.Clock.now()) && S.Open.size() == 1)) {
      S.step();
      ++Needed;
    }
    RC_ASSERT(Needed <= 310);
    for (int I = 0; I < 500; ++I) {
      S.step();
      if (I > 110)
        RC_ASSERT(S.Link.reachable(S.Clock.now()));
    }
  });
  CHECK(Passed);
}

} // namespace hyssoprail
