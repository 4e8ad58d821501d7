#include "hyssoprail/standin/engine/engine.hpp"

#include <chrono>
#include <future>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "hyssoprail/request/reference_answer.hpp"
#include "hyssoprail/testing/http_fixture.hpp"

namespace hyssoprail::standin {
namespace {

using testing::waitUntil;

/// One engine over HTTP.
struct TestEngine {
  explicit TestEngine(const EngineOptions &Options)
      : Server([this](const ExchangePtr &E) { Emulator->handle(E); }) {
    Emulator = std::make_unique<Engine>(Server.context(), Options, 7);
    REQUIRE(Server.start());
  }

  ~TestEngine() { Server.stop(); }

  Json call(const std::string &Method, const std::string &Target,
            const Json &Body = Json::object()) {
    Last = Client.answer(Server.authority(), Method, Target, Body.dump());
    return parseObject(Last.Body);
  }

  std::size_t heldCount() { return call("GET", "/held")["work"].size(); }

  testing::EmulatorServer Server;
  std::unique_ptr<Engine> Emulator;
  testing::TestClient Client;
  HttpResponse Last;
};

EngineOptions warm(const std::string &Role) {
  EngineOptions O;
  O.Role = Role;
  O.ColdTime = std::chrono::milliseconds(0);
  O.StepBaseUs = 200;
  O.StepStreamUs = 10;
  return O;
}

Json decodeBody(const std::string &Id, const std::string &Prompt,
                const Json &Prefill, const TestEngine &Source,
                unsigned FirstIndex = 0) {
  return {{"id", Id},
          {"model", "m"},
          {"prompt", Prompt},
          {"kv_handle", textField(Prefill, "kv_handle")},
          {"kv_source", Source.Server.authority()},
          {"max_tokens", 12},
          {"first_index", FirstIndex},
          {"priority", 0}};
}

Json prefillBody(const std::string &Id, const std::string &Prompt) {
  return {{"id", Id}, {"model", "m"}, {"prompt", Prompt}, {"priority", 0}};
}

std::string expectedStream(const std::string &Prompt, unsigned First) {
  const unsigned End = std::min(12U, referenceLength(Prompt));
  std::string Out;
  for (unsigned I = First; I < End; ++I)
    Out += "data: {\"index\":" + std::to_string(I) + ",\"token\":\"" +
           referenceToken(Prompt, I) + "\"}\n\n";
  return Out;
}

} // namespace

// Guards against answers with lost, repeated or foreign tokens, also after a
// resume on another engine.
TEST_CASE("a prefill and a decode yield the reference answer") {
  TestEngine Prefill(warm("prefill"));
  TestEngine Decode(warm("decode"));
  const std::string Prompt = "tell me a story";
  Json Done = Prefill.call("POST", "/prefill", prefillBody("a", Prompt));
  REQUIRE(Prefill.Last.Status == 200);
  Decode.call("POST", "/decode", decodeBody("d", Prompt, Done, Prefill));
  CHECK(Decode.Last.Status == 200);
  CHECK(Decode.Last.Body.starts_with(expectedStream(Prompt, 0)));
  CHECK(Decode.Last.Body.find("\"done\":true") != std::string::npos);

  const std::string Longer = Prompt + " " + referenceToken(Prompt, 0) + " " +
                             referenceToken(Prompt, 1);
  Done = Prefill.call("POST", "/prefill", prefillBody("b", Longer));
  Decode.call("POST", "/decode", decodeBody("e", Prompt, Done, Prefill, 2));
  CHECK(Decode.Last.Body.starts_with(expectedStream(Prompt, 2)));

  Decode.call("POST", "/decode", decodeBody("f", "other", Done, Prefill));
  CHECK(Decode.Last.Status == 422);
}

// Guards against an emulator that keeps KV caches for ever, which would hide
// transfers that come too late.
TEST_CASE("a KV cache expires and a late decode gets 410") {
  EngineOptions Options = warm("prefill");
  Options.KvTtl = std::chrono::milliseconds(20);
  TestEngine Prefill(Options);
  TestEngine Decode(warm("decode"));
  const Json Done = Prefill.call("POST", "/prefill", prefillBody("a", "x y"));
  REQUIRE(waitUntil([&] { return Prefill.heldCount() == 0; }));
  Decode.call("POST", "/decode", decodeBody("d", "x y", Done, Prefill));
  CHECK(Decode.Last.Status == 410);
  CHECK(Decode.heldCount() == 0);
}

// Guards against cancelled work that goes on holding memory.
TEST_CASE("cancel frees the memory and may be repeated") {
  TestEngine Prefill(warm("prefill"));
  Prefill.call("POST", "/prefill", prefillBody("a", "x y"));
  CHECK(Prefill.heldCount() == 1);
  for (int I = 0; I < 2; ++I) {
    Prefill.call("POST", "/cancel", {{"id", "a"}});
    CHECK(Prefill.Last.Status == 200);
  }
  CHECK(Prefill.heldCount() == 0);
}

// Guards against an emulator that survives any load while cold, which would
// hide a broken cold-start ramp.
TEST_CASE("a cold engine under too much load fails its work and restarts") {
  EngineOptions Options = warm("prefill");
  Options.ColdTime = std::chrono::seconds(60);
  Options.ColdLimit = 1;
  Options.PrefillBaseUs = 10'000'000;
  TestEngine Prefill(Options);
  const Json Before = Prefill.call("GET", "/status");
  CHECK(Before["cold"] == true);
  HttpCall First;
  First.Authority = Prefill.Server.authority();
  First.Request = {"POST", "/prefill", {}, prefillBody("a", "x").dump()};
  auto Pending = Prefill.Client.begin(First);
  REQUIRE(waitUntil([&] { return Prefill.heldCount() == 1; }));
  Prefill.call("POST", "/prefill", prefillBody("b", "x"));
  CHECK(Prefill.Last.Status == 503);
  CHECK(valueOf(Pending.get()).Status == 503);
  const Json After = Prefill.call("GET", "/status");
  CHECK(After["incarnation"] != Before["incarnation"]);
}

// Guards against an emulator that obeys a replaced agent.
TEST_CASE("orders with an old fencing number are rejected if checked") {
  for (const bool Check : {true, false}) {
    EngineOptions Options = warm("decode");
    Options.CheckFencing = Check;
    Options.LoadTime = std::chrono::milliseconds(1);
    TestEngine E(Options);
    E.call("POST", "/order", {{"fencing", 9}, {"version", "2"}});
    CHECK(E.Last.Status == 200);
    E.call("POST", "/order", {{"fencing", 8}, {"version", "1"}});
    CHECK(E.Last.Status == (Check ? 409 : 200));
    CHECK(E.call("GET", "/status")["version"] == (Check ? "2" : "1"));
  }
}

// Guards against a decode engine that overbooks its slots.
TEST_CASE("a full decode engine answers 503") {
  EngineOptions Options = warm("decode");
  Options.Slots = 0;
  TestEngine E(Options);
  E.call("POST", "/decode", decodeBody("d", "x", Json::object(), E));
  CHECK(E.Last.Status == 503);
}

// Guards against a freeze that ends connections instead of delaying answers.
TEST_CASE("a frozen engine answers after the freeze") {
  TestEngine E(warm("decode"));
  E.call("POST", "/faults", {{"freeze_ms", 50}});
  const auto Start = std::chrono::steady_clock::now();
  E.call("GET", "/status");
  CHECK(E.Last.Status == 200);
  CHECK(std::chrono::steady_clock::now() - Start >=
        std::chrono::milliseconds(40));
}

// Guards against prefills that cost the same although their prefix is cached,
// and against cache events that come at once or without gaps.
TEST_CASE("a repeated prefix is cached and reported later, with gaps") {
  EngineOptions Options = warm("prefill");
  Options.CacheEventDelay = std::chrono::milliseconds(50);
  Options.CacheEventLoss = 0.5;
  TestEngine E(Options);
  std::string Prompt;
  for (unsigned I = 0; I < 20 * PrefixBlockTokens; ++I)
    Prompt += "w" + std::to_string(I) + " ";
  const auto First = std::chrono::steady_clock::now();
  CHECK(E.call("POST", "/prefill", prefillBody("a", Prompt))["cached_tokens"] ==
        0);
  const Json Early = E.call("GET", "/cache_events?after=0");
  if (std::chrono::steady_clock::now() - First < Options.CacheEventDelay)
    CHECK(Early["events"].empty());
  const Json Again =
      E.call("POST", "/prefill", prefillBody("b", Prompt + "more"));
  CHECK(Again["cached_tokens"] == 20 * PrefixBlockTokens);
  Json Late;
  CHECK(waitUntil([&] {
    Late = E.call("GET", "/cache_events?after=0");
    return !Late["events"].empty();
  }));
  CHECK(Late["events"].size() < 20);
  CHECK(E.call("GET", "/cache_events?after=" + Late["next"].dump())["events"]
            .empty());
}

// Guards against an emulator that ignores priorities.
TEST_CASE("waiting prefills start in the order of their priority") {
  EngineOptions Options = warm("prefill");
  Options.PrefillBaseUs = 300'000;
  TestEngine E(Options);
  std::string Order; // written on the client's thread
  std::promise<void> AllDone;
  const auto Begin = [&](const std::string &Id, unsigned Priority) {
    Json Body = prefillBody(Id, "x");
    Body["priority"] = Priority;
    HttpCall Call;
    Call.Authority = E.Server.authority();
    Call.Request = {"POST", "/prefill", {}, Body.dump()};
    boost::asio::post(E.Client.context(), [&, Call, Id] {
      E.Client.client().call(Call, [&, Id](const auto &) {
        Order += Id;
        if (Order.size() == 3)
          AllDone.set_value();
      });
    });
  };
  Begin("a", 2);
  REQUIRE(waitUntil([&] { return E.heldCount() == 1; }));
  Begin("b", 2);
  REQUIRE(waitUntil([&] { return E.heldCount() == 2; }));
  Begin("c", 0);
  AllDone.get_future().wait();
  CHECK(Order == "acb");
}

// Guards against transfers that are faster than the link, alone or together.
TEST_CASE("transfers share the rate of the link and can be stalled") {
  EngineOptions Options = warm("prefill");
  Options.KvTtl = std::chrono::seconds(60);
  Options.KvBytesPerToken = 10'000;
  Options.LinkBytesPerSecond = 500'000;
  TestEngine E(Options);
  std::vector<HttpCall> Exports(2);
  for (unsigned I = 0; I < 2; ++I) {
    const std::string Id(1, static_cast<char>('a' + I));
    const Json Done = E.call("POST", "/prefill", prefillBody(Id, "1 2 3 4 5"));
    Exports[I].Authority = E.Server.authority();
    Exports[I].Request = {"GET", "/kv/" + textField(Done, "kv_handle"), {}, {}};
  }
  const auto Start = std::chrono::steady_clock::now();
  auto First = E.Client.begin(Exports[0]);
  auto Second = E.Client.begin(Exports[1]);
  CHECK(valueOf(First.get()).Body.size() == 50'000);
  CHECK(valueOf(Second.get()).Body.size() == 50'000);
  // 100,000 bytes at 500,000 bytes a second.
  CHECK(std::chrono::steady_clock::now() - Start >=
        std::chrono::milliseconds(180));
  E.call("POST", "/faults", {{"stall_transfers", true}});
  Exports[0].Timeout = std::chrono::milliseconds(300);
  const auto Stalled = E.Client.begin(Exports[0]).get();
  REQUIRE_FALSE(succeeded(Stalled));
  CHECK(errorOf(Stalled)->Kind == ErrorKind::DeadlineExceeded);
}

// Guards against a load report that is exact, which would hide decisions that
// rely on fresh figures.
TEST_CASE("the reported load lags") {
  EngineOptions Options = warm("prefill");
  Options.PrefillBaseUs = 10'000'000;
  Options.LoadLag = std::chrono::milliseconds(100);
  TestEngine E(Options);
  HttpCall Call;
  Call.Authority = E.Server.authority();
  Call.Request = {"POST", "/prefill", {}, prefillBody("a", "x").dump()};
  const auto Start = std::chrono::steady_clock::now();
  auto Pending = E.Client.begin(Call);
  REQUIRE(waitUntil([&] { return E.call("GET", "/load")["running"] == 1; }));
  CHECK(std::chrono::steady_clock::now() - Start >= Options.LoadLag);
  E.call("POST", "/cancel", {{"id", "a"}});
  CHECK(valueOf(Pending.get()).Status == 409);
}

} // namespace hyssoprail::standin
