#include "hyssoprail/routing/stream_versions.hpp"

#include <tuple>
#include <utility>

namespace hyssoprail::routing {

std::set<std::string>
StreamVersions::versionsOf(std::string_view Service) const {
  std::set<std::string> Out;
  Table.forEach([&](const Endpoint &E) {
    if (E.Record.Service == Service)
      Out.insert(E.Record.Version);
  });
  return Out;
}

std::optional<std::string>
StreamVersions::oldestVersion(std::string_view Service) const {
  const EndpointRecord *Oldest = nullptr;
  const auto Age = [](const EndpointRecord &R) {
    return std::tie(R.StartedAtMs, R.Id);
  };
  Table.forEach([&](const Endpoint &E) {
    if (E.Record.Service == Service &&
        (!Oldest || Age(E.Record) < Age(*Oldest)))
      Oldest = &E.Record;
  });
  return Oldest ? std::optional(Oldest->Version) : std::nullopt;
}

void StreamVersions::setBase(const std::string &Service, std::string Version) {
  Bases[Service] = std::move(Version);
}

std::optional<std::string>
StreamVersions::base(std::string_view Service) const {
  const auto It = Bases.find(Service);
  return It == Bases.end() ? std::nullopt : std::optional(It->second);
}

bool StreamVersions::needsRecord(std::string_view Service,
                                 std::string_view Version) const {
  if (const auto Base = base(Service))
    return Version != *Base;
  return versionsOf(Service).size() > 1;
}

std::optional<std::string>
StreamVersions::onlyVersion(std::string_view Service) const {
  return Writable ? std::nullopt : base(Service);
}

void StreamVersions::noteOwn(const std::string &Id, const std::string &Version,
                             TimePoint Now) {
  Own[Id] = {Version, Now, {}};
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

std::optional<std::string> StreamVersions::find(const Records &In,
                                                const std::string &Id) {
  const auto It = In.find(Id);
  return It == In.end() ? std::nullopt : std::optional(It->second.Version);
}

std::optional<std::string>
StreamVersions::ownRecord(const std::string &Id) const {
  return find(Own, Id);
}

std::optional<std::string> StreamVersions::record(const std::string &Id) const {
  if (auto Version = find(Own, Id))
    return Version;
  return find(Stored, Id);
}

std::map<std::string, std::string> StreamVersions::ownRecords() const {
  std::map<std::string, std::string> Out;
  for (const auto &[Id, R] : Own)
    Out.emplace(Id, R.Version);
  return Out;
}

void StreamVersions::forgetBefore(TimePoint Time) {
  for (Records *All : {&Own, &Stored})
    std::erase_if(*All,
                  [&](const auto &Item) { return Item.second.NotedAt < Time; });
}

} // namespace hyssoprail::routing
