#include "hyssoprail/routing/version_watch.hpp"

namespace hyssoprail::routing {

void VersionWatch::observe(const std::set<std::string> &Registered,
                           Duration Behind, TimePoint Now) {
  for (const std::string &Version : Registered)
    note(Version, Now);
  if (Registered.size() > 1)
    SeveralAt = Now;
  const bool Missed =
      Behind > MaxVersionLag || Now - ObservedAt > MaxVersionLag;
  ObservedAt = Now;
  if (Registered.size() != 1)
    Only.reset();
  else if (Missed)
    OnlySince = Now;
}

void VersionWatch::note(const std::string &Version, TimePoint Now) {
  if (Only == Version)
    return;
  if (Only)
    SeveralAt = Now;
  Only = Version;
  OnlySince = Now;
}

std::optional<std::string> VersionWatch::onlySince(TimePoint Time) const {
  return Only && OnlySince <= Time ? Only : std::nullopt;
}

} // namespace hyssoprail::routing
