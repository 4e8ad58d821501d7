// The part of Coordination that tells how many entries share the bounds of the
// fleet, and which share of them this entry has.
#include <algorithm>

#include "hyssoprail/gateway/coordination.hpp"

namespace hyssoprail::gateway {
namespace {

/// An entry that fell silent before this one became the coordinator may still
/// be running without receiving its updates. For this time the new coordinator
/// assumes at least as many entries as were known when it claimed.
constexpr milliseconds KnownAtClaimPeriod{14'000};

/// A coordinator that has missed entries for this time announces its group in
/// the store, and repeats it, so that other groups do not take it for dead. An
/// announcement is valid as long as a silent entry is remembered.
constexpr milliseconds GroupAnnounceDelay{5'000};
constexpr milliseconds GroupAnnounceInterval{4'000};
constexpr milliseconds GroupAnnounceLifetime{14'000};

/// Without an answer of the store for this time, other groups cannot be known.
constexpr milliseconds StoreSilence{2'000};

/// A group without the store that misses entries gives up its share of limits
/// before the others take it for dead.
constexpr milliseconds ShareWithoutStore{10'000};

} // namespace

/// Silent entries are forgotten after some time, as most of them have ended. If
/// they are only parted from this group, their coordinator announces them in
/// the store. Without the store nobody is forgotten.
std::size_t Coordination::knownEntries() const {
  if (!Election.isCoordinator())
    return Election.currentClaim() ? Election.currentClaim()->Known
                                   : Entries.size() + 1;
  const TimePoint Now = Time.now();
  return std::max({Server.knownEntryCount(), KnownAtClaim,
                   Server.liveEntryCount(Now) + partedEntries(Now)});
}

void Coordination::forgetSilentEntries(TimePoint Now) {
  if (!storeAnswers())
    return;
  Server.forgetSilentEntries(Now);
  forgetCrashPeers();
  if (Now - CoordinatorSince >= KnownAtClaimPeriod)
    KnownAtClaim = 1;
}

bool Coordination::storeAnswers() const {
  return State.Feed.storeAge() < StoreSilence;
}

/// Entries of other groups whose coordinators have announced them lately.
std::size_t Coordination::partedEntries(TimePoint Now) const {
  const auto Reporting = Server.addresses();
  std::size_t Count = 0;
  for (const auto &[Name, E] : Entries)
    if (Now - E.GroupAnnouncedAt < GroupAnnounceLifetime &&
        !Reporting.contains(Name))
      Count += E.GroupSize;
  return Count;
}

void Coordination::announceGroup(TimePoint Now) {
  const std::size_t Live = Server.liveEntryCount(Now);
  if (Live >= knownEntries())
    CompleteAt = Now;
  if (Now - CompleteAt < GroupAnnounceDelay ||
      Now - GroupAnnouncedAt < GroupAnnounceInterval)
    return;
  GroupAnnouncedAt = Now;
  State.Feed.announceGroup(Live);
}

double Coordination::limitShare() const {
  if (!Election.isCoordinator())
    return 0;
  const double Share = reportingShare();
  const bool MayBeTakenForDead =
      Share < 1 && State.Feed.storeAge() > ShareWithoutStore;
  return MayBeTakenForDead ? 0 : Share;
}

double Coordination::reportingShare() const {
  const TimePoint Now = Time.now();
  const auto Known =
      static_cast<double>(std::max<std::size_t>(1, knownEntries()));
  if (Election.isCoordinator())
    return static_cast<double>(Server.liveEntryCount(Now)) / Known;
  if (!Election.hasCoordinator(Now))
    return 1 / Known;
  return std::min(1.0, static_cast<double>(Election.currentClaim()->Followers) /
                           Known);
}

} // namespace hyssoprail::gateway
