#ifndef HYSSOPRAIL_LOAD_EXPERIMENT_HPP
#define HYSSOPRAIL_LOAD_EXPERIMENT_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/core/result.hpp"
#include "hyssoprail/load/summary.hpp"
#include "hyssoprail/testbed/fleet_options.hpp"

namespace hyssoprail::load {

/// A named set of policies that is compared with others in one run.
struct PolicySet {
  std::string_view Name;
  const char *Scheduling;
  const char *Limits;
  const char *Placement;
};

/// Returns the policy set called \p Name ("baseline", "none", "early",
/// "predicted"), or null.
const PolicySet *policySet(std::string_view Name);

/// What an experiment does.
struct ExperimentOptions {
  std::string BinaryDirectory;
  std::string RunDirectory;
  std::vector<std::string> Policies{"baseline", "early"};
  double RequestsPerSecond = 100; ///< of all accounts at overload 1
  std::chrono::milliseconds Length{20'000};
  std::chrono::milliseconds WarmUp{4'000}; ///< engines leave cold start
  unsigned Entries = 3;
  double Headroom = 1.0;   ///< account rate over its share of the load
  double BurstSeconds = 3; ///< burst as seconds of the account's rate
  double Skew = 0.0;       ///< share of requests kept on the first entry
  bool ZoneChange = false; ///< one zone leaves and returns during the run
  bool Overload = true;    ///< apply the profile's overload factors
  std::uint64_t Seed = 1;
};

/// Runs the profile once for each policy set, each on a fresh fleet, with the
/// same plan. Fails with the first fleet that does not start.
Result<std::vector<Summary>> runExperiment(const Profile &P,
                                           const ExperimentOptions &Options);

} // namespace hyssoprail::load

#endif // HYSSOPRAIL_LOAD_EXPERIMENT_HPP
