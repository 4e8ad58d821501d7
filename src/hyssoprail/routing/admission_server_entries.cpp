// The part of AdmissionServer that counts entries and chooses among them.
#include <algorithm>
#include <tuple>
#include <utility>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/routing/admission_server.hpp"
#include "hyssoprail/routing/message_time.hpp"

namespace hyssoprail::routing {
namespace {

/// An entry that has not reported for this time is partitioned from the
/// coordinator, paused or dead.
constexpr milliseconds SilenceTimeout{700};

/// Zones with fewer followers fetch fleet changes from the fleet-wide source.
constexpr std::size_t MinFollowersForNearbySource = 8;

} // namespace

std::map<std::string, std::string> AdmissionServer::addresses() const {
  std::map<std::string, std::string> Out;
  for (const auto &[Name, E] : Entries)
    if (Name != OwnName)
      Out.emplace(Name, E.Address);
  return Out;
}

std::size_t AdmissionServer::liveEntryCount(TimePoint Now) const {
  std::size_t Count = hasOwnEntry() ? 0 : 1;
  for (const auto &[Name, E] : Entries)
    Count += Name == OwnName || Now - E.LastReportAt < SilenceTimeout ? 1 : 0;
  return Count;
}

/// Among entries on VMs of one size, zones with fewer deputies come first, so
/// that the loss of a zone leaves some deputies.
std::vector<std::string> AdmissionServer::deputies(std::size_t Count,
                                                   TimePoint Now) const {
  std::vector<const std::pair<const std::string, Entry> *> Candidates;
  std::map<std::string, std::size_t> Chosen; ///< by zone
  for (const auto &Item : Entries) {
    const Entry &E = Item.second;
    if (Item.first == OwnName)
      ++Chosen[E.Zone];
    else if (!E.Leaving && Now - E.LastReportAt < SilenceTimeout)
      Candidates.push_back(&Item);
  }
  std::vector<std::string> Out;
  while (Out.size() < Count && !Candidates.empty()) {
    const auto Rank = [&](const auto *C) {
      return std::tuple(-C->second.Weight, Chosen[C->second.Zone],
                        stableHash(C->first), C->first);
    };
    const auto Best = std::min_element(
        Candidates.begin(), Candidates.end(),
        [&](const auto *A, const auto *B) { return Rank(A) < Rank(B); });
    ++Chosen[(*Best)->second.Zone];
    Out.push_back((*Best)->first);
    Candidates.erase(Best);
  }
  return Out;
}

/// True if other entries may fetch fleet changes from the entry.
bool AdmissionServer::isSource(const std::string &Name, const Entry &E,
                               TimePoint Now) const {
  return Name != OwnName && !E.Leaving &&
         Now - E.LastReportAt < SilenceTimeout && !E.State.address().empty();
}

std::optional<wire::FleetSource>
AdmissionServer::newestConfigSource(TimePoint Now) const {
  const Entry *Best = nullptr;
  for (const auto &[Name, E] : Entries)
    if (isSource(Name, E, Now) &&
        (!Best || E.State.config_version() > Best->State.config_version()))
      Best = &E;
  return Best ? std::optional(Best->State) : std::nullopt;
}

std::optional<wire::FleetSource>
AdmissionServer::freshestSource(TimePoint Now) const {
  std::optional<wire::FleetSource> Best;
  for (const auto &[Name, E] : Entries) {
    if (!isSource(Name, E, Now))
      continue;
    wire::FleetSource Source = E.State;
    Source.set_age_ms(Source.age_ms() +
                      nonNegativeMillis(Now - E.LastReportAt));
    if (!Best || Source.age_ms() < Best->age_ms())
      Best = std::move(Source);
  }
  return Best;
}

/// Load pattern: a zone with hundreds of endpoints is lost and comes back.
/// Without sources in the zones, one entry would send the changes to hundreds
/// of others, mostly across zones; the coordinator's updates would queue behind
/// them until its followers consider it silent.
void AdmissionServer::chooseNearbySources(TimePoint Now) {
  NearbySources.clear();
  std::map<std::string, std::size_t> Followers;
  for (const auto &[Name, E] : Entries) {
    if (!isSource(Name, E, Now))
      continue;
    ++Followers[E.Zone];
    std::string &Chosen = NearbySources[E.Zone];
    if (Chosen.empty() || E.Weight > Entries.at(Chosen).Weight)
      Chosen = Name;
  }
  std::erase_if(NearbySources, [&](const auto &Item) {
    return Followers.at(Item.first) < MinFollowersForNearbySource;
  });
}

std::string AdmissionServer::nearbySource(const std::string &Entry) const {
  const auto It = Entries.find(Entry);
  if (It == Entries.end())
    return "";
  const auto Chosen = NearbySources.find(It->second.Zone);
  if (Chosen == NearbySources.end() || Chosen->second == Entry)
    return "";
  const auto Source = Entries.find(Chosen->second);
  return Source == Entries.end() ? "" : Source->second.State.address();
}

} // namespace hyssoprail::routing
