#include "hyssoprail/rollout/rollout_controller.hpp"

#include <algorithm>
#include <utility>

namespace hyssoprail::rollout {
namespace {

/// Completion is due this long before the deadline: the store has to accept it
/// in time, but a version that begins to fail after its completion can no
/// longer be rolled back.
constexpr milliseconds CompletionMargin{600};

/// Added to the longest recent run of the old version: decisions and reports
/// need some 100 ms each.
constexpr milliseconds ShiftMargin{500};

/// Longest shift as a share of the time that the order gives.
constexpr double MaxShiftShare = 0.4;

/// Part of the bound that a canary may use. The rest is for the shift, in which
/// requests that the old version cannot end in time go to the target, and for
/// all requests between the completion and the deadline.
constexpr double CanaryPart = 0.5;

/// The era before the store has come back from a copy.
constexpr std::uint64_t FirstEra = 1;

Duration part(Duration D, double Share) {
  return std::chrono::duration_cast<Duration>(D * Share);
}

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

} // namespace

void RolloutController::startTerm(TimePoint Now) {
  TermStart = Now;
  for (auto &[Service, R] : Rollouts) {
    R.Budget = ExposureBudget(Bound, false);
    R.Sources.clear();
    R.Ended = {};
  }
}

void RolloutController::order(const RolloutOrder &Order, Duration Age,
                              TimePoint Now) {
  const auto Known = Rollouts.find(Order.Service);
  if (Known != Rollouts.end()) {
    if (Order.Id <= Known->second.Order.Id)
      return;
    if (isSameAfterRestore(Known->second, Order)) {
      Known->second.Order.Id = Order.Id;
      return;
    }
    rollBack(Known->second, RollbackReason::Replaced);
    if (Known->second.Stored != RolloutState::Completed)
      Abandoned.push_back({Known->second.Order.Service,
                           Known->second.Order.Target, Known->second.Order.Id,
                           RolloutState::RolledBack});
    Rollouts.erase(Known);
  }
  // Only the coordinator that reads an order as it is given has lent nothing of
  // it before. In a later era the order may be one that was given before.
  const bool BeganHere = TermStart != TimePoint{} && Now - Age > TermStart &&
                         Order.Id.Era <= FirstEra;
  Rollout R(Order, ExposureBudget(Bound, BeganHere));
  R.OrderedAt = Now - Age;
  R.Deadline = R.OrderedAt + Order.Length;
  if (RolledBack.contains(Order.Id))
    rollBack(R, RollbackReason::Stored);
  Rollouts.emplace(Order.Service, std::move(R));
  const auto State = Settled.find(Order.Service);
  if (State != Settled.end())
    applyStored(StatusRecord(State->second));
}

/// True if \p Next is the order of a known rollout, read again after the store
/// came back from a copy.
bool RolloutController::isSameAfterRestore(const Rollout &Known,
                                           const RolloutOrder &Next) {
  return Known.Order.Target == Next.Target && Known.Order.Id.Era < Next.Id.Era;
}

void RolloutController::withdraw(std::string_view Service) {
  const auto It = Rollouts.find(Service);
  if (It != Rollouts.end())
    rollBack(It->second, RollbackReason::Withdrawn);
}

void RolloutController::observe(const std::string &Entry,
                                std::uint64_t Incarnation,
                                const RolloutEvidence &Evidence) {
  const auto It = Rollouts.find(Evidence.Service);
  if (It == Rollouts.end() || It->second.Order.Id != Evidence.Order)
    return;
  Rollout &R = It->second;
  if (Evidence.RolledBack)
    rollBack(R, RollbackReason::Stored);
  R.Budget.report(Entry, Incarnation, Evidence.Requests, Evidence.Allowance);
  Source &S = R.Sources[Entry];
  if (S.Incarnation != Incarnation) {
    R.Ended += S.Evidence.Answers;
    S = {Incarnation, Evidence};
  } else if (Evidence.Requests >= S.Evidence.Requests) {
    S.Evidence = Evidence;
  }
}

void RolloutController::setTargetEndpoints(std::string_view Service,
                                           std::size_t Count) {
  const auto It = Rollouts.find(Service);
  if (It != Rollouts.end())
    It->second.TargetEndpoints = Count;
}

void RolloutController::applyStored(const StatusRecord &Record) {
  std::erase_if(Abandoned, [&](const StatusRecord &A) {
    return A.Order == Record.Order && isFinal(Record.State);
  });
  if (Record.State == RolloutState::RolledBack)
    RolledBack.insert(Record.Order);
  if (isFinal(Record.State)) {
    const auto [Kept, New] = Settled.try_emplace(Record.Service, Record);
    if (!New && Kept->second.Order < Record.Order)
      Kept->second = Record;
  }
  const auto It = Rollouts.find(Record.Service);
  if (It == Rollouts.end())
    return;
  Rollout &R = It->second;
  if (!isStateOf(Record, R.Order.Id, R.Order.Target))
    return;
  if (R.Stored && isFinal(*R.Stored))
    return;
  R.Stored = Record.State;
  if (Record.State == RolloutState::RolledBack)
    rollBack(R, RollbackReason::Stored);
  if (Record.State == RolloutState::Completed &&
      R.Phase != RolloutPhase::Completed) {
    R.Phase = RolloutPhase::Completed;
    R.StepDue = true;
  }
}

void RolloutController::rollBack(Rollout &R, RollbackReason Reason) {
  if (R.Phase == RolloutPhase::RolledBack || R.Phase == RolloutPhase::Completed)
    return;
  R.Phase = RolloutPhase::RolledBack;
  R.Reason = Reason;
  R.StepDue = true;
  RolledBack.insert(R.Order.Id);
}

VersionAnswers RolloutController::answers(const Rollout &R) const {
  VersionAnswers Out = R.Ended;
  for (const auto &[Name, S] : R.Sources)
    Out += S.Evidence.Answers;
  return Out;
}

TimePoint RolloutController::completionDue(const Rollout &R) const {
  const Duration Margin =
      std::min<Duration>(CompletionMargin, R.Order.Length / 8);
  return R.Deadline - Margin;
}

Duration RolloutController::shiftLength(const Rollout &R) const {
  Duration Longest{};
  for (const auto &[Name, S] : R.Sources)
    Longest = std::max(Longest, S.Evidence.LongestRun);
  return std::min(Longest + ShiftMargin, part(R.Order.Length, MaxShiftShare));
}

bool RolloutController::oldVersionIdle(const Rollout &R) const {
  return std::all_of(R.Sources.begin(), R.Sources.end(), [](const auto &S) {
    return S.second.Evidence.OldUnrepeatable == 0;
  });
}

void RolloutController::advance(Rollout &R, TimePoint Now) {
  if (R.Phase != RolloutPhase::Canary && R.Phase != RolloutPhase::Shift)
    return;
  VersionVerdict Verdict = compareVersions(answers(R));
  if (Verdict.Reason != RollbackReason::None) {
    rollBack(R, Verdict.Reason);
    R.Verdict = std::move(Verdict);
    return;
  }
  if (Now >= R.Deadline && R.TargetEndpoints == 0)
    return rollBack(R, RollbackReason::NoEndpoints);
  if (R.Phase == RolloutPhase::Canary && R.TargetEndpoints > 0 &&
      Now >= completionDue(R) - shiftLength(R)) {
    R.Phase = RolloutPhase::Shift;
    R.StepDue = true;
  }
  R.Budget.lend(R.Phase == RolloutPhase::Canary ? CanaryPart
                                                : shiftPart(R, Now));
}

/// The part of the bound that is left if the requests that will come between
/// the completion and the deadline are set aside.
double RolloutController::shiftPart(const Rollout &R, TimePoint Now) const {
  const Duration Elapsed = Now - std::max(R.OrderedAt, TermStart);
  const double Limit = R.Budget.limit();
  if (Elapsed <= Duration{0} || Limit <= 0)
    return CanaryPart;
  const double PerSecond =
      static_cast<double>(R.Budget.counted()) / seconds(Elapsed);
  const double AfterCompletion =
      PerSecond * seconds(R.Deadline - completionDue(R));
  return std::max(CanaryPart, 1 - AfterCompletion / Limit);
}

std::vector<RolloutStep> RolloutController::poll(TimePoint Now) {
  std::vector<RolloutStep> Out;
  for (auto &[Service, R] : Rollouts) {
    advance(R, Now);
    CompletionReady.erase(Service);
    if (R.Phase == RolloutPhase::Shift && Now >= completionDue(R) &&
        R.TargetEndpoints > 0 && oldVersionIdle(R))
      CompletionReady.insert(Service);
    if (std::exchange(R.StepDue, false))
      Out.push_back(describe(R));
  }
  return Out;
}

RolloutStep RolloutController::describe(const Rollout &R) const {
  RolloutStep Out{R.Order.Service,
                  R.Order.Target,
                  R.Order.Id,
                  R.Phase,
                  R.Reason,
                  R.Verdict,
                  0,
                  0,
                  0};
  for (const auto &[Name, S] : R.Sources) {
    Out.Requests += S.Evidence.Requests;
    Out.TargetRequests += S.Evidence.TargetRequests;
    Out.OldUnrepeatable += S.Evidence.OldUnrepeatable;
  }
  return Out;
}

std::vector<StatusRecord> RolloutController::unwritten() const {
  std::vector<StatusRecord> Out = Abandoned;
  for (const auto &[Service, R] : Rollouts) {
    RolloutState Wanted = RolloutState::Running;
    if (R.Phase == RolloutPhase::RolledBack)
      Wanted = RolloutState::RolledBack;
    else if (R.Phase == RolloutPhase::Completed ||
             CompletionReady.contains(Service))
      Wanted = RolloutState::Completed;
    if (R.Stored != Wanted)
      Out.push_back({R.Order.Service, R.Order.Target, R.Order.Id, Wanted});
  }
  return Out;
}

std::vector<RolloutDecision>
RolloutController::decisionsFor(const std::string &Entry,
                                std::uint64_t Incarnation) const {
  std::vector<RolloutDecision> Out;
  for (const auto &[Service, R] : Rollouts)
    Out.push_back({R.Order.Service, R.Order.Target, R.Order.Id, R.Phase,
                   R.Budget.allowance(Entry, Incarnation), completionDue(R)});
  return Out;
}

} // namespace hyssoprail::rollout
