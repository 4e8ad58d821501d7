#ifndef HYSSOPRAIL_LOAD_SOAK_HPP
#define HYSSOPRAIL_LOAD_SOAK_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hyssoprail/core/result.hpp"

namespace hyssoprail::load {

/// A randomised run over real processes.
struct SoakOptions {
  std::string BinaryDirectory;
  std::string RunDirectory;
  std::chrono::milliseconds Length{30'000};
  double RequestsPerSecond = 20;
  std::uint64_t Seed = 1;
  std::vector<std::string> Faults; ///< names to draw from; empty: all
};

/// What the run saw. The run passed if Faults is empty.
struct SoakReport {
  std::vector<std::string> Failures; ///< each names the broken statement
  std::vector<std::string> Injected; ///< faults in order, with their targets
  std::map<std::string, std::size_t> Outcomes;
  std::vector<std::string> Recoveries; ///< time to full service per fault
  double WorstRecoverySeconds = 0;
};

/// Sends requests while faults come and go, then heals everything and checks:
/// no wrong or missing answer, no call executed twice, none executed that was
/// reported as not run, none completed without an execution, no engine memory
/// held, no invariant violated, one configuration version everywhere.
Result<SoakReport> runSoak(const SoakOptions &Options);

} // namespace hyssoprail::load

#endif // HYSSOPRAIL_LOAD_SOAK_HPP
