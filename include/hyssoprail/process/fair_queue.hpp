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

/// Virtual token counters of the accounts. An account that returns from idle
/// starts at the level of those that wait, so idle time earns no credit.
class TokenCounters {
public:
  /// Counter of \p Account, in tokens over its weight.
  double level(std::string_view Account) const;

  /// Lifts the counter of an account that begins to wait.
  double activate(std::string_view Account);

  /// Adds \p Cost (may be negative to correct an estimate).
  void charge(std::string_view Account, double Cost);

  /// Notes the counter of the account served last.
  void served(double Level);

  std::size_t size() const { return Levels.size(); }

  /// Forgets idle accounts whose counter an arrival would lift anyway.
  void prune(const std::function<bool(const std::string &)> &Waits);

private:
  std::map<std::string, double, std::less<>> Levels;
  double Floor = 0;
};

constexpr std::size_t RouteClassCount = 3;

/// Requests of one pool that wait, by latency class and account. The account
/// with the lowest counter is served first; classes are served in order, with
/// a minimum share of dispatches for the later ones.
class FairQueue {
public:
  /// What became of a request that was offered.
  enum class Offer {
    Left,    ///< it was dispatched or refused
    Blocked, ///< it cannot be placed now; another one may be
    Stop,    ///< nothing of the pool can be placed now
  };

  /// Tries to dispatch the request.
  using TryDispatch = std::function<Offer(const std::string &RequestId)>;

  explicit FairQueue(TokenCounters &Counters) : Counters(Counters) {}

  /// Adds a request; \p AtFront for one that was served before.
  void push(wire::RouteClass Class, const std::string &Account,
            std::string RequestId, bool AtFront);

  /// Removes a request that waits. Returns false if there is none.
  bool remove(wire::RouteClass Class, const std::string &Account,
              std::string_view RequestId);

  /// Offers the first requests of the accounts in service order until one is
  /// taken. Returns false if none was.
  bool serveOne(const TryDispatch &Try);

  /// Puts an account at its place after its counter changed.
  void reposition(const std::string &Account);

  bool waits(const std::string &Account) const;
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
    std::set<std::pair<double, std::string>> Order;
    std::size_t Count = 0;
    double Credit = 0; ///< dispatches that are due to this class
  };

  Offer serveClass(ClassQueue &Class, const TryDispatch &Try);
  void popFront(ClassQueue &Class, const std::string &Account);
  void addCredit(std::size_t ServedClass);

  TokenCounters &Counters;
  std::array<ClassQueue, RouteClassCount> Classes;
  std::size_t Count = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_FAIR_QUEUE_HPP
