#include "hyssoprail/entry/scheduling_service.hpp"

#include "hyssoprail/request/reference_answer.hpp"

namespace hyssoprail::entry {
namespace {

ScheduledEnd scheduledEnd(WorkEndReason How) {
  switch (How) {
  case WorkEndReason::Completed:
    return ScheduledEnd::Completed;
  case WorkEndReason::Refused:
    return ScheduledEnd::Refused;
  case WorkEndReason::Failed:
    return ScheduledEnd::Failed;
  case WorkEndReason::Cancelled:
    return ScheduledEnd::Cancelled;
  }
  return ScheduledEnd::Cancelled;
}

ScheduleRequest scheduleRequest(const FlowSpec &Spec,
                                const FindPlacement &Ask) {
  ScheduleRequest R;
  R.RequestId = Spec.RequestId;
  R.Account = Spec.Account;
  R.Route = Spec.Route;
  R.Pool = Spec.Pool;
  R.Class = Spec.Class;
  R.Weight = Spec.Weight;
  R.PlainCall = Spec.Completion.Prompt.empty();
  R.PromptTokens = Spec.Completion.PromptTokens + Ask.ResumedTokens;
  R.MaxTokens = Spec.Completion.MaxTokens - Ask.ResumedTokens;
  R.FirstTokenBy = Ask.Started ? TimePoint::max() : Spec.FirstTokenBy;
  R.Resumed = Ask.Attempt > 1;
  R.AvoidEndpoint = Ask.AvoidEndpoint;
  if (!R.PlainCall) {
    R.Prefixes = prefixHashes(Spec.Completion.Prompt);
    R.PrefixBlockTokens = PrefixBlockTokens;
  }
  return R;
}

Placement placement(const SchedulePlacement &P) {
  return {P.Decode,      P.Prefill,         P.ReserveFirst,     P.NeededIn,
          P.ReserveWait, P.PrefillEstimate, P.TransferEstimate, P.Version};
}

} // namespace

void SchedulingService::configure(ConfigPtr Config) {
  std::lock_guard Lock(Mutex);
  Requests.configure(std::move(Config), Time.now());
  Changed = true;
}

void SchedulingService::report(std::string_view Endpoint,
                               const wire::HeartbeatAck &Ack) {
  std::lock_guard Lock(Mutex);
  Requests.updateLoad(Endpoint, Ack.load(), Ack.leaving(), Time.now());
  Changed = true;
}

void SchedulingService::reachable(std::string_view Endpoint, bool Value) {
  std::lock_guard Lock(Mutex);
  Requests.setReachable(Endpoint, Value);
}

void SchedulingService::learnCacheSize(const wire::PrefillDone &Done,
                                       std::uint32_t Tokens) {
  std::lock_guard Lock(Mutex);
  Requests.learnCacheSize(Done.kv_bytes(), Tokens);
}

void SchedulingService::submit(const FlowSpec &Spec, const FindPlacement &Ask) {
  ScheduleRequest Request = scheduleRequest(Spec, Ask);
  std::lock_guard Lock(Mutex);
  Requests.submit(std::move(Request), Time.now());
  Changed = true;
}

void SchedulingService::workEnded(const FlowSpec &Spec, const EndWork &End) {
  std::lock_guard Lock(Mutex);
  Requests.workEnded(Spec.RequestId, End.Work.leg() != wire::LEG_PREFILL,
                     End.Endpoint, scheduledEnd(End.Reason), Time.now());
  Changed = true;
}

void SchedulingService::requestEnded(const FlowSpec &Spec,
                                     std::uint32_t OutputTokens) {
  std::lock_guard Lock(Mutex);
  Requests.cancel(Spec.RequestId);
  Requests.completed(Spec.RequestId, OutputTokens);
  Changed = true;
}

void SchedulingService::pump(RequestShards &Shards, bool Always) {
  while (Changed.exchange(false) || Always) {
    Always = false;
    std::vector<ScheduleDecision> Decisions;
    {
      std::lock_guard Lock(Mutex);
      Decisions = Requests.poll(Time.now());
    }
    for (const ScheduleDecision &D : Decisions) {
      if (const auto *P = std::get_if<SchedulePlacement>(&D)) {
        Shards.post(P->RequestId,
                    [P](RequestFlow &F, TimePoint Now, FlowActions &Out) {
                      F.placed(placement(*P), Now, Out);
                    });
        continue;
      }
      const auto &R = std::get<ScheduleRefusal>(D);
      Shards.post(R.RequestId,
                  [&R](RequestFlow &F, TimePoint Now, FlowActions &Out) {
                    F.notPlaced(R.Cause, Now, Out);
                  });
    }
  }
}

std::size_t SchedulingService::queued() const {
  std::lock_guard Lock(Mutex);
  return Requests.queued();
}

} // namespace hyssoprail::entry
