#include "hyssoprail/routing/leaving_exchange.hpp"

#include <catch2/catch.hpp>

#include "test_support.hpp"

namespace hyssoprail::routing {
namespace {

using testing::service;
using testing::started;

/// An entry's table with its side of the exchange.
struct Entry {
  explicit Entry(std::string Name) : Name(std::move(Name)) {}

  wire::EntryReport report() {
    wire::EntryReport R;
    R.set_sender(Name);
    Exchange.fill("coordinator", R);
    return R;
  }

  wire::CoordinatorUpdate updateFor(const Entry &To) {
    wire::CoordinatorUpdate U;
    Exchange.fill(To.Name, U);
    return U;
  }

  void add(const std::string &Id, std::int64_t StartedAtMs = 1) {
    Table.apply(started(service(Id), StartedAtMs));
  }

  bool inService(std::string_view Id) {
    return Table.inService(*Table.find(Id));
  }

  std::string Name;
  EndpointTable Table;
  LeavingExchange Exchange{Table};
};

/// One report and one update.
void exchange(Entry &From, Entry &Coordinator) {
  Coordinator.Exchange.take(From.Name, From.report());
  From.Exchange.take("coordinator", Coordinator.updateFor(From));
}

} // namespace

// Guards against entries that keep to themselves which endpoints leave, and
// against lists that are sent again and again.
TEST_CASE("leaving endpoints are told through the coordinator until known",
          "[endpoint_statements]") {
  Entry Coordinator("coordinator");
  Entry A("a");
  Entry B("b");
  for (Entry *E : {&Coordinator, &A, &B})
    for (const char *Id : {"w1", "w2"})
      E->add(Id);
  A.Table.recordLeaving("w1", 1);
  CHECK(A.Exchange.hasUnreportedChange());
  exchange(A, Coordinator);
  CHECK_FALSE(A.Exchange.hasUnreportedChange());
  CHECK_FALSE(Coordinator.inService("w1"));
  exchange(B, Coordinator);
  CHECK_FALSE(B.inService("w1"));
  CHECK(B.inService("w2"));
  exchange(A, Coordinator);
  exchange(B, Coordinator);
  CHECK(A.report().leaving_endpoints().empty());
  CHECK(Coordinator.updateFor(B).leaving_endpoints().empty());
  // The next coordinator learns it from the reports.
  Entry Next("coordinator");
  Next.add("w1");
  A.Exchange.forgetPeers();
  exchange(A, Next);
  CHECK_FALSE(Next.inService("w1"));
}

// Guards against messages of entries that know an older incarnation.
TEST_CASE("what is told of an earlier incarnation does not end a later one",
          "[endpoint_statements]") {
  Entry Coordinator("coordinator");
  Entry A("a");
  Coordinator.add("w", 2);
  A.add("w", 1);
  A.Table.recordLeaving("w", 1);
  exchange(A, Coordinator);
  CHECK(Coordinator.inService("w"));
  // The other way round: an entry that has not read the registration yet.
  Coordinator.Table.recordLeaving("w", 2);
  exchange(A, Coordinator);
  CHECK_FALSE(A.inService("w"));
  A.add("w", 2);
  CHECK_FALSE(A.inService("w"));
  A.add("w", 3);
  CHECK(A.inService("w"));
}

// Guards against an entry that hears of an endpoint before it has read its
// registration, as after its start.
TEST_CASE("an endpoint that is not registered yet is known to leave",
          "[endpoint_statements]") {
  Entry Coordinator("coordinator");
  Entry A("a");
  Coordinator.add("w");
  Coordinator.Table.recordLeaving("w", 1);
  exchange(A, Coordinator);
  A.add("w");
  CHECK_FALSE(A.inService("w"));
}

// Guards against datagrams that are too large when a zone leaves, and against
// endpoints that are never told because others come first.
TEST_CASE("many leaving endpoints are told in parts that fit",
          "[endpoint_statements]") {
  Entry Coordinator("coordinator");
  Entry A("a");
  constexpr int Count = 1'700;
  for (Entry *E : {&Coordinator, &A})
    for (int I = 0; I < Count; ++I)
      E->add("i-e3db90eab7-" + std::to_string(I), 1'700'000'000'000);
  for (int I = 0; I < Count; ++I)
    A.Table.recordLeaving("i-e3db90eab7-" + std::to_string(I),
                          1'700'000'000'000);
  Coordinator.Exchange.take("a", wire::EntryReport{});
  A.Exchange.take("coordinator", wire::CoordinatorUpdate{});
  for (int I = 0; I < 4; ++I) {
    const wire::EntryReport Report = A.report();
    CHECK(Report.ByteSizeLong() < 32'000);
    Coordinator.Exchange.take("a", Report);
  }
  CHECK(Coordinator.Table.leaving().digest() == A.Table.leaving().digest());
}

} // namespace hyssoprail::routing
