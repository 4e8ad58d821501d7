#include <array>
#include <string>

#include <catch2/catch.hpp>

#include "echo_server.hpp"
#include "hyssoprail/testing/raw_socket.hpp"

namespace hyssoprail {
namespace {

using testing::EchoServer;
using testing::get;
using testing::hasStatus;
using testing::Post;
using testing::RawSocket;

/// Responds with the names of all header fields of the request.
void respondWithHeaderNames(const std::shared_ptr<HttpExchange> &Exchange) {
  std::string Names;
  for (const HttpHeader &H : Exchange->request().Headers)
    Names += H.Name + " ";
  Exchange->respond({200, {}, Names + Exchange->request().Body});
}

/// A head of a request whose end can't be told, and the answer to it.
struct UncertainHead {
  const char *Start;  ///< method and version
  const char *Fields; ///< each with its line end
  const char *Status;
  const char *Code;
};

constexpr const char *Post11 = "POST /outer HTTP/1.1\r\n";
constexpr const char *Post10 = "POST /outer HTTP/1.0\r\n";

constexpr std::array<UncertainHead, 24> UncertainHeads{{
    {Post11, "Transfer-Encoding: identity\r\n", "400", "invalid_request"},
    {Post11, "Transfer-Encoding: gzip\r\n", "400", "invalid_request"},
    {Post11, "Transfer-Encoding: xchunked\r\n", "400", "invalid_request"},
    {Post11, "Transfer-Encoding: chunkedx\r\n", "400", "invalid_request"},
    {Post11, "Transfer-Encoding: chunked, identity\r\n", "400",
     "invalid_request"},
    {Post11, "Transfer-Encoding: chunked;q=1\r\n", "400", "invalid_request"},
    {Post11, "Transfer-Encoding: \"chunked\"\r\n", "400", "invalid_request"},
    {Post11, "Transfer-Encoding:\r\n", "400", "invalid_request"},
    {Post11, "Transfer-Encoding: ,\r\n", "400", "invalid_request"},
    {Post11, "Transfer-Encoding: chunked,\r\n", "400", "invalid_request"},
    {Post11, "Transfer-Encoding: chunked, chunked\r\n", "400",
     "invalid_request"},
    {Post11, "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
     "400", "invalid_request"},
    {Post11, "Transfer-Encoding: gzip\r\nTransfer-Encoding: identity\r\n",
     "400", "invalid_request"},
    {Post11, "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n", "400",
     "invalid_request"},
    {Post11, "Content-Length: 0\r\nTransfer-Encoding: gzip\r\n", "400",
     "invalid_request"},
    {Post11, "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n", "400",
     "invalid_request"},
    {Post11, "Transfer-Encoding : chunked\r\n", "400", "invalid_request"},
    {Post11, "Content-Length: 0\r\nContent-Length: 7\r\n", "400",
     "invalid_request"},
    {Post11, "Content-Length: +0\r\n", "400", "invalid_request"},
    {Post11, "Transfer-Encoding: gzip, chunked\r\n", "501", "not_implemented"},
    {Post11, "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", "501",
     "not_implemented"},
    {Post10, "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", "400",
     "invalid_request"},
    {Post10, "Connection: keep-alive\r\n", "400", "invalid_request"},
    {"POST /outer HTTP/2.0\r\n", "Connection: keep-alive\r\n", "400",
     "invalid_request"},
}};

} // namespace

// Guards against a body that is run as a request, because a request whose end
// can't be told is taken for one without a body (review/8, UNASKED).
TEST_CASE("a request without a certain end is refused and not run") {
  EchoServer S;
  for (const UncertainHead &H : UncertainHeads) {
    CAPTURE(H.Start, H.Fields);
    RawSocket Client(S.port());
    Client.setReadLimit(std::chrono::seconds(3));
    Client.send(std::string(H.Start) + "Host: h\r\n" + H.Fields + "\r\n" +
                get("/inner"));
    const std::string Response = Client.readAll();
    CHECK(hasStatus(Response, H.Status));
    CHECK(Response.ends_with(H.Code));
    CHECK(Response.find("Connection: close") != std::string::npos);
    CHECK(Response.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(Client.closedByPeer());
    CHECK(S.Requests == 0);
  }
  RawSocket Sound(S.port());
  Sound.send(get("/sound", "Connection: close\r\n"));
  CHECK(Sound.readAll().ends_with("/sound 0"));
}

// Guards against sound requests that are refused for their framing, and against
// losing the next request on their connection.
TEST_CASE("each framing with a certain end is read to its end") {
  EchoServer S;
  RawSocket Client(S.port());
  const auto Expect = [&](const std::string &Fields, const std::string &Body,
                          const std::string &Size) {
    CAPTURE(Fields, Body);
    Client.send("POST /a HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n" + Body +
                get("/next"));
    CHECK(Client.readUntil("/a " + Size).ends_with("/a " + Size));
    CHECK(Client.readUntil("/next 0").ends_with("/next 0"));
  };
  const std::string Inner = get("/inner");
  const std::string Size = std::to_string(Inner.size());
  Expect("", "", "0");
  Expect("Content-Length: 0\r\n", "", "0");
  Expect("Content-Length: " + Size + "\r\n", Inner, Size);
  Expect("Content-Length: 4\r\nContent-Length: 4\r\n", "body", "4");
  Expect("Content-Length: 4, 4\r\n", "body", "4");
  Expect("Transfer-Encoding: Chunked\r\n", "4;x=\"1\"\r\nbody\r\n0\r\n\r\n",
         "4");
  Expect("transfer-encoding: \t chunked \r\n",
         "002\r\nbo\r\n2\r\ndy\r\n000\r\nX-Trailer: 1\r\n\r\n", "4");
}

// Guards against chunks whose end is guessed, so that a part of the body
// becomes a request.
TEST_CASE("a chunk without a certain end ends its connection") {
  EchoServer S;
  for (const std::string Body :
       {"0x4\r\nbody\r\n0\r\n\r\n", "4\nbody\n0\n\n", "-4\r\nbody\r\n0\r\n\r\n",
        "4\r\nbodyX0\r\n\r\n", "4 4\r\nbody\r\n0\r\n\r\n",
        "11111111111111111\r\nbody\r\n0\r\n\r\n", "\r\n0\r\n\r\n",
        "4;\rx\r\nbody\r\n0\r\n\r\n",
        "4\r\nbody\r\n0\r\nContent-Length: 99\r\n\r\n"}) {
    CAPTURE(Body);
    RawSocket Client(S.port());
    Client.setReadLimit(std::chrono::seconds(3));
    Client.send("POST /outer HTTP/1.1\r\nHost: h\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" +
                Body + get("/inner"));
    Client.finishSending();
    const std::string Response = Client.readAll();
    CHECK(hasStatus(Response, "400"));
    CHECK(Response.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(S.Requests == 0);
  }
}

// Guards against callers that set headers of the system by trailer fields.
TEST_CASE("trailer fields of a request do not become header fields") {
  const auto Server = makeHttpServer({}, respondWithHeaderNames);
  REQUIRE(succeeded(Server->start()));
  RawSocket Client(Server->port());
  Client.send(Post + "Host: h\r\nTransfer-Encoding: chunked\r\n"
                     "Connection: close\r\nTrailer: X-Forged\r\n\r\n"
                     "4\r\nbody\r\n0\r\nX-Forged: forged\r\n\r\n");
  const std::string Response = Client.readAll();
  CHECK(hasStatus(Response, "200"));
  CHECK(Response.ends_with("body"));
  CHECK(Response.find("X-Forged") == std::string::npos);
}

// Guards against a client that exhausts memory with a part of a chunked request
// that the limit of the header did not bound.
TEST_CASE("endless chunk extensions and trailers get a 413") {
  EchoServer S; // reads headers of up to 4,096 bytes
  const std::string Endless(200'000, 'a');
  for (const std::string &Begin : {std::string("1;"), std::string("0;"),
                                   std::string("1\r\nx\r\n0\r\nX: ")}) {
    INFO(Begin);
    RawSocket Client(S.port());
    Client.setReadLimit(std::chrono::seconds(3));
    std::string Request = Post;
    Request.append("Transfer-Encoding: chunked\r\n\r\n")
        .append(Begin)
        .append(Endless);
    Client.send(Request);
    const std::string Response = Client.readAll();
    CHECK(hasStatus(Response, "413"));
    CHECK(Response.ends_with("too_large"));
  }
  CHECK(S.Requests == 0);
}

} // namespace hyssoprail
