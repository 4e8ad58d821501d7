#include "hyssoprail/entry/entry_runtime.hpp"

namespace hyssoprail::entry {
namespace {

/// Work that a message of an agent concerns; null if it concerns none.
const wire::WorkRef *workOf(const wire::Envelope &Message) {
  switch (Message.body_case()) {
  case wire::Envelope::kReserveReply:
    return &Message.reserve_reply().work();
  case wire::Envelope::kPrefillDone:
    return &Message.prefill_done().work();
  case wire::Envelope::kChunk:
    return &Message.chunk().work();
  case wire::Envelope::kFinished:
    return &Message.finished().work();
  case wire::Envelope::kFailed:
    return &Message.failed().work();
  case wire::Envelope::kCallReply:
    return &Message.call_reply().work();
  case wire::Envelope::kOutcomeReply:
    return &Message.outcome_reply().work();
  default:
    return nullptr;
  }
}

/// What a heartbeat or an ack says of its sender.
template <typename Beat>
wire::MemberStatus statusOf(const wire::Envelope &Message, const Beat &B) {
  wire::MemberStatus Status;
  Status.set_name(Message.sender());
  Status.set_incarnation(Message.incarnation());
  Status.set_role(B.role());
  Status.set_zone(B.zone());
  Status.set_version(B.version());
  Status.set_leaving(B.leaving());
  Status.set_http_address(B.http_address());
  if constexpr (requires { B.peer_address(); })
    Status.set_peer_address(B.peer_address());
  return Status;
}

template <typename Beat>
FeedPeer feedPeerOf(const wire::Envelope &Message, const Beat &B) {
  return {.Name = Message.sender(),
          .IsEntry = B.role() == "entry",
          .Zone = B.zone(),
          .Version = B.version(),
          .LogAge = milliseconds(B.log_age_ms())};
}

bool changesKeys(const ConfigUpdate &Update) {
  if (Update.Restored)
    return true;
  for (const wire::OffsetRecord &R : Update.Records) {
    const wire::ObjectKind Kind = R.record().change().object().kind();
    if (R.record().has_change() &&
        (Kind == wire::OBJECT_KIND_KEY || Kind == wire::OBJECT_KIND_ACCOUNT))
      return true;
  }
  return false;
}

} // namespace

void EntryRuntime::onBusMessage(const BusSource &Source,
                                wire::Envelope Message) {
  if (Source.Link != 0)
    return Links->receive(Source, std::move(Message));
  onPeerMessage(Source, Message);
}

/// A message over a link that this entry opened.
void EntryRuntime::onLinkMessage(const std::string &Address,
                                 const wire::Envelope &Message) {
  if (Message.has_heartbeat_ack())
    return onAck(Address, Message);
  if (workOf(Message) != nullptr)
    return onWorkMessage(Directory.endpointAt(Address), Message);
  const bool Configuration =
      Follower.receive(Message, [this, Address](wire::Envelope Out) {
        Links->send(Address, std::move(Out));
      });
  if (!Configuration)
    Limits.message(Message);
}

/// A message of another entry over a link that it opened.
void EntryRuntime::onPeerMessage(const BusSource &Source,
                                 const wire::Envelope &Message) {
  const auto Answer = [this, Source](wire::Envelope Out) {
    Out.set_seq(++ReplySeq);
    Sockets->replyTo(Source, std::move(Out));
  };
  if (!Message.has_heartbeat()) {
    if (!Follower.receive(Message, Answer))
      Limits.message(Message);
    return;
  }
  const wire::Heartbeat &Beat = Message.heartbeat();
  {
    const TimePoint Now = Time.now();
    std::lock_guard Lock(ProcessesMutex);
    if (!Processes.recordMessage(statusOf(Message, Beat), Now))
      return;
    for (const wire::MemberStatus &Other : Beat.members())
      Processes.recordGossip(Other, Now);
  }
  notePeerLog(Message, Beat.version(), Beat.log_age_ms());
  wire::Envelope Out;
  wire::HeartbeatAck &Ack = *Out.mutable_heartbeat_ack();
  Ack.set_acked_seq(Message.seq());
  Ack.set_version(Store.current()->version());
  Ack.set_leaving(Draining);
  Ack.set_role("entry");
  Ack.set_http_address(adminAddress());
  Ack.set_zone(Settings.Process.Zone);
  Ack.set_log_age_ms(static_cast<std::uint32_t>(logAge().count()));
  Answer(std::move(Out));
  Follower.heard(feedPeerOf(Message, Beat), Answer);
}

void EntryRuntime::onAck(const std::string &Address,
                         const wire::Envelope &Message) {
  const wire::HeartbeatAck &Ack = Message.heartbeat_ack();
  {
    std::lock_guard Lock(ProcessesMutex);
    if (!Processes.recordMessage(statusOf(Message, Ack), Time.now(),
                                 Ack.role() == "agent" ? &Ack.load() : nullptr))
      return;
  }
  Follower.heard(feedPeerOf(Message, Ack), [this, Address](wire::Envelope Out) {
    Links->send(Address, std::move(Out));
  });
  if (Ack.role() == "entry") {
    notePeerLog(Message, Ack.version(), Ack.log_age_ms());
    return;
  }
  const std::string Endpoint = Directory.endpointAt(Address);
  if (Endpoint.empty())
    return;
  {
    std::lock_guard Lock(AgentLeasesMutex);
    AgentLeases.handleAck(Address, Ack, Message.incarnation(), Time.now());
  }
  Scheduling.report(Endpoint, Ack);
  Scheduling.pump(Requests, false);
}

void EntryRuntime::onWorkMessage(const std::string &Endpoint,
                                 const wire::Envelope &Message) {
  Requests.post(workOf(Message)->request_id(),
                [&](RequestFlow &F, TimePoint Now, FlowActions &Out) {
                  if (Message.has_prefill_done())
                    Scheduling.learnCacheSize(Message.prefill_done(),
                                              F.spec().Completion.PromptTokens);
                  F.received(Endpoint, Message, Now, Out);
                });
  Scheduling.pump(Requests, false);
}

void EntryRuntime::notePeerLog(const wire::Envelope &Message,
                               std::uint64_t Version, std::uint32_t LogAgeMs) {
  const TimePoint Now = Time.now();
  std::lock_guard Lock(FreshnessMutex);
  Freshness.peerHeard(Message.incarnation(),
                      {Now, Now - milliseconds(LogAgeMs), Version});
}

void EntryRuntime::onConfig(const ConfigUpdate &Update) {
  const std::uint64_t Version = Update.Config->version();
  Checks.check(Invariant::ConfigMonotonic, Version > AppliedVersion,
               "an older configuration is applied");
  AppliedVersion = Version;
  Scheduling.configure(Update.Config);
  for (const std::string &Address : Directory.update(*Update.Config))
    Links->ensure(Address);
  if (changesKeys(Update))
    Requests.postAll([](RequestFlow &F, TimePoint Now, FlowActions &Out) {
      F.recheckKey(Now, Out);
    });
  Limits.configChanged(Update);
  linkMembers();
  Admin.reduced();
  Event E;
  E.Kind = EventKind::ConfigApplied;
  E.Version = Version;
  Events.record(std::move(E));
  Scheduling.pump(Requests, false);
}

void EntryRuntime::onIncarnation(const std::string &Address,
                                 std::uint64_t Old) {
  const std::string Endpoint = Directory.endpointAt(Address);
  if (Old == 0 || Endpoint.empty())
    return;
  Requests.postAll([&](RequestFlow &F, TimePoint Now, FlowActions &Out) {
    F.endpointLost(Endpoint, Now, Out);
  });
  Scheduling.pump(Requests, false);
}

void EntryRuntime::onReplaced(const std::string &Address) {
  const std::string Endpoint = Directory.endpointAt(Address);
  Event E;
  E.Kind = EventKind::LinkReplaced;
  E.Endpoint = Endpoint;
  E.Detail = Address;
  Events.record(std::move(E));
  Requests.postAll([&](RequestFlow &F, TimePoint Now, FlowActions &Out) {
    F.linkReplaced(Endpoint, Now, Out);
  });
}

wire::Heartbeat EntryRuntime::makeHeartbeat(const std::string &Address) {
  wire::Heartbeat Beat;
  Beat.set_version(Store.current()->version());
  for (wire::WorkRef &Work : Live.list(Directory.endpointAt(Address)))
    *Beat.add_live() = std::move(Work);
  Beat.set_leaving(Draining);
  Beat.set_role("entry");
  Beat.set_http_address(adminAddress());
  Beat.set_zone(Settings.Process.Zone);
  Beat.set_peer_address(Sockets->boundAddress());
  Beat.set_log_age_ms(static_cast<std::uint32_t>(logAge().count()));
  if (Directory.endpointAt(Address).empty()) {
    std::lock_guard Lock(ProcessesMutex);
    for (wire::MemberStatus &Known : Processes.gossipToSend(Time.now()))
      *Beat.add_members() = std::move(Known);
  }
  return Beat;
}

} // namespace hyssoprail::entry
