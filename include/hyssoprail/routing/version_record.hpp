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

  /// True if the stream may not begin at \p Version yet.
  bool missing(const std::string &Version) const {
    if (!Versions || Waived)
      return false;
    return Written ? *Written != Version
                   : Versions->needsRecord(Service, Version);
  }

  bool isPending() const { return Pending.has_value(); }

  void begin(const std::string &Version) { Pending = Version; }

  void end(bool Ok) {
    if (Ok)
      Written = Pending;
    Pending.reset();
  }

  /// The stream may begin at any version without a record.
  void waive() { Waived = true; }

private:
  const StreamVersions *Versions;
  std::string Service;
  std::optional<std::string> Written;
  std::optional<std::string> Pending;
  bool Waived = false;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_VERSION_RECORD_HPP
