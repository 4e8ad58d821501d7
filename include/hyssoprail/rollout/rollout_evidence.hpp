#ifndef HYSSOPRAIL_ROLLOUT_ROLLOUT_EVIDENCE_HPP
#define HYSSOPRAIL_ROLLOUT_ROLLOUT_EVIDENCE_HPP

#include <cstdint>
#include <string>

#include "hyssoprail/rollout/version_comparison.hpp"

namespace hyssoprail::rollout {

/// What one entry has counted since a rollout began. All counts but those of
/// what runs now only grow within an incarnation of the entry.
struct RolloutEvidence {
  std::string Service;
  OrderId Order;
  std::uint64_t Requests = 0;        ///< sent to the service, of both versions
  std::uint64_t TargetRequests = 0;  ///< sent to the target
  std::uint64_t Allowance = 0;       ///< largest TargetRequests it may reach
  std::uint32_t OldRuns = 0;         ///< running at the old version
  std::uint32_t OldUnrepeatable = 0; ///< of these, not to be repeated
  bool RolledBack = false; ///< the entry knows that it was rolled back
  Duration LongestRun{};   ///< of recent requests to the old version
  VersionAnswers Answers;
};

} // namespace hyssoprail::rollout

#endif // HYSSOPRAIL_ROLLOUT_ROLLOUT_EVIDENCE_HPP
