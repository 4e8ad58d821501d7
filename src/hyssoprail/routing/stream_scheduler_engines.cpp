// The part of StreamScheduler that chooses decode and prefill engines.
#include <algorithm>
#include <limits>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/routing/stream_scheduler.hpp"

namespace hyssoprail::routing {
namespace {

/// A generation whose engine failed after the prompt was prefilled may use this
/// multiple of the usual memory bound: a second prefill would cost more than
/// the small risk of preemption.
constexpr double ReplacementMemoryFactor = 1.15;

/// Memory of an engine whose service is not in the configuration (any more).
/// The sum over all engines of a fleet stays within 64 bits.
constexpr std::int64_t MaxEngineTokens = std::int64_t{1} << 40;

/// Extra cost of a decode engine in another zone, as a share of its memory.
constexpr double CrossZoneCost = 0.12;

/// Extra cost of a decode engine that always fails, as a share of its memory.
constexpr double FailureCost = 1.0;

/// Extra cost of an engine that another entry could not reach: for decode as a
/// share of memory, for prefill in prompt tokens.
constexpr double SuspectCost = 2;
constexpr std::int64_t SuspectPrefillTokens = 20'000;

/// Extra cost in prompt tokens of a prefill engine in another zone than the
/// decode engine: between zones the transfer of a KV cache takes twice as long.
constexpr std::int64_t CrossZonePrefillTokens = 2'500;

/// Extra cost in prompt tokens of a prefill engine that always fails.
constexpr double FailurePrefillTokens = 10'000;

/// Maximum random cost, which applies if nothing is known of the fleet's load:
/// for decode as a share of memory, for prefill in prompt tokens.
constexpr double MaxDecodeJitter = 0.5;
constexpr double MaxPrefillJitterTokens = 6'000;

/// Time of a token at an empty engine that does not depend on its runs, as a
/// share of what its runs add once its memory is full. Higher values fill fast
/// engines before slow ones get any work.
constexpr double EmptyEngineTime = 0.5;

/// Additional cost of an engine of another speed than usual, if its cost at the
/// usual speed is \p Cost: 0 at a factor of exactly 1.
double speedCost(const Endpoint &E, double Cost) {
  return Cost * (1 / E.SpeedFactor - 1);
}

bool isExcluded(const StreamRequest &Request, const Endpoint &E) {
  return std::find(Request.ExcludedEndpoints.begin(),
                   Request.ExcludedEndpoints.end(),
                   E.Record.Id) != Request.ExcludedEndpoints.end();
}

} // namespace

bool StreamScheduler::hasVersion(const Endpoint &E,
                                 std::string_view Version) const {
  if (!Version.empty())
    return E.Record.Version == Version;
  return !IsUnproven || !IsUnproven(E.Record.Service, E.Record.Version);
}

StreamScheduler::Pool StreamScheduler::makePool(std::string_view Service,
                                                std::string_view Version,
                                                TimePoint Now) {
  Pool P;
  P.Bound = memoryBound(Service);
  for (Endpoint *E : Table.usable(Service, Now, Sender::AnyEntry))
    if (hasVersion(*E, Version))
      (E->Record.Stage == EngineStage::Prefill ? P.Prefill : P.Decode)
          .push_back(E);
  for (Endpoint *E : Table.grantable(Service, Now, Sender::AnyEntry))
    if (E->Record.Stage != EngineStage::Prefill && !E->Limit.allows(Now) &&
        hasVersion(*E, Version))
      P.LimitedPerSecond += E->Limit.grantRate();
  updateFreeMemory(P);
  return P;
}

void StreamScheduler::updateFreeMemory(Pool &P) {
  P.LargestFree = 0;
  P.Free = 0;
  P.DecodeSpeed = 0;
  for (const Endpoint *E : P.Decode) {
    P.DecodeSpeed += E->SpeedFactor;
    const EndpointLoad Load = E->totalLoad();
    if (Load.Runs >= static_cast<std::int32_t>(E->Record.Slots))
      continue;
    const std::int64_t Free = std::max<std::int64_t>(0, P.Bound - Load.Tokens);
    P.Free += Free;
    P.LargestFree = std::max(P.LargestFree, Free);
  }
}

StreamScheduler::Room StreamScheduler::emptiestDecodeEngine(
    std::string_view Service, const EngineFilter &MayUse, TimePoint Now) {
  Room Out;
  if (!Config)
    return Out;
  const Pool P = makePool(Service, "", Now);
  for (const Endpoint *E : P.Decode) {
    const EndpointLoad Load = E->totalLoad();
    const std::int64_t Free = P.Bound - Load.Tokens;
    if (Load.Runs >= static_cast<std::int32_t>(E->Record.Slots) ||
        Free <= Out.Free || !MayUse(E->Record.Id))
      continue;
    Out = {E->Record.Id, Free};
  }
  return Out;
}

bool StreamScheduler::hasRoom(std::string_view Service, std::int64_t Tokens,
                              const EngineFilter &MayUse, TimePoint Now) {
  return emptiestDecodeEngine(Service, MayUse, Now).Free >= Tokens;
}

std::int64_t StreamScheduler::memoryBound(std::string_view Service) const {
  const ServicePolicy *Policy = Config->service(Service);
  if (!Policy || !Policy->Engine)
    return MaxEngineTokens;
  return static_cast<std::int64_t>(Policy->Engine->KvTokens *
                                   Options.MemoryFactor);
}

/// Pseudo-random number in [0, 1 - KnownLoadShare) that differs between
/// requests and engines.
double StreamScheduler::placementJitter(const StreamRequest &Request,
                                        const Endpoint &E) const {
  if (KnownLoadShare >= 1)
    return 0;
  constexpr double Range = 18'446'744'073'709'551'616.0; // 2^64
  const double Fraction =
      static_cast<double>(rendezvousWeight(Request.Id, E.Record.Id)) / Range;
  return (1 - KnownLoadShare) * Fraction;
}

Endpoint *StreamScheduler::chooseDecode(
    const StreamRequest &Request, const Pool &Engines, TimePoint Now,
    const std::vector<const Endpoint *> &Except) const {
  const std::int64_t Bound =
      Request.HasKvCache
          ? static_cast<std::int64_t>(static_cast<double>(Engines.Bound) *
                                      ReplacementMemoryFactor)
          : Engines.Bound;
  const std::int64_t Tokens = requiredKvTokens(Request);
  if (Tokens > Engines.LargestFree + (Bound - Engines.Bound))
    return nullptr;
  Endpoint *Best = nullptr;
  double BestCost = std::numeric_limits<double>::max();
  for (Endpoint *E : Engines.Decode) {
    const EndpointLoad Load = E->totalLoad();
    if (std::find(Except.begin(), Except.end(), E) != Except.end() ||
        Load.Tokens + Tokens > Bound ||
        Load.Runs >= static_cast<std::int32_t>(E->Record.Slots) ||
        isExcluded(Request, *E) || !Table.mayStart(*E, Now, Sender::AnyEntry))
      continue;
    double Cost =
        static_cast<double>(Load.Tokens) / static_cast<double>(Engines.Bound);
    Cost += speedCost(*E, Cost + EmptyEngineTime);
    if (E->Record.Zone != Request.Zone)
      Cost += CrossZoneCost;
    Cost += FailureCost * E->Health.failureShare();
    Cost += MaxDecodeJitter * placementJitter(Request, *E);
    if (E->isSuspect(Now))
      Cost += SuspectCost;
    if (Cost >= BestCost)
      continue;
    Best = E;
    BestCost = Cost;
  }
  return Best;
}

Endpoint *StreamScheduler::choosePrefill(const StreamRequest &Request,
                                         const Pool &Engines,
                                         std::string_view Zone,
                                         TimePoint Now) const {
  Endpoint *Best = nullptr;
  double BestCost = std::numeric_limits<double>::max();
  for (Endpoint *E : Engines.Prefill) {
    const std::int64_t Backlog = E->totalLoad().PrefillTokens;
    if (static_cast<double>(Backlog) >
            static_cast<double>(Options.PrefillBacklog) * E->SpeedFactor ||
        isExcluded(Request, *E) || Now < E->CacheLossUntil ||
        !Table.mayStart(*E, Now, Sender::AnyEntry))
      continue;
    const std::int64_t TokenCost =
        Backlog + (E->Record.Zone == Zone ? 0 : CrossZonePrefillTokens) +
        (E->isSuspect(Now) ? SuspectPrefillTokens : 0);
    const double Cost =
        static_cast<double>(TokenCost) +
        speedCost(*E, static_cast<double>(Backlog) + Request.PromptTokens) +
        FailurePrefillTokens * E->Health.failureShare() +
        MaxPrefillJitterTokens * placementJitter(Request, *E);
    if (Cost >= BestCost)
      continue;
    Best = E;
    BestCost = Cost;
  }
  return Best;
}

} // namespace hyssoprail::routing
