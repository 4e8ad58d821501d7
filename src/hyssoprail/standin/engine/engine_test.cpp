#include "hyssoprail/standin/engine/engine.hpp"

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

} // namespace hyssoprail::standin
