#include <algorithm>
#include <csignal>

#include <catch2/catch.hpp>
#include <sys/wait.h>

#include "hyssoprail/request/reference_answer.hpp"
#include "hyssoprail/testbed/background_stream.hpp"
#include "hyssoprail/testbed/started_fleet.hpp"

namespace hyssoprail::testbed {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Stated recovery target.
constexpr seconds RecoveryTarget{5};

/// Lease of an entry's work at an agent, and one heartbeat.
constexpr milliseconds LeaseAndHeartbeat{2'250};

/// Time for the engine and the test to notice what was freed.
constexpr milliseconds Observation{750};

constexpr const char *Prompt = "which kerb stones are in stock at the depot";
constexpr unsigned MaxTokens = 100;

FleetOptions slowFleet(const std::string &Name,
                       milliseconds Step = milliseconds(20)) {
  FleetOptions Options = testFleet(Name);
  Options.DecodeFlags.push_back("--step_base_us=" +
                                std::to_string(Step.count() * 1'000));
  return Options;
}

/// Endpoint that decodes the only stream of the fleet.
std::string decodingEngine(FleetProbe &Probe) {
  for (const std::string &Held : Probe.heldWork())
    if (Held.starts_with("decode-"))
      return Held.substr(0, Held.find(' '));
  return "";
}

/// Waits until the stream is being decoded and returns its endpoint.
std::string engineOf(BackgroundStream &Stream, FleetProbe &Probe) {
  REQUIRE(Stream.waitForTokens(3, seconds(10)));
  std::string Engine = decodingEngine(Probe);
  REQUIRE_FALSE(Engine.empty());
  return Engine;
}

std::uint64_t totalExecutions(FleetProbe &Probe) {
  std::uint64_t Sum = 0;
  for (const auto &[Id, Count] : Probe.executions())
    Sum += Count;
  return Sum;
}

void checkWhole(BackgroundStream &Stream) {
  Stream.finish();
  CHECK(Stream.status() == 200);
  CHECK(Stream.whole());
  CHECK(isWholeAnswer(Stream.data(), Prompt, MaxTokens));
}

} // namespace

// Guards against lost or repeated tokens when a decode endpoint's agent dies.
TEST_CASE("a stream resumes elsewhere after its agent was killed") {
  StartedFleet Site(slowFleet("kill_agent"));
  BackgroundStream Stream(Site.Probe.completion(Prompt, MaxTokens));
  const std::string Engine = engineOf(Stream, Site.Probe);
  Site.F.process("agent-" + Engine).kill();
  checkWhole(Stream);
  REQUIRE(succeeded(Site.F.restart("agent-" + Engine)));
  // The restarted agent cancels what its engine still holds.
  CHECK(Fleet::waitUntil([&] { return Site.Probe.heldWork().empty(); },
                         LeaseAndHeartbeat + Observation));
}

// Guards against lost or repeated tokens when a decode engine crashes.
TEST_CASE("a stream resumes elsewhere after its engine crashed") {
  StartedFleet Site(slowFleet("crash_engine"));
  BackgroundStream Stream(Site.Probe.completion(Prompt, MaxTokens));
  const std::string Engine = engineOf(Stream, Site.Probe);
  Site.F.http().post(Site.F.httpAddress(Engine), "/faults",
                     R"({"crash":true})");
  checkWhole(Stream);
}

// Guards against an agent that goes on with work that was resumed elsewhere
// while it was paused past every lease.
TEST_CASE("a stream is answered once when its agent is paused and wakes") {
  StartedFleet Site(slowFleet("pause_agent"));
  BackgroundStream Stream(Site.Probe.completion(Prompt, MaxTokens));
  const std::string Engine = engineOf(Stream, Site.Probe);
  Site.F.process("agent-" + Engine).signal(SIGSTOP);
  checkWhole(Stream);
  Site.F.process("agent-" + Engine).signal(SIGCONT);
  CHECK(Fleet::waitUntil([&] { return Site.Probe.heldWork().empty(); },
                         LeaseAndHeartbeat + Observation));
}

// Guards against a transfer that stalls and holds its decode slot for ever.
TEST_CASE("a stalled transfer is given up and its memory freed") {
  FleetOptions Options = slowFleet("stall_transfer");
  StartedFleet Site(Options);
  for (unsigned I = 0; I < Options.PrefillEngines; ++I)
    Site.F.http().post(Site.F.httpAddress("prefill-" + std::to_string(I)),
                       "/faults", R"({"stall_transfers":true})");
  BackgroundStream Stream(Site.Probe.completion(Prompt, MaxTokens));
  REQUIRE(Fleet::waitUntil([&] { return !decodingEngine(Site.Probe).empty(); },
                           seconds(5)));
  for (unsigned I = 0; I < Options.PrefillEngines; ++I)
    Site.F.http().post(Site.F.httpAddress("prefill-" + std::to_string(I)),
                       "/faults", R"({"stall_transfers":false})");
  Stream.finish();
  CHECK((Stream.status() != 200 ||
         isWholeAnswer(Stream.data(), Prompt, MaxTokens)));
  CHECK(Fleet::waitUntil([&] { return Site.Probe.heldWork().empty(); },
                         RecoveryTarget));
}

// Guards against engine memory held for a caller that went away.
TEST_CASE("a caller that disconnects frees the engine's memory") {
  StartedFleet Site(slowFleet("cancel"));
  BackgroundStream Stream(Site.Probe.completion(Prompt, MaxTokens));
  REQUIRE(Stream.waitForTokens(3, seconds(10)));
  Stream.cancel();
  CHECK(Fleet::waitUntil([&] { return Site.Probe.heldWork().empty(); },
                         Observation));
}

// Guards against engine memory held for requests of an entry that died or was
// paused past the lease.
TEST_CASE("an entry that dies or pauses loses its grants after the lease") {
  // The stream must outlast the bound: an engine frees the memory of a stream
  // that ends by itself.
  constexpr milliseconds Step{90};
  REQUIRE(std::min(MaxTokens, referenceLength(Prompt)) * Step >
          2 * (LeaseAndHeartbeat + Observation));
  StartedFleet Site(slowFleet("lose_entry", Step));
  const int Signal = GENERATE(SIGKILL, SIGSTOP);
  BackgroundStream Stream(Site.Probe.completion(Prompt, MaxTokens));
  REQUIRE(Stream.waitForTokens(3, seconds(10)));
  Site.F.process("entry-0").signal(Signal);
  CHECK(Fleet::waitUntil([&] { return Site.Probe.heldWork().empty(); },
                         LeaseAndHeartbeat + Observation));
  if (Signal == SIGSTOP) {
    Site.F.process("entry-0").signal(SIGCONT);
    // The entry resumes the stream elsewhere under a new attempt.
    checkWhole(Stream);
  }
}

// Guards against a planned stop that cuts off a stream.
TEST_CASE("entries and agents finish their streams before they stop") {
  StartedFleet Site(slowFleet("planned_stop"));
  BackgroundStream Stream(Site.Probe.completion(Prompt, MaxTokens));
  const std::string Engine = engineOf(Stream, Site.Probe);
  Site.F.process("agent-" + Engine).signal(SIGTERM);
  Site.F.process("entry-0").signal(SIGTERM);
  checkWhole(Stream);
  for (const std::string &Name : {"agent-" + Engine, std::string("entry-0")}) {
    const auto End = Site.F.process(Name).wait(RecoveryTarget);
    REQUIRE(End.has_value());
    CHECK(WIFEXITED(*End));
    CHECK(WEXITSTATUS(*End) == 0);
  }
}

// Guards against an engine driven over what it bears while cold.
TEST_CASE("a burst at engines in cold start crashes none of them") {
  FleetOptions Options = testFleet("cold_start");
  Options.PrefillFlags = Options.DecodeFlags = {"--model=m1", "--cold_ms=5000"};
  StartedFleet Site(Options);
  for (const char *Engine : {"prefill-0", "prefill-1", "decode-0", "decode-1"})
    Site.F.http().post(Site.F.httpAddress(Engine), "/faults",
                       R"({"crash":true})");
  std::vector<std::unique_ptr<BackgroundStream>> Streams;
  for (unsigned I = 0; I < 30; ++I)
    Streams.push_back(std::make_unique<BackgroundStream>(
        Site.Probe.completion("cold " + std::to_string(I), 20, I % 2)));
  for (auto &Stream : Streams)
    Stream->finish();
  CHECK(Site.Probe.engineStat("crashes") == 0);
}

// Guards against an order that is repeated after its answer was lost, or
// called "not run".
TEST_CASE(
    "an order whose answer is lost is reported as unknown and runs once") {
  StartedFleet Site(testFleet("order_unknown"));
  Site.F.http().post(Site.F.httpAddress("service-0"), "/faults",
                     R"({"drop_rate":1.0})");
  // Stock checks of the start-up were executed before.
  const std::uint64_t Before = totalExecutions(Site.Probe);
  const HttpHeaders Key = {{"Idempotency-Key", "order-7"}};
  for (unsigned Entry : {0U, 1U}) {
    auto Answer = Site.Probe.call("POST", "/orders", "{}", Key, Entry);
    REQUIRE(errorOf(Answer) == nullptr);
    CHECK(valueOf(Answer).Status == 502);
    const json Error = json::parse(valueOf(Answer).Body).at("error");
    CHECK(Error.at("code") == "outcome_unknown");
    CHECK(Error.at("not_run") == false);
  }
  CHECK(totalExecutions(Site.Probe) == Before + 1);
}

} // namespace hyssoprail::testbed
