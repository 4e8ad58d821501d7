// Serves one request with the HTTP server, asks it with the HTTP client, and
// prints the answer.
#include <cstdio>

#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/connection/http_server.hpp"

int main() {
  using namespace hyssoprail;
  const auto Server = makeHttpServer(HttpServerOptions{}, [](auto Exchange) {
    Exchange->respond(
        jsonResponse(200, R"({"path":")" + Exchange->request().Target + "\"}"));
  });
  const Status Started = Server->start();
  if (const Error *E = errorOf(Started)) {
    std::printf("%s; %s\n", E->Message.c_str(), E->Remedy.c_str());
    return 1;
  }
  boost::asio::io_context Context;
  const auto Client = makeHttpClient(Context);
  HttpCall Call;
  Call.Authority = "127.0.0.1:" + std::to_string(Server->port());
  Call.Request = {"GET", "/hello", {}, {}};
  Client->call(std::move(Call), [](Result<HttpResponse> Answer) {
    if (const Error *E = errorOf(Answer))
      std::printf("%s; %s\n", E->Message.c_str(), E->Remedy.c_str());
    else
      std::printf("%s\n", valueOf(Answer).Body.c_str());
  });
  Context.run();
  Server->stop();
  return 0;
}
