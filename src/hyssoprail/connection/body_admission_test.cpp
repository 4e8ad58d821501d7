#include "hyssoprail/connection/body_admission.hpp"

#include <vector>

#include <catch2/catch.hpp>

namespace hyssoprail {
namespace {

constexpr std::size_t Mb = std::size_t{1024} * 1024;
constexpr std::size_t LargeBytes = 4 * Mb;

/// An account of 16 MB, of which 12 MB may hold large requests: three.
class Admission {
public:
  std::shared_ptr<WaitingBody> wait(std::size_t Bytes, bool Grows = false) {
    return Bodies.wait(Bytes, Grows, [this] { ++Woken; });
  }

  std::vector<MemoryReservation> fillWithLarge() {
    std::vector<MemoryReservation> Out;
    while (auto Memory = Bodies.admit(LargeBytes))
      Out.push_back(std::move(*Memory));
    return Out;
  }

  ManualClock Time;
  std::vector<bool> FullChanges;
  unsigned Woken = 0;
  std::shared_ptr<MemoryAccount> Account =
      std::make_shared<MemoryAccount>(16 * Mb);
  BodyAdmission Bodies{Account, Time,
                       [this](bool Full) { FullChanges.push_back(Full); }};
};

} // namespace

// Guards against large requests that keep small ones from being served.
TEST_CASE("small requests are admitted beside waiting large ones") {
  Admission A;
  const auto Large = A.fillWithLarge();
  CHECK(Large.size() == 3);
  const auto Place = A.wait(LargeBytes);
  CHECK(A.Bodies.admit(BodyAdmission::SmallBytes));
  CHECK_FALSE(A.Bodies.admit(LargeBytes));
  CHECK_FALSE(Place->Admitted);
}

// Guards against a request that waits although there is room, and against later
// requests that overtake it.
TEST_CASE("large requests are admitted in the order of their arrival") {
  Admission A;
  auto Large = A.fillWithLarge();
  const auto First = A.wait(LargeBytes);
  const auto Second = A.wait(LargeBytes);
  Large.pop_back();
  CHECK(First->Admitted);
  CHECK_FALSE(Second->Admitted);
  CHECK(A.Woken == 1);
  Large.pop_back();
  CHECK(Second->Admitted);
  CHECK(A.Account->reserved() == 3 * LargeBytes);
}

// Guards against a queue that stands still behind a request whose caller has
// left, and against memory that this request keeps.
TEST_CASE("a request that no longer waits is passed over") {
  Admission A;
  auto Large = A.fillWithLarge();
  auto First = A.wait(LargeBytes);
  const auto Second = A.wait(LargeBytes);
  First.reset();
  Large.pop_back();
  CHECK(Second->Admitted);
  auto Third = A.wait(LargeBytes);
  Large.pop_back();
  REQUIRE(Third->Admitted);
  Third.reset();
  CHECK(A.Account->reserved() == 2 * LargeBytes);
}

// Guards against chunked bodies that hold memory while they wait for each
// other.
TEST_CASE("only some requests may wait with a part of their body") {
  Admission A;
  const auto Large = A.fillWithLarge();
  std::vector<std::shared_ptr<WaitingBody>> Growing;
  while (auto Place = A.wait(LargeBytes, true))
    Growing.push_back(std::move(Place));
  CHECK(Growing.size() == 16);
  CHECK(A.wait(LargeBytes, false));
  Growing.pop_back();
  CHECK(A.wait(LargeBytes, true));
}

// Guards against a time to return that has nothing to do with when memory is
// given back.
TEST_CASE("the expected wait follows the rate at which memory is given back") {
  Admission A;
  auto Large = A.fillWithLarge();
  CHECK_FALSE(A.Bodies.expectedWait(LargeBytes));
  // 4 MB in each second.
  for (int I = 0; I < 4; ++I) {
    A.Time.advance(std::chrono::seconds(1));
    Large.pop_back();
    Large.push_back(std::move(*A.Bodies.admit(LargeBytes)));
  }
  CHECK(A.Bodies.expectedWait(LargeBytes) == milliseconds(1'000));
  const auto Place = A.wait(LargeBytes);
  CHECK(A.Bodies.expectedWait(LargeBytes) == milliseconds(2'000));
}

// Guards against a request that waits for more than there can ever be.
TEST_CASE("a request larger than the account does not fit") {
  const Admission A;
  CHECK(A.Bodies.fits(12 * Mb));
  CHECK_FALSE(A.Bodies.fits(12 * Mb + 1));
}

// Guards against a log line for each request while the account is full.
TEST_CASE("the account is reported full once and free once") {
  Admission A;
  auto Large = A.fillWithLarge();
  CHECK_FALSE(A.Bodies.admit(LargeBytes));
  CHECK(A.FullChanges == std::vector<bool>{true});
  Large.pop_back();
  CHECK(A.FullChanges == std::vector<bool>{true, false});
}

} // namespace hyssoprail
