// The part of GatewayRuntime that judges requests of callers.
#include <algorithm>
#include <utility>

#include "hyssoprail/gateway/gateway_runtime.hpp"
#include "hyssoprail/routing/request_fingerprint.hpp"

namespace hyssoprail::gateway {
namespace {

using routing::AccountPolicy;
using routing::FlowRequest;
using routing::RejectReason;
using routing::RequestInfo;
using routing::RouteKind;
using routing::RoutePolicy;

constexpr unsigned StatusInternalError = 500;

constexpr milliseconds NoConfigurationRetryAfter{400};

/// Requests are denied by a configuration that was the newest one this long ago
/// or later: changes have to be in force within this time.
constexpr milliseconds MaxDenialStepAge{2'000};
constexpr milliseconds MinQuotaRetryAfter{100};

/// A request that was ready for longer than this before it could be read is
/// rejected: the queue of this entry's processor is no place to wait.
constexpr milliseconds MaxReadDelay{250};

/// A caller that was rejected for this reaches another entry when it returns.
constexpr milliseconds OverloadedRetryAfter{100};

/// Time to allow for a stream from its arrival to its first event, and the
/// factor by which it may run longer than estimated.
constexpr milliseconds ExpectedFirstEventTime{400};
constexpr double RunTimeSafetyFactor = 1.5;

/// Longest run time of nearly all calls, in multiples of their route's
/// objective.
constexpr int CallRunTimeInObjectives = 3;

/// Without prompt parts, a request is known again by its body.
bool needsFingerprint(const AcceptedRequest &Request) {
  return Request.Route->Kind != RouteKind::Stream ||
         Request.Info.PromptParts.empty();
}

} // namespace

HttpServerOptions GatewayRuntime::callerServerOptions() {
  const std::weak_ptr<GatewayRuntime *> Weak = Self;
  Bodies =
      std::make_shared<BodyAdmission>(CallerMemory, Time, [Weak](bool Full) {
        const auto Runtime = Weak.lock();
        if (!Runtime)
          return;
        const MemoryAccount &Memory = *(*Runtime)->CallerMemory;
        (*Runtime)->Log.write(
            LogCategory::Outcome, Full ? "memory_full" : "memory_free", "",
            {{"bytes", Memory.reserved()}, {"limit", Memory.limit()}});
      });
  HttpServerOptions Options;
  // What the store, entries and endpoints send goes before what callers send.
  Options.Executor = CallerWork.executor();
  Options.Bodies = Bodies;
  Options.OnHead = [this](const HttpRequest &Head) {
    HeadDecision Out;
    const std::string_view Id = Protocol.requestId(Head);
    if (!Guard.run(Boundary::Request, Id, [&] { Out = judgeHead(Head); }))
      Out.Rejection = Protocol.failure(StatusInternalError, Id);
    return Out;
  };
  Options.OnDefect = [this](std::string_view Reason) {
    Guard.report(Boundary::Request, "", Reason);
  };
  return Options;
}

HeadDecision GatewayRuntime::judgeHead(const HttpRequest &Head) {
  auto Accepted = std::make_shared<AcceptedRequest>();
  HeadDecision Out;
  Out.Rejection = rejectIfReadLate(Head);
  if (Out.Rejection)
    return Out;
  Out.Rejection = judge(Head, *Accepted);
  if (Out.Rejection)
    return Out;
  // The request must still run after it has waited for memory.
  const RequestInfo &Info = Accepted->Info;
  const RoutePolicy &Route = *Accepted->Route;
  const Duration Timeout = Info.Deadline > milliseconds(0)
                               ? std::min(Info.Deadline, Route.Timeout)
                               : Route.Timeout;
  const Duration MaxWait =
      std::max(Duration{0}, Timeout - expectedRunTime(Route, Info));
  Out.Admission = Accepted;
  Out.MaxWait = std::chrono::duration_cast<milliseconds>(MaxWait);
  Out.OnNoMemory = [this, Id = Info.Id](milliseconds RetryAfter) {
    return rejectForMemory(Id, RetryAfter);
  };
  return Out;
}

/// Before anything else is found out about the request, as each rejection has
/// to cost much less than what it saves.
std::optional<HttpResponse>
GatewayRuntime::rejectIfReadLate(const HttpRequest &Head) {
  const Duration Waited = CallerWork.currentWait();
  if (Waited <= MaxReadDelay)
    return std::nullopt;
  const std::string_view Id = Protocol.requestId(Head);
  const RejectReason Reason = RejectReason::Overloaded;
  Log.write(LogCategory::Outcome, "reject", Id,
            {{"reason", rejectReasonName(Reason)},
             {"retry_after_ms", OverloadedRetryAfter},
             {"read_delay_ms", Waited}});
  Counters
      .counter("rejections",
               {{"reason", std::string(rejectReasonName(Reason))}})
      .add();
  return Protocol.rejection(Reason, OverloadedRetryAfter, Id);
}

HttpResponse GatewayRuntime::rejectForMemory(const std::string &Id,
                                             milliseconds RetryAfter) {
  Log.write(LogCategory::Outcome, "reject", Id,
            {{"reason", "memory"}, {"retry_after_ms", RetryAfter}});
  Counters.counter("rejections", {{"reason", "memory"}}).add();
  return Protocol.rejection(RejectReason::NoCapacity, RetryAfter, Id);
}

/// Returns the response to a request that is rejected.
std::optional<HttpResponse> GatewayRuntime::judge(const HttpRequest &Head,
                                                  AcceptedRequest &Out) {
  Result<RequestInfo> Decoded = Protocol.decode(Head);
  if (const Error *E = errorOf(Decoded)) {
    Log.write(LogCategory::Outcome, "bad_request", "", {{"field", E->Field}});
    return jsonResponse(400, "{\"error\":\"bad request\"}");
  }
  Out.Info = std::move(valueOf(Decoded));
  Out.BeyondQuota = false;
  Out.HeadArrival = readyAt();
  Out.Config = Config;
  if (!Config)
    return rejection(Out.Info, RejectReason::NoConfiguration,
                     NoConfigurationRetryAfter);
  Out.Route = Config->route(Out.Info.Host, Out.Info.Path);
  if (!Out.Route)
    return denial(Out.Info, RejectReason::NoRoute);
  if (cannotFinishBeforeStop(*Out.Route, Out.Info))
    return rejection(Out.Info, RejectReason::Draining, DrainingRetryAfter);
  Out.Account =
      Out.Info.ApiKey.empty() ? nullptr : Config->accountOfKey(Out.Info.ApiKey);
  const bool MayRunWithoutKey =
      Out.Info.ApiKey.empty() && Out.Route->AllowAnonymous;
  if (!Out.Account && Config->requiresKeys() && !MayRunWithoutKey)
    return denial(Out.Info, RejectReason::NoKey);
  if (!needsFingerprint(Out) &&
      Crashes.watch(Out.Info).isQuarantined(Time.now()))
    return rejection(Out.Info, RejectReason::Quarantined,
                     routing::QuarantineRetryAfter);
  return Out.Account ? takeQuota(Out) : std::nullopt;
}

/// A route or key that this entry does not know may have been added since. If
/// it may be behind the others, it does not know, and another entry may.
HttpResponse GatewayRuntime::denial(const RequestInfo &Info,
                                    RejectReason Reason) {
  return Feed.stepAge() > MaxDenialStepAge
             ? rejection(Info, RejectReason::NoConfiguration,
                         NoConfigurationRetryAfter)
             : rejection(Info, Reason, {});
}

std::optional<HttpResponse>
GatewayRuntime::takeQuota(AcceptedRequest &Request) {
  const RequestInfo &Info = Request.Info;
  const std::string &Account = Request.Account->Name;
  const double Tokens =
      Info.Tokens ? double(Info.Tokens->Prompt) + Info.Tokens->MaxOutput
                  : Request.Account->DefaultTokens;
  const routing::QuotaDecision D = Quota.take(Account, Tokens, Time.now());
  if (!D.Granted) {
    Log.write(LogCategory::Outcome, "over_quota", Info.Id,
              {{"account", Account},
               {"tokens", Tokens},
               {"debt", D.Debt},
               {"burst", D.Burst},
               {"version", Config->Version}});
    return rejection(
        Info, RejectReason::OverQuota,
        std::max(MinQuotaRetryAfter,
                 std::chrono::duration_cast<milliseconds>(D.RetryAfter)));
  }
  Request.BeyondQuota = D.BeyondQuota;
  const std::weak_ptr<GatewayRuntime *> Weak = Self;
  Request.Quota = QuotaGrant(Tokens, [Weak, Account, Tokens] {
    if (const auto Runtime = Weak.lock())
      (*Runtime)->Quota.refund(Account, Tokens, (*Runtime)->Time.now());
  });
  return std::nullopt;
}

/// The configuration may have changed, and a stop may have begun, while the
/// body was read.
void GatewayRuntime::handle(const Exchange &Caller) {
  const auto Accepted =
      std::static_pointer_cast<AcceptedRequest>(Caller->admission());
  if (Accepted->Config != Config) {
    Accepted->Quota.giveBack();
    const TimePoint HeadArrival = Accepted->HeadArrival;
    if (auto Rejection = judge(Caller->request(), *Accepted))
      return Caller->respond(std::move(*Rejection));
    Accepted->HeadArrival = HeadArrival;
  }
  RequestInfo &Info = Accepted->Info;
  const auto RejectUnspent = [&](RejectReason Reason, milliseconds RetryAfter) {
    Accepted->Quota.giveBack();
    Caller->respond(rejection(Info, Reason, RetryAfter));
  };
  if (cannotFinishBeforeStop(*Accepted->Route, Info))
    return RejectUnspent(RejectReason::Draining, DrainingRetryAfter);
  if (needsFingerprint(*Accepted))
    Info.Fingerprint = routing::requestFingerprint(
        Caller->request(), Info.Host,
        Accepted->Account ? Accepted->Account->Name : "");
  if (Crashes.watch(Info).isQuarantined(Time.now()))
    return RejectUnspent(RejectReason::Quarantined,
                         routing::QuarantineRetryAfter);
  startSession(Caller, flowRequest(*Accepted), Accepted->Quota.spend());
}

Duration GatewayRuntime::expectedRunTime(const RoutePolicy &Route,
                                         const RequestInfo &Info) const {
  if (Route.Kind != RouteKind::Stream)
    return Route.LatencyObjective * CallRunTimeInObjectives;
  const std::uint32_t Tokens = Lengths.estimate(
      Info.OutputHint, Info.Tokens ? Info.Tokens->MaxOutput : 0);
  return ExpectedFirstEventTime +
         std::chrono::duration_cast<Duration>(Lengths.generationTime(Tokens) *
                                              RunTimeSafetyFactor);
}

/// After a stop has begun, callers still send requests on their open
/// connections. Requests that would not end within the stop grace are rejected,
/// so that the caller sends them to another entry.
bool GatewayRuntime::cannotFinishBeforeStop(const RoutePolicy &Route,
                                            const RequestInfo &Info) const {
  if (!Stopping)
    return false;
  if (Draining && Route.Kind == RouteKind::Stream)
    return true;
  return Time.now() + expectedRunTime(Route, Info) > stopDeadline();
}

FlowRequest GatewayRuntime::flowRequest(const AcceptedRequest &Accepted) const {
  const RoutePolicy &Route = *Accepted.Route;
  const AccountPolicy *Account = Accepted.Account;
  FlowRequest R;
  R.SessionId = std::to_string(NextSessionKey);
  R.Route = Route;
  R.Service = serviceFor(Route, Accepted.Info);
  if (Account)
    R.Account = Account->Name;
  R.Priority =
      Account && Account->Priority ? *Account->Priority : Route.Priority;
  R.SendsPriority =
      routing::overloadPolicyConfigured(Settings.Overload, *Config, R.Service);
  R.BeyondQuota = Accepted.BeyondQuota;
  R.Arrival = readyAt();
  R.AnswerBy = R.Arrival + Route.Timeout;
  // The caller waits from the time at which it sent the head.
  if (Accepted.Info.Deadline > milliseconds(0))
    R.AnswerBy =
        std::min(R.AnswerBy, Accepted.HeadArrival + Accepted.Info.Deadline);
  // The process ends at that time even if the endpoint has not answered, so the
  // caller gets a final answer before it.
  if (Stopping)
    R.AnswerBy = std::min(R.AnswerBy, stopDeadline());
  const routing::ServicePolicy *Service = Config->service(R.Service);
  if (Service && Service->Engine) {
    R.HandleRetention = Service->Engine->HandleRetention;
    R.EventTokens = Service->Engine->EventTokens;
  }
  R.Info = Accepted.Info;
  return R;
}

HttpResponse GatewayRuntime::rejection(const RequestInfo &Info,
                                       RejectReason Reason,
                                       milliseconds RetryAfter) {
  Log.write(LogCategory::Outcome, "reject", Info.Id,
            {{"reason", rejectReasonName(Reason)},
             {"retry_after_ms", RetryAfter},
             {"version", Config ? Config->Version : 0}});
  Counters
      .counter("rejections",
               {{"reason", std::string(rejectReasonName(Reason))}})
      .add();
  return Protocol.rejection(Reason, RetryAfter, Info.Id);
}

} // namespace hyssoprail::gateway
