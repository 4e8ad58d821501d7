#ifndef HYSSOPRAIL_CONNECTION_SERVER_EXCHANGE_HPP
#define HYSSOPRAIL_CONNECTION_SERVER_EXCHANGE_HPP

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "hyssoprail/connection/http_server.hpp"
#include "hyssoprail/core/memory_account.hpp"

namespace hyssoprail {

/// A request and what is held for it.
struct ReceivedRequest {
  MemoryReservation Memory; ///< given back after Request is destroyed
  std::shared_ptr<void> Admission;
  HttpRequest Request;
};

/// Passes the response of one exchange from any thread to its connection. May
/// outlive the connection and the server.
class ServerExchange : public HttpExchange {
public:
  /// How an exchange reaches its connection.
  struct ConnectionHooks {
    /// Called with the mutex held when there is an update for the connection;
    /// it must only post to the connection's thread.
    std::function<void()> Wake;
    /// Looks whether the client is connected, on the connection's thread.
    std::function<bool()> ClientConnected;
  };

  ServerExchange(ReceivedRequest Received,
                 std::shared_ptr<MemoryAccount> Account,
                 std::size_t MaxUnsentBytes, ConnectionHooks Hooks)
      : Received(std::move(Received)), MaxUnsentBytes(MaxUnsentBytes),
        Wake(std::move(Hooks.Wake)),
        LookAtClient(std::move(Hooks.ClientConnected)),
        ResponseMemory(std::move(Account)) {}

  const HttpRequest &request() const override { return Received.Request; }
  void respond(HttpResponse Response) override;
  void begin(unsigned Status, HttpHeaders Headers) override;
  void write(std::string Data) override;
  void finish() override;
  void abort() override;
  void onDisconnect(std::function<void()> Callback) override;
  bool clientConnected() const override { return LookAtClient(); }
  std::size_t unsentBytes() const override;
  std::shared_ptr<void> admission() const override {
    return Received.Admission;
  }

  /// State of the response, and the data added since the last update.
  struct Update {
    bool Started = false;
    bool FullResponse = false;
    bool Finished = false;
    bool Aborted = false;
    bool Disconnected = false;
    bool Overflowed = false; ///< the client does not read, or memory is full
    std::string Data;
  };

  /// Must be called on the connection's thread.
  Update takeUpdate();

  /// Returns true if there is an update since the last takeUpdate().
  bool hasUpdate() const;

  /// Returns true if the rest of the response must not be sent.
  bool cancelled() const;

  /// Must be called on the connection's thread, after the response has begun.
  HttpResponse &head() { return Head; }

  /// Reports that the client has disconnected.
  void disconnect();

  /// Ends the exchange; neither Wake nor the disconnect callback is called
  /// afterwards.
  void complete();

private:
  bool reserve(std::size_t Bytes);
  void wake();
  void forceWake();

  const ReceivedRequest Received;
  const std::size_t MaxUnsentBytes;
  mutable std::mutex Mutex;
  std::function<void()> Wake;
  const std::function<bool()> LookAtClient;
  std::function<void()> DisconnectCallback;
  HttpResponse Head;
  std::string Unsent;
  /// For Unsent, and for the data of the last update while it is being sent.
  MemoryReservation ResponseMemory;
  bool Started = false;
  bool Finished = false;
  bool FullResponse = false; ///< set by respond(): head and body at once
  bool Aborted = false;
  bool Disconnected = false;
  bool Overflowed = false;
  bool Complete = false;
  bool WakePending = false;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_SERVER_EXCHANGE_HPP
