#ifndef HYSSOPRAIL_PROCESS_AGENT_CORE_HPP
#define HYSSOPRAIL_PROCESS_AGENT_CORE_HPP

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/agent_actions.hpp"
#include "hyssoprail/process/agent_config.hpp"
#include "hyssoprail/process/agent_queue.hpp"
#include "hyssoprail/process/call_outcomes.hpp"
#include "hyssoprail/process/cold_start_ramp.hpp"
#include "hyssoprail/process/engine_orders.hpp"
#include "hyssoprail/process/invariants.hpp"
#include "hyssoprail/process/timeline.hpp"
#include "hyssoprail/process/work_key.hpp"

namespace hyssoprail {

enum class AgentKind { Engine, Service };

/// Settings of AgentCore.
struct AgentOptions {
  std::string Name;
  std::string Zone;
  std::string Endpoint;
  std::uint64_t Incarnation = 0;
  AgentKind Kind = AgentKind::Engine;
  std::string EngineAddress; ///< "IP:PORT" that serves KV caches

  /// An entry that sends nothing for this long loses the work held for it.
  milliseconds LeaseTimeout{2'000};
  milliseconds HeartbeatInterval{250}; ///< of the entries
  /// A grant that is not used for this long is released.
  milliseconds GrantTimeout{15'000};
  milliseconds StatusInterval{100};
  /// A service whose last response is at most this old is assumed not to have
  /// restarted while it was idle.
  milliseconds ServiceIdleGrace{100};
  milliseconds HeldInterval{1'000};
  milliseconds CancelRetryInterval{100};
  /// Time for which results, refusals and cancellations are kept.
  milliseconds ResultRetention{60'000};
  milliseconds MaxLegTimeout{120'000}; ///< upper bound of the deadline of a leg
  /// Used until the first transfer has been measured.
  milliseconds DefaultTransferTimeout{5'000};
  milliseconds DefaultKvTtl{10'000};

  /// Highest latencies in microseconds at which the cold-start limit may grow
  /// while no warm baseline is known: between tokens, per prompt token, and of
  /// one service call.
  double StepLatencyBound = 100'000;
  double PrefillLatencyBound = 5'000;
  double CallLatencyBound = 1'000'000;

  unsigned PrefillConcurrency = 2;
  unsigned ServiceSlots = 64;
  std::size_t QueueLimit = 2'000;
  std::size_t MaxRetainedResults = 50'000;
  OutcomeLimits Outcomes;
  RampOptions Ramp;
  OrderOptions Orders;
};

/// State and counters for metrics and readiness.
struct AgentStats {
  bool EngineUp = false;
  bool Cold = false;
  bool Leaving = false;
  unsigned SlotLimit = 0;
  unsigned Slots = 0;
  unsigned SlotsUsed = 0;
  unsigned Running = 0;
  unsigned Pieces = 0;
  unsigned PiecesUsed = 0;
  std::size_t Queued = 0;
  std::size_t Live = 0;
  std::size_t Entries = 0;
  std::size_t Outcomes = 0;
  std::size_t ResultsRetained = 0;
  std::uint64_t Version = 0;
  std::uint64_t Granted = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Stale = 0;
  std::uint64_t LeasesExpired = 0;
  std::uint64_t ColdStarts = 0;
  std::uint64_t OrphansCancelled = 0;
  std::uint64_t OrdersGiven = 0;
};

/// Decision logic of one agent, without I/O: it takes messages from entries,
/// results of engine or service calls, and ticks, and returns actions. All
/// requests to the engine or service pass through it.
///
/// \code
///   Core.onMessage(Peer, Envelope, Now);
///   for (AgentAction &A : Core.takeActions())
///     perform(A);
/// \endcode
class AgentCore {
public:
  AgentCore(AgentOptions Options, AgentConfig &Config, Timeline &Events,
            Invariants &Checks, TimePoint Now);

  /// Handles a message from the message-bus identity \p Peer.
  void onMessage(const std::string &Peer, const wire::Envelope &Message,
                 TimePoint Now);

  /// Handles a result of an engine or service call.
  void onResult(const AgentResult &Result, TimePoint Now);

  /// Runs timeouts and periodic queries. Call it every few tens of
  /// milliseconds.
  void onTick(TimePoint Now);

  /// Begins a graceful shutdown: no new work is accepted from now on.
  void drain(TimePoint Now);

  /// Sets the "IP:PORT" at which this process serves its timeline. It is known
  /// once the HTTP server is listening.
  void setHttpAddress(std::string Address) { HttpAddress = std::move(Address); }

  /// True if the agent is draining, has no work left, and its last results have
  /// had time to leave the process.
  bool drained(TimePoint Now) const;

  /// True if new work would be accepted.
  bool ready() const;

  std::vector<AgentAction> takeActions();
  AgentStats stats() const;

private:
  enum class State {
    QueuedReserve,
    /// Granted against a predicted release, holds no slot or pieces yet.
    AdvanceReserved,
    Reserved,      ///< holds its slot and pieces
    DecodePending, ///< Reserved, and DecodeStart has arrived
    Decoding,
    QueuedPrefill,
    Prefilling,
    HoldingKv, ///< prefill done, KV cache is still on the engine
    QueuedCall,
    Calling,
    Cancelling, ///< the engine has not confirmed the cancellation yet
  };

  /// Session of one entry incarnation.
  struct Entry {
    std::string Peer;
    std::uint64_t Incarnation = 0;
    std::uint64_t SentSeq = 0;
    std::uint64_t NewestSeq = 0;
    std::uint64_t HeartbeatSeq = 0;
    std::uint64_t Version = 0; ///< newest configuration version it reported
    TimePoint LastHeard{};
    TimePoint ConfigRequestedAt{};
    /// Work listed in its newest heartbeat.
    std::unordered_set<WorkKey, WorkKeyHash> Listed;
    /// Work that this agent holds for it.
    std::unordered_set<WorkKey, WorkKeyHash> Live;
    /// Ended work whose result the entry has not confirmed.
    std::unordered_set<WorkKey, WorkKeyHash> Unconfirmed;
  };

  struct Work {
    WorkKey Key;
    std::uint64_t Entry = 0; ///< incarnation of the owner, 0: none
    std::uint64_t Seq = 0;   ///< of the message that created it
    State Phase = State::QueuedReserve;
    std::string Account;
    wire::RouteClass Class = wire::ROUTE_CLASS_INTERACTIVE;
    unsigned Weight = 1;
    unsigned PromptTokens = 0;
    unsigned MaxTokens = 0;
    unsigned Pieces = 0;         ///< pieces of KV cache memory it needs
    unsigned HeldSlots = 0;      ///< allocated now
    unsigned HeldPieces = 0;     ///< allocated now
    bool OnEngine = false;       ///< counts towards the cold-start limit
    bool ConnectionOpen = false; ///< a restart would break this connection
    TimePoint Created{};
    TimePoint NeededAt{};    ///< reservations: when the slot is needed
    TimePoint Deadline{};    ///< of the current phase
    TimePoint LegDeadline{}; ///< of the whole leg
    TimePoint LastToken{};
    CallId Call = 0;
    std::uint32_t FirstIndex = 0;
    std::vector<std::string> Tokens; ///< output tokens from FirstIndex on
    std::unique_ptr<wire::Envelope> Start;
  };

  /// Result of ended work, kept to answer repeated messages.
  struct RetainedResult {
    std::uint64_t Entry = 0;
    TimePoint At{};
    std::string SentTo; ///< peer that the result was last sent to
    wire::Envelope Result;
    std::uint32_t FirstIndex = 0;
    std::vector<std::string> Tokens;
  };

  struct PredictedRelease {
    TimePoint At{};
    unsigned Pieces = 0;
  };

  // Messages (agent_core.cpp).
  Entry &updateSession(const std::string &Peer, const wire::Envelope &Message,
                       TimePoint Now);
  void onHeartbeat(Entry &From, const wire::Envelope &Message, TimePoint Now);
  void onCancel(Entry &From, const wire::Envelope &Message, TimePoint Now);
  void onResend(Entry &From, const wire::ResendRequest &Request, TimePoint Now);
  void onConfig(Entry &From, const wire::Envelope &Message, TimePoint Now);
  void requestConfig(Entry &From, TimePoint Now);
  void acknowledge(Entry &From, std::uint64_t Seq, TimePoint Now);
  void fillLoad(wire::LoadReport &Load, TimePoint Now) const;
  void send(Entry &To, wire::Envelope Message);
  void replyFailed(Entry &To, const WorkKey &Key, wire::RefusalReason Reason,
                   bool NotRun, std::string Text, TimePoint Now);
  bool resendResult(Entry &From, const WorkKey &Key);
  bool stale(const Entry &From, const WorkKey &Key, std::uint64_t Seq) const;
  wire::RefusalReason refusalOfNewWork() const;

  // Admission (agent_admission.cpp).
  void onReserve(Entry &From, const wire::Envelope &Message, TimePoint Now);
  void onPrefill(Entry &From, const wire::Envelope &Message, TimePoint Now);
  void onDecode(Entry &From, const wire::Envelope &Message, TimePoint Now);
  bool checkAdmission(Entry &From, const wire::Envelope &Message,
                      const WorkKey &Key, wire::Leg Leg, TimePoint Now);
  void replyReserve(Entry &To, const WorkKey &Key, bool Granted,
                    wire::RefusalReason Reason, TimePoint Now);
  Work &addWork(Entry &From, const WorkKey &Key, std::uint64_t Seq,
                TimePoint Now);
  void enqueue(const Work &W);
  void dispatch(TimePoint Now);
  void allocateAdvanceReservations(TimePoint Now);
  void dispatchDecodes(TimePoint Now);
  void dispatchQueue(TimePoint Now);
  void refuseQueued(wire::RefusalReason Reason, TimePoint Now);
  void checkNewWork(const Work &W);
  bool fitsNow(const Work &W, TimePoint Now) const;
  bool feasible(const Work &Candidate, TimePoint NeededAt, TimePoint Now) const;
  TimePoint predictedRelease(const Work &W, TimePoint Now) const;
  std::vector<PredictedRelease> predictedReleases(TimePoint Now) const;
  void allocate(Work &W);
  void release(Work &W);
  void startPrefill(Work &W, TimePoint Now);
  void startDecode(Work &W, TimePoint Now);
  void markOnEngine(Work &W, TimePoint Now);
  unsigned maxSlots() const;
  unsigned slotLimit() const;
  unsigned runLimit() const;
  unsigned piecesFor(unsigned Tokens) const;
  QueuedWork queueItem(const Work &W) const;

  // Cancellation, release and expiry (agent_release.cpp).
  void finishWork(Work &W, wire::Envelope Result, TimePoint Now);
  void failWork(Work &W, wire::RefusalReason Reason, bool NotRun,
                std::string Text, TimePoint Now);
  void cancelWork(Work &W, wire::RefusalReason Reason, std::string_view Cause,
                  bool NotifyEntry, TimePoint Now);
  void cancelOnEngine(Work &W, TimePoint Now);
  void detachFromEntry(Work &W);
  void markOffEngine(Work &W);
  void closeCall(Work &W);
  void removeWork(Work &W);
  void retainResult(const WorkKey &Key, RetainedResult Record, TimePoint Now);
  void expireLeases(TimePoint Now);
  void expireWork(TimePoint Now);
  void expireResults(TimePoint Now);

  // Results of engine calls (agent_results.cpp).
  Work *findWork(CallId Call);
  void on(const PrefillResult &R, TimePoint Now);
  void on(const DecodeTokens &R, TimePoint Now);
  void on(const DecodeEnd &R, TimePoint Now);
  void on(const CancelResult &R, TimePoint Now);
  void on(const StatusResult &R, TimePoint Now);
  void on(const LoadResult &R, TimePoint Now);
  void on(const HeldResult &R, TimePoint Now);
  void on(const OrderResult &R, TimePoint Now);
  void on(const ServiceResult &R, TimePoint Now);
  void onEngineLost(std::string_view Cause, TimePoint Now);
  void adoptHeldWork(const HeldWork &Held, const WorkKey &Key, TimePoint Now);
  void onEngineUp(TimePoint Now);
  void failEngineCall(Work &W, CallStatusCode Code, TimePoint Now);
  void addLatencySample(double Ratio, TimePoint Now);
  void query(EngineQuery Query, TimePoint Now);
  void issueOrders(TimePoint Now);

  // Calls to services (agent_calls.cpp).
  void onCall(Entry &From, const wire::Envelope &Message, TimePoint Now);
  void onOutcomeQuery(Entry &From, const wire::Envelope &Message,
                      TimePoint Now);
  bool replyFromRecord(Entry &From, const wire::CallStart &Start,
                       TimePoint Now);
  void startCall(Work &W, TimePoint Now);

  void recordEvent(EventKind Kind, const WorkKey &Key, std::string_view Account,
                   std::string_view Detail);

  AgentOptions Options;
  AgentConfig &Config;
  Timeline &Events;
  Invariants &Checks;
  AgentConfigView View;

  std::unordered_map<std::uint64_t, Entry> Entries;
  std::unordered_map<WorkKey, Work, WorkKeyHash> ActiveWork;
  std::unordered_map<WorkKey, RetainedResult, WorkKeyHash> RetainedResults;
  std::deque<std::pair<TimePoint, WorkKey>> RetentionOrder;
  std::unordered_map<CallId, WorkKey> WorkByCall;
  std::map<std::pair<TimePoint, std::string>, WorkKey>
      AdvanceReservations;            ///< by NeededAt, then engine work id
  std::deque<WorkKey> PendingDecodes; ///< in DecodePending, oldest first
  /// Work that holds slots or pieces.
  std::unordered_set<const Work *> CapacityHolders;
  /// Capacity or queue changed since the last dispatch.
  bool DispatchNeeded = false;
  AgentQueue Queue;
  CallOutcomes Outcomes;
  ColdStartRamp Ramp;
  EngineOrders Orders;
  /// An order is due or running: no new work until it is done.
  bool OrderPending = false;

  StatusResult Engine;
  bool EngineUp = false;
  /// The engine has listed the work it holds since it came up.
  bool HeldWorkKnown = false;
  std::string HttpAddress;
  bool Draining = false;
  bool StartsSuspended = false; ///< no starts until the next good status
  /// The engine or service has answered since LivenessUnknownSince. Without an
  /// open connection a restart goes unnoticed.
  bool LivenessConfirmed = false;
  TimePoint LivenessUnknownSince{};
  TimePoint LastSample{}; ///< of latency
  TimePoint LastResult{};
  TimePoint LastTick{};
  TimePoint LoadQueriedAt{};
  unsigned StatusFailures = 0;
  CallId StatusCall = 0;
  CallId HeldCall = 0;
  CallId LoadCall = 0;
  TimePoint StatusQueriedAt{};
  TimePoint HeldQueriedAt{};
  /// Engine work ids in the last list of held work that this agent did not
  /// know.
  std::unordered_set<std::string> SuspectedOrphans;

  unsigned SlotsUsed = 0;
  unsigned PiecesUsed = 0;
  unsigned Running = 0;
  unsigned RunningPeak = 0; ///< since the last status result
  unsigned OpenCalls = 0;   ///< units of work with an open connection
  double StepMicros = 30'000;
  double PrefillMicros = 500;
  double TransferMicrosPerPiece = 0; ///< 0: not measured yet
  CallId LastCall = 0;
  AgentStats Counts;
  std::vector<AgentAction> Actions;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_AGENT_CORE_HPP
