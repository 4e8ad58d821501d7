// The part of Coordination that decides which entries read the store, and whom
// the others ask for changes.
#include <algorithm>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/gateway/coordination.hpp"

namespace hyssoprail::gateway {
namespace {

/// The coordinator and this many of its deputies read the store. The others get
/// the changes from them.
constexpr std::size_t StoreReaderDeputies = 1;

/// An entry whose knowledge is older reads the store itself: at the first of
/// these ages if it is the first to do so, at the second if it is the last, so
/// that the others may follow it.
constexpr milliseconds MinFallbackAge{1'400};
constexpr milliseconds MaxFallbackAge{1'800};

/// It stops when its knowledge has been fresh for this time.
constexpr milliseconds FallbackHoldTime{1'500};

/// Another entry is asked only if the store answered it this much later.
constexpr milliseconds SourceHysteresis{400};

/// Ages are reported up to this.
constexpr milliseconds MaxReportedAge{60'000};

std::uint32_t reportedAge(Duration Age) {
  return static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(
                                        std::min<Duration>(Age, MaxReportedAge))
                                        .count());
}

} // namespace

wire::FleetSource Coordination::ownSource() const {
  const FeedPosition Known = State.Feed.newestChange();
  wire::FleetSource S;
  S.set_address(Settings.MetricsAddress);
  S.set_age_ms(reportedAge(State.Feed.storeAge()));
  S.set_operator_position(Known.Operator);
  S.set_endpoint_position(Known.Endpoints);
  S.set_endpoints_from(State.Feed.endpointDeltaStart());
  S.set_endpoints_read(State.Feed.endpointsRead());
  S.set_settling_ms(reportedAge(std::max<Duration>(
      Duration::zero(), State.Feed.settledAt() - Time.now())));
  return S;
}

/// The coordinator names itself unless the store does not answer it any more.
void Coordination::chooseSource(TimePoint Now) {
  Source = ownSource();
  const auto Other = Server.freshestSource(Now);
  if (!Other || milliseconds(Other->age_ms()) + SourceHysteresis >=
                    milliseconds(Source.age_ms()))
    return;
  Source = *Other;
  applySource(Now);
}

void Coordination::applySource(TimePoint Now) {
  State.Feed.applyPeerStatus({
      .NewestChange = {Source.operator_position(), Source.endpoint_position()},
      .EndpointsRead = Source.endpoints_read(),
      .StoreAnsweredAt = Now - milliseconds(Source.age_ms()),
      .SettledAt = Now + milliseconds(Source.settling_ms()),
  });
}

FleetSources Coordination::changeSources() const {
  const FeedPosition Newest{Source.operator_position(),
                            Source.endpoint_position()};
  // An entry that reads the store itself soon gets there.
  const bool ReadsItself =
      ReadsStore && State.Feed.storeAge() < milliseconds(MinFallbackAge);
  if (ReadsItself || State.Feed.syncedPosition().covers(Newest) ||
      Source.address() == Settings.MetricsAddress)
    return {};
  return {Source.address(), Source.nearby()};
}

/// Load pattern: all entries start at once and have read the store up to
/// positions a little before that of the coordinator, which would then have to
/// send each of them the whole list.
bool Coordination::needsFullEndpointList() const {
  return State.Feed.syncedPosition().Endpoints < Source.endpoints_from();
}

/// Load pattern: hundreds of entries, of which each would cost the store some
/// calls a second; and a store that comes back after an outage, when all of
/// them ask at once.
bool Coordination::shouldReadStore(TimePoint Now) {
  const auto Deputy =
      std::find(Deputies.begin(), Deputies.end(), Settings.Name);
  const bool IsReader = Election.coordinates() ||
                        static_cast<std::size_t>(Deputy - Deputies.begin()) <
                            std::min(StoreReaderDeputies, Deputies.size());
  const std::uint64_t Steps = 16;
  const Duration FallbackAge =
      MinFallbackAge + (MaxFallbackAge - MinFallbackAge) *
                           (stableHash(Settings.Name) % Steps) / Steps;
  const Duration Age = State.Feed.dataAge();
  if (Age > MinFallbackAge && EverFresh)
    LastStaleAt = Now;
  EverFresh = EverFresh || Age <= MinFallbackAge;
  ReadsAsFallback = Age > FallbackAge ||
                    (ReadsAsFallback && Now - LastStaleAt < FallbackHoldTime);
  return IsReader || ReadsAsFallback || needsFullEndpointList();
}

} // namespace hyssoprail::gateway
