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

/// How hostile a simulated run is; probabilities per message or per step.
struct SimulationOptions {
  std::uint64_t Seed = 1;
  unsigned Entries = 3;
  unsigned Slots = 8;
  unsigned Pieces = 24;
  double Loss = 0.05;
  double Duplication = 0.05;
  double LongDelay = 0.02;
  double EntryFault = 0.001;  ///< death or pause of an entry
  double AgentFault = 0.0005; ///< restart of the agent
  double EngineFault = 0.001; ///< crash of the engine
};

/// A simulated engine or service that checks what it is asked to do.
struct ModelEngine {
  struct Work {
    unsigned Pieces = 0;
    CallId Call = 0; ///< 0: the caller's connection is gone
    unsigned Token = 0;
    unsigned Length = 0;
  };
  std::map<std::string, Work> Works;
  std::set<std::string> Started; ///< ids ever started
  std::string Incarnation = "e1";
  TimePoint Start{};
  TimePoint DownUntil{};
};

/// One AgentCore among entries, a network and an engine that all misbehave at
/// random. Time advances in steps of 10 ms.
class Simulation {
public:
  static constexpr milliseconds Step{10};
  static constexpr milliseconds ColdTime{2'000};
  static constexpr unsigned ColdLimit = 2;

  Simulation(SimulationOptions Options, AgentKind Kind)
      : Options(Options), Kind(Kind), Random(Options.Seed),
        Events(1'000, Clock), Checks(Events, false) {
    Model.Start = Clock.now();
    restartAgent();
    for (unsigned I = 0; I < Options.Entries; ++I)
      Entries.push_back(newEntry());
  }

  /// Runs for \p Time, without new faults and requests if \p Calm.
  void run(milliseconds Time, bool Calm) {
    for (milliseconds T{0}; T < Time; T += Step)
      step(Calm);
  }

  void killEntries() {
    for (Entry &E : Entries)
      E.Dead = true;
  }

  /// First fault that was seen, or empty.
  std::string Fault;
  std::size_t Completed = 0;
  std::size_t Executions = 0;
  AgentStats stats() const { return Core->stats(); }
  const ModelEngine &engine() const { return Model; }

private:
  struct Entry {
    TestEntry Id;
    bool Dead = false;
    TimePoint PausedUntil{};
    TimePoint LastBeat{};
    std::uint64_t Agent = 0; ///< incarnation heard last
    std::map<std::string, TimePoint> Live;
  };

  /// Words in the prompt that Harness::decode sends.
  static constexpr unsigned PromptTokens = 3;

  struct Later {
    std::function<void()> Do;
  };

  void fault(std::string What) {
    if (Fault.empty())
      Fault = std::move(What);
  }

  bool chance(double P) { return Random.unit() < P; }

  void after(milliseconds Delay, std::function<void()> Do) {
    Agenda.emplace(Clock.now() + Delay, Later{std::move(Do)});
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
    for (auto &[Id, W] : Model.Works)
      W.Call = 0;
    AgentStart = Clock.now();
    Core = std::make_unique<AgentCore>(O, Config, Events, Checks, Clock.now());
  }

  void step(bool Calm) {
    Clock.advance(Step);
    while (!Agenda.empty() && Agenda.begin()->first <= Clock.now()) {
      const Later Due = std::move(Agenda.begin()->second);
      Agenda.erase(Agenda.begin());
      Due.Do();
    }
    if (!Calm)
      injectFaults();
    for (Entry &E : Entries)
      stepEntry(E, Calm);
    stepEngine();
    if ((++Steps & 1U) != 0)
      Core->onTick(Clock.now());
    perform();
    checkOwners();
    if (Checks.violations() != 0)
      fault("an invariant was violated: " + lastViolation());
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
    for (auto &[Id, W] : Model.Works)
      if (W.Call != 0)
        result(DecodeEnd{W.Call, CallStatusCode::ConnectionLost, {}, 0});
    Model.Works.clear();
    Model.Incarnation = "e" + std::to_string(++LastEngine);
    Model.DownUntil = Clock.now() + milliseconds(100 + Random.below(400));
    Model.Start = Model.DownUntil;
  }

  bool engineDown() const { return Clock.now() < Model.DownUntil; }
  bool engineCold() const { return Clock.now() - Model.Start < ColdTime; }

  /// Sends from an entry over a network that loses, delays, repeats and
  /// reorders.
  void send(Entry &From, wire::Envelope Message) {
    Message.set_to_incarnation(From.Agent);
    const int Copies = chance(Options.Duplication) ? 2 : 1;
    for (int I = 0; I < Copies; ++I) {
      if (chance(Options.Loss))
        continue;
      const std::uint64_t Most = chance(Options.LongDelay) ? 3'000 : 40;
      after(milliseconds(1 + Random.below(Most)),
            [this, Peer = From.Id.Peer, Message] {
              Heard[Message.incarnation()] = Clock.now();
              Core->onMessage(Peer, Message, Clock.now());
              perform();
            });
    }
  }

  void stepEntry(Entry &E, bool Calm) {
    const TimePoint Now = Clock.now();
    if (E.Dead || Now < E.PausedUntil)
      return;
    if (Now - E.LastBeat >= milliseconds(250)) {
      E.LastBeat = Now;
      wire::Envelope Beat = E.Id.envelope();
      Beat.mutable_heartbeat();
      for (const auto &[Request, Since] : E.Live)
        *Beat.mutable_heartbeat()->add_live() = workRef(key(Request, leg()));
      send(E, std::move(Beat));
    }
    if (!Calm && E.Agent != 0 && E.Live.size() < 12 && chance(0.1))
      startRequest(E);
    for (auto It = E.Live.begin(); It != E.Live.end();)
      // The entry gives up on what takes too long, or on a whim.
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
      const wire::Envelope Start = Messages.call(E.Id, Request);
      send(E, Start);
      if (chance(0.2))
        send(E, Start);
      return;
    }
    const unsigned Wait = chance(0.5) ? 2'000 : 0;
    const unsigned Needed = chance(0.3) ? 300 : 0;
    const unsigned Tokens = 100 + static_cast<unsigned>(Random.below(8'000));
    send(E, Messages.reserve(E.Id, Request, Wait, Needed, Tokens));
    Sizes[Request] = Tokens;
  }

  /// Sends the start of an attempt once, however often it was granted.
  void startDecode(Entry &E, const std::string &Request) {
    if (!Decodes.insert(Request).second)
      return;
    wire::Envelope Start = Messages.decode(E.Id, Request);
    Start.mutable_decode_start()->set_max_tokens(Sizes[Request] - PromptTokens);
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
        after(milliseconds(Random.below(200)), [this, Granted] {
          for (Entry &Owner : Entries)
            if (Owner.Live.contains(Granted) && !Owner.Dead)
              startDecode(Owner, Granted);
        });
      noteNotRun(M);
      Completed += M.has_finished() || M.has_call_reply() ? 1 : 0;
      for (const std::string &Request :
           {M.finished().work().request_id(), M.failed().work().request_id(),
            M.call_reply().work().request_id()})
        E.Live.erase(Request);
      if (M.has_reserve_reply() && !M.reserve_reply().granted())
        E.Live.erase(Granted);
    }
  }

  /// Notes work that the agent declared as not run.
  void noteNotRun(const wire::Envelope &M) {
    std::string Request;
    if (M.failed().not_run())
      Request = M.failed().work().request_id();
    if (M.outcome_reply().outcome() == wire::CALL_OUTCOME_NOT_RUN)
      Request = M.outcome_reply().work().request_id();
    if (Request.empty())
      return;
    NotRun.insert(Request);
    if (Model.Started.contains(Request))
      fault("\"not run\" was said of " + Request + ", which ran");
  }

  void perform() {
    for (AgentAction &A : Core->takeActions())
      std::visit([this](auto &Action) { on(Action); }, A);
  }

  void result(const AgentResult &R) {
    const std::uint64_t Agent = LastAgent;
    after(milliseconds(1 + Random.below(15)), [this, R, Agent] {
      if (Agent != LastAgent)
        return;
      Core->onResult(R, Clock.now());
      perform();
    });
  }

  void on(SendMessage &Sent) {
    if (!chance(Options.Loss))
      after(milliseconds(1 + Random.below(20)),
            [this, Sent] { receive(Sent); });
  }

  void on(DecodeCall &Call) {
    const std::string Request = Call.Id.substr(0, Call.Id.find('/'));
    if (engineDown()) {
      result(DecodeEnd{Call.Call, CallStatusCode::NotSent, {}, 0});
      return;
    }
    begin(Call.Id, Request, Call.Call);
    Model.Works[Call.Id].Pieces =
        (PromptTokens + Call.MaxTokens + 2'047) / 2'048;
    unsigned Pieces = 0;
    for (const auto &[Id, W] : Model.Works)
      Pieces += W.Pieces;
    if (Pieces > Options.Pieces)
      fault("the engine's pieces were exceeded");
  }

  void on(ServiceCall &Call) {
    const std::string Request = Call.Start.work().request_id();
    ++Executions;
    begin(Request, Request, Call.Call);
  }

  void begin(const std::string &Id, const std::string &Request, CallId Call) {
    if (!Model.Started.insert(Request).second)
      fault(Request + " was started twice");
    if (NotRun.contains(Request))
      fault(Request + " was started after \"not run\" was said of it");
    ModelEngine::Work W;
    W.Call = Call;
    W.Length = 5 + static_cast<unsigned>(Random.below(60));
    Model.Works[Id] = W;
    // A service does not list the calls of an earlier agent.
    const auto Running = std::count_if(
        Model.Works.begin(), Model.Works.end(), [this](const auto &Entry) {
          return Kind == AgentKind::Engine || Entry.second.Call != 0;
        });
    if (Running > Options.Slots)
      fault("the engine's slots were exceeded");
    if (Kind == AgentKind::Engine && engineCold() &&
        Model.Works.size() > ColdLimit)
      fault("the cold engine was given more than it bears");
  }

  void stepEngine() {
    std::vector<std::string> Ended;
    for (auto &[Id, W] : Model.Works) {
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
        // After its tokens: they were sent with smaller delays at most 15 ms.
        const CallId Call = W.Call;
        after(milliseconds(20), [this, Call] {
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
      Model.Works.erase(Id);
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
    Model.Works.erase(Call.Id);
    result(CancelResult{Call.Call, CallStatusCode::Ok});
  }

  void on(QueryCall &Query) {
    const CallStatusCode Code =
        engineDown() ? CallStatusCode::NotSent : CallStatusCode::Ok;
    if (Query.Query == EngineQuery::Status) {
      StatusResult R;
      R.Call = Query.Call;
      R.Code = Code;
      R.Incarnation = Model.Incarnation;
      R.Uptime =
          std::chrono::duration_cast<milliseconds>(Clock.now() - Model.Start);
      R.Role = "decode";
      R.Cold = engineCold();
      R.Slots = Options.Slots;
      R.Pieces = Options.Pieces;
      R.PieceTokens = 2'048;
      result(R);
    } else if (Query.Query == EngineQuery::Held) {
      HeldResult R{Query.Call, Code, {}};
      for (const auto &[Id, W] : Model.Works)
        R.Work.push_back({Id, W.Pieces, "decoding"});
      result(R);
    }
  }

  void on(AbandonCall &Call) {
    for (auto &[Id, W] : Model.Works)
      if (W.Call == Call.Call)
        W.Call = 0;
  }

  void on(PrefillCall &) {}
  void on(OrderCall &) {}

  /// Memory of an entry that fell silent is free after the lease time, one
  /// heartbeat, and the time of two cancellations.
  void checkOwners() {
    if (Kind == AgentKind::Service || engineDown())
      return;
    for (const auto &[Id, W] : Model.Works) {
      const std::string Request = Id.substr(0, Id.find('/'));
      const TimePoint Since =
          std::max({Heard[Owners[Request]], AgentStart, Model.DownUntil});
      if (Clock.now() - Since > milliseconds(2'000 + 250 + 400))
        fault(Request + " outlived its owner");
    }
  }

  SimulationOptions Options;
  AgentKind Kind;
  RandomSource Random;
  ManualClock Clock;
  Timeline Events;
  Invariants Checks;
  TestConfig Config;
  Harness Messages; ///< makes envelopes only
  std::unique_ptr<AgentCore> Core;
  ModelEngine Model;
  std::vector<Entry> Entries;
  std::multimap<TimePoint, Later> Agenda;
  std::map<std::uint64_t, TimePoint> Heard;
  std::map<std::string, std::uint64_t> Owners;
  std::map<std::string, unsigned> Sizes;
  std::set<std::string> Decodes;
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
