#ifndef HYSSOPRAIL_CONNECTION_UPSTREAM_CLIENT_HPP
#define HYSSOPRAIL_CONNECTION_UPSTREAM_CLIENT_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "hyssoprail/connection/http_message.hpp"
#include "hyssoprail/connection/idle_bounds.hpp"

namespace hyssoprail {

/// How an upstream exchange ended.
enum class UpstreamEnd {
  Complete, ///< a complete response with valid framing arrived
  Closed,   ///< the response has neither length nor chunks, and the connection
            ///< was closed after it: all that was sent has arrived, but the
            ///< endpoint may have ended in the middle of it
  NotSent,  ///< no connection: nothing reached the endpoint
  Broken,   ///< the connection failed or the response was invalid
  TimedOut, ///< no complete response head before the timeout
};

/// Callbacks of an exchange. OnEnd is called exactly once unless the exchange
/// is cancelled.
struct UpstreamHandlers {
  /// Returns whether a response head belongs to this request. Others, such as
  /// late responses to earlier requests on a reused connection, are skipped.
  std::function<bool(const HttpResponse &Head)> MatchesRequest;
  /// Returns whether a response head names a request. One that names none may
  /// belong to an earlier request, so it ends the exchange as broken if there
  /// was one on the connection. Not set: responses name no requests.
  std::function<bool(const HttpResponse &Head)> NamesRequest;
  std::function<void(HttpResponse Head)> OnHead;
  std::function<void(std::string_view Data)> OnData;
  std::function<void(UpstreamEnd End, std::string Detail)> OnEnd;
};

/// One request to an endpoint.
struct UpstreamCall {
  std::string Authority; ///< "IP:PORT"
  /// Expected incarnation of the endpoint. An idle connection to another
  /// incarnation is not reused: it would be reset, and the request would count
  /// as lost.
  std::string Incarnation;
  /// Id that the response names; empty if none. The request is not sent on a
  /// connection on which this id was sent before: a late copy of the earlier
  /// response could not be told from the response to this request.
  std::string RequestId;
  HttpRequest Request; ///< its Host header is sent as given
  /// Sent instead of Request.Body unless it is nullptr. All sends of a request
  /// share it.
  std::shared_ptr<const std::string> Body;
  std::chrono::milliseconds ConnectTimeout{300};
  /// From the start of the exchange to the end of the response head. If there
  /// is no OnEnd, nobody can tell when to cancel the exchange, and this holds
  /// for the whole response.
  std::chrono::milliseconds HeadTimeout{15'000};
};

/// Handle of a request in progress.
class UpstreamExchange {
public:
  virtual ~UpstreamExchange() = default;

  /// Closes the connection; no handler is called afterwards.
  virtual void cancel() = 0;

  /// Gives the request up, but reads the head of its response, which may state
  /// something of the endpoint. The connection is half closed at once, so the
  /// endpoint can tell, and closed after the head or \p HeadWait. Of \p
  /// Handlers, which take the place of the earlier ones, only MatchesRequest,
  /// NamesRequest and OnHead are called. The same as cancel() if the request
  /// was not written yet, or if the head has arrived.
  virtual void abandon(std::chrono::milliseconds HeadWait,
                       UpstreamHandlers Handlers) = 0;

  /// Since when the connection is open that the request was sent on; nullopt
  /// before it is sent.
  virtual std::optional<std::chrono::steady_clock::time_point>
  connectedAt() const = 0;
};

/// Counters of an UpstreamClient.
struct UpstreamCounters {
  std::uint64_t Connects = 0;
  std::uint64_t Reuses = 0;
  std::uint64_t StaleResponses = 0; ///< responses to earlier requests
  /// Connections closed because data followed a response.
  std::uint64_t StrayDataConnections = 0;
};

/// HTTP/1.1 client for endpoints that may be faulty: a response is accepted
/// only if its framing is complete or it has none, a connection is reused only
/// if no data followed the last response, and late responses to earlier
/// requests are skipped. A request is never sent twice. An idle connection is
/// closed when the endpoint closes it or sends on it, and when its time is
/// over. Must be used on the thread of its io_context.
class UpstreamClient {
public:
  virtual ~UpstreamClient() = default;

  virtual std::shared_ptr<UpstreamExchange> send(UpstreamCall Call,
                                                 UpstreamHandlers Handlers) = 0;

  /// Closes the connections to an incarnation that has left: idle ones at once,
  /// those in use after their responses. Those to \p KeptAuthority stay; empty:
  /// none does.
  virtual void closeIdle(const std::string &Incarnation,
                         const std::string &KeptAuthority) = 0;

  /// Closes the \p Count idle connections that were unused for longest; returns
  /// how many there were.
  virtual std::size_t closeOldestIdle(std::size_t Count) = 0;

  /// Idle connections beyond the bounds are closed.
  virtual void setIdleBounds(IdleBounds Bounds) = 0;

  virtual std::size_t idleConnections() const = 0;

  virtual UpstreamCounters counters() const = 0;
};

std::unique_ptr<UpstreamClient>
makeUpstreamClient(boost::asio::io_context &Context);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_UPSTREAM_CLIENT_HPP
