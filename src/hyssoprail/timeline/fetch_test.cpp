#include "hyssoprail/timeline/fetch.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "hyssoprail/connection/http_server.hpp"

namespace hyssoprail::timeline {
namespace {

/// Process that serves one event and a status that names \p Listed.
std::unique_ptr<HttpServer> serve(const std::string &Name,
                                  const std::string &Listed = {}) {
  auto Server = makeHttpServer({}, [Name, Listed](const auto &Exchange) {
    const HttpRequest &Request = Exchange->request();
    if (headerValue(Request.Headers, "Authorization") != "Bearer secret")
      return Exchange->respond(jsonResponse(401, "{}"));
    if (Request.path() == "/admin/v1/status")
      return Exchange->respond(jsonResponse(200, Listed));
    Event E;
    E.RequestId = "r";
    Exchange->respond(jsonResponse(200, encodeTimeline(Name, 5, {E})));
  });
  REQUIRE(succeeded(Server->start()));
  return Server;
}

std::string addressOf(const HttpServer &Server) {
  return fmt::format("127.0.0.1:{}", Server.port());
}

} // namespace

// Guards against a time line that looks whole although a process is missing.
TEST_CASE("processes that do not answer are named") {
  const auto Up = serve("entry-1");
  auto Down = serve("agent-1");
  const std::string Gone = addressOf(*Down);
  Down->stop();
  const Fetched From = fetchTimelines({.Addresses = {addressOf(*Up), Gone},
                                       .Query = "request=r",
                                       .Token = "secret"});
  REQUIRE(From.Timelines.size() == 1);
  CHECK(From.Timelines[0].Of.Process == "entry-1");
  CHECK(From.Timelines[0].AnsweredUnixMicros >=
        From.Timelines[0].AskedUnixMicros);
  REQUIRE(From.Missing.size() == 1);
  CHECK(From.Missing[0].Process == Gone);
  const Fetched Refused =
      fetchTimelines({.Addresses = {addressOf(*Up)}, .Query = "", .Token = ""});
  REQUIRE(Refused.Missing.size() == 1);
  CHECK(Refused.Missing[0].Reason == "HTTP status 401");
}

// Guards against processes that are dropped because the status has no address
// for them.
TEST_CASE("the process list names processes without an address") {
  const auto Entry = serve(
      "entry-1", R"({"processes":[{"name":"entry-1","http_address":"1.2.3.4:5"},
                                  {"name":"agent-1"}]})");
  const ProcessList List = fetchProcessList(addressOf(*Entry), "secret",
                                            std::chrono::milliseconds(5'000));
  CHECK(List.Addresses ==
        std::vector<std::string>{addressOf(*Entry), "1.2.3.4:5"});
  REQUIRE(List.Missing.size() == 1);
  CHECK(List.Missing[0].Process == "agent-1");
}

} // namespace hyssoprail::timeline
