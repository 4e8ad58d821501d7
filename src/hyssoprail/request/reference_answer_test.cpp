#include "hyssoprail/request/reference_answer.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail {

// Guards against a token count that depends on the amount of whitespace.
TEST_CASE("tokens are whitespace-separated words") {
  CHECK(countTokens("") == 0);
  CHECK(countTokens("  one\ttwo\n three ") == 3);
}

// Guards against answers that differ between processes or prompts, which would
// hide tokens of a foreign request.
TEST_CASE("a reference token depends on the prompt and the index only") {
  CHECK(referenceToken("a b", 3) == referenceToken("a b", 3));
  CHECK(referenceToken("a b", 3) != referenceToken("a b", 4));
  CHECK(referenceToken("a b", 3) != referenceToken("a c", 3));
  CHECK(countTokens(referenceToken("a b", 3)) == 1);
}

// Guards against prefix hashes that differ although the shared part is equal.
TEST_CASE("prompts with a common beginning share prefix hashes") {
  std::string Common;
  for (unsigned I = 0; I < 2 * PrefixBlockTokens; ++I)
    Common += "w" + std::to_string(I) + " ";
  const auto First = prefixHashes(Common + "x");
  const auto Second = prefixHashes(Common + "y y");
  REQUIRE(First.size() == 2);
  CHECK(First == Second);
  CHECK(prefixHashes("z " + Common).front() != First.front());
}

} // namespace hyssoprail
