#include "hyssoprail/core/utf8.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

namespace hyssoprail {
namespace {

/// The first bytes of characters of a length, and the range of the second byte
/// that leaves out overlong forms, surrogates and values above U+10FFFF. All
/// later bytes are from 0x80 to 0xbf.
struct LeadRange {
  unsigned char First;
  unsigned char Last;
  std::size_t Length;
  unsigned char MinSecond;
  unsigned char MaxSecond;
};

constexpr std::array<LeadRange, 9> LeadRanges{{
    {0x00, 0x7f, 1, 0x00, 0x00},
    {0xc2, 0xdf, 2, 0x80, 0xbf},
    {0xe0, 0xe0, 3, 0xa0, 0xbf},
    {0xe1, 0xec, 3, 0x80, 0xbf},
    {0xed, 0xed, 3, 0x80, 0x9f},
    {0xee, 0xef, 3, 0x80, 0xbf},
    {0xf0, 0xf0, 4, 0x90, 0xbf},
    {0xf1, 0xf3, 4, 0x80, 0xbf},
    {0xf4, 0xf4, 4, 0x80, 0x8f},
}};

} // namespace

std::size_t utf8CharacterLength(std::string_view Bytes) {
  const auto At = [&](std::size_t I) {
    return static_cast<unsigned char>(Bytes[I]);
  };
  if (Bytes.empty())
    return 0;
  const auto *Range = std::find_if(
      LeadRanges.begin(), LeadRanges.end(),
      [&](const LeadRange &R) { return At(0) >= R.First && At(0) <= R.Last; });
  if (Range == LeadRanges.end() || Bytes.size() < Range->Length)
    return 0;
  if (Range->Length > 1 &&
      (At(1) < Range->MinSecond || At(1) > Range->MaxSecond))
    return 0;
  for (std::size_t I = 2; I < Range->Length; ++I)
    if (At(I) < 0x80 || At(I) > 0xbf)
      return 0;
  return Range->Length;
}

std::string escapeNonUtf8(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out;
  Out.reserve(Bytes.size());
  while (!Bytes.empty()) {
    const std::size_t Length = utf8CharacterLength(Bytes);
    const auto Byte = static_cast<unsigned char>(Bytes.front());
    if (Length > 0)
      Out.append(Bytes.substr(0, Length));
    else
      Out.append("\\x")
          .append(1, Digits[Byte >> 4])
          .append(1, Digits[Byte & 15]);
    Bytes.remove_prefix(std::max<std::size_t>(1, Length));
  }
  return Out;
}

} // namespace hyssoprail
