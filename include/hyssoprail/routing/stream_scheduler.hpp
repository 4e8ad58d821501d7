#ifndef HYSSOPRAIL_ROUTING_STREAM_SCHEDULER_HPP
#define HYSSOPRAIL_ROUTING_STREAM_SCHEDULER_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/arrival_rates.hpp"
#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/routing/overload_policy.hpp"
#include "hyssoprail/routing/return_schedule.hpp"
#include "hyssoprail/routing/served_shares.hpp"
#include "hyssoprail/routing/stage_planner.hpp"
#include "hyssoprail/routing/stream_admission.hpp"

namespace hyssoprail::routing {

struct StreamSchedulerOptions {
  bool UsePrefillEngines = true;
  /// Reservations on an engine may add up to this multiple of its memory.
  /// Answers that turn out longer than estimated extend their reservations.
  double MemoryFactor = 1.03;
  /// A prefill engine with more queued prompt tokens than this gets no further
  /// prompt.
  std::int64_t PrefillBacklog = 9'000;
  /// Order and refusals while there is too little room.
  OverloadMode Overload = OverloadMode::Arrival;
};

/// The engines and memory that a running generation holds, as its entry reports
/// them.
struct StreamReservation {
  std::string Id;
  std::string Service;
  std::string Account;
  std::string Decode;
  std::string Prefill; ///< empty: the prompt has been prefilled, or no prefill
                       ///< engine is used
  std::uint32_t Tokens = 0; ///< memory reserved at the decode engine
  std::uint32_t PromptTokens = 0;
};

/// Time from placement to the first event: prefill, transfer of the KV cache
/// and the first decode step.
constexpr milliseconds TimeToFirstEvent{250};

constexpr milliseconds MinRetryAfter{250};

/// Queueing, admission and placement of generations, without I/O. A generation
/// is placed only when a decode engine has room for its whole estimated size,
/// so that no prompt is prefilled for nothing. Load pattern: bursts of twice
/// the usual load, in which decode memory runs out for some seconds.
class StreamScheduler : public StreamAdmission {
public:
  StreamScheduler(StreamSchedulerOptions Options, EndpointTable &Table)
      : Options(Options), Table(Table) {}

  void configure(FleetConfigPtr Next) { Config = std::move(Next); }

  /// Sets the function that returns true for a version that is not proven:
  /// only requests whose StreamRequest::Version names it may use its engines.
  using VersionTest =
      std::function<bool(std::string_view Service, std::string_view Version)>;
  void setUnproven(VersionTest Test) { IsUnproven = std::move(Test); }

  /// Sets the share of the fleet's load that this scheduler knows of, 0 to 1.
  /// The smaller it is, the more placements are randomized, so that schedulers
  /// which do not receive each other's reports do not all choose the same
  /// engine.
  void setKnownLoadShare(double Share) { KnownLoadShare = Share; }

  // StreamAdmission
  void submit(StreamRequest Request) override;
  void cancel(std::string_view Id) override;
  void release(std::string_view Id, TimePoint Now) override;
  void outputGrew(std::string_view Id, std::uint64_t Tokens) override;
  void prefillEnded(std::string_view Id, TimePoint Now) override;
  bool hasRoom(std::string_view Service, std::int64_t Tokens,
               const EngineFilter &MayUse, TimePoint Now) override;

  /// Takes over a placement made by another scheduler.
  void adopt(const StreamReservation &Reservation, TimePoint Now);

  /// Sets the memory that a placement reserves at its decode engine.
  void resize(std::string_view Id, std::uint32_t Tokens);

  /// Removes all queued requests and releases all placements.
  void clear(TimePoint Now);

  /// Returns the placements and refusals that are due. A placement reserves its
  /// engines until release().
  std::vector<StreamDecision> poll(TimePoint Now);

  bool isQueued(std::string_view Id) const { return Waiting.contains(Id); }
  bool isRunning(std::string_view Id) const { return Running.contains(Id); }
  std::size_t queued() const { return Waiting.size(); }

  /// Total memory that the queued requests need, in tokens.
  std::int64_t waitingTokens() const;

  /// The decode engine of \p Service with the most free memory for which \p
  /// MayUse returns true, and that memory in tokens.
  struct Room {
    std::string Endpoint; ///< empty: none
    std::int64_t Free = 0;
  };
  Room emptiestDecodeEngine(std::string_view Service,
                            const EngineFilter &MayUse, TimePoint Now);

  /// Samples how busy the engines are. Must be called several times per second.
  void sampleUtilization(TimePoint Now);

  /// How busy the engines of \p Service are.
  const EngineUtilization &utilization(std::string_view Service) const;

  /// How urgently \p Service lacks decode memory; LeastCost is not set.
  StagePressure pressure(std::string_view Service, TimePoint Now) const;

  /// The next time at which poll() may return a decision without any other
  /// event.
  TimePoint nextDeadline() const;

private:
  struct Queued {
    StreamRequest Request;
    std::uint64_t Serial = 0; ///< increases with each submission
    /// Priority of the promise with which its caller returned.
    std::optional<int> PromisedPriority;
  };

  struct Placed {
    StreamReservation Reservation;
    TimePoint Since{};
    /// Prompt tokens queued at its prefill engine, including its own.
    std::int64_t Backlog = 0;
  };

  /// A service, and the version that its engines must have (empty: any proven
  /// one).
  using PoolKey = std::pair<std::string_view, std::string_view>;

  /// The engines of a service that can receive work at one moment.
  struct Pool {
    std::vector<Endpoint *> Decode;
    std::vector<Endpoint *> Prefill;
    std::int64_t Bound = 0;       ///< memory that may be reserved on one engine
    std::int64_t LargestFree = 0; ///< largest free memory of a decode engine
    std::int64_t Free = 0;  ///< free memory of all decode engines together
    double DecodeSpeed = 0; ///< sum of the decode engines' speed factors
    /// Requests per second that decode engines can take which are left out
    /// above because their stated limits are used up.
    double LimitedPerSecond = 0;
  };

  /// The queued requests that are dispatched before another one.
  struct QueueAhead {
    std::int64_t Tokens = 0;
    std::size_t Requests = 0;
  };

  /// What the overload policy keeps of a service between decisions.
  struct OverloadState {
    /// In tokens, averaged over half of the time in which requests must be on
    /// time again after a surge.
    ArrivalRates Arrivals{std::chrono::seconds(1)};
    ServedShares Shares;
    ReturnSchedule Returns;
    /// Dispatches since the last turn of the longest waiting request. A turn
    /// takes OverloadPolicy::FairTurn - 1 of them.
    unsigned DispatchesSinceTurn = 0;
    /// Ids of waiting requests that fit nowhere when it was their turn, while
    /// others were dispatched.
    std::set<std::string, std::less<>> PassedOver;
    TimePoint LastDispatchedArrival{}; ///< latest arrival of those dispatched
  };

  class PolicyRound;

  enum class Verdict { Placed, Refused, Waits };

  Pool makePool(std::string_view Service, std::string_view Version,
                TimePoint Now);
  bool hasVersion(const Endpoint &E, std::string_view Version) const;
  static void updateFreeMemory(Pool &P);
  std::vector<const StreamRequest *> dispatchOrder(TimePoint Now) const;
  bool usesPolicy(std::string_view Service, const Pool &Engines) const;
  std::map<PoolKey, std::vector<const Queued *>>
  queuesUnderPolicy(std::map<PoolKey, Pool> &Pools, TimePoint Now);
  OverloadInput overloadInput(const Queued &Q, double RunSeconds) const;
  void decideByPolicy(std::string_view Service,
                      const std::vector<const Queued *> &Queue, Pool &Engines,
                      TimePoint Now, std::vector<StreamDecision> &Out,
                      std::vector<std::string> &Done);
  Verdict decide(const StreamRequest &Request, Pool &Engines,
                 const QueueAhead &Ahead, TimePoint Now,
                 std::vector<StreamDecision> &Out);
  StreamPlacement place(const StreamRequest &Request, Pool &Engines,
                        Endpoint &Decode, TimePoint Now);
  static Duration maxRetryAfter(const StreamRequest &Request, TimePoint Now);
  StreamRefusal makeRefusal(const StreamRequest &Request,
                            StreamRefusalReason Reason, Duration ExpectedWait,
                            TimePoint Now) const;
  Endpoint *
  chooseDecode(const StreamRequest &Request, const Pool &Engines, TimePoint Now,
               const std::vector<const Endpoint *> &Except = {}) const;
  Endpoint *choosePrefill(const StreamRequest &Request, const Pool &Engines,
                          std::string_view Zone, TimePoint Now) const;
  double placementJitter(const StreamRequest &Request, const Endpoint &E) const;
  Duration expectedWait(const StreamRequest &Request, const Pool &Engines,
                        const QueueAhead &Ahead, TimePoint Now) const;
  double accountLoad(const std::string &Account) const;
  std::int64_t memoryBound(std::string_view Service) const;
  void reserveEngines(StreamReservation Reservation, std::int64_t Backlog,
                      TimePoint Now);
  void releasePrefill(Placed &P);

  StreamSchedulerOptions Options;
  EndpointTable &Table;
  FleetConfigPtr Config;
  VersionTest IsUnproven;
  double KnownLoadShare = 1;
  std::map<std::string, Queued, std::less<>> Waiting;
  std::uint64_t LastSerial = 0;
  std::map<std::string, Placed, std::less<>> Running;
  std::map<std::string, std::int64_t, std::less<>> AccountTokens;
  /// By service for which the overload policy may come into force.
  std::map<std::string, OverloadState, std::less<>> Overloads;
  /// Utilization of the engines, by service.
  std::map<std::string, EngineUtilization, std::less<>> Utilization;
  /// Moving average of the time that a placement lasts.
  double MeanRunSeconds = 3;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STREAM_SCHEDULER_HPP
