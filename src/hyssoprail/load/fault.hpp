#ifndef HYSSOPRAIL_LOAD_FAULT_HPP
#define HYSSOPRAIL_LOAD_FAULT_HPP

#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/core/random.hpp"
#include "hyssoprail/testbed/fleet.hpp"

namespace hyssoprail::load {

/// One way to disturb a fleet, and the way back.
struct FaultRow {
  std::string_view Name;
  /// Brings the fault about; returns the name of what it hit.
  std::string (*Inject)(testbed::Fleet &, RandomSource &);
  /// Ends the fault.
  void (*Heal)(testbed::Fleet &, const std::string &Target);
};

/// All faults of the randomised run.
const std::vector<FaultRow> &faultTable();

} // namespace hyssoprail::load

#endif // HYSSOPRAIL_LOAD_FAULT_HPP
