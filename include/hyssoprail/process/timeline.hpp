#ifndef HYSSOPRAIL_PROCESS_TIMELINE_HPP
#define HYSSOPRAIL_PROCESS_TIMELINE_HPP

#include <array>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/core/enum_names.hpp"

namespace hyssoprail {

/// Kinds of timeline events.
enum class EventKind {
  RequestAccepted,
  RequestRefused,
  RequestFinished,
  RequestCancelled,
  AttemptStarted,
  AttemptFailed,
  Reserved,
  ReserveRefused,
  PrefillStarted,
  PrefillDone,
  TransferStarted,
  DecodeStarted,
  DecodeFinished,
  CallStarted,
  CallFinished,
  OutcomeUnknown,
  GrantReleased,
  LeaseExpired, ///< an entry sent an agent no heartbeat for the lease
  LinkReplaced, ///< a link to a peer was closed and opened again
  LimitGranted,
  LimitRefused,
  LimitRefunded,
  OwnershipTaken,  ///< of a limit shard
  OwnershipLapsed, ///< of a limit shard
  ConfigApplied,
  ColdStart,
  EngineOrder, ///< an agent told its engine to load a model or change role
  Violation,
};

/// Returns the name of \p Kind, for example "prefill_done".
std::string_view eventKindName(EventKind Kind);

/// One event. Fields that do not apply to the kind are empty.
struct Event {
  EventKind Kind = EventKind::RequestAccepted;
  std::string RequestId;
  std::uint32_t Attempt = 0;
  std::string Account;
  std::string Endpoint;
  std::uint64_t Version = 0;   ///< configuration version or epoch
  std::string Detail;          ///< short text without keys or prompts
  std::int64_t UnixMicros = 0; ///< set by Timeline::record
};

/// Selects events. Empty fields match everything.
struct EventFilter {
  std::string RequestId;
  std::string Account;
  std::string Endpoint;
  std::size_t Limit = 1000; ///< only the newest events are returned
};

/// Bounded store of the newest events of a process. Events are sharded by
/// request id, with one lock per shard.
///
/// \code
///   Events.record({.Kind = EventKind::PrefillDone, .RequestId = Id});
/// \endcode
class Timeline {
public:
  /// Keeps about \p Capacity events.
  Timeline(std::size_t Capacity, const Clock &Time);

  /// Adds an event. If its shard is full, the oldest event of the shard is
  /// dropped.
  void record(Event E);

  /// Returns the events that match \p Filter, oldest first.
  std::vector<Event> select(const EventFilter &Filter) const;

private:
  static constexpr std::size_t ShardCount = 16;

  struct Shard {
    mutable std::mutex Mutex;
    std::deque<Event> Events;
  };

  std::size_t CapacityPerShard;
  const Clock &Time;
  std::array<Shard, ShardCount> Shards;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_TIMELINE_HPP
