#include "hyssoprail/gateway/endpoint_check.hpp"

#include <array>
#include <utility>

namespace hyssoprail::gateway {
namespace {

/// A refusal names its endpoint in a few bytes. More of it is not read.
constexpr std::size_t MaxAnswerBytes = std::size_t{64} * 1024;

constexpr std::array<std::string_view, 7> ResultNames{
    "lives",    "other_endpoint", "restarted", "unclear",
    "not_sent", "broken",         "silent"};

} // namespace

std::string_view endpointCheckResultName(EndpointCheckResult Result) {
  return ResultNames.at(static_cast<std::size_t>(Result));
}

EndpointCheck::EndpointCheck(boost::asio::io_context &Context,
                             const Clock &Time, UpstreamClient &Endpoints,
                             const EndpointProtocol &Protocol)
    : Time(Time), Endpoints(Endpoints), Protocol(Protocol), Timer(Context) {}

void EndpointCheck::start(const EndpointCheckCall &Call, Callback NewOnDone) {
  EndpointId = Call.EndpointId;
  RequestId = Call.RequestId;
  OnDone = std::move(NewOnDone);
  StartedAt = Time.now();
  UpstreamCall Question;
  Question.Authority = Call.Address;
  Question.Incarnation = Call.EndpointId;
  Question.RequestId = Call.RequestId;
  Question.Request = Protocol.identityRequest(Call.EndpointId, Call.Address,
                                              Call.RequestId, Call.Limit);
  Question.ConnectTimeout = Question.HeadTimeout = Call.Limit;
  // The timeouts of the connection end with the head of the answer.
  Timer.expires_after(Call.Limit);
  Timer.async_wait([Weak = weak_from_this()](boost::system::error_code Code) {
    const auto Self = Weak.lock();
    if (!Self || Code || !Self->OnDone)
      return;
    Self->Exchange->cancel();
    Self->report(EndpointCheckResult::Silent, "no answer in time");
  });
  Exchange = Endpoints.send(std::move(Question), handlers());
}

void EndpointCheck::cancel() {
  OnDone = {};
  Timer.cancel();
  if (Exchange)
    Exchange->cancel();
}

UpstreamHandlers EndpointCheck::handlers() {
  UpstreamHandlers Out;
  const auto Self = shared_from_this();
  // An answer to an earlier request was made before the connection closed.
  Out.MatchesRequest = [Self](const HttpResponse &Head) {
    return Self->Protocol.isResponseTo(Head, Self->RequestId) ||
           Self->Protocol.identity(Head, Self->RequestId);
  };
  Out.OnHead = [Self](HttpResponse Head) { Self->Answer = std::move(Head); };
  Out.OnData = [Self](std::string_view Data) {
    if (Self->Answer.Body.size() + Data.size() <= MaxAnswerBytes)
      Self->Answer.Body.append(Data);
  };
  Out.OnEnd = [Self](UpstreamEnd End, const std::string &Detail) {
    Self->onEnd(End, Detail);
  };
  return Out;
}

void EndpointCheck::onEnd(UpstreamEnd End, const std::string &Detail) {
  switch (End) {
  case UpstreamEnd::Complete:
  case UpstreamEnd::Closed: // its head has come from a process that lives
    return report(readAnswer(), Detail);
  case UpstreamEnd::NotSent:
    return report(EndpointCheckResult::NotSent, Detail);
  case UpstreamEnd::TimedOut:
    return report(EndpointCheckResult::Silent, Detail);
  case UpstreamEnd::Broken:
    return report(EndpointCheckResult::Broken, Detail);
  }
}

EndpointCheckResult EndpointCheck::readAnswer() {
  const auto Stated = Protocol.identity(Answer, RequestId);
  if (!Stated)
    return EndpointCheckResult::Unclear;
  AnsweredBy = *Stated;
  return AnsweredBy.Id == EndpointId ? EndpointCheckResult::Lives
                                     : EndpointCheckResult::Other;
}

void EndpointCheck::report(EndpointCheckResult Result,
                           const std::string &Detail) {
  Timer.cancel();
  const Callback Done = std::exchange(OnDone, {});
  if (Done)
    Done({Result, AnsweredBy, Detail, Time.now() - StartedAt});
}

} // namespace hyssoprail::gateway
