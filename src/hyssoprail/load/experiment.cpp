#include "hyssoprail/load/experiment.hpp"

#include <array>
#include <thread>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "hyssoprail/load/caller.hpp"
#include "hyssoprail/testbed/fleet.hpp"

namespace hyssoprail::load {
namespace {

using nlohmann::json;

constexpr std::array<PolicySet, 4> PolicySets{{
    {"baseline", "none", "fixed", "least_loaded"},
    {"none", "none", "owner", "two_choices"},
    {"early", "early", "owner", "two_choices"},
    {"predicted", "predicted", "owner", "two_choices"},
}};

/// Zone that leaves during a zone change, and when, as shares of the run.
constexpr const char *ChangedZone = "zone-1";
constexpr double ZoneLeaves = 1.0 / 3;
constexpr double ZoneReturns = 2.0 / 3;

/// Engines at a reduced scale: a full decode engine takes 32 ms for a step of
/// its 20 streams, and a prefill of 500 tokens costs as much as 38 output
/// tokens of a full engine.
const std::vector<std::string> EngineScale{"--model=m1",
                                           "--step_base_us=16000",
                                           "--step_stream_us=800",
                                           "--prefill_token_us=120",
                                           "--link_bytes_per_s=20000000",
                                           "--kv_bytes_per_token=1024"};

testbed::FleetOptions fleetOptions(const Profile &P,
                                   const ExperimentOptions &Options,
                                   const PolicySet &Policy,
                                   const std::vector<AccountLimit> &Limits) {
  testbed::FleetOptions F;
  F.BinaryDirectory = Options.BinaryDirectory;
  F.RunDirectory =
      fmt::format("{}/{}-{}", Options.RunDirectory, P.Name, Policy.Name);
  F.Entries = Options.Entries;
  F.PrefillEngines = P.PrefillEngines;
  F.DecodeEngines = P.DecodeEngines;
  F.Services = P.Services;
  F.PrefillFlags = F.DecodeFlags = EngineScale;
  F.FatalViolations = false;
  F.LogLevel = "warning";
  F.Policy = {Policy.Scheduling, Policy.Limits, Policy.Placement};
  F.Accounts.clear();
  for (std::size_t I = 0; I < Limits.size(); ++I)
    F.Accounts.push_back({P.Accounts[I].Name, Limits[I].Rate, Limits[I].Burst});
  return F;
}

/// Sums the counters of all engines of a fleet.
PrefillCounters readCounters(testbed::Fleet &Fleet) {
  PrefillCounters Sum;
  const auto AddEngine = [&](const std::string &Name) {
    auto Answer = Fleet.http().fetch(Fleet.httpAddress(Name), "/stats");
    if (errorOf(Answer) != nullptr || valueOf(Answer).Status != 200)
      return;
    const json Stats = json::parse(valueOf(Answer).Body, nullptr, false);
    Sum.ComputedTokens += Stats.value("prefill_tokens", std::uint64_t{0});
    Sum.UsedTokens += Stats.value("used_prefill_tokens", std::uint64_t{0});
    Sum.EngineCrashes += Stats.value("crashes", std::uint64_t{0});
  };
  for (unsigned I = 0; I < Fleet.options().PrefillEngines; ++I)
    AddEngine(fmt::format("prefill-{}", I));
  for (unsigned I = 0; I < Fleet.options().DecodeEngines; ++I)
    AddEngine(fmt::format("decode-{}", I));
  return Sum;
}

std::vector<ScheduledAction> zoneChange(testbed::Fleet &Fleet,
                                        std::chrono::milliseconds Length) {
  const auto At = [Length](double Share) {
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(Length.count()) * Share));
  };
  // The change runs on a thread of its own, so that it does not delay the
  // arrivals of the open-loop plan.
  const auto Set = [&Fleet](bool Out) {
    std::thread([&Fleet, Out] {
      testbed::SyncHttp Http;
      const json Body = {
          {"operation_id", fmt::format("zone-change-{}", Out)},
          {"kind", "zone"},
          {"name", ChangedZone},
          {"base_version", -1},
          {"remove", false},
          {"value",
           {{"name", ChangedZone}, {"region", "region-0"}, {"out", Out}}}};
      Http.post(
          Fleet.adminAddress(0), "/admin/v1/changes", Body.dump(),
          {{"Authorization", std::string("Bearer ") + testbed::OperatorToken}});
    }).detach();
  };
  return {{At(ZoneLeaves), [Set] { Set(true); }},
          {At(ZoneReturns), [Set] { Set(false); }}};
}

Result<Summary> runOnce(const Profile &P, const ExperimentOptions &Options,
                        const PolicySet &Policy,
                        const std::vector<AccountLimit> &Limits,
                        const std::vector<Arrival> &Plan) {
  testbed::Fleet Fleet(fleetOptions(P, Options, Policy, Limits));
  const Status Started = Fleet.start();
  if (const Error *E = errorOf(Started))
    return *E;
  std::this_thread::sleep_for(Options.WarmUp);
  CallerOptions Callers;
  Callers.Skew = Options.Skew;
  for (unsigned I = 0; I < Options.Entries; ++I)
    Callers.Entries.push_back(Fleet.entryAddress(I));
  for (const AccountRow &Account : P.Accounts)
    Callers.Keys.push_back(testbed::Fleet::key(Account.Name));
  const std::vector<Sample> Samples =
      runPlan(Callers, Plan,
              Options.ZoneChange ? zoneChange(Fleet, Options.Length)
                                 : std::vector<ScheduledAction>{});
  const PrefillCounters Counters = readCounters(Fleet);
  const Status Stopped = Fleet.stop();
  if (const Error *E = errorOf(Stopped))
    fmt::print(stderr, "[load] {}: {}\n", Policy.Name, E->Message);
  return summarize(std::string(Policy.Name), P, Options.Length, Samples, {},
                   Counters);
}

} // namespace

const PolicySet *policySet(std::string_view Name) {
  for (const PolicySet &Set : PolicySets)
    if (Set.Name == Name)
      return &Set;
  return nullptr;
}

Result<std::vector<Summary>> runExperiment(const Profile &P,
                                           const ExperimentOptions &Options) {
  Profile Used = P;
  if (!Options.Overload)
    for (AccountRow &Account : Used.Accounts)
      Account.Overload = 1;
  const std::vector<AccountLimit> Limits = entitlements(
      Used, Options.RequestsPerSecond, Options.Headroom, Options.BurstSeconds);
  const std::vector<Arrival> Plan = makePlan(
      Used, Options.RequestsPerSecond, Options.Length, Limits, Options.Seed);
  std::vector<Summary> Runs;
  for (const std::string &Name : Options.Policies) {
    const PolicySet *Policy = policySet(Name);
    if (Policy == nullptr)
      return Error{ErrorKind::NotFound,
                   "no policy set is called " + Name,
                   "use baseline, none, early or predicted",
                   "policies",
                   {}};
    Result<Summary> Run = runOnce(Used, Options, *Policy, Limits, Plan);
    if (const Error *E = errorOf(Run))
      return *E;
    Runs.push_back(std::move(valueOf(Run)));
  }
  return Runs;
}

} // namespace hyssoprail::load
