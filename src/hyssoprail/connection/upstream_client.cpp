#include "hyssoprail/connection/upstream_client.hpp"
#include "hyssoprail/connection/ip_port.hpp"

#include <array>
#include <charconv>
#include <deque>
#include <map>
#include <optional>

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

/// Idle time after which a connection is not used again, if the endpoint does
/// not state its own; a request sent as the endpoint closes would be lost.
constexpr milliseconds DefaultIdleTime{2'500};
constexpr milliseconds IdleMargin{700};
constexpr milliseconds LongestIdleTime{20'000};

/// Unacknowledged bytes break a connection after this time, as a peer that was
/// cut off sends no reset.
constexpr int UserTimeoutMs = 3'000;

constexpr std::uint32_t MaxHeadBytes = 64 * 1024;
constexpr unsigned MaxSkippedAnswers = 4;
constexpr std::size_t MaxSkippedBytes = std::size_t{1024} * 1024;

/// Bytes that are held until they make sense: a head, or the size and the
/// extensions of a chunk.
constexpr std::size_t MaxBufferedBytes = std::size_t{128} * 1024;

struct Connection {
  explicit Connection(asio::io_context &Context) : Stream(Context) {}
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer{MaxBufferedBytes};
  SteadyTime UsableUntil;
};

using ConnectionPtr = std::shared_ptr<Connection>;

void setSocketOptions(tcp::socket &Socket) {
  beast::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  Socket.set_option(UserTimeout(UserTimeoutMs), Ignored);
}

/// Time that "Keep-Alive: timeout=N" grants to an idle connection.
milliseconds idleTime(std::string_view KeepAlive) {
  constexpr std::string_view Name = "timeout=";
  const auto At = KeepAlive.find(Name);
  if (At == std::string_view::npos)
    return DefaultIdleTime;
  int Seconds = 0;
  const char *Begin = KeepAlive.data() + At + Name.size();
  std::from_chars(Begin, KeepAlive.data() + KeepAlive.size(), Seconds);
  const milliseconds Stated = std::chrono::seconds(Seconds);
  return std::min(LongestIdleTime, Stated - IdleMargin);
}

/// Kept connections by authority and incarnation, the most recently used last.
class Pool {
public:
  explicit Pool(asio::io_context &Context) : Context(Context) {}

  ConnectionPtr take(const std::string &Peer) {
    const auto Found = Idle.find(Peer);
    if (Found == Idle.end())
      return nullptr;
    auto &Kept = Found->second;
    while (!Kept.empty()) {
      ConnectionPtr C = std::move(Kept.back());
      Kept.pop_back();
      if (usable(*C)) {
        ++Counters.Reuses;
        return C;
      }
    }
    Idle.erase(Found);
    return nullptr;
  }

  ConnectionPtr make() {
    ++Counters.Connects;
    return std::make_shared<Connection>(Context);
  }

  void keep(const std::string &Peer, ConnectionPtr C, milliseconds For) {
    if (For <= milliseconds(0))
      return;
    auto &Kept = Idle[Peer];
    C->Stream.expires_never();
    C->UsableUntil = std::chrono::steady_clock::now() + For;
    if (Kept.size() >= MaxIdlePerAuthority)
      Kept.pop_front();
    Kept.push_back(std::move(C));
  }

  /// Closes the kept connections to a peer that has failed.
  void drop(const std::string &Peer) { Idle.erase(Peer); }

  asio::io_context::executor_type executor() { return Context.get_executor(); }

  UpstreamCounters Counters;

private:
  /// False if the connection is old, or the peer closed it or sent bytes that
  /// belong to no request.
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
  BeastExchange(std::shared_ptr<Pool> Kept, UpstreamCall Call,
                UpstreamHandlers Handlers)
      : Kept(std::move(Kept)), Call(std::move(Call)),
        Peer(this->Call.Authority + "/" + this->Call.Incarnation),
        Handlers(std::move(Handlers)), Executor(this->Kept->executor()),
        Deadline(std::chrono::steady_clock::now() + this->Call.HeadTimeout) {}

  void start() {
    Active = Kept->take(Peer);
    if (Active)
      return write();
    const auto Endpoint = parseIpPort(Call.Authority);
    Active = Kept->make();
    if (!Endpoint)
      return asio::post(Active->Stream.get_executor(),
                        [Self = shared_from_this()] {
                          Self->end(UpstreamEnd::NotSent, "bad address");
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
          Self->write();
        });
  }

  /// May be called from one of the handlers, so they are destroyed later.
  void cancel() override {
    Ended = true;
    closeActive();
    asio::post(Executor,
               [Self = shared_from_this(), Unused = std::move(Handlers)] {});
    Handlers = {};
  }

private:
  using Parser = http::response_parser<http::buffer_body>;

  /// Writes the request and reads the answer side by side: an endpoint may
  /// answer before it has read a long body.
  void write() {
    Message.version(11);
    Message.method_string(Call.Request.Method);
    Message.target(Call.Request.Target);
    for (const HttpHeader &H : Call.Request.Headers)
      if (mayForwardHeader(H))
        Message.insert(H.Name, H.Value);
    Message.body() = std::move(Call.Request.Body);
    Message.prepare_payload();
    Active->Stream.expires_at(Deadline);
    http::async_write(
        Active->Stream, Message,
        [Self = shared_from_this()](beast::error_code Code, std::size_t) {
          Self->Written = !Code;
          Self->WriteEnded = true;
          if (Self->AnswerEnded)
            Self->keepConnection();
        });
    readHead();
  }

  void readHead() {
    Reader.emplace();
    Reader->header_limit(MaxHeadBytes);
    Reader->body_limit(boost::none);
    Reader->skip(Call.Request.Method == "HEAD");
    http::async_read_header(
        Active->Stream, Active->Buffer, *Reader,
        [Self = shared_from_this()](beast::error_code Code, std::size_t) {
          Self->onHead(Code);
        });
  }

  void onHead(beast::error_code Code) {
    if (Ended)
      return;
    if (Code == beast::error::timeout)
      return end(UpstreamEnd::TimedOut, "no answer in time");
    if (Code)
      return end(UpstreamEnd::Broken, Code.message());
    HttpResponse Head;
    Head.Status = Reader->get().result_int();
    for (const auto &Field : Reader->get())
      Head.Headers.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    Skipping = Handlers.MatchesRequest && !Handlers.MatchesRequest(Head);
    if (Skipping) {
      ++Kept->Counters.StaleResponses;
      if (++Skipped > MaxSkippedAnswers || Reader->need_eof())
        return end(UpstreamEnd::Broken, "answers of other requests");
    } else {
      Active->Stream.expires_never();
      if (Handlers.OnHead)
        Handlers.OnHead(std::move(Head));
    }
    if (!Ended)
      readBody();
  }

  void readBody() {
    if (Reader->is_done())
      return onWholeAnswer();
    Reader->get().body().data = Data.data();
    Reader->get().body().size = Data.size();
    Reader->get().body().more = true;
    http::async_read_some(
        Active->Stream, Active->Buffer, *Reader,
        [Self = shared_from_this()](beast::error_code Code, std::size_t) {
          Self->onBody(Code);
        });
  }

  void onBody(beast::error_code Code) {
    if (Ended)
      return;
    const std::size_t Got = Data.size() - Reader->get().body().size;
    if (Skipping && (SkippedBytes += Got) > MaxSkippedBytes)
      return end(UpstreamEnd::Broken,
                 "an answer of another request is endless");
    if (Got > 0 && !Skipping && Handlers.OnData)
      Handlers.OnData(std::string_view(Data.data(), Got));
    if (Ended)
      return;
    if (Code && Code != http::error::need_buffer)
      return end(Code == beast::error::timeout ? UpstreamEnd::TimedOut
                                               : UpstreamEnd::Broken,
                 Code.message());
    readBody();
  }

  void onWholeAnswer() {
    if (Skipping)
      return readHead();
    AnswerEnded = true;
    KeepFor = Reader->keep_alive() ? idleTime(Reader->get()["Keep-Alive"])
                                   : milliseconds(0);
    if (WriteEnded)
      keepConnection();
    else
      closeActive();
    end(UpstreamEnd::Complete, "");
  }

  /// Keeps the connection unless bytes follow the answer or the body was not
  /// taken whole: the endpoint might read the next request as its rest.
  void keepConnection() {
    if (!Active)
      return;
    if (Active->Buffer.size() > 0)
      ++Kept->Counters.StrayDataConnections;
    else if (Written)
      Kept->keep(Peer, std::move(Active), KeepFor);
    Active.reset();
  }

  void closeActive() {
    if (Active)
      Active->Stream.close();
  }

  void end(UpstreamEnd How, std::string Detail) {
    if (Ended)
      return;
    Ended = true;
    if (How != UpstreamEnd::Complete) {
      closeActive();
      Kept->drop(Peer);
    }
    if (Handlers.OnEnd)
      Handlers.OnEnd(How, std::move(Detail));
    Handlers = {};
  }

  std::shared_ptr<Pool> Kept;
  UpstreamCall Call;
  std::string Peer; ///< key of its kept connections
  UpstreamHandlers Handlers;
  asio::io_context::executor_type Executor;
  SteadyTime Deadline;
  ConnectionPtr Active;
  http::request<http::string_body> Message;
  std::optional<Parser> Reader;
  std::array<char, 4096> Data{};
  milliseconds KeepFor{0};
  unsigned Skipped = 0;
  std::size_t SkippedBytes = 0;
  bool Skipping = false;
  bool Written = false;
  bool WriteEnded = false;
  bool AnswerEnded = false;
  bool Ended = false;
};

class BeastUpstreamClient : public UpstreamClient {
public:
  explicit BeastUpstreamClient(asio::io_context &Context)
      : Kept(std::make_shared<Pool>(Context)) {}

  std::shared_ptr<UpstreamExchange> send(UpstreamCall Call,
                                         UpstreamHandlers Handlers) override {
    auto Exchange = std::make_shared<BeastExchange>(Kept, std::move(Call),
                                                    std::move(Handlers));
    Exchange->start();
    return Exchange;
  }

  const UpstreamCounters &counters() const override { return Kept->Counters; }

private:
  std::shared_ptr<Pool> Kept;
};

} // namespace

std::unique_ptr<UpstreamClient> makeUpstreamClient(asio::io_context &Context) {
  return std::make_unique<BeastUpstreamClient>(Context);
}

} // namespace hyssoprail
