#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "hyssoprail/process/agent_core.hpp"

namespace {

using namespace hyssoprail;

/// Configuration of an agent that follows no log.
class NoConfig : public AgentConfig {
public:
  bool apply(const wire::ConfigRecords &) override { return true; }
  void restore(const wire::State &) override {}
  AgentConfigView view() const override { return {}; }
};

/// A decode agent with a number of live requests, spread over entries.
class Loaded {
public:
  Loaded(unsigned Live, unsigned EntryCount)
      : Events(10'000, Clock), Checks(Events, false),
        Core(options(), Config, Events, Checks, Clock.now()), Live(Live),
        EntryCount(EntryCount), Seqs(EntryCount) {
    bringUp(Live);
    Requests.resize(EntryCount);
    for (unsigned I = 0; I < Live; ++I) {
      const unsigned Entry = I % EntryCount;
      Requests[Entry].push_back("live-" + std::to_string(I));
      send(Entry, reserve(Requests[Entry].back()));
    }
    startWork();
  }

  void send(unsigned Entry, wire::Envelope Message) {
    Message.set_incarnation(Entry + 1);
    Message.set_seq(++Seqs[Entry]);
    Core.onMessage("peer-" + std::to_string(Entry), Message, Clock.now());
  }

  wire::Envelope heartbeat(unsigned Entry) const {
    wire::Envelope E;
    E.mutable_heartbeat();
    for (const std::string &Request : Requests[Entry])
      setWork(*E.mutable_heartbeat()->add_live(), Request);
    return E;
  }

  static wire::Envelope reserve(const std::string &Request) {
    wire::Envelope E;
    wire::ReserveRequest &R = *E.mutable_reserve_request();
    setWork(*R.mutable_work(), Request);
    R.set_account("account");
    R.set_prompt_tokens(500);
    R.set_max_tokens(500);
    R.set_wait_ms(10'000);
    return E;
  }

  static wire::Envelope cancel(const std::string &Request) {
    wire::Envelope E;
    setWork(*E.mutable_cancel()->mutable_work(), Request);
    return E;
  }

  ManualClock Clock;
  Timeline Events;
  Invariants Checks;
  NoConfig Config;
  AgentCore Core;
  unsigned Live;
  unsigned EntryCount;

private:
  static AgentOptions options() {
    AgentOptions O;
    O.Incarnation = 1;
    O.Ramp.WarmInterval = milliseconds(0);
    return O;
  }

  static void setWork(wire::WorkRef &Ref, const std::string &Request) {
    Ref.set_request_id(Request);
    Ref.set_attempt(1);
    Ref.set_leg(wire::LEG_DECODE);
  }

  /// Half of the live requests hold slots, the others wait in the queue.
  void bringUp(unsigned Requests) {
    StatusResult Status;
    HeldResult Held;
    Status.Incarnation = "e";
    Status.Role = "decode";
    Status.Slots = Requests / 2;
    Status.Pieces = Requests;
    Status.PieceTokens = 2'048;
    Status.Call = queryCall(EngineQuery::Status);
    Core.onResult(Status, Clock.now());
    Held.Call = queryCall(EngineQuery::Held);
    Core.onResult(Held, Clock.now());
  }

  /// Starts decodes until all slots run, by tokens that raise the cold-start
  /// limit.
  void startWork() {
    std::vector<CallId> Running;
    std::uint32_t Token = 0;
    while (Running.size() < Live / 2) {
      for (const AgentAction &A : Core.takeActions()) {
        if (const auto *Call = std::get_if<DecodeCall>(&A))
          Running.push_back(Call->Call);
        if (const auto *Sent = std::get_if<SendMessage>(&A);
            Sent != nullptr && Sent->Message.reserve_reply().granted())
          send(static_cast<unsigned>(std::stoul(Sent->Peer.substr(5))),
               decode(Sent->Message.reserve_reply().work().request_id()));
      }
      if (!Running.empty())
        Core.onResult(DecodeTokens{Running.front(), Token++, {"x"}},
                      Clock.now());
    }
    Core.takeActions();
  }

  static wire::Envelope decode(const std::string &Request) {
    wire::Envelope E;
    setWork(*E.mutable_decode_start()->mutable_work(), Request);
    E.mutable_decode_start()->set_max_tokens(500);
    return E;
  }

  CallId queryCall(EngineQuery Which) {
    CallId Found = 0;
    for (const AgentAction &A : Core.takeActions())
      if (const auto *Query = std::get_if<QueryCall>(&A);
          Query != nullptr && Query->Query == Which)
        Found = Query->Call;
    return Found;
  }

  std::vector<std::uint64_t> Seqs;
  std::vector<std::vector<std::string>> Requests;
};

/// Arguments: live requests, entries.
void sizes(benchmark::internal::Benchmark *B) {
  B->Args({20, 2})->Args({200, 20})->Args({2'000, 200});
}

Loaded loaded(const benchmark::State &State) {
  return {static_cast<unsigned>(State.range(0)),
          static_cast<unsigned>(State.range(1))};
}

void heartbeatMessage(benchmark::State &State) {
  Loaded L(loaded(State));
  unsigned Entry = 0;
  for ([[maybe_unused]] auto Step : State) {
    Entry = (Entry + 1) % L.EntryCount;
    L.send(Entry, L.heartbeat(Entry));
    benchmark::DoNotOptimize(L.Core.takeActions());
  }
}
BENCHMARK(heartbeatMessage)->Apply(sizes);

void reserveAndCancel(benchmark::State &State) {
  Loaded L(loaded(State));
  std::uint64_t Number = 0;
  for ([[maybe_unused]] auto Step : State) {
    const std::string Request = "new-" + std::to_string(++Number);
    const auto Entry = static_cast<unsigned>(Number % L.EntryCount);
    L.send(Entry, Loaded::reserve(Request));
    L.send(Entry, Loaded::cancel(Request));
    benchmark::DoNotOptimize(L.Core.takeActions());
  }
}
BENCHMARK(reserveAndCancel)->Apply(sizes);

void tick(benchmark::State &State) {
  Loaded L(loaded(State));
  for ([[maybe_unused]] auto Step : State) {
    L.Core.onTick(L.Clock.now());
    benchmark::DoNotOptimize(L.Core.takeActions());
  }
}
BENCHMARK(tick)->Apply(sizes);

} // namespace

BENCHMARK_MAIN();
