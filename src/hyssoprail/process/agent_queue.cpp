#include "hyssoprail/process/agent_queue.hpp"

#include <algorithm>

namespace hyssoprail {
namespace {

/// Counters of accounts are forgotten beyond this number; a forgotten account
/// starts again at the current virtual time.
constexpr std::size_t MaxCounters = 4'096;

/// Entry incarnations remembered for one account.
constexpr std::size_t MaxEntries = 1'024;

std::size_t classIndex(wire::RouteClass Class) {
  return std::min<std::size_t>(static_cast<std::size_t>(Class), 2);
}

} // namespace

void AgentQueue::push(QueuedWork Work) {
  const std::size_t Class = classIndex(Work.Class);
  if (Served.size() > MaxCounters)
    Served.clear();
  Counters &Count = Served[Work.Account];
  Account &Waiting = Classes[Class].Accounts[Work.Account];
  // An account that was idle does not save up service.
  if (Waiting.Waiting == 0)
    Count.Virtual = std::max(Count.Virtual, VirtualTime);
  ++Waiting.Waiting;
  std::deque<QueuedWork> &Line = Waiting.ByEntry[Work.Entry];
  if (Line.empty() && !Count.ByEntry.empty()) {
    double Least = Count.ByEntry.begin()->second;
    for (const auto &[Entry, Value] : Count.ByEntry)
      Least = std::min(Least, Value);
    Count.ByEntry.try_emplace(Work.Entry, Least);
  }
  Places[Work.Key] = {Class, Work.Account, Work.Entry};
  WaitingCost += Work.Cost;
  Line.push_back(std::move(Work));
}

bool AgentQueue::remove(const WorkKey &Key) {
  auto It = Places.find(Key);
  if (It == Places.end())
    return false;
  const Place At = It->second;
  Places.erase(It);
  erase(At, Key);
  return true;
}

void AgentQueue::erase(const Place &At, const WorkKey &Key) {
  auto &Accounts = Classes[At.Class].Accounts;
  auto Owner = Accounts.find(At.Account);
  auto Line = Owner->second.ByEntry.find(At.Entry);
  auto Work = std::find_if(Line->second.begin(), Line->second.end(),
                           [&](const QueuedWork &W) { return W.Key == Key; });
  WaitingCost -= Work->Cost;
  Line->second.erase(Work);
  if (Line->second.empty())
    Owner->second.ByEntry.erase(Line);
  if (--Owner->second.Waiting == 0)
    Accounts.erase(Owner);
  if (Places.empty())
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
  const Account *Best = nullptr;
  const Counters *BestCount = nullptr;
  const std::string *BestName = nullptr;
  for (const auto &[Name, Waiting] : Classes[Class].Accounts) {
    const Counters &Count = Served[Name];
    const bool Earlier =
        BestCount == nullptr || Count.Virtual < BestCount->Virtual ||
        (Count.Virtual == BestCount->Virtual && Name < *BestName);
    if (!Earlier)
      continue;
    Best = &Waiting;
    BestCount = &Count;
    BestName = &Name;
  }
  const std::deque<QueuedWork> *Line = nullptr;
  double Least = 0;
  for (const auto &[Entry, Candidates] : Best->ByEntry) {
    auto It = BestCount->ByEntry.find(Entry);
    const double Value = It == BestCount->ByEntry.end() ? 0 : It->second;
    if (Line != nullptr && Value >= Least)
      continue;
    Line = &Candidates;
    Least = Value;
  }
  return &Line->front();
}

QueuedWork AgentQueue::take() {
  QueuedWork Work = *next();
  const std::size_t Class = classIndex(Work.Class);
  remove(Work.Key);
  Classes[Class].PassedOver = 0;
  for (std::size_t C = 0; C < ClassCount; ++C)
    if (C != Class && !Classes[C].Accounts.empty())
      ++Classes[C].PassedOver;
  Counters &Count = Served[Work.Account];
  VirtualTime = std::max(VirtualTime, Count.Virtual);
  add(Count, Work);
  return Work;
}

void AgentQueue::charge(const QueuedWork &Work) {
  Counters &Count = Served[Work.Account];
  Count.Virtual = std::max(Count.Virtual, VirtualTime);
  add(Count, Work);
}

void AgentQueue::add(Counters &Count, const QueuedWork &Work) {
  if (Count.ByEntry.size() > MaxEntries)
    Count.ByEntry.clear();
  Count.Virtual += Work.Cost / std::max(1.0, Work.Weight);
  Count.ByEntry[Work.Entry] += Work.Cost;
}

} // namespace hyssoprail
