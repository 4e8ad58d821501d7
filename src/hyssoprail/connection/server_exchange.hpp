#ifndef HYSSOPRAIL_CONNECTION_SERVER_EXCHANGE_HPP
#define HYSSOPRAIL_CONNECTION_SERVER_EXCHANGE_HPP

#include <functional>
#include <mutex>
#include <string>

#include "hyssoprail/connection/http_server.hpp"

namespace hyssoprail {

/// Answer of one exchange as it is handed from any thread to the connection.
/// It may outlive the connection and the server.
class ServerExchange : public HttpExchange {
public:
  /// \p Wake is called with the lock held when the connection has something to
  /// do; it must only post to the connection's thread.
  ServerExchange(HttpRequest Request, std::size_t MaxUnsentBytes,
                 std::function<void()> Wake)
      : Request(std::move(Request)), MaxUnsentBytes(MaxUnsentBytes),
        Wake(std::move(Wake)) {}

  const HttpRequest &request() const override { return Request; }
  void respond(HttpResponse Response) override;
  void begin(unsigned Status, HttpHeaders Headers) override;
  void write(std::string Data) override;
  void finish() override;
  void abort() override;
  void onDisconnect(std::function<void()> Callback) override;
  std::size_t unsentBytes() const override;

  /// What the connection has to do next.
  struct Step {
    bool Started = false;
    bool Whole = false;
    bool Finished = false;
    bool Aborted = false;
    bool Disconnected = false;
    std::string Data;
  };

  /// Called on the connection's thread.
  Step takeStep();

  /// True if something happened since the last takeStep().
  bool woken() const;

  /// True if the rest of the answer is not to be sent.
  bool broken() const;

  /// Called on the connection's thread only, after the answer has begun.
  HttpResponse &head() { return Head; }

  /// Reports that the caller is gone.
  void disconnect();

  /// Ends the exchange; neither function is called any more.
  void complete();

private:
  void wake();
  void wakeUrgently();

  const HttpRequest Request;
  const std::size_t MaxUnsentBytes;
  mutable std::mutex Mutex;
  std::function<void()> Wake;
  std::function<void()> DisconnectCallback;
  HttpResponse Head;
  std::string Unsent;
  bool Started = false;
  bool Finished = false;
  bool Whole = false;
  bool Aborted = false;
  bool Disconnected = false;
  bool Complete = false;
  bool Woken = false;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_SERVER_EXCHANGE_HPP
