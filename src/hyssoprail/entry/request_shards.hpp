#ifndef HYSSOPRAIL_ENTRY_REQUEST_SHARDS_HPP
#define HYSSOPRAIL_ENTRY_REQUEST_SHARDS_HPP

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "hyssoprail/entry/live_work.hpp"
#include "hyssoprail/entry/responder.hpp"
#include "hyssoprail/request/request_flow.hpp"

namespace hyssoprail::entry {

/// What the requests of an entry need done outside of their shard. The
/// functions are called under a shard's lock and must not call back into the
/// shards.
class FlowPorts {
public:
  virtual ~FlowPorts() = default;

  virtual void sendTo(const std::string &Endpoint, wire::Envelope Message) = 0;
  virtual void schedule(const FlowSpec &Spec, const FindPlacement &Ask) = 0;
  virtual void workEnded(const FlowSpec &Spec, const EndWork &End) = 0;
  virtual void requestEnded(const FlowSpec &Spec, std::uint32_t Tokens) = 0;

  /// Debits tokens. Returns the answer if it is known at once; otherwise it
  /// comes through RequestShards::debited.
  virtual std::optional<Status> debit(const FlowSpec &Spec,
                                      std::uint64_t Tokens) = 0;
  virtual void refund(const FlowSpec &Spec, std::uint64_t Tokens) = 0;
  virtual void claim(const FlowSpec &Spec, const wire::Claim &Claim) = 0;
  virtual void recordOutcome(const wire::ClaimOutcome &Outcome) = 0;
};

/// Requests in flight, in shards by request id, each under its own lock.
class RequestShards {
public:
  using FlowEvent =
      std::function<void(RequestFlow &, TimePoint, FlowActions &)>;

  RequestShards(FlowPorts &Ports, LiveWork &Live, const Clock &Time)
      : Ports(Ports), Live(Live), Time(Time) {}

  /// Starts a request.
  void accept(std::unique_ptr<RequestFlow> Flow, Responder Answer);

  /// Gives an event to one request; ignored if it has ended.
  void post(std::string_view RequestId, const FlowEvent &Event);

  /// Gives an event to every request.
  void postAll(const FlowEvent &Event);

  /// Runs the timers that are due.
  void tick();

  /// Requests in flight.
  std::size_t size() const { return Count; }

private:
  static constexpr std::size_t ShardCount = 16;

  struct Running {
    std::unique_ptr<RequestFlow> Flow;
    Responder Answer;
    std::vector<LiveLeg> Legs; ///< as registered in Live
    TimePoint WakeAt = TimePoint::max();
    std::uint32_t Emitted = 0;
  };

  struct Shard {
    std::mutex Mutex;
    std::map<std::string, Running, std::less<>> Requests;
    std::set<std::pair<TimePoint, std::string>> Timers;
  };

  using RequestMap = std::map<std::string, Running, std::less<>>;

  Shard &shard(std::string_view RequestId);
  void run(Shard &S, RequestMap::iterator It, const FlowEvent &Event);
  void carryOut(Running &R, FlowActions &Actions, TimePoint Now);
  void updateLegs(Running &R);

  FlowPorts &Ports;
  LiveWork &Live;
  const Clock &Time;
  std::atomic<std::size_t> Count{0};
  std::array<Shard, ShardCount> Shards;
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_REQUEST_SHARDS_HPP
