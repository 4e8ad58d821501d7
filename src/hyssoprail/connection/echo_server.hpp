#ifndef HYSSOPRAIL_CONNECTION_ECHO_SERVER_HPP
#define HYSSOPRAIL_CONNECTION_ECHO_SERVER_HPP

#include "hyssoprail/connection/http_server.hpp"

#include <atomic>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <utility>

#include <catch2/catch.hpp>

#include "hyssoprail/testing/http_fixture.hpp"

namespace hyssoprail::testing {

/// Server that responds with the method, target and body size of the request.
/// Keeps the exchange of the path /held for the test.
class EchoServer {
public:
  explicit EchoServer(const HttpServerOptions &Options = {})
      : Options(Options),
        Server(makeHttpServer(withErrors(Options),
                              [this](const auto &E) { handle(E); })) {
    REQUIRE(succeeded(Server->start()));
  }

  static HttpServerOptions withErrors(HttpServerOptions Options) {
    Options.MaxHeaderBytes = 4096;
    Options.MaxBodyBytes = 1000;
    Options.ErrorResponse = [](const Error &E) {
      return jsonResponse(httpStatus(E.Kind), std::string(errorCode(E.Kind)));
    };
    return Options;
  }

  void handle(const std::shared_ptr<HttpExchange> &Exchange) {
    const HttpRequest &Request = Exchange->request();
    ++Requests;
    if (Request.path() == "/held") {
      Exchange->onDisconnect([this] { ++Disconnects; });
      std::lock_guard Lock(Mutex);
      Held = Exchange;
      return;
    }
    if (Request.path() == "/abort-late") {
      // On the connection's thread, so before anything has been sent.
      Exchange->begin(200, {});
      Exchange->write("whole");
      Exchange->finish();
      return Exchange->abort();
    }
    if (Request.path() == "/abort-answered") {
      Exchange->respond({200, {}, "answer"});
      return Exchange->abort();
    }
    if (Request.path() == "/overflow") {
      // On the connection's thread, so while no write is pending.
      Exchange->onDisconnect([this] { ++Disconnects; });
      Exchange->begin(200, {});
      return Exchange->write(std::string(Options.MaxUnsentBytes + 1, 'x'));
    }
    if (Request.path() == "/throw")
      throw std::runtime_error("handler");
    Exchange->respond(
        {200,
         {{"X-Echo", Request.Method}, {"Content-Length", "99"}},
         Request.Target + " " + std::to_string(Request.Body.size())});
  }

  std::shared_ptr<HttpExchange> held() {
    waitUntil([this] {
      std::lock_guard Lock(Mutex);
      return Held != nullptr;
    });
    std::lock_guard Lock(Mutex);
    return std::exchange(Held, nullptr);
  }

  std::uint16_t port() const { return Server->port(); }

  const HttpServerOptions Options;
  std::mutex Mutex;
  std::shared_ptr<HttpExchange> Held;
  std::atomic<unsigned> Requests{0};
  std::atomic<unsigned> Disconnects{0};
  std::unique_ptr<HttpServer> Server;
};

inline bool hasStatus(const std::string &Response, const std::string &Status) {
  return Response.starts_with("HTTP/1.1 " + Status) ||
         Response.starts_with("HTTP/1.0 " + Status);
}

inline const std::string Post = "POST / HTTP/1.1\r\n";

inline std::string get(const std::string &Target,
                       const std::string &Extra = "") {
  return "GET " + Target + " HTTP/1.1\r\nHost: a\r\n" + Extra + "\r\n";
}

} // namespace hyssoprail::testing

#endif // HYSSOPRAIL_CONNECTION_ECHO_SERVER_HPP
