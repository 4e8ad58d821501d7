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

/// Link whose first heartbeat was acked.
struct AckedLink {
  AckedLink() {
    const auto Actions = Link.start(Clock.now());
    Link.receive(1, ackOf(firstOf<SendHeartbeat>(Actions)->Seq), Clock.now());
  }

  /// Ticks every 50 ms until the link returns an action of type \p T. Returns
  /// the time until then.
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

// Guards against heartbeats that stop or are sent too often.
TEST_CASE("heartbeats follow the interval with increasing sequence numbers") {
  AckedLink C;
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
    C.Link.receive(Beat->Socket, ackOf(Beat->Seq), C.Clock.now());
  }
  CHECK(Count == 4);
}

// Guards against a link without acks that is kept because its socket is open,
// and against closing the old socket before the new one is known to work.
TEST_CASE("a link without acks is replaced once the new socket is acked") {
  AckedLink C;
  OpenSocket Open;
  CHECK(C.untilAction(Open) <= milliseconds(1'050));
  CHECK_FALSE(C.Link.reachable(C.Clock.now()));
  CHECK(Open.Socket == 2);
  CHECK(firstOf<LinkSuspected>(C.LastActions) != nullptr);
  CHECK(firstOf<CloseSocket>(C.LastActions) == nullptr);
  CHECK(C.Link.sendSocket() == 2);
  const auto *Beat = firstOf<SendHeartbeat>(C.LastActions);
  REQUIRE(Beat != nullptr);
  const auto Actions = C.Link.receive(2, ackOf(Beat->Seq), C.Clock.now());
  REQUIRE(Actions.has_value());
  CHECK(firstOf<CloseSocket>(*Actions)->Socket == 1);
  CHECK(firstOf<LinkReplaced>(*Actions) != nullptr);
  CHECK(C.Link.reachable(C.Clock.now()));
}

// Guards against a replacement that gets no ack and is never replaced itself.
TEST_CASE("an unacked replacement is closed, the old socket is kept") {
  AckedLink C;
  OpenSocket Open;
  C.untilAction(Open);
  CloseSocket Close;
  CHECK(C.untilAction(Close) <= milliseconds(1'050));
  CHECK(Close.Socket == 2);
  CHECK(firstOf<OpenSocket>(C.LastActions)->Socket == 3);
}

// Guards against a link that counts as reachable because of late acks.
TEST_CASE("an ack counts from the send time of its heartbeat") {
  AckedLink C;
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

// Guards against a process that replaces all its links after it was paused.
TEST_CASE("after a pause of this process the peer has time to ack") {
  AckedLink C;
  C.Clock.advance(milliseconds(30'000));
  const auto Actions = C.Link.tick(C.Clock.now());
  CHECK(firstOf<OpenSocket>(Actions) == nullptr);
  const auto *Beat = firstOf<SendHeartbeat>(Actions);
  REQUIRE(Beat != nullptr);
  CHECK_FALSE(C.Link.reachable(C.Clock.now()));
  C.Link.receive(1, ackOf(Beat->Seq), C.Clock.now());
  CHECK(C.Link.reachable(C.Clock.now()));
}

// Guards against a link without acks that is never replaced because a busy
// process ticks so rarely that each tick looks like the end of a pause.
TEST_CASE("rare ticks do not prevent the replacement of a link") {
  AckedLink C;
  bool Opened = false;
  for (int I = 0; I < 5 && !Opened; ++I) {
    C.Clock.advance(milliseconds(600));
    Opened = firstOf<OpenSocket>(C.Link.tick(C.Clock.now())) != nullptr;
  }
  CHECK(Opened);
}

// Guards against late messages of an earlier incarnation that are accepted.
TEST_CASE("a new incarnation is reported once and the old one is dropped") {
  AckedLink C;
  CHECK(C.Link.incarnation() == 7);
  const auto Actions = C.Link.receive(1, ackOf(0, 8), C.Clock.now());
  REQUIRE(Actions.has_value());
  const auto *Change = firstOf<NewIncarnation>(*Actions);
  REQUIRE(Change != nullptr);
  CHECK(Change->Old == 7);
  CHECK(Change->New == 8);
  CHECK_FALSE(C.Link.receive(1, ackOf(0, 7), C.Clock.now()).has_value());
  CHECK(firstOf<NewIncarnation>(
            *C.Link.receive(1, ackOf(0, 8), C.Clock.now())) == nullptr);
}

namespace {

/// Simulated network that loses and delays messages, and on which any socket
/// may stop forwarding while it stays open.
struct Simulation {
  explicit Simulation(std::uint64_t Seed) : Random(Seed) {
    apply(Link.start(Clock.now()));
  }

  void apply(const PeerLinkActions &Actions) {
    for (const PeerLinkAction &Action : Actions) {
      if (const auto *Opened = std::get_if<OpenSocket>(&Action))
        Open[Opened->Socket] = Random.unit() < FaultRate;
      if (const auto *Closed = std::get_if<CloseSocket>(&Action)) {
        RC_ASSERT(Closed->Socket != Link.sendSocket());
        RC_ASSERT(Open.erase(Closed->Socket) == 1U);
      }
      if (const auto *Beat = std::get_if<SendHeartbeat>(&Action))
        transmit(*Beat);
    }
    RC_ASSERT(!Open.empty());
    RC_ASSERT(Open.size() <= 2U);
    RC_ASSERT(Open.contains(Link.sendSocket()));
  }

  void transmit(const SendHeartbeat &Beat) {
    RC_ASSERT(Beat.Seq > LastSeq);
    LastSeq = Beat.Seq;
    RC_ASSERT(Open.contains(Beat.Socket));
    SentAt[Beat.Seq] = Clock.now();
    if (Open[Beat.Socket] || Random.unit() < FaultRate)
      return;
    const milliseconds Delay(Random.below(FaultRate > 0 ? 1'500 : 5));
    Acks.emplace(Clock.now() + Delay, Beat);
  }

  void step() {
    Clock.advance(milliseconds(10));
    for (auto &[Socket, Stalled] : Open)
      if (Random.unit() < FaultRate / 50)
        Stalled = true;
    while (!Acks.empty() && Acks.begin()->first <= Clock.now()) {
      const SendHeartbeat Beat = Acks.begin()->second;
      Acks.erase(Acks.begin());
      if (!Open.contains(Beat.Socket) || Open[Beat.Socket])
        continue;
      NewestAcked = std::max(NewestAcked, SentAt[Beat.Seq]);
      apply(*Link.receive(Beat.Socket, ackOf(Beat.Seq), Clock.now()));
    }
    apply(Link.tick(Clock.now()));
    RC_ASSERT(Link.reachable(Clock.now()) ==
              (NewestAcked != TimePoint() &&
               Clock.now() - NewestAcked <= milliseconds(1'000)));
  }

  RandomSource Random;
  ManualClock Clock;
  double FaultRate = 0;
  PeerLink Link{PeerLinkOptions{}};
  std::map<SocketId, bool> Open; ///< value: true if it no longer forwards
  std::multimap<TimePoint, SendHeartbeat> Acks;
  std::map<std::uint64_t, TimePoint> SentAt;
  TimePoint NewestAcked;
  std::uint64_t LastSeq = 0;
};

} // namespace

// Guards against states from which a link does not recover, leaked sockets,
// repeated sequence numbers and wrong results of reachable().
TEST_CASE("a link recovers from random loss, delay and stalled sockets") {
  const bool Passed = rc::check([](std::uint64_t Seed, std::uint8_t Steps) {
    Simulation S(Seed);
    S.FaultRate = S.Random.unit();
    for (int I = 0; I < 20 * Steps; ++I)
      S.step();
    S.FaultRate = 0;
    // One replacement attempt may have to time out first (2 s); the next one is
    // then acked at once.
    int RecoverySteps = 0;
    while (RecoverySteps < 1'000 &&
           !(S.Link.reachable(S.Clock.now()) && S.Open.size() == 1)) {
      S.step();
      ++RecoverySteps;
    }
    RC_ASSERT(RecoverySteps <= 310);
    for (int I = 0; I < 500; ++I) {
      S.step();
      if (I > 110)
        RC_ASSERT(S.Link.reachable(S.Clock.now()));
    }
  });
  CHECK(Passed);
}

} // namespace hyssoprail
