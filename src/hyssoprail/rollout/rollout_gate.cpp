#include "hyssoprail/rollout/rollout_gate.hpp"

#include <algorithm>
#include <utility>

namespace hyssoprail::rollout {
namespace {

/// An endpoint that has just started is slow until its caches are filled.
constexpr milliseconds WarmUpTime{3'000};

/// Answers lost at one endpoint within this time count as one failure.
constexpr milliseconds LossWindow{500};

/// A request that may not be repeated goes to the old version only if this
/// multiple of its expected run time is left until the completion.
constexpr int RunTimeSafetyFactor = 3;

/// Old endpoints stop at the completion. Their registrations are gone within
/// this time, also if the store is down for some seconds.
constexpr milliseconds OldEndpointsEnd{15'000};

/// Run times older than this are forgotten.
constexpr milliseconds RunTimeMemory{10'000};

VersionChoice choice(VersionChoice::Kind Use, const std::string &Target) {
  return {Use, Target, {}};
}

/// Takes over a decision on the same order. Late decisions must not take a
/// rollout back to an earlier phase.
void mergeDecision(RolloutDecision &Known, RolloutDecision Next) {
  Next.Phase = std::max(Known.Phase, Next.Phase);
  Next.Allowance = std::max(Known.Allowance, Next.Allowance);
  Known = std::move(Next);
}

} // namespace

RolloutGate::Rollout *RolloutGate::find(std::string_view Service) {
  const auto It = Rollouts.find(Service);
  return It == Rollouts.end() ? nullptr : &It->second;
}

void RolloutGate::applyDecision(const RolloutDecision &Decision) {
  const Rollout *Known = find(Decision.Service);
  // The same order, read again after the store came back from a copy: what was
  // sent to the target counts on.
  if (Known && Known->Decision.Target == Decision.Target &&
      Known->Decision.Order.Era < Decision.Order.Era) {
    const bool Settled = Known->isSettledFor(Decision);
    Rollout &Renamed = Rollouts[Decision.Service];
    Renamed.Decision.Order = Renamed.Counts.Order = Decision.Order;
    if (Settled)
      return;
  }
  const bool NewOrder = !Known || Known->Decision.Order < Decision.Order;
  if (!NewOrder && (Known->IsFinal || Known->Decision.Order != Decision.Order))
    return;
  Rollout &R = Rollouts[Decision.Service];
  if (NewOrder) {
    if (Known && Known->Decision.Phase != RolloutPhase::Completed)
      Rejected[Decision.Service].insert(Known->Decision.Target);
    Rollout Fresh;
    Fresh.Decision = Decision;
    Fresh.Counts.Service = Decision.Service;
    Fresh.Counts.Order = Decision.Order;
    R = std::move(Fresh);
    Rejected[Decision.Service].erase(Decision.Target);
  } else {
    mergeDecision(R.Decision, Decision);
  }
  if (RolledBack.contains(R.Decision.Order))
    R.Decision.Phase = RolloutPhase::RolledBack;
  if (R.Decision.Phase == RolloutPhase::RolledBack) {
    RolledBack.insert(R.Decision.Order);
    Rejected[R.Decision.Service].insert(R.Decision.Target);
  }
}

void RolloutGate::applyStored(const std::string &Service,
                              const std::string &Target, OrderId Order,
                              RolloutState State) {
  if (!isFinal(State))
    return;
  RolloutDecision D;
  D.Service = Service;
  D.Target = Target;
  D.Order = Order;
  // The order may be known under the id of a later era of the store.
  if (const Rollout *Known = find(Service);
      Known && Known->Decision.Target == Target &&
      Order.Era < Known->Decision.Order.Era)
    D.Order = Order = Known->Decision.Order;
  const bool Completed = State == RolloutState::Completed;
  D.Phase = Completed ? RolloutPhase::Completed : RolloutPhase::RolledBack;
  // What the store has goes before a rollback that it refused.
  if (Completed)
    RolledBack.erase(Order);
  applyDecision(D);
  Rollout *R = find(Service);
  if (!R || R->Decision.Order != Order)
    return;
  R->Decision.Phase = D.Phase;
  R->IsFinal = true;
  if (Completed)
    Rejected[Service].erase(Target);
}

bool RolloutGate::takeAllowance(Rollout &R, unsigned Sends) {
  if (R.Counts.TargetRequests + Sends > R.Decision.Allowance)
    return false;
  R.Counts.TargetRequests += Sends;
  return true;
}

/// Once the old endpoints have gone, other endpoints may replace those of the
/// target without an order.
bool RolloutGate::isOver(Rollout &R, TimePoint Now) {
  if (R.Decision.Phase != RolloutPhase::Completed)
    return false;
  if (R.CompletedAt == TimePoint{})
    R.CompletedAt = Now;
  R.IsOver = Now - R.CompletedAt >= OldEndpointsEnd;
  return R.IsOver;
}

VersionChoice RolloutGate::choose(const RolloutRequest &Request,
                                  TimePoint Now) {
  Rollout *R = find(Request.Service);
  if (!R)
    return {};
  if (isOver(*R, Now))
    return {};
  R->Counts.Requests += Request.Sends;
  const std::string &Target = R->Decision.Target;
  switch (R->Decision.Phase) {
  case RolloutPhase::Canary:
    return choice(takeAllowance(*R, Request.Sends) ? VersionChoice::Kind::Target
                                                   : VersionChoice::Kind::Old,
                  Target);
  case RolloutPhase::Shift:
    return chooseInShift(*R, Request, Now);
  case RolloutPhase::Completed:
    R->Counts.TargetRequests += Request.Sends;
    return choice(VersionChoice::Kind::Target, Target);
  case RolloutPhase::RolledBack:
    return choice(VersionChoice::Kind::Old, Target);
  }
  return {};
}

/// What the old version can end before the completion goes there without
/// allowance. A request that may be repeated continues at the target if the
/// completion cuts it off.
VersionChoice RolloutGate::chooseInShift(Rollout &R,
                                         const RolloutRequest &Request,
                                         TimePoint Now) {
  const std::string &Target = R.Decision.Target;
  if (takeAllowance(R, Request.Sends))
    return choice(VersionChoice::Kind::Target, Target);
  const Duration Left = R.Decision.CompletesAt - Now;
  if (Request.Repeatable || Request.ExpectedRun * RunTimeSafetyFactor < Left)
    return choice(VersionChoice::Kind::Old, Target);
  R.Counts.Requests -= Request.Sends;
  VersionChoice Out = choice(VersionChoice::Kind::Later, Target);
  Out.Wait = std::max(Left, Duration{0});
  return Out;
}

void RolloutGate::refund(const RolloutRequest &Request,
                         const VersionChoice &Choice) {
  Rollout *R = find(Request.Service);
  if (!R || Choice.Target != R->Decision.Target ||
      Choice.Use == VersionChoice::Kind::Later)
    return;
  const std::uint64_t Sends = Request.Sends;
  R->Counts.Requests -= std::min(R->Counts.Requests, Sends);
  if (Choice.Use == VersionChoice::Kind::Target)
    R->Counts.TargetRequests -= std::min(R->Counts.TargetRequests, Sends);
}

VersionChoice RolloutGate::update(std::string_view Service,
                                  const VersionChoice &Chosen) const {
  const auto It = Rollouts.find(Service);
  if (It == Rollouts.end())
    return Chosen;
  const RolloutDecision &D = It->second.Decision;
  if (It->second.IsOver && Chosen.Use == VersionChoice::Kind::Any)
    return Chosen;
  if (D.Phase == RolloutPhase::Completed)
    return choice(VersionChoice::Kind::Target, D.Target);
  const bool StaysAtTarget = Chosen.Use == VersionChoice::Kind::Target &&
                             Chosen.Target == D.Target &&
                             D.Phase != RolloutPhase::RolledBack;
  if (StaysAtTarget || Chosen.Use == VersionChoice::Kind::Later)
    return Chosen;
  return choice(VersionChoice::Kind::Old, D.Target);
}

void RolloutGate::recordExtraSend(std::string_view Service,
                                  std::string_view Version) {
  Rollout *R = find(Service);
  if (!R)
    return;
  ++R->Counts.Requests;
  if (Version == R->Decision.Target)
    ++R->Counts.TargetRequests;
}

void RolloutGate::runBegan(std::string_view Service, std::string_view Version,
                           bool Repeatable) {
  Rollout *R = find(Service);
  if (!R || Version == R->Decision.Target)
    return;
  ++R->Counts.OldRuns;
  if (!Repeatable)
    ++R->Counts.OldUnrepeatable;
}

void RolloutGate::runEnded(std::string_view Service, std::string_view Version,
                           bool Repeatable, Duration RunTime, TimePoint Now) {
  Rollout *R = find(Service);
  if (!R || Version == R->Decision.Target)
    return;
  // Runs that began before the order was known are not counted.
  if (R->Counts.OldRuns > 0)
    --R->Counts.OldRuns;
  if (!Repeatable && R->Counts.OldUnrepeatable > 0)
    --R->Counts.OldUnrepeatable;
  R->OldRunTimes.emplace_back(Now, RunTime);
  while (Now - R->OldRunTimes.front().first > RunTimeMemory)
    R->OldRunTimes.pop_front();
}

void RolloutGate::recordAnswer(const VersionAnswer &Answer, TimePoint Now) {
  Rollout *R = find(Answer.Service);
  if (!R)
    return;
  auto &ByRoute = Answer.Version == R->Decision.Target
                      ? R->Counts.Answers.Target
                      : R->Counts.Answers.Old;
  AnswerCounts &Counts = ByRoute[std::string(Answer.Route)];
  switch (Answer.Outcome) {
  case VersionAnswer::Result::Success:
    if (Answer.EndpointAge < WarmUpTime)
      return Counts.addUntimedSuccess();
    return Counts.addSuccess(Answer.Latency);
  case VersionAnswer::Result::Failure:
    return Counts.addFailure();
  case VersionAnswer::Result::Lost:
    TimePoint &LostAt = R->LostAt[std::string(Answer.Endpoint)];
    if (LostAt != TimePoint{} && Now - LostAt < LossWindow)
      return;
    LostAt = Now;
    return Counts.addFailure();
  }
}

bool RolloutGate::allows(const VersionChoice &Choice,
                         std::string_view Version) {
  switch (Choice.Use) {
  case VersionChoice::Kind::Any:
    return true;
  case VersionChoice::Kind::Old:
    return Version != Choice.Target;
  case VersionChoice::Kind::Target:
    return Version == Choice.Target;
  case VersionChoice::Kind::Later:
    return false;
  }
  return false;
}

bool RolloutGate::isUnproven(std::string_view Service,
                             std::string_view Version) const {
  const auto Targets = Rejected.find(Service);
  if (Targets != Rejected.end() && Targets->second.contains(Version))
    return true;
  const auto It = Rollouts.find(Service);
  return It != Rollouts.end() && It->second.Decision.Target == Version &&
         It->second.Decision.Phase != RolloutPhase::Completed;
}

std::vector<RolloutEvidence> RolloutGate::evidence(TimePoint Now) const {
  std::vector<RolloutEvidence> Out;
  for (const auto &[Service, R] : Rollouts) {
    RolloutEvidence E = R.Counts;
    E.Allowance = R.Decision.Allowance;
    E.RolledBack = R.Decision.Phase == RolloutPhase::RolledBack;
    for (const auto &[At, RunTime] : R.OldRunTimes)
      if (Now - At <= RunTimeMemory)
        E.LongestRun = std::max(E.LongestRun, RunTime);
    Out.push_back(std::move(E));
  }
  return Out;
}

} // namespace hyssoprail::rollout
