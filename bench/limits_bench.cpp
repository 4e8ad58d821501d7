/// Compares limits by owner with fixed shares: the same requests and faults, on
/// a model of the fleet with a paused clock. Prints one line for each scenario
/// and policy.
///
///   limits_bench [--seed=N] [--seconds=N]

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <map>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "hyssoprail/process/limit_fleet_model.hpp"

DEFINE_uint64(seed, 1, "seed of arrivals and network delays");
DEFINE_int32(seconds, 100, "modelled seconds of each run");

namespace hyssoprail {
namespace {

using std::chrono::seconds;

constexpr std::size_t EntryCount = 5;
constexpr milliseconds WarmUp{8'000};
/// A request's tokens are 1/20 s of its account's rate on average.
constexpr double RequestsPerSecond = 20;

struct BenchAccount {
  const char *Name;
  double Rate;
  double Load; ///< of its rate
};

struct Scenario {
  const char *Name;
  double Skew;      ///< part of an account's load that goes to one entry
  double FirstLoad; ///< load of the first account, of its rate
  std::function<void(LimitFleetModel &)> Faults;
};

/// Poisson arrivals of one account, placed by skew on the live entries.
class Caller {
public:
  Caller(LimitFleetModel &Fleet, BenchAccount Of, double Skew, std::size_t Home,
         std::uint64_t Seed)
      : Fleet(Fleet), Of(Of), Skew(Skew), Home(Home), Random(Seed) {}

  void start() { next(); }

private:
  void next() {
    const double Gap = Random.exponential(1 / (RequestsPerSecond * Of.Load));
    Fleet.schedule(Fleet.now() + std::chrono::duration_cast<Duration>(
                                     std::chrono::duration<double>(Gap)),
                   [this] {
                     ask();
                     next();
                   });
  }

  void ask() {
    const double Mean = Of.Rate / RequestsPerSecond;
    const double Tokens = std::clamp(Random.exponential(Mean), 1.0, 5 * Mean);
    const auto Whole = static_cast<std::uint64_t>(Tokens);
    const auto Unused = static_cast<std::uint64_t>(Tokens * Random.unit() / 2);
    const auto Hold = milliseconds(200 + Random.below(4'000));
    Fleet.request(entry(), Of.Name, Whole, Unused, Hold);
  }

  std::size_t entry() {
    std::vector<std::size_t> Live;
    for (std::size_t I = 0; I < Fleet.entries(); ++I)
      if (Fleet.serving(I))
        Live.push_back(I);
    if (Random.unit() < Skew)
      return Live[Home % Live.size()];
    return Live[Random.below(Live.size())];
  }

  LimitFleetModel &Fleet;
  BenchAccount Of;
  double Skew;
  std::size_t Home;
  RandomSource Random;
};

void isolate(LimitFleetModel &Fleet, std::size_t Entry, bool Broken) {
  Fleet.setLogLinkDown(Entry, Broken);
  for (std::size_t I = 0; I < Fleet.entries(); ++I)
    if (I != Entry)
      Fleet.setLinkDown(I, Entry, Broken);
}

/// Entry that the faults hit: the owner of the largest account's shard, and
/// the same entry in the run with fixed shares that follows.
std::size_t target(LimitFleetModel &Fleet) {
  static std::size_t Newest = 0;
  const std::size_t Owner = Fleet.ownerEntry("large");
  if (Owner < Fleet.entries())
    Newest = Owner;
  return Newest;
}

TimePoint afterStart(LimitFleetModel &Fleet, Duration D) {
  return Fleet.now() + WarmUp + D;
}

void killOwner(LimitFleetModel &Fleet) {
  Fleet.schedule(afterStart(Fleet, seconds(20)), [&Fleet] {
    Fleet.kill(target(Fleet));
    Fleet.schedule(Fleet.now() + seconds(5), [&Fleet] { Fleet.addEntry(); });
  });
}

/// Replaces every entry: a new one joins, the old one leaves and ends after
/// 5 s.
void replaceAll(LimitFleetModel &Fleet) {
  for (std::size_t I = 0; I < EntryCount; ++I)
    Fleet.schedule(afterStart(Fleet, seconds(10 + 12 * I)), [&Fleet, I] {
      Fleet.addEntry();
      Fleet.schedule(Fleet.now() + seconds(3),
                     [&Fleet, I] { Fleet.setLeaving(I); });
      Fleet.schedule(Fleet.now() + seconds(8), [&Fleet, I] { Fleet.kill(I); });
    });
}

void isolateOwner(LimitFleetModel &Fleet) {
  Fleet.schedule(afterStart(Fleet, seconds(20)), [&Fleet] {
    const std::size_t Owner = target(Fleet);
    isolate(Fleet, Owner, true);
    Fleet.schedule(Fleet.now() + seconds(10),
                   [&Fleet, Owner] { isolate(Fleet, Owner, false); });
  });
}

void pauseOwner(LimitFleetModel &Fleet) {
  Fleet.schedule(afterStart(Fleet, seconds(20)),
                 [&Fleet] { Fleet.pause(target(Fleet), seconds(5)); });
}

void logOutage(LimitFleetModel &Fleet) {
  Fleet.schedule(afterStart(Fleet, seconds(20)),
                 [&Fleet] { Fleet.setLogDown(true); });
  Fleet.schedule(afterStart(Fleet, seconds(80)),
                 [&Fleet] { Fleet.setLogDown(false); });
}

struct Totals {
  std::uint64_t Within = 0;
  std::uint64_t Refused = 0;
  double Entitled = 0; ///< tokens an ideal bucket granted
  double Granted = 0;  ///< tokens granted
};

void run(const Scenario &S, bool Fixed) {
  constexpr std::array<BenchAccount, 5> Accounts{{{"large", 20'000, 0.9},
                                                  {"second", 10'000, 0.9},
                                                  {"third", 2'000, 0.9},
                                                  {"fourth", 1'000, 0.9},
                                                  {"fifth", 500, 0.9}}};
  LimitFleetOptions Options;
  Options.UseFixedLimits = Fixed;
  Options.Seed = FLAGS_seed;
  LimitFleetModel Fleet(Options);
  for (const BenchAccount &A : Accounts)
    Fleet.setAccount(A.Name, AccountLimit{.Rate = A.Rate, .Burst = 2 * A.Rate});
  for (std::size_t I = 0; I < EntryCount; ++I)
    Fleet.addEntry();
  if (S.Faults)
    S.Faults(Fleet);
  Fleet.runUntil(Fleet.now() + WarmUp);
  std::vector<std::unique_ptr<Caller>> Callers;
  for (std::size_t I = 0; I < Accounts.size(); ++I) {
    BenchAccount Of = Accounts[I];
    if (I == 0)
      Of.Load = S.FirstLoad;
    Callers.push_back(
        std::make_unique<Caller>(Fleet, Of, S.Skew, I, FLAGS_seed * 100 + I));
    Callers.back()->start();
  }
  Fleet.runUntil(Fleet.now() + seconds(FLAGS_seconds));
  std::map<std::string, Totals> ByAccount;
  Totals All;
  std::vector<double> Waits;
  for (const LimitOutcome &O : Fleet.outcomes()) {
    if (O.Granted)
      Waits.push_back(
          std::chrono::duration<double, std::milli>(O.Waited).count());
    Totals &Of = ByAccount[O.Account];
    Of.Entitled += O.WithinRate ? static_cast<double>(O.Tokens) : 0;
    Of.Granted += O.Granted ? static_cast<double>(O.Tokens) : 0;
    // Of an account over its rate, the ideal bucket and the owner may grant
    // different requests; only its tokens can be compared.
    const bool Over = S.FirstLoad > 1 && O.Account == Accounts[0].Name;
    if (Over || !O.WithinRate || !O.Answered)
      continue;
    ++All.Within;
    All.Refused += O.Granted ? 0 : 1;
  }
  double Worst = 1;
  for (const auto &[Name, T] : ByAccount)
    Worst = std::min(Worst, T.Granted / T.Entitled);
  std::sort(Waits.begin(), Waits.end());
  const auto Violation = Fleet.audit().firstViolation();
  fmt::print("{:<22} {:<6} within-rate {:>6} refused {:>5} = {:>6.2f}%  worst "
             "served {:>6.2f}%  wait p50 {:>5.2f} ms p99 {:>6.2f} ms  bound "
             "{}\n",
             S.Name, Fixed ? "fixed" : "owner", All.Within, All.Refused,
             100.0 * static_cast<double>(All.Refused) /
                 static_cast<double>(All.Within),
             100.0 * Worst, Waits[Waits.size() / 2],
             Waits[Waits.size() * 99 / 100],
             Violation ? "exceeded: " + Violation->describe() : "held");
}

} // namespace
} // namespace hyssoprail

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  using namespace hyssoprail;
  const std::array<Scenario, 9> Scenarios{{
      {"even load", 0, 0.9, nullptr},
      {"skew 80%", 0.8, 0.9, nullptr},
      {"skew 80%, one at 5x", 0.8, 5, nullptr},
      {"owner dies", 0.8, 0.9, killOwner},
      {"all replaced", 0.8, 0.9, replaceAll},
      {"owner isolated 10 s", 0.8, 0.9, isolateOwner},
      {"owner paused 5 s", 0.8, 0.9, pauseOwner},
      {"log outage 60 s", 0.8, 0.9, logOutage},
      {"even, all replaced", 0, 0.9, replaceAll},
  }};
  for (const Scenario &S : Scenarios)
    for (const bool Fixed : {false, true})
      run(S, Fixed);
  return 0;
}
