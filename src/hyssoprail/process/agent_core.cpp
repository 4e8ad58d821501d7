#include "hyssoprail/process/agent_core.hpp"

#include <algorithm>

namespace hyssoprail {
namespace {

/// A ConfigRequest without an answer is repeated after this time.
constexpr milliseconds ConfigRetryInterval{500};

/// Results sent less than this time ago may still be in transit.
constexpr milliseconds ResultTransitTime{300};

} // namespace

AgentCore::AgentCore(AgentOptions Options, AgentConfig &Config,
                     Timeline &Events, Invariants &Checks, TimePoint Now)
    : Options(std::move(Options)), Config(Config), Events(Events),
      Checks(Checks), View(Config.view()), Outcomes(this->Options.Outcomes),
      Ramp(this->Options.Ramp),
      Orders(this->Options.Orders, this->Options.Incarnation) {
  Ramp.restart(Now);
  LivenessUnknownSince = Now;
  LastTick = Now;
  if (this->Options.Kind == AgentKind::Service) {
    EngineUp = true;
    HeldWorkKnown = true;
    Ramp.setMax(this->Options.ServiceSlots);
  }
  onTick(Now);
}

std::vector<AgentAction> AgentCore::takeActions() {
  return std::exchange(Actions, {});
}

void AgentCore::onMessage(const std::string &Peer,
                          const wire::Envelope &Message, TimePoint Now) {
  if (Message.incarnation() == 0)
    return;
  Entry &From = updateSession(Peer, Message, Now);
  switch (Message.body_case()) {
  case wire::Envelope::kHeartbeat:
    onHeartbeat(From, Message, Now);
    break;
  case wire::Envelope::kReserveRequest:
    onReserve(From, Message, Now);
    break;
  case wire::Envelope::kPrefillStart:
    onPrefill(From, Message, Now);
    break;
  case wire::Envelope::kDecodeStart:
    onDecode(From, Message, Now);
    break;
  case wire::Envelope::kCallStart:
    onCall(From, Message, Now);
    break;
  case wire::Envelope::kOutcomeQuery:
    onOutcomeQuery(From, Message, Now);
    break;
  case wire::Envelope::kCancel:
    onCancel(From, Message, Now);
    break;
  case wire::Envelope::kResendRequest:
    onResend(From, Message.resend_request(), Now);
    break;
  case wire::Envelope::kConfigRecords:
  case wire::Envelope::kConfigSnapshot:
    onConfig(From, Message, Now);
    break;
  default:
    break;
  }
  dispatch(Now);
}

AgentCore::Entry &AgentCore::updateSession(const std::string &Peer,
                                           const wire::Envelope &Message,
                                           TimePoint Now) {
  Entry &From = Entries[Message.incarnation()];
  if (From.Incarnation == 0) {
    From.Incarnation = Message.incarnation();
    From.LastHeard = Now;
    From.Peer = Peer;
  }
  // A delayed message neither renews the lease nor changes the peer.
  if (Message.seq() > From.NewestSeq) {
    From.NewestSeq = Message.seq();
    From.LastHeard = Now;
    From.Peer = Peer;
  }
  return From;
}

void AgentCore::onHeartbeat(Entry &From, const wire::Envelope &Message,
                            TimePoint Now) {
  const wire::Heartbeat &Beat = Message.heartbeat();
  if (Message.seq() <= From.HeartbeatSeq)
    return;
  From.HeartbeatSeq = Message.seq();
  From.Listed.clear();
  for (const wire::WorkRef &Ref : Beat.live())
    From.Listed.insert(workKey(Ref));
  for (const WorkKey &Key : From.Listed) {
    // A KV cache adopted after a restart belongs to the entry that lists it.
    auto It = ActiveWork.find(Key);
    if (It == ActiveWork.end() || It->second.Entry != 0 ||
        It->second.Phase != State::HoldingKv)
      continue;
    It->second.Entry = From.Incarnation;
    It->second.Deadline = Now + Options.DefaultKvTtl;
    From.Live.insert(Key);
  }
  std::vector<WorkKey> Dropped;
  for (const WorkKey &Key : From.Live)
    if (!From.Listed.contains(Key) && ActiveWork.at(Key).Seq < Message.seq())
      Dropped.push_back(Key);
  for (const WorkKey &Key : Dropped)
    cancelWork(ActiveWork.at(Key), wire::REFUSAL_REASON_STALE,
               "the entry no longer lists it", false, Now);
  // A heartbeat that no longer lists ended work confirms its result.
  std::erase_if(From.Unconfirmed, [&](const WorkKey &Key) {
    if (From.Listed.contains(Key))
      return false;
    auto It = RetainedResults.find(Key);
    if (It != RetainedResults.end()) {
      It->second.Tokens.clear();
      It->second.Tokens.shrink_to_fit();
    }
    return true;
  });
  // Results sent over a link that has since been replaced may be lost.
  for (const WorkKey &Key : From.Unconfirmed) {
    auto It = RetainedResults.find(Key);
    if (It != RetainedResults.end() && It->second.SentTo != From.Peer)
      resendResult(From, Key);
  }
  From.Version = std::max(From.Version, Beat.version());
  acknowledge(From, Message.seq(), Now);
  requestConfig(From, Now);
}

void AgentCore::acknowledge(Entry &From, std::uint64_t Seq, TimePoint Now) {
  wire::Envelope Answer;
  wire::HeartbeatAck &Ack = *Answer.mutable_heartbeat_ack();
  Ack.set_acked_seq(Seq);
  Ack.set_version(View.Version);
  for (const WorkKey &Key : From.Live)
    *Ack.add_live() = workRef(Key);
  Ack.set_leaving(Draining || View.Leaving);
  Ack.set_role("agent");
  Ack.set_http_address(HttpAddress);
  Ack.set_zone(Options.Zone);
  Ack.set_endpoint(Options.Endpoint);
  Ack.set_needs_lease(Orders.needsLease(View));
  fillLoad(*Ack.mutable_load(), Now);
  send(From, std::move(Answer));
}

void AgentCore::fillLoad(wire::LoadReport &Load, TimePoint Now) const {
  Load.set_slots(EngineUp && HeldWorkKnown && !OrderPending ? slotLimit() : 0);
  Load.set_slots_used(SlotsUsed);
  Load.set_pieces(Engine.Pieces);
  Load.set_pieces_used(PiecesUsed);
  Load.set_queued(static_cast<std::uint32_t>(Queue.size()));
  Load.set_queued_tokens(static_cast<std::uint64_t>(Queue.waitingCost()));
  Load.set_step_us(static_cast<std::uint32_t>(StepMicros));
  Load.set_prefill_us_per_token(static_cast<std::uint32_t>(PrefillMicros));
  Load.set_cold(Ramp.cold());
  if (SlotsUsed < slotLimit())
    return;
  TimePoint Next = TimePoint::max();
  for (const Work *W : CapacityHolders)
    if (W->HeldSlots != 0)
      Next = std::min(Next, predictedRelease(*W, Now));
  if (Next != TimePoint::max())
    Load.set_next_release_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(Next - Now).count()));
}

void AgentCore::onCancel(Entry &From, const wire::Envelope &Message,
                         TimePoint Now) {
  const WorkKey Key = workKey(Message.cancel().work());
  auto It = ActiveWork.find(Key);
  if (It != ActiveWork.end()) {
    if (It->second.Entry == From.Incarnation)
      cancelWork(It->second, wire::REFUSAL_REASON_DUPLICATE, "cancelled", false,
                 Now);
    return;
  }
  if (RetainedResults.contains(Key))
    return;
  // The start may still be in transit. The record has no owner because it only
  // answers a start that is addressed to this incarnation.
  RetainedResult Record;
  wire::Failed &Failure = *Record.Result.mutable_failed();
  *Failure.mutable_work() = Message.cancel().work();
  Failure.set_reason(wire::REFUSAL_REASON_STALE);
  Failure.set_not_run(true);
  Failure.set_message("the work was cancelled before it started");
  retainResult(Key, std::move(Record), Now);
  if (Key.Leg == wire::LEG_CALL &&
      Outcomes.find(Key.RequestId, {}) == nullptr && !Outcomes.full())
    Outcomes.recordNotRun(Key.RequestId, Key.Attempt, Now);
}

void AgentCore::onResend(Entry &From, const wire::ResendRequest &Request,
                         TimePoint) {
  const WorkKey Key = workKey(Request.work());
  const std::vector<std::string> *Tokens = nullptr;
  std::uint32_t First = 0;
  if (auto It = ActiveWork.find(Key); It != ActiveWork.end()) {
    Tokens = &It->second.Tokens;
    First = It->second.FirstIndex;
  } else if (auto Old = RetainedResults.find(Key);
             Old != RetainedResults.end()) {
    Tokens = &Old->second.Tokens;
    First = Old->second.FirstIndex;
  }
  if (Tokens == nullptr)
    return;
  if (Request.from_index() >= First &&
      Request.from_index() - First < Tokens->size()) {
    wire::Envelope Answer;
    wire::Chunk &Chunk = *Answer.mutable_chunk();
    *Chunk.mutable_work() = Request.work();
    Chunk.set_index(Request.from_index());
    for (std::size_t I = Request.from_index() - First; I < Tokens->size(); ++I)
      Chunk.add_tokens((*Tokens)[I]);
    send(From, std::move(Answer));
  }
  if (auto It = RetainedResults.find(Key);
      It != RetainedResults.end() && It->second.Entry == From.Incarnation)
    resendResult(From, Key);
}

void AgentCore::onConfig(Entry &From, const wire::Envelope &Message,
                         TimePoint Now) {
  const std::uint64_t Before = View.Version;
  if (Message.has_config_records())
    Config.apply(Message.config_records());
  else
    Config.restore(Message.config_snapshot().state());
  View = Config.view();
  Orders.configApplied(View);
  Checks.check(Invariant::ConfigMonotonic, View.Version >= Before,
               "the configuration version went backwards");
  if (View.Version != Before)
    recordEvent(EventKind::ConfigApplied, {}, {}, {});
  // Still behind if records are missing or the batch did not contain all.
  From.ConfigRequestedAt = {};
  requestConfig(From, Now);
}

void AgentCore::requestConfig(Entry &From, TimePoint Now) {
  if (From.Version <= View.Version ||
      Now - From.ConfigRequestedAt < ConfigRetryInterval)
    return;
  From.ConfigRequestedAt = Now;
  wire::Envelope Request;
  Request.mutable_config_request()->set_after_version(View.Version);
  send(From, std::move(Request));
}

bool AgentCore::stale(const Entry &From, const WorkKey &Key,
                      std::uint64_t Seq) const {
  return Seq < From.HeartbeatSeq && !From.Listed.contains(Key);
}

wire::RefusalReason AgentCore::refusalOfNewWork() const {
  if (Draining || View.Leaving)
    return wire::REFUSAL_REASON_LEAVING;
  if (View.ZoneOut)
    return wire::REFUSAL_REASON_ZONE_OUT;
  if (!EngineUp || !HeldWorkKnown || OrderPending)
    return wire::REFUSAL_REASON_COLD;
  return wire::REFUSAL_REASON_UNSPECIFIED;
}

void AgentCore::send(Entry &To, wire::Envelope Message) {
  Message.set_seq(++To.SentSeq);
  Actions.emplace_back(SendMessage{To.Peer, std::move(Message)});
}

void AgentCore::replyFailed(Entry &To, const WorkKey &Key,
                            wire::RefusalReason Reason, bool NotRun,
                            std::string Text, TimePoint Now) {
  ++Counts.Refused;
  RetainedResult Record;
  Record.Entry = To.Incarnation;
  Record.SentTo = To.Peer;
  wire::Failed &Failure = *Record.Result.mutable_failed();
  *Failure.mutable_work() = workRef(Key);
  Failure.set_reason(Reason);
  Failure.set_not_run(NotRun);
  Failure.set_message(std::move(Text));
  send(To, Record.Result);
  if (!ActiveWork.contains(Key) && !RetainedResults.contains(Key))
    retainResult(Key, std::move(Record), Now);
}

bool AgentCore::resendResult(Entry &From, const WorkKey &Key) {
  auto It = RetainedResults.find(Key);
  if (It == RetainedResults.end())
    return false;
  It->second.SentTo = From.Peer;
  send(From, It->second.Result);
  return true;
}

void AgentCore::recordEvent(EventKind Kind, const WorkKey &Key,
                            std::string_view Account, std::string_view Detail) {
  Event E;
  E.Kind = Kind;
  E.RequestId = Key.RequestId;
  E.Attempt = Key.Attempt;
  E.Account = Account;
  E.Endpoint = Options.Endpoint;
  E.Version = View.Version;
  E.Detail = Detail;
  Events.record(std::move(E));
}

void AgentCore::drain(TimePoint Now) {
  Draining = true;
  onTick(Now);
}

bool AgentCore::drained(TimePoint Now) const {
  return Draining && ActiveWork.empty() && Now - LastResult > ResultTransitTime;
}

bool AgentCore::ready() const {
  return refusalOfNewWork() == wire::REFUSAL_REASON_UNSPECIFIED;
}

AgentStats AgentCore::stats() const {
  AgentStats S = Counts;
  S.EngineUp = EngineUp;
  S.Cold = Ramp.cold();
  S.Leaving = Draining || View.Leaving;
  S.SlotLimit = slotLimit();
  S.Slots = Engine.Slots;
  S.SlotsUsed = SlotsUsed;
  S.Running = Running;
  S.Pieces = Engine.Pieces;
  S.PiecesUsed = PiecesUsed;
  S.Queued = Queue.size();
  S.Live = ActiveWork.size();
  S.Entries = Entries.size();
  S.Outcomes = Outcomes.size();
  S.ResultsRetained = RetainedResults.size();
  S.Version = View.Version;
  return S;
}

} // namespace hyssoprail
