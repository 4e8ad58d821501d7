#ifndef HYSSOPRAIL_TESTING_HTTP_FIXTURE_HPP
#define HYSSOPRAIL_TESTING_HTTP_FIXTURE_HPP

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/connection/http_server.hpp"

namespace hyssoprail::testing {

/// Waits until \p Condition holds; returns false after \p Limit.
inline bool
waitUntil(const std::function<bool()> &Condition,
          std::chrono::milliseconds Limit = std::chrono::seconds(10)) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

/// An event loop on its own thread.
class LoopThread {
public:
  LoopThread() : Work(boost::asio::make_work_guard(Context)) {
    Thread = std::thread([this] { Context.run(); });
  }

  ~LoopThread() { stop(); }

  void stop() {
    Context.stop();
    if (Thread.joinable())
      Thread.join();
  }

  boost::asio::io_context &context() { return Context; }

private:
  boost::asio::io_context Context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  std::thread Thread;
};

/// Blocking calls for tests.
class TestClient {
public:
  TestClient() : Client(makeHttpClient(Loop.context())) {}

  /// Stops the loop before the client goes, so that no callback runs late.
  ~TestClient() { Loop.stop(); }

  std::future<Result<HttpResponse>> begin(const HttpCall &Call) {
    auto Promise = std::make_shared<std::promise<Result<HttpResponse>>>();
    auto Future = Promise->get_future();
    boost::asio::post(Loop.context(), [this, Call, Promise] {
      Client->call(Call, [Promise](Result<HttpResponse> R) {
        Promise->set_value(std::move(R));
      });
    });
    return Future;
  }

  Result<HttpResponse> call(const std::string &Authority,
                            const std::string &Method,
                            const std::string &Target,
                            const std::string &Body = "") {
    HttpCall Call;
    Call.Authority = Authority;
    Call.Request = {Method, Target, {}, Body};
    Call.Timeout = std::chrono::seconds(10);
    return begin(Call).get();
  }

  /// Like call(), but a failed call yields status 0.
  HttpResponse answer(const std::string &Authority, const std::string &Method,
                      const std::string &Target, const std::string &Body = "") {
    Result<HttpResponse> R = call(Authority, Method, Target, Body);
    if (const Error *E = errorOf(R))
      return {0, {}, E->Message};
    return valueOf(R);
  }

  HttpClient &client() { return *Client; }
  boost::asio::io_context &context() { return Loop.context(); }

private:
  LoopThread Loop;
  std::unique_ptr<HttpClient> Client;
};

/// An HTTP server that hands requests to an emulator on one event loop.
class EmulatorServer {
public:
  explicit EmulatorServer(const HttpHandler &OnRequest)
      : Server(makeHttpServer({}, [this, OnRequest](auto Exchange) {
          boost::asio::post(
              Loop.context(),
              [OnRequest, E = std::move(Exchange)] { OnRequest(E); });
        })) {}

  ~EmulatorServer() { stop(); }

  /// Ends both threads; the emulator may be destroyed afterwards.
  void stop() {
    Server->stop();
    Loop.stop();
  }

  boost::asio::io_context &context() { return Loop.context(); }
  bool start() { return succeeded(Server->start()); }
  std::string authority() const {
    return "127.0.0.1:" + std::to_string(Server->port());
  }

private:
  LoopThread Loop;
  std::unique_ptr<HttpServer> Server;
};

} // namespace hyssoprail::testing

#endif // HYSSOPRAIL_TESTING_HTTP_FIXTURE_HPP
