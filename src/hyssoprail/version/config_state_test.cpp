#include "hyssoprail/version/config_state.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/version/reducer.hpp"
#include "hyssoprail/version/test_records.hpp"

namespace hyssoprail {
namespace {

using namespace testing;

ConfigPtr fleetConfig() {
  Reducer R;
  for (const wire::LogRecord &Record : fleet())
    R.apply(R.version() + 1, Record);
  return R.config();
}

} // namespace

// Guards against requests that find no route, key or endpoint.
TEST_CASE("objects are found by their indexes") {
  const ConfigPtr C = fleetConfig();
  CHECK(C->version() == 10);
  CHECK(C->keyByDigest(std::string(64, 'a'))->account() == "acme");
  CHECK(C->keyByDigest("none") == nullptr);
  CHECK(C->routeForModel("m")->name() == "chat");
  CHECK(C->routeForModel("") == nullptr);
  CHECK(C->routeForPath("/orders/7?x=1")->name() == "orders");
  CHECK(C->routeForPath("/ordersX") == nullptr);
  CHECK(C->endpointsOf("chat", wire::ENDPOINT_ROLE_DECODE).size() == 1);
  CHECK(C->endpointsOf("chat", wire::ENDPOINT_ROLE_PREFILL).empty());
  CHECK(C->endpoints().size() == 2);
  CHECK(C->object(wire::OBJECT_KIND_POOL, "shop")->version() == 6);
}

// Guards against a published state that changes under its readers.
TEST_CASE("a published state stays as it is") {
  const ConfigPtr Before = fleetConfig();
  const ConfigPtr After = Before->with(keyObject("k1", "acme"), true, 11);
  CHECK(Before->keyByDigest(std::string(64, 'a')) != nullptr);
  CHECK(After->keyByDigest(std::string(64, 'a')) == nullptr);
  CHECK(After->version() == 11);
  CHECK(Before->at(12)->version() == 12);
  CHECK(Before->version() == 10);
}

// Guards against new work in a zone that was taken out of service.
TEST_CASE("zones, leaving marks and selectors restrict endpoints") {
  const ConfigPtr C = fleetConfig();
  const wire::Endpoint &E = *C->endpoint("d1");
  CHECK(C->inService(E));
  CHECK_FALSE(C->with(zoneObject("a", true), false, 11)->inService(E));
  wire::Endpoint Leaving = E;
  Leaving.set_leaving(true);
  CHECK_FALSE(C->inService(Leaving));
  const ConfigPtr S =
      C->with(selectorObject("s", "acme", "power=green,disk=hdd"), false, 11);
  CHECK_FALSE(S->permits(E, "acme", "chat"));
  CHECK(S->permits(E, "other", "chat"));
  const ConfigPtr T = C->with(
      selectorObject("s", "", "zone=a,power=green,disk=ssd"), false, 11);
  CHECK(T->permits(E, "acme", "chat"));
}

} // namespace hyssoprail
