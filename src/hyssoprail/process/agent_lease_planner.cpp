#include "hyssoprail/process/agent_lease_planner.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/core/random.hpp"

namespace hyssoprail {
namespace {

std::string operationId(std::string_view Endpoint, std::uint64_t Incarnation) {
  return fmt::format("agent-lease/{}/{:x}", Endpoint, Incarnation);
}

std::uint64_t entryWeight(std::string_view Endpoint, std::uint64_t Entry) {
  return rendezvousWeight(fmt::format("agent-lease/{}", Endpoint),
                          hexId(0, Entry));
}

/// True if a lease record for \p Incarnation would have no effect: the
/// incarnation already holds the lease, or the operation id was already
/// applied.
bool isRecorded(const ConfigStore &Store, const std::string &Endpoint,
                std::uint64_t Incarnation) {
  const auto Lease = Store.agentLease(Endpoint);
  return (Lease && Lease->incarnation() == Incarnation) ||
         Store.operation(operationId(Endpoint, Incarnation)).has_value();
}

} // namespace

void AgentLeasePlanner::handleAck(const std::string &Address,
                                  const wire::HeartbeatAck &Ack,
                                  std::uint64_t AgentIncarnation,
                                  TimePoint Now) {
  if (Ack.endpoint().empty() || AgentIncarnation == 0)
    return;
  const auto It = Requests.find(Ack.endpoint());
  const bool SameAgent = It != Requests.end() &&
                         It->second.Address == Address &&
                         It->second.Incarnation == AgentIncarnation;
  if (!Ack.needs_lease()) {
    if (SameAgent)
      Requests.erase(It);
    return;
  }
  if (SameAgent)
    It->second.LastRequested = Now;
  else
    Requests[Ack.endpoint()] = {Address, AgentIncarnation, Now, Now, {}};
}

/// Returns the rank of this entry among the live member entries, ordered by
/// descending rendezvous weight, or nullopt if this entry is not a member.
std::optional<std::size_t>
AgentLeasePlanner::rank(std::string_view Endpoint, const ConfigStore &Store,
                        const std::vector<LivePeer> &Peers) const {
  const std::uint64_t OwnWeight = entryWeight(Endpoint, Self);
  bool Member = false;
  std::size_t Rank = 0;
  for (const wire::MemberState &M : Store.members()) {
    const std::uint64_t Other = M.member().incarnation();
    if (M.member().gone())
      continue;
    if (Other == Self)
      Member = true;
    else if (std::any_of(Peers.begin(), Peers.end(),
                         [&](const LivePeer &P) {
                           return P.Incarnation == Other && !P.Leaving;
                         }) &&
             entryWeight(Endpoint, Other) > OwnWeight)
      ++Rank;
  }
  return Member ? std::optional(Rank) : std::nullopt;
}

std::vector<wire::LogRecord>
AgentLeasePlanner::plan(const ConfigStore &Store,
                        const std::vector<LivePeer> &Peers, bool Leaving,
                        TimePoint Now) {
  std::erase_if(Requests, [&](const auto &Entry) {
    return Now - Entry.second.LastRequested > Options.RequestExpiry;
  });
  std::vector<wire::LogRecord> Out;
  if (Leaving)
    return Out;
  const ConfigPtr Config = Store.current();
  for (auto &[Name, Request] : Requests) {
    // The link to the former agent of a removed or moved endpoint may still be
    // open.
    const wire::Endpoint *Configured = Config->endpoint(Name);
    if (Configured == nullptr ||
        Configured->agent_address() != Request.Address ||
        isRecorded(Store, Name, Request.Incarnation))
      continue;
    const std::string Id = operationId(Name, Request.Incarnation);
    const auto Rank = rank(Name, Store, Peers);
    if (!Rank || PendingAppends.contains(Id))
      continue;
    const Duration Delay = static_cast<int>(*Rank) * Options.DelayPerRank;
    if (Now < Request.NotBefore.value_or(Request.FirstRequested) + Delay)
      continue;
    PendingAppends.insert(Id);
    wire::LogRecord &Record = Out.emplace_back();
    Record.set_operation_id(Id);
    Record.mutable_agent_lease()->set_endpoint(Name);
    Record.mutable_agent_lease()->set_incarnation(Request.Incarnation);
  }
  return Out;
}

void AgentLeasePlanner::appendEnded(const wire::LogRecord &Record,
                                    TimePoint Now) {
  PendingAppends.erase(Record.operation_id());
  const wire::AgentLease &Lease = Record.agent_lease();
  const auto It = Requests.find(Lease.endpoint());
  if (It != Requests.end() && It->second.Incarnation == Lease.incarnation())
    It->second.NotBefore = Now + Options.RetryDelay;
}

} // namespace hyssoprail
