#include "hyssoprail/core/memory_account.hpp"

#include <vector>

#include <catch2/catch.hpp>

namespace hyssoprail {

// Guards against a process that holds more for its callers than its VM has
// memory for.
TEST_CASE("reservations never exceed the limit of their account") {
  const auto Account = std::make_shared<MemoryAccount>(100);
  MemoryReservation First(Account);
  MemoryReservation Second(Account);
  CHECK(First.grow(60));
  CHECK_FALSE(Second.grow(41));
  CHECK(Second.bytes() == 0);
  CHECK(Second.grow(40));
  CHECK(Account->available() == 0);
}

// Guards against memory that stays reserved after its request has ended, until
// no request has room any more.
TEST_CASE("a reservation is given back once, by whoever owns it last") {
  const auto Account = std::make_shared<MemoryAccount>(100);
  {
    MemoryReservation First(Account);
    REQUIRE(First.grow(60));
    MemoryReservation Second(std::move(First));
    CHECK(Account->reserved() == 60);
    MemoryReservation Third(Account);
    REQUIRE(Third.grow(10));
    Third = std::move(Second);
    CHECK(Account->reserved() == 60);
    Third.shrinkTo(20);
    CHECK(Account->reserved() == 20);
  }
  CHECK(Account->reserved() == 0);
}

// Guards against large requests that take the share of small ones.
TEST_CASE("a reservation can leave a part of the account free") {
  const auto Account = std::make_shared<MemoryAccount>(100);
  MemoryReservation Large(Account);
  CHECK_FALSE(Large.grow(80, 21));
  CHECK_FALSE(Large.grow(1, 101));
  CHECK(Large.grow(80, 20));
}

// Guards against requests that wait although memory was given back.
TEST_CASE("an account tells when bytes are given back") {
  const auto Account = std::make_shared<MemoryAccount>(100);
  std::vector<std::size_t> Released;
  Account->onRelease([&](std::size_t Bytes) { Released.push_back(Bytes); });
  {
    MemoryReservation Body(Account);
    REQUIRE(Body.grow(50));
    Body.shrinkTo(20);
  }
  CHECK(Released == std::vector<std::size_t>{30, 20});
}

// Guards against a subtraction below zero when a charge exceeds the limit.
TEST_CASE("a charge beyond the limit leaves no room") {
  const auto Account = std::make_shared<MemoryAccount>(100);
  MemoryReservation Response(Account);
  Response.charge(150);
  CHECK(Account->available() == 0);
  MemoryReservation Body(Account);
  CHECK_FALSE(Body.grow(1));
  Response.clear();
  CHECK(Body.grow(100));
}

} // namespace hyssoprail
