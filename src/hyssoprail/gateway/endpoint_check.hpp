#ifndef HYSSOPRAIL_GATEWAY_ENDPOINT_CHECK_HPP
#define HYSSOPRAIL_GATEWAY_ENDPOINT_CHECK_HPP

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/connection/upstream_client.hpp"
#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/gateway/endpoint_protocol.hpp"

namespace hyssoprail::gateway {

/// What a check of an endpoint has found.
enum class EndpointCheckResult {
  Lives,     ///< the expected endpoint has answered
  Other,     ///< another endpoint has the address
  Restarted, ///< the endpoint has started again under its id
  Unclear,   ///< the answer does not say who gave it
  NotSent,   ///< no connection to the address
  Broken,    ///< the connection failed before the answer
  Silent,    ///< no answer in time
};

std::string_view endpointCheckResultName(EndpointCheckResult Result);

/// Whom to ask, and for how long.
struct EndpointCheckCall {
  std::string EndpointId;
  std::string Address;   ///< "IP:PORT"
  std::string RequestId; ///< of the question; no request of a caller has it
  milliseconds Limit{0};
};

/// How a check ended.
struct EndpointCheckReport {
  EndpointCheckResult Result = EndpointCheckResult::Broken;
  EndpointIdentity AnsweredBy; ///< as far as the answer says
  std::string Detail;          ///< reason, for the log
  Duration Took{};
};

/// Asks an endpoint whether it lives, after it has closed the connection of a
/// response that has neither length nor chunks: if its process has ended, the
/// kernel closes its connections in the same way. The answer to a question that
/// was sent after that cannot come from a process that has ended. An idle
/// connection to the endpoint is used if there is one. Must be used on the
/// event loop thread.
class EndpointCheck : public std::enable_shared_from_this<EndpointCheck> {
public:
  using Callback = std::function<void(const EndpointCheckReport &)>;

  EndpointCheck(boost::asio::io_context &Context, const Clock &Time,
                UpstreamClient &Endpoints, const EndpointProtocol &Protocol);

  /// Asks. \p OnDone is called once, in a later event, unless the check is
  /// cancelled.
  void start(const EndpointCheckCall &Call, Callback OnDone);

  /// Closes the connection; nothing is reported afterwards.
  void cancel();

private:
  UpstreamHandlers handlers();
  void onEnd(UpstreamEnd End, const std::string &Detail);
  void report(EndpointCheckResult Result, const std::string &Detail);
  EndpointCheckResult readAnswer();

  const Clock &Time;
  UpstreamClient &Endpoints;
  const EndpointProtocol &Protocol;
  boost::asio::steady_timer Timer;
  std::string EndpointId;
  std::string RequestId;
  std::shared_ptr<UpstreamExchange> Exchange;
  HttpResponse Answer;
  TimePoint StartedAt{};
  EndpointIdentity AnsweredBy;
  Callback OnDone;
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_ENDPOINT_CHECK_HPP
