#ifndef HYSSOPRAIL_CONNECTION_UPSTREAM_SENDER_HPP
#define HYSSOPRAIL_CONNECTION_UPSTREAM_SENDER_HPP

#include "hyssoprail/connection/upstream_client.hpp"

#include <future>
#include <memory>
#include <string>

#include "hyssoprail/testing/http_fixture.hpp"

namespace hyssoprail::testing {

/// How an exchange of an UpstreamSender ended, and what it received.
struct UpstreamOutcome {
  UpstreamEnd End = UpstreamEnd::Broken;
  unsigned Status = 0;
  std::string Body;
};

/// Sends requests of an UpstreamClient and waits for each to end.
class UpstreamSender {
public:
  UpstreamSender() : Client(makeUpstreamClient(Loop.context())) {}
  ~UpstreamSender() { Loop.stop(); }

  UpstreamOutcome
  send(const std::string &Authority, const std::string &Id,
       std::chrono::milliseconds Timeout = std::chrono::seconds(5),
       const std::string &Incarnation = "", const std::string &RequestId = "") {
    UpstreamCall Call;
    Call.Authority = Authority;
    Call.Request = {"GET", "/", {{"Host", "h"}}, ""};
    Call.HeadTimeout = Timeout;
    Call.Incarnation = Incarnation;
    Call.RequestId = RequestId;
    return send(std::move(Call), [Id](const HttpResponse &Head) {
      return headerValue(Head.Headers, "Request-Id") == Id;
    });
  }

  UpstreamOutcome
  send(UpstreamCall Call,
       std::function<bool(const HttpResponse &)> MatchesRequest = {}) {
    std::promise<UpstreamOutcome> Done;
    auto Result = Done.get_future();
    auto Seen = std::make_shared<UpstreamOutcome>();
    UpstreamHandlers H;
    H.MatchesRequest = std::move(MatchesRequest);
    H.OnHead = [Seen](const HttpResponse &Head) { Seen->Status = Head.Status; };
    H.OnData = [Seen](std::string_view Data) { Seen->Body += Data; };
    H.OnEnd = [Seen, &Done](UpstreamEnd End, const std::string &) {
      Seen->End = End;
      Done.set_value(*Seen);
    };
    run([&] { Client->send(std::move(Call), std::move(H)); });
    return Result.get();
  }

  /// Runs \p Work on the event loop of the client and waits for its end. An
  /// exception of \p Work is thrown here.
  void run(const std::function<void()> &Work) {
    std::promise<void> Done;
    boost::asio::post(Loop.context(), [&] {
      try {
        Work();
        Done.set_value();
      } catch (...) {
        Done.set_exception(std::current_exception());
      }
    });
    Done.get_future().get();
  }

  UpstreamClient &client() { return *Client; }

private:
  LoopThread Loop;
  std::unique_ptr<UpstreamClient> Client;
};

} // namespace hyssoprail::testing

#endif // HYSSOPRAIL_CONNECTION_UPSTREAM_SENDER_HPP
