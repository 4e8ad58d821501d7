#include "hyssoprail/gateway/handler_guard.hpp"

#include "hyssoprail/core/enum_names.hpp"

namespace hyssoprail::gateway {
namespace {

constexpr std::array<EnumName<Boundary>, 10> BoundaryNames{{
    {Boundary::Request, "request"},
    {Boundary::Caller, "caller"},
    {Boundary::Answer, "answer"},
    {Boundary::Decision, "decision"},
    {Boundary::Peer, "peer"},
    {Boundary::Store, "store"},
    {Boundary::Timer, "timer"},
    {Boundary::Signal, "signal"},
    {Boundary::HttpClient, "http_client"},
    {Boundary::EventLoop, "event_loop"},
}};

} // namespace

std::string_view boundaryName(Boundary At) {
  return enumName(BoundaryNames, At);
}

void HandlerGuard::report(Boundary At, std::string_view Request,
                          std::string_view Why) noexcept {
  ++Errors[static_cast<std::size_t>(At)];
  try {
    Log.write(LogCategory::Outcome, "unexpected_error", Request,
              {{"boundary", boundaryName(At)}, {"why", Why}});
  } catch (const std::exception &) {
    // Without memory for the line, the counter alone tells of the error.
    return;
  }
}

void HandlerGuard::exportTo(Metrics &Out) const {
  for (const auto &Row : BoundaryNames)
    Out.gauge("unexpected_errors", {{"boundary", std::string(Row.Name)}})
        .set(static_cast<double>(errors(Row.Value)));
}

} // namespace hyssoprail::gateway
