// The part of Coordination that merges what the entries know of crashes of
// engines, and publishes it for coordinators that this one cannot reach.
#include <set>
#include <utility>

#include "hyssoprail/gateway/coordination.hpp"

namespace hyssoprail::gateway {
namespace {

/// Shortest time between two writes to the store.
constexpr milliseconds PublishInterval{500};

} // namespace

/// Merges what a report or an update tells of crashes.
template <typename Message>
void Coordination::takeCrashes(const Message &From, TimePoint Now) {
  State.Crashes.notePeer(From.sender(), From.incarnation());
  State.Crashes.applyNews(From.sender(), From, Now);
}

template void Coordination::takeCrashes(const wire::EntryReport &, TimePoint);
template void Coordination::takeCrashes(const wire::CoordinatorUpdate &,
                                        TimePoint);

/// Forgets how far the exchange is with entries that are not heard any more.
void Coordination::forgetCrashPeers() {
  if (State.Crashes.peerCount() <=
      (Election.isCoordinator() ? Server.knownEntryCount() : 1))
    return;
  std::set<std::string> Exchanging;
  if (Election.isCoordinator())
    for (const auto &[Name, Address] : Server.addresses())
      Exchanging.insert(Name);
  else if (Election.currentClaim())
    Exchanging.insert(Election.currentClaim()->Name);
  State.Crashes.keepPeers(Exchanging);
}

/// Coordinators on both sides of a network partition see only a part of the
/// crashes each, so they also exchange them through the store. It keeps them
/// for a fleet whose processes have all ended, too.
void Coordination::publishCrashes(TimePoint Now) {
  const std::uint64_t Revision = State.Crashes.revision();
  if (PublishingCrashes || Revision == CrashesPublished ||
      Now - CrashesPublishedAt < PublishInterval ||
      !State.Crashes.worthPublishing(Now))
    return;
  CrashesPublishedAt = Now;
  PublishingCrashes = true;
  State.Feed.publishCrashRecord(State.Crashes.encode(Now, Time.unixMicros()),
                                [this, Revision](bool Ok) {
                                  PublishingCrashes = false;
                                  if (Ok)
                                    CrashesPublished = Revision;
                                });
}

} // namespace hyssoprail::gateway
