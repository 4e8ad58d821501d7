#include <algorithm>
#include <cmath>

#include "hyssoprail/process/agent_core.hpp"

namespace hyssoprail {
namespace {

/// Cost of an output token in prompt tokens, for fair queueing.
constexpr double OutputTokenCost = 4;

milliseconds clampDeadline(std::uint32_t Requested, milliseconds Max) {
  if (Requested == 0)
    return Max;
  return std::min(milliseconds(Requested), Max);
}

unsigned countWords(std::string_view Text) {
  unsigned Words = 0;
  bool Inside = false;
  for (const char C : Text) {
    const bool Space = C == ' ' || C == '\n' || C == '\t' || C == '\r';
    Words += !Space && !Inside ? 1 : 0;
    Inside = !Space;
  }
  return Words;
}

} // namespace

bool AgentCore::checkAdmission(Entry &From, const wire::Envelope &Message,
                               const WorkKey &Key, wire::Leg Leg,
                               TimePoint Now) {
  if (Key.Leg != Leg)
    return false;
  if (Message.to_incarnation() != 0 &&
      Message.to_incarnation() != Options.Incarnation) {
    // The earlier incarnation may have run it, so it is not reported as not
    // run, and the results kept here do not apply to it.
    replyFailed(From, Key, wire::REFUSAL_REASON_WRONG_ENDPOINT, false,
                "the message is for another incarnation of this agent", Now);
    return false;
  }
  if (resendResult(From, Key) || ActiveWork.contains(Key))
    return false;
  if (stale(From, Key, Message.seq())) {
    ++Counts.Stale;
    replyFailed(From, Key, wire::REFUSAL_REASON_STALE, true,
                "a newer heartbeat did not list this work", Now);
    return false;
  }
  const wire::RefusalReason Reason = refusalOfNewWork();
  if (Reason != wire::REFUSAL_REASON_UNSPECIFIED) {
    replyFailed(From, Key, Reason, true, "this endpoint accepts no new work",
                Now);
    return false;
  }
  const bool Prefill = Engine.Role == "prefill";
  if (Options.Kind != AgentKind::Engine ||
      Prefill != (Leg == wire::LEG_PREFILL)) {
    replyFailed(From, Key, wire::REFUSAL_REASON_WRONG_ENDPOINT, true,
                "this endpoint has another role", Now);
    return false;
  }
  return true;
}

void AgentCore::onReserve(Entry &From, const wire::Envelope &Message,
                          TimePoint Now) {
  const wire::ReserveRequest &Request = Message.reserve_request();
  const WorkKey Key = workKey(Request.work());
  if (auto It = ActiveWork.find(Key); It != ActiveWork.end()) {
    if (It->second.Phase != State::QueuedReserve &&
        It->second.Phase != State::Cancelling)
      replyReserve(From, Key, true, wire::REFUSAL_REASON_UNSPECIFIED, Now);
    return;
  }
  wire::RefusalReason Reason = refusalOfNewWork();
  if (RetainedResults.contains(Key))
    Reason = wire::REFUSAL_REASON_DUPLICATE;
  else if (stale(From, Key, Message.seq()))
    Reason = wire::REFUSAL_REASON_STALE;
  else if (Options.Kind != AgentKind::Engine || Engine.Role == "prefill" ||
           Key.Leg != wire::LEG_DECODE ||
           (Message.to_incarnation() != 0 &&
            Message.to_incarnation() != Options.Incarnation))
    Reason = wire::REFUSAL_REASON_WRONG_ENDPOINT;
  else if (Reason == wire::REFUSAL_REASON_UNSPECIFIED &&
           (piecesFor(Request.prompt_tokens() + Request.max_tokens()) >
                Engine.Pieces ||
            Queue.size() >= Options.QueueLimit))
    Reason = wire::REFUSAL_REASON_FULL;
  if (Reason != wire::REFUSAL_REASON_UNSPECIFIED) {
    Counts.Stale += Reason == wire::REFUSAL_REASON_STALE ? 1 : 0;
    replyReserve(From, Key, false, Reason, Now);
    return;
  }
  Work &W = addWork(From, Key, Message.seq(), Now);
  W.Account = Request.account();
  W.Class = Request.route_class();
  W.Weight = Request.weight();
  W.PromptTokens = Request.prompt_tokens();
  W.MaxTokens = Request.max_tokens();
  W.Pieces = piecesFor(Request.prompt_tokens() + Request.max_tokens());
  W.NeededAt = Now + milliseconds(Request.needed_in_ms());
  W.Deadline =
      Now + std::min(milliseconds(Request.wait_ms()), Options.MaxLegTimeout);
  enqueue(W);
  dispatch(Now);
  // A request that must not wait is refused at once if it was not granted.
  if (auto It = ActiveWork.find(Key);
      Request.wait_ms() == 0 && It != ActiveWork.end() &&
      It->second.Phase == State::QueuedReserve) {
    replyReserve(From, Key, false,
                 Ramp.cold() ? wire::REFUSAL_REASON_COLD
                             : wire::REFUSAL_REASON_FULL,
                 Now);
    removeWork(It->second);
  }
}

void AgentCore::replyReserve(Entry &To, const WorkKey &Key, bool Granted,
                             wire::RefusalReason Reason, TimePoint Now) {
  wire::Envelope Answer;
  wire::ReserveReply &Reply = *Answer.mutable_reserve_reply();
  *Reply.mutable_work() = workRef(Key);
  Reply.set_granted(Granted);
  Reply.set_reason(Reason);
  if (!Granted) {
    ++Counts.Refused;
    wire::LoadReport Load;
    fillLoad(Load, Now);
    Reply.set_retry_ms(std::max<std::uint32_t>(
        Load.next_release_ms(),
        static_cast<std::uint32_t>(Options.HeartbeatInterval.count())));
  }
  send(To, std::move(Answer));
}

void AgentCore::onPrefill(Entry &From, const wire::Envelope &Message,
                          TimePoint Now) {
  const wire::PrefillStart &Start = Message.prefill_start();
  const WorkKey Key = workKey(Start.work());
  if (!checkAdmission(From, Message, Key, wire::LEG_PREFILL, Now))
    return;
  const unsigned Tokens = Start.prompt_tokens() != 0
                              ? Start.prompt_tokens()
                              : countWords(Start.prompt());
  if (Queue.size() >= Options.QueueLimit || piecesFor(Tokens) > Engine.Pieces) {
    replyFailed(From, Key, wire::REFUSAL_REASON_FULL, true,
                "the prefill queue is full", Now);
    return;
  }
  Work &W = addWork(From, Key, Message.seq(), Now);
  W.Phase = State::QueuedPrefill;
  W.Account = Start.account();
  W.Class = Start.route_class();
  W.Weight = Start.weight();
  W.PromptTokens = Tokens;
  W.Pieces = piecesFor(Tokens);
  W.Deadline = Now + clampDeadline(Start.deadline_ms(), Options.MaxLegTimeout);
  W.Start = std::make_unique<wire::Envelope>(Message);
  enqueue(W);
}

void AgentCore::onDecode(Entry &From, const wire::Envelope &Message,
                         TimePoint Now) {
  const wire::DecodeStart &Start = Message.decode_start();
  const WorkKey Key = workKey(Start.work());
  auto It = ActiveWork.find(Key);
  if (It == ActiveWork.end()) {
    // Without an earlier reservation the start needs capacity at once.
    if (!checkAdmission(From, Message, Key, wire::LEG_DECODE, Now))
      return;
    Work &W = addWork(From, Key, Message.seq(), Now);
    W.Account = Start.account();
    W.Class = Start.route_class();
    W.PromptTokens = countWords(Start.prompt());
    W.MaxTokens = Start.max_tokens();
    W.Pieces = piecesFor(W.PromptTokens + W.MaxTokens);
    W.NeededAt = Now;
    if (!Queue.empty() || !fitsNow(W, Now)) {
      removeWork(W);
      replyFailed(From, Key, wire::REFUSAL_REASON_NO_GRANT, true,
                  "no grant was reserved and no slot is free", Now);
      return;
    }
    Queue.charge(queueItem(W));
    allocate(W);
    W.Phase = State::Reserved;
    It = ActiveWork.find(Key);
  }
  Work &W = It->second;
  if (W.Entry != From.Incarnation || W.Start)
    return;
  if (W.Phase == State::QueuedReserve) {
    removeWork(W);
    replyFailed(From, Key, wire::REFUSAL_REASON_NO_GRANT, true,
                "the reservation still waits", Now);
    return;
  }
  if (W.Phase != State::Reserved && W.Phase != State::AdvanceReserved)
    return;
  W.Start = std::make_unique<wire::Envelope>(Message);
  W.FirstIndex = Start.first_index();
  W.Deadline = Now + clampDeadline(Start.deadline_ms(), Options.MaxLegTimeout);
  if (W.Phase == State::Reserved) {
    W.Phase = State::DecodePending;
    PendingDecodes.push_back(Key);
  }
  DispatchNeeded = true;
}

AgentCore::Work &AgentCore::addWork(Entry &From, const WorkKey &Key,
                                    std::uint64_t Seq, TimePoint Now) {
  Work &W = ActiveWork[Key];
  W.Key = Key;
  W.Entry = From.Incarnation;
  W.Seq = Seq;
  W.Created = Now;
  From.Live.insert(Key);
  return W;
}

QueuedWork AgentCore::queueItem(const Work &W) const {
  return {W.Key,
          W.Entry,
          W.Account,
          W.Class,
          std::max(1.0, W.PromptTokens + OutputTokenCost * W.MaxTokens),
          static_cast<double>(std::max(1U, W.Weight))};
}

void AgentCore::enqueue(const Work &W) {
  Queue.push(queueItem(W));
  DispatchNeeded = true;
}

unsigned AgentCore::piecesFor(unsigned Tokens) const {
  const unsigned Size = std::max(1U, Engine.PieceTokens);
  return Tokens / Size + (Tokens % Size == 0 ? 0 : 1);
}

unsigned AgentCore::maxSlots() const {
  if (Options.Kind == AgentKind::Service)
    return Options.ServiceSlots;
  if (Engine.Role == "prefill")
    return std::min(Options.PrefillConcurrency, Engine.Slots);
  return Engine.Slots;
}

unsigned AgentCore::slotLimit() const {
  // During a cold start more work is reserved than may run, so that enough work
  // is ready to measure the latency at the limit.
  return Ramp.cold() ? std::min(maxSlots(), 2 * Ramp.limit()) : maxSlots();
}

unsigned AgentCore::runLimit() const {
  // An engine may have restarted unnoticed while it was idle: allow one start
  // until it answers.
  if (StartsSuspended)
    return 0;
  if (!LivenessConfirmed)
    return 1;
  return std::min(maxSlots(), Ramp.limit());
}

void AgentCore::allocate(Work &W) {
  W.HeldSlots = 1;
  W.HeldPieces = W.Pieces;
  ++SlotsUsed;
  PiecesUsed += W.Pieces;
  CapacityHolders.insert(&W);
  ++Counts.Granted;
  Checks.check(Invariant::NoOrphanedMemory,
               Options.Kind == AgentKind::Service ||
                   (SlotsUsed <= Engine.Slots && PiecesUsed <= Engine.Pieces),
               "more slots or pieces granted than the engine has",
               W.Key.RequestId);
}

void AgentCore::release(Work &W) {
  SlotsUsed -= W.HeldSlots;
  PiecesUsed -= W.HeldPieces;
  W.HeldSlots = 0;
  W.HeldPieces = 0;
  CapacityHolders.erase(&W);
  DispatchNeeded = true;
}

TimePoint AgentCore::predictedRelease(const Work &W, TimePoint Now) const {
  const std::size_t Emitted = W.FirstIndex + W.Tokens.size();
  const double Remaining =
      W.Phase == State::Cancelling || Emitted >= W.MaxTokens
          ? 1.0
          : static_cast<double>(W.MaxTokens - Emitted);
  return Now + std::chrono::microseconds(
                   static_cast<std::int64_t>(Remaining * StepMicros));
}

std::vector<AgentCore::PredictedRelease>
AgentCore::predictedReleases(TimePoint Now) const {
  std::vector<PredictedRelease> Found;
  Found.reserve(CapacityHolders.size());
  for (const Work *W : CapacityHolders)
    if (W->HeldSlots != 0)
      Found.push_back({predictedRelease(*W, Now), W->HeldPieces});
  std::sort(Found.begin(), Found.end(),
            [](const PredictedRelease &A, const PredictedRelease &B) {
              return A.At < B.At;
            });
  return Found;
}

bool AgentCore::feasible(const Work &Candidate, TimePoint NeededAt,
                         TimePoint Now) const {
  struct Demand {
    TimePoint NeededAt{};
    unsigned Pieces = 0;
  };
  std::vector<Demand> Demands;
  for (const auto &[At, Key] : AdvanceReservations)
    Demands.push_back({At.first, ActiveWork.at(Key).Pieces});
  auto Position = std::upper_bound(
      Demands.begin(), Demands.end(), NeededAt,
      [](TimePoint T, const Demand &D) { return T < D.NeededAt; });
  Demands.insert(Position, {NeededAt, Candidate.Pieces});
  const std::vector<PredictedRelease> Releases = predictedReleases(Now);
  std::int64_t Slots = std::int64_t{slotLimit()} - SlotsUsed;
  std::int64_t Pieces = std::int64_t{Engine.Pieces} - PiecesUsed;
  std::size_t Next = 0;
  for (const Demand &D : Demands) {
    for (; Next < Releases.size() && Releases[Next].At <= D.NeededAt; ++Next) {
      ++Slots;
      Pieces += Releases[Next].Pieces;
    }
    --Slots;
    Pieces -= D.Pieces;
    if (Slots < 0 || Pieces < 0)
      return false;
  }
  return true;
}

bool AgentCore::fitsNow(const Work &W, TimePoint Now) const {
  if (!EngineUp || SlotsUsed >= slotLimit())
    return false;
  if (Options.Kind == AgentKind::Service)
    return true;
  return PiecesUsed + W.Pieces <= Engine.Pieces &&
         (AdvanceReservations.empty() || feasible(W, Now, Now));
}

void AgentCore::dispatch(TimePoint Now) {
  if (!DispatchNeeded)
    return;
  DispatchNeeded = false;
  if (!EngineUp || !HeldWorkKnown)
    return;
  allocateAdvanceReservations(Now);
  dispatchQueue(Now);
  dispatchDecodes(Now);
}

void AgentCore::allocateAdvanceReservations(TimePoint Now) {
  while (!AdvanceReservations.empty()) {
    Work &W = ActiveWork.at(AdvanceReservations.begin()->second);
    if (SlotsUsed >= slotLimit() || PiecesUsed + W.Pieces > Engine.Pieces)
      return;
    AdvanceReservations.erase(AdvanceReservations.begin());
    allocate(W);
    W.Phase = W.Start ? State::DecodePending : State::Reserved;
    if (W.Start)
      PendingDecodes.push_back(W.Key);
    else
      W.Deadline = std::max(W.NeededAt, Now) + Options.GrantTimeout;
  }
}

void AgentCore::refuseQueued(wire::RefusalReason Reason, TimePoint Now) {
  while (const QueuedWork *Next = Queue.next()) {
    Work &W = ActiveWork.at(Next->Key);
    if (W.Phase == State::QueuedReserve) {
      replyReserve(Entries.at(W.Entry), W.Key, false, Reason, Now);
      removeWork(W);
    } else {
      cancelWork(W, Reason, "this endpoint accepts no new work", true, Now);
    }
  }
}

void AgentCore::checkNewWork(const Work &W) {
  Checks.check(Invariant::ZoneOut, !View.ZoneOut,
               "work was accepted in a zone that is out of service",
               W.Key.RequestId);
  Checks.check(Invariant::LeavingEndpoint, !View.Leaving && !Draining,
               "work was accepted by a leaving endpoint", W.Key.RequestId);
}

void AgentCore::dispatchQueue(TimePoint Now) {
  const wire::RefusalReason Refusal = refusalOfNewWork();
  if (Refusal != wire::REFUSAL_REASON_UNSPECIFIED) {
    refuseQueued(Refusal, Now);
    return;
  }
  while (const QueuedWork *Next = Queue.next()) {
    Work &W = ActiveWork.at(Next->Key);
    const bool Reservation = W.Phase == State::QueuedReserve;
    if (Reservation && fitsNow(W, Now)) {
      Queue.take();
      allocate(W);
      W.Phase = State::Reserved;
      W.Deadline = std::max(W.NeededAt, Now) + Options.GrantTimeout;
    } else if (Reservation && W.NeededAt > Now &&
               feasible(W, W.NeededAt, Now)) {
      Queue.take();
      AdvanceReservations[{W.NeededAt, engineWorkId(W.Key)}] = W.Key;
      W.Phase = State::AdvanceReserved;
      W.Deadline = W.NeededAt + Options.GrantTimeout;
    } else if (!Reservation && Running < runLimit() && fitsNow(W, Now)) {
      Queue.take();
      checkNewWork(W);
      allocate(W);
      if (W.Phase == State::QueuedPrefill)
        startPrefill(W, Now);
      else
        startCall(W, Now);
      continue;
    } else {
      return;
    }
    checkNewWork(W);
    recordEvent(EventKind::Reserved, W.Key, W.Account, {});
    replyReserve(Entries.at(W.Entry), W.Key, true,
                 wire::REFUSAL_REASON_UNSPECIFIED, Now);
  }
}

} // namespace hyssoprail
