#ifndef HYSSOPRAIL_REVIEW_ENGINE_HPP
#define HYSSOPRAIL_REVIEW_ENGINE_HPP

#include <set>

#include "harness.hpp"
#include "hyssoprail/connection/http_server.hpp"

namespace hyssoprail::review {

/// Each answer of an engine takes about a second.
constexpr unsigned EventCount = 70;
constexpr milliseconds EventGap{14};

/// The requests that have reached a worker.
class Seen {
public:
  void arrived(const std::string &Id) {
    std::lock_guard Lock(Mutex);
    Arrivals.insert(Id);
  }
  bool hasArrived(const std::string &Id) {
    std::lock_guard Lock(Mutex);
    return Arrivals.contains(Id);
  }

private:
  std::mutex Mutex;
  std::set<std::string> Arrivals;
};

/// A sound decode engine: each answer is a stream of EventCount events.
class Engine {
public:
  Engine(std::string Id, Seen &Found, Record &Out)
      : Id(std::move(Id)), Found(Found), Out(Out),
        Server(makeHttpServer({}, [this](auto E) { serve(E); })) {
    Server->start();
  }
  ~Engine() {
    Stopping = true;
    Server->stop();
    for (std::thread &T : Streams)
      T.join();
  }

  std::string registration() const {
    return nlohmann::json{
        {"service", "assistant"},
        {"address", "127.0.0.1:" + std::to_string(Server->port())},
        {"zone", "z1"},
        {"version", "v1"},
        {"slots", 64},
        {"state", "ready"},
        {"sequence", 1},
        {"cold_remaining_ms", 0},
        {"born", 1},
        {"stage", "decode"}}
        .dump();
  }
  const std::string &id() const { return Id; }

private:
  void serve(const std::shared_ptr<HttpExchange> &E) {
    const HttpHeaders &H = E->request().Headers;
    const std::string Request(headerValue(H, "X-Attempt-Id"));
    if (headerValue(H, "X-Expect-Instance") != Id)
      return E->respond({421, {{"X-Attempt-Id", Request}}, "{}"});
    Found.arrived(Request);
    Out.line("run      " + Request + " at " + Id + ", body " +
             std::to_string(E->request().Body.size()) + " bytes");
    const std::string Last(headerValue(H, "Last-Event-Id"));
    const unsigned First = Last.empty() ? 1 : std::stoul(Last) + 1;
    auto Left = std::make_shared<std::atomic<bool>>(false);
    E->onDisconnect([Left] { *Left = true; });
    E->begin(200, {{"X-Attempt-Id", Request},
                   {"X-Response-Signature", "signed-by-" + Id},
                   {"Content-Type", "text/event-stream"}});
    std::lock_guard Lock(Mutex);
    Streams.emplace_back([this, E, Left, First] {
      for (unsigned I = First; I <= EventCount && !*Left && !Stopping; ++I) {
        std::this_thread::sleep_for(EventGap);
        E->write("id: " + std::to_string(I) + "\ndata: token\n\n");
      }
      E->finish();
    });
  }

  const std::string Id;
  Seen &Found;
  Record &Out;
  std::atomic<bool> Stopping{false};
  std::mutex Mutex;
  std::vector<std::thread> Streams;
  std::unique_ptr<HttpServer> Server;
};

} // namespace hyssoprail::review

#endif // HYSSOPRAIL_REVIEW_ENGINE_HPP
