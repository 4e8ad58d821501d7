#ifndef HYSSOPRAIL_ROUTING_FLOW_HPP
#define HYSSOPRAIL_ROUTING_FLOW_HPP

#include <memory>
#include <optional>
#include <string>

#include "hyssoprail/rollout/rollout_gate.hpp"
#include "hyssoprail/routing/call_admission.hpp"
#include "hyssoprail/routing/call_slots.hpp"
#include "hyssoprail/routing/crash_ledgers.hpp"
#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/routing/engine_work_log.hpp"
#include "hyssoprail/routing/flow_io.hpp"
#include "hyssoprail/routing/health_signal_log.hpp"
#include "hyssoprail/routing/length_estimator.hpp"
#include "hyssoprail/routing/request_info.hpp"
#include "hyssoprail/routing/retry_limiter.hpp"
#include "hyssoprail/routing/stream_admission.hpp"
#include "hyssoprail/routing/stream_versions.hpp"

namespace hyssoprail::routing {

/// Time reserved before AnswerBy for the final answer to reach the caller.
constexpr milliseconds AnswerMargin{20};

/// State shared by all flows of an entry, that is, of one router process.
struct SharedFlowState {
  EndpointTable &Table;
  HealthSignalLog &EngineSignals;
  CrashLedgers &Crashes;
  StreamAdmission &Admission;
  CallAdmission &Calls;
  RetryLimiter &Retries;
  LengthEstimator &Lengths;
  std::string Zone;                    ///< availability zone of this entry
  EngineWorkLog *EngineWork = nullptr; ///< null: work is not measured
  /// Divides requests between versions; null if no rollouts are carried out.
  rollout::RolloutGate *Rollouts = nullptr;
  /// Slots that calls wait for; null: no call waits.
  CallSlots *Slots = nullptr;
  /// Versions at which streams began; null: streams go on at any version.
  const StreamVersions *Versions = nullptr;
};

/// An admitted request with the parts of the configuration that apply to it.
struct FlowRequest {
  std::string SessionId; ///< unique in this entry
  RequestInfo Info;
  RoutePolicy Route;
  std::string Service;
  std::string Account; ///< empty: none
  int Priority = 0;    ///< of its account if that has one, else of its route
  /// Engines are sent the priority: the overload policy is in force.
  bool SendsPriority = false;
  bool BeyondQuota = false; ///< uses the tolerance of its account's quota
  TimePoint Arrival{};
  milliseconds HandleRetention{500}; ///< how long an unfetched KV cache is kept
  std::uint32_t EventTokens = 1;     ///< largest number of tokens in one event
  TimePoint AnswerBy{}; ///< end of the route's timeout or the caller's deadline
};

/// State machine of one request from admission to its final answer; all I/O
/// goes through FlowIo. Each flow gives exactly one final answer, unless the
/// caller disconnects first.
class Flow {
public:
  virtual ~Flow() = default;

  virtual void start(TimePoint Now) = 0;

  /// A leg ended without starting a stream.
  virtual void onLegResult(FlowIo::LegId Leg, LegResult R, TimePoint Now) = 0;

  /// A leg's stream began, continued or ended.
  virtual void onStreamHead(FlowIo::LegId Leg, const HttpResponse &Head,
                            TimePoint Now);
  virtual void onStreamData(FlowIo::LegId Leg, std::string_view Data,
                            TimePoint Now);
  virtual void onStreamEnd(FlowIo::LegId Leg, bool Complete, TimePoint Now);

  /// Decisions of the admission about the submitted request.
  virtual void onPlaced(const StreamPlacement &Place, TimePoint Now);
  virtual void onRefused(const StreamRefusal &Refusal, TimePoint Now);

  /// Decisions on the submitted call.
  virtual void onCallGranted(const CallGrant &Grant, TimePoint Now);
  virtual void onCallDenied(const CallDenial &Denial, TimePoint Now);
  virtual void onCallReleased(const CallRelease &Release, TimePoint Now);
  virtual void onCallRefused(const CallRefusal &Refusal, TimePoint Now);

  /// The version that FlowIo::recordVersion() named is on record, or certainly
  /// not.
  virtual void onVersionRecorded(bool Written, TimePoint Now);

  /// The version at which the resumed stream began; nullopt if that cannot be
  /// found out now.
  virtual void onVersionFound(const std::optional<std::string> &Version,
                              TimePoint Now);

  /// The time of nextDeadline() was reached.
  virtual void onTimer(TimePoint Now) = 0;

  /// Cancels all work for the request.
  virtual void onCallerDisconnected(TimePoint Now) = 0;

  /// The final answer has to be given by \p Deadline, as the process ends then.
  virtual void endBy(TimePoint Deadline) = 0;

  virtual TimePoint nextDeadline() const = 0;

  /// True after the final answer.
  virtual bool done() const = 0;

  /// True if an endpoint has run the request, or its outcome there is unknown.
  virtual bool mayHaveRun() const = 0;
};

std::unique_ptr<Flow> makeCallFlow(SharedFlowState Shared, FlowRequest Request,
                                   FlowIo &Io);
std::unique_ptr<Flow> makeStreamFlow(SharedFlowState Shared,
                                     FlowRequest Request, FlowIo &Io);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_FLOW_HPP
