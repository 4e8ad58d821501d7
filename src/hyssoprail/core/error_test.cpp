#include "hyssoprail/core/error.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/core/random.hpp"

namespace hyssoprail {

// Guards against client errors that are reported to callers as server errors.
TEST_CASE("error kinds map to HTTP statuses") {
  CHECK(httpStatus(ErrorKind::RateLimited) == 429);
  CHECK(httpStatus(ErrorKind::OutcomeUnknown) == 502);
  CHECK(errorCode(ErrorKind::IdempotencyKeyReused) == "idempotency_key_reused");
}

// Guards against a test clock that advances on its own.
TEST_CASE("a manual clock advances only on request") {
  ManualClock Clock;
  const TimePoint Before = Clock.now();
  CHECK(Clock.now() == Before);
  Clock.advance(milliseconds(5));
  CHECK(Clock.now() - Before == milliseconds(5));
}

// Guards against digests that differ from the published algorithms.
TEST_CASE("digests match known values") {
  CHECK(sha256("") == "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b"
                      "7852b855");
  CHECK(hmacSha256("key", "The quick brown fox jumps over the lazy dog") ==
        "f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8");
}

// Guards against simulations that are not reproducible from their seed.
TEST_CASE("random sources with the same seed yield the same sequence") {
  RandomSource First(7);
  RandomSource Second(7);
  for (int I = 0; I < 10; ++I)
    CHECK(First.below(1000) == Second.below(1000));
}

} // namespace hyssoprail
