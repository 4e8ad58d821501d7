// The part of RequestSession that judges whether an answer without length or
// chunks is complete.
#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/gateway/request_session.hpp"

namespace hyssoprail::gateway {
namespace {

using routing::LegKind;
using routing::LegOutcome;

/// An endpoint that lives answers at once, or after a segment was sent again;
/// one that has vanished is not waited for.
constexpr milliseconds EndpointCheckLimit{500};

/// An endpoint that has started again has registered, and an entry that is in
/// touch with the store has read that, within this time.
constexpr milliseconds RegistrationLimit{2'000};
constexpr milliseconds RecheckInterval{50};

/// Id of the check after the leg \p Leg of the request \p RequestId. It is
/// another one than that of any request, so an endpoint can't mix them up.
std::string checkId(std::string_view RequestId, routing::FlowIo::LegId Leg) {
  return fmt::format("{:016x}",
                     stableHash(fmt::format("check {} {}", Leg, RequestId)));
}

} // namespace

/// True if only the end of the connection tells where an answer for the caller
/// ends. The head of a refusal says all, the document of a prefill is whole or
/// can't be read, and an answer without signature is not passed on.
bool RequestSession::needsCheck(const Leg &L) const {
  if (L.Streaming)
    return true;
  if (L.Kind == LegKind::Prefill)
    return false;
  const HttpResponse Head{L.Response.Status, L.Response.Headers, ""};
  return Services.Protocol.interpret(L.Kind, Head).Outcome ==
         LegOutcome::Answered;
}

/// Asks the endpoint whether it lives. The flow is told of the end only then;
/// its own timers go on and may cancel the leg.
void RequestSession::checkEnd(LegId Id, Leg &L, const std::string &Detail) {
  const auto Left = std::chrono::duration_cast<milliseconds>(
      Request.AnswerBy - Services.Time.now());
  EndpointCheckCall Call;
  Call.EndpointId = L.EndpointId;
  Call.Address = L.EndpointAddress;
  Call.RequestId = checkId(Request.Info.Id, Id);
  Call.Limit = std::clamp(Left, milliseconds(0), EndpointCheckLimit);
  L.Check = std::make_shared<EndpointCheck>(
      Services.Context, Services.Time, Services.Endpoints, Services.Protocol);
  L.Check->start(Call, [Self = shared_from_this(), Id,
                        Detail](const EndpointCheckReport &Report) {
    Self->run(Boundary::Answer, [&] { Self->onChecked(Id, Report, Detail); });
  });
}

void RequestSession::onChecked(LegId Id, const EndpointCheckReport &Report,
                               const std::string &Detail) {
  const auto It = Legs.find(Id);
  if (It == Legs.end())
    return;
  Leg &L = It->second;
  const TimePoint Now = Services.Time.now();
  L.CheckAnsweredAt = L.CheckAnsweredAt.value_or(Now);
  if (needsRegistration(L, Report) &&
      Now < *L.CheckAnsweredAt + RegistrationLimit)
    return checkAgain(Id, L, Report, Detail);
  const EndpointCheckResult Found = judge(L, Report);
  L.Checked = Found;
  const bool Lives = Found == EndpointCheckResult::Lives;
  Services.Log.write(Lives ? LogCategory::Routine : LogCategory::Outcome,
                     "end_check", Request.Info.Id,
                     {{"endpoint", L.EndpointId},
                      {"address", L.EndpointAddress},
                      {"check", checkId(Request.Info.Id, Id)},
                      {"found", endpointCheckResultName(Found)},
                      {"detail", Report.Detail},
                      {"answered_by", Report.AnsweredBy.Id},
                      {"started_at_ms", L.EndpointStartedAtMs},
                      {"answer_started_at_ms", Report.AnsweredBy.StartedAtMs},
                      {"took_ms", Report.Took}});
  endLeg(Id, Lives ? UpstreamEnd::Complete : UpstreamEnd::Broken, Detail);
}

/// True if the endpoint does not say when it has started, and it may have
/// registered a new start that is not known yet. A call is not kept waiting for
/// that, as its deadline is shorter.
bool RequestSession::needsRegistration(
    const Leg &L, const EndpointCheckReport &Report) const {
  return L.Streaming && Report.Result == EndpointCheckResult::Lives &&
         Report.AnsweredBy.StartedAtMs == 0 && L.EndpointStartedAtMs != 0 &&
         Hooks.RegistrationsKnownUntil() < *L.CheckAnsweredAt;
}

void RequestSession::checkAgain(LegId Id, Leg &L,
                                const EndpointCheckReport &Report,
                                const std::string &Detail) {
  L.Recheck = std::make_shared<boost::asio::steady_timer>(Services.Context,
                                                          RecheckInterval);
  L.Recheck->async_wait([Weak = weak_from_this(), Timer = L.Recheck, Id, Report,
                         Detail](boost::system::error_code Code) {
    if (const auto Self = Weak.lock(); Self && !Code)
      Self->run(Boundary::Answer, [&] { Self->onChecked(Id, Report, Detail); });
  });
}

/// An endpoint that has started again under its id since the request was sent
/// is not the one that closed the connection. One of which that is not known
/// proves nothing.
EndpointCheckResult
RequestSession::judge(const Leg &L, const EndpointCheckReport &Report) const {
  if (needsRegistration(L, Report))
    return EndpointCheckResult::Unclear;
  if (Report.Result != EndpointCheckResult::Lives)
    return Report.Result;
  const std::int64_t Expected = L.EndpointStartedAtMs;
  const std::int64_t Stated = Report.AnsweredBy.StartedAtMs;
  const std::int64_t Registered =
      Hooks.RegisteredStart(L.EndpointId).value_or(Expected);
  const bool SaysOther = Expected != 0 && Stated != 0 && Stated != Expected;
  return SaysOther || Registered != Expected ? EndpointCheckResult::Restarted
                                             : EndpointCheckResult::Lives;
}

} // namespace hyssoprail::gateway
