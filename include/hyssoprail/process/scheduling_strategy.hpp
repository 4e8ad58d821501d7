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

/// What a decode endpoint can hold, after the local correction.
struct DecodeRoom {
  std::int64_t FreeSlots = 0;
  std::int64_t FreePieces = 0;
  std::int64_t NeededPieces = 1;
  milliseconds NextRelease{0}; ///< 0: not known
  bool PredictedTaken = false; ///< the next release is promised already
};

/// When a prefill may start relative to its decode slot.
class SchedulingStrategy {
public:
  virtual ~SchedulingStrategy() = default;

  virtual std::string_view name() const = 0;

  /// True if a request that needs the slot in \p NeededIn may be sent there.
  virtual bool hasRoom(const DecodeRoom &Room, milliseconds NeededIn) const = 0;

  /// True if the slot is reserved before the prefill starts.
  virtual bool reservesFirst() const = 0;

  /// When to ask the agent for the slot, given when it is needed.
  virtual milliseconds reserveFor(milliseconds NeededIn) const = 0;
};

/// How one endpoint is drawn from candidates with a cost each.
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

/// Makes the policy called "none", "early" or "predicted".
/// Errors: InvalidSettings for another name.
Result<std::shared_ptr<const SchedulingStrategy>>
makeSchedulingStrategy(std::string_view Name);

/// Makes the policy called "two_choices" or "least_loaded".
/// Errors: InvalidSettings for another name.
Result<std::shared_ptr<const PlacementStrategy>>
makePlacementStrategy(std::string_view Name);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_SCHEDULING_STRATEGY_HPP
