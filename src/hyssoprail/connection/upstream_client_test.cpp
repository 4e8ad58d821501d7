#include "hyssoprail/connection/upstream_client.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/connection/upstream_sender.hpp"
#include "hyssoprail/testing/endless_server.hpp"
#include "hyssoprail/testing/scripted_server.hpp"

namespace hyssoprail {
namespace {

using testing::EndlessServer;
using testing::ScriptedAnswer;
using testing::ScriptedServer;
using Outcome = testing::UpstreamOutcome;
using Sender = testing::UpstreamSender;

std::string response(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

} // namespace

// Guards against a new connection for every request.
TEST_CASE("a connection is reused after a complete response") {
  ScriptedServer Server({{response("1", "a")}, {response("2", "b")}});
  Sender S;
  REQUIRE(S.send(Server.authority(), "1").Body == "a");
  REQUIRE(S.send(Server.authority(), "2").Body == "b");
  REQUIRE(Server.connections() == 1);
}

// Guards against the reuse of connections to an endpoint that crashed and was
// restarted at the same address: requests on connections to the old incarnation
// were reset and counted as lost.
TEST_CASE("a connection to an earlier incarnation is not reused") {
  ScriptedServer Server({{response("1", "a")}, {response("2", "b")}});
  Sender S;
  constexpr std::chrono::seconds Timeout{5};
  REQUIRE(S.send(Server.authority(), "1", Timeout, "old").Body == "a");
  REQUIRE(S.send(Server.authority(), "2", Timeout, "new").Body == "b");
  REQUIRE(Server.connections() == 2);
}

// Guards against a late copy of the response to an earlier send of the same
// request that is taken for the response to the present one.
TEST_CASE("a request is not sent twice on the same connection") {
  ScriptedServer Server({{response("1", "first")},
                         {response("2", "b")},
                         {response("1", "second")},
                         {response("2", "c")},
                         {response("3", "d")}});
  Sender S;
  const auto Send = [&](const std::string &Id) {
    return S.send(Server.authority(), Id, std::chrono::seconds(5), "", Id).Body;
  };
  REQUIRE(Send("1") == "first");
  REQUIRE(Send("2") == "b");
  REQUIRE(Server.connections() == 1);
  REQUIRE(Send("1") == "second");
  REQUIRE(Server.connections() == 2);
  REQUIRE(Send("2") == "c"); // on the second connection
  REQUIRE(Send("3") == "d");
  REQUIRE(Server.connections() == 2);
}

// Guards against the ids of all requests of a connection taking up memory
// without bound, and against a new connection for every few requests.
TEST_CASE("a connection is closed after a number of requests") {
  constexpr unsigned Requests = 600;
  std::vector<ScriptedAnswer> Script;
  for (unsigned I = 0; I < Requests; ++I)
    Script.push_back({response(std::to_string(I), "a")});
  ScriptedServer Server(Script);
  Sender S;
  for (unsigned I = 0; I < Requests; ++I) {
    const std::string Id = std::to_string(I);
    REQUIRE(
        S.send(Server.authority(), Id, std::chrono::seconds(5), "", Id).End ==
        UpstreamEnd::Complete);
  }
  REQUIRE(Server.connections() == 3);
}

// Guards against a late duplicate response that is taken for the response to
// the next request.
TEST_CASE("a response to an earlier request is skipped") {
  ScriptedServer Server({{response("old", "x") + response("1", "a")}});
  Sender S;
  const Outcome O = S.send(Server.authority(), "1");
  REQUIRE(O.End == UpstreamEnd::Complete);
  REQUIRE(O.Body == "a");
}

// Guards against stray data that becomes part of the next response.
TEST_CASE("a connection with data after its response is not reused") {
  ScriptedServer Server({{response("1", "a") + "stray"}, {response("2", "b")}});
  Sender S;
  REQUIRE(S.send(Server.authority(), "1").Body == "a");
  REQUIRE(S.send(Server.authority(), "2").Body == "b");
  REQUIRE(Server.connections() == 2);
}

// Guards against a truncated response that is accepted as complete.
TEST_CASE("a truncated response is not complete") {
  const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n";
  const std::vector<ScriptedAnswer> Truncated{
      {Head + "Content-Length: 10\r\n\r\nabc", true},
      {Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", true},
      {Head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", true},
      {Head + "\r\nabc", false, true},
      {"not an answer\r\n\r\n", true},
      {"", true},
  };
  for (const ScriptedAnswer &A : Truncated) {
    ScriptedServer Server({A});
    Sender S;
    CHECK(S.send(Server.authority(), "1").End == UpstreamEnd::Broken);
  }
}

// Guards against rejecting responses that end with their connection.
TEST_CASE("a response without a length ends with its connection") {
  ScriptedServer Server(
      {{"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nabc", true}});
  Sender S;
  const Outcome O = S.send(Server.authority(), "1");
  REQUIRE(O.End == UpstreamEnd::Closed);
  REQUIRE(O.Body == "abc");
}

// Guards against an endpoint that exhausts memory with data that is no response
// or with framing that never ends.
TEST_CASE("endless framing ends the exchange") {
  const std::string Block(1'000, 'x');
  const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> Endless{
      {"", Block},                                // no status line
      {"HTTP/1.1 200 OK\r\nName: ", Block},       // one header
      {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"}, // many headers
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},      // interim responses
      {Chunked, "0"},                             // a chunk size
      {Chunked + "1;", Block},                    // a chunk extension
      {Chunked + "0\r\n", "Name: value\r\n"},     // trailers
      {"HTTP/1.1 200 OK\r\nRequest-Id: old\r\n\r\n", Block},
      {"HTTP/1.1 200 OK\r\nRequest-Id: old\r\n"
       "Transfer-Encoding: chunked\r\n\r\n",
       "3e8\r\n" + Block + "\r\n"}, // the response to another request
  };
  for (const auto &[Prefix, Repeated] : Endless) {
    CAPTURE(Prefix, Repeated.substr(0, 20));
    EndlessServer Server(Prefix, Repeated);
    Sender S;
    const Outcome O =
        S.send(Server.authority(), "1", std::chrono::milliseconds(1'500));
    CHECK(O.End != UpstreamEnd::Complete);
    CHECK(O.End != UpstreamEnd::Closed);
    CHECK(O.Body.empty());
    CHECK(testing::waitUntil([&] { return Server.closed(); }));
    CHECK(Server.sentBytes() < 8'000'000);
  }
}

// Guards against an exchange that a faulty endpoint keeps open forever by
// sending single bytes.
TEST_CASE("a response head sent byte by byte times out") {
  EndlessServer Server("HTTP/1.1 200 OK\r\nName: ", "x",
                       std::chrono::milliseconds(30));
  Sender S;
  const auto Begin = std::chrono::steady_clock::now();
  CHECK(S.send(Server.authority(), "1", std::chrono::milliseconds(400)).End ==
        UpstreamEnd::TimedOut);
  CHECK(std::chrono::steady_clock::now() - Begin < std::chrono::seconds(2));
}

// A server may send a late duplicate of a response when the connection is
// already in use again. It must not be taken for the response to the next
// request.
TEST_CASE("a late duplicate is not taken for the next response") {
  ScriptedServer Server(
      {{response("1", "a")}, {response("1", "a") + response("2", "b")}});
  Sender S;
  REQUIRE(S.send(Server.authority(), "1").Body == "a");
  const Outcome O = S.send(Server.authority(), "2");
  CHECK(O.End == UpstreamEnd::Complete);
  CHECK(O.Body == "b");
  CHECK(Server.connections() == 1);
}

// Guards against interim responses that are taken for the final one.
TEST_CASE("interim responses are skipped") {
  ScriptedServer Server(
      {{"HTTP/1.1 103 Early Hints\r\n\r\n" + response("1", "a")}});
  Sender S;
  const Outcome O = S.send(Server.authority(), "1");
  CHECK(O.End == UpstreamEnd::Complete);
  CHECK(O.Status == 200);
  CHECK(O.Body == "a");
}

// Guards against a request that counts as lost although it was never sent.
TEST_CASE("a refused connection means that nothing was sent") {
  std::string Authority;
  {
    ScriptedServer Server({});
    Authority = Server.authority();
  }
  Sender S;
  REQUIRE(S.send(Authority, "1").End == UpstreamEnd::NotSent);
  REQUIRE(S.send("nowhere", "1").End == UpstreamEnd::NotSent);
}

// Guards against waiting forever for an endpoint that never responds.
TEST_CASE("an endpoint that does not respond times out") {
  ScriptedServer Server({});
  Sender S;
  REQUIRE(S.send(Server.authority(), "1", std::chrono::milliseconds(200)).End ==
          UpstreamEnd::TimedOut);
}

} // namespace hyssoprail
