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

/// A request that needs endpoints.
struct ScheduleRequest {
  std::string RequestId;
  std::string Account;
  std::string Route;
  std::string Pool;
  wire::RouteClass Class = wire::ROUTE_CLASS_INTERACTIVE;
  double Weight = 1;              ///< the account's rate, tokens per second
  std::uint32_t PromptTokens = 0; ///< with the tokens that were emitted
  std::uint32_t MaxTokens = 0;    ///< that may still come
  std::vector<std::uint64_t> Prefixes; ///< hashes of 1, 2, ... whole blocks
  std::uint32_t PrefixBlockTokens = 64;
  TimePoint FirstTokenBy = TimePoint::max();
  bool PlainCall = false;
  bool Resumed = false;      ///< an earlier attempt was dispatched
  std::string AvoidEndpoint; ///< not chosen while there is another endpoint
};

/// Endpoints for a request.
struct SchedulePlacement {
  std::string RequestId;
  std::string Decode; ///< or the service endpoint
  std::string Prefill;
  bool ReserveFirst = true;
  milliseconds NeededIn{0};
  milliseconds ReserveWait{0};
  milliseconds PrefillEstimate{0};
  milliseconds TransferEstimate{0};
  std::uint64_t Version = 0;
};

/// A request that cannot be served in time.
struct ScheduleRefusal {
  std::string RequestId;
  Error Cause;
};

using ScheduleDecision = std::variant<SchedulePlacement, ScheduleRefusal>;

/// How the work of a request at one endpoint ended.
enum class ScheduledEnd { Completed, Refused, Failed, Cancelled };

struct SchedulerOptions {
  std::string EntryName; ///< draws this entry's subset of the endpoints
  std::string Zone;
  std::shared_ptr<const SchedulingStrategy> Scheduling;
  std::shared_ptr<const PlacementStrategy> Placement;
  std::size_t SubsetSize = 16; ///< endpoints of a role used per pool
  std::size_t MaxQueuedPerAccount = 4'000;
  milliseconds MaxWait{30'000}; ///< in the queue, if the route has no target
  std::uint32_t PieceTokens = 2'048;
};

/// Queues, fairness and choice of endpoints of one entry, without I/O.
///
/// \code
///   Requests.submit(Request, Now);
///   for (const ScheduleDecision &D : Requests.poll(Now)) ...
/// \endcode
class Scheduler {
public:
  Scheduler(SchedulerOptions Options, Invariants &Checks, std::uint64_t Seed);
  ~Scheduler();

  /// Takes a newer configuration.
  void configure(ConfigPtr Next, TimePoint Now);

  /// A load report of the endpoint's agent arrived.
  void updateLoad(std::string_view Endpoint, const wire::LoadReport &Load,
                  bool Leaving, TimePoint Now);

  /// The agent of the endpoint can or cannot be reached.
  void setReachable(std::string_view Endpoint, bool Value);

  /// Queues a request; its decision comes from a later poll().
  void submit(ScheduleRequest Request, TimePoint Now);

  /// Forgets a request that waits.
  void cancel(std::string_view RequestId);

  /// Returns the placements and refusals that are due.
  std::vector<ScheduleDecision> poll(TimePoint Now);

  /// Work at an endpoint ended. \p Decode tells which of the two it was.
  void workEnded(std::string_view RequestId, bool Decode,
                 std::string_view Endpoint, ScheduledEnd How, TimePoint Now);

  /// The request ended with this many output tokens; the account's counter is
  /// corrected. Called once for each request.
  void completed(std::string_view RequestId, std::uint32_t OutputTokens);

  /// Notes the size of a KV cache, for predictions.
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
  FairQueue::Offer place(const std::string &RequestId, TimePoint Now,
                         std::vector<ScheduleDecision> &Out);
  bool placeCall(const ScheduleRequest &Request, TimePoint Now,
                 std::vector<ScheduleDecision> &Out);
  bool placeCompletion(const ScheduleRequest &Request, TimePoint Now,
                       std::vector<ScheduleDecision> &Out);
  Endpoint *choosePrefill(const Candidates &From,
                          const ScheduleRequest &Request, TimePoint Now);
  Endpoint *chooseDecode(const Candidates &From, const ScheduleRequest &Request,
                         milliseconds NeededIn, TimePoint Now);
  std::uint32_t uncached(const Endpoint &Where,
                         const ScheduleRequest &Request) const;
  milliseconds transferTime(const Endpoint &Where, std::uint32_t Tokens) const;
  void charge(const ScheduleRequest &Request);
  void addCost(const std::string &Account, double Cost);
  void startWork(const std::string &RequestId, bool Decode, Endpoint &Where,
                 std::uint32_t Tokens, std::uint32_t Pieces);
  void dropWork(std::string_view RequestId, bool Decode);
  void refuseLate(TimePoint Now, std::vector<ScheduleDecision> &Out);
  Error tooLate(const ScheduleRequest &Request) const;
  void checkChoice(const Endpoint &Where, const ScheduleRequest &Request,
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
  std::set<std::pair<TimePoint, std::string>> Expiry;
  std::map<std::string, std::size_t, std::less<>> QueuedPerAccount;
  std::map<std::string, PlacedWork, std::less<>> Work;
  std::map<std::string, Charge, std::less<>> Charges;
  std::vector<ScheduleDecision> Pending;
  double CacheBytesPerToken = 0;
  std::uint64_t PollCount = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_SCHEDULER_HPP
