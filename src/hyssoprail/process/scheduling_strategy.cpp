#include "hyssoprail/process/scheduling_strategy.hpp"

namespace hyssoprail {
namespace {

/// Baseline: starts the prefill without checking or reserving decode capacity.
class NoReservation : public SchedulingStrategy {
public:
  std::string_view name() const override { return "none"; }
  bool hasCapacity(const DecodeCapacity & /*Capacity*/,
                   milliseconds /*NeededIn*/) const override {
    return true;
  }
  bool reservesBeforePrefill() const override { return false; }
  milliseconds reservationLeadTime(milliseconds /*NeededIn*/) const override {
    return milliseconds(0);
  }
};

/// Reserves a slot that is free now. The slot stays idle during the prefill.
class EarlyReservation : public SchedulingStrategy {
public:
  std::string_view name() const override { return "early"; }
  bool hasCapacity(const DecodeCapacity &Capacity,
                   milliseconds /*NeededIn*/) const override {
    return Capacity.FreeSlots > 0 &&
           Capacity.FreePieces >= Capacity.NeededPieces;
  }
  bool reservesBeforePrefill() const override { return true; }
  milliseconds reservationLeadTime(milliseconds /*NeededIn*/) const override {
    return milliseconds(0);
  }
};

/// Reserves a slot that is free or is predicted to be free when it is needed.
class PredictedReservation : public SchedulingStrategy {
public:
  std::string_view name() const override { return "predicted"; }
  bool hasCapacity(const DecodeCapacity &Capacity,
                   milliseconds NeededIn) const override {
    if (Capacity.FreeSlots > 0 && Capacity.FreePieces >= Capacity.NeededPieces)
      return true;
    return Capacity.NextRelease.count() > 0 &&
           Capacity.NextRelease <= NeededIn && !Capacity.NextReleaseTaken;
  }
  bool reservesBeforePrefill() const override { return true; }
  milliseconds reservationLeadTime(milliseconds NeededIn) const override {
    return NeededIn;
  }
};

/// Power of two choices: takes the cheaper of two random candidates, so that
/// entries with the same outdated load reports do not all choose the same
/// endpoint.
class TwoChoices : public PlacementStrategy {
public:
  std::string_view name() const override { return "two_choices"; }

  std::size_t choose(std::size_t Count, const Cost &CostOf,
                     RandomSource &Random) const override {
    if (Count == 0)
      return None;
    const std::size_t First = Random.below(Count);
    std::size_t Second = Count > 1 ? Random.below(Count - 1) : First;
    if (Count > 1 && Second >= First)
      ++Second;
    const double FirstCost = CostOf(First);
    const double SecondCost = CostOf(Second);
    if (FirstCost >= 0 && (SecondCost < 0 || FirstCost <= SecondCost))
      return First;
    if (SecondCost >= 0)
      return Second;
    return firstUsable(Count, First, CostOf);
  }

private:
  /// Fallback if neither drawn candidate is usable.
  static std::size_t firstUsable(std::size_t Count, std::size_t Start,
                                 const Cost &CostOf) {
    for (std::size_t I = 1; I < Count; ++I) {
      const std::size_t Candidate = (Start + I) % Count;
      if (CostOf(Candidate) >= 0)
        return Candidate;
    }
    return None;
  }
};

/// Baseline: takes the candidate with the lowest cost.
class LeastLoaded : public PlacementStrategy {
public:
  std::string_view name() const override { return "least_loaded"; }

  std::size_t choose(std::size_t Count, const Cost &CostOf,
                     RandomSource & /*Random*/) const override {
    std::size_t Best = None;
    double BestCost = 0;
    for (std::size_t I = 0; I < Count; ++I) {
      const double ThisCost = CostOf(I);
      if (ThisCost >= 0 && (Best == None || ThisCost < BestCost)) {
        Best = I;
        BestCost = ThisCost;
      }
    }
    return Best;
  }
};

} // namespace

Result<std::shared_ptr<const SchedulingStrategy>>
makeSchedulingStrategy(std::string_view Name) {
  if (Name == "none")
    return std::make_shared<const NoReservation>();
  if (Name == "early")
    return std::make_shared<const EarlyReservation>();
  if (Name == "predicted")
    return std::make_shared<const PredictedReservation>();
  return Error{ErrorKind::InvalidSettings,
               "scheduling policy \"" + std::string(Name) + "\" is unknown",
               "use none, early or predicted",
               "policy.scheduling",
               {}};
}

Result<std::shared_ptr<const PlacementStrategy>>
makePlacementStrategy(std::string_view Name) {
  if (Name == "two_choices")
    return std::make_shared<const TwoChoices>();
  if (Name == "least_loaded")
    return std::make_shared<const LeastLoaded>();
  return Error{ErrorKind::InvalidSettings,
               "placement policy \"" + std::string(Name) + "\" is unknown",
               "use two_choices or least_loaded",
               "policy.placement",
               {}};
}

} // namespace hyssoprail
