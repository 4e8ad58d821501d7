#ifndef HYSSOPRAIL_PROCESS_SCHEDULER_HPP
#define HYSSOPRAIL_PROCESS_SCHEDULER_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "hyssoprail/core/random.hpp"
#include "hyssoprail/process/endpoint_view.hpp"
#include "hyssoprail/process/fair_queue.hpp"
#include "hyssoprail/process/invariants.hpp"
#include "hyssoprail/process/scheduling_strategy.hpp"
#include "hyssoprail/version/config_state.hpp"

namespace hyssoprail {

/// A request to be placed.
struct ScheduleRequest {
  std::string RequestId;
  std::string Account;
  std::string Route;
  std::string Pool;
  wire::RouteClass Class = wire::ROUTE_CLASS_INTERACTIVE;
  double Weight = 1;              ///< the account's rate, tokens per second
  std::uint32_t PromptTokens = 0; ///< including tokens already emitted
  std::uint32_t MaxTokens = 0;    ///< upper bound of the output still to come
  /// Hashes of the prompt's first 1, 2, ... whole blocks.
  std::vector<std::uint64_t> Prefixes;
  std::uint32_t PrefixBlockTokens = 64;
  TimePoint FirstTokenBy = TimePoint::max();
  bool PlainCall = false;    ///< call to a service endpoint, not a completion
  bool Resumed = false;      ///< an earlier attempt was dispatched
  std::string AvoidEndpoint; ///< chosen only if no other is usable
};

/// Endpoints chosen for a request.
struct SchedulePlacement {
  std::string RequestId;
  std::string Decode; ///< or the service endpoint of a plain call
  std::string Prefill;
  bool ReserveFirst = true;        ///< reserve before the prefill starts
  milliseconds NeededIn{0};        ///< when the decode slot is needed
  milliseconds ReserveWait{0};     ///< longest wait in the agent's queue
  milliseconds PrefillEstimate{0}; ///< queueing and computation
  milliseconds TransferEstimate{0};
  std::uint64_t Version = 0; ///< configuration version of the decision
};

/// A request that was refused: its account has too many queued, or it cannot be
/// placed in time.
struct ScheduleRefusal {
  std::string RequestId;
  Error Cause;
};

using ScheduleDecision = std::variant<SchedulePlacement, ScheduleRefusal>;

/// Result of the work of a request at one endpoint.
enum class ScheduledEnd { Completed, Refused, Failed, Cancelled };

struct SchedulerOptions {
  std::string EntryName; ///< selects this entry's endpoint subset
  std::string Zone;
  std::shared_ptr<const SchedulingStrategy> Scheduling;
  std::shared_ptr<const PlacementStrategy> Placement;
  std::size_t SubsetSize = 16; ///< endpoints used per pool and role
  std::size_t MaxQueuedPerAccount = 4'000;
  milliseconds MaxWait{30'000}; ///< longest time in the queue
  std::uint32_t PieceTokens = 2'048;
};

/// Queues the requests of one entry, schedules accounts fairly and chooses
/// endpoints. Does no I/O.
///
/// \code
///   Requests.submit(Request, Now);
///   for (const ScheduleDecision &D : Requests.poll(Now)) ...
/// \endcode
class Scheduler {
public:
  Scheduler(SchedulerOptions Options, Invariants &Checks, std::uint64_t Seed);
  ~Scheduler();

  /// Applies a newer configuration.
  void configure(ConfigPtr Next, TimePoint Now);

  /// Applies a load report of the endpoint's agent, which can then be reached.
  void updateLoad(std::string_view Endpoint, const wire::LoadReport &Load,
                  bool Leaving, TimePoint Now);

  /// Sets whether the endpoint's agent can be reached.
  void setReachable(std::string_view Endpoint, bool Value);

  /// Queues a request; its decision comes from a later poll().
  void submit(ScheduleRequest Request, TimePoint Now);

  /// Removes a waiting request.
  void cancel(std::string_view RequestId);

  /// Returns the placements and refusals that are due.
  std::vector<ScheduleDecision> poll(TimePoint Now);

  /// Must be called when work at an endpoint has ended. \p Decode is false for
  /// the prefill, true for the decode or plain call. After a refusal or failure
  /// the endpoint is not chosen for a short time.
  void workEnded(std::string_view RequestId, bool Decode,
                 std::string_view Endpoint, ScheduledEnd Outcome,
                 TimePoint Now);

  /// Must be called once when a request has ended. Corrects the cost charged to
  /// its account from the maximum to the actual number of output tokens.
  void completed(std::string_view RequestId, std::uint32_t OutputTokens);

  /// Updates the moving average of KV cache bytes per token, which predicts
  /// transfer times.
  void learnCacheSize(std::uint64_t Bytes, std::uint32_t Tokens);

  std::size_t queued() const { return Waiting.size(); }
  std::size_t queued(wire::RouteClass Class) const;

private:
  struct Endpoint;
  struct Candidates;
  struct Queued;
  struct Charge;
  struct PlacedWork;
  struct PoolQueue;

  const Candidates &candidates(const ScheduleRequest &Request);
  std::vector<Endpoint *> subset(std::vector<Endpoint *> All,
                                 const ScheduleRequest &Request) const;
  FairQueue::DispatchResult place(const std::string &RequestId, TimePoint Now,
                                  std::vector<ScheduleDecision> &Out);
  bool placePlainCall(const ScheduleRequest &Request, TimePoint Now,
                      std::vector<ScheduleDecision> &Out);
  bool placeCompletion(const ScheduleRequest &Request, TimePoint Now,
                       std::vector<ScheduleDecision> &Out);
  Endpoint *choosePrefill(const Candidates &Eligible,
                          const ScheduleRequest &Request, TimePoint Now);
  Endpoint *chooseDecode(const Candidates &Eligible,
                         const ScheduleRequest &Request, milliseconds NeededIn,
                         TimePoint Now);
  std::uint32_t uncachedTokens(const Endpoint &Target,
                               const ScheduleRequest &Request) const;
  milliseconds transferTime(const Endpoint &Target, std::uint32_t Tokens) const;
  void charge(const ScheduleRequest &Request);
  void chargeAccount(const std::string &Account, double Cost);
  void startWork(const std::string &RequestId, bool Decode, Endpoint &Target,
                 std::uint32_t Tokens, std::uint32_t Pieces);
  void releaseWork(std::string_view RequestId, bool Decode);
  void refuseExpired(TimePoint Now, std::vector<ScheduleDecision> &Out);
  Error expiryError(const ScheduleRequest &Request) const;
  void checkInvariants(const Endpoint &Target, const ScheduleRequest &Request,
                       TimePoint Now) const;
  std::uint32_t pieces(std::uint32_t Tokens) const;
  TimePoint latestStart(const ScheduleRequest &Request, TimePoint Now);

  SchedulerOptions Options;
  Invariants &Checks;
  RandomSource Random;
  ConfigPtr Config;
  std::string Region;
  std::map<std::string, std::unique_ptr<Endpoint>, std::less<>> Endpoints;
  std::map<std::string, Candidates, std::less<>> CandidateCache;
  bool HasSelectors = false;
  TokenCounters Counters;
  std::map<std::string, PoolQueue, std::less<>> Pools;
  std::map<std::string, Queued, std::less<>> Waiting;
  std::set<std::pair<TimePoint, std::string>> WaitingByDeadline;
  std::map<std::string, std::size_t, std::less<>> QueuedPerAccount;
  std::map<std::string, PlacedWork, std::less<>> Work;
  std::map<std::string, Charge, std::less<>> Charges;
  std::vector<ScheduleDecision> PendingDecisions;
  double CacheBytesPerToken = 0;
  std::uint64_t PollCount = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_SCHEDULER_HPP
