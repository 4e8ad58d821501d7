#include "hyssoprail/process/scheduling_strategy.hpp"

namespace hyssoprail {
namespace {

/// Baseline: neither a check nor a reservation before the prefill.
class NoReservation : public SchedulingStrategy {
public:
  std::string_view name() const override { return "none"; }
  bool hasRoom(const DecodeRoom & /*Room*/,
               milliseconds /*NeededIn*/) const override {
    return true;
  }
  bool reservesFirst() const override { return false; }
  milliseconds reserveFor(milliseconds /*NeededIn*/) const override {
    return milliseconds(0);
  }
};

/// Reserves a free slot, which stays empty during the prefill.
class EarlyReservation : public SchedulingStrategy {
public:
  std::string_view name() const override { return "early"; }
  bool hasRoom(const DecodeRoom &Room,
               milliseconds /*NeededIn*/) const override {
    return Room.FreeSlots > 0 && Room.FreePieces >= Room.NeededPieces;
  }
  bool reservesFirst() const override { return true; }
  milliseconds reserveFor(milliseconds /*NeededIn*/) const override {
    return milliseconds(0);
  }
};

/// Reserves a slot that is free or predicted to be free when it is needed.
class PredictedReservation : public SchedulingStrategy {
public:
  std::string_view name() const override { return "predicted"; }
  bool hasRoom(const DecodeRoom &Room, milliseconds NeededIn) const override {
    if (Room.FreeSlots > 0 && Room.FreePieces >= Room.NeededPieces)
      return true;
    return Room.NextRelease.count() > 0 && Room.NextRelease <= NeededIn &&
           !Room.PredictedTaken;
  }
  bool reservesFirst() const override { return true; }
  milliseconds reserveFor(milliseconds NeededIn) const override {
    return NeededIn;
  }
};

/// The better of two random candidates, so that entries with the same late
/// information do not all choose the same endpoint.
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
  /// Neither drawn candidate can be used: takes the next one that can.
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

/// The candidate with the lowest cost; the baseline.
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
