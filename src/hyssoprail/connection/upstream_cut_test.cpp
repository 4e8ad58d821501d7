// Answers that are cut at any byte, and endpoints that send without end where
// nobody waits for an answer.
#include "hyssoprail/connection/upstream_client.hpp"

#include <atomic>
#include <utility>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "hyssoprail/connection/upstream_sender.hpp"
#include "hyssoprail/testing/endless_server.hpp"
#include "hyssoprail/testing/scripted_server.hpp"

namespace hyssoprail {
namespace {

using testing::EndlessServer;
using testing::ScriptedServer;
using testing::UpstreamOutcome;
using testing::UpstreamSender;
using testing::waitUntil;

constexpr std::chrono::milliseconds Timeout{2'000};

/// Far more than a client may read of an answer that it does not need.
constexpr std::size_t MaxEndlessBytes = 12'000'000;

const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
                         "Signature: s\r\n";

/// Sends one request to an endpoint that closes after the first \p Size bytes
/// of \p Answer.
UpstreamOutcome sendToCut(UpstreamSender &S, const std::string &Answer,
                          std::size_t Size) {
  ScriptedServer Server({{Answer.substr(0, Size), true}});
  return S.send(Server.authority(), "1", Timeout);
}

} // namespace

// Guards against an answer that was cut and counts as complete: its caller
// would get a 200 with an empty or short body, framed as whole.
TEST_CASE("an answer that is cut at any byte is not complete") {
  const std::vector<std::string> Answers{
      Head + "Content-Length: 5\r\n\r\nabcde",
      Head + "Content-Length: 0\r\n\r\n",
      Head + "Transfer-Encoding: chunked\r\n\r\n"
             "2\r\nab\r\n3;name=value\r\ncde\r\n0\r\nTrailer: value\r\n\r\n"};
  UpstreamSender S;
  for (const std::string &Answer : Answers) {
    for (std::size_t Size = 0; Size < Answer.size(); ++Size) {
      CAPTURE(Answer, Size);
      CHECK(sendToCut(S, Answer, Size).End == UpstreamEnd::Broken);
    }
    CHECK(sendToCut(S, Answer, Answer.size()).End == UpstreamEnd::Complete);
  }
}

// As above, for an answer that ends with its connection: nothing tells whether
// it is whole, so it never counts as complete, and what was sent must arrive.
TEST_CASE("an answer without framing is closed if its head is complete") {
  const std::string Body = "abcde";
  UpstreamSender S;
  for (const std::string Version : {"1", "0"}) {
    std::string Answer = Head;
    Answer.append("\r\n").append(Body);
    Answer.replace(7, 1, Version);
    for (std::size_t Size = 0; Size <= Answer.size(); ++Size) {
      CAPTURE(Answer, Size);
      const UpstreamOutcome O = sendToCut(S, Answer, Size);
      const std::size_t HeadSize = Answer.size() - Body.size();
      CHECK(O.End ==
            (Size >= HeadSize ? UpstreamEnd::Closed : UpstreamEnd::Broken));
      if (Size >= HeadSize)
        CHECK(O.Body == Body.substr(0, Size - HeadSize));
    }
  }
}

// Guards against a part of an answer that counts as complete: the endpoint
// answers a long upload at once, without a length, and resets the connection
// while the upload is still being written, so the write takes the error.
TEST_CASE("an answer without framing that is reset during an upload is cut") {
  constexpr std::size_t UploadBytes = 8'000'000;
  constexpr int Tries = 20; // the write does not always come before the read
  UpstreamSender S;
  for (int I = 0; I < Tries; ++I) {
    ScriptedServer Server({{Head + "\r\npart", false, true}});
    UpstreamCall Call;
    Call.Authority = Server.authority();
    Call.Request = {
        "POST", "/", {{"Host", "h"}}, std::string(UploadBytes, 'x')};
    Call.HeadTimeout = Timeout;
    CHECK(S.send(Call).End == UpstreamEnd::Broken);
  }
}

// Guards against an answer whose end is guessed: what follows the guess would
// be the answer to the next request, or is missing from this one.
TEST_CASE("an answer without a certain end is broken") {
  UpstreamSender S;
  for (const std::string Fields :
       {"Transfer-Encoding: gzip\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 2\r\n"}) {
    CAPTURE(Fields);
    ScriptedServer Server({{Head + Fields + "\r\n0\r\n\r\n", true}});
    CHECK(S.send(Server.authority(), "1", Timeout).End == UpstreamEnd::Broken);
  }
  std::string Old = Head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
  Old.replace(7, 1, "0");
  ScriptedServer Server({{Old, true}});
  CHECK(S.send(Server.authority(), "1", Timeout).End == UpstreamEnd::Broken);
}

// Guards against a body that a 204 states and that comes late: it would be read
// as the answer to the next request.
TEST_CASE("a connection is not used again after a 204 that states a body") {
  ScriptedServer Server({{"HTTP/1.1 204 No Content\r\nRequest-Id: 1\r\n"
                          "Content-Length: 4\r\n\r\n"},
                         {Head + "Content-Length: 2\r\n\r\nok"}});
  UpstreamSender S;
  CHECK(S.send(Server.authority(), "1", Timeout).Status == 204);
  CHECK(S.send(Server.authority(), "1", Timeout).Body == "ok");
  CHECK(Server.connections() == 2);
}

// Guards against an answer whose status is no status.
TEST_CASE("an answer with the status 000 is no answer") {
  UpstreamSender S;
  ScriptedServer Server({{"HTTP/1.1 000 Odd\r\nRequest-Id: 1\r\n"
                          "Signature: s\r\nContent-Length: 2\r\n\r\nno",
                          true}});
  const UpstreamOutcome O = S.send(Server.authority(), "1", Timeout);
  CHECK(O.End == UpstreamEnd::Broken);
  CHECK(O.Body.empty());
}

// Guards against a request that was given up and reaches its endpoint seconds
// later: after an ordinary close the kernel sends what was not acknowledged
// (review/9, EVAC).
TEST_CASE("a request that is given up ends its connection with a reset") {
  const bool TimesOut = GENERATE(false, true);
  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor(
      Context, {boost::asio::ip::address_v4::loopback(), 0});
  UpstreamSender S;
  UpstreamCall Call;
  Call.Authority =
      "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  Call.Request = {"GET", "/", {{"Host", "h"}}, ""};
  Call.HeadTimeout = TimesOut ? std::chrono::milliseconds(50) : Timeout;
  std::shared_ptr<UpstreamExchange> Exchange;
  S.run([&] { Exchange = S.client().send(std::move(Call), {}); });
  boost::asio::ip::tcp::socket Endpoint = Acceptor.accept();
  std::string Received;
  boost::system::error_code Code;
  boost::asio::read_until(Endpoint, boost::asio::dynamic_buffer(Received),
                          "\r\n\r\n", Code);
  REQUIRE_FALSE(Code);
  if (!TimesOut)
    S.run([&] { Exchange->cancel(); });
  char Byte = 0;
  Endpoint.read_some(boost::asio::buffer(&Byte, 1), Code);
  CHECK(Code == boost::asio::error::connection_reset);
}

/// An endpoint that a request was sent to, which has been read.
struct AskedEndpoint {
  AskedEndpoint() {
    UpstreamHandlers H;
    H.OnHead = [this](const HttpResponse &) { ++EarlierCalls; };
    H.OnEnd = [this](UpstreamEnd, const std::string &) { ++EarlierCalls; };
    Exchange = send(std::move(H));
    Connection = acceptRequest();
    // The request can arrive before the step of the loop ends that sent it.
    // After this one, the end of the write is handled before any later step.
    Sender.run([] {});
  }

  std::shared_ptr<UpstreamExchange> send(UpstreamHandlers H) {
    UpstreamCall Call;
    Call.Authority =
        "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    Call.Request = {"GET", "/", {{"Host", "h"}}, ""};
    Call.HeadTimeout = Timeout;
    std::shared_ptr<UpstreamExchange> Sent;
    Sender.run(
        [&] { Sent = Sender.client().send(std::move(Call), std::move(H)); });
    return Sent;
  }

  boost::asio::ip::tcp::socket acceptRequest() {
    boost::asio::ip::tcp::socket Accepted = Acceptor.accept();
    std::string Received;
    boost::asio::read_until(Accepted, boost::asio::dynamic_buffer(Received),
                            "\r\n\r\n");
    return Accepted;
  }

  std::size_t idleConnections() {
    std::size_t Count = 0;
    Sender.run([&] { Count = Sender.client().idleConnections(); });
    return Count;
  }

  void abandon(std::chrono::milliseconds HeadWait) {
    UpstreamHandlers H;
    H.OnHead = [this](const HttpResponse &Head) { Status = Head.Status; };
    Sender.run([&] { Exchange->abandon(HeadWait, std::move(H)); });
  }

  /// True if the other side has closed its half of the connection.
  bool halfClosed() {
    boost::system::error_code Code;
    char Byte = 0;
    Connection.read_some(boost::asio::buffer(&Byte, 1), Code);
    return Code == boost::asio::error::eof;
  }

  /// True if the other side has reset the connection; sends a byte if not.
  bool wasReset() {
    boost::system::error_code Code;
    boost::asio::write(Connection, boost::asio::buffer("x", 1), Code);
    return Code == boost::asio::error::connection_reset ||
           Code == boost::asio::error::broken_pipe;
  }

  boost::asio::io_context Context;
  boost::asio::ip::tcp::acceptor Acceptor{
      Context, {boost::asio::ip::address_v4::loopback(), 0}};
  boost::asio::ip::tcp::socket Connection{Context};
  std::atomic<unsigned> Status{0};
  std::atomic<unsigned> EarlierCalls{0};
  UpstreamSender Sender;
  std::shared_ptr<UpstreamExchange> Exchange;
};

// Guards against the answer to a request that was given up: what it states of
// its endpoint was not read, so the endpoint got more requests in a time for
// which it had asked for none (review/not-claimed/late-refusal, BUDGET).
TEST_CASE("the head of an abandoned response is read, and nothing behind it") {
  AskedEndpoint E;
  E.abandon(Timeout);
  CHECK(E.halfClosed());
  boost::asio::write(E.Connection,
                     boost::asio::buffer(std::string(
                         "HTTP/1.1 503 Busy\r\nContent-Length: 999\r\n\r\n")));
  CHECK(waitUntil([&] { return E.Status == 503; }));
  CHECK(waitUntil([&] { return E.wasReset(); }));
  CHECK(E.EarlierCalls == 0);
}

TEST_CASE("an abandoned request ends with a reset when its time is over") {
  AskedEndpoint E;
  E.abandon(std::chrono::milliseconds(50));
  CHECK(E.halfClosed());
  CHECK(waitUntil([&] { return E.wasReset(); }));
  CHECK(E.Status == 0);
  CHECK(E.EarlierCalls == 0);
}

// Guards against new connections to a sound endpoint that closes the connection
// of a request which was given up.
TEST_CASE("an abandoned request closes no other connection to its endpoint") {
  AskedEndpoint E;
  E.send({});
  boost::asio::ip::tcp::socket Other = E.acceptRequest();
  boost::asio::write(
      Other, boost::asio::buffer(
                 std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
  REQUIRE(waitUntil([&] { return E.idleConnections() == 1; }));
  E.abandon(Timeout);
  E.Connection.close();
  const std::weak_ptr<UpstreamExchange> Abandoned =
      std::exchange(E.Exchange, nullptr);
  CHECK(waitUntil([&] { return Abandoned.expired(); }));
  CHECK(E.idleConnections() == 1);
}

// Guards against a connection that stays open for good, because nobody waits
// for the end of its exchange: the endpoint sends an answer without end, or
// none after its head.
TEST_CASE("an exchange without handlers ends at its timeout") {
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  struct Endless {
    std::string Prefix;
    std::string Block;
    std::chrono::milliseconds Pause{0};
  };
  const std::vector<Endless> Servers{
      {Head + "\r\n", std::string(10'000, 'x')},
      {Chunked, "3e8\r\n" + std::string(1'000, 'x') + "\r\n"},
      {Head + "Content-Length: 1000\r\n\r\n", "x",
       std::chrono::milliseconds(100)}};
  for (const Endless &E : Servers) {
    CAPTURE(E.Prefix, E.Block.substr(0, 10));
    EndlessServer Server(E.Prefix, E.Block, E.Pause);
    UpstreamSender S;
    UpstreamCall Call;
    Call.Authority = Server.authority();
    Call.Request = {"DELETE", "/", {}, ""};
    Call.HeadTimeout = std::chrono::milliseconds(400);
    S.run([&] { S.client().send(std::move(Call), {}); });
    CHECK(waitUntil([&] { return Server.requests() == 1; }));
    CHECK(waitUntil([&] { return Server.closed(); }, Timeout));
    CHECK(Server.sentBytes() < MaxEndlessBytes);
  }
}

} // namespace hyssoprail
