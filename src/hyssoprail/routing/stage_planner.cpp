#include "hyssoprail/routing/stage_planner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "hyssoprail/routing/duration_seconds.hpp"

namespace hyssoprail::routing {
namespace {

/// Prefill capacity is planned at this multiple of what the traffic needs when
/// decode engines are full, so that prompts do not queue and the loss of an
/// engine can be absorbed.
constexpr double PrefillHeadroom = 1.7;

/// Prefill engines become decode engines only if decode engines are busier than
/// the first value; decode engines become prefill engines only if prefill
/// engines are busier than the second.
constexpr double MinDecodeUtilization = 0.55;
constexpr double MinPrefillUtilization = 0.85;

/// Traffic is averaged over the first time and used after the second: before
/// that, long generations do not show in it yet.
constexpr milliseconds AveragingTime{5'000};
constexpr milliseconds WarmUpTime{8'000};
constexpr unsigned MinPrompts = 40;
constexpr double RateSmoothing = 0.05;

/// Shares of a service's engines: the minimum deviation from the planned split,
/// and the maximum number that may change in one round.
constexpr double SplitTolerance = 0.04;
constexpr double MaxRoundShare = 0.15;

/// Minimum times between two rounds in the same direction, between rounds in
/// opposite directions, and between two changes of one engine.
constexpr milliseconds RoundInterval{8'000};
constexpr milliseconds ReversalInterval{30'000};
constexpr milliseconds EngineChangeInterval{30'000};

/// A service is under pressure while a request waits for decode memory for more
/// than this share of its objective.
constexpr double PressureShare = 0.5;

/// Under pressure, prefill engines beyond this multiple of what the traffic
/// needs change to decode.
constexpr double PressedPrefillHeadroom = 1.25;

/// Largest share of the engines that change in one round under pressure.
constexpr double PressedRoundShare = 1.0 / 3;

/// Time until the next round under pressure: the effect of the last one shows
/// in the queue by then.
constexpr milliseconds PressedRoundInterval{2'000};

/// Pressure that returns within this time counts as uninterrupted: the wait
/// becomes short for a moment whenever the longest waiting request is placed.
constexpr milliseconds PressureGap{1'500};

/// Allowance for an order to arrive and for the registration to show the
/// change.
constexpr milliseconds OrderGracePeriod{4'000};

} // namespace

void EngineUtilization::recordPrefill(std::uint32_t Tokens,
                                      Duration PrefillTime, bool NoBacklog) {
  TokensPrefilled += Tokens;
  if (!NoBacklog || PrefillTime <= Duration::zero() || Tokens == 0)
    return;
  const double Weight = std::max(RateSmoothing, 1.0 / ++SampledPrompts);
  PrefillTokensPerSecond +=
      Weight * (Tokens / seconds(PrefillTime) - PrefillTokensPerSecond);
}

void EngineUtilization::sample(double DecodeEngines, TimePoint Now) {
  const double Elapsed = seconds(Now - std::exchange(LastSampleAt, Now));
  if (Elapsed > seconds(AveragingTime)) {
    // The first sample, or the first after a long gap.
    *this = {};
    LastSampleAt = Now;
    return;
  }
  const double Weight = 1 - std::exp(-Elapsed / seconds(AveragingTime));
  if (Elapsed > 0)
    PrefillTokenRate += Weight * (TokensPrefilled / Elapsed - PrefillTokenRate);
  Decode += Weight * (DecodeEngines - Decode);
  TokensPrefilled = 0;
  if (DecodeEngines > 0)
    TrafficTime += fromSeconds(Elapsed);
}

std::optional<EngineUtilization::BusyEngines>
EngineUtilization::busyEngines() const {
  if (SampledPrompts < MinPrompts || TrafficTime < WarmUpTime)
    return std::nullopt;
  return BusyEngines{PrefillTokenRate / PrefillTokensPerSecond, Decode};
}

bool StagePlanner::mayChange(const Endpoint &E, TimePoint Now) const {
  const auto Last = OrderedAt.find(E.Record.Id);
  return Table.mayReceive(E, Now) && E.Record.ColdFor == milliseconds(0) &&
         (Last == OrderedAt.end() ||
          Now - Last->second >= EngineChangeInterval);
}

/// A change costs the engine's work for StageChangeTime, so it needs demand
/// that lasts longer: a queue that takes longer to drain, or pressure that has
/// lasted longer and is therefore expected to last as long again.
StagePlanner::Pace StagePlanner::paceOf(const ServicePolicy &Service,
                                        const StagePressure &Pressure,
                                        TimePoint Now) {
  const Pace Usual{PrefillHeadroom, MaxRoundShare, RoundInterval, false};
  if (!Pressure.LeastCost)
    return Usual;
  if (Pressure.Objective <= Duration::zero() ||
      seconds(Pressure.Wait) < PressureShare * seconds(Pressure.Objective))
    return Usual;
  const auto [It, New] = Pressed.try_emplace(Service.Name);
  PressurePeriod &P = It->second;
  if (New || Now - P.LastAt > PressureGap)
    P.Since = Now;
  P.LastAt = Now;
  if (std::max<Duration>(Now - P.Since, Pressure.DrainTime) <=
      Service.Engine->StageChangeTime)
    return Usual;
  return {PressedPrefillHeadroom, PressedRoundShare, PressedRoundInterval,
          true};
}

StagePlanner::Engines StagePlanner::enginesOf(std::string_view Service,
                                              TimePoint Now) const {
  Engines Out;
  Table.forEach([&](Endpoint &E) {
    if (E.Record.Service != Service || !Table.inService(E))
      return;
    const bool Changes = E.isChangingStage(Now);
    const EngineStage Stage = Changes ? E.TargetStage : E.Record.Stage;
    if (!Changes && Stage == EngineStage::Prefill)
      ++Out.PrefillCountByZone[E.Record.Zone];
    (Stage == EngineStage::Prefill ? Out.Prefill : Out.Decode).push_back(&E);
  });
  return Out;
}

std::vector<StageChange>
StagePlanner::plan(const ServicePolicy &Service,
                   const EngineUtilization &Utilization, TimePoint Now,
                   const StagePressure &Pressure) {
  std::vector<StageChange> Out;
  if (!Service.Engine)
    return Out;
  const Pace Rounds = paceOf(Service, Pressure, Now);
  auto BusyEngines = Utilization.busyEngines();
  if (!BusyEngines || BusyEngines->Decode <= 0)
    return Out;
  Engines Present = enginesOf(Service.Name, Now);
  const std::vector<Endpoint *> &Prefill = Present.Prefill;
  const std::vector<Endpoint *> &Decode = Present.Decode;
  const auto EngineCount = static_cast<double>(Prefill.size() + Decode.size());
  if (Prefill.empty() || Decode.empty())
    return Out;
  const double RequiredPrefill = Rounds.PrefillHeadroom * BusyEngines->Prefill;
  // The measured average does not show the demand that waits: decode needs all
  // engines that prefill can spare.
  if (Rounds.DecodeIsFull)
    BusyEngines->Decode =
        std::max({BusyEngines->Decode, static_cast<double>(Decode.size()),
                  EngineCount - std::ceil(RequiredPrefill)});
  const double PrefillShare =
      RequiredPrefill / (RequiredPrefill + BusyEngines->Decode);
  const double TargetPrefill =
      std::clamp(std::ceil(PrefillShare * EngineCount), 1.0, EngineCount - 1);
  const double Surplus = static_cast<double>(Prefill.size()) - TargetPrefill;
  if (std::abs(Surplus) < std::max(1.0, SplitTolerance * EngineCount))
    return Out;
  const EngineStage To =
      Surplus > 0 ? EngineStage::Decode : EngineStage::Prefill;
  const bool InDemand =
      To == EngineStage::Decode
          ? BusyEngines->Decode >
                MinDecodeUtilization * static_cast<double>(Decode.size())
          : BusyEngines->Prefill >
                MinPrefillUtilization * static_cast<double>(Prefill.size());
  if (!InDemand)
    return Out;
  const auto Last = LastOrders.find(Service.Name);
  if (Last != LastOrders.end() &&
      Now - Last->second.At <
          (Last->second.To == To ? Rounds.RoundInterval : ReversalInterval))
    return Out;
  const auto Count = static_cast<std::size_t>(std::min(
      std::abs(Surplus), std::max(1.0, Rounds.MaxRoundShare * EngineCount)));
  return chooseChanges(std::move(Present), To, Count, Now);
}

/// Least loaded engines first, zones with the most prefill engines before
/// others; the last prefill engine of a zone is kept.
std::vector<StageChange> StagePlanner::chooseChanges(Engines Present,
                                                     EngineStage To,
                                                     std::size_t Count,
                                                     TimePoint Now) const {
  std::vector<StageChange> Out;
  auto &PrefillCountByZone = Present.PrefillCountByZone;
  std::vector<Endpoint *> &From =
      To == EngineStage::Decode ? Present.Prefill : Present.Decode;
  std::erase_if(From, [&](const Endpoint *E) {
    return E->isChangingStage(Now) || !mayChange(*E, Now);
  });
  std::sort(From.begin(), From.end(), [](const Endpoint *A, const Endpoint *B) {
    return std::pair(A->totalLoad().Runs, A->Record.Id) <
           std::pair(B->totalLoad().Runs, B->Record.Id);
  });
  while (Out.size() < Count && !From.empty()) {
    auto Best = std::max_element(From.begin(), From.end(),
                                 [&](const Endpoint *A, const Endpoint *B) {
                                   return PrefillCountByZone[A->Record.Zone] <
                                          PrefillCountByZone[B->Record.Zone];
                                 });
    if (To == EngineStage::Decode &&
        PrefillCountByZone[(*Best)->Record.Zone] <= 1)
      break;
    PrefillCountByZone[(*Best)->Record.Zone] +=
        To == EngineStage::Decode ? -1 : 1;
    Out.push_back({(*Best)->Record.Id, To});
    From.erase(Best);
  }
  return Out;
}

void StagePlanner::recordOrder(const StageChange &Change,
                               const ServicePolicy &Service, TimePoint Now) {
  LastOrders[Service.Name] = {Change.To, Now};
  OrderedAt[Change.EndpointId] = Now;
  if (Endpoint *E = Table.find(Change.EndpointId)) {
    E->TargetStage = Change.To;
    E->StageChangeDeadline =
        Now + Service.Engine->StageChangeTime + OrderGracePeriod;
  }
}

} // namespace hyssoprail::routing
