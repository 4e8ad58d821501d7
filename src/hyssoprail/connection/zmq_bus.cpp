#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <google/protobuf/stubs/logging.h>
#include <spdlog/spdlog.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.hpp>

#include "hyssoprail/connection/bus.hpp"

namespace hyssoprail {
namespace {

/// Messages that a socket queues for a peer before it drops new ones.
constexpr int HighWaterMark = 100'000;

/// A larger message closes the connection it is received on.
constexpr std::int64_t MaxMessageBytes = std::int64_t{64} * 1024 * 1024;

/// Maximum number of sockets of a process. ZeroMQ's default of 1,023 is fewer
/// than the links of one entry at the target size of a deployment.
constexpr int MaxSockets = 65'535;

/// Messages received from one socket before the next socket is served.
constexpr int ReceiveBatch = 64;

enum class CommandKind { Open, Close, Send, Reply, Stop };

struct Command {
  CommandKind Kind = CommandKind::Stop;
  LinkId Link = 0;
  std::string Target; ///< address to open or identity to reply to
  std::string Data;
};

void configure(zmq::socket_t &Socket) {
  Socket.set(zmq::sockopt::linger, 0);
  Socket.set(zmq::sockopt::sndhwm, HighWaterMark);
  Socket.set(zmq::sockopt::rcvhwm, HighWaterMark);
  Socket.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
  Socket.set(zmq::sockopt::reconnect_ivl, 50);
  Socket.set(zmq::sockopt::reconnect_ivl_max, 500);
}

/// Reads and discards the parts that follow \p Last. Messages of this project
/// have one part; a further part must not be taken for the sender identity of
/// the next message. Returns true if there were further parts.
bool discardParts(zmq::socket_t &Socket, const zmq::message_t &Last) {
  if (!Last.more())
    return false;
  zmq::message_t Part;
  while (Socket.recv(Part, zmq::recv_flags::dontwait) && Part.more()) {
  }
  return true;
}

class ZmqBus : public Bus {
public:
  ZmqBus(BusOptions Options, const Clock &Time)
      : Options(std::move(Options)), Time(Time),
        WakeFd(eventfd(0, EFD_NONBLOCK)), Context(1) {
    Context.set(zmq::ctxopt::max_sockets, MaxSockets);
    // Protobuf prints a line for each string that is not UTF-8. The bus itself
    // logs messages that cannot be parsed.
    google::protobuf::SetLogHandler(nullptr);
  }

  ~ZmqBus() override {
    stop();
    close(WakeFd);
  }

  Status start(Handler OnMessage) override {
    this->OnMessage = std::move(OnMessage);
    if (!Options.BindAddress.empty()) {
      Server = zmq::socket_t(Context, zmq::socket_type::router);
      configure(Server);
      try {
        Server.bind(Options.BindAddress);
      } catch (const zmq::error_t &E) {
        return Error{ErrorKind::Unavailable,
                     "cannot listen on " + Options.BindAddress + ": " +
                         E.what(),
                     "choose an address of this VM and a free port",
                     "peer_address",
                     {}};
      }
      Bound = Server.get(zmq::sockopt::last_endpoint);
    }
    Running = true;
    Thread = std::thread([this] { run(); });
    return std::monostate{};
  }

  void stop() override {
    if (!Running.exchange(false))
      return;
    enqueue({CommandKind::Stop, 0, {}, {}});
    if (Thread.joinable())
      Thread.join();
  }

  LinkId openLink(const std::string &Address) override {
    const LinkId Link = ++NextLink;
    enqueue({CommandKind::Open, Link, Address, {}});
    return Link;
  }

  void closeLink(LinkId Link) override {
    enqueue({CommandKind::Close, Link, {}, {}});
  }

  void send(LinkId Link, wire::Envelope Message) override {
    enqueue({CommandKind::Send, Link, {}, serialize(Message)});
  }

  void reply(const std::string &Identity, wire::Envelope Message) override {
    enqueue({CommandKind::Reply, 0, Identity, serialize(Message)});
  }

  std::string boundAddress() const override { return Bound; }
  std::uint64_t bytesSent() const override { return Sent; }
  std::uint64_t bytesReceived() const override { return Received; }

private:
  std::string serialize(wire::Envelope &Message) {
    Message.set_sender(Options.Name);
    Message.set_incarnation(Options.Incarnation);
    Message.set_sent_unix_us(Time.unixMicros());
    return Message.SerializeAsString();
  }

  void enqueue(Command C) {
    bool WasEmpty = false;
    {
      std::lock_guard Lock(Mutex);
      WasEmpty = Commands.empty();
      Commands.push_back(std::move(C));
    }
    if (WasEmpty) {
      const std::uint64_t One = 1;
      [[maybe_unused]] auto Written = write(WakeFd, &One, sizeof One);
    }
  }

  void run() {
    bool KeepRunning = true;
    while (KeepRunning) {
      std::vector<zmq::pollitem_t> Items;
      std::vector<LinkId> PolledLinks;
      Items.push_back({nullptr, WakeFd, ZMQ_POLLIN, 0});
      if (Server)
        Items.push_back({Server.handle(), 0, ZMQ_POLLIN, 0});
      const std::size_t FirstLink = Items.size();
      for (auto &[Link, Socket] : Links) {
        Items.push_back({Socket.handle(), 0, ZMQ_POLLIN, 0});
        PolledLinks.push_back(Link);
      }
      zmq::poll(Items.data(), Items.size(), std::chrono::milliseconds(-1));
      if ((Items[0].revents & ZMQ_POLLIN) != 0)
        KeepRunning = runCommands();
      if (Server && (Items[1].revents & ZMQ_POLLIN) != 0)
        receiveFromPeers();
      for (std::size_t I = 0; I < PolledLinks.size(); ++I)
        if ((Items[FirstLink + I].revents & ZMQ_POLLIN) != 0)
          receiveFromLink(PolledLinks[I]);
    }
    Links.clear();
    Server.close();
  }

  bool runCommands() {
    std::uint64_t Count = 0;
    [[maybe_unused]] auto Got = read(WakeFd, &Count, sizeof Count);
    std::deque<Command> Batch;
    {
      std::lock_guard Lock(Mutex);
      Batch.swap(Commands);
    }
    for (Command &C : Batch) {
      if (C.Kind == CommandKind::Stop)
        return false;
      try {
        execute(C);
      } catch (const zmq::error_t &E) {
        spdlog::warn("[bus] Message to {} dropped: {}.", C.Target, E.what());
      }
    }
    return true;
  }

  void execute(Command &C) {
    switch (C.Kind) {
    case CommandKind::Open: {
      zmq::socket_t Socket(Context, zmq::socket_type::dealer);
      configure(Socket);
      Socket.connect(C.Target);
      Links.emplace(C.Link, std::move(Socket));
      return;
    }
    case CommandKind::Close:
      Links.erase(C.Link);
      return;
    case CommandKind::Send: {
      auto It = Links.find(C.Link);
      if (It != Links.end() &&
          It->second.send(zmq::buffer(C.Data), zmq::send_flags::dontwait))
        Sent += C.Data.size();
      return;
    }
    case CommandKind::Reply:
      if (Server.send(zmq::buffer(C.Target),
                      zmq::send_flags::sndmore | zmq::send_flags::dontwait) &&
          Server.send(zmq::buffer(C.Data), zmq::send_flags::dontwait))
        Sent += C.Data.size();
      return;
    case CommandKind::Stop:
      return;
    }
  }

  void receiveFromPeers() {
    for (int I = 0; I < ReceiveBatch; ++I) {
      zmq::message_t Identity;
      zmq::message_t Data;
      if (!Server.recv(Identity, zmq::recv_flags::dontwait))
        return;
      if (!Identity.more() || !Server.recv(Data, zmq::recv_flags::dontwait))
        continue;
      if (discardParts(Server, Data))
        continue;
      deliver({0, Identity.to_string()}, Data);
    }
  }

  void receiveFromLink(LinkId Link) {
    for (int I = 0; I < ReceiveBatch; ++I) {
      auto It = Links.find(Link);
      zmq::message_t Data;
      if (It == Links.end() ||
          !It->second.recv(Data, zmq::recv_flags::dontwait))
        return;
      if (discardParts(It->second, Data))
        continue;
      deliver({Link, {}}, Data);
    }
  }

  void deliver(const BusSource &Source, const zmq::message_t &Data) {
    Received += Data.size();
    wire::Envelope Message;
    if (!Message.ParseFromArray(Data.data(), static_cast<int>(Data.size()))) {
      logMalformed(Data.size());
      return;
    }
    OnMessage(Source, std::move(Message));
  }

  /// Logs at most once per second, so that a malicious peer cannot fill the
  /// log.
  void logMalformed(std::size_t Size) {
    ++MalformedCount;
    const TimePoint Now = Time.now();
    if (Now < NextMalformedLog)
      return;
    NextMalformedLog = Now + std::chrono::seconds(1);
    spdlog::warn("[bus] {} messages could not be parsed; the last one had {} "
                 "bytes.",
                 std::exchange(MalformedCount, 0), Size);
  }

  BusOptions Options;
  const Clock &Time;
  Handler OnMessage;
  int WakeFd;
  std::string Bound;
  zmq::context_t Context;
  zmq::socket_t Server;
  std::map<LinkId, zmq::socket_t> Links;
  std::mutex Mutex;
  std::deque<Command> Commands;
  std::uint64_t MalformedCount = 0; ///< since the last log line
  TimePoint NextMalformedLog;
  std::atomic<LinkId> NextLink{0};
  std::atomic<bool> Running{false};
  std::atomic<std::uint64_t> Sent{0};
  std::atomic<std::uint64_t> Received{0};
  std::thread Thread;
};

} // namespace

std::unique_ptr<Bus> makeZmqBus(BusOptions Options, const Clock &Time) {
  return std::make_unique<ZmqBus>(std::move(Options), Time);
}

} // namespace hyssoprail
