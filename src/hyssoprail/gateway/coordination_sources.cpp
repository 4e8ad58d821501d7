// The part of Coordination that decides which entries read the store and from
// which entries the others fetch its changes.
#include <algorithm>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/gateway/coordination.hpp"

namespace hyssoprail::gateway {
namespace {

/// The coordinator and this many of its deputies read the store. The other
/// entries fetch the changes from them.
constexpr std::size_t StoreReaderDeputies = 1;

/// An entry whose fleet data is too old reads the store itself. The age at
/// which it does so is spread over this range by a hash of its name, so that
/// the first ones can supply the others before those read the store, too.
constexpr milliseconds MinFallbackAge{1'400};
constexpr milliseconds MaxFallbackAge{1'800};

/// It stops reading the store when its data has been fresh for this time.
constexpr milliseconds FallbackHoldTime{1'500};

/// The coordinator names another entry as the source only if the store answered
/// that entry more recently by at least this much.
constexpr milliseconds SourceHysteresis{400};

/// Larger ages are reported as this one.
constexpr milliseconds MaxReportedAge{60'000};

/// Reports that a coordinator still counts are not older than this.
constexpr milliseconds MaxReportAge{700};

std::uint32_t reportedAge(Duration Age) {
  return static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(
                                        std::min<Duration>(Age, MaxReportedAge))
                                        .count());
}

FeedPosition positionOf(const wire::FleetSource &Source) {
  return {Source.operator_position(), Source.endpoint_position(), Source.era(),
          Source.config_version()};
}

} // namespace

wire::FleetSource Coordination::ownSource() const {
  const FeedPosition Known = State.Feed.newestChange();
  wire::FleetSource S;
  S.set_address(Settings.MetricsAddress);
  S.set_age_ms(reportedAge(State.Feed.storeAge()));
  S.set_operator_position(Known.Operator);
  S.set_endpoint_position(Known.Endpoints);
  S.set_era(Known.Era);
  S.set_config_version(Known.ConfigVersion);
  S.set_endpoints_from(State.Feed.endpointDeltaStart());
  S.set_endpoints_read(State.Feed.endpointsRead());
  S.set_settling_ms(reportedAge(std::max<Duration>(
      Duration::zero(), State.Feed.removalGraceEnd() - Time.now())));
  return S;
}

FeedPosition Coordination::sourcePosition() const { return positionOf(Source); }

/// The coordinator names itself as the source unless the store has answered
/// another entry considerably later, or another one has a newer configuration
/// in force: then the store was restored while this entry started.
void Coordination::chooseSource(TimePoint Now) {
  Source = ownSource();
  const auto Newest = Server.newestConfigSource(Now);
  const auto Freshest = Server.freshestSource(Now);
  if (Newest && Freshest && hasAllOf(*Newest) && hasAllOf(*Freshest))
    State.Feed.noteInStep(Now - MaxReportAge);
  else if (!Newest && knownEntries() == 1)
    State.Feed.noteInStep(Now);
  if (Newest && Newest->config_version() > Source.config_version()) {
    Source = *Newest;
    return;
  }
  if (!Freshest || milliseconds(Freshest->age_ms()) + SourceHysteresis >=
                       milliseconds(Source.age_ms()))
    return;
  Source = *Freshest;
  applySource(Now - MaxReportAge, Now);
}

/// True if this entry knows of the store what \p Other knew.
bool Coordination::hasAllOf(const wire::FleetSource &Other) const {
  return State.Feed.syncedPosition().covers(positionOf(Other));
}

/// What \p KnownAt says of the source was true then or later.
void Coordination::applySource(TimePoint KnownAt, TimePoint Now) {
  State.Feed.applyPeerStatus({
      .NewestChange = sourcePosition(),
      .EndpointsRead = Source.endpoints_read(),
      .StoreAnsweredAt = Now - milliseconds(Source.age_ms()),
      .KnownAt = KnownAt,
      .RemovalGraceEnd = Now + milliseconds(Source.settling_ms()),
  });
}

FleetSources Coordination::changeSources() const {
  // An entry that reads the store itself gets the changes from there soon.
  const bool ReadsItself =
      ReadsStore && State.Feed.storeAge() < milliseconds(MinFallbackAge);
  const bool HasNewestConfig =
      State.Feed.newestChange().ConfigVersion >= Source.config_version();
  if ((ReadsItself && HasNewestConfig) ||
      State.Feed.syncedPosition().covers(sourcePosition()) ||
      Source.address() == Settings.MetricsAddress)
    return {};
  return {Source.address(), Source.nearby()};
}

/// True if the source would have to send the full list of endpoints, as it
/// does not have all changes since the position of this entry. If all entries
/// start at once, most of them have read the store up to a position a little
/// before that of the coordinator, which would then send the list to each of
/// them.
bool Coordination::needsFullEndpointList() const {
  const FeedPosition Known = State.Feed.syncedPosition();
  return Known.Era == Source.era() && Known.Endpoints < Source.endpoints_from();
}

/// Limits the number of entries that read the store: with hundreds of entries,
/// each would make some calls a second, and all of them would call at once when
/// the store comes back after an outage.
bool Coordination::shouldReadStore(TimePoint Now) {
  const auto Deputy =
      std::find(Deputies.begin(), Deputies.end(), Settings.Name);
  const bool IsReader = Election.isCoordinator() ||
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
