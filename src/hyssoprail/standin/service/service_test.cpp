#include "hyssoprail/standin/service/service.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/testing/http_fixture.hpp"

namespace hyssoprail::standin {

// Guards against executions that are not counted, which would hide a call that
// ran twice.
TEST_CASE("the service counts executions per request id") {
  std::unique_ptr<Service> Emulator;
  testing::EmulatorServer Server(
      [&](const ExchangePtr &E) { Emulator->handle(E); });
  Emulator = std::make_unique<Service>(Server.context(), ServiceOptions{}, 7);
  REQUIRE(Server.start());
  testing::TestClient Client;
  HttpCall Order;
  Order.Authority = Server.authority();
  Order.Request = {"POST", "/orders", {{"X-Request-Id", "r1"}}, "{}"};
  CHECK(valueOf(Client.begin(Order).get()).Status == 201);
  Client.answer(Server.authority(), "POST", "/faults", R"({"drop_rate":1.0})");
  CHECK_FALSE(succeeded(Client.begin(Order).get()));
  Client.answer(Server.authority(), "POST", "/faults", R"({"fail_rate":1.0})");
  CHECK(valueOf(Client.begin(Order).get()).Status == 500);
  const Json Listed =
      parseObject(Client.answer(Server.authority(), "GET", "/executions").Body);
  CHECK(Listed["executions"]["r1"] == 2);
  Server.stop();
}

} // namespace hyssoprail::standin
