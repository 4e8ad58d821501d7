#include "hyssoprail/connection/upstream_client.hpp"

#include <array>
#include <optional>
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "hyssoprail/connection/descriptors.hpp"
#include "hyssoprail/connection/ip_port.hpp"
#include "hyssoprail/connection/message_framing.hpp"
#include "hyssoprail/connection/upstream_pool.hpp"

namespace hyssoprail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::uint32_t MaxHeadBytes = 64 * 1024;
constexpr unsigned MaxSkippedResponses = 4;

/// Endpoints send one or two interim responses before a response, if any.
constexpr unsigned MaxInterimResponses = 16;
constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned StatusNoContent = 204;
constexpr unsigned LastStatus = 599;

/// Limit of body bytes that nobody gets: of responses to other requests, and of
/// those to requests without handlers.
constexpr std::size_t MaxDiscardedBytes = std::size_t{1024} * 1024;

/// True for an interim response, which another one follows on the same
/// connection. An upgrade was not asked for, so 101 is none.
bool isInterim(unsigned Status) {
  return Status / 100 == 1 && Status != SwitchingProtocols;
}

/// True for methods whose requests state a length even if they have no body.
/// message::prepare_payload() is not used, as it throws for some methods with
/// a body, such as TRACE.
bool expectsLength(http::verb Method) {
  return Method == http::verb::options || Method == http::verb::put ||
         Method == http::verb::post;
}

class BeastExchange : public UpstreamExchange,
                      public std::enable_shared_from_this<BeastExchange> {
public:
  BeastExchange(std::shared_ptr<UpstreamPool> Connections, UpstreamCall Call,
                UpstreamHandlers Handlers)
      : Connections(std::move(Connections)),
        Call(std::move(Call)), Peer{this->Call.Incarnation,
                                    this->Call.Authority},
        Handlers(std::move(Handlers)), Executor(this->Connections->executor()),
        Deadline(std::chrono::steady_clock::now() + this->Call.HeadTimeout) {}

  std::optional<std::chrono::steady_clock::time_point>
  connectedAt() const override {
    return ConnectedAt;
  }

  void start() {
    Use = Connections->use(Peer);
    Active = Connections->take(Peer, hashOfId(Call.RequestId));
    if (Active)
      return write();
    connect();
  }

  void cancel() override {
    Ended = true;
    closeActive();
    replaceHandlers({});
  }

  void abandon(milliseconds HeadWait, UpstreamHandlers HeadHandlers) override {
    if (Ended || !Written || HasHead)
      return cancel();
    replaceHandlers(std::move(HeadHandlers));
    beast::error_code Ignored;
    Active->Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
    AbandonTimer.emplace(Executor, HeadWait);
    AbandonTimer->async_wait([Self = shared_from_this()](beast::error_code C) {
      if (!C && !Self->Ended)
        Self->cancel();
    });
  }

private:
  using Parser = http::response_parser<http::buffer_body>;

  /// May be called from a handler, so the handlers are destroyed later.
  void replaceHandlers(UpstreamHandlers New) {
    asio::post(Executor, [Self = shared_from_this(),
                          Unused = std::exchange(Handlers, std::move(New))] {});
  }

  void connect() {
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
          Self->onConnect(Code);
        });
  }

  /// A request goes before idle connections to other endpoints.
  void onConnect(beast::error_code Code) {
    if (Ended)
      return;
    if (isDescriptorShortage(Code) && Connections->closeOldestIdle(1) > 0)
      return connect();
    if (Code)
      return end(UpstreamEnd::NotSent, Code.message());
    setUpstreamOptions(Active->Stream.socket());
    Active->ConnectedAt = std::chrono::steady_clock::now();
    write();
  }

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
    setAcknowledgementLimit(*Active, Body.size(), Call.HeadTimeout);
    Message.body() = {Body.data(), Body.size()};
    if (!Body.empty() || expectsLength(Message.method()))
      Message.content_length(Body.size());
    if (!Call.RequestId.empty())
      Active->SentIds.push_back(hashOfId(Call.RequestId));
    Active->Stream.expires_at(Deadline);
    http::async_write(
        Active->Stream, Message,
        [Self = shared_from_this()](beast::error_code Code, std::size_t) {
          Self->Call.Body.reset();
          Self->Written = !Code;
          Self->WriteEnded = true;
          if (Self->AwaitsWriteEnd)
            Self->onResponseComplete();
          else if (Self->ResponseEnded)
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
    const unsigned Status = ResponseParser->get().result_int();
    if (isInterim(Status) && ++InterimResponses <= MaxInterimResponses)
      return readHead();
    if (Status < FirstFinalStatus || Status > LastStatus)
      return end(UpstreamEnd::Broken,
                 "received the status " + std::to_string(Status));
    HttpResponse Head;
    Head.Status = Status;
    for (const auto &Field : ResponseParser->get())
      Head.Headers.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    if (const auto Defect =
            findFramingDefect({ResponseParser->get().version(), Head.Headers,
                               ResponseParser->chunked()}))
      return end(UpstreamEnd::Broken,
                 "framing: " + std::string(framingDefectName(*Defect)));
    Skipping = Handlers.MatchesRequest && !Handlers.MatchesRequest(Head);
    if (Skipping) {
      ++Connections->Counters.StaleResponses;
      if (++SkippedResponses > MaxSkippedResponses ||
          ResponseParser->need_eof())
        return end(UpstreamEnd::Broken, "received responses to other requests");
    } else if (mayBelongToEarlier(Head)) {
      return end(UpstreamEnd::Broken,
                 "the response names no request, and there were earlier ones");
    } else {
      HasHead = true;
      if (Handlers.OnEnd)
        Active->Stream.expires_never();
      if (Handlers.OnHead)
        Handlers.OnHead(std::move(Head));
    }
    if (Ended)
      return;
    if (AbandonTimer && HasHead)
      return cancel();
    readBody();
  }

  bool mayBelongToEarlier(const HttpResponse &Head) const {
    return Active->SentIds.size() > 1 && Handlers.NamesRequest &&
           !Handlers.NamesRequest(Head);
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
    const bool Discarded = Skipping || !Handlers.OnEnd;
    if (Discarded && (DiscardedBytes += BytesRead) > MaxDiscardedBytes)
      return end(UpstreamEnd::Broken, "the response is too large to discard");
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

  /// A reset of the connection shows in the write if the request is still being
  /// written; the read then ends as if the endpoint had closed. So a response
  /// that ends with its connection is whole only if the write succeeds.
  void onResponseComplete() {
    if (Ended)
      return;
    if (Skipping)
      return readHead();
    if (ResponseParser->need_eof() && !Written) {
      if (WriteEnded)
        return end(UpstreamEnd::Broken,
                   "the connection failed while the request was written");
      AwaitsWriteEnd = true;
      return Active->Stream.expires_at(Deadline);
    }
    ResponseEnded = true;
    IdleTimeLimit = mayReuse()
                        ? reusableIdleTime(ResponseParser->get()["Keep-Alive"])
                        : milliseconds(0);
    if (WriteEnded)
      keepConnection();
    else
      closeActive();
    if (ResponseParser->need_eof())
      return end(UpstreamEnd::Closed, "ended with its connection");
    end(UpstreamEnd::Complete, "");
  }

  /// A 204 has no body. If it states one, the endpoint may still send it, and
  /// it would be read as the next response.
  bool mayReuse() const {
    const auto &Head = ResponseParser->get();
    const auto Length = Head[http::field::content_length];
    const bool StatesBody =
        (!Length.empty() && Length != "0") || ResponseParser->chunked();
    return ResponseParser->keep_alive() &&
           !(Head.result_int() == StatusNoContent && StatesBody);
  }

  /// Returns the connection to the pool unless data follows the response or the
  /// request was not written completely: the endpoint might take the next
  /// request for the rest of this one. A connection to an endpoint that has
  /// left meanwhile is closed, as nothing would use it.
  void keepConnection() {
    if (!Active)
      return;
    if (Active->Buffer.size() > 0)
      ++Connections->Counters.StrayDataConnections;
    else if (Written && !Use->Left)
      Connections->keep(Peer, std::move(Active), IdleTimeLimit);
    Active.reset();
  }

  void closeActive() {
    if (AbandonTimer)
      AbandonTimer->cancel();
    if (Active)
      Active->Stream.close();
  }

  /// The end of an abandoned exchange is no failure of the endpoint: it may
  /// have dropped the request.
  void end(UpstreamEnd End, std::string Detail) {
    if (Ended)
      return;
    if (AbandonTimer)
      return cancel();
    Ended = true;
    if (End != UpstreamEnd::Complete && End != UpstreamEnd::Closed) {
      closeActive();
      Connections->drop(Peer);
    }
    if (Handlers.OnEnd)
      Handlers.OnEnd(End, std::move(Detail));
    Handlers = {};
  }

  std::shared_ptr<UpstreamPool> Connections;
  UpstreamCall Call;
  IdlePeer Peer;
  std::shared_ptr<PeerUse> Use;
  UpstreamHandlers Handlers;
  asio::io_context::executor_type Executor;
  SteadyTime Deadline;
  ClientConnectionPtr Active;
  std::optional<SteadyTime> ConnectedAt; ///< of the connection in use
  std::optional<asio::steady_timer>
      AbandonTimer; ///< if the request is given up
  http::request<http::span_body<const char>> Message;
  std::optional<Parser> ResponseParser;
  std::array<char, 4096> Data{};
  milliseconds IdleTimeLimit{0};
  unsigned SkippedResponses = 0;
  unsigned InterimResponses = 0;
  std::size_t DiscardedBytes = 0;
  bool Skipping = false;
  bool HasHead = false; ///< of the response to this request
  bool Written = false;
  bool WriteEnded = false;
  bool ResponseEnded = false;
  bool AwaitsWriteEnd = false; ///< to know whether the response is complete
  bool Ended = false;
};

class BeastUpstreamClient : public UpstreamClient {
public:
  explicit BeastUpstreamClient(asio::io_context &Context)
      : Connections(std::make_shared<UpstreamPool>(Context)) {}

  std::shared_ptr<UpstreamExchange> send(UpstreamCall Call,
                                         UpstreamHandlers Handlers) override {
    auto Exchange = std::make_shared<BeastExchange>(
        Connections, std::move(Call), std::move(Handlers));
    Exchange->start();
    return Exchange;
  }

  void closeIdle(const std::string &Incarnation,
                 const std::string &KeptAuthority) override {
    Connections->closeIncarnation(Incarnation, KeptAuthority);
  }

  std::size_t closeOldestIdle(std::size_t Count) override {
    return Connections->closeOldestIdle(Count);
  }

  void setIdleBounds(IdleBounds Bounds) override {
    Connections->idle().setBounds(Bounds);
  }

  std::size_t idleConnections() const override {
    return Connections->idle().size();
  }

  UpstreamCounters counters() const override { return Connections->counters(); }

private:
  std::shared_ptr<UpstreamPool> Connections;
};

} // namespace

std::unique_ptr<UpstreamClient> makeUpstreamClient(asio::io_context &Context) {
  return std::make_unique<BeastUpstreamClient>(Context);
}

} // namespace hyssoprail
