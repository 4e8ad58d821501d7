#include "hyssoprail/process/scheduler.hpp"

#include <algorithm>
#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hyssoprail {
namespace {

/// Configuration with two zones and one pool, to which tests add endpoints.
class TestConfig {
public:
  TestConfig() {
    zone("a", false);
    zone("b", false);
    wire::Object Pool;
    Pool.set_kind(wire::OBJECT_KIND_POOL);
    Pool.set_name("pool");
    Pool.mutable_pool()->set_name("pool");
    put(Pool);
  }

  void zone(const std::string &Name, bool Out) {
    wire::Object O;
    O.set_kind(wire::OBJECT_KIND_ZONE);
    O.set_name(Name);
    O.mutable_zone()->set_name(Name);
    O.mutable_zone()->set_out(Out);
    put(O);
  }

  void endpoint(const std::string &Name, wire::EndpointRole Role,
                const std::string &Zone) {
    wire::Object Vm;
    Vm.set_kind(wire::OBJECT_KIND_VM);
    Vm.set_name("vm-" + Name);
    Vm.mutable_vm()->set_name(Vm.name());
    Vm.mutable_vm()->set_zone(Zone);
    put(Vm);
    wire::Object O;
    O.set_kind(wire::OBJECT_KIND_ENDPOINT);
    O.set_name(Name);
    O.mutable_endpoint()->set_name(Name);
    O.mutable_endpoint()->set_pool("pool");
    O.mutable_endpoint()->set_role(Role);
    O.mutable_endpoint()->set_vm(Vm.name());
    put(O);
  }

  void selector(const std::string &Account, const std::string &Expression) {
    wire::Object O;
    O.set_kind(wire::OBJECT_KIND_SELECTOR);
    O.set_name("selector-" + Account);
    O.mutable_selector()->set_name(O.name());
    O.mutable_selector()->set_account(Account);
    O.mutable_selector()->set_expression(Expression);
    put(O);
  }

  void put(const wire::Object &O) {
    Config = Config->with(O, false, ++Version);
  }

  ConfigPtr Config = std::make_shared<const ConfigState>();
  std::uint64_t Version = 0;
};

wire::LoadReport load(std::uint32_t Slots, std::uint32_t Used) {
  wire::LoadReport Load;
  Load.set_slots(Slots);
  Load.set_slots_used(Used);
  Load.set_pieces(64);
  Load.set_pieces_used(Used);
  Load.set_prefill_us_per_token(50);
  return Load;
}

template <typename P> auto strategyOf(P Strategy) { return valueOf(Strategy); }

class SchedulerFixture {
public:
  explicit SchedulerFixture(std::string_view Scheduling = "early",
                            std::string_view Placement = "two_choices",
                            std::uint64_t Seed = 1)
      : Events(1000, Time), Checks(Events, true),
        Requests({"entry-" + std::to_string(Seed), "a",
                  strategyOf(makeSchedulingStrategy(Scheduling)),
                  strategyOf(makePlacementStrategy(Placement))},
                 Checks, Seed) {}

  void configure(const TestConfig &S) {
    Requests.configure(S.Config, Time.now());
  }

  void report(const std::string &Endpoint, const wire::LoadReport &Load,
              bool Leaving = false) {
    Requests.updateLoad(Endpoint, Load, Leaving, Time.now());
  }

  ScheduleRequest request(const std::string &Account = "acme") {
    ScheduleRequest R;
    R.RequestId = "r" + std::to_string(++Serial);
    R.Account = Account;
    R.Pool = "pool";
    R.PromptTokens = 100;
    R.MaxTokens = 50;
    return R;
  }

  std::string submit(ScheduleRequest R) {
    std::string Id = R.RequestId;
    Requests.submit(std::move(R), Time.now());
    return Id;
  }

  std::vector<SchedulePlacement> placements() {
    std::vector<SchedulePlacement> Out;
    for (const ScheduleDecision &D : Requests.poll(Time.now()))
      if (const auto *P = std::get_if<SchedulePlacement>(&D))
        Out.push_back(*P);
      else
        Refusals.push_back(std::get<ScheduleRefusal>(D));
    return Out;
  }

  void finish(const std::string &Id, std::uint32_t Tokens) {
    Requests.completed(Id, Tokens);
  }

  ManualClock Time;
  Timeline Events;
  Invariants Checks;
  Scheduler Requests;
  std::vector<ScheduleRefusal> Refusals;
  int Serial = 0;
};

TestConfig configWithOnePair() {
  TestConfig S;
  S.endpoint("p1", wire::ENDPOINT_ROLE_PREFILL, "a");
  S.endpoint("d1", wire::ENDPOINT_ROLE_DECODE, "a");
  return S;
}

} // namespace

// Guards against prefills that start without a decode slot.
TEST_CASE("a request waits until a decode slot is free") {
  SchedulerFixture F;
  F.configure(configWithOnePair());
  F.report("p1", load(8, 0));
  F.report("d1", load(2, 1));
  const std::string First = F.submit(F.request());
  F.submit(F.request());
  REQUIRE(F.placements().size() == 1);
  CHECK(F.placements().empty());
  F.finish(First, 50);
  CHECK(F.placements().size() == 1);
}

// Guards against a prefill pool that idles although a decode slot will be free
// by the time it is needed.
TEST_CASE("predicted reservation uses a slot that is released in time") {
  SchedulerFixture F("predicted");
  F.configure(configWithOnePair());
  wire::LoadReport Full = load(2, 2);
  Full.set_next_release_ms(4);
  F.report("p1", load(8, 0));
  F.report("d1", Full);
  F.submit(F.request());
  F.submit(F.request());
  const auto Placed = F.placements();
  REQUIRE(Placed.size() == 1);
  CHECK(Placed.front().NeededIn == milliseconds(5));
}

// Guards against work placed in a zone that is out of service, at a leaving or
// unreachable endpoint, or at one that a selector excludes.
TEST_CASE("endpoints out of service, leaving or unreachable are not chosen") {
  SchedulerFixture F;
  TestConfig S = configWithOnePair();
  S.endpoint("p2", wire::ENDPOINT_ROLE_PREFILL, "b");
  S.endpoint("d2", wire::ENDPOINT_ROLE_DECODE, "b");
  F.configure(S);
  for (const char *Name : {"p1", "p2", "d1", "d2"})
    F.report(Name, load(100, 0));
  std::string Forbidden;
  SECTION("zone out") {
    S.zone("b", true);
    F.configure(S);
  }
  SECTION("leaving") {
    F.report("p2", load(100, 0), true);
    F.report("d2", load(100, 0), true);
  }
  SECTION("unreachable") {
    F.Requests.setReachable("p2", false);
    F.Requests.setReachable("d2", false);
  }
  SECTION("selector") {
    S.selector("acme", "zone=a");
    F.configure(S);
  }
  for (int I = 0; I < 20; ++I)
    F.submit(F.request());
  const auto Placed = F.placements();
  REQUIRE(Placed.size() == 20);
  for (const SchedulePlacement &P : Placed) {
    CHECK(P.Decode == "d1");
    CHECK(P.Prefill == "p1");
  }
}

// Guards against prefill work for a request that will miss its latency target.
TEST_CASE("a request that cannot meet its target is refused") {
  SchedulerFixture F;
  F.configure(configWithOnePair());
  F.report("p1", load(8, 0));
  F.report("d1", load(1, 1));
  ScheduleRequest R = F.request();
  R.FirstTokenBy = F.Time.now() + milliseconds(100);
  F.submit(R);
  CHECK(F.placements().empty());
  F.Time.advance(milliseconds(96));
  CHECK(F.placements().empty());
  REQUIRE(F.Refusals.size() == 1);
  CHECK(F.Refusals.front().Cause.Kind == ErrorKind::DeadlineExceeded);
  CHECK(F.Refusals.front().Cause.RetryAfter.count() > 0);
  CHECK(F.Requests.queued() == 0);
}

// Guards against an account that gets more than its share by sending more
// requests.
TEST_CASE("accounts are served in proportion to their weights") {
  SchedulerFixture F;
  F.configure(configWithOnePair());
  F.report("p1", load(8, 0));
  F.report("d1", load(1, 0));
  std::map<std::string, std::string> AccountOf;
  for (int I = 0; I < 300; ++I) {
    AccountOf[F.submit(F.request("greedy"))] = "greedy";
    if (I % 3 == 0)
      AccountOf[F.submit(F.request("small"))] = "small";
  }
  ScheduleRequest Heavy = F.request("heavy");
  for (int I = 0; I < 300; ++I) {
    Heavy.RequestId = "h" + std::to_string(I);
    Heavy.Weight = 2;
    AccountOf[F.submit(Heavy)] = "heavy";
  }
  std::map<std::string, int> Served;
  for (int I = 0; I < 200; ++I) {
    const auto Placed = F.placements();
    REQUIRE(Placed.size() == 1);
    ++Served[AccountOf.at(Placed.front().RequestId)];
    F.finish(Placed.front().RequestId, 50);
  }
  CHECK(Served["greedy"] == Approx(50).margin(2));
  CHECK(Served["small"] == Approx(50).margin(2));
  CHECK(Served["heavy"] == Approx(100).margin(2));
}

// Guards against starvation of batch requests by the order and interactive
// classes.
TEST_CASE("batch gets its minimum share") {
  SchedulerFixture F;
  F.configure(configWithOnePair());
  F.report("p1", load(8, 0));
  F.report("d1", load(1, 0));
  std::map<std::string, wire::RouteClass> ClassOf;
  for (int I = 0; I < 200; ++I)
    for (int Class = 0; Class < 3; ++Class) {
      ScheduleRequest R = F.request("account-" + std::to_string(Class));
      R.Class = static_cast<wire::RouteClass>(Class);
      ClassOf[F.submit(R)] = R.Class;
    }
  std::map<wire::RouteClass, int> Served;
  for (int I = 0; I < 200; ++I) {
    const auto Placed = F.placements();
    REQUIRE(Placed.size() == 1);
    ++Served[ClassOf.at(Placed.front().RequestId)];
    F.finish(Placed.front().RequestId, 50);
  }
  CHECK(Served[wire::ROUTE_CLASS_BATCH] >= 15);
  CHECK(Served[wire::ROUTE_CLASS_ORDER] >
        Served[wire::ROUTE_CLASS_INTERACTIVE]);
  CHECK(Served[wire::ROUTE_CLASS_INTERACTIVE] >
        Served[wire::ROUTE_CLASS_BATCH]);
}

// Guards against a thundering herd: entries that all choose the endpoint that
// was idle in the last load report.
TEST_CASE("outdated load reports do not concentrate requests on one endpoint") {
  constexpr int Entries = 20;
  constexpr int Endpoints = 8;
  constexpr int PerEntry = 4;
  TestConfig S;
  for (int I = 0; I < Endpoints; ++I) {
    S.endpoint("p" + std::to_string(I), wire::ENDPOINT_ROLE_PREFILL, "a");
    S.endpoint("d" + std::to_string(I), wire::ENDPOINT_ROLE_DECODE, "a");
  }
  std::map<std::string, int> Load;
  for (int E = 0; E < Entries; ++E) {
    SchedulerFixture F("early", "two_choices", 100 + E);
    F.configure(S);
    for (int I = 0; I < Endpoints; ++I) {
      // The load reports show endpoint 0 as idle to every entry.
      F.report("d" + std::to_string(I), load(100, I == 0 ? 0 : 4));
      F.report("p" + std::to_string(I), load(100, 0));
    }
    for (int I = 0; I < PerEntry; ++I)
      F.submit(F.request());
    for (const SchedulePlacement &P : F.placements())
      ++Load[P.Decode];
  }
  const double Mean = Entries * PerEntry / double{Endpoints};
  for (const auto &[Name, Count] : Load)
    CHECK(Count <= 3 * Mean);
  CHECK(Load.size() == Endpoints);
}

// Guards against work of ended or resumed requests that still counts as load.
TEST_CASE("the local load correction returns to zero") {
  CHECK(rc::check("every request that ends frees its slot", [] {
    SchedulerFixture F("early", "two_choices", *rc::gen::inRange(1, 1000));
    F.configure(configWithOnePair());
    F.report("p1", load(8, 0));
    F.report("d1", load(4, 0));
    std::vector<std::string> Running;
    const int Steps = *rc::gen::inRange(1, 60);
    for (int I = 0; I < Steps; ++I) {
      switch (*rc::gen::inRange(0, 5)) {
      case 0:
        F.submit(F.request());
        break;
      case 1:
        for (const SchedulePlacement &P : F.placements())
          Running.push_back(P.RequestId);
        break;
      case 2:
        if (!Running.empty()) {
          F.finish(Running.back(), 1);
          Running.pop_back();
        }
        break;
      case 3:
        if (!Running.empty()) {
          ScheduleRequest R = F.request();
          R.RequestId = Running.back();
          R.Resumed = true;
          Running.pop_back();
          F.submit(R);
        }
        break;
      default:
        F.report("d1", load(4, static_cast<std::uint32_t>(Running.size())));
        F.Time.advance(milliseconds(10));
      }
      RC_ASSERT(Running.size() <= 4U);
    }
    for (int I = 0; I < 200 && F.Requests.queued() > 0; ++I) {
      for (const std::string &Id : Running)
        F.finish(Id, 1);
      Running.clear();
      for (const SchedulePlacement &P : F.placements())
        Running.push_back(P.RequestId);
    }
    RC_ASSERT(F.Requests.queued() == 0U);
  }));
}

} // namespace hyssoprail
