#include "hyssoprail/core/memory_account.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail {

// Guards against a process that holds more for its callers than its VM has
// memory for.
TEST_CASE("reservations never exceed the limit of their account") {
  MemoryAccount Account(100);
  MemoryReservation First(Account);
  MemoryReservation Second(Account);
  CHECK(First.grow(60));
  CHECK_FALSE(Second.grow(41));
  CHECK(Second.bytes() == 0);
  CHECK(Second.grow(40));
  CHECK(Account.available() == 0);
}

// Guards against memory that stays reserved after its request has ended, until
// no request has room any more.
TEST_CASE("a reservation is given back once, by whoever owns it last") {
  MemoryAccount Account(100);
  {
    MemoryReservation First(Account);
    REQUIRE(First.grow(60));
    MemoryReservation Second(std::move(First));
    CHECK(Account.reserved() == 60);
    MemoryReservation Third(Account);
    REQUIRE(Third.grow(10));
    Third = std::move(Second);
    CHECK(Account.reserved() == 60);
    Third.shrinkTo(20);
    CHECK(Account.reserved() == 20);
  }
  CHECK(Account.reserved() == 0);
}

} // namespace hyssoprail
