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

/// Work that waits at an agent.
struct QueuedWork {
  WorkKey Key;
  std::uint64_t Entry = 0; ///< incarnation of the entry that owns it
  std::string Account;
  wire::RouteClass Class = wire::ROUTE_CLASS_INTERACTIVE;
  double Cost = 1;   ///< tokens
  double Weight = 1; ///< the account's rate, tokens/s
};

/// Queue in fairness order over all entries: classes first, then the account
/// with the lowest virtual token counter, then the entry with the lowest
/// counter within the account. A class that was passed over for
/// MaxPassedOver dispatches is served next, so that none starves.
///
/// \code
///   Queue.push(Work);
///   if (const QueuedWork *Next = Queue.next())
///     if (fits(*Next))
///       Queue.take();
/// \endcode
class AgentQueue {
public:
  /// Guaranteed share of a waiting lower class: one dispatch in nine.
  static constexpr unsigned MaxPassedOver = 8;

  /// Adds work; its key must not be queued.
  void push(QueuedWork Work);

  /// Removes work that was given up. Returns false if it is not queued.
  bool remove(const WorkKey &Key);

  /// Returns the work to be served next, or null. Valid until the next call
  /// of a function that changes the queue.
  const QueuedWork *next();

  /// Removes the work that next() returns and charges its account.
  QueuedWork take();

  /// Charges an account for work that did not have to wait.
  void charge(const QueuedWork &Work);

  bool empty() const { return Places.empty(); }
  std::size_t size() const { return Places.size(); }
  double waitingCost() const { return WaitingCost; }

private:
  static constexpr std::size_t ClassCount = 3;

  struct Account {
    std::map<std::uint64_t, std::deque<QueuedWork>> ByEntry;
    std::size_t Waiting = 0;
  };

  struct Counters {
    double Virtual = 0;
    std::unordered_map<std::uint64_t, double> ByEntry;
  };

  struct Place {
    std::size_t Class = 0;
    std::string Account;
    std::uint64_t Entry = 0;
  };

  struct ClassQueue {
    std::unordered_map<std::string, Account> Accounts;
    unsigned PassedOver = 0;
  };

  std::size_t nextClass() const;
  void erase(const Place &At, const WorkKey &Key);
  static void add(Counters &Count, const QueuedWork &Work);

  std::array<ClassQueue, ClassCount> Classes;
  std::unordered_map<std::string, Counters> Served;
  std::unordered_map<WorkKey, Place, WorkKeyHash> Places;
  double VirtualTime = 0; ///< counter of the account served last
  double WaitingCost = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_AGENT_QUEUE_HPP
