#include "hyssoprail/process/fair_queue.hpp"

#include <algorithm>
#include <vector>

namespace hyssoprail {
namespace {

/// Credit that a waiting class earns per dispatch of another class, which sets
/// its minimum share: order (served first, needs none), interactive, batch.
constexpr std::array<double, RouteClassCount> MinimumShare{0.0, 0.25, 0.1};

/// Upper bound of the credit, so that a class whose requests cannot be placed
/// does not accumulate a burst.
constexpr double MaxCredit = 2.0;

} // namespace

double TokenCounters::level(std::string_view Account) const {
  const auto It = Levels.find(Account);
  return It == Levels.end() ? Floor : It->second;
}

double TokenCounters::activate(std::string_view Account) {
  const auto It = Levels.find(Account);
  if (It == Levels.end())
    return Levels.emplace(std::string(Account), Floor).first->second;
  It->second = std::max(It->second, Floor);
  return It->second;
}

void TokenCounters::charge(std::string_view Account, double Cost) {
  const auto It = Levels.find(Account);
  if (It != Levels.end())
    It->second += Cost;
}

void TokenCounters::noteServed(double Level) { Floor = std::max(Floor, Level); }

void TokenCounters::prune(
    const std::function<bool(const std::string &)> &HasWaiting) {
  std::erase_if(Levels, [&](const auto &Entry) {
    return Entry.second <= Floor && !HasWaiting(Entry.first);
  });
}

void FairQueue::push(wire::RouteClass Class, const std::string &Account,
                     std::string RequestId, bool AtFront) {
  ClassQueue &Queue = Classes[Class];
  AccountQueue &Waiting = Queue.Accounts[Account];
  if (Waiting.Requests.empty()) {
    Waiting.Level = hasWaiting(Account) ? Counters.level(Account)
                                        : Counters.activate(Account);
    Queue.ByLevel.emplace(Waiting.Level, Account);
  }
  if (AtFront)
    Waiting.Requests.push_front(std::move(RequestId));
  else
    Waiting.Requests.push_back(std::move(RequestId));
  ++Queue.Count;
  ++Count;
}

bool FairQueue::remove(wire::RouteClass Class, const std::string &Account,
                       std::string_view RequestId) {
  ClassQueue &Queue = Classes[Class];
  const auto It = Queue.Accounts.find(Account);
  if (It == Queue.Accounts.end())
    return false;
  auto &Requests = It->second.Requests;
  const auto Found = std::find(Requests.begin(), Requests.end(), RequestId);
  if (Found == Requests.end())
    return false;
  Requests.erase(Found);
  --Queue.Count;
  --Count;
  if (Requests.empty()) {
    Queue.ByLevel.erase({It->second.Level, Account});
    Queue.Accounts.erase(It);
  }
  return true;
}

bool FairQueue::dispatchOne(const TryDispatch &Try) {
  if (Count == 0)
    return false;
  std::array<std::size_t, RouteClassCount> ServiceOrder{0, 1, 2};
  std::stable_sort(ServiceOrder.begin(), ServiceOrder.end(),
                   [this](std::size_t Left, std::size_t Right) {
                     return Classes[Left].Credit >= 1 &&
                            Classes[Right].Credit < 1;
                   });
  for (const std::size_t Index : ServiceOrder) {
    const DispatchResult Result = dispatchFromClass(Classes[Index], Try);
    if (Result == DispatchResult::Dequeued)
      updateCredits(Index);
    if (Result != DispatchResult::Blocked)
      return Result == DispatchResult::Dequeued;
  }
  return false;
}

FairQueue::DispatchResult FairQueue::dispatchFromClass(ClassQueue &Class,
                                                       const TryDispatch &Try) {
  auto It = Class.ByLevel.begin();
  while (It != Class.ByLevel.end()) {
    const auto Position = *It;
    const std::string RequestId =
        Class.Accounts.at(Position.second).Requests.front();
    const DispatchResult Result = Try(RequestId);
    if (Result == DispatchResult::Dequeued) {
      Counters.noteServed(Position.first);
      popFront(Class, Position.second);
    }
    if (Result != DispatchResult::Blocked)
      return Result;
    ++It;
  }
  return DispatchResult::Blocked;
}

void FairQueue::popFront(ClassQueue &Class, const std::string &Account) {
  const auto It = Class.Accounts.find(Account);
  It->second.Requests.pop_front();
  --Class.Count;
  --Count;
  if (It->second.Requests.empty()) {
    Class.ByLevel.erase({It->second.Level, Account});
    Class.Accounts.erase(It);
  }
}

void FairQueue::updateCredits(std::size_t ServedClass) {
  for (std::size_t I = 0; I < RouteClassCount; ++I) {
    ClassQueue &Class = Classes[I];
    if (Class.Count == 0)
      Class.Credit = 0;
    else if (I == ServedClass)
      Class.Credit = std::max(0.0, Class.Credit - 1);
    else
      Class.Credit = std::min(MaxCredit, Class.Credit + MinimumShare[I]);
  }
}

void FairQueue::reposition(const std::string &Account) {
  const double Level = Counters.level(Account);
  for (ClassQueue &Class : Classes) {
    const auto It = Class.Accounts.find(Account);
    if (It == Class.Accounts.end() || It->second.Level == Level)
      continue;
    Class.ByLevel.erase({It->second.Level, Account});
    It->second.Level = Level;
    Class.ByLevel.emplace(Level, Account);
  }
}

bool FairQueue::hasWaiting(const std::string &Account) const {
  return std::any_of(Classes.begin(), Classes.end(), [&](const ClassQueue &C) {
    const auto It = C.Accounts.find(Account);
    return It != C.Accounts.end() && !It->second.Requests.empty();
  });
}

std::size_t FairQueue::size(wire::RouteClass Class) const {
  return Classes[Class].Count;
}

} // namespace hyssoprail
