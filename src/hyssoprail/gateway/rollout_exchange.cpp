#include "hyssoprail/gateway/rollout_exchange.hpp"

#include <utility>

#include "hyssoprail/gateway/rollout_messages.hpp"

namespace hyssoprail::gateway {
namespace {

/// Time between two attempts to write a state that the store did not take.
constexpr milliseconds WriteRetryDelay{200};

/// Endpoints of a version that is new to its service get no work for this time.
/// Without an order by then, they count as replacements of earlier endpoints.
constexpr milliseconds NewVersionHold{2'000};

} // namespace

/// Until the coordinator decides, nothing may be sent to the target.
void RolloutExchange::order(const rollout::RolloutOrder &Order, Duration Age,
                            TimePoint Now) {
  Log.write(LogCategory::Outcome, enabled() ? "rollout_order" : "rollout_off",
            "",
            {{"service", Order.Service},
             {"target", Order.Target},
             {"order", Order.Id.Offset},
             {"era", Order.Id.Era},
             {"duration_ms", Order.Length},
             {"age_ms", Age}});
  if (!enabled())
    return;
  Targets[Order.Service] = Order.Target;
  HeldVersions[{Order.Service, Order.Target}] = {};
  Controller.order(Order, Age, Now);
  rollout::RolloutDecision Initial;
  Initial.Service = Order.Service;
  Initial.Target = Order.Target;
  Initial.Order = Order.Id;
  Initial.CompletesAt = Now - Age + Order.Length;
  Gate.applyDecision(Initial);
}

void RolloutExchange::withdraw(std::string_view Service) {
  if (!enabled())
    return;
  Log.write(LogCategory::Outcome, "rollout_withdrawn", "",
            {{"service", Service}});
  Controller.withdraw(Service);
}

void RolloutExchange::applyStored(const rollout::StatusRecord &State) {
  if (!enabled())
    return;
  const auto [It, New] = Stored.try_emplace(State.Service, State);
  if (!New && It->second.Order <= State.Order)
    It->second = State;
  Controller.applyStored(State);
  Gate.applyStored(State.Service, State.Target, State.Order, State.State);
}

TimePoint RolloutExchange::noteVersion(const std::string &Service,
                                       const std::string &Version, bool AtStart,
                                       TimePoint Now) {
  if (!enabled())
    return {};
  const TimePoint HeldUntil = AtStart ? TimePoint{} : Now + NewVersionHold;
  const auto [It, New] =
      HeldVersions.try_emplace({Service, Version}, HeldUntil);
  if (New && !AtStart)
    Log.write(LogCategory::Outcome, "new_version", "",
              {{"service", Service}, {"version", Version}});
  return It->second;
}

void RolloutExchange::fillReport(wire::EntryReport &Report,
                                 TimePoint Now) const {
  for (const rollout::RolloutEvidence &Evidence : Gate.evidence(Now))
    encodeEvidence(Evidence, *Report.add_rollouts());
}

/// A completion is in force only after the store has accepted it, so an entry
/// that hears of one knows what the store has. A rollback may still have to be
/// written, by this entry if the coordinator ends before that.
void RolloutExchange::applyUpdate(const wire::CoordinatorUpdate &Update,
                                  TimePoint Now) {
  if (!enabled())
    return;
  for (const wire::RolloutDecision &Message : Update.rollouts()) {
    const auto Decision = decodeDecision(Message, Now);
    if (!Decision)
      continue;
    if (Decision->Phase == rollout::RolloutPhase::Completed)
      applyStored({Decision->Service, Decision->Target, Decision->Order,
                   rollout::RolloutState::Completed});
    Gate.applyDecision(*Decision);
  }
}

void RolloutExchange::takeReport(const wire::EntryReport &Report) {
  if (!enabled())
    return;
  Incarnations[Report.sender()] = Report.incarnation();
  for (const wire::RolloutEvidence &Evidence : Report.rollouts())
    Controller.observe(Report.sender(), Report.incarnation(),
                       decodeEvidence(Evidence));
}

void RolloutExchange::decide(const EndpointCount &CountEndpoints,
                             TimePoint Now) {
  if (!enabled())
    return;
  for (const auto &[Service, Target] : Targets)
    Controller.setTargetEndpoints(Service, CountEndpoints(Service, Target));
  for (const rollout::RolloutStep &Step : Controller.poll(Now))
    logStep(Step);
  for (const rollout::RolloutDecision &Decision :
       Controller.decisionsFor(Settings.Name, Incarnation))
    Gate.applyDecision(Decision);
  writeNextState(Now);
}

void RolloutExchange::fillUpdate(const std::string &Entry,
                                 wire::CoordinatorUpdate &Update,
                                 TimePoint Now) const {
  const auto It = Incarnations.find(Entry);
  if (It == Incarnations.end())
    return;
  for (const rollout::RolloutDecision &Decision :
       Controller.decisionsFor(Entry, It->second))
    encodeDecision(Decision, Now, *Update.add_rollouts());
}

/// Writes one state at a time: those of replaced orders come before that of the
/// order in force.
void RolloutExchange::writeNextState(TimePoint Now) {
  if (Writing || Now < NextWriteAt)
    return;
  std::vector<rollout::StatusRecord> Missing = Controller.unwritten();
  for (const auto &[Service, State] : Unconfirmed)
    Missing.push_back(State);
  if (Missing.empty())
    return;
  Writing = true;
  NextWriteAt = Now + WriteRetryDelay;
  const rollout::StatusRecord &State = Missing.front();
  Feed.writeRolloutState(State, [this, State](bool Known) {
    Writing = false;
    if (!Known)
      return;
    NextWriteAt = {};
    const auto It = Unconfirmed.find(State.Service);
    if (It != Unconfirmed.end() && It->second.Order <= State.Order)
      Unconfirmed.erase(It);
  });
}

void RolloutExchange::logStep(const rollout::RolloutStep &Step) {
  Log.write(LogCategory::Outcome, "rollout", "",
            {{"service", Step.Service},
             {"target", Step.Target},
             {"order", Step.Order.Offset},
             {"era", Step.Order.Era},
             {"phase", enumName(rollout::RolloutPhaseNames, Step.Phase)},
             {"reason", enumName(rollout::RollbackReasonNames, Step.Reason)},
             {"route", Step.Verdict.Route},
             {"target_bad_share", Step.Verdict.TargetShare},
             {"old_bad_share", Step.Verdict.OldShare},
             {"requests", Step.Requests},
             {"target_requests", Step.TargetRequests},
             {"old_unrepeatable", Step.OldUnrepeatable}});
}

} // namespace hyssoprail::gateway
