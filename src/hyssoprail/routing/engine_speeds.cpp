#include "hyssoprail/routing/engine_speeds.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "hyssoprail/routing/duration_seconds.hpp"

namespace hyssoprail::routing {
namespace {

/// Time constant of measured work. An engine that turns four times slower must
/// be noticed within 1 to 2 s of its work.
constexpr double WorkSeconds = 2;

/// Time constant of the usual time of a prompt token, which changes only with
/// the kind of requests.
constexpr double PrefillReferenceSeconds = 20;

/// With fewer recent samples an engine counts as unknown.
constexpr double MinSamples = 10;

/// Seconds of work at the usual speed that are added to the measured work, so
/// that a few short samples do not give an extreme speed.
constexpr double PriorSeconds = 0.03;

/// Engines of a service become uneven when the largest speed is this multiple
/// of the smallest. At smaller ratios, placement by speed gains less than the
/// scatter of the measured times.
constexpr double UnevenRatio = 1.5;

/// Uneven engines become even again when that ratio was below EvenRatio for
/// EvenTime. The gap between the two ratios keeps a service near one of them
/// from changing back and forth.
constexpr double EvenRatio = 1.3;
constexpr milliseconds EvenTime{5'000};

/// Share by which a factor may be wrong by chance, times the root of its number
/// of samples: two standard errors at a scatter of 15%.
constexpr double SamplingError = 0.3;

/// Totals of an entry that has not reported on an engine for this time are
/// forgotten; its next ones are a new base.
constexpr milliseconds SourceRetention{30'000};
constexpr milliseconds SourceCheckInterval{5'000};

/// Tokens, microseconds or samples by which the totals of a peer may grow
/// between two reports. Larger growth is a fault of the peer.
constexpr std::uint64_t MaxGrowth = 1'000'000'000;

double median(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  const std::size_t Half = Values.size() / 2;
  return Values.size() % 2 == 1 ? Values[Half]
                                : (Values[Half - 1] + Values[Half]) / 2;
}

/// A class is left below EvenRatio only, so that a factor near UnevenRatio does
/// not change it again and again.
SpeedClass speedClass(double Factor, SpeedClass Before) {
  if (Factor >= (Before == SpeedClass::Fast ? EvenRatio : UnevenRatio))
    return SpeedClass::Fast;
  return Factor <= 1 / (Before == SpeedClass::Slow ? EvenRatio : UnevenRatio)
             ? SpeedClass::Slow
             : SpeedClass::Usual;
}

bool hasGrownFrom(const EngineWorkReport &Before,
                  const EngineWorkReport &Totals) {
  if (Totals.Samples <= Before.Samples)
    return false;
  for (std::size_t I = 0; I < EngineWorkKinds; ++I)
    if (Totals.Work[I].Tokens < Before.Work[I].Tokens ||
        Totals.Work[I].Micros < Before.Work[I].Micros)
      return false;
  return true;
}

} // namespace

void EngineSpeeds::decay(Engine &E, TimePoint Now) {
  if (Now <= E.UpdatedAt)
    return;
  const double Kept = std::exp(-seconds(Now - E.UpdatedAt) / WorkSeconds);
  E.UpdatedAt = Now;
  E.Samples *= Kept;
  for (Recent &R : E.Work) {
    R.Expected *= Kept;
    R.Measured *= Kept;
  }
}

void EngineSpeeds::observe(const std::string &Entry, std::uint64_t Incarnation,
                           const EngineWorkReport &Report, TimePoint Now) {
  const Endpoint *Target = Table.find(Report.Engine);
  if (!Target || Target->Record.StartedAtMs != Report.StartedAtMs)
    return;
  auto &ByEntry = Sources[Report.Engine];
  const auto [It, New] = ByEntry.try_emplace(Entry);
  Source &From = It->second;
  From.HeardAt = Now;
  // Work from before the first totals cannot be dated.
  if (New || From.Incarnation != Incarnation ||
      From.Totals.StartedAtMs != Report.StartedAtMs) {
    From.Incarnation = Incarnation;
    From.Totals = Report;
    return;
  }
  if (!hasGrownFrom(From.Totals, Report))
    return;
  addGrowth(*Target, std::exchange(From.Totals, Report), Report, Now);
}

void EngineSpeeds::addGrowth(const Endpoint &Target,
                             const EngineWorkReport &Before,
                             const EngineWorkReport &Report, TimePoint Now) {
  Engine &E = Engines[Report.Engine];
  if (E.StartedAtMs != Report.StartedAtMs) {
    E = {};
    E.StartedAtMs = Report.StartedAtMs;
  }
  decay(E, Now);
  E.Samples +=
      static_cast<double>(std::min(Report.Samples - Before.Samples, MaxGrowth));
  for (std::size_t I = 0; I < EngineWorkKinds; ++I) {
    const EngineWorkTotals Growth{Report.Work[I].Tokens - Before.Work[I].Tokens,
                                  Report.Work[I].Micros -
                                      Before.Work[I].Micros};
    if (Growth.Tokens > 0 && Growth.Micros > 0 && Growth.Tokens <= MaxGrowth &&
        Growth.Micros <= MaxGrowth)
      addWork(E, Target, static_cast<EngineWorkKind>(I), Growth, Now);
  }
}

void EngineSpeeds::addWork(Engine &E, const Endpoint &Target,
                           EngineWorkKind Kind, const EngineWorkTotals &Work,
                           TimePoint Now) {
  constexpr double MicrosPerSecond = 1e6;
  Service &S = Services[Target.Record.Service];
  const auto Tokens = static_cast<double>(Work.Tokens);
  const double Measured = static_cast<double>(Work.Micros) / MicrosPerSecond;
  // Placement gives fast engines more runs. Without the factor, the fit would
  // not show how runs slow an engine down.
  const double AtUsualSpeed = Measured * Target.SpeedFactor;
  double Expected = 0;
  if (Kind == EngineWorkKind::Prefill) {
    const double Kept = std::exp(-std::max(0.0, seconds(Now - S.PrefillAt)) /
                                 PrefillReferenceSeconds);
    S.PrefillAt = std::max(S.PrefillAt, Now);
    S.PrefillSeconds = S.PrefillSeconds * Kept + AtUsualSpeed;
    S.PrefillTokens = S.PrefillTokens * Kept + Tokens;
    Expected = Tokens * S.PrefillSeconds / S.PrefillTokens;
  } else {
    const double Runs = std::max(1, Target.totalLoad().Runs);
    S.Decode.add(Tokens, AtUsualSpeed * MicrosPerSecond / Tokens, Runs, Now);
    Expected = Tokens * S.Decode.expected(Runs) / MicrosPerSecond;
  }
  Recent &R = E.Work[static_cast<std::size_t>(Kind)];
  R.Expected += Expected;
  R.Measured += Measured;
}

std::vector<EngineSpeedChange> EngineSpeeds::update(TimePoint Now) {
  forgetStale(Now);
  std::map<std::string_view, std::vector<Known>> KnownEngines;
  Table.forEach([&](Endpoint &E) {
    if (E.Record.Stage == EngineStage::None)
      return;
    E.SpeedFactor = 1;
    const auto It = Engines.find(E.Record.Id);
    if (It == Engines.end())
      return;
    decay(It->second, Now);
    if (It->second.Samples >= MinSamples)
      KnownEngines[E.Record.Service].push_back({&E, &It->second, 1});
  });
  for (auto &[Name, S] : Services)
    updateService(S, KnownEngines[Name], Now);
  std::vector<EngineSpeedChange> Out;
  for (auto &[Id, E] : Engines) {
    const Endpoint &Target = *Table.find(Id);
    const SpeedClass Class = speedClass(Target.SpeedFactor, E.Class);
    if (Class == E.Class)
      continue;
    E.Class = Class;
    Out.push_back({Id, Target.Record.Service,
                   std::exchange(E.ClassFactor, Target.SpeedFactor),
                   Target.SpeedFactor, E.Samples});
  }
  return Out;
}

void EngineSpeeds::updateService(Service &S, std::vector<Known> &Engines,
                                 TimePoint Now) {
  setFactors(Engines);
  updateUneven(S, Engines, Now);
  if (S.Uneven)
    for (const Known &K : Engines)
      K.Target->SpeedFactor = K.Factor;
}

double EngineSpeeds::Recent::speed() const {
  return (Expected + PriorSeconds) / (Measured + PriorSeconds);
}

void EngineSpeeds::setFactors(std::vector<Known> &Engines) {
  std::array<double, EngineWorkKinds> Medians{};
  for (std::size_t I = 0; I < EngineWorkKinds; ++I) {
    std::vector<double> Speeds;
    for (const Known &K : Engines)
      if (K.State->Work[I].Measured > 0)
        Speeds.push_back(K.State->Work[I].speed());
    if (!Speeds.empty())
      Medians[I] = median(std::move(Speeds));
  }
  for (Known &K : Engines) {
    // An engine that changed its stage has both kinds, weighted by their time.
    double Sum = 0;
    double Weight = 0;
    for (std::size_t I = 0; I < EngineWorkKinds; ++I) {
      const Recent &R = K.State->Work[I];
      if (R.Measured <= 0)
        continue;
      Sum += R.Measured * R.speed() / Medians[I];
      Weight += R.Measured;
    }
    if (Weight > 0)
      K.Factor = std::clamp(Sum / Weight, 1 / MaxSpeedFactor, MaxSpeedFactor);
  }
}

void EngineSpeeds::updateUneven(Service &S, const std::vector<Known> &Engines,
                                TimePoint Now) {
  double CertainLargest = 0;
  double CertainSmallest = 2 * MaxSpeedFactor;
  double Largest = 1;
  double Smallest = 1;
  for (const Known &K : Engines) {
    const double Error = SamplingError / std::sqrt(K.State->Samples);
    CertainLargest = std::max(CertainLargest, K.Factor * (1 - Error));
    CertainSmallest = std::min(CertainSmallest, K.Factor * (1 + Error));
    Largest = std::max(Largest, K.Factor);
    Smallest = std::min(Smallest, K.Factor);
  }
  if (CertainLargest >= UnevenRatio * CertainSmallest)
    S.Uneven = true;
  if (!S.Uneven || Largest >= EvenRatio * Smallest) {
    S.EvenSince = Now;
    return;
  }
  if (Now - S.EvenSince >= EvenTime)
    S.Uneven = false;
}

void EngineSpeeds::forgetStale(TimePoint Now) {
  std::erase_if(Engines, [&](const auto &Item) {
    const Endpoint *E = Table.find(Item.first);
    return !E || E->Record.StartedAtMs != Item.second.StartedAtMs;
  });
  if (Now - SourcesCheckedAt < SourceCheckInterval)
    return;
  SourcesCheckedAt = Now;
  for (auto &[Id, ByEntry] : Sources)
    std::erase_if(ByEntry, [&](const auto &Item) {
      return Now - Item.second.HeardAt > SourceRetention;
    });
  std::erase_if(Sources, [](const auto &Item) { return Item.second.empty(); });
}

bool EngineSpeeds::isUneven(std::string_view Name) const {
  const auto It = Services.find(Name);
  return It != Services.end() && It->second.Uneven;
}

void EngineSpeeds::clear() {
  Engines.clear();
  Services.clear();
  Sources.clear();
  Table.forEach([](Endpoint &E) { E.SpeedFactor = 1; });
}

} // namespace hyssoprail::routing
