#include "hyssoprail/gateway/rollout_messages.hpp"

#include <algorithm>
#include <limits>

namespace hyssoprail::gateway {
namespace {

std::uint32_t millisOf(Duration D) {
  const auto Millis = std::chrono::duration_cast<milliseconds>(D).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      Millis, 0, std::numeric_limits<std::uint32_t>::max()));
}

void encodeAnswers(const rollout::RouteAnswers &From, bool Target,
                   wire::RolloutEvidence &To) {
  for (const auto &[Route, Counts] : From) {
    wire::VersionAnswers *Out = To.add_answers();
    Out->set_route(Route);
    Out->set_target(Target);
    Out->set_total(Counts.Total);
    Out->set_failed(Counts.Failed);
    for (const std::uint64_t Count : Counts.Latencies)
      Out->add_latency_buckets(Count);
  }
}

} // namespace

void encodeEvidence(const rollout::RolloutEvidence &From,
                    wire::RolloutEvidence &To) {
  To.set_service(From.Service);
  To.set_order(From.Order.Offset);
  To.set_era(From.Order.Era);
  To.set_requests(From.Requests);
  To.set_target_requests(From.TargetRequests);
  To.set_allowance(From.Allowance);
  To.set_old_runs(From.OldRuns);
  To.set_old_unrepeatable(From.OldUnrepeatable);
  To.set_rolled_back(From.RolledBack);
  To.set_longest_run_ms(millisOf(From.LongestRun));
  encodeAnswers(From.Answers.Old, false, To);
  encodeAnswers(From.Answers.Target, true, To);
}

rollout::RolloutEvidence decodeEvidence(const wire::RolloutEvidence &From) {
  rollout::RolloutEvidence Out;
  Out.Service = From.service();
  Out.Order = {From.era(), From.order()};
  Out.Requests = From.requests();
  Out.TargetRequests = From.target_requests();
  Out.Allowance = From.allowance();
  Out.OldRuns = From.old_runs();
  Out.OldUnrepeatable = From.old_unrepeatable();
  Out.RolledBack = From.rolled_back();
  Out.LongestRun = milliseconds(From.longest_run_ms());
  for (const wire::VersionAnswers &Answers : From.answers()) {
    rollout::AnswerCounts &Counts =
        (Answers.target() ? Out.Answers.Target
                          : Out.Answers.Old)[Answers.route()];
    Counts.Total = Answers.total();
    Counts.Failed = Answers.failed();
    const auto Buckets = std::min<std::size_t>(
        rollout::LatencyClasses,
        static_cast<std::size_t>(Answers.latency_buckets_size()));
    std::copy_n(Answers.latency_buckets().begin(), Buckets,
                Counts.Latencies.begin());
  }
  return Out;
}

void encodeDecision(const rollout::RolloutDecision &From, TimePoint Now,
                    wire::RolloutDecision &To) {
  To.set_service(From.Service);
  To.set_target(From.Target);
  To.set_order(From.Order.Offset);
  To.set_era(From.Order.Era);
  To.set_phase(static_cast<std::uint32_t>(From.Phase));
  To.set_allowance(From.Allowance);
  To.set_completes_in_ms(millisOf(From.CompletesAt - Now));
}

std::optional<rollout::RolloutDecision>
decodeDecision(const wire::RolloutDecision &From, TimePoint Now) {
  if (From.phase() >= rollout::RolloutPhaseNames.size())
    return std::nullopt;
  rollout::RolloutDecision Out;
  Out.Service = From.service();
  Out.Target = From.target();
  Out.Order = {From.era(), From.order()};
  Out.Phase = static_cast<rollout::RolloutPhase>(From.phase());
  Out.Allowance = From.allowance();
  Out.CompletesAt = Now + milliseconds(From.completes_in_ms());
  return Out;
}

} // namespace hyssoprail::gateway
