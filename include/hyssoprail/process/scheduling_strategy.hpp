#ifndef HYSSOPRAIL_PROCESS_SCHEDULING_STRATEGY_HPP
#define HYSSOPRAIL_PROCESS_SCHEDULING_STRATEGY_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/core/random.hpp"
#include "hyssoprail/core/result.hpp"

namespace hyssoprail {

/// Free capacity of a decode endpoint, after the correction by EndpointView.
struct DecodeCapacity {
  std::int64_t FreeSlots = 0;
  std::int64_t FreePieces = 0;
  std::int64_t NeededPieces = 1;
  milliseconds NextRelease{0};   ///< until a slot is released; 0: not known
  bool NextReleaseTaken = false; ///< another request already counts on it
};

/// Decides whether a decode slot is reserved before the prefill starts, and how
/// far ahead. Set by policy.scheduling.
class SchedulingStrategy {
public:
  virtual ~SchedulingStrategy() = default;

  virtual std::string_view name() const = 0;

  /// True if the endpoint can take a request that needs the slot in \p
  /// NeededIn.
  virtual bool hasCapacity(const DecodeCapacity &Capacity,
                           milliseconds NeededIn) const = 0;

  /// True if the slot is reserved before the prefill starts.
  virtual bool reservesBeforePrefill() const = 0;

  /// Returns how far ahead the agent is told that the slot is needed, if it
  /// will be needed in \p NeededIn; 0 asks for a slot that is free now.
  virtual milliseconds reservationLeadTime(milliseconds NeededIn) const = 0;
};

/// Chooses one endpoint from candidates by their costs. Set by
/// policy.placement.
class PlacementStrategy {
public:
  /// Cost of a candidate; negative if it cannot be used.
  using Cost = std::function<double(std::size_t Candidate)>;

  static constexpr std::size_t None = static_cast<std::size_t>(-1);

  virtual ~PlacementStrategy() = default;

  virtual std::string_view name() const = 0;

  /// Returns a usable candidate in [0, \p Count), or None.
  virtual std::size_t choose(std::size_t Count, const Cost &CostOf,
                             RandomSource &Random) const = 0;
};

/// Creates the strategy named "none", "early" or "predicted".
/// Errors: InvalidSettings for another name.
Result<std::shared_ptr<const SchedulingStrategy>>
makeSchedulingStrategy(std::string_view Name);

/// Creates the strategy named "two_choices" or "least_loaded".
/// Errors: InvalidSettings for another name.
Result<std::shared_ptr<const PlacementStrategy>>
makePlacementStrategy(std::string_view Name);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_SCHEDULING_STRATEGY_HPP
