#include "hyssoprail/version/selector.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/version/key_digest.hpp"

namespace hyssoprail {
namespace {

bool matches(std::string_view Expression, const Labels &Of) {
  auto Parsed = LabelSelector::parse(Expression);
  REQUIRE(succeeded(Parsed));
  return valueOf(Parsed).matches(Of);
}

} // namespace

// Guards against work placed on endpoints that a selector excludes.
TEST_CASE("selector terms match labels") {
  const Labels Of{{"zone", "a"}, {"disk", "ssd"}, {"gpu", ""}};
  CHECK(matches("zone=a,disk in (ssd, nvme),!old", Of));
  CHECK(matches("zone==a , gpu", Of));
  CHECK(matches("disk!=hdd,disk notin (hdd),tier!=gold", Of));
  CHECK_FALSE(matches("zone=b", Of));
  CHECK_FALSE(matches("zone=a,!gpu", Of));
  CHECK_FALSE(matches("disk notin (ssd,hdd)", Of));
  CHECK_FALSE(matches("tier", Of));
  CHECK(matches("interval!=x,!interval", Of)); // "in" starts a label name
}

// Guards against an operator who cannot find the mistake in an expression.
TEST_CASE("selector errors name the position") {
  const auto Position = [](std::string_view Expression) {
    const auto Parsed = LabelSelector::parse(Expression);
    const Error *E = errorOf(Parsed);
    REQUIRE(E != nullptr);
    CHECK(E->Kind == ErrorKind::InvalidRequest);
    CHECK_FALSE(E->Remedy.empty());
    return E->Message.substr(E->Message.rfind(' ') + 1);
  };
  CHECK(Position("") == "1");
  CHECK(Position("zone=a,") == "8");
  CHECK(Position("zone=") == "6");
  CHECK(Position("disk in ssd") == "9");
  CHECK(Position("disk in (ssd") == "13");
  CHECK(Position("a b") == "3");
  CHECK(Position("a!b") == "3");
}

// Guards against an issued key that differs between entries, and against two
// accounts that share a claim.
TEST_CASE("keys and claim ids derive from their parts") {
  CHECK(issuedKey("secret", "op1") == issuedKey("secret", "op1"));
  CHECK(issuedKey("secret", "op1") != issuedKey("other", "op1"));
  CHECK(keyDigest("secret", "key").size() == 64);
  CHECK(claimId("ab", "c") != claimId("a", "bc"));
}

} // namespace hyssoprail
