#ifndef HYSSOPRAIL_ENTRY_SCHEDULING_SERVICE_HPP
#define HYSSOPRAIL_ENTRY_SCHEDULING_SERVICE_HPP

#include <atomic>
#include <mutex>
#include <string_view>

#include "hyssoprail/entry/request_shards.hpp"
#include "hyssoprail/process/scheduler.hpp"

namespace hyssoprail::entry {

/// The scheduler of an entry under its own lock. Its decisions are given to the
/// requests by pump(), outside of the lock.
class SchedulingService {
public:
  SchedulingService(SchedulerOptions Options, Invariants &Checks,
                    std::uint64_t Seed, const Clock &Time)
      : Requests(std::move(Options), Checks, Seed), Time(Time) {}

  void configure(ConfigPtr Config);
  void report(std::string_view Endpoint, const wire::HeartbeatAck &Ack);
  void reachable(std::string_view Endpoint, bool Value);
  void learnCacheSize(const wire::PrefillDone &Done, std::uint32_t Tokens);

  void submit(const FlowSpec &Spec, const FindPlacement &Ask);
  void workEnded(const FlowSpec &Spec, const EndWork &End);
  void requestEnded(const FlowSpec &Spec, std::uint32_t OutputTokens);

  /// Gives the decisions that are due to the requests. With \p Always also if
  /// nothing changed since the last call, which time alone may require. Must
  /// not be called under a shard's lock.
  void pump(RequestShards &Shards, bool Always);

  std::size_t queued() const;

private:
  mutable std::mutex Mutex;
  Scheduler Requests;
  const Clock &Time;
  std::atomic<bool> Changed{false};
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_SCHEDULING_SERVICE_HPP
