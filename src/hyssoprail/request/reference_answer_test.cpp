#include "hyssoprail/request/reference_answer.hpp"

#include <catch2/catch.hpp>

namespace hyssoprail {

// Guards against a token count that depends on the amount of whitespace.
TEST_CASE("tokens are whitespace-separated words") {
  CHECK(countTokens("") == 0);
  CHECK(countTokens("  one\ttwo\n three ") == 3);
}

// Guards against tokens that differ between processes, and against equal tokens
// for different prompts, which would hide tokens delivered to the wrong
// request.
TEST_CASE("a reference token depends only on the prompt and the index") {
  CHECK(referenceToken("a b", 3) == referenceToken("a b", 3));
  CHECK(referenceToken("a b", 3) != referenceToken("a b", 4));
  CHECK(referenceToken("a b", 3) != referenceToken("a c", 3));
  CHECK(countTokens(referenceToken("a b", 3)) == 1);
}

// Guards against different hashes for the prefix that two prompts share.
TEST_CASE("prompts with a common prefix share its prefix hashes") {
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
