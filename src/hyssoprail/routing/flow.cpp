#include "hyssoprail/routing/flow.hpp"

namespace hyssoprail::routing {

void Flow::onStreamHead(FlowIo::LegId, const HttpResponse &, TimePoint) {}
void Flow::onStreamData(FlowIo::LegId, std::string_view, TimePoint) {}
void Flow::onStreamEnd(FlowIo::LegId, bool, TimePoint) {}
void Flow::onPlaced(const StreamPlacement &, TimePoint) {}
void Flow::onRefused(const StreamRefusal &, TimePoint) {}
void Flow::onCallGranted(const CallGrant &, TimePoint) {}
void Flow::onCallDenied(const CallDenial &, TimePoint) {}
void Flow::onCallReleased(const CallRelease &, TimePoint) {}
void Flow::onCallRefused(const CallRefusal &, TimePoint) {}
void Flow::onVersionRecorded(bool, TimePoint) {}
void Flow::onVersionFound(const std::optional<std::string> &, TimePoint) {}

} // namespace hyssoprail::routing
