#include "hyssoprail/process/engine_orders.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/process/agent_test_support.hpp"
#include "hyssoprail/process/stored_agent_config.hpp"

namespace hyssoprail::agent_test {
namespace {

AgentConfigView viewWithVersion(const std::string &Version) {
  AgentConfigView View;
  View.Configured = true;
  View.Version = 20;
  View.ModelVersion = Version;
  View.LeaseIncarnation = AgentIncarnation;
  View.LeaseOffset = 15;
  return View;
}

StatusResult statusWithVersion(const std::string &Version) {
  StatusResult R;
  R.Model = "m";
  R.Version = Version;
  R.Role = "decode";
  return R;
}

wire::ConfigRecords records(std::uint64_t After,
                            const std::vector<wire::LogRecord> &List) {
  wire::ConfigRecords Out;
  Out.set_after_version(After);
  for (const wire::LogRecord &R : List) {
    Out.add_records()->set_offset(++After);
    *Out.mutable_records(Out.records_size() - 1)->mutable_record() = R;
  }
  return Out;
}

wire::LogRecord change(const wire::Object &Object) {
  wire::LogRecord R;
  R.set_operation_id("op-" + Object.name());
  *R.mutable_change()->mutable_object() = Object;
  return R;
}

} // namespace

// Guards against orders from an agent incarnation that was replaced.
TEST_CASE("only the incarnation that holds the lease gives orders") {
  EngineOrders Orders({}, AgentIncarnation);
  TimePoint Now{};
  AgentConfigView View = viewWithVersion("2");
  View.LeaseIncarnation = 0;
  CHECK(Orders.needsLease(View));
  CHECK_FALSE(Orders.due(View, statusWithVersion("1"), Now));
  View.LeaseIncarnation = AgentIncarnation;
  Orders.configApplied(View);
  REQUIRE(Orders.due(View, statusWithVersion("1"), Now));
  const OrderCall Call = Orders.makeOrder(View, statusWithVersion("1"), 1);
  CHECK(Call.FencingToken == 15);
  CHECK(Call.Version == "2");
  CHECK(Call.Role == "decode");
  View.LeaseIncarnation = AgentIncarnation + 1;
  Orders.orderEnded(1, CallStatusCode::Timeout, Now);
  Now += milliseconds(5'000);
  CHECK_FALSE(Orders.due(View, statusWithVersion("1"), Now));
  CHECK_FALSE(Orders.needsLease(View));
}

// Guards against an engine that stays in the wrong state because it ignored an
// order or applied a stale one.
TEST_CASE("an engine state that differs is corrected by another order") {
  EngineOrders Orders({}, AgentIncarnation);
  TimePoint Now{};
  const AgentConfigView View = viewWithVersion("2");
  REQUIRE(Orders.due(View, statusWithVersion("1"), Now));
  Orders.makeOrder(View, statusWithVersion("1"), 1);
  CHECK_FALSE(Orders.due(View, statusWithVersion("1"), Now));
  Orders.orderEnded(1, CallStatusCode::Ok, Now);
  CHECK_FALSE(Orders.due(View, statusWithVersion("2"), Now));
  Now += milliseconds(5'000);
  CHECK(Orders.due(View, statusWithVersion("1"), Now));
  Orders.makeOrder(View, statusWithVersion("1"), 2);
  Orders.orderEnded(2, CallStatusCode::Conflict, Now);
  Now += milliseconds(5'000);
  CHECK_FALSE(Orders.due(View, statusWithVersion("1"), Now));
}

// Guards against all engines of a zone loading weights at the same time, and
// against orders from an outdated configuration after a pause of the process.
TEST_CASE("orders are delayed by load rank and after a pause") {
  EngineOrders Orders({}, AgentIncarnation);
  TimePoint Now{};
  AgentConfigView View = viewWithVersion("2");
  View.LoadRank = 2;
  CHECK_FALSE(Orders.due(View, statusWithVersion("1"), Now));
  Now += milliseconds(30'000);
  CHECK(Orders.due(View, statusWithVersion("1"), Now));
  Orders.processPaused(Now);
  CHECK_FALSE(Orders.due(View, statusWithVersion("1"), Now));
  Now += milliseconds(1'000);
  CHECK(Orders.due(View, statusWithVersion("1"), Now));
}

// Guards against an order that interrupts running requests.
TEST_CASE("an order waits until running requests have ended") {
  Harness H;
  H.bringUp("decode");
  TestEntry Entry{1, "p1"};
  H.deliver(Entry, H.reserve(Entry, "a"));
  H.Config.Value = viewWithVersion("2");
  wire::Envelope Records = Entry.envelope();
  Records.mutable_config_records()->set_after_version(20);
  H.deliver(Entry, Records);
  H.tick();
  CHECK(H.count<OrderCall>() == 0);
  H.deliver(Entry, H.reserve(Entry, "b"));
  CHECK_FALSE(
      H.lastSent(wire::Envelope::kReserveReply)->reserve_reply().granted());
  H.heartbeat(Entry);
  H.tick();
  CHECK(H.count<OrderCall>() == 1);
}

// Guards against an agent view that lacks the zone state, the lease or the
// desired engine state.
TEST_CASE("the agent view reflects the applied log records") {
  StoredAgentConfig Config("e2", "z1");
  wire::Object Zone;
  Zone.set_kind(wire::OBJECT_KIND_ZONE);
  Zone.set_name("z1");
  Zone.mutable_zone()->set_name("z1");
  wire::Object Vm;
  Vm.set_kind(wire::OBJECT_KIND_VM);
  Vm.set_name("vm1");
  Vm.mutable_vm()->set_name("vm1");
  Vm.mutable_vm()->set_zone("z1");
  wire::Object Pool;
  Pool.set_kind(wire::OBJECT_KIND_POOL);
  Pool.set_name("pool");
  Pool.mutable_pool()->set_name("pool");
  Pool.mutable_pool()->set_model("m");
  std::vector<wire::LogRecord> List{change(Zone), change(Vm), change(Pool)};
  for (const char *Name : {"e1", "e2"}) {
    wire::Object O;
    O.set_kind(wire::OBJECT_KIND_ENDPOINT);
    O.set_name(Name);
    O.mutable_endpoint()->set_name(Name);
    O.mutable_endpoint()->set_pool("pool");
    O.mutable_endpoint()->set_vm("vm1");
    O.mutable_endpoint()->set_role(wire::ENDPOINT_ROLE_DECODE);
    O.mutable_endpoint()->set_agent_address("tcp://127.0.0.1:1");
    O.mutable_endpoint()->set_model_version("7");
    List.push_back(change(O));
  }
  wire::LogRecord Lease;
  Lease.set_operation_id("lease");
  Lease.mutable_agent_lease()->set_endpoint("e2");
  Lease.mutable_agent_lease()->set_incarnation(AgentIncarnation);
  List.push_back(Lease);
  REQUIRE(Config.apply(records(0, List)));
  const AgentConfigView View = Config.view();
  CHECK(View.Version == 6);
  CHECK(View.Configured);
  CHECK(View.Model == "m");
  CHECK(View.ModelVersion == "7");
  CHECK(View.Role == "decode");
  CHECK(View.LeaseOffset == 6);
  CHECK(View.LeaseIncarnation == AgentIncarnation);
  CHECK(View.LoadRank == 1);
  CHECK_FALSE(View.ZoneOut);
  CHECK_FALSE(Config.apply(records(9, {Lease})));
  Zone.mutable_zone()->set_out(true);
  wire::LogRecord Out = change(Zone);
  Out.set_operation_id("out");
  Out.mutable_change()->set_base_version(1);
  REQUIRE(Config.apply(records(6, {Out})));
  CHECK(Config.view().ZoneOut);
}

} // namespace hyssoprail::agent_test
