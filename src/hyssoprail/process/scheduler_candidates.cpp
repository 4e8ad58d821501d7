// Selection of the candidate endpoints of a request.
#include <algorithm>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/process/scheduler_types.hpp"

namespace hyssoprail {

const Scheduler::Candidates &
Scheduler::candidates(const ScheduleRequest &Request) {
  std::string Key = Request.Pool;
  if (HasSelectors)
    Key += '\n' + Request.Route + '\n' + Request.Account;
  const auto It = CandidateCache.find(Key);
  if (It != CandidateCache.end())
    return It->second;
  Candidates Found;
  for (auto &[Name, E] : Endpoints) {
    if (E->Config.pool() != Request.Pool || !E->InService)
      continue;
    if (HasSelectors &&
        !Config->permits(E->Config, Request.Account, Request.Route))
      continue;
    auto &List = E->Config.role() == wire::ENDPOINT_ROLE_PREFILL ? Found.Prefill
                 : E->Config.role() == wire::ENDPOINT_ROLE_DECODE
                     ? Found.Decode
                     : Found.Service;
    List.push_back(E.get());
  }
  Found.Prefill = subset(std::move(Found.Prefill), Request);
  Found.Decode = subset(std::move(Found.Decode), Request);
  Found.Service = subset(std::move(Found.Service), Request);
  return CandidateCache.emplace(std::move(Key), std::move(Found)).first->second;
}

/// Returns at most SubsetSize endpoints: those of this entry's zone first, then
/// of its region, then the others, each group ordered by rendezvous weight.
/// Entries therefore use different subsets, and adding or removing an endpoint
/// changes few of them.
std::vector<Scheduler::Endpoint *>
Scheduler::subset(std::vector<Endpoint *> All,
                  const ScheduleRequest & /*Request*/) const {
  if (All.size() <= Options.SubsetSize)
    return All;
  struct Ranked {
    int Distance;
    std::uint64_t Weight;
    Endpoint *Candidate;
  };
  std::vector<Ranked> Order;
  Order.reserve(All.size());
  for (Endpoint *E : All) {
    int Distance = 2;
    if (E->Region == Region)
      Distance = 1;
    if (E->Zone == Options.Zone)
      Distance = 0;
    Order.push_back(
        {Distance, rendezvousWeight(Options.EntryName, E->Config.name()), E});
  }
  const auto SubsetEnd =
      Order.begin() + static_cast<std::ptrdiff_t>(Options.SubsetSize);
  std::partial_sort(Order.begin(), SubsetEnd, Order.end(),
                    [](const Ranked &Left, const Ranked &Right) {
                      if (Left.Distance != Right.Distance)
                        return Left.Distance < Right.Distance;
                      return Left.Weight > Right.Weight;
                    });
  std::vector<Endpoint *> Chosen;
  for (auto It = Order.begin(); It != SubsetEnd; ++It)
    Chosen.push_back(It->Candidate);
  return Chosen;
}

} // namespace hyssoprail
