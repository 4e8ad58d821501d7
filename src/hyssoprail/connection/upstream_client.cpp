#include "hyssoprail/connection/upstream_client.hpp"
#include "hyssoprail/connection/ip_port.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>

namespace hyssoprail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::size_t MaxIdlePerAuthority = 24;

/// A connection is closed after this many named requests, because their ids are
/// remembered with it. A new one for every 256 requests costs little.
constexpr std::size_t MaxRequestsPerConnection = 256;

/// Idle time after which a connection is not reused if the endpoint announces
/// none; a request sent while the endpoint closes the connection would be lost.
constexpr milliseconds DefaultIdleTime{2'500};
/// Subtracted from the idle timeout that the endpoint announces.
constexpr milliseconds IdleMargin{700};
constexpr milliseconds MaxIdleTime{20'000};

/// A connection fails if sent data stays unacknowledged for this time, because
/// a peer behind a network partition sends no reset.
constexpr int UserTimeoutMs = 3'000;

constexpr std::uint32_t MaxHeadBytes = 64 * 1024;
constexpr unsigned MaxSkippedResponses = 4;
constexpr std::size_t MaxSkippedBytes = std::size_t{1024} * 1024;

/// Limit of received bytes that cannot be parsed yet: an incomplete response
/// head, or the size and the extensions of a chunk.
constexpr std::size_t MaxBufferedBytes = std::size_t{128} * 1024;

struct Connection {
  explicit Connection(asio::io_context &Context) : Stream(Context) {}
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer{MaxBufferedBytes};
  SteadyTime UsableUntil;
  SteadyTime ConnectedAt;
  std::vector<std::size_t> SentIds; ///< hashes of the ids that were sent on it

  /// Also true, rarely, for an id whose hash is the same.
  bool hasSent(std::size_t IdHash) const {
    return std::find(SentIds.begin(), SentIds.end(), IdHash) != SentIds.end();
  }
};

/// 0 for a request without an id.
std::size_t hashOfId(const std::string &RequestId) {
  return RequestId.empty() ? 0 : std::hash<std::string>()(RequestId);
}

using ConnectionPtr = std::shared_ptr<Connection>;

void setSocketOptions(tcp::socket &Socket) {
  beast::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  Socket.set_option(UserTimeout(UserTimeoutMs), Ignored);
}

/// Returns how long a connection with this Keep-Alive header value
/// ("timeout=N") may stay idle and still be reused.
milliseconds reusableIdleTime(std::string_view KeepAlive) {
  constexpr std::string_view Name = "timeout=";
  const auto At = KeepAlive.find(Name);
  if (At == std::string_view::npos)
    return DefaultIdleTime;
  int Seconds = 0;
  const char *Begin = KeepAlive.data() + At + Name.size();
  std::from_chars(Begin, KeepAlive.data() + KeepAlive.size(), Seconds);
  const milliseconds Announced = std::chrono::seconds(Seconds);
  return std::min(MaxIdleTime, Announced - IdleMargin);
}

/// Idle connections by authority and incarnation, the most recently used last.
class ConnectionPool {
public:
  explicit ConnectionPool(asio::io_context &Context) : Context(Context) {}

  /// Returns an idle connection on which no request with the id \p IdHash was
  /// sent; nullptr if there is none.
  ConnectionPtr take(const std::string &Peer, std::size_t IdHash) {
    const auto Found = Idle.find(Peer);
    if (Found == Idle.end())
      return nullptr;
    auto &Connections = Found->second;
    for (std::size_t I = Connections.size(); I-- > 0;) {
      if (IdHash != 0 && Connections[I]->hasSent(IdHash))
        continue;
      ConnectionPtr C = std::move(Connections[I]);
      Connections.erase(Connections.begin() + static_cast<std::ptrdiff_t>(I));
      if (usable(*C)) {
        ++Counters.Reuses;
        return C;
      }
    }
    if (Connections.empty())
      Idle.erase(Found);
    return nullptr;
  }

  ConnectionPtr create() {
    ++Counters.Connects;
    return std::make_shared<Connection>(Context);
  }

  void keep(const std::string &Peer, ConnectionPtr C, milliseconds IdleTime) {
    if (IdleTime <= milliseconds(0) ||
        C->SentIds.size() >= MaxRequestsPerConnection)
      return;
    auto &Connections = Idle[Peer];
    C->Stream.expires_never();
    C->UsableUntil = std::chrono::steady_clock::now() + IdleTime;
    if (Connections.size() >= MaxIdlePerAuthority)
      Connections.pop_front();
    Connections.push_back(std::move(C));
  }

  /// Closes the idle connections to a peer that has failed.
  void drop(const std::string &Peer) { Idle.erase(Peer); }

  asio::io_context::executor_type executor() { return Context.get_executor(); }

  UpstreamCounters Counters;

private:
  /// Returns false if the idle time is over, or the peer closed the connection
  /// or sent data that belongs to no request.
  bool usable(Connection &C) {
    if (std::chrono::steady_clock::now() > C.UsableUntil)
      return false;
    char Byte = 0;
    beast::error_code Code;
    C.Stream.socket().non_blocking(true, Code);
    C.Stream.socket().receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                              Code);
    if (!Code)
      ++Counters.StrayDataConnections;
    return Code == asio::error::would_block;
  }

  asio::io_context &Context;
  std::map<std::string, std::deque<ConnectionPtr>> Idle;
};

class BeastExchange : public UpstreamExchange,
                      public std::enable_shared_from_this<BeastExchange> {
public:
  BeastExchange(std::shared_ptr<ConnectionPool> Connections, UpstreamCall Call,
                UpstreamHandlers Handlers)
      : Connections(std::move(Connections)), Call(std::move(Call)),
        Peer(this->Call.Authority + "/" + this->Call.Incarnation),
        Handlers(std::move(Handlers)), Executor(this->Connections->executor()),
        Deadline(std::chrono::steady_clock::now() + this->Call.HeadTimeout) {}

  std::optional<std::chrono::steady_clock::time_point>
  connectedAt() const override {
    return ConnectedAt;
  }

  void start() {
    Active = Connections->take(Peer, hashOfId(Call.RequestId));
    if (Active)
      return write();
    const auto Endpoint = parseIpPort(Call.Authority);
    Active = Connections->create();
    if (!Endpoint)
      return asio::post(Active->Stream.get_executor(),
                        [Self = shared_from_this()] {
                          Self->end(UpstreamEnd::NotSent, "invalid address");
                        });
    Active->Stream.expires_after(Call.ConnectTimeout);
    Active->Stream.async_connect(
        tcp::endpoint(Endpoint->Ip, Endpoint->Port),
        [Self = shared_from_this()](beast::error_code Code) {
          if (Code)
            return Self->end(UpstreamEnd::NotSent, Code.message());
          if (Self->Ended)
            return;
          setSocketOptions(Self->Active->Stream.socket());
          Self->Active->ConnectedAt = std::chrono::steady_clock::now();
          Self->write();
        });
  }

  /// May be called from a handler, so the handlers are destroyed later.
  void cancel() override {
    Ended = true;
    closeActive();
    asio::post(Executor,
               [Self = shared_from_this(), Unused = std::move(Handlers)] {});
    Handlers = {};
  }

private:
  using Parser = http::response_parser<http::buffer_body>;

  /// Writes the request and reads the response concurrently: an endpoint may
  /// respond before it has read a long body.
  void write() {
    ConnectedAt = Active->ConnectedAt;
    Message.version(11);
    Message.method_string(Call.Request.Method);
    Message.target(Call.Request.Target);
    for (const HttpHeader &H : Call.Request.Headers)
      if (mayForwardHeader(H))
        Message.insert(H.Name, H.Value);
    const std::string &Body = Call.Body ? *Call.Body : Call.Request.Body;
    Message.body() = {Body.data(), Body.size()};
    Message.prepare_payload();
    if (!Call.RequestId.empty())
      Active->SentIds.push_back(hashOfId(Call.RequestId));
    Active->Stream.expires_at(Deadline);
    http::async_write(
        Active->Stream, Message,
        [Self = shared_from_this()](beast::error_code Code, std::size_t) {
          Self->Call.Body.reset();
          Self->Written = !Code;
          Self->WriteEnded = true;
          if (Self->ResponseEnded)
            Self->keepConnection();
        });
    readHead();
  }

  void readHead() {
    ResponseParser.emplace();
    ResponseParser->header_limit(MaxHeadBytes);
    ResponseParser->body_limit(boost::none);
    ResponseParser->skip(Call.Request.Method == "HEAD");
    http::async_read_header(
        Active->Stream, Active->Buffer, *ResponseParser,
        [Self = shared_from_this()](beast::error_code Code, std::size_t) {
          Self->onHead(Code);
        });
  }

  void onHead(beast::error_code Code) {
    if (Ended)
      return;
    if (Code == beast::error::timeout)
      return end(UpstreamEnd::TimedOut, "no response before the timeout");
    if (Code)
      return end(UpstreamEnd::Broken, Code.message());
    HttpResponse Head;
    Head.Status = ResponseParser->get().result_int();
    for (const auto &Field : ResponseParser->get())
      Head.Headers.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    Skipping = Handlers.MatchesRequest && !Handlers.MatchesRequest(Head);
    if (Skipping) {
      ++Connections->Counters.StaleResponses;
      if (++SkippedResponses > MaxSkippedResponses ||
          ResponseParser->need_eof())
        return end(UpstreamEnd::Broken, "received responses to other requests");
    } else {
      Active->Stream.expires_never();
      if (Handlers.OnHead)
        Handlers.OnHead(std::move(Head));
    }
    if (!Ended)
      readBody();
  }

  void readBody() {
    if (ResponseParser->is_done())
      return onResponseComplete();
    ResponseParser->get().body().data = Data.data();
    ResponseParser->get().body().size = Data.size();
    ResponseParser->get().body().more = true;
    http::async_read_some(
        Active->Stream, Active->Buffer, *ResponseParser,
        [Self = shared_from_this()](beast::error_code Code, std::size_t) {
          Self->onBody(Code);
        });
  }

  void onBody(beast::error_code Code) {
    if (Ended)
      return;
    const std::size_t BytesRead =
        Data.size() - ResponseParser->get().body().size;
    if (Skipping && (SkippedBytes += BytesRead) > MaxSkippedBytes)
      return end(UpstreamEnd::Broken,
                 "the response to another request is too large");
    if (BytesRead > 0 && !Skipping && Handlers.OnData)
      Handlers.OnData(std::string_view(Data.data(), BytesRead));
    if (Ended)
      return;
    if (Code && Code != http::error::need_buffer)
      return end(Code == beast::error::timeout ? UpstreamEnd::TimedOut
                                               : UpstreamEnd::Broken,
                 Code.message());
    readBody();
  }

  void onResponseComplete() {
    if (Skipping)
      return readHead();
    ResponseEnded = true;
    IdleTimeLimit = ResponseParser->keep_alive()
                        ? reusableIdleTime(ResponseParser->get()["Keep-Alive"])
                        : milliseconds(0);
    if (WriteEnded)
      keepConnection();
    else
      closeActive();
    end(UpstreamEnd::Complete, "");
  }

  /// Returns the connection to the pool unless data follows the response or the
  /// request was not written completely: the endpoint might take the next
  /// request for the rest of this one.
  void keepConnection() {
    if (!Active)
      return;
    if (Active->Buffer.size() > 0)
      ++Connections->Counters.StrayDataConnections;
    else if (Written)
      Connections->keep(Peer, std::move(Active), IdleTimeLimit);
    Active.reset();
  }

  void closeActive() {
    if (Active)
      Active->Stream.close();
  }

  void end(UpstreamEnd End, std::string Detail) {
    if (Ended)
      return;
    Ended = true;
    if (End != UpstreamEnd::Complete) {
      closeActive();
      Connections->drop(Peer);
    }
    if (Handlers.OnEnd)
      Handlers.OnEnd(End, std::move(Detail));
    Handlers = {};
  }

  std::shared_ptr<ConnectionPool> Connections;
  UpstreamCall Call;
  std::string Peer; ///< key of its idle connections
  UpstreamHandlers Handlers;
  asio::io_context::executor_type Executor;
  SteadyTime Deadline;
  ConnectionPtr Active;
  std::optional<SteadyTime> ConnectedAt; ///< of the connection in use
  http::request<http::span_body<const char>> Message;
  std::optional<Parser> ResponseParser;
  std::array<char, 4096> Data{};
  milliseconds IdleTimeLimit{0};
  unsigned SkippedResponses = 0;
  std::size_t SkippedBytes = 0;
  bool Skipping = false;
  bool Written = false;
  bool WriteEnded = false;
  bool ResponseEnded = false;
  bool Ended = false;
};

class BeastUpstreamClient : public UpstreamClient {
public:
  explicit BeastUpstreamClient(asio::io_context &Context)
      : Connections(std::make_shared<ConnectionPool>(Context)) {}

  std::shared_ptr<UpstreamExchange> send(UpstreamCall Call,
                                         UpstreamHandlers Handlers) override {
    auto Exchange = std::make_shared<BeastExchange>(
        Connections, std::move(Call), std::move(Handlers));
    Exchange->start();
    return Exchange;
  }

  const UpstreamCounters &counters() const override {
    return Connections->Counters;
  }

private:
  std::shared_ptr<ConnectionPool> Connections;
};

} // namespace

std::unique_ptr<UpstreamClient> makeUpstreamClient(asio::io_context &Context) {
  return std::make_unique<BeastUpstreamClient>(Context);
}

} // namespace hyssoprail
