#ifndef HYSSOPRAIL_PROCESS_AGENT_QUEUE_HPP
#define HYSSOPRAIL_PROCESS_AGENT_QUEUE_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>

#include "hyssoprail/process/work_key.hpp"

namespace hyssoprail {

/// Work waiting at an agent.
struct QueuedWork {
  WorkKey Key;
  std::uint64_t Entry = 0; ///< incarnation of the entry that owns it
  std::string Account;
  wire::RouteClass Class = wire::ROUTE_CLASS_INTERACTIVE;
  double Cost = 1;   ///< tokens
  double Weight = 1; ///< rate of the account, tokens/s
};

/// Fair queue of the work of all entries. Selects by route class first, then
/// the account with the lowest virtual token counter, then the entry with the
/// lowest token counter within that account. A class that was passed over
/// MaxPassedOver times in a row is served next, so that no class starves.
///
/// \code
///   Queue.push(Work);
///   if (const QueuedWork *Next = Queue.next())
///     if (fits(*Next))
///       Queue.take();
/// \endcode
class AgentQueue {
public:
  /// Guarantees a waiting lower class one dispatch in nine.
  static constexpr unsigned MaxPassedOver = 8;

  /// Adds work. Its key must not be queued already.
  void push(QueuedWork Work);

  /// Removes cancelled work. Returns false if it is not queued.
  bool remove(const WorkKey &Key);

  /// Returns the work to dispatch next, or null. The pointer is valid until the
  /// queue changes.
  const QueuedWork *next();

  /// Removes the work that next() returns and charges its account for it.
  QueuedWork take();

  /// Charges an account for work that was dispatched without queueing.
  void charge(const QueuedWork &Work);

  bool empty() const { return Locations.empty(); }
  std::size_t size() const { return Locations.size(); }
  double waitingCost() const { return WaitingCost; }

private:
  static constexpr std::size_t ClassCount = 3;

  struct AccountQueue {
    std::map<std::uint64_t, std::deque<QueuedWork>> ByEntry;
    std::size_t Size = 0;
  };

  struct Counters {
    double VirtualTokens = 0;
    std::unordered_map<std::uint64_t, double> ByEntry;
  };

  struct Location {
    std::size_t Class = 0;
    std::string Account;
    std::uint64_t Entry = 0;
  };

  struct ClassQueue {
    std::unordered_map<std::string, AccountQueue> Accounts;
    unsigned PassedOver = 0;
  };

  std::size_t nextClass() const;
  void erase(const Location &Where, const WorkKey &Key);
  static void addUsage(Counters &Usage, const QueuedWork &Work);

  std::array<ClassQueue, ClassCount> Classes;
  std::unordered_map<std::string, Counters> AccountCounters;
  std::unordered_map<WorkKey, Location, WorkKeyHash> Locations;
  double VirtualTime = 0; ///< counter of the account served most recently
  double WaitingCost = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_AGENT_QUEUE_HPP
