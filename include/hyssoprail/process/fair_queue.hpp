#ifndef HYSSOPRAIL_PROCESS_FAIR_QUEUE_HPP
#define HYSSOPRAIL_PROCESS_FAIR_QUEUE_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// Virtual token counters for weighted fair queueing across accounts. The level
/// of an account is the cost of its dispatched requests in tokens, divided by
/// its weight. An account that returns from idle is raised to the level of the
/// account served last, about that of the waiting accounts, so idle time earns
/// no credit.
class TokenCounters {
public:
  /// Returns the level of \p Account.
  double level(std::string_view Account) const;

  /// Raises an account that begins to have waiting requests to at least the
  /// floor. Returns its level.
  double activate(std::string_view Account);

  /// Adds \p Cost to the level; negative to correct an estimate.
  void charge(std::string_view Account, double Cost);

  /// Raises the floor to the level of the account that was just served.
  void noteServed(double Level);

  std::size_t size() const { return Levels.size(); }

  /// Drops accounts without waiting requests whose level is not above the
  /// floor: their next request would raise them to the floor anyway.
  void prune(const std::function<bool(const std::string &)> &HasWaiting);

private:
  std::map<std::string, double, std::less<>> Levels;
  double Floor = 0; ///< highest level served so far
};

constexpr std::size_t RouteClassCount = 3;

/// Waiting requests of one pool by route class and account. Within a class the
/// account with the lowest level is served first. Classes are served in strict
/// priority order, with a minimum share of dispatches for the later ones.
class FairQueue {
public:
  /// Result of an attempt to dispatch a request.
  enum class DispatchResult {
    Dequeued,    ///< dispatched or refused; no longer waiting
    Blocked,     ///< cannot be placed now; another one may be
    PoolBlocked, ///< no request of the pool can be placed now
  };

  /// Tries to dispatch the request.
  using TryDispatch =
      std::function<DispatchResult(const std::string &RequestId)>;

  explicit FairQueue(TokenCounters &Counters) : Counters(Counters) {}

  /// Adds a request; \p AtFront for one that was dispatched before.
  void push(wire::RouteClass Class, const std::string &Account,
            std::string RequestId, bool AtFront);

  /// Removes a waiting request. Returns false if it is not in the queue.
  bool remove(wire::RouteClass Class, const std::string &Account,
              std::string_view RequestId);

  /// Tries to dispatch the first request of each account in service order until
  /// one leaves the queue. Returns false if none does.
  bool dispatchOne(const TryDispatch &Try);

  /// Restores the service order after the level of an account changed.
  void reposition(const std::string &Account);

  bool hasWaiting(const std::string &Account) const;
  bool empty() const { return Count == 0; }
  std::size_t size() const { return Count; }
  std::size_t size(wire::RouteClass Class) const;

private:
  struct AccountQueue {
    double Level = 0;
    std::deque<std::string> Requests;
  };

  struct ClassQueue {
    std::unordered_map<std::string, AccountQueue> Accounts;
    std::set<std::pair<double, std::string>> ByLevel;
    std::size_t Count = 0;
    double Credit = 0; ///< dispatches owed to this class
  };

  DispatchResult dispatchFromClass(ClassQueue &Class, const TryDispatch &Try);
  void popFront(ClassQueue &Class, const std::string &Account);
  void updateCredits(std::size_t ServedClass);

  TokenCounters &Counters;
  std::array<ClassQueue, RouteClassCount> Classes;
  std::size_t Count = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_FAIR_QUEUE_HPP
