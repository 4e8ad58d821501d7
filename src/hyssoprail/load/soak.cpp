#include "hyssoprail/load/soak.hpp"

#include <algorithm>
#include <array>
#include <thread>

#include <fmt/format.h>
#include <sys/wait.h>

#include "hyssoprail/load/caller.hpp"
#include "hyssoprail/load/fault.hpp"

namespace hyssoprail::load {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using testbed::Fleet;

/// Longest time until service is whole after a fault ended.
constexpr std::chrono::seconds RecoveryTarget{5};

/// Time given to restarted programs and lapsing leases at the end of a run.
constexpr std::chrono::seconds QuietTime{15};

/// Bounds of the time a fault lasts, and of the pause after it.
constexpr std::uint64_t MinFaultMs = 500;
constexpr std::uint64_t FaultSpreadMs = 4'000;

testbed::FleetOptions fleetOptions(const SoakOptions &Options, const Profile &P,
                                   const std::vector<AccountLimit> &Limits) {
  testbed::FleetOptions F;
  F.BinaryDirectory = Options.BinaryDirectory;
  F.RunDirectory = Options.RunDirectory;
  F.Entries = 3;
  F.PrefillEngines = 3;
  F.DecodeEngines = 3;
  F.Services = 3;
  F.PrefillFlags =
      F.DecodeFlags = {"--model=m1", "--step_base_us=8000", "--cold_ms=1000"};
  F.Accounts.clear();
  for (std::size_t I = 0; I < Limits.size(); ++I)
    F.Accounts.push_back({P.Accounts[I].Name, Limits[I].Rate, Limits[I].Burst});
  return F;
}

class Soak {
public:
  explicit Soak(const SoakOptions &Options)
      : Options(Options), Random(Options.Seed), P(*profile("tayyara")),
        Limits(entitlements(P, Options.RequestsPerSecond, 1.2, 3)),
        F(fleetOptions(Options, P, Limits)) {}

  Result<SoakReport> run() {
    const Status Started = F.start();
    if (const Error *E = errorOf(Started))
      return *E;
    const std::vector<Arrival> Plan = makePlan(
        P, Options.RequestsPerSecond, Options.Length, Limits, Options.Seed);
    std::vector<Sample> Samples;
    std::thread Callers([&] { Samples = runPlan(callerOptions(), Plan); });
    disturb();
    Callers.join();
    checkSamples(Samples);
    checkExecutions(Samples);
    checkEngines();
    checkProcesses();
    checkVersions();
    const Status Stopped = F.stop();
    if (const Error *E = errorOf(Stopped))
      fail("planned stop: " + E->Message);
    return std::move(Report);
  }

private:
  CallerOptions callerOptions() const {
    CallerOptions Out;
    for (unsigned I = 0; I < F.options().Entries; ++I)
      Out.Entries.push_back(F.entryAddress(I));
    for (const AccountRow &A : P.Accounts)
      Out.Keys.push_back(Fleet::key(A.Name));
    return Out;
  }

  void fail(std::string Text) { Report.Failures.push_back(std::move(Text)); }

  const FaultRow &drawFault() {
    std::vector<const FaultRow *> Allowed;
    for (const FaultRow &Row : faultTable())
      if (Options.Faults.empty() ||
          std::find(Options.Faults.begin(), Options.Faults.end(), Row.Name) !=
              Options.Faults.end())
        Allowed.push_back(&Row);
    return *Allowed.at(Random.below(Allowed.size()));
  }

  milliseconds drawTime() {
    return milliseconds(MinFaultMs + Random.below(FaultSpreadMs));
  }

  /// Injects one or two faults at a time until the plan ends.
  void disturb() {
    const auto End = steady_clock::now() + Options.Length;
    while (steady_clock::now() + milliseconds(MinFaultMs) < End) {
      std::vector<std::pair<const FaultRow *, std::string>> Active;
      const std::uint64_t Count = 1 + Random.below(2);
      for (std::uint64_t I = 0; I < Count; ++I) {
        const FaultRow &Row = drawFault();
        Active.emplace_back(&Row, Row.Inject(F, Random));
        Report.Injected.push_back(
            fmt::format("{} {}", Row.Name, Active.back().second));
      }
      std::this_thread::sleep_for(drawTime());
      for (auto It = Active.rbegin(); It != Active.rend(); ++It)
        It->first->Heal(F, It->second);
      measureRecovery();
    }
  }

  /// Full service: every entry is ready and completes a stream and a call.
  bool serves() {
    for (unsigned I = 0; I < F.options().Entries; ++I) {
      auto Ready = F.http().fetch(F.entryAddress(I), "/readyz");
      if (errorOf(Ready) != nullptr || valueOf(Ready).Status != 200)
        return false;
      auto Done = F.http().post(
          F.entryAddress(I), "/v1/completions",
          json{{"model", "m1"}, {"prompt", "probe"}, {"max_tokens", 2}}.dump(),
          {{"Authorization", "Bearer " + Fleet::key(P.Accounts[0].Name)}});
      if (errorOf(Done) != nullptr || valueOf(Done).Status != 200)
        return false;
    }
    return true;
  }

  void measureRecovery() {
    const auto Healed = steady_clock::now();
    const bool Recovered =
        Fleet::waitUntil([this] { return serves(); }, std::chrono::seconds(60));
    const double Seconds =
        std::chrono::duration<double>(steady_clock::now() - Healed).count();
    Report.Recoveries.push_back(
        fmt::format("{:.2f} s after {}", Seconds, Report.Injected.back()));
    Report.WorstRecoverySeconds =
        std::max(Report.WorstRecoverySeconds, Seconds);
    if (!Recovered || Seconds > RecoveryTarget.count())
      fail(fmt::format("recovery took {:.1f} s after {}", Seconds,
                       Report.Injected.back()));
  }

  void checkSamples(const std::vector<Sample> &Samples) {
    for (const Sample &S : Samples) {
      ++Report.Outcomes[std::string(enumName(OutcomeNames, S.End))];
      if (S.End == Outcome::Wrong)
        fail(fmt::format("request {} got a wrong answer", S.Planned.Serial));
      if (S.End == Outcome::Unanswered)
        fail(fmt::format("request {} got no answer", S.Planned.Serial));
    }
  }

  void checkExecutions(const std::vector<Sample> &Samples) {
    std::map<std::string, std::uint64_t> Executions;
    for (unsigned I = 0; I < F.options().Services; ++I) {
      auto Answer = F.http().fetch(F.httpAddress(fmt::format("service-{}", I)),
                                   "/executions");
      if (errorOf(Answer) != nullptr) {
        fail("a service does not answer");
        continue;
      }
      const json Body = json::parse(valueOf(Answer).Body, nullptr, false);
      for (const auto &[Id, Count] : Body.at("executions").items())
        Executions[Id] += Count.get<std::uint64_t>();
    }
    for (const Sample &S : Samples) {
      if (S.Planned.Kind != RequestKind::Order || S.RequestId.empty())
        continue;
      const auto It = Executions.find(S.RequestId);
      const std::uint64_t Count = It == Executions.end() ? 0 : It->second;
      if (Count > 1)
        fail(fmt::format("order {} ran {} times", S.RequestId, Count));
      if (S.End == Outcome::Refused && Count > 0)
        fail(fmt::format("order {} ran but was reported as not run",
                         S.RequestId));
      if (S.End == Outcome::Complete && Count == 0)
        fail(fmt::format("order {} was answered but did not run", S.RequestId));
    }
  }

  bool enginesAreEmpty(std::string &Holder) {
    for (const auto &[Role, Count] :
         {std::pair{"prefill", F.options().PrefillEngines},
          std::pair{"decode", F.options().DecodeEngines}})
      for (unsigned I = 0; I < Count; ++I) {
        const std::string Name = fmt::format("{}-{}", Role, I);
        auto Answer = F.http().fetch(F.httpAddress(Name), "/held");
        if (errorOf(Answer) != nullptr)
          return false;
        const json Body = json::parse(valueOf(Answer).Body, nullptr, false);
        if (!Body.at("work").empty()) {
          Holder = Name + " " + Body.at("work").dump();
          return false;
        }
      }
    return true;
  }

  void checkEngines() {
    std::string Holder;
    if (!Fleet::waitUntil([&] { return enginesAreEmpty(Holder); }, QuietTime))
      fail("engine memory is still held: " + Holder);
  }

  std::vector<std::string> processNames() const {
    std::vector<std::string> Names;
    for (unsigned I = 0; I < F.options().Entries; ++I)
      Names.push_back(fmt::format("entry-{}", I));
    for (unsigned I = 0; I < F.options().PrefillEngines; ++I)
      Names.push_back(fmt::format("agent-prefill-{}", I));
    for (unsigned I = 0; I < F.options().DecodeEngines; ++I)
      Names.push_back(fmt::format("agent-decode-{}", I));
    for (unsigned I = 0; I < F.options().Services; ++I)
      Names.push_back(fmt::format("agent-service-{}", I));
    return Names;
  }

  /// Violations are fatal in this fleet, so a process that ended by itself
  /// has violated an invariant or crashed.
  void checkProcesses() {
    for (const std::string &Name : processNames())
      if (const auto Status = F.process(Name).wait(milliseconds(0)))
        fail(fmt::format("{} ended by itself, {}; its log may say why", Name,
                         describeEnd(*Status)));
  }

  /// \p Status as waitpid() gives it.
  static std::string describeEnd(int Status) {
    return WIFSIGNALED(Status)
               ? fmt::format("by signal {}", WTERMSIG(Status))
               : fmt::format("with exit code {}", WEXITSTATUS(Status));
  }

  void checkVersions() {
    auto Status = F.change("zone", "zone-0",
                           {{"name", "zone-0"}, {"region", "region-0"}});
    if (const Error *E = errorOf(Status))
      return fail("a change after the run was refused: " + E->Message);
    if (!F.waitInForce(valueOf(Status), RecoveryTarget))
      fail("the newest configuration is not in force on every entry");
  }

  const SoakOptions &Options;
  RandomSource Random;
  Profile P;
  std::vector<AccountLimit> Limits;
  Fleet F;
  SoakReport Report;
};

} // namespace

Result<SoakReport> runSoak(const SoakOptions &Options) {
  return Soak(Options).run();
}

} // namespace hyssoprail::load
