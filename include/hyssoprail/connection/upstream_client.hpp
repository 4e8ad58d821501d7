#ifndef HYSSOPRAIL_CONNECTION_UPSTREAM_CLIENT_HPP
#define HYSSOPRAIL_CONNECTION_UPSTREAM_CLIENT_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "hyssoprail/connection/http_message.hpp"

namespace hyssoprail {

/// How far an upstream exchange came.
enum class UpstreamEnd {
  Complete, ///< the whole answer arrived, framed as HTTP says
  NotSent,  ///< no connection: nothing reached the endpoint
  Broken,   ///< the connection ended or the bytes were no answer
  TimedOut, ///< no complete head in time
};

/// Functions called while an answer arrives. OnEnd is called exactly once
/// unless the exchange is cancelled.
struct UpstreamHandlers {
  /// Decides whether a head answers this request; answers to earlier requests
  /// that come late on a kept connection are skipped.
  std::function<bool(const HttpResponse &Head)> MatchesRequest;
  std::function<void(HttpResponse Head)> OnHead;
  std::function<void(std::string_view Data)> OnData;
  std::function<void(UpstreamEnd End, std::string Detail)> OnEnd;
};

/// One request to an endpoint.
struct UpstreamCall {
  std::string Authority; ///< "IP:PORT"
  /// Incarnation that is expected there. A connection kept from another one is
  /// not used: it would be reset, and the request would count as lost.
  std::string Incarnation;
  HttpRequest Request; ///< its Host header is sent as given
  std::chrono::milliseconds ConnectTimeout{300};
  std::chrono::milliseconds HeadTimeout{15'000}; ///< from the start
};

/// A request that is under way.
class UpstreamExchange {
public:
  virtual ~UpstreamExchange() = default;

  /// Closes the connection; no function is called afterwards.
  virtual void cancel() = 0;
};

/// Counters of an UpstreamClient.
struct UpstreamCounters {
  std::uint64_t Connects = 0;
  std::uint64_t Reuses = 0;
  std::uint64_t StaleResponses = 0; ///< answers to earlier requests
  std::uint64_t StrayDataConnections =
      0; ///< connections with bytes after an answer
};

/// HTTP/1.1 client for endpoints that may be faulty: an answer counts only if
/// its framing is whole, a kept connection is used again only if nothing came
/// after the last answer, and late answers are told from the awaited one. A
/// request is never sent twice. Used on the thread of its io_context.
class UpstreamClient {
public:
  virtual ~UpstreamClient() = default;

  virtual std::shared_ptr<UpstreamExchange> send(UpstreamCall Call,
                                                 UpstreamHandlers Handlers) = 0;

  virtual const UpstreamCounters &counters() const = 0;
};

std::unique_ptr<UpstreamClient>
makeUpstreamClient(boost::asio::io_context &Context);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_UPSTREAM_CLIENT_HPP
