#include "hyssoprail/request/reference_answer.hpp"

#include <fmt/format.h>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail {
namespace {

constexpr std::uint64_t LengthSeed = 0x6c656e677468; // ASCII "length"
constexpr std::uint32_t MinLength = 8;
constexpr std::uint32_t LengthRange = 248;

bool isSpace(char C) {
  return C == ' ' || C == '\t' || C == '\n' || C == '\r' || C == '\v' ||
         C == '\f';
}

/// Calls \p OnWord with each whitespace-separated word.
template <typename F> void forEachWord(std::string_view Text, F OnWord) {
  std::size_t Begin = 0;
  while (Begin < Text.size()) {
    if (isSpace(Text[Begin])) {
      ++Begin;
      continue;
    }
    std::size_t End = Begin;
    while (End < Text.size() && !isSpace(Text[End]))
      ++End;
    OnWord(Text.substr(Begin, End - Begin));
    Begin = End;
  }
}

} // namespace

std::uint32_t countTokens(std::string_view Prompt) {
  std::uint32_t Count = 0;
  forEachWord(Prompt, [&](std::string_view) { ++Count; });
  return Count;
}

std::string referenceToken(std::string_view Prompt, std::uint32_t Index) {
  return fmt::format("t{:08x}",
                     static_cast<std::uint32_t>(stableHash(Prompt, Index)));
}

std::uint32_t referenceLength(std::string_view Prompt) {
  return MinLength + static_cast<std::uint32_t>(stableHash(Prompt, LengthSeed) %
                                                LengthRange);
}

std::vector<std::uint64_t> prefixHashes(std::string_view Prompt) {
  std::vector<std::uint64_t> Hashes;
  std::uint64_t Hash = 0;
  std::uint32_t Count = 0;
  forEachWord(Prompt, [&](std::string_view Word) {
    Hash = stableHash(Word, Hash + 1);
    if (++Count % PrefixBlockTokens == 0)
      Hashes.push_back(Hash);
  });
  return Hashes;
}

} // namespace hyssoprail
