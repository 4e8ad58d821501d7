#include <initializer_list>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "hyssoprail/routing/admission_client.hpp"
#include "hyssoprail/routing/endpoint_choice.hpp"
#include "hyssoprail/routing/stream_request.hpp"

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::answered;
using testing::engine;
using testing::FlowFixture;
using testing::service;

/// A stream that waits for its placement at one of \p PrefillIds and one of two
/// decode engines.
struct WaitingStream : FlowFixture {
  explicit WaitingStream(std::initializer_list<const char *> PrefillIds = {
                             "p1", "p2"}) {
    for (const char *Id : PrefillIds)
      add(engine(Id, EngineStage::Prefill));
    for (const char *Id : {"d1", "d2"})
      add(engine(Id, EngineStage::Decode));
    F = makeStreamFlow(sharedState(), request(RouteKind::Stream), Io);
    F->start(Now);
  }

  std::unique_ptr<Flow> F;
};

std::string engineOf(const StreamPlacement &Place, EngineStage Stage) {
  return Stage == EngineStage::Prefill ? Place.Prefill : Place.Decode;
}

} // namespace

// Guards against a request that is sent to an engine which stated that it
// leaves after the request was placed there.
TEST_CASE("a placed stream goes elsewhere if its engine leaves",
          "[endpoint_statements]") {
  for (const EngineStage Left : {EngineStage::Prefill, EngineStage::Decode}) {
    WaitingStream B;
    const auto Decisions = B.Scheduler.poll(B.Now);
    REQUIRE(Decisions.size() == 1);
    const auto &Place = std::get<StreamPlacement>(Decisions[0]);
    const std::string Id = engineOf(Place, Left);
    B.Table.recordLeaving(Id, 0);
    B.F->onPlaced(Place, B.Now);
    CHECK(B.Io.Legs.empty());
    B.poll(*B.F);
    REQUIRE(B.Io.Legs.size() == 1);
    CHECK(B.Io.Legs[0].EndpointId != Id);
    B.answer(*B.F, 1, answered(200, "h"));
    REQUIRE(B.Io.Legs.size() == 2);
    CHECK(B.Io.Legs[1].EndpointId != Id);
  }
}

// Guards against a KV cache that is offered to an engine which stated that it
// leaves during the prefill.
TEST_CASE("a prefilled stream is not decoded by an engine that leaves",
          "[endpoint_statements]") {
  WaitingStream B({"p1"});
  const auto Decisions = B.Scheduler.poll(B.Now);
  const auto &Place = std::get<StreamPlacement>(Decisions.at(0));
  B.F->onPlaced(Place, B.Now);
  REQUIRE(B.Io.Legs.size() == 1);
  B.Table.recordLeaving(Place.Decode, 0);
  B.answer(*B.F, 1, answered(200, "h"));
  REQUIRE(B.Io.Legs.size() == 2);
  CHECK(B.Io.Legs[1].EndpointId != Place.Decode);
  CHECK(B.Io.Legs[1].Source.has_value());
}

// Guards against a call that is sent under a grant which the coordinator made
// before it knew that the endpoint leaves.
TEST_CASE("a call granted at a leaving endpoint goes elsewhere",
          "[endpoint_statements]") {
  FlowFixture B;
  B.add(service("a"));
  B.add(service("b", "zone-b"));
  B.Table.setStartRateLimit("orders", {0, true});
  auto F = makeCallFlow(B.sharedState(), B.request(RouteKind::Call), B.Io);
  F->start(B.Now);
  REQUIRE(B.Io.Legs.empty());
  B.Table.setStartRateLimit("orders", {10, false});
  B.Table.recordLeaving("a", 0);
  F->onCallGranted({"1", "a"}, B.Now);
  REQUIRE(B.Io.Legs.size() == 1);
  CHECK(B.Io.Legs[0].EndpointId == "b");
}

// Guards against a coordinator that keeps an engine from all entries because it
// was itself asked for a pause.
TEST_CASE("a pause of the coordinator does not keep others from the endpoint",
          "[endpoint_statements]") {
  FlowFixture B;
  B.add(engine("d1", EngineStage::Decode));
  B.add(service("a"));
  B.Table.setStartRateLimit("orders", {10, true});
  const TimePoint End = B.Now + milliseconds(2'000);
  REQUIRE(B.Table.recordPause("d1", 0, End));
  REQUIRE(B.Table.recordPause("a", 0, End));
  B.Scheduler.submit(
      makeStreamRequest(B.request(RouteKind::Stream), B.Lengths, B.Now));
  const auto Decisions = B.Scheduler.poll(B.Now);
  REQUIRE(Decisions.size() == 1);
  CHECK(std::get<StreamPlacement>(Decisions[0]).Decode == "d1");
  CHECK(chooseGrantable(B.Table, "orders", "zone-a", {}, B.Now) != nullptr);
}

// Guards against callers that wait, or return too early, while every endpoint
// has asked for a pause.
TEST_CASE("requests are rejected until the first pause ends",
          "[endpoint_statements]") {
  FlowFixture B;
  for (const char *Id : {"a", "b"})
    B.add(service(Id));
  for (const char *Id : {"d1", "d2"})
    B.add(engine(Id, EngineStage::Decode));
  B.add(engine("p1", EngineStage::Prefill));
  for (const char *Id : {"a", "d1"})
    B.Table.recordPause(Id, 0, B.Now + milliseconds(3'000));
  CHECK_FALSE(B.Table.pauseWait("orders", B.Now));
  CHECK_FALSE(B.Table.pauseWait("assistant", B.Now));
  for (const char *Id : {"b", "d2"})
    B.Table.recordPause(Id, 0, B.Now + milliseconds(1'500));
  auto F = makeCallFlow(B.sharedState(), B.request(RouteKind::Call), B.Io);
  F->start(B.Now);
  CHECK(B.Io.RejectedWith == RejectReason::NoCapacity);
  CHECK(B.Io.SentRetryAfter == milliseconds(1'500));
  auto G = makeStreamFlow(B.sharedState(), B.request(RouteKind::Stream), B.Io);
  G->start(B.Now);
  CHECK(B.Io.FinalAnswers == 2);
  CHECK(B.Io.RejectedWith == RejectReason::NoCapacity);
  CHECK(B.Io.SentRetryAfter == milliseconds(1'500));
  CHECK(B.Io.Legs.empty());
  CHECK_FALSE(B.Table.pauseWait("orders", B.Now + milliseconds(1'500)));
  // One that leaves does not count as usable.
  B.Table.recordLeaving("b", 0);
  CHECK(B.Table.pauseWait("orders", B.Now) == milliseconds(3'000));
}

// Guards against a stream that is sent to a paused engine because it was placed
// there, or that is placed there again and again.
TEST_CASE("a stream placed at a paused engine goes elsewhere",
          "[endpoint_statements]") {
  for (const EngineStage Paused : {EngineStage::Prefill, EngineStage::Decode}) {
    WaitingStream B;
    const auto Decisions = B.Scheduler.poll(B.Now);
    const auto &Place = std::get<StreamPlacement>(Decisions.at(0));
    const std::string Id = engineOf(Place, Paused);
    B.Table.recordPause(Id, 0, B.Now + milliseconds(2'000));
    B.F->onPlaced(Place, B.Now);
    CHECK(B.Io.Legs.empty());
    B.poll(*B.F);
    REQUIRE(B.Io.Legs.size() == 1);
    CHECK(B.Io.Legs[0].EndpointId != Id);
    B.answer(*B.F, 1, answered(200, "h"));
    REQUIRE(B.Io.Legs.size() == 2);
    CHECK(B.Io.Legs[1].EndpointId != Id);
  }
}

// Guards against a request that waits until its deadline because the last
// engine asked for a pause after the request had been queued.
TEST_CASE("queued streams are refused when all engines are paused",
          "[endpoint_statements]") {
  AdmissionClient Client;
  for (const char *Id : {"1", "2"}) {
    StreamRequest R;
    R.Id = Id;
    R.Service = Id == std::string("1") ? "assistant" : "other";
    Client.submit(R);
  }
  const auto Refused = Client.refusePaused(
      [](const std::string &Service) -> std::optional<milliseconds> {
        if (Service == "assistant")
          return milliseconds(700);
        return std::nullopt;
      });
  REQUIRE(Refused.size() == 1);
  CHECK(std::get<StreamRefusal>(Refused[0]).Id == "1");
  CHECK(std::get<StreamRefusal>(Refused[0]).RetryAfter == milliseconds(700));
  CHECK(Client.pendingCount() == 1);
}

} // namespace hyssoprail::routing
