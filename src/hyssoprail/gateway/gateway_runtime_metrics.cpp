// The part of GatewayRuntime that answers questions about readiness, changes of
// the fleet and metrics.
#include <algorithm>
#include <utility>

#include "hyssoprail/gateway/gateway_runtime.hpp"
#include "hyssoprail/process/query.hpp"

namespace hyssoprail::gateway {

bool GatewayRuntime::ready() const {
  return !Stopping && Config && EndpointsComplete;
}

void GatewayRuntime::handleReadiness(const Exchange &Caller) {
  Caller->respond(jsonResponse(ready() ? 200 : 503, "{}"));
}

void GatewayRuntime::handleInternal(const Exchange &Caller) {
  if (Caller->request().path() == StatePath)
    return handleState(Caller);
  handleMetrics(Caller);
}

/// Answers an entry that does not read the store with the changes since the
/// positions that it has.
void GatewayRuntime::handleState(const Exchange &Caller) {
  const Query Known = parseQuery(Caller->request().Target);
  const FeedPosition Position{
      queryNumber(Known, "operator"), queryNumber(Known, "endpoints"),
      queryNumber(Known, "era"), queryNumber(Known, "config")};
  const bool Deflate = queryValue(Known, "config_encoding") == "deflate";
  Caller->respond(jsonResponse(
      200, Feed.changesSince(Position, Deflate ? ConfigEncoding::Deflate
                                               : ConfigEncoding::Plain)));
}

void GatewayRuntime::handleMetrics(const Exchange &Caller) {
  updateGauges();
  HttpResponse Response;
  Response.Headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  Response.Body = Counters.prometheusText();
  Caller->respond(std::move(Response));
}

void GatewayRuntime::updateGenerationGauges() {
  for (auto &[Key, Waiting] : WaitingGenerations)
    Waiting = 0;
  FleetCoordination.countWaiting(WaitingGenerations);
  for (const auto &[Key, Waiting] : WaitingGenerations)
    Counters
        .gauge(
            "generations_waiting",
            {{"service", Key.first}, {"priority", std::to_string(Key.second)}})
        .set(double(Waiting));
}

/// What this entry has counted since the newest order of each service.
void GatewayRuntime::updateRolloutGauges(TimePoint Now) {
  const auto Evidence = FleetCoordination.rollouts().gate().evidence(Now);
  for (const rollout::RolloutEvidence &E : Evidence) {
    const MetricLabels Service{{"service", E.Service}};
    Counters.gauge("rollout_requests", Service).set(double(E.Requests));
    Counters.gauge("rollout_target_requests", Service)
        .set(double(E.TargetRequests));
    Counters.gauge("rollout_target_allowance", Service)
        .set(double(E.Allowance));
    Counters.gauge("rollout_old_runs", Service).set(E.OldRuns);
    const auto Set = [&](const char *Version,
                         const rollout::RouteAnswers &ByRoute) {
      const rollout::AnswerCounts Sum = rollout::sumOf(ByRoute);
      const MetricLabels Labels{{"service", E.Service}, {"version", Version}};
      Counters.gauge("rollout_answers", Labels).set(double(Sum.Total));
      Counters.gauge("rollout_failures", Labels).set(double(Sum.Failed));
    };
    Set("old", E.Answers.Old);
    Set("target", E.Answers.Target);
  }
}

void GatewayRuntime::updateCallGauges() {
  const routing::CallQueue &Queue = FleetCoordination.slots().queue();
  for (const std::string &Service : Queue.services()) {
    const routing::CallQueueState State = Queue.state(Service);
    const MetricLabels Label{{"service", Service}};
    Counters.gauge("calls_waiting", Label).set(double(State.Waiting));
    Counters.gauge("calls_waited", Label).set(double(State.Waited));
    Counters.gauge("calls_refused_waiting", Label).set(double(State.Refused));
    Counters.gauge("call_slots_in_use", Label).set(State.InUse);
  }
}

void GatewayRuntime::updateEndpointGauges(TimePoint Now) {
  Table.forEach([&](routing::Endpoint &E) {
    const MetricLabels Label{{"endpoint", E.Record.Id}};
    Counters.gauge("endpoint_runs", Label).set(E.totalLoad().Runs);
    Counters.gauge("endpoint_tokens", Label).set(double(E.totalLoad().Tokens));
    Counters.gauge("endpoint_speed", Label).set(E.SpeedFactor);
    Counters.gauge("endpoint_failure_share", Label)
        .set(E.Health.failureShare());
    Counters.gauge("endpoint_limit_per_second", Label)
        .set(E.Limit.perSecond().value_or(0));
    Counters.gauge("endpoint_leaving", Label)
        .set(E.Availability.leaving() ? 1 : 0);
    Counters.gauge("endpoint_pause_seconds", Label)
        .set(std::chrono::duration<double>(
                 std::max(Duration{0}, E.Availability.pausedUntil() - Now))
                 .count());
    Counters.gauge("endpoint_usable", Label).set(E.Health.usable(Now) ? 1 : 0);
  });
}

void GatewayRuntime::updateGauges() {
  const TimePoint Now = Time.now();
  Counters.gauge("requests_open").set(double(Sessions.size()));
  Counters.gauge("streams_waiting")
      .set(double(FleetCoordination.waitingStreams()));
  updateGenerationGauges();
  Counters.gauge("fleet_streams_waiting")
      .set(double(FleetCoordination.fleetQueueLength()));
  Counters.gauge("coordinates").set(FleetCoordination.isCoordinator() ? 1 : 0);
  Counters.gauge("entries_known").set(double(FleetCoordination.knownEntries()));
  Counters.gauge("entries_heard_share").set(FleetCoordination.reportingShare());
  Counters.gauge("config_version").set(Config ? double(Config->Version) : 0);
  Counters.gauge("store_age_seconds")
      .set(std::chrono::duration<double>(
               std::min<Duration>(Feed.dataAge(), MaxReportedAge))
               .count());
  Counters.gauge("loop_lag_seconds")
      .set(std::chrono::duration<double>(Lag.recent(Now)).count());
  Counters.gauge("store_calls").set(double(Feed.storeCalls()));
  updateRolloutGauges(Now);
  Counters.gauge("engine_crashes_remembered")
      .set(double(Crashes.Prompts.crashCount()));
  Counters.gauge("prompt_parts_quarantined")
      .set(double(Crashes.Prompts.quarantined(Now).size()));
  Counters.gauge("request_crashes_remembered")
      .set(double(Crashes.Requests.crashCount()));
  Counters.gauge("requests_quarantined")
      .set(double(Crashes.Requests.quarantined(Now).size()));
  Guard.exportTo(Counters);
  Counters.gauge("peer_messages_unreadable").set(double(Peers.unreadable()));
  Counters.gauge("peer_messages_superseded").set(double(Peers.superseded()));
  Counters.gauge("log_lines_dropped").set(double(Log.dropped()));
  const UpstreamCounters U = Endpoints->counters();
  Counters.gauge("caller_memory_bytes").set(double(CallerMemory->reserved()));
  Counters.gauge("caller_memory_limit_bytes")
      .set(double(CallerMemory->limit()));
  Counters.gauge("caller_memory_waiting").set(double(Bodies->waiting()));
  Counters.gauge("endpoint_connects").set(double(U.Connects));
  Counters.gauge("endpoint_reuses").set(double(U.Reuses));
  Counters.gauge("endpoint_stale_answers").set(double(U.StaleResponses));
  Descriptors.updateGauges(Counters);
  updateCallGauges();
  updateEndpointGauges(Now);
}

} // namespace hyssoprail::gateway
