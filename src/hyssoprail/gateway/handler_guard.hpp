#ifndef HYSSOPRAIL_GATEWAY_HANDLER_GUARD_HPP
#define HYSSOPRAIL_GATEWAY_HANDLER_GUARD_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <string_view>

#include "hyssoprail/process/decision_log.hpp"
#include "hyssoprail/process/metrics.hpp"

namespace hyssoprail::gateway {

/// Places where the event loop hands control to a handler.
enum class Boundary : std::size_t {
  Request,    ///< a request of a caller has arrived
  Caller,     ///< a caller has left
  Answer,     ///< an endpoint has answered, or failed to
  Decision,   ///< the coordinator has decided on a request
  Peer,       ///< a message of another entry
  Store,      ///< a record or a response of the store
  Timer,      ///< a timer has expired
  Signal,     ///< a signal of the operating system
  HttpClient, ///< callback of a call to the store, an entry or an engine
  EventLoop,  ///< none of the above
};

std::string_view boundaryName(Boundary At);

/// Runs handlers so that an exception of one ends only its own work. It is
/// logged as "unexpected_error" with the boundary and the request concerned,
/// and counted.
///
/// \code
///   if (!Guard.run(Boundary::Timer, RequestId, [&] { Flow.onTimer(Now); }))
///     answerWithFailure();
/// \endcode
class HandlerGuard {
public:
  explicit HandlerGuard(DecisionLog &Log) : Log(Log) {}

  /// Runs \p Work; returns false if it threw. \p Request is the id of the
  /// request concerned, or empty.
  template <typename Handler>
  bool run(Boundary At, std::string_view Request, Handler &&Work) noexcept {
    try {
      Work();
      return true;
    } catch (const std::exception &E) {
      report(At, Request, E.what());
    } catch (...) {
      report(At, Request, "not a std::exception");
    }
    return false;
  }

  /// Records an exception that was caught elsewhere.
  void report(Boundary At, std::string_view Request,
              std::string_view Why) noexcept;

  std::uint64_t errors(Boundary At) const {
    return Errors[static_cast<std::size_t>(At)];
  }

  /// Sets the metric "unexpected_errors" of each boundary.
  void exportTo(Metrics &Out) const;

private:
  DecisionLog &Log;
  std::array<std::uint64_t, static_cast<std::size_t>(Boundary::EventLoop) + 1>
      Errors{};
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_HANDLER_GUARD_HPP
