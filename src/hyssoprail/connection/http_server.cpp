#include "hyssoprail/connection/http_server.hpp"

#include <atomic>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <spdlog/spdlog.h>

namespace hyssoprail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr auto NoThrow = asio::as_tuple(asio::use_awaitable);

/// Size of the first read of a request; small, because idle keep-alive
/// connections keep their buffer.
constexpr std::size_t ReadChunkBytes = 2048;

/// Answer of one exchange as it is handed from any thread to the connection.
class ServerExchange : public HttpExchange {
public:
  ServerExchange(asio::any_io_executor Executor, HttpRequest Request)
      : Executor(std::move(Executor)), Request(std::move(Request)),
        Signal(this->Executor, asio::steady_timer::time_point::max()) {}

  const HttpRequest &request() const override { return Request; }

  void respond(HttpResponse Response) override {
    std::lock_guard Lock(Mutex);
    if (Started)
      return;
    Started = Finished = Whole = true;
    Head = std::move(Response);
    wake();
  }

  void begin(unsigned Status, HttpHeaders Headers) override {
    std::lock_guard Lock(Mutex);
    if (Started)
      return;
    Started = true;
    Head.Status = Status;
    Head.Headers = std::move(Headers);
    wake();
  }

  void write(std::string Data) override {
    std::lock_guard Lock(Mutex);
    if (!Started || Finished || Disconnected)
      return;
    Unsent.append(Data);
    wake();
  }

  void finish() override {
    std::lock_guard Lock(Mutex);
    if (!Started || Finished)
      return;
    Finished = true;
    wake();
  }

  void abort() override {
    std::lock_guard Lock(Mutex);
    Aborted = Started = Finished = true;
    wake();
  }

  void onDisconnect(std::function<void()> Callback) override {
    {
      std::lock_guard Lock(Mutex);
      if (!Disconnected) {
        DisconnectCallback = std::move(Callback);
        return;
      }
    }
    Callback();
  }

  std::size_t unsentBytes() const override {
    std::lock_guard Lock(Mutex);
    return Unsent.size();
  }

  /// What the connection has to do next.
  struct Step {
    bool Started = false;
    bool Whole = false;
    bool Finished = false;
    bool Aborted = false;
    bool Disconnected = false;
    std::string Data;
  };

  Step takeStep() {
    std::lock_guard Lock(Mutex);
    Woken = false;
    Step S{Started, Whole, Finished, Aborted, Disconnected, {}};
    S.Data.swap(Unsent);
    return S;
  }

  /// Called on the connection's thread only, after the answer has begun.
  HttpResponse &head() { return Head; }

  asio::awaitable<void> waitForStep() {
    {
      std::lock_guard Lock(Mutex);
      if (Woken)
        co_return;
      Signal.expires_at(asio::steady_timer::time_point::max());
    }
    co_await Signal.async_wait(NoThrow);
  }

  void disconnect() {
    std::function<void()> Callback;
    {
      std::lock_guard Lock(Mutex);
      if (Disconnected || Complete)
        return;
      Disconnected = true;
      Callback.swap(DisconnectCallback);
      wake();
    }
    if (Callback)
      Callback();
  }

  /// Marks the answer as sent; the disconnect function is not called any more.
  void complete() {
    std::lock_guard Lock(Mutex);
    Complete = true;
    DisconnectCallback = nullptr;
  }

private:
  void wake() {
    if (Woken)
      return;
    Woken = true;
    asio::post(Executor, [Self = Weak.lock()] {
      if (Self)
        Self->Signal.cancel();
    });
  }

public:
  std::weak_ptr<ServerExchange> Weak;

private:
  asio::any_io_executor Executor;
  HttpRequest Request;
  mutable std::mutex Mutex;
  HttpResponse Head;
  std::string Unsent;
  bool Started = false;
  bool Finished = false;
  bool Whole = false;
  bool Aborted = false;
  bool Disconnected = false;
  bool Complete = false;
  bool Woken = false;
  std::function<void()> DisconnectCallback;
  asio::steady_timer Signal;
};

/// Counters and switches shared by all connections of a server.
struct ServerState {
  HttpServerOptions Options;
  HttpHandler Handler;
  std::atomic<bool> Draining{false};
  std::atomic<std::size_t> Open{0};
};

HttpRequest takeRequest(http::request<http::string_body> &&Message) {
  HttpRequest Out;
  Out.Method = std::string(Message.method_string());
  Out.Target = std::string(Message.target());
  for (const auto &Field : Message)
    Out.Headers.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Out.Body = std::move(Message.body());
  return Out;
}

Error readError(const beast::error_code &Code) {
  if (Code == http::error::body_limit)
    return {ErrorKind::TooLarge,
            "the request body is too large",
            "send a smaller body",
            "body",
            {}};
  if (Code == http::error::header_limit || Code == http::error::buffer_overflow)
    return {ErrorKind::TooLarge,
            "the request headers are too large",
            "send fewer or smaller headers",
            "headers",
            {}};
  if (Code == beast::error::timeout)
    return {ErrorKind::RequestTimeout,
            "the request took too long to arrive",
            "send the request without pauses",
            "",
            {}};
  return {ErrorKind::InvalidRequest,
          "the request is not valid HTTP/1.1",
          "send a request line, headers and a body as RFC 9112 describes",
          "",
          {}};
}

class Session : public std::enable_shared_from_this<Session> {
public:
  Session(tcp::socket Socket, std::shared_ptr<ServerState> State)
      : Stream(std::move(Socket)), State(std::move(State)) {}

  void start() {
    asio::co_spawn(
        Stream.get_executor(),
        [Self = shared_from_this()] { return Self->run(); }, asio::detached);
  }

  void closeIfIdle() {
    if (Idle)
      Stream.cancel();
  }

  void close() {
    beast::error_code Ignored;
    Stream.socket().close(Ignored);
    Stream.cancel();
  }

private:
  asio::awaitable<void> run() {
    beast::error_code Ignored;
    Stream.socket().set_option(tcp::no_delay(true), Ignored);
    bool KeepOpen = true;
    while (KeepOpen && !(State->Draining && Buffer.size() == 0))
      KeepOpen = co_await serveOne();
    if (Current)
      Current->disconnect();
    Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
    Stream.close();
  }

  /// Reads and answers one request; returns false if the connection ends.
  asio::awaitable<bool> serveOne() {
    if (!co_await waitForFirstByte())
      co_return false;
    http::request_parser<http::string_body> Parser;
    Parser.header_limit(State->Options.MaxHeaderBytes);
    Parser.body_limit(State->Options.MaxBodyBytes);
    Stream.expires_after(State->Options.ReadTimeout);
    auto [HeaderCode, HeaderBytes] =
        co_await http::async_read_header(Stream, Buffer, Parser, NoThrow);
    beast::error_code Code = HeaderCode;
    if (!Code && !Parser.is_done()) {
      if (beast::iequals(Parser.get()[http::field::expect], "100-continue"))
        co_await writeContinue();
      auto [BodyCode, BodyBytes] =
          co_await http::async_read(Stream, Buffer, Parser, NoThrow);
      Code = BodyCode;
    }
    if (Code)
      co_return co_await answerReadError(Code);
    const bool KeepAlive = Parser.keep_alive();
    const unsigned Version = Parser.get().version();
    auto Exchange = std::make_shared<ServerExchange>(
        Stream.get_executor(), takeRequest(Parser.release()));
    Exchange->Weak = Exchange;
    Current = Exchange;
    ++State->Open;
    watchForDisconnect();
    State->Handler(Exchange);
    const bool Sent = co_await answer(*Exchange, KeepAlive, Version);
    --State->Open;
    if (!Sent)
      Exchange->disconnect();
    Exchange->complete();
    Current.reset();
    co_return Sent &&KeepAlive && !State->Draining;
  }

  asio::awaitable<bool> waitForFirstByte() {
    if (Buffer.size() > 0)
      co_return true;
    Buffer.shrink_to_fit();
    Idle = true;
    Stream.expires_after(State->Options.IdleTimeout);
    auto [Code, Size] = co_await Stream.async_read_some(
        Buffer.prepare(ReadChunkBytes), NoThrow);
    Idle = false;
    if (Code)
      co_return false;
    Buffer.commit(Size);
    co_return true;
  }

  asio::awaitable<void> writeContinue() {
    http::response<http::empty_body> Response{http::status::continue_, 11};
    co_await http::async_write(Stream, Response, NoThrow);
  }

  asio::awaitable<bool> answerReadError(beast::error_code Code) {
    if (Code == http::error::end_of_stream ||
        Code == asio::error::operation_aborted ||
        Code == asio::error::connection_reset || Code == asio::error::eof ||
        Code == http::error::partial_message)
      co_return false;
    const Error E = readError(Code);
    HttpResponse Response =
        State->Options.ErrorResponse
            ? State->Options.ErrorResponse(E)
            : HttpResponse{httpStatus(E.Kind), {}, E.Message};
    co_await writeWhole(Response, false, 11);
    // Reads what the caller still sends, so that closing does not reset the
    // connection before the answer arrives.
    Stream.socket().shutdown(tcp::socket::shutdown_send, Code);
    Stream.expires_after(std::chrono::seconds(1));
    std::size_t Drained = 0;
    while (Drained < MaxDrainBytes) {
      Buffer.clear();
      auto [ReadCode, Size] = co_await Stream.async_read_some(
          Buffer.prepare(ReadChunkBytes), NoThrow);
      if (ReadCode)
        break;
      Drained += Size;
    }
    co_return false;
  }

  asio::awaitable<bool> writeWhole(HttpResponse &Response, bool KeepAlive,
                                   unsigned Version) {
    http::response<http::string_body> Message{
        static_cast<http::status>(Response.Status), Version};
    for (const HttpHeader &H : Response.Headers)
      Message.insert(H.Name, H.Value);
    Message.body() = std::move(Response.Body);
    Message.keep_alive(KeepAlive && !State->Draining);
    Message.prepare_payload();
    Stream.expires_after(State->Options.WriteTimeout);
    auto [Code, Size] = co_await http::async_write(Stream, Message, NoThrow);
    co_return !Code;
  }

  asio::awaitable<bool> writeHead(HttpResponse &Head, bool KeepAlive,
                                  unsigned Version) {
    http::response<http::empty_body> Message{
        static_cast<http::status>(Head.Status), Version};
    for (const HttpHeader &H : Head.Headers)
      Message.insert(H.Name, H.Value);
    Message.keep_alive(KeepAlive && !State->Draining);
    if (Version >= 11)
      Message.chunked(true);
    http::response_serializer<http::empty_body> Serializer{Message};
    Stream.expires_after(State->Options.WriteTimeout);
    auto [Code, Size] =
        co_await http::async_write_header(Stream, Serializer, NoThrow);
    co_return !Code;
  }

  asio::awaitable<bool> writeData(std::string Data, bool Chunked) {
    Stream.expires_after(State->Options.WriteTimeout);
    if (!Chunked) {
      auto [Code, Size] =
          co_await asio::async_write(Stream, asio::buffer(Data), NoThrow);
      co_return !Code;
    }
    auto [Code, Size] = co_await asio::async_write(
        Stream, http::make_chunk(asio::buffer(Data)), NoThrow);
    co_return !Code;
  }

  asio::awaitable<bool> answer(ServerExchange &Exchange, bool KeepAlive,
                               unsigned Version) {
    bool HeadSent = false;
    const bool Chunked = Version >= 11;
    for (;;) {
      ServerExchange::Step Step = Exchange.takeStep();
      if (Step.Aborted || Step.Disconnected)
        co_return false;
      if (Step.Whole)
        co_return co_await writeWhole(Exchange.head(), KeepAlive, Version);
      if (Step.Started && !HeadSent) {
        HeadSent = true;
        if (!co_await writeHead(Exchange.head(), KeepAlive && Chunked, Version))
          co_return false;
      }
      if (!Step.Data.empty() &&
          !co_await writeData(std::move(Step.Data), Chunked))
        co_return false;
      if (Step.Finished)
        co_return co_await writeEnd(Chunked);
      co_await Exchange.waitForStep();
    }
  }

  asio::awaitable<bool> writeEnd(bool Chunked) {
    if (!Chunked)
      co_return false;
    auto [Code, Size] =
        co_await asio::async_write(Stream, http::make_chunk_last(), NoThrow);
    co_return !Code;
  }

  /// Notices a caller that disconnects while its answer is being made. Bytes
  /// of a pipelined request end the watch: they hide a later end of stream,
  /// which the next write then reports.
  void watchForDisconnect() {
    if (Watching)
      return;
    Watching = true;
    Stream.socket().async_wait(
        tcp::socket::wait_read,
        [Self = shared_from_this()](const beast::error_code &Code) {
          Self->Watching = false;
          if (Code || !Self->Current)
            return;
          char Byte = 0;
          beast::error_code PeekCode;
          Self->Stream.socket().non_blocking(true, PeekCode);
          Self->Stream.socket().receive(asio::buffer(&Byte, 1),
                                        tcp::socket::message_peek, PeekCode);
          if (PeekCode == asio::error::would_block)
            Self->watchForDisconnect();
          else if (PeekCode)
            Self->Current->disconnect();
        });
  }

  static constexpr std::size_t MaxDrainBytes = std::size_t{1024} * 1024;

  beast::tcp_stream Stream;
  std::shared_ptr<ServerState> State;
  beast::flat_buffer Buffer;
  std::shared_ptr<ServerExchange> Current;
  bool Watching = false;
  bool Idle = false;
};

/// One thread with its event loop and its connections.
class Worker {
public:
  Worker() : Work(asio::make_work_guard(Context)) {}

  void start() {
    Thread = std::thread([this] { Context.run(); });
  }

  void adopt(tcp::socket Socket, const std::shared_ptr<ServerState> &State) {
    asio::post(Context, [this, S = std::move(Socket), State]() mutable {
      std::erase_if(Sessions, [](const auto &Weak) { return Weak.expired(); });
      auto NewSession = std::make_shared<Session>(std::move(S), State);
      Sessions.push_back(NewSession);
      NewSession->start();
    });
  }

  void drain() {
    asio::post(Context, [this] {
      for (const auto &Weak : Sessions)
        if (auto S = Weak.lock())
          S->closeIfIdle();
    });
  }

  void stop() {
    asio::post(Context, [this] {
      for (const auto &Weak : Sessions)
        if (auto S = Weak.lock())
          S->close();
      Work.reset();
      asio::post(Context, [this] { Context.stop(); });
    });
    if (Thread.joinable())
      Thread.join();
  }

  asio::io_context &context() { return Context; }

private:
  asio::io_context Context{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work;
  std::vector<std::weak_ptr<Session>> Sessions;
  std::thread Thread;
};

class BeastHttpServer : public HttpServer {
public:
  BeastHttpServer(HttpServerOptions Options, HttpHandler Handler)
      : State(std::make_shared<ServerState>()) {
    State->Options = std::move(Options);
    State->Handler = std::move(Handler);
    for (unsigned I = 0; I < std::max(1U, State->Options.Threads); ++I)
      Workers.push_back(std::make_unique<Worker>());
    Acceptor.emplace(Workers.front()->context());
  }

  ~BeastHttpServer() override { stop(); }

  Status start() override {
    beast::error_code Code;
    auto Address = asio::ip::make_address(State->Options.Address, Code);
    tcp::endpoint Endpoint(Address, State->Options.Port);
    if (!Code)
      Acceptor->open(Endpoint.protocol(), Code);
    if (!Code)
      Acceptor->set_option(asio::socket_base::reuse_address(true), Code);
    if (!Code)
      Acceptor->bind(Endpoint, Code);
    if (!Code)
      Acceptor->listen(asio::socket_base::max_listen_connections, Code);
    if (Code)
      return Error{ErrorKind::Unavailable,
                   "cannot listen on " + State->Options.Address + ":" +
                       std::to_string(State->Options.Port) + ": " +
                       Code.message(),
                   "choose an address of this VM and a free port",
                   "",
                   {}};
    BoundPort = Acceptor->local_endpoint().port();
    accept();
    for (auto &W : Workers)
      W->start();
    Running = true;
    return std::monostate{};
  }

  void drain() override {
    State->Draining = true;
    asio::post(Acceptor->get_executor(), [this] {
      beast::error_code Ignored;
      Acceptor->close(Ignored);
    });
    for (auto &W : Workers)
      W->drain();
  }

  void stop() override {
    if (!Running.exchange(false))
      return;
    drain();
    for (auto &W : Workers)
      W->stop();
  }

  std::uint16_t port() const override { return BoundPort; }

  std::size_t openExchanges() const override { return State->Open; }

private:
  void accept() {
    Acceptor->async_accept(
        [this](const beast::error_code &Code, tcp::socket Socket) {
          if (Code == asio::error::operation_aborted || !Acceptor->is_open())
            return;
          if (!Code)
            adopt(std::move(Socket));
          accept();
        });
  }

  /// Moves an accepted socket to the event loop of the next worker.
  void adopt(tcp::socket Socket) {
    Worker &W = *Workers[Next++ % Workers.size()];
    beast::error_code Code;
    const auto Protocol = Socket.local_endpoint(Code).protocol();
    if (Code)
      return;
    const auto Handle = Socket.release(Code);
    if (Code)
      return;
    W.adopt(tcp::socket(W.context(), Protocol, Handle), State);
  }

  std::shared_ptr<ServerState> State;
  std::vector<std::unique_ptr<Worker>> Workers;
  std::optional<tcp::acceptor> Acceptor;
  std::size_t Next = 0;
  std::uint16_t BoundPort = 0;
  std::atomic<bool> Running{false};
};

} // namespace

std::unique_ptr<HttpServer> makeHttpServer(HttpServerOptions Options,
                                           HttpHandler Handler) {
  return std::make_unique<BeastHttpServer>(std::move(Options),
                                           std::move(Handler));
}

} // namespace hyssoprail
