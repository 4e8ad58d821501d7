#include "hyssoprail/connection/http_server.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <optional>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <linux/filter.h>
#include <sys/socket.h>

#include "hyssoprail/connection/descriptors.hpp"
#include "hyssoprail/connection/http_session.hpp"

namespace hyssoprail {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

constexpr std::chrono::milliseconds AcceptRetryDelay{50};

/// Time for handshakes that began before new ones are dropped to complete.
/// Callers are a few milliseconds away.
constexpr std::chrono::milliseconds HandshakePeriod{20};

/// Makes the kernel drop the first packet of each new connection to a listening
/// socket. Such a caller repeats it after a second and is then refused. Closing
/// the socket instead resets connections that were completed but not accepted,
/// whose callers may have sent a request.
void dropNewHandshakes(int Listener) {
  constexpr unsigned FlagsOffset = 13; // in the TCP header
  constexpr unsigned SynFlag = 0x02;
  constexpr unsigned AckFlag = 0x10;
  std::array<sock_filter, 5> Code{{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FlagsOffset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, SynFlag | AckFlag),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SynFlag, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, 0),
      BPF_STMT(BPF_RET | BPF_K, 0xffff),
  }};
  const sock_fprog Program{Code.size(), Code.data()};
  ::setsockopt(Listener, SOL_SOCKET, SO_ATTACH_FILTER, &Program,
               sizeof Program);
}

/// An event loop and its connections. Runs its own loop on its own thread, or
/// uses the event loop of the program.
class Worker {
public:
  Worker()
      : OwnContext(1), Context(&*OwnContext),
        WorkGuard(asio::make_work_guard(*Context)) {}
  explicit Worker(asio::io_context &Context) : Context(&Context) {}

  void start() {
    if (OwnContext)
      Thread = std::thread([this] { Context->run(); });
  }

  void addConnection(tcp::socket Socket,
                     const std::shared_ptr<ServerState> &State) {
    asio::dispatch(*Context, [this, S = std::move(Socket), State]() mutable {
      pruneSessions();
      auto NewSession = std::make_shared<HttpSession>(std::move(S), State);
      Sessions.push_back(NewSession);
      NewSession->start();
    });
  }

  void drain() {
    asio::post(*Context, [this] {
      for (const auto &Weak : Sessions)
        if (auto S = Weak.lock())
          S->drain();
    });
  }

  void refuseIncomplete(const HttpResponse &Response) {
    asio::post(*Context, [this, Response] {
      for (const auto &Weak : Sessions)
        if (auto S = Weak.lock())
          S->refuseIncomplete(Response);
    });
  }

  void closeConnections() {
    asio::post(*Context, [this] { closeAll(); });
  }

  void stop() {
    if (!OwnContext)
      return closeAll();
    asio::post(*Context, [this] {
      closeAll();
      WorkGuard.reset();
      asio::post(*Context, [this] { Context->stop(); });
    });
    if (Thread.joinable())
      Thread.join();
  }

  asio::io_context &context() { return *Context; }

private:
  void closeAll() {
    for (const auto &Weak : Sessions)
      if (auto S = Weak.lock())
        S->close();
  }

  /// Prunes only after the list has doubled, so that the amortized cost per
  /// connection is constant.
  void pruneSessions() {
    if (Sessions.size() < PruneThreshold)
      return;
    std::erase_if(Sessions, [](const auto &Weak) { return Weak.expired(); });
    PruneThreshold = std::max<std::size_t>(64, Sessions.size() * 2);
  }

  std::optional<asio::io_context> OwnContext;
  asio::io_context *Context;
  std::optional<asio::executor_work_guard<asio::io_context::executor_type>>
      WorkGuard;
  std::vector<std::weak_ptr<HttpSession>> Sessions;
  std::size_t PruneThreshold = 64;
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
    createAcceptor(Workers.front()->context());
  }

  BeastHttpServer(asio::io_context &Context, HttpServerOptions Options,
                  HttpHandler Handler)
      : State(std::make_shared<ServerState>()) {
    State->Options = std::move(Options);
    State->Handler = std::move(Handler);
    Workers.push_back(std::make_unique<Worker>(Context));
    UsesExternalContext = true;
    createAcceptor(Context);
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

  void setLimits(std::uint32_t MaxHeaderBytes, std::uint64_t MaxBodyBytes,
                 std::chrono::milliseconds ReadTimeout,
                 std::chrono::milliseconds IdleTimeout) override {
    State->Options.MaxHeaderBytes = MaxHeaderBytes;
    State->Options.MaxBodyBytes = MaxBodyBytes;
    State->Options.ReadTimeout = ReadTimeout;
    State->Options.IdleTimeout = IdleTimeout;
  }

  void disableKeepAlive() override { State->KeepAliveDisabled = true; }

  void endStreamsByClose(bool Enabled) override {
    State->EndStreamsByClose = Enabled;
  }

  void drain() override {
    State->Draining = true;
    asio::post(Acceptor->get_executor(), [this] { closeAcceptor(); });
    for (auto &W : Workers)
      W->drain();
  }

  void refuseIncomplete(const HttpResponse &Response) override {
    for (auto &W : Workers)
      W->refuseIncomplete(Response);
  }

  void closeConnections() override {
    for (auto &W : Workers)
      W->closeConnections();
  }

  void stop() override {
    if (!Running.exchange(false))
      return;
    State->Draining = true;
    // An external event loop may outlive this object, so no handler that uses
    // this object is posted to it. Own threads are joined below.
    if (UsesExternalContext) {
      beast::error_code Ignored;
      Acceptor->close(Ignored);
      AcceptRetryTimer->cancel();
      CloseTimer->cancel();
    }
    for (auto &W : Workers)
      W->stop();
    beast::error_code Ignored;
    Acceptor->close(Ignored);
  }

  std::uint16_t port() const override { return BoundPort; }

  std::size_t openExchanges() const override { return State->OpenExchanges; }

  std::size_t busyConnections() const override {
    return State->BusyConnections;
  }

private:
  void createAcceptor(asio::io_context &Context) {
    Acceptor.emplace(Context);
    AcceptRetryTimer.emplace(Context);
    CloseTimer.emplace(Context);
  }

  void accept() {
    Acceptor->async_accept(
        [this](const beast::error_code &Code, tcp::socket Socket) {
          if (Code == asio::error::operation_aborted)
            return;
          // Also if the acceptor was closed in the meantime.
          if (!Code)
            tryToAddConnection(std::move(Socket));
          if (!Acceptor->is_open())
            return;
          if (Code && !freedDescriptors(Code))
            return retryAcceptLater();
          accept();
        });
  }

  bool freedDescriptors(const beast::error_code &Code) {
    const auto &Free = State->Options.FreeDescriptors;
    return isDescriptorShortage(Code) && Free && Free();
  }

  /// Closes the acceptor when all handshakes that have begun are complete and
  /// accepted.
  void closeAcceptor() {
    if (!Acceptor->is_open())
      return;
    dropNewHandshakes(Acceptor->native_handle());
    CloseTimer->expires_after(HandshakePeriod);
    CloseTimer->async_wait([this](const beast::error_code &Code) {
      if (Code)
        return;
      acceptBacklog();
      beast::error_code Ignored;
      Acceptor->close(Ignored);
    });
  }

  /// Accepts the connections in the listen backlog; the kernel would reset them
  /// when the acceptor closes.
  void acceptBacklog() {
    beast::error_code Code;
    Acceptor->non_blocking(true, Code);
    while (!Code) {
      tcp::socket Socket(Acceptor->get_executor());
      Acceptor->accept(Socket, Code);
      if (!Code)
        tryToAddConnection(std::move(Socket));
    }
  }

  /// Delays the next attempt, because an error such as a lack of file
  /// descriptors does not go away at once.
  void retryAcceptLater() {
    AcceptRetryTimer->expires_after(AcceptRetryDelay);
    AcceptRetryTimer->async_wait([this](const beast::error_code &Code) {
      if (!Code && Acceptor->is_open())
        accept();
    });
  }

  /// An exception costs only this connection; others are accepted.
  void tryToAddConnection(tcp::socket Socket) {
    try {
      addConnection(std::move(Socket));
    } catch (const std::exception &E) {
      if (State->Options.OnDefect)
        State->Options.OnDefect(E.what());
    }
  }

  /// Moves an accepted socket to the event loop of the next worker
  /// (round-robin).
  void addConnection(tcp::socket Socket) {
    Worker &W = *Workers[NextWorker++ % Workers.size()];
    beast::error_code Code;
    const auto Protocol = Socket.local_endpoint(Code).protocol();
    if (Code)
      return;
    const auto Handle = Socket.release(Code);
    if (Code)
      return;
    W.addConnection(tcp::socket(W.context(), Protocol, Handle), State);
  }

  std::shared_ptr<ServerState> State;
  std::vector<std::unique_ptr<Worker>> Workers;
  std::optional<tcp::acceptor> Acceptor;
  std::optional<asio::steady_timer> AcceptRetryTimer;
  std::optional<asio::steady_timer> CloseTimer;
  std::size_t NextWorker = 0;
  std::uint16_t BoundPort = 0;
  std::atomic<bool> Running{false};
  bool UsesExternalContext = false;
};

} // namespace

std::unique_ptr<HttpServer> makeHttpServer(HttpServerOptions Options,
                                           HttpHandler Handler) {
  return std::make_unique<BeastHttpServer>(std::move(Options),
                                           std::move(Handler));
}

std::unique_ptr<HttpServer> makeHttpServer(asio::io_context &Context,
                                           HttpServerOptions Options,
                                           HttpHandler Handler) {
  return std::make_unique<BeastHttpServer>(Context, std::move(Options),
                                           std::move(Handler));
}

} // namespace hyssoprail
