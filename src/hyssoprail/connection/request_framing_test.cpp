#include <string>

#include <catch2/catch.hpp>

#include "echo_server.hpp"
#include "hyssoprail/testing/raw_socket.hpp"

namespace hyssoprail {
namespace {

using testing::EchoServer;
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

} // namespace

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
