#include "hyssoprail/routing/stream_versions.hpp"

#include <utility>

namespace hyssoprail::routing {
namespace {

/// Streams of its own that an entry remembers at most; beyond that it forgets
/// the oldest.
constexpr std::size_t MaxOwnStreams = 20'000;

/// An entry that may be further behind does not know whether its state still
/// holds. Streams are remembered for 10 s longer than they can be resumed; an
/// entry that takes one version for the only one may miss another for 1 s.
constexpr milliseconds MaxStateLag{9'000};

} // namespace

std::set<std::string>
StreamVersions::versionsOf(std::string_view Service) const {
  std::set<std::string> Out;
  Table.forEach([&](const Endpoint &E) {
    if (E.Record.Service == Service)
      Out.insert(E.Record.Version);
  });
  return Out;
}

// ---- States and versions of services ----------------------------------------

void StreamVersions::setState(const std::string &Service,
                              std::optional<VersionState> State) {
  if (State)
    States[Service] = std::move(*State);
  else
    States.erase(Service);
}

const VersionState *StreamVersions::state(std::string_view Service) const {
  const auto It = States.find(Service);
  return It == States.end() ? nullptr : &It->second;
}

std::optional<std::string>
StreamVersions::base(std::string_view Service) const {
  const VersionState *State = state(Service);
  return State ? State->Base : std::nullopt;
}

bool StreamVersions::seesSeveral(std::string_view Service) const {
  if (versionsOf(Service).size() > 1)
    return true;
  const auto Watch = Watches.find(Service);
  return Watch != Watches.end() &&
         Watch->second.severalSince(ObservedAt - Lifetime);
}

RecordNeed StreamVersions::need(std::string_view Service,
                                std::string_view Version) const {
  const VersionState *State = state(Service);
  const bool IsBehind = Lag && Lag() > MaxStateLag;
  if (!State || IsBehind)
    return RecordNeed::Required;
  if (!State->Base)
    return RecordNeed::Wanted;
  if (Version != *State->Base)
    return RecordNeed::Required;
  return seesSeveral(Service) ? RecordNeed::Wanted : RecordNeed::None;
}

bool StreamVersions::recordsAll(std::string_view Service) const {
  const auto Base = base(Service);
  return !Base || need(Service, *Base) != RecordNeed::None;
}

void StreamVersions::observe(const std::string &Service, TimePoint Now) {
  ObservedAt = Now;
  Watches[Service].observe(versionsOf(Service), Lag ? Lag() : Duration{}, Now);
}

void StreamVersions::noteVersion(const std::string &Service,
                                 const std::string &Version, TimePoint Now) {
  const auto Watch = Watches.find(Service);
  if (Watch != Watches.end())
    Watch->second.note(Version, Now);
}

std::optional<std::string>
StreamVersions::onlyVersionSince(std::string_view Service,
                                 TimePoint Time) const {
  const auto Watch = Watches.find(Service);
  return Watch == Watches.end() ? std::nullopt : Watch->second.onlySince(Time);
}

std::optional<std::string>
StreamVersions::onlyVersion(std::string_view Service) const {
  return Writable ? std::nullopt : base(Service);
}

// ---- Streams ----------------------------------------------------------------

void StreamVersions::noteOwn(const std::string &Id, const std::string &Service,
                             const std::string &Version, TimePoint Now) {
  const auto [It, IsNew] = Own.try_emplace(Id);
  OwnStream &S = It->second;
  if (!IsNew)
    OwnByTime.erase({S.NotedAt, Id});
  S.Recorded = !IsNew && S.Recorded && S.Version == Version;
  S.Version = Version;
  S.NotedAt = Now;
  if (!Service.empty())
    S.Service = Service;
  OwnByTime.emplace(Now, Id);
  while (Own.size() > MaxOwnStreams)
    forgetOldestOwn();
}

void StreamVersions::noteWritten(const std::string &Id,
                                 const std::string &Version, TimePoint Now) {
  const auto Known = Own.find(Id);
  if (Known == Own.end() || Known->second.Version != Version)
    noteOwn(Id, "", Version, Now);
  if (const auto It = Own.find(Id); It != Own.end())
    It->second.Recorded = true;
}

void StreamVersions::forgetOldestOwn() {
  const auto Oldest = OwnByTime.begin();
  Own.erase(Oldest->second);
  OwnByTime.erase(Oldest);
}

void StreamVersions::forgetStore() {
  States.clear();
  for (auto &[Id, S] : Own)
    S.Recorded = false;
}

void StreamVersions::noteStored(const std::string &Id,
                                const std::string &Version,
                                const RecordPosition &Position, TimePoint Now) {
  const auto Known = Stored.find(Id);
  const bool IsOlder = Known != Stored.end() &&
                       Known->second.Position.Writer == Position.Writer &&
                       Known->second.Position.Number > Position.Number;
  if (!IsOlder)
    Stored[Id] = {Version, Now, Position};
}

std::optional<std::string>
StreamVersions::ownRecord(const std::string &Id) const {
  const auto It = Own.find(Id);
  return It == Own.end() ? std::nullopt : std::optional(It->second.Version);
}

std::optional<std::string> StreamVersions::record(const std::string &Id) const {
  if (auto Version = ownRecord(Id))
    return Version;
  const auto It = Stored.find(Id);
  return It == Stored.end() ? std::nullopt : std::optional(It->second.Version);
}

std::map<std::string, std::string>
StreamVersions::ownWithoutRecord(std::size_t Max) const {
  std::map<std::string, bool, std::less<>> NeededBy;
  std::map<std::string, std::string> Out;
  for (const auto &[Id, S] : Own) {
    if (S.Recorded)
      continue;
    const auto [It, IsNew] = NeededBy.try_emplace(S.Service);
    if (IsNew)
      It->second = recordsAll(S.Service);
    if (It->second)
      Out.emplace(Id, S.Version);
    if (Out.size() >= Max)
      break;
  }
  return Out;
}

void StreamVersions::forgetBefore(TimePoint Time) {
  while (!OwnByTime.empty() && OwnByTime.begin()->first < Time)
    forgetOldestOwn();
  std::erase_if(Stored,
                [&](const auto &Item) { return Item.second.NotedAt < Time; });
}

} // namespace hyssoprail::routing
