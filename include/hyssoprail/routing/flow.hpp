#ifndef HYSSOPRAIL_ROUTING_FLOW_HPP
#define HYSSOPRAIL_ROUTING_FLOW_HPP

#include <memory>
#include <string>

#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/routing/flow_io.hpp"
#include "hyssoprail/routing/health_signal_log.hpp"
#include "hyssoprail/routing/length_estimator.hpp"
#include "hyssoprail/routing/request_info.hpp"
#include "hyssoprail/routing/retry_limiter.hpp"
#include "hyssoprail/routing/stream_admission.hpp"

namespace hyssoprail::routing {

/// Time kept back before a request's last moment for its final answer.
constexpr milliseconds AnswerMargin{20};

/// State shared by the flows of an entry.
struct SharedFlowState {
  EndpointTable &Table;
  HealthSignalLog &EngineSignals;
  StreamAdmission &Admission;
  RetryLimiter &Retries;
  LengthEstimator &Lengths;
  std::string Zone; ///< of this entry
};

/// A request that was admitted, with what the configuration says of it.
struct FlowRequest {
  std::string SessionId; ///< unique in this entry
  RequestInfo Info;
  RoutePolicy Route;
  std::string Service;
  std::string Account; ///< empty: none
  int Priority = 0;
  bool BeyondQuota = false; ///< uses the tolerance of its account's quota
  TimePoint Arrival{};
  milliseconds HandleRetention{500}; ///< life of a KV cache nobody fetched
  std::uint32_t EventTokens = 1;     ///< of one event of a stream
  TimePoint AnswerBy{}; ///< the route's timeout or the caller's deadline
};

/// Course of one request from admission to its final answer, without I/O. Each
/// flow gives exactly one final answer, unless the caller leaves first.
class Flow {
public:
  virtual ~Flow() = default;

  virtual void start(TimePoint Now) = 0;

  /// A leg ended without a stream, or before its stream began.
  virtual void onLegResult(FlowIo::LegId Leg, LegResult Answer,
                           TimePoint Now) = 0;

  /// A leg's stream began, continued or ended.
  virtual void onStreamHead(FlowIo::LegId Leg, const HttpResponse &Head,
                            TimePoint Now);
  virtual void onStreamData(FlowIo::LegId Leg, std::string_view Data,
                            TimePoint Now);
  virtual void onStreamEnd(FlowIo::LegId Leg, bool Complete, TimePoint Now);

  /// The admission decided.
  virtual void onPlaced(const StreamPlace &Place, TimePoint Now);
  virtual void onRefused(const StreamRefusal &Refusal, TimePoint Now);

  /// nextDeadline() has come.
  virtual void onTimer(TimePoint Now) = 0;

  /// The caller left. Cancels all work.
  virtual void onCallerDisconnected(TimePoint Now) = 0;

  virtual TimePoint nextDeadline() const = 0;

  /// True after the final answer.
  virtual bool done() const = 0;

  /// True if an endpoint may have run the request.
  virtual bool mayHaveRun() const = 0;
};

std::unique_ptr<Flow> makeCallFlow(SharedFlowState Shared, FlowRequest Request,
                                   FlowIo &Io);
std::unique_ptr<Flow> makeStreamFlow(SharedFlowState Shared,
                                     FlowRequest Request, FlowIo &Io);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_FLOW_HPP
