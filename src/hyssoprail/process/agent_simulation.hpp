#ifndef HYSSOPRAIL_PROCESS_AGENT_SIMULATION_HPP
#define HYSSOPRAIL_PROCESS_AGENT_SIMULATION_HPP

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hyssoprail/core/random.hpp"
#include "hyssoprail/process/agent_test_support.hpp"

namespace hyssoprail::agent_test {

/// Fault rates of a simulated run, as probabilities per message or per step.
struct SimulationOptions {
  std::uint64_t Seed = 1;
  unsigned Entries = 3;
  unsigned Slots = 8;
  unsigned Pieces = 24;
  double Loss = 0.05;
  double Duplication = 0.05;
  double LongDelay = 0.02;
  double EntryFault = 0.001;  ///< crash or pause of an entry
  double AgentFault = 0.0005; ///< restart of the agent
  double EngineFault = 0.001; ///< crash of the engine
};

/// State of the simulated engine or service.
struct SimulatedEngine {
  struct Work {
    unsigned Pieces = 0;
    CallId Call = 0; ///< 0: the caller's connection is closed
    unsigned Token = 0;
    unsigned Length = 0;
  };
  std::map<std::string, Work> Works;
  std::set<std::string> Started; ///< ids ever started
  std::string Incarnation = "e1";
  TimePoint Start{};
  TimePoint DownUntil{};
};

/// Simulates one AgentCore with entries, a network and an engine or service,
/// all with random faults, and checks every request that reaches the engine or
/// service. Time advances in steps of 10 ms.
class Simulation {
public:
  static constexpr milliseconds Step{10};
  static constexpr milliseconds ColdDuration{2'000};
  static constexpr unsigned MaxColdWork = 2;

  Simulation(SimulationOptions Options, AgentKind Kind)
      : Options(Options), Kind(Kind), Random(Options.Seed),
        Events(1'000, Clock), Checks(Events, false) {
    Backend.Start = Clock.now();
    restartAgent();
    for (unsigned I = 0; I < Options.Entries; ++I)
      Entries.push_back(newEntry());
  }

  /// Runs for \p Time. If \p Quiet, no new faults and requests occur.
  void run(milliseconds Time, bool Quiet) {
    for (milliseconds T{0}; T < Time; T += Step)
      step(Quiet);
  }

  void killEntries() {
    for (Entry &E : Entries)
      E.Dead = true;
  }

  /// First violation that was found, or empty.
  std::string FirstError;
  std::size_t Completed = 0;
  std::size_t Executions = 0;
  AgentStats stats() const { return Core->stats(); }
  const SimulatedEngine &engine() const { return Backend; }

private:
  struct Entry {
    TestEntry Id;
    bool Dead = false;
    TimePoint PausedUntil{};
    TimePoint LastHeartbeat{};
    std::uint64_t Agent = 0; ///< incarnation that last sent a message
    std::map<std::string, TimePoint> Live;
  };

  /// Words in the prompt that Harness::decode sends.
  static constexpr unsigned PromptTokens = 3;

  struct ScheduledAction {
    std::function<void()> Run;
  };

  void reportError(std::string What) {
    if (FirstError.empty())
      FirstError = std::move(What);
  }

  bool chance(double P) { return Random.unit() < P; }

  void schedule(milliseconds Delay, std::function<void()> Run) {
    ScheduledActions.emplace(Clock.now() + Delay,
                             ScheduledAction{std::move(Run)});
  }

  Entry newEntry() {
    Entry E;
    E.Id.Incarnation = ++LastEntry;
    E.Id.Peer = "p" + std::to_string(LastEntry);
    return E;
  }

  void restartAgent() {
    AgentOptions O;
    O.Kind = Kind;
    O.Incarnation = ++LastAgent;
    O.ServiceSlots = Options.Slots;
    // Calls of the earlier process lose their connections with it.
    for (auto &[Id, W] : Backend.Works)
      W.Call = 0;
    AgentStart = Clock.now();
    Core = std::make_unique<AgentCore>(O, Config, Events, Checks, Clock.now());
  }

  void step(bool Quiet) {
    Clock.advance(Step);
    while (!ScheduledActions.empty() &&
           ScheduledActions.begin()->first <= Clock.now()) {
      const ScheduledAction Next = std::move(ScheduledActions.begin()->second);
      ScheduledActions.erase(ScheduledActions.begin());
      Next.Run();
    }
    if (!Quiet)
      injectFaults();
    for (Entry &E : Entries)
      stepEntry(E, Quiet);
    stepEngine();
    if ((++Steps & 1U) != 0)
      Core->onTick(Clock.now());
    perform();
    checkOrphans();
    if (Checks.violations() != 0)
      reportError("an invariant was violated: " + lastViolation());
  }

  std::string lastViolation() const {
    std::string Found;
    for (const Event &E : Events.select({}))
      if (E.Kind == EventKind::Violation)
        Found = E.Detail;
    return Found;
  }

  void injectFaults() {
    if (chance(Options.AgentFault))
      restartAgent();
    if (Kind == AgentKind::Engine && chance(Options.EngineFault))
      crash();
    for (Entry &E : Entries) {
      if (!chance(Options.EntryFault))
        continue;
      if (chance(0.5))
        E = newEntry();
      else
        E.PausedUntil = Clock.now() + milliseconds(500 + Random.below(4'000));
    }
  }

  void crash() {
    for (auto &[Id, W] : Backend.Works)
      if (W.Call != 0)
        result(DecodeEnd{W.Call, CallStatusCode::ConnectionLost, {}, 0});
    Backend.Works.clear();
    Backend.Incarnation = "e" + std::to_string(++LastEngine);
    Backend.DownUntil = Clock.now() + milliseconds(100 + Random.below(400));
    Backend.Start = Backend.DownUntil;
  }

  bool engineDown() const { return Clock.now() < Backend.DownUntil; }
  bool engineCold() const { return Clock.now() - Backend.Start < ColdDuration; }

  /// Sends from an entry over a network that loses, delays, duplicates and
  /// reorders messages.
  void send(Entry &From, wire::Envelope Message) {
    Message.set_to_incarnation(From.Agent);
    const int Copies = chance(Options.Duplication) ? 2 : 1;
    for (int I = 0; I < Copies; ++I) {
      if (chance(Options.Loss))
        continue;
      const std::uint64_t MaxDelay = chance(Options.LongDelay) ? 3'000 : 40;
      schedule(milliseconds(1 + Random.below(MaxDelay)),
               [this, Peer = From.Id.Peer, Message] {
                 LastHeard[Message.incarnation()] = Clock.now();
                 Core->onMessage(Peer, Message, Clock.now());
                 perform();
               });
    }
  }

  void stepEntry(Entry &E, bool Quiet) {
    const TimePoint Now = Clock.now();
    if (E.Dead || Now < E.PausedUntil)
      return;
    if (Now - E.LastHeartbeat >= milliseconds(250)) {
      E.LastHeartbeat = Now;
      wire::Envelope Heartbeat = E.Id.envelope();
      Heartbeat.mutable_heartbeat();
      for (const auto &[Request, Since] : E.Live)
        *Heartbeat.mutable_heartbeat()->add_live() =
            workRef(key(Request, leg()));
      send(E, std::move(Heartbeat));
    }
    if (!Quiet && E.Agent != 0 && E.Live.size() < 12 && chance(0.1))
      startRequest(E);
    for (auto It = E.Live.begin(); It != E.Live.end();)
      // The entry drops requests that take too long, and others at random.
      if (Now - It->second > milliseconds(6'000) || chance(0.0005)) {
        if (chance(0.5)) {
          wire::Envelope Cancel = E.Id.envelope();
          *Cancel.mutable_cancel()->mutable_work() =
              workRef(key(It->first, leg()));
          send(E, std::move(Cancel));
        }
        It = E.Live.erase(It);
      } else {
        ++It;
      }
  }

  wire::Leg leg() const {
    return Kind == AgentKind::Engine ? wire::LEG_DECODE : wire::LEG_CALL;
  }

  void startRequest(Entry &E) {
    const std::string Request = "r" + std::to_string(++LastRequest);
    E.Live[Request] = Clock.now();
    Owners[Request] = E.Id.Incarnation;
    if (Kind == AgentKind::Service) {
      const wire::Envelope Start = MessageFactory.call(E.Id, Request);
      send(E, Start);
      if (chance(0.2))
        send(E, Start);
      return;
    }
    const unsigned Wait = chance(0.5) ? 2'000 : 0;
    const unsigned Needed = chance(0.3) ? 300 : 0;
    const unsigned Tokens = 100 + static_cast<unsigned>(Random.below(8'000));
    send(E, MessageFactory.reserve(E.Id, Request, Wait, Needed, Tokens));
    RequestTokens[Request] = Tokens;
  }

  /// Sends the start of an attempt once, even if it is granted several times.
  void startDecode(Entry &E, const std::string &Request) {
    if (!DecodesSent.insert(Request).second)
      return;
    wire::Envelope Start = MessageFactory.decode(E.Id, Request);
    Start.mutable_decode_start()->set_max_tokens(RequestTokens[Request] -
                                                 PromptTokens);
    send(E, std::move(Start));
  }

  void receive(const SendMessage &Sent) {
    for (Entry &E : Entries) {
      if (E.Id.Peer != Sent.Peer || E.Dead)
        continue;
      const wire::Envelope &M = Sent.Message;
      E.Agent = LastAgent;
      const std::string &Granted = M.reserve_reply().work().request_id();
      if (M.reserve_reply().granted() && E.Live.contains(Granted))
        schedule(milliseconds(Random.below(200)), [this, Granted] {
          for (Entry &Owner : Entries)
            if (Owner.Live.contains(Granted) && !Owner.Dead)
              startDecode(Owner, Granted);
        });
      recordNotRun(M);
      Completed += M.has_finished() || M.has_call_reply() ? 1 : 0;
      for (const std::string &Request :
           {M.finished().work().request_id(), M.failed().work().request_id(),
            M.call_reply().work().request_id()})
        E.Live.erase(Request);
      if (M.has_reserve_reply() && !M.reserve_reply().granted())
        E.Live.erase(Granted);
    }
  }

  /// Records work that the agent reported as not run.
  void recordNotRun(const wire::Envelope &M) {
    std::string Request;
    if (M.failed().not_run())
      Request = M.failed().work().request_id();
    if (M.outcome_reply().outcome() == wire::CALL_OUTCOME_NOT_RUN)
      Request = M.outcome_reply().work().request_id();
    if (Request.empty())
      return;
    NotRun.insert(Request);
    if (Backend.Started.contains(Request))
      reportError("\"not run\" was reported for " + Request +
                  ", which was started");
  }

  void perform() {
    for (AgentAction &A : Core->takeActions())
      std::visit([this](auto &Action) { on(Action); }, A);
  }

  void result(const AgentResult &R) {
    const std::uint64_t Agent = LastAgent;
    schedule(milliseconds(1 + Random.below(15)), [this, R, Agent] {
      if (Agent != LastAgent)
        return;
      Core->onResult(R, Clock.now());
      perform();
    });
  }

  void on(SendMessage &Sent) {
    if (!chance(Options.Loss))
      schedule(milliseconds(1 + Random.below(20)),
               [this, Sent] { receive(Sent); });
  }

  void on(DecodeCall &Call) {
    const std::string Request = Call.Id.substr(0, Call.Id.find('/'));
    if (engineDown()) {
      result(DecodeEnd{Call.Call, CallStatusCode::NotSent, {}, 0});
      return;
    }
    begin(Call.Id, Request, Call.Call);
    Backend.Works[Call.Id].Pieces =
        (PromptTokens + Call.MaxTokens + 2'047) / 2'048;
    unsigned Pieces = 0;
    for (const auto &[Id, W] : Backend.Works)
      Pieces += W.Pieces;
    if (Pieces > Options.Pieces)
      reportError("the engine's pieces were exceeded");
  }

  void on(ServiceCall &Call) {
    const std::string Request = Call.Start.work().request_id();
    ++Executions;
    begin(Request, Request, Call.Call);
  }

  void begin(const std::string &Id, const std::string &Request, CallId Call) {
    if (!Backend.Started.insert(Request).second)
      reportError(Request + " was started twice");
    if (NotRun.contains(Request))
      reportError(Request + " was started after it was reported as not run");
    SimulatedEngine::Work W;
    W.Call = Call;
    W.Length = 5 + static_cast<unsigned>(Random.below(60));
    Backend.Works[Id] = W;
    // A new agent cannot learn of calls that an earlier one made to a service.
    const auto Running = std::count_if(
        Backend.Works.begin(), Backend.Works.end(), [this](const auto &Entry) {
          return Kind == AgentKind::Engine || Entry.second.Call != 0;
        });
    if (Running > Options.Slots)
      reportError("the engine's slots were exceeded");
    if (Kind == AgentKind::Engine && engineCold() &&
        Backend.Works.size() > MaxColdWork)
      reportError("the cold engine was overloaded");
  }

  void stepEngine() {
    std::vector<std::string> Ended;
    for (auto &[Id, W] : Backend.Works) {
      if (Kind == AgentKind::Engine && W.Call != 0 && chance(0.5))
        result(DecodeTokens{W.Call, W.Token, {"t"}});
      else if (Kind == AgentKind::Engine)
        continue;
      if (++W.Token < W.Length)
        continue;
      Ended.push_back(Id);
      if (W.Call == 0)
        continue;
      if (Kind == AgentKind::Engine) {
        // Has to arrive after its tokens, which are delayed by 15 ms at most.
        const CallId Call = W.Call;
        schedule(milliseconds(20), [this, Call] {
          result(DecodeEnd{Call, CallStatusCode::Ok, "stop", 0});
        });
      } else if (chance(0.1)) {
        result(
            ServiceResult{W.Call, CallStatusCode::ConnectionLost, 0, {}, {}});
      } else {
        result(ServiceResult{W.Call, CallStatusCode::Ok, 200, {}, "done"});
      }
    }
    for (const std::string &Id : Ended)
      Backend.Works.erase(Id);
  }

  void on(CancelCall &Call) {
    if (engineDown()) {
      result(CancelResult{Call.Call, CallStatusCode::NotSent});
      return;
    }
    if (chance(Options.Loss)) {
      result(CancelResult{Call.Call, CallStatusCode::Timeout});
      return;
    }
    Backend.Works.erase(Call.Id);
    result(CancelResult{Call.Call, CallStatusCode::Ok});
  }

  void on(QueryCall &Query) {
    const CallStatusCode Code =
        engineDown() ? CallStatusCode::NotSent : CallStatusCode::Ok;
    if (Query.Query == EngineQuery::Status) {
      StatusResult R;
      R.Call = Query.Call;
      R.Code = Code;
      R.Incarnation = Backend.Incarnation;
      R.Uptime =
          std::chrono::duration_cast<milliseconds>(Clock.now() - Backend.Start);
      R.Role = "decode";
      R.Cold = engineCold();
      R.Slots = Options.Slots;
      R.Pieces = Options.Pieces;
      R.PieceTokens = 2'048;
      result(R);
    } else if (Query.Query == EngineQuery::Held) {
      HeldResult R{Query.Call, Code, {}};
      for (const auto &[Id, W] : Backend.Works)
        R.Work.push_back({Id, W.Pieces, "decoding"});
      result(R);
    }
  }

  void on(AbandonCall &Call) {
    for (auto &[Id, W] : Backend.Works)
      if (W.Call == Call.Call)
        W.Call = 0;
  }

  void on(PrefillCall &) {}
  void on(OrderCall &) {}

  /// Memory held for an entry that has become silent has to be free after the
  /// lease time, one heartbeat interval, and the time of two cancellations.
  void checkOrphans() {
    if (Kind == AgentKind::Service || engineDown())
      return;
    for (const auto &[Id, W] : Backend.Works) {
      const std::string Request = Id.substr(0, Id.find('/'));
      const TimePoint Since =
          std::max({LastHeard[Owners[Request]], AgentStart, Backend.DownUntil});
      if (Clock.now() - Since > milliseconds(2'000 + 250 + 400))
        reportError(Request + " is still held after its owner's lease expired");
    }
  }

  SimulationOptions Options;
  AgentKind Kind;
  RandomSource Random;
  ManualClock Clock;
  Timeline Events;
  Invariants Checks;
  TestConfig Config;
  Harness MessageFactory; ///< only builds messages
  std::unique_ptr<AgentCore> Core;
  SimulatedEngine Backend;
  std::vector<Entry> Entries;
  std::multimap<TimePoint, ScheduledAction> ScheduledActions;
  std::map<std::uint64_t, TimePoint> LastHeard;
  std::map<std::string, std::uint64_t> Owners;
  std::map<std::string, unsigned> RequestTokens;
  std::set<std::string> DecodesSent;
  std::set<std::string> NotRun;
  TimePoint AgentStart{};
  std::uint64_t LastEntry = 0;
  std::uint64_t LastAgent = 0;
  unsigned LastEngine = 1;
  unsigned LastRequest = 0;
  unsigned Steps = 0;
};

} // namespace hyssoprail::agent_test

#endif // HYSSOPRAIL_PROCESS_AGENT_SIMULATION_HPP
