#include "hyssoprail/process/fair_queue.hpp"

#include <algorithm>
#include <vector>

namespace hyssoprail {
namespace {

/// Share of the dispatches of earlier classes that a waiting class gets at
/// least: order (none needed), interactive, batch.
constexpr std::array<double, RouteClassCount> MinimumShare{0.0, 0.25, 0.1};

/// Credit is kept for a few dispatches only, so that a class whose requests
/// cannot be placed does not save it up.
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

void TokenCounters::served(double Level) { Floor = std::max(Floor, Level); }

void TokenCounters::prune(
    const std::function<bool(const std::string &)> &Waits) {
  std::erase_if(Levels, [&](const auto &Entry) {
    return Entry.second <= Floor && !Waits(Entry.first);
  });
}

void FairQueue::push(wire::RouteClass Class, const std::string &Account,
                     std::string RequestId, bool AtFront) {
  ClassQueue &Queue = Classes[Class];
  AccountQueue &Requests = Queue.Accounts[Account];
  if (Requests.Requests.empty()) {
    Requests.Level =
        waits(Account) ? Counters.level(Account) : Counters.activate(Account);
    Queue.Order.emplace(Requests.Level, Account);
  }
  if (AtFront)
    Requests.Requests.push_front(std::move(RequestId));
  else
    Requests.Requests.push_back(std::move(RequestId));
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
    Queue.Order.erase({It->second.Level, Account});
    Queue.Accounts.erase(It);
  }
  return true;
}

bool FairQueue::serveOne(const TryDispatch &Try) {
  if (Count == 0)
    return false;
  std::array<std::size_t, RouteClassCount> Turn{0, 1, 2};
  std::stable_sort(
      Turn.begin(), Turn.end(), [this](std::size_t Left, std::size_t Right) {
        return Classes[Left].Credit >= 1 && Classes[Right].Credit < 1;
      });
  for (const std::size_t Index : Turn) {
    const Offer Result = serveClass(Classes[Index], Try);
    if (Result == Offer::Left)
      addCredit(Index);
    if (Result != Offer::Blocked)
      return Result == Offer::Left;
  }
  return false;
}

FairQueue::Offer FairQueue::serveClass(ClassQueue &Class,
                                       const TryDispatch &Try) {
  auto It = Class.Order.begin();
  while (It != Class.Order.end()) {
    const auto Position = *It;
    const std::string Head =
        Class.Accounts.at(Position.second).Requests.front();
    const Offer Result = Try(Head);
    if (Result == Offer::Left) {
      Counters.served(Position.first);
      popFront(Class, Position.second);
    }
    if (Result != Offer::Blocked)
      return Result;
    ++It;
  }
  return Offer::Blocked;
}

void FairQueue::popFront(ClassQueue &Class, const std::string &Account) {
  const auto It = Class.Accounts.find(Account);
  It->second.Requests.pop_front();
  --Class.Count;
  --Count;
  if (It->second.Requests.empty()) {
    Class.Order.erase({It->second.Level, Account});
    Class.Accounts.erase(It);
  }
}

void FairQueue::addCredit(std::size_t ServedClass) {
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
    Class.Order.erase({It->second.Level, Account});
    It->second.Level = Level;
    Class.Order.emplace(Level, Account);
  }
}

bool FairQueue::waits(const std::string &Account) const {
  return std::any_of(Classes.begin(), Classes.end(), [&](const ClassQueue &C) {
    const auto It = C.Accounts.find(Account);
    return It != C.Accounts.end() && !It->second.Requests.empty();
  });
}

std::size_t FairQueue::size(wire::RouteClass Class) const {
  return Classes[Class].Count;
}

} // namespace hyssoprail
