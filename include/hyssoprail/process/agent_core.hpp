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
  std::string EngineAddress; ///< "IP:PORT", the source of KV caches

  milliseconds LeaseTimeout{2'000}; ///< an entry silent for this long is gone
  milliseconds HeartbeatInterval{250}; ///< interval of the entries' heartbeats
  milliseconds GrantTimeout{15'000}; ///< an unused grant is released after this
  milliseconds StatusInterval{100};
  /// An idle service that answered within this time is not taken for one that
  /// may have restarted.
  milliseconds ServiceIdleGrace{100};
  milliseconds HeldInterval{1'000};
  milliseconds CancelRetryInterval{100};
  milliseconds ResultRetention{60'000}; ///< results, refusals and cancellations
  milliseconds MaxLegTimeout{120'000};  ///< longest deadline of one leg
  milliseconds DefaultTransferTimeout{5'000}; ///< until a transfer was measured
  milliseconds DefaultKvTtl{10'000};

  /// Latencies that a cold start may reach before a warm baseline is known,
  /// microseconds: between tokens, per prompt token, and for one call.
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

/// Counts for metrics and readiness.
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

/// Decisions of one agent, without I/O: messages of entries, results of engine
/// calls and ticks in, actions out. The only path to the engine or service.
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

  /// A message arrived from the bus identity \p Peer.
  void onMessage(const std::string &Peer, const wire::Envelope &Message,
                 TimePoint Now);

  /// An engine or service call produced a result.
  void onResult(const AgentResult &Result, TimePoint Now);

  /// To be called every few tens of milliseconds.
  void onTick(TimePoint Now);

  /// Begins a graceful shutdown: no new work is accepted.
  void drain(TimePoint Now);

  /// Sets the "IP:PORT" at which this process serves its time line, known
  /// once the HTTP server listens.
  void setHttpAddress(std::string Address) { HttpAddress = std::move(Address); }

  /// True when a drained agent holds no work and its last results were sent.
  bool drained(TimePoint Now) const;

  /// True if new work would be accepted.
  bool ready() const;

  std::vector<AgentAction> takeActions();
  AgentStats stats() const;

private:
  enum class State {
    QueuedReserve,
    Promised,     ///< granted against a predicted release, holds nothing yet
    Reserved,     ///< holds its slot and pieces
    StartWaiting, ///< as Reserved, DecodeStart has arrived
    Decoding,
    QueuedPrefill,
    Prefilling,
    HoldingKv, ///< prefill done, KV cache still on the engine
    QueuedCall,
    Calling,
    Cancelling, ///< given up, the engine has not confirmed yet
  };

  struct Entry {
    std::string Peer;
    std::uint64_t Incarnation = 0;
    std::uint64_t SentSeq = 0;
    std::uint64_t NewestSeq = 0;
    std::uint64_t HeartbeatSeq = 0;
    std::uint64_t Version = 0;
    TimePoint LastHeard{};
    TimePoint VersionAsked{};
    std::unordered_set<WorkKey, WorkKeyHash> Listed; ///< newest heartbeat
    std::unordered_set<WorkKey, WorkKeyHash> Live;   ///< held here
    std::unordered_set<WorkKey, WorkKeyHash> Unread; ///< ended, unconfirmed
  };

  struct Work {
    WorkKey Key;
    std::uint64_t Entry = 0;
    std::uint64_t Seq = 0; ///< of the message that created it
    State Phase = State::QueuedReserve;
    std::string Account;
    wire::RouteClass Class = wire::ROUTE_CLASS_INTERACTIVE;
    unsigned Weight = 1;
    unsigned PromptTokens = 0;
    unsigned MaxTokens = 0;
    unsigned Pieces = 0;     ///< needed
    unsigned HeldSlots = 0;  ///< held now
    unsigned HeldPieces = 0; ///< held now
    bool OnEngine = false;   ///< counts towards the cold-start limit
    bool Open = false;       ///< its connection would show a restart
    TimePoint Created{};
    TimePoint Due{};      ///< Promised: when the slot is needed
    TimePoint Deadline{}; ///< of the present phase
    TimePoint LegEnd{};   ///< end of the whole leg
    TimePoint LastToken{};
    CallId Call = 0;
    std::uint32_t FirstIndex = 0;
    std::vector<std::string> Tokens; ///< emitted since FirstIndex
    std::unique_ptr<wire::Envelope> Start;
  };

  /// Result of work that ended, kept to answer repeated messages.
  struct Ended {
    std::uint64_t Entry = 0;
    TimePoint At{};
    std::string SentTo; ///< peer the result was sent to last
    wire::Envelope Result;
    std::uint32_t FirstIndex = 0;
    std::vector<std::string> Tokens;
  };

  struct Release {
    TimePoint At{};
    unsigned Pieces = 0;
  };

  // Messages (agent_core.cpp).
  Entry &session(const std::string &Peer, const wire::Envelope &Message,
                 TimePoint Now);
  void onHeartbeat(Entry &From, const wire::Envelope &Message, TimePoint Now);
  void onCancel(Entry &From, const wire::Envelope &Message, TimePoint Now);
  void onResend(Entry &From, const wire::ResendRequest &Ask, TimePoint Now);
  void onConfig(Entry &From, const wire::Envelope &Message, TimePoint Now);
  void askForConfig(Entry &From, TimePoint Now);
  void acknowledge(Entry &From, std::uint64_t Seq, TimePoint Now);
  void fillLoad(wire::LoadReport &Load, TimePoint Now) const;
  void send(Entry &To, wire::Envelope Message);
  void fail(Entry &To, const WorkKey &Key, wire::RefusalReason Reason,
            bool NotRun, std::string Text, TimePoint Now);
  bool answerRepeated(Entry &From, const WorkKey &Key);
  bool stale(const Entry &From, const WorkKey &Key, std::uint64_t Seq) const;
  wire::RefusalReason refusalOfNewWork() const;

  // Admission (agent_admission.cpp).
  void onReserve(Entry &From, const wire::Envelope &Message, TimePoint Now);
  void onPrefill(Entry &From, const wire::Envelope &Message, TimePoint Now);
  void onDecode(Entry &From, const wire::Envelope &Message, TimePoint Now);
  bool admits(Entry &From, const wire::Envelope &Message, const WorkKey &Key,
              wire::Leg Leg, TimePoint Now);
  void replyReserve(Entry &To, const WorkKey &Key, bool Granted,
                    wire::RefusalReason Reason, TimePoint Now);
  Work &addWork(Entry &From, const WorkKey &Key, std::uint64_t Seq,
                TimePoint Now);
  void enqueue(const Work &W);
  void settle(TimePoint Now);
  void settlePromised(TimePoint Now);
  void settleStarts(TimePoint Now);
  void settleQueue(TimePoint Now);
  void refuseQueued(wire::RefusalReason Reason, TimePoint Now);
  void checkNewWork(const Work &W);
  bool fitsNow(const Work &W, TimePoint Now) const;
  bool feasible(const Work &Candidate, TimePoint Due, TimePoint Now) const;
  TimePoint predictedRelease(const Work &W, TimePoint Now) const;
  std::vector<Release> predictedReleases(TimePoint Now) const;
  void hold(Work &W);
  void unhold(Work &W);
  void startPrefill(Work &W, TimePoint Now);
  void startDecode(Work &W, TimePoint Now);
  void markOnEngine(Work &W, TimePoint Now);
  unsigned slotMax() const;
  unsigned slotLimit() const;
  unsigned runLimit() const;
  unsigned piecesFor(unsigned Tokens) const;
  QueuedWork queued(const Work &W) const;

  // Ends of work (agent_release.cpp).
  void endWork(Work &W, wire::Envelope Result, TimePoint Now);
  void failWork(Work &W, wire::RefusalReason Reason, bool NotRun,
                std::string Text, TimePoint Now);
  void giveUp(Work &W, wire::RefusalReason Reason, std::string_view Why,
              bool Tell, TimePoint Now);
  void cancelOnEngine(Work &W, TimePoint Now);
  void detach(Work &W);
  void leaveEngine(Work &W);
  void closeCall(Work &W);
  void removeWork(Work &W);
  void remember(const WorkKey &Key, Ended Record, TimePoint Now);
  void expireLeases(TimePoint Now);
  void expireWork(TimePoint Now);
  void expireEnded(TimePoint Now);

  // Results (agent_results.cpp).
  Work *workOf(CallId Call);
  void on(const PrefillResult &R, TimePoint Now);
  void on(const DecodeTokens &R, TimePoint Now);
  void on(const DecodeEnd &R, TimePoint Now);
  void on(const CancelResult &R, TimePoint Now);
  void on(const StatusResult &R, TimePoint Now);
  void on(const LoadResult &R, TimePoint Now);
  void on(const HeldResult &R, TimePoint Now);
  void on(const OrderResult &R, TimePoint Now);
  void on(const ServiceResult &R, TimePoint Now);
  void engineLost(std::string_view Why, TimePoint Now);
  void adoptHeld(const HeldWork &Held, const WorkKey &Key, TimePoint Now);
  void engineBack(TimePoint Now);
  void failEngineCall(Work &W, CallStatusCode Code, TimePoint Now);
  void sampleLatency(double Ratio, TimePoint Now);
  void query(EngineQuery Query, TimePoint Now);
  void giveOrders(TimePoint Now);

  // Calls to plain services (agent_calls.cpp).
  void onCall(Entry &From, const wire::Envelope &Message, TimePoint Now);
  void onOutcomeQuery(Entry &From, const wire::Envelope &Message,
                      TimePoint Now);
  bool answerRecorded(Entry &From, const wire::CallStart &Start, TimePoint Now);
  void startCall(Work &W, TimePoint Now);

  void note(EventKind Kind, const WorkKey &Key, std::string_view Account,
            std::string_view Detail);

  AgentOptions Options;
  AgentConfig &Config;
  Timeline &Events;
  Invariants &Checks;
  AgentConfigView View;

  std::unordered_map<std::uint64_t, Entry> Entries;
  std::unordered_map<WorkKey, Work, WorkKeyHash> Works;
  std::unordered_map<WorkKey, Ended, WorkKeyHash> EndedWork;
  std::deque<std::pair<TimePoint, WorkKey>> EndedOrder;
  std::unordered_map<CallId, WorkKey> Calls;
  std::map<std::pair<TimePoint, std::string>, WorkKey> Promises; ///< by due
  std::deque<WorkKey> Starts;               ///< StartWaiting, in order
  std::unordered_set<const Work *> Holders; ///< work that holds slots
  bool Dirty = false; ///< capacity or queue changed since the last settle
  AgentQueue Queue;
  CallOutcomes Outcomes;
  ColdStartRamp Ramp;
  EngineOrders Orders;
  bool Switching = false; ///< an order is due: no new work until it is done

  StatusResult Engine;
  bool EngineUp = false;
  bool HeldKnown = false;
  std::string HttpAddress;
  bool Leaving = false;
  bool Suspected = false; ///< no starts until the status is known
  bool Evidence = false;  ///< sign of life since a connection was last open
  TimePoint IdleSince{};
  TimePoint LastSample{}; ///< newest latency sample
  TimePoint LastResult{};
  TimePoint LastTick{};
  TimePoint LoadAsked{};
  unsigned StatusFailures = 0;
  CallId StatusCall = 0;
  CallId HeldCall = 0;
  CallId LoadCall = 0;
  TimePoint StatusAsked{};
  TimePoint HeldAsked{};
  std::unordered_set<std::string> Unclaimed; ///< unknown work in the last list

  unsigned SlotsUsed = 0;
  unsigned PiecesUsed = 0;
  unsigned Running = 0;
  unsigned RunningPeak = 0; ///< since the last status
  unsigned OpenCalls = 0;   ///< work with an open connection
  double StepMicros = 30'000;
  double PrefillMicros = 500;
  double TransferMicrosPerPiece = 0; ///< 0: not measured yet
  CallId LastCall = 0;
  AgentStats Counts;
  std::vector<AgentAction> Actions;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_AGENT_CORE_HPP
