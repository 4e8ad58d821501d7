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

std::uint64_t weight(std::string_view Endpoint, std::uint64_t Entry) {
  return rendezvousWeight(fmt::format("agent-lease/{}", Endpoint),
                          hexId(0, Entry));
}

/// True if the log already says what a lease of \p Incarnation would. A
/// remembered operation is never repeated, as its record would have no effect.
bool isRecorded(const ConfigStore &Store, const std::string &Endpoint,
                std::uint64_t Incarnation) {
  const auto Held = Store.agentLease(Endpoint);
  return (Held && Held->incarnation() == Incarnation) ||
         Store.operation(operationId(Endpoint, Incarnation)).has_value();
}

} // namespace

void AgentLeasePlanner::handleAck(const std::string &Address,
                                  const wire::HeartbeatAck &Ack,
                                  std::uint64_t AgentIncarnation,
                                  TimePoint Now) {
  if (Ack.endpoint().empty() || AgentIncarnation == 0)
    return;
  const auto It = Asks.find(Ack.endpoint());
  const bool Same = It != Asks.end() && It->second.Address == Address &&
                    It->second.Incarnation == AgentIncarnation;
  if (!Ack.needs_lease()) {
    if (Same)
      Asks.erase(It);
    return;
  }
  if (Same)
    It->second.LastAsked = Now;
  else
    Asks[Ack.endpoint()] = {Address, AgentIncarnation, Now, Now, {}};
}

/// Rank of this entry among the live members by rendezvous weight; nullopt if
/// it is not a member.
std::optional<std::size_t>
AgentLeasePlanner::rank(std::string_view Endpoint, const ConfigStore &Store,
                        const std::vector<LivePeer> &Peers) const {
  const std::uint64_t Mine = weight(Endpoint, Self);
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
             weight(Endpoint, Other) > Mine)
      ++Rank;
  }
  return Member ? std::optional(Rank) : std::nullopt;
}

std::vector<wire::LogRecord>
AgentLeasePlanner::plan(const ConfigStore &Store,
                        const std::vector<LivePeer> &Peers, bool Leaving,
                        TimePoint Now) {
  std::erase_if(Asks, [&](const auto &Entry) {
    return Now - Entry.second.LastAsked > Options.AskExpiry;
  });
  std::vector<wire::LogRecord> Out;
  if (Leaving)
    return Out;
  const ConfigPtr Config = Store.current();
  for (auto &[Name, A] : Asks) {
    // A removed or moved endpoint still has a link to its former agent.
    const wire::Endpoint *Known = Config->endpoint(Name);
    if (Known == nullptr || Known->agent_address() != A.Address ||
        isRecorded(Store, Name, A.Incarnation))
      continue;
    const std::string Id = operationId(Name, A.Incarnation);
    const auto Rank = rank(Name, Store, Peers);
    if (!Rank || Running.contains(Id))
      continue;
    const Duration Delay = static_cast<int>(*Rank) * Options.Stagger;
    if (Now < A.NotBefore.value_or(A.Since) + Delay)
      continue;
    Running.insert(Id);
    wire::LogRecord &Record = Out.emplace_back();
    Record.set_operation_id(Id);
    Record.mutable_agent_lease()->set_endpoint(Name);
    Record.mutable_agent_lease()->set_incarnation(A.Incarnation);
  }
  return Out;
}

void AgentLeasePlanner::appendEnded(const wire::LogRecord &Record,
                                    TimePoint Now) {
  Running.erase(Record.operation_id());
  const wire::AgentLease &Lease = Record.agent_lease();
  const auto It = Asks.find(Lease.endpoint());
  if (It != Asks.end() && It->second.Incarnation == Lease.incarnation())
    It->second.NotBefore = Now + Options.Retry;
}

} // namespace hyssoprail
