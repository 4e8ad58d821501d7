#ifndef HYSSOPRAIL_ROUTING_CALL_QUEUE_HPP
#define HYSSOPRAIL_ROUTING_CALL_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// A call to a plain service that waits for a slot.
struct QueuedCall {
  std::string Id; ///< unique among the waiting calls
  std::string Service;
  std::string Account; ///< empty: none
  int Priority = 0;    ///< 0 is the most urgent
  int RoutePriority = 0;
  TimePoint ObjectiveDeadline{}; ///< latest time of an answer on time
  TimePoint GiveUpAt{};          ///< the caller takes no answer after this time
};

/// The call holds a slot now.
struct CallRelease {
  std::string Id;
  Duration Waited{};
};

/// The call has not run and will not.
struct CallRefusal {
  std::string Id;
  milliseconds RetryAfter{0}; ///< for the caller
  Duration ExpectedWait{};
  std::size_t Position = 0; ///< calls ahead of it
};

using CallQueueDecision = std::variant<CallRelease, CallRefusal>;

/// Calls of one service at this entry.
struct CallQueueState {
  unsigned Slots = 0; ///< that this entry may fill
  unsigned InUse = 0; ///< held by calls of this entry
  std::size_t Waiting = 0;
  std::uint64_t Waited = 0;  ///< calls that have waited, since the start
  std::uint64_t Refused = 0; ///< since the start
};

/// Short queues of plain calls, one for each service. Load pattern: a surge of
/// calls to a few endpoints with a handful of slots each, which refuse what
/// exceeds them, so that each call is repeated at endpoints that are full too.
class CallQueue {
public:
  /// Sets how many calls of this entry may run at a time.
  void setSlots(std::string_view Service, unsigned Slots, TimePoint Now);

  /// Takes a slot for a call that has not waited. Returns false if none is free
  /// or other calls wait for it.
  bool tryTake(std::string_view Service, TimePoint Now);

  /// Adds a call to the queue of its service.
  void submit(QueuedCall Call, TimePoint Now);

  /// Removes a waiting call, or frees the slot of one that was released and has
  /// not confirmed it.
  void cancel(std::string_view Id, TimePoint Now);

  /// The call \p Id has received its release. Returns false if it was
  /// cancelled.
  bool confirm(std::string_view Id);

  /// A call that held a slot has ended.
  void ended(std::string_view Service, TimePoint Now);

  /// Releases calls of \p Service for which slots are free, and refuses those
  /// that cannot be served in time.
  std::vector<CallQueueDecision> poll(std::string_view Service, TimePoint Now);

  /// Time until a call that is behind \p Ahead others gets a slot; nullopt if
  /// it is unknown.
  std::optional<Duration> expectedWait(std::string_view Service,
                                       std::size_t Ahead) const;

  /// Number of calls ahead of \p Id; 0 if it does not wait.
  std::size_t position(std::string_view Id, TimePoint Now) const;

  CallQueueState state(std::string_view Service) const;

  /// Services that were used or whose slots were set.
  std::vector<std::string> services() const;

private:
  struct Waiting {
    QueuedCall Call;
    std::uint64_t Arrival = 0; ///< sequence number
    TimePoint Since{};
    bool WasLate = false;   ///< on arrival: it could not be on time
    bool Overtaken = false; ///< a call that came later was released before it
  };

  struct Queue {
    std::vector<Waiting> Calls;
    CallQueueState Counts;
    /// Releases since the last one that was open to any overtaken call.
    unsigned SinceFairRelease = 0;
    /// Time for which slots were held and number of calls that ended, decayed.
    double HeldSeconds = 0;
    double Ends = 0;
    /// Number of released calls by account, decayed.
    std::map<std::string, double, std::less<>> RecentReleases;
    TimePoint MeasuredAt{}; ///< time up to which the above are decayed
    TimePoint LastReturn{}; ///< when the last refused caller may return

    void measure(TimePoint Now);
    std::optional<Duration> meanRunTime() const;
    std::optional<Duration> expectedWait(std::size_t Ahead) const;
    bool canBeOnTime(const Waiting &W, TimePoint Now) const;
    double heavyUseThreshold() const;
    bool isBefore(const Waiting &A, const Waiting &B, double HeavyUse,
                  TimePoint Now) const;
    void sort(TimePoint Now);
    Waiting takeNext();
    bool isServable(const Waiting &W, std::optional<Duration> Wait,
                    TimePoint Now) const;
    CallRefusal refuse(const Waiting &W, std::size_t Position, TimePoint Now);
  };

  Queue &queue(std::string_view Service);
  void pollQueue(const std::string &Service, Queue &Q, TimePoint Now,
                 std::vector<CallQueueDecision> &Out);

  std::map<std::string, Queue, std::less<>> Queues;
  /// Services of the calls that were released and have not confirmed it.
  std::map<std::string, std::string, std::less<>> Unconfirmed;
  std::uint64_t LastArrival = 0;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_CALL_QUEUE_HPP
