#include "hyssoprail/load/overhead.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include "hyssoprail/load/process_usage.hpp"
#include "hyssoprail/request/reference_answer.hpp"
#include "hyssoprail/testbed/fleet.hpp"

namespace hyssoprail::load {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;

constexpr unsigned PromptTokens = 64;
constexpr unsigned OutputTokens = 8;
constexpr std::chrono::seconds CallTimeout{30};
constexpr std::chrono::seconds WarmUp{4};

/// Prompts whose answers are at least this long keep the streams of the memory
/// measurement open.
constexpr unsigned LongAnswer = 200;

double millisSince(steady_clock::time_point Begin) {
  return std::chrono::duration<double, std::milli>(steady_clock::now() - Begin)
      .count();
}

std::string prompt(unsigned Serial) {
  std::string Text;
  for (unsigned I = 0; I < PromptTokens; ++I)
    Text += fmt::format("p{}w{} ", Serial, I);
  Text.pop_back();
  return Text;
}

/// Times at which the data of one stream arrived.
struct StreamTimes {
  double FirstMs = 0;
  std::vector<double> GapsMs;
  bool Complete = false;
};

/// Collects figures over many streams.
class Distribution {
public:
  void add(const StreamTimes &Times) {
    First.push_back(Times.FirstMs);
    Gaps.insert(Gaps.end(), Times.GapsMs.begin(), Times.GapsMs.end());
  }

  PathFigures figures() {
    return {quantile(First, 0.5), quantile(First, 0.99), quantile(Gaps, 0.5),
            quantile(Gaps, 0.99)};
  }

private:
  static double quantile(std::vector<double> &Values, double Q) {
    if (Values.empty())
      return 0;
    std::sort(Values.begin(), Values.end());
    return Values[static_cast<std::size_t>(
        Q * static_cast<double>(Values.size() - 1))];
  }

  std::vector<double> First;
  std::vector<double> Gaps;
};

/// HTTP calls on one event loop, run until each is done.
class Probe {
public:
  Probe() : Client(makeHttpClient(Context)) {}

  /// Streams \p Call to its end; times count from \p Begin.
  StreamTimes stream(HttpCall Call, steady_clock::time_point Begin) {
    StreamTimes Times;
    double Last = 0;
    bool Ended = false;
    HttpStreamHandlers Handlers;
    Handlers.OnData = [&](std::string_view) {
      const double Now = millisSince(Begin);
      if (Last == 0)
        Times.FirstMs = Now;
      else
        Times.GapsMs.push_back(Now - Last);
      Last = Now;
    };
    Handlers.OnEnd = [&](const Status &End) {
      Times.Complete = succeeded(End);
      Ended = true;
    };
    auto Stream = Client->stream(std::move(Call), std::move(Handlers));
    Context.restart();
    while (!Ended && Context.run_one() > 0) {
    }
    // The last gap ends with the closing event, which is no token.
    if (!Times.GapsMs.empty())
      Times.GapsMs.pop_back();
    return Times;
  }

  boost::asio::io_context &context() { return Context; }
  HttpClient &client() { return *Client; }

private:
  boost::asio::io_context Context;
  std::unique_ptr<HttpClient> Client;
};

HttpCall post(const std::string &Authority, const std::string &Target,
              const json &Body) {
  HttpCall Call;
  Call.Authority = Authority;
  Call.Timeout = CallTimeout;
  Call.Request = {"POST",
                  Target,
                  {{"Content-Type", "application/json"},
                   {"Authorization", "Bearer " + testbed::Fleet::key("acme")}},
                  Body.dump()};
  return Call;
}

StreamTimes streamDirect(Probe &P, testbed::Fleet &Fleet, unsigned Serial) {
  const auto Begin = steady_clock::now();
  const std::string Prefill = Fleet.httpAddress("prefill-0");
  auto Done = Fleet.http().post(Prefill, "/prefill",
                                json{{"id", fmt::format("direct-p{}", Serial)},
                                     {"model", "m1"},
                                     {"prompt", prompt(Serial)},
                                     {"priority", 1}}
                                    .dump());
  if (errorOf(Done) != nullptr || valueOf(Done).Status != 200)
    return {};
  const json Answer = json::parse(valueOf(Done).Body);
  return P.stream(post(Fleet.httpAddress("decode-0"), "/decode",
                       {{"id", fmt::format("direct-d{}", Serial)},
                        {"model", "m1"},
                        {"prompt", prompt(Serial)},
                        {"kv_handle", Answer.at("kv_handle")},
                        {"kv_source", Prefill},
                        {"max_tokens", OutputTokens},
                        {"first_index", 0},
                        {"priority", 1}}),
                  Begin);
}

/// Serial of the next prompt, from \p Serial on, whose answer is long.
unsigned longSerial(unsigned Serial) {
  while (referenceLength(prompt(Serial)) < LongAnswer)
    ++Serial;
  return Serial;
}

json completionBody(unsigned Serial, unsigned MaxTokens) {
  return {{"model", "m1"},
          {"prompt", prompt(Serial)},
          {"max_tokens", MaxTokens},
          {"stream", true}};
}

StreamTimes streamRouted(Probe &P, testbed::Fleet &Fleet, unsigned Serial) {
  return P.stream(post(Fleet.entryAddress(0), "/v1/completions",
                       completionBody(Serial, OutputTokens)),
                  steady_clock::now());
}

testbed::FleetOptions fleetOptions(const OverheadOptions &Options,
                                   std::vector<std::string> Flags) {
  testbed::FleetOptions F;
  F.BinaryDirectory = Options.BinaryDirectory;
  F.RunDirectory = Options.RunDirectory;
  F.Entries = 1;
  F.PrefillEngines = 1;
  F.DecodeEngines = 1;
  F.Services = 2;
  F.LogLevel = "warning";
  F.FatalViolations = false;
  F.Accounts = {{"acme", 1e9, 1e9}};
  // Streams of the memory measurement open together and wait for each other.
  F.FirstTokenMs = 60'000;
  Flags.push_back("--model=m1");
  Flags.push_back("--cold_ms=0");
  F.PrefillFlags = F.DecodeFlags = std::move(Flags);
  return F;
}

Status measureLatency(const OverheadOptions &Options, testbed::Fleet &Fleet,
                      OverheadReport &Report) {
  Probe P;
  Distribution Direct;
  Distribution Routed;
  for (unsigned I = 0; I < Options.Samples; ++I) {
    const StreamTimes D = streamDirect(P, Fleet, 2 * I);
    const StreamTimes R = streamRouted(P, Fleet, 2 * I + 1);
    if (!D.Complete || !R.Complete)
      return Error{ErrorKind::UpstreamFailed,
                   fmt::format("stream {} was not complete (direct {}, routed "
                               "{})",
                               I, D.Complete, R.Complete),
                   "read the logs in " + Options.RunDirectory,
                   "",
                   {}};
    Direct.add(D);
    Routed.add(R);
  }
  Report.Direct = Direct.figures();
  Report.Routed = Routed.figures();
  return std::monostate{};
}

void measureCalls(const OverheadOptions &Options, testbed::Fleet &Fleet,
                  OverheadReport &Report) {
  Probe P;
  std::uint64_t Done = 0;
  const pid_t Entry = Fleet.process("entry-0").pid();
  // The agents of the services end their cold-start ramp before the
  // measurement.
  auto Begin = steady_clock::now() + WarmUp;
  const auto End = Begin + std::chrono::seconds(Options.CallSeconds);
  double CpuBefore = 0;
  bool Measuring = false;
  std::function<void()> Next = [&] {
    const auto Now = steady_clock::now();
    if (Now >= End)
      return;
    if (!Measuring && Now >= Begin) {
      Measuring = true;
      CpuBefore = processorSeconds(Entry);
      Done = 0;
    }
    HttpCall Call;
    Call.Authority = Fleet.entryAddress(0);
    Call.Request = {
        "GET",
        "/stock/item-1",
        {{"Authorization", "Bearer " + testbed::Fleet::key("acme")}},
        {}};
    P.client().call(std::move(Call), [&](Result<HttpResponse> Answer) {
      if (errorOf(Answer) == nullptr && valueOf(Answer).Status == 200)
        ++Done;
      Next();
    });
  };
  for (unsigned I = 0; I < Options.CallConnections; ++I)
    Next();
  P.context().run();
  const double Seconds = millisSince(Begin) / 1e3;
  Report.CallsPerSecond = static_cast<double>(Done) / Seconds;
  Report.EntryCoresUsed = (processorSeconds(Entry) - CpuBefore) / Seconds;
}

void measureMemory(const OverheadOptions &Options, testbed::Fleet &Fleet,
                   OverheadReport &Report) {
  Probe P;
  const pid_t Entry = Fleet.process("entry-0").pid();
  // One stream first, so that lazily made buffers are not counted.
  P.stream(post(Fleet.entryAddress(0), "/v1/completions", completionBody(0, 1)),
           steady_clock::now());
  const std::uint64_t Before = residentBytes(Entry);
  // The first stream ran the context until it had no work, which stops it.
  P.context().restart();
  std::vector<std::shared_ptr<HttpStream>> Streams;
  std::uint64_t Open = 0;
  unsigned Serial = 0;
  for (unsigned I = 0; I < Options.Streams; ++I) {
    Serial = longSerial(Serial + 1);
    HttpStreamHandlers Handlers;
    Handlers.OnHeader = [&](unsigned Status) { Open += Status == 200 ? 1 : 0; };
    Streams.push_back(
        P.client().stream(post(Fleet.entryAddress(0), "/v1/completions",
                               completionBody(Serial, LongAnswer)),
                          std::move(Handlers)));
  }
  const auto Deadline = steady_clock::now() + CallTimeout;
  while (Open < Options.Streams && steady_clock::now() < Deadline)
    P.context().run_one_for(std::chrono::milliseconds(10));
  Report.OpenStreams = Open;
  if (Open > 0)
    Report.BytesPerOpenStream =
        static_cast<double>(residentBytes(Entry) - Before) /
        static_cast<double>(Open);
  for (auto &Stream : Streams)
    Stream->cancel();
}

/// True if every process that entry 0 knows has reported \p Version.
bool reportedByAll(testbed::Fleet &Fleet, std::uint64_t Version) {
  HttpCall Call;
  Call.Authority = Fleet.adminAddress(0);
  Call.Request = {
      "GET",
      "/admin/v1/status",
      {{"Authorization", std::string("Bearer ") + testbed::OperatorToken}},
      {}};
  auto Answer = Fleet.http().call(std::move(Call));
  if (errorOf(Answer) != nullptr || valueOf(Answer).Status != 200)
    return false;
  const json Body = json::parse(valueOf(Answer).Body, nullptr, false);
  const json &Processes = Body.at("processes");
  return std::all_of(Processes.begin(), Processes.end(), [&](const json &P) {
    return P.at("version").get<std::uint64_t>() >= Version;
  });
}

Status measureConfiguration(const OverheadOptions &Options,
                            OverheadReport &Report) {
  constexpr std::chrono::seconds Longest{9};
  testbed::FleetOptions Shape = fleetOptions(Options, {});
  Shape.Entries = 3;
  Shape.DecodeEngines = 2;
  testbed::Fleet Fleet(Shape);
  Status Started = Fleet.start();
  if (errorOf(Started) != nullptr)
    return Started;
  std::vector<double> Times;
  for (unsigned I = 0; I < Options.Changes; ++I) {
    const auto Begin = steady_clock::now();
    const auto Version = Fleet.change(
        "account", "acme",
        {{"name", "acme"}, {"rate", 1e9 + I}, {"burst", 1e9}}, false, I % 3);
    if (const Error *E = errorOf(Version))
      return *E;
    if (!testbed::Fleet::waitUntil(
            [&] { return reportedByAll(Fleet, valueOf(Version)); }, Longest))
      return Error{ErrorKind::DeadlineExceeded,
                   "a change was not in force within 9 s",
                   "read the logs in " + Options.RunDirectory,
                   "",
                   {}};
    Times.push_back(millisSince(Begin));
  }
  std::sort(Times.begin(), Times.end());
  Report.InForceP50Ms = Times[Times.size() / 2];
  Report.InForceP99Ms = Times[Times.size() * 99 / 100];
  return std::monostate{};
}

json pathJson(const PathFigures &F) {
  return {{"first_token_p50_ms", F.FirstTokenP50Ms},
          {"first_token_p99_ms", F.FirstTokenP99Ms},
          {"between_tokens_p50_ms", F.BetweenTokensP50Ms},
          {"between_tokens_p99_ms", F.BetweenTokensP99Ms}};
}

} // namespace

Result<OverheadReport> measureOverhead(const OverheadOptions &Options) {
  OverheadReport Report;
  {
    testbed::Fleet Fleet(
        fleetOptions(Options, {"--step_base_us=5000", "--prefill_base_us=1000",
                               "--prefill_token_us=10"}));
    Status S = Fleet.start();
    if (succeeded(S))
      S = measureLatency(Options, Fleet, Report);
    if (const Error *E = errorOf(S))
      return *E;
    measureCalls(Options, Fleet, Report);
  }
  testbed::Fleet Fleet(
      fleetOptions(Options, {"--slots=10000", "--pieces=100000",
                             "--max_waiting=10000", "--kv_ttl_ms=20000",
                             "--step_base_us=90000", "--step_stream_us=0",
                             "--prefill_token_us=0", "--prefill_base_us=100"}));
  const Status S = Fleet.start();
  if (const Error *E = errorOf(S))
    return *E;
  measureMemory(Options, Fleet, Report);
  const Status Configured = measureConfiguration(Options, Report);
  if (const Error *E = errorOf(Configured))
    return *E;
  return Report;
}

std::string overheadText(const OverheadReport &R) {
  const auto Row = [](const char *Name, double Direct, double Routed) {
    return fmt::format("{:28}{:>12.3f}{:>12.3f}{:>12.3f}\n", Name, Direct,
                       Routed, Routed - Direct);
  };
  std::string Out =
      fmt::format("{:28}{:>12}{:>12}{:>12}\n", "", "direct", "routed", "added");
  Out += Row("first token p50 (ms)", R.Direct.FirstTokenP50Ms,
             R.Routed.FirstTokenP50Ms);
  Out += Row("first token p99 (ms)", R.Direct.FirstTokenP99Ms,
             R.Routed.FirstTokenP99Ms);
  Out += Row("between tokens p50 (ms)", R.Direct.BetweenTokensP50Ms,
             R.Routed.BetweenTokensP50Ms);
  Out += Row("between tokens p99 (ms)", R.Direct.BetweenTokensP99Ms,
             R.Routed.BetweenTokensP99Ms);
  Out += fmt::format("plain calls through one entry: {:.0f}/s with {:.2f} "
                     "cores, {:.0f}/s per core\n",
                     R.CallsPerSecond, R.EntryCoresUsed,
                     R.EntryCoresUsed > 0 ? R.CallsPerSecond / R.EntryCoresUsed
                                          : 0);
  Out += fmt::format("memory per open stream: {:.0f} bytes over {} streams\n",
                     R.BytesPerOpenStream, R.OpenStreams);
  Out += fmt::format("configuration change reported by every process: p50 "
                     "{:.0f} ms, p99 {:.0f} ms\n",
                     R.InForceP50Ms, R.InForceP99Ms);
  return Out;
}

json overheadJson(const OverheadReport &R) {
  return {{"direct", pathJson(R.Direct)},
          {"routed", pathJson(R.Routed)},
          {"calls_per_second", R.CallsPerSecond},
          {"entry_cores_used", R.EntryCoresUsed},
          {"bytes_per_open_stream", R.BytesPerOpenStream},
          {"open_streams", R.OpenStreams},
          {"in_force_p50_ms", R.InForceP50Ms},
          {"in_force_p99_ms", R.InForceP99Ms}};
}

} // namespace hyssoprail::load
