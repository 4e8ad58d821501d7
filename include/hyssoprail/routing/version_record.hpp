#ifndef HYSSOPRAIL_ROUTING_VERSION_RECORD_HPP
#define HYSSOPRAIL_ROUTING_VERSION_RECORD_HPP

#include <optional>
#include <string>
#include <utility>

#include "hyssoprail/routing/stream_versions.hpp"

namespace hyssoprail::routing {

/// The record of the version at which one stream is to begin. Until the caller
/// gets the first event, the stream may be placed at another version; then the
/// later record counts.
class VersionRecord {
public:
  /// Without \p Versions nothing is recorded.
  VersionRecord(const StreamVersions *Versions, std::string Service)
      : Versions(Versions), Service(std::move(Service)) {}

  /// What the stream still needs to begin at \p Version.
  RecordNeed need(const std::string &Version) const {
    if (!Versions || Written == Version)
      return RecordNeed::None;
    if (Written)
      return RecordNeed::Required;
    const RecordNeed Need = Versions->need(Service, Version);
    if (Need == RecordNeed::Required)
      return Need;
    if (Tried)
      return Tried == Version ? RecordNeed::None : RecordNeed::Wanted;
    return Need;
  }

  /// The version that is on record.
  const std::optional<std::string> &written() const { return Written; }

  bool isPending() const { return Pending.has_value(); }

  void begin(const std::string &Version) { Pending = Version; }

  void end(bool Ok) {
    if (Ok)
      Written = Pending;
    Tried = std::exchange(Pending, std::nullopt);
  }

private:
  const StreamVersions *Versions;
  std::string Service;
  std::optional<std::string> Written;
  std::optional<std::string> Tried; ///< last
  std::optional<std::string> Pending;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_VERSION_RECORD_HPP
