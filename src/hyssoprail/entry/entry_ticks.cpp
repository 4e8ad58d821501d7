#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

#include "hyssoprail/entry/entry_runtime.hpp"
#include "hyssoprail/version/record_codec.hpp"

namespace hyssoprail::entry {
namespace {

/// Interval of link heartbeats, request timers and the scheduler's clock.
constexpr milliseconds TickInterval{10};

/// Ticks between two rounds of the limits, the members and the agent leases.
constexpr std::uint64_t LimitTicks = 4;
constexpr std::uint64_t MemberTicks = 25;
constexpr std::uint64_t AgentLeaseTicks = 10;

/// Ticks between two rounds of the configuration feed.
constexpr std::uint64_t FeedTicks = 5;

/// Ticks between two reads of the VM list, which lags anyway.
constexpr std::uint64_t VmTicks = 200;

/// Age up to which a process is listed in the status.
constexpr milliseconds StatusAge{30'000};

/// The log counts as healthy while its end was read within this time.
constexpr milliseconds HealthyLogAge{2'000};

} // namespace

void EntryRuntime::scheduleTick() {
  Ticker.expires_after(TickInterval);
  Ticker.async_wait([this](const boost::system::error_code &Code) {
    if (Code)
      return;
    tick();
    scheduleTick();
  });
}

void EntryRuntime::tick() {
  Links->tick();
  for (const std::string &Address : Directory.addresses())
    if (!Links->reachable(Address))
      Scheduling.reachable(Directory.endpointAt(Address), false);
  Requests.tick();
  Scheduling.pump(Requests, true);
  Admin.tick();
  ++Ticks;
  if (Ticks % FeedTicks == 0)
    Follower.tick();
  if (Ticks % LimitTicks == 0)
    tickLimits();
  if (Ticks % MemberTicks == 0)
    tickMembers();
  if (Ticks % AgentLeaseTicks == 0)
    tickAgentLeases();
  if (Ticks % VmTicks == 1)
    tickVms();
}

/// Entries in the VM list that no record names yet are met through their link.
void EntryRuntime::tickVms() {
  Platform.vms([this](const Result<std::vector<VmInfo>> &Answer) {
    if (errorOf(Answer) != nullptr)
      return;
    for (const VmInfo &Vm : valueOf(Answer))
      if (Vm.Role == "entry" && !Vm.Leaving && !Vm.PeerAddress.empty() &&
          Vm.PeerAddress != Sockets->boundAddress())
        Links->ensure(Vm.PeerAddress);
  });
}

std::vector<MemberView> EntryRuntime::knownProcesses() const {
  std::lock_guard Lock(ProcessesMutex);
  return Processes.members(Time.now());
}

std::vector<LivePeer> EntryRuntime::liveEntries() const {
  std::vector<LivePeer> Peers;
  for (const MemberView &P : knownProcesses())
    if (P.State == Liveness::Live && P.Status.role() == "entry")
      Peers.push_back(
          {P.Status.incarnation(), P.Status.version(), P.Status.leaving()});
  return Peers;
}

void EntryRuntime::tickLimits() { Limits.tick(liveEntries()); }

void EntryRuntime::tickAgentLeases() {
  std::vector<wire::LogRecord> Records;
  {
    std::lock_guard Lock(AgentLeasesMutex);
    Records = AgentLeases.plan(Store, liveEntries(), Draining, Time.now());
  }
  for (wire::LogRecord &Record : Records) {
    Record.set_author(Settings.Process.Name);
    Record.set_unix_ms(Time.unixMicros() / 1000);
    const std::string Data = encodeStable(Record);
    Platform.append(Data, [this, Record = std::move(Record)](
                              const Result<std::uint64_t> &Offset) {
      if (const Error *E = errorOf(Offset))
        spdlog::warn("[entry] The agent lease of endpoint {} was not "
                     "appended: {}.",
                     Record.agent_lease().endpoint(), E->Message);
      std::lock_guard Lock(AgentLeasesMutex);
      AgentLeases.appendEnded(Record, Time.now());
    });
  }
}

void EntryRuntime::tickMembers() {
  const TimePoint Now = Time.now();
  const auto State = [this, Now](std::uint64_t Other) {
    std::lock_guard Lock(ProcessesMutex);
    return Processes.liveness(Other, Now);
  };
  const std::optional<wire::Member> Record =
      Members->next(Now, Store.members(), State, logAge() <= HealthyLogAge);
  if (Record && !Draining)
    appendMember(*Record);
  std::lock_guard Lock(ProcessesMutex);
  Processes.removeExpired(Now);
}

void EntryRuntime::appendMember(const wire::Member &Member) {
  wire::LogRecord Record;
  Record.set_operation_id((Member.gone() ? "gone-" : "member-") +
                          hexId(Member.incarnation(), 0));
  Record.set_author(Settings.Process.Name);
  Record.set_unix_ms(Time.unixMicros() / 1000);
  *Record.mutable_member() = Member;
  // It is appended again if it does not show up in the state.
  Platform.append(encodeStable(Record), [](const Result<std::uint64_t> &) {});
}

/// Keeps links to all member entries.
void EntryRuntime::linkMembers() {
  const std::string Own = Sockets->boundAddress();
  for (const wire::MemberState &M : Store.members()) {
    const std::string &Address = M.member().peer_address();
    if (!M.member().gone() && Address != Own && !Address.empty())
      Links->ensure(Address);
  }
}

LimitPorts EntryRuntime::limitPorts() {
  LimitPorts Ports;
  Ports.Send = [this](const SendToEntry &Send) {
    wire::Envelope Message = Send.Message;
    Message.set_to_incarnation(Send.Incarnation);
    Links->send(Send.Address, std::move(Message));
  };
  Ports.Answer = [this](const std::string &RequestId, const Status &Answer) {
    Requests.post(RequestId,
                  [&](RequestFlow &F, TimePoint Now, FlowActions &Out) {
                    F.debited(Answer, Now, Out);
                  });
    Scheduling.pump(Requests, false);
  };
  Ports.Apply = [this](const std::vector<wire::OffsetRecord> &Records) {
    Follower.apply(Records);
  };
  Ports.LogRead = [this](TimePoint Began) {
    std::lock_guard Lock(FreshnessMutex);
    Freshness.logRead(Began);
  };
  return Ports;
}

wire::Member EntryRuntime::ownMember() const {
  wire::Member Self;
  Self.set_incarnation(Incarnation);
  Self.set_name(Settings.Process.Name);
  Self.set_peer_address(Sockets->boundAddress());
  Self.set_zone(Settings.Process.Zone);
  return Self;
}

std::string EntryRuntime::adminAddress() const {
  return Settings.Process.Address + ":" + std::to_string(AdminServer->port());
}

wire::MemberStatus EntryRuntime::ownStatus() {
  wire::MemberStatus Own;
  Own.set_name(Settings.Process.Name);
  Own.set_role("entry");
  Own.set_zone(Settings.Process.Zone);
  Own.set_incarnation(Incarnation);
  Own.set_version(Store.current()->version());
  Own.set_leaving(Draining);
  Own.set_peer_address(Sockets->boundAddress());
  Own.set_http_address(adminAddress());
  return Own;
}

FleetStatus EntryRuntime::fleetStatus() {
  FleetStatus Status;
  for (MemberView &P : knownProcesses())
    if (milliseconds(P.Status.age_ms()) <= StatusAge)
      Status.Processes.push_back({std::move(P.Status), std::move(P.Load)});
  Status.Processes.push_back({ownStatus(), std::nullopt});
  Status.LogAge = logAge();
  Status.Violations = Checks.violations();
  return Status;
}

milliseconds EntryRuntime::logAge() {
  std::lock_guard Lock(FreshnessMutex);
  return Freshness.logAge(Time.now());
}

} // namespace hyssoprail::entry
