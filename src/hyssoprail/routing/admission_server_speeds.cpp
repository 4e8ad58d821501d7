// The part of AdmissionServer that learns the speeds of engines and tells them.
#include "hyssoprail/routing/admission_server.hpp"
#include "hyssoprail/routing/engine_speed_update.hpp"

namespace hyssoprail::routing {

/// Must be called after applyRuns(), as the expected time of a token depends on
/// the runs at the engine.
void AdmissionServer::applyEngineWork(const wire::EntryReport &Report,
                                      TimePoint Now) {
  for (const wire::EngineWork &W : Report.engine_work())
    Speeds.observe(Report.sender(), Report.incarnation(),
                   {W.endpoint(),
                    W.started_at_ms(),
                    {{{W.prefill_tokens(), W.prefill_us()},
                      {W.decode_tokens(), W.decode_us()}}},
                    W.samples()},
                   Now);
}

std::vector<EngineSpeedChange> AdmissionServer::updateSpeeds(TimePoint Now) {
  if (Overload == OverloadMode::Arrival) {
    Speeds.forgetStale(Now);
    return {};
  }
  return Speeds.update(Now);
}

void fillSpeeds(EndpointTable &Table, wire::CoordinatorUpdate &Update) {
  Table.forEach([&](const Endpoint &E) {
    if (E.SpeedFactor == 1)
      return;
    wire::EngineSpeed *Speed = Update.add_speeds();
    Speed->set_endpoint(E.Record.Id);
    Speed->set_started_at_ms(E.Record.StartedAtMs);
    Speed->set_factor(E.SpeedFactor);
  });
}

void applySpeeds(const wire::CoordinatorUpdate &Update, EndpointTable &Table) {
  if (!Update.has_totals())
    return;
  Table.forEach([](Endpoint &E) { E.SpeedFactor = 1; });
  for (const wire::EngineSpeed &Speed : Update.speeds()) {
    Endpoint *E = Table.find(Speed.endpoint());
    const bool Usable = Speed.factor() >= 1 / MaxSpeedFactor &&
                        Speed.factor() <= MaxSpeedFactor;
    if (E && Usable && E->Record.StartedAtMs == Speed.started_at_ms())
      E->SpeedFactor = Speed.factor();
  }
}

} // namespace hyssoprail::routing
