#include <csignal>
#include <filesystem>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "hyssoprail/connection/base64.hpp"
#include "hyssoprail/request/reference_answer.hpp"
#include "hyssoprail/testbed/fleet.hpp"
#include "hyssoprail/version/record_codec.hpp"

namespace hyssoprail::entry {
namespace {

using nlohmann::json;
using testbed::Fleet;

/// A small fleet of real processes, ended with the test.
class Site {
public:
  Site() : Processes(options()) {
    const Status Started = Processes.start();
    if (const Error *E = errorOf(Started))
      FAIL(E->Message + "; " + E->Remedy);
  }

  static testbed::FleetOptions options() {
    testbed::FleetOptions Options;
    const auto Self = std::filesystem::read_symlink("/proc/self/exe");
    Options.BinaryDirectory = Self.parent_path().string();
    Options.RunDirectory = (Self.parent_path() / "run/entry_test").string();
    Options.PrefillFlags = Options.DecodeFlags = {"--model=m1"};
    Options.PrefillEngines = 1;
    Options.DecodeEngines = 1;
    Options.FirstTokenMs = 10'000;
    Options.Accounts = {{"acme", 1e6, 1e6}, {"globex", 1e6, 1e6}};
    return Options;
  }

  HttpResponse send(const std::string &Method, const std::string &Target,
                    const std::string &Body, HttpHeaders Headers,
                    unsigned Entry = 0) {
    HttpCall Call;
    Call.Authority = Processes.entryAddress(Entry);
    Call.Request = {Method, Target, std::move(Headers), Body};
    Call.Timeout = std::chrono::seconds(20);
    auto Answer = Processes.http().call(std::move(Call));
    if (const Error *E = errorOf(Answer))
      FAIL(Method + " " + Target + ": " + E->Message);
    return valueOf(Answer);
  }

  static HttpHeaders keyed(const std::string &Account = "acme") {
    return {{"Authorization", "Bearer " + Fleet::key(Account)},
            {"Content-Type", "application/json"}};
  }

  /// Waits until the account's limit has an owner with tokens.
  void warm(const std::string &Account = "acme") {
    const bool Served = Fleet::waitUntil(
        [&] {
          return send("GET", "/stock/item-1", "", keyed(Account)).Status == 200;
        },
        std::chrono::seconds(20));
    REQUIRE(Served);
  }

  /// All records of the platform's log, in order.
  std::vector<wire::LogRecord> log() {
    const auto Read = Processes.http().fetch(Processes.httpAddress("platform"),
                                             "/log/read?after=0&max=9999");
    if (const Error *E = errorOf(Read))
      FAIL(E->Message);
    std::vector<wire::LogRecord> Out;
    const json Body = json::parse(valueOf(Read).Body);
    for (const json &R : Body.at("records"))
      Out.push_back(decodeRecord(
          decodeBase64(R["record"].get<std::string>()).value_or("")));
    return Out;
  }

  Fleet Processes;
};

std::string code(const HttpResponse &Response) {
  const json Body = json::parse(Response.Body, nullptr, false);
  return Body.is_object() && Body.contains("error")
             ? Body["error"].value("code", "")
             : "";
}

std::string field(const HttpResponse &Response) {
  return json::parse(Response.Body)["error"].value("field", "");
}

/// Sends bytes as they are and returns the first line of the answer.
std::string rawStatus(const std::string &Authority, const std::string &Bytes) {
  const std::size_t Colon = Authority.find(':');
  boost::asio::ip::tcp::iostream Stream;
  Stream.expires_after(std::chrono::seconds(5));
  Stream.connect(Authority.substr(0, Colon), Authority.substr(Colon + 1));
  Stream << Bytes << std::flush;
  std::string Line;
  std::getline(Stream, Line);
  if (!Line.empty())
    Line.pop_back();
  return Line;
}

std::string expectedText(const std::string &Prompt, std::uint32_t MaxTokens) {
  std::string Text;
  for (std::uint32_t I = 0; I < std::min(MaxTokens, referenceLength(Prompt));
       ++I)
    Text += (I > 0 ? " " : "") + referenceToken(Prompt, I);
  return Text;
}

} // namespace

// Guards against requests that are answered wrongly at the HTTP surface.
TEST_CASE("callers get answers and refusals that say what to do") {
  Site S;
  S.warm();
  for (const char *Path : {"/healthz", "/readyz", "/metrics", "/version"})
    CHECK(S.send("GET", Path, "", {}).Status == 200);
  CHECK(S.send("GET", "/metrics", "", {})
            .Body.find("hyssoprail_violations_total 0") != std::string::npos);

  const auto Keyed = Site::keyed();
  CHECK(S.send("GET", "/nowhere", "", Keyed).Status == 404);
  CHECK(S.send("GET", "/v1/completions", "", Keyed).Status == 405);
  CHECK(S.send("POST", "/healthz", "", {}).Status == 405);
  CHECK(S.send("POST", "/orders", "{}", {}).Status == 401);
  CHECK(S.send("POST", "/orders", "{}", {{"X-Api-Key", "wrong"}}).Status ==
        401);
  const auto Malformed = S.send("POST", "/v1/completions", "{", Keyed);
  CHECK(Malformed.Status == 400);
  CHECK(code(Malformed) == "invalid_request");
  const auto Negative =
      S.send("POST", "/v1/completions",
             R"({"model":"m1","prompt":"a","max_tokens":-4})", Keyed);
  CHECK(field(Negative) == "max_tokens");
  const auto Unknown = S.send("POST", "/v1/completions",
                              R"({"model":"m9","prompt":"a"})", Keyed);
  CHECK(Unknown.Status == 404);
  CHECK(field(Unknown) == "model");
  CHECK(rawStatus(S.Processes.entryAddress(0),
                  "POST /orders HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: 9000000\r\n\r\n") ==
        "HTTP/1.1 413 Payload Too Large");
  CHECK(rawStatus(S.Processes.entryAddress(0),
                  "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"
                  "GET /nowhere HTTP/1.1\r\nHost: a\r\n"
                  "Connection: close\r\n\r\n") == "HTTP/1.1 200 OK");

  const std::string Prompt = "one two three four";
  const auto Whole = S.send(
      "POST", "/v1/completions",
      json{{"model", "m1"}, {"prompt", Prompt}, {"max_tokens", 12}}.dump(),
      Keyed);
  INFO(Whole.Body);
  REQUIRE(Whole.Status == 200);
  CHECK(json::parse(Whole.Body)["choices"][0]["text"] ==
        expectedText(Prompt, 12));
  const auto Chat = S.send(
      "POST", "/v1/chat/completions",
      R"({"model":"m1","messages":[{"role":"user","content":"hi"}],"max_tokens":5,"stream":true})",
      Keyed);
  CHECK(Chat.Status == 200);
  CHECK(Chat.Body.ends_with("data: [DONE]\n\n"));
  CHECK(errorOf(S.Processes.stop()) == nullptr);
}

// Guards against an order that is placed twice when it is retried with the
// same Idempotency-Key, also through another entry, and against a foreign
// outcome.
TEST_CASE("a keyed order is placed once through two entries") {
  Site S;
  S.warm("acme");
  S.warm("globex");
  HttpHeaders Headers = Site::keyed();
  Headers.push_back({"Idempotency-Key", "order-1"});
  const std::string Order = R"({"item":"x"})";
  const auto First = S.send("POST", "/orders", Order, Headers, 0);
  const auto Second = S.send("POST", "/orders", Order, Headers, 1);
  CHECK(First.Status < 300);
  CHECK(Second.Status == First.Status);
  CHECK(Second.Body == First.Body);
  const auto Other = S.send("POST", "/orders", R"({"item":"y"})", Headers, 1);
  CHECK(Other.Status == 422);
  HttpHeaders Foreign = Site::keyed("globex");
  Foreign.push_back({"Idempotency-Key", "order-1"});
  CHECK(S.send("POST", "/orders", Order, Foreign, 1).Status < 300);
  const auto Executions = S.Processes.http().fetch(
      S.Processes.httpAddress("service-0"), "/executions");
  REQUIRE(succeeded(Executions));
  const std::string List = valueOf(Executions).Body;
  CAPTURE(List);
  const auto Id = std::string(headerValue(First.Headers, "X-Request-Id"));
  CHECK(List.find(Id) != std::string::npos);
  const auto Retry = std::string(headerValue(Second.Headers, "X-Request-Id"));
  CHECK(List.find(Retry) == std::string::npos);
  const std::string Metrics = S.send("GET", "/metrics", "", {}).Body;
  CHECK(
      Metrics.find("hyssoprail_requests_total{class=\"ROUTE_CLASS_ORDER\"}") !=
      std::string::npos);
  CHECK(Metrics.find("hyssoprail_request_seconds") != std::string::npos);

  // The log is down: the key cannot be claimed, and nothing runs.
  REQUIRE(succeeded(S.Processes.faults({{"down", true}})));
  HttpHeaders During = Site::keyed();
  During.push_back({"Idempotency-Key", "order-2"});
  const auto Refused = S.send("POST", "/orders", Order, During, 0);
  CHECK(Refused.Status == 503);
  CHECK(json::parse(Refused.Body)["error"]["not_run"] == true);
  REQUIRE(succeeded(S.Processes.faults({{"down", false}})));
}

// Guards against a withdrawn key that still works, and against a zone that
// gets work after it was taken out.
TEST_CASE("changes under traffic take effect on every entry") {
  Site S;
  S.warm();
  const auto Version =
      S.Processes.change("key", "key-of-acme", json::object(), true);
  REQUIRE(succeeded(Version));
  for (unsigned Entry : {0U, 1U}) {
    const bool Stopped = Fleet::waitUntil(
        [&] {
          return S.send("GET", "/stock/item-1", "", Site::keyed(), Entry)
                     .Status == 401;
        },
        std::chrono::seconds(5));
    CHECK(Stopped);
  }
  REQUIRE(succeeded(S.Processes.change("zone", "zone-0",
                                       {{"name", "zone-0"}, {"out", true}})));
  const bool Out = Fleet::waitUntil(
      [&] {
        return S.send("GET", "/stock/item-1", "", Site::keyed("globex"))
                   .Status != 200;
      },
      std::chrono::seconds(60));
  CHECK(Out);
}

// Guards against agents that ask for a lease and get none, so that they can
// give their engine no orders, and against a record from each entry.
TEST_CASE("each agent incarnation is registered in the log") {
  Site S;
  const auto Leases = [&] {
    std::map<std::string, std::vector<std::uint64_t>> Out;
    for (const wire::LogRecord &R : S.log())
      if (R.has_agent_lease())
        Out[R.agent_lease().endpoint()].push_back(
            R.agent_lease().incarnation());
    return Out;
  };
  const std::size_t Agents = S.Processes.options().PrefillEngines +
                             S.Processes.options().DecodeEngines +
                             S.Processes.options().Services;
  const bool Registered = Fleet::waitUntil(
      [&] { return Leases().size() == Agents; }, std::chrono::seconds(10));
  CHECK(Registered);
  const auto Before = Leases();
  REQUIRE(Before.contains("decode-0"));

  testbed::ChildProcess &Agent = S.Processes.process("agent-decode-0");
  Agent.signal(SIGKILL);
  REQUIRE(Agent.wait(std::chrono::seconds(10)));
  REQUIRE(succeeded(S.Processes.restart("agent-decode-0")));
  const std::uint64_t Old = Before.at("decode-0").back();
  const bool Again =
      Fleet::waitUntil([&] { return Leases()["decode-0"].back() != Old; },
                       std::chrono::seconds(10));
  CHECK(Again);
  for (const auto &[Endpoint, Incarnations] : Leases()) {
    CAPTURE(Endpoint);
    CHECK(Incarnations.size() == (Endpoint == "decode-0" ? 2 : 1));
  }
}

// Guards against a log that outgrows its newest checkpoint.
TEST_CASE("an entry appends a checkpoint when many records were added") {
  Site S;
  const auto Checkpoints = [&] {
    std::vector<std::uint64_t> Out;
    for (const wire::LogRecord &R : S.log())
      if (R.has_checkpoint())
        Out.push_back(R.checkpoint().covers());
    return Out;
  };
  const std::size_t Before = Checkpoints().size();
  for (int I = 0; I < 60; ++I) {
    const std::string Name = "extra-" + std::to_string(I);
    REQUIRE(succeeded(S.Processes.change(
        "account", Name, {{"name", Name}, {"rate", 1}, {"burst", 1}})));
  }
  const bool Appended = Fleet::waitUntil(
      [&] { return Checkpoints().size() > Before; }, std::chrono::seconds(10));
  CHECK(Appended);
}

// Guards against engine memory that stays held for a caller who left.
TEST_CASE("a caller who leaves frees the engines") {
  Site S;
  S.warm();
  boost::asio::io_context Context;
  auto Client = makeHttpClient(Context);
  std::shared_ptr<HttpStream> Stream;
  HttpStreamHandlers Handlers;
  bool Left = false;
  Handlers.OnData = [&](std::string_view) {
    Left = true;
    Stream->cancel();
  };
  HttpCall Call;
  Call.Authority = S.Processes.entryAddress(0);
  Call.Request = {
      "POST", "/v1/completions", Site::keyed(),
      R"({"model":"m1","prompt":"w x y z","max_tokens":200,"stream":true})"};
  Stream = Client->stream(std::move(Call), std::move(Handlers));
  Context.run();
  REQUIRE(Left);
  for (const char *Engine : {"prefill-0", "decode-0"}) {
    const bool Freed = Fleet::waitUntil(
        [&] {
          const auto Held = S.Processes.http().fetch(
              S.Processes.httpAddress(Engine), "/held");
          return succeeded(Held) &&
                 json::parse(valueOf(Held).Body)["work"].empty();
        },
        std::chrono::seconds(5));
    CHECK(Freed);
  }
}

// Guards against a planned stop that interrupts a stream.
TEST_CASE("a stream that runs at SIGTERM is completed") {
  Site S;
  S.warm();
  HttpCall Call;
  Call.Authority = S.Processes.entryAddress(0);
  const std::string Prompt = "a long answer please";
  Call.Request = {"POST", "/v1/completions", Site::keyed(),
                  json{{"model", "m1"},
                       {"prompt", Prompt},
                       {"max_tokens", 200},
                       {"stream", true}}
                      .dump()};
  boost::asio::io_context Context;
  auto Client = makeHttpClient(Context);
  std::string Body;
  bool Signalled = false;
  bool Ended = false;
  HttpStreamHandlers Handlers;
  Handlers.OnData = [&](std::string_view Data) {
    Body += Data;
    if (!Signalled)
      S.Processes.process("entry-0").signal(SIGTERM);
    Signalled = true;
  };
  Handlers.OnEnd = [&](const Status &End) { Ended = succeeded(End); };
  auto Stream = Client->stream(std::move(Call), std::move(Handlers));
  Context.run();
  CHECK(Signalled);
  CHECK(Ended);
  CHECK(Body.ends_with("data: [DONE]\n\n"));
  const auto End =
      S.Processes.process("entry-0").wait(std::chrono::seconds(10));
  REQUIRE(End);
  CHECK(*End == 0);
}

} // namespace hyssoprail::entry
