#include "hyssoprail/process/scheduler.hpp"

#include <algorithm>
#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace hyssoprail {
namespace {

/// Configuration with one engine pool and one service pool in two zones.
class Site {
public:
  Site() {
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

template <typename P> auto policy(P Made) { return valueOf(Made); }

class SchedulerFixture {
public:
  explicit SchedulerFixture(std::string_view Scheduling = "early",
                            std::string_view Placement = "two_choices",
                            std::uint64_t Seed = 1)
      : Events(1000, Time), Checks(Events, true),
        Requests({"entry-" + std::to_string(Seed), "a",
                  policy(makeSchedulingStrategy(Scheduling)),
                  policy(makePlacementStrategy(Placement))},
                 Checks, Seed) {}

  void configure(const Site &S) { Requests.configure(S.Config, Time.now()); }

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

Site onePair() {
  Site S;
  S.endpoint("p1", wire::ENDPOINT_ROLE_PREFILL, "a");
  S.endpoint("d1", wire::ENDPOINT_ROLE_DECODE, "a");
  return S;
}

} // namespace

// Guards against prefills that start without a decode slot.
TEST_CASE("a request waits until a decode slot is free") {
  SchedulerFixture D;
  D.configure(onePair());
  D.report("p1", load(8, 0));
  D.report("d1", load(2, 1));
  const std::string First = D.submit(D.request());
  D.submit(D.request());
  REQUIRE(D.placements().size() == 1);
  CHECK(D.placements().empty());
  D.finish(First, 50);
  CHECK(D.placements().size() == 1);
}

// Guards against an idle prefill pool while a slot is about to be released.
TEST_CASE("predicted reservation uses a release in time") {
  SchedulerFixture D("predicted");
  D.configure(onePair());
  wire::LoadReport Full = load(2, 2);
  Full.set_next_release_ms(4);
  D.report("p1", load(8, 0));
  D.report("d1", Full);
  D.submit(D.request());
  D.submit(D.request());
  const auto Placed = D.placements();
  REQUIRE(Placed.size() == 1);
  CHECK(Placed.front().NeededIn == milliseconds(5));
}

// Guards against work in a zone that is out of service or at a leaving
// endpoint.
TEST_CASE("endpoints out of service, leaving or unreachable are not chosen") {
  SchedulerFixture D;
  Site S = onePair();
  S.endpoint("p2", wire::ENDPOINT_ROLE_PREFILL, "b");
  S.endpoint("d2", wire::ENDPOINT_ROLE_DECODE, "b");
  D.configure(S);
  for (const char *Name : {"p1", "p2", "d1", "d2"})
    D.report(Name, load(100, 0));
  std::string Forbidden;
  SECTION("zone out") {
    S.zone("b", true);
    D.configure(S);
  }
  SECTION("leaving") {
    D.report("p2", load(100, 0), true);
    D.report("d2", load(100, 0), true);
  }
  SECTION("unreachable") {
    D.Requests.setReachable("p2", false);
    D.Requests.setReachable("d2", false);
  }
  SECTION("selector") {
    S.selector("acme", "zone=a");
    D.configure(S);
  }
  for (int I = 0; I < 20; ++I)
    D.submit(D.request());
  const auto Placed = D.placements();
  REQUIRE(Placed.size() == 20);
  for (const SchedulePlacement &P : Placed) {
    CHECK(P.Decode == "d1");
    CHECK(P.Prefill == "p1");
  }
}

// Guards against prefill work for a request that is late already.
TEST_CASE("a request that cannot meet its target is refused") {
  SchedulerFixture D;
  D.configure(onePair());
  D.report("p1", load(8, 0));
  D.report("d1", load(1, 1));
  ScheduleRequest R = D.request();
  R.FirstTokenBy = D.Time.now() + milliseconds(100);
  D.submit(R);
  CHECK(D.placements().empty());
  D.Time.advance(milliseconds(96));
  CHECK(D.placements().empty());
  REQUIRE(D.Refusals.size() == 1);
  CHECK(D.Refusals.front().Cause.Kind == ErrorKind::DeadlineExceeded);
  CHECK(D.Refusals.front().Cause.RetryAfter.count() > 0);
  CHECK(D.Requests.queued() == 0);
}

// Guards against an account that takes the slots of the others by sending
// more.
TEST_CASE("accounts are served in proportion to their weights") {
  SchedulerFixture D;
  D.configure(onePair());
  D.report("p1", load(8, 0));
  D.report("d1", load(1, 0));
  std::map<std::string, std::string> AccountOf;
  for (int I = 0; I < 300; ++I) {
    AccountOf[D.submit(D.request("greedy"))] = "greedy";
    if (I % 3 == 0)
      AccountOf[D.submit(D.request("small"))] = "small";
  }
  ScheduleRequest Heavy = D.request("heavy");
  for (int I = 0; I < 300; ++I) {
    Heavy.RequestId = "h" + std::to_string(I);
    Heavy.Weight = 2;
    AccountOf[D.submit(Heavy)] = "heavy";
  }
  std::map<std::string, int> Served;
  for (int I = 0; I < 200; ++I) {
    const auto Placed = D.placements();
    REQUIRE(Placed.size() == 1);
    ++Served[AccountOf.at(Placed.front().RequestId)];
    D.finish(Placed.front().RequestId, 50);
  }
  CHECK(Served["greedy"] == Approx(50).margin(2));
  CHECK(Served["small"] == Approx(50).margin(2));
  CHECK(Served["heavy"] == Approx(100).margin(2));
}

// Guards against batch work that starves behind chat and orders.
TEST_CASE("batch gets its minimum share") {
  SchedulerFixture D;
  D.configure(onePair());
  D.report("p1", load(8, 0));
  D.report("d1", load(1, 0));
  std::map<std::string, wire::RouteClass> ClassOf;
  for (int I = 0; I < 200; ++I)
    for (int Class = 0; Class < 3; ++Class) {
      ScheduleRequest R = D.request("account-" + std::to_string(Class));
      R.Class = static_cast<wire::RouteClass>(Class);
      ClassOf[D.submit(R)] = R.Class;
    }
  std::map<wire::RouteClass, int> Served;
  for (int I = 0; I < 200; ++I) {
    const auto Placed = D.placements();
    REQUIRE(Placed.size() == 1);
    ++Served[ClassOf.at(Placed.front().RequestId)];
    D.finish(Placed.front().RequestId, 50);
  }
  CHECK(Served[wire::ROUTE_CLASS_BATCH] >= 15);
  CHECK(Served[wire::ROUTE_CLASS_ORDER] >
        Served[wire::ROUTE_CLASS_INTERACTIVE]);
  CHECK(Served[wire::ROUTE_CLASS_INTERACTIVE] >
        Served[wire::ROUTE_CLASS_BATCH]);
}

// Guards against entries that all send to the endpoint that looked idle in the
// last report (a herd).
TEST_CASE("late information does not gather requests at one endpoint") {
  constexpr int Entries = 20;
  constexpr int Endpoints = 8;
  constexpr int PerEntry = 4;
  Site S;
  for (int I = 0; I < Endpoints; ++I) {
    S.endpoint("p" + std::to_string(I), wire::ENDPOINT_ROLE_PREFILL, "a");
    S.endpoint("d" + std::to_string(I), wire::ENDPOINT_ROLE_DECODE, "a");
  }
  std::map<std::string, int> Load;
  for (int E = 0; E < Entries; ++E) {
    SchedulerFixture D("early", "two_choices", 100 + E);
    D.configure(S);
    for (int I = 0; I < Endpoints; ++I) {
      // One endpoint looks idle to everybody.
      D.report("d" + std::to_string(I), load(100, I == 0 ? 0 : 4));
      D.report("p" + std::to_string(I), load(100, 0));
    }
    for (int I = 0; I < PerEntry; ++I)
      D.submit(D.request());
    for (const SchedulePlacement &P : D.placements())
      ++Load[P.Decode];
  }
  const double Mean = Entries * PerEntry / double{Endpoints};
  for (const auto &[Name, Count] : Load)
    CHECK(Count <= 3 * Mean);
  CHECK(Load.size() == Endpoints);
}

// Guards against work of ended or resumed requests that stays counted.
TEST_CASE("local correction returns to zero") {
  CHECK(rc::check("every request that ends frees its slot", [] {
    SchedulerFixture D("early", "two_choices", *rc::gen::inRange(1, 1000));
    D.configure(onePair());
    D.report("p1", load(8, 0));
    D.report("d1", load(4, 0));
    std::vector<std::string> Running;
    const int Steps = *rc::gen::inRange(1, 60);
    for (int I = 0; I < Steps; ++I) {
      switch (*rc::gen::inRange(0, 5)) {
      case 0:
        D.submit(D.request());
        break;
      case 1:
        for (const SchedulePlacement &P : D.placements())
          Running.push_back(P.RequestId);
        break;
      case 2:
        if (!Running.empty()) {
          D.finish(Running.back(), 1);
          Running.pop_back();
        }
        break;
      case 3:
        if (!Running.empty()) {
          ScheduleRequest R = D.request();
          R.RequestId = Running.back();
          R.Resumed = true;
          Running.pop_back();
          D.submit(R);
        }
        break;
      default:
        D.report("d1", load(4, static_cast<std::uint32_t>(Running.size())));
        D.Time.advance(milliseconds(10));
      }
      RC_ASSERT(Running.size() <= 4U);
    }
    for (int I = 0; I < 200 && D.Requests.queued() > 0; ++I) {
      for (const std::string &Id : Running)
        D.finish(Id, 1);
      Running.clear();
      for (const SchedulePlacement &P : D.placements())
        Running.push_back(P.RequestId);
    }
    RC_ASSERT(D.Requests.queued() == 0U);
  }));
}

} // namespace hyssoprail
