#include "hyssoprail/process/agent_queue.hpp"

#include <algorithm>

namespace hyssoprail {
namespace {

/// All counters are reset when there are more accounts than this. An account
/// without a counter starts at the current virtual time.
constexpr std::size_t MaxAccountCounters = 4'096;

/// The per-entry counters of an account are reset when there are more of them.
constexpr std::size_t MaxEntriesPerAccount = 1'024;

std::size_t classIndex(wire::RouteClass Class) {
  return std::min<std::size_t>(static_cast<std::size_t>(Class), 2);
}

} // namespace

void AgentQueue::push(QueuedWork Work) {
  const std::size_t Class = classIndex(Work.Class);
  if (AccountCounters.size() > MaxAccountCounters)
    AccountCounters.clear();
  Counters &Usage = AccountCounters[Work.Account];
  AccountQueue &Pending = Classes[Class].Accounts[Work.Account];
  // An account accumulates no credit while it is idle.
  if (Pending.Size == 0)
    Usage.VirtualTokens = std::max(Usage.VirtualTokens, VirtualTime);
  ++Pending.Size;
  std::deque<QueuedWork> &Fifo = Pending.ByEntry[Work.Entry];
  if (Fifo.empty() && !Usage.ByEntry.empty()) {
    double Lowest = Usage.ByEntry.begin()->second;
    for (const auto &[Entry, Value] : Usage.ByEntry)
      Lowest = std::min(Lowest, Value);
    Usage.ByEntry.try_emplace(Work.Entry, Lowest);
  }
  Locations[Work.Key] = {Class, Work.Account, Work.Entry};
  WaitingCost += Work.Cost;
  Fifo.push_back(std::move(Work));
}

bool AgentQueue::remove(const WorkKey &Key) {
  auto It = Locations.find(Key);
  if (It == Locations.end())
    return false;
  const Location Where = It->second;
  Locations.erase(It);
  erase(Where, Key);
  return true;
}

void AgentQueue::erase(const Location &Where, const WorkKey &Key) {
  auto &Accounts = Classes[Where.Class].Accounts;
  auto Owner = Accounts.find(Where.Account);
  auto Fifo = Owner->second.ByEntry.find(Where.Entry);
  auto Work = std::find_if(Fifo->second.begin(), Fifo->second.end(),
                           [&](const QueuedWork &W) { return W.Key == Key; });
  WaitingCost -= Work->Cost;
  Fifo->second.erase(Work);
  if (Fifo->second.empty())
    Owner->second.ByEntry.erase(Fifo);
  if (--Owner->second.Size == 0)
    Accounts.erase(Owner);
  if (Locations.empty())
    WaitingCost = 0;
}

std::size_t AgentQueue::nextClass() const {
  std::size_t First = ClassCount;
  for (std::size_t C = 0; C < ClassCount; ++C) {
    if (Classes[C].Accounts.empty())
      continue;
    if (Classes[C].PassedOver >= MaxPassedOver)
      return C;
    First = std::min(First, C);
  }
  return First;
}

const QueuedWork *AgentQueue::next() {
  const std::size_t Class = nextClass();
  if (Class == ClassCount)
    return nullptr;
  const AccountQueue *Best = nullptr;
  const Counters *BestUsage = nullptr;
  const std::string *BestName = nullptr;
  for (const auto &[Name, Pending] : Classes[Class].Accounts) {
    const Counters &Usage = AccountCounters[Name];
    const bool Earlier =
        BestUsage == nullptr ||
        Usage.VirtualTokens < BestUsage->VirtualTokens ||
        (Usage.VirtualTokens == BestUsage->VirtualTokens && Name < *BestName);
    if (!Earlier)
      continue;
    Best = &Pending;
    BestUsage = &Usage;
    BestName = &Name;
  }
  const std::deque<QueuedWork> *Fifo = nullptr;
  double Lowest = 0;
  for (const auto &[Entry, Candidates] : Best->ByEntry) {
    auto It = BestUsage->ByEntry.find(Entry);
    const double Value = It == BestUsage->ByEntry.end() ? 0 : It->second;
    if (Fifo != nullptr && Value >= Lowest)
      continue;
    Fifo = &Candidates;
    Lowest = Value;
  }
  return &Fifo->front();
}

QueuedWork AgentQueue::take() {
  QueuedWork Work = *next();
  const std::size_t Class = classIndex(Work.Class);
  remove(Work.Key);
  Classes[Class].PassedOver = 0;
  for (std::size_t C = 0; C < ClassCount; ++C)
    if (C != Class && !Classes[C].Accounts.empty())
      ++Classes[C].PassedOver;
  Counters &Usage = AccountCounters[Work.Account];
  VirtualTime = std::max(VirtualTime, Usage.VirtualTokens);
  addUsage(Usage, Work);
  return Work;
}

void AgentQueue::charge(const QueuedWork &Work) {
  Counters &Usage = AccountCounters[Work.Account];
  Usage.VirtualTokens = std::max(Usage.VirtualTokens, VirtualTime);
  addUsage(Usage, Work);
}

void AgentQueue::addUsage(Counters &Usage, const QueuedWork &Work) {
  if (Usage.ByEntry.size() > MaxEntriesPerAccount)
    Usage.ByEntry.clear();
  Usage.VirtualTokens += Work.Cost / std::max(1.0, Work.Weight);
  Usage.ByEntry[Work.Entry] += Work.Cost;
}

} // namespace hyssoprail
