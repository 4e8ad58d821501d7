#ifndef HYSSOPRAIL_REQUEST_REFERENCE_ANSWER_HPP
#define HYSSOPRAIL_REQUEST_REFERENCE_ANSWER_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoprail {

/// Tokens covered by one prefix hash.
constexpr std::uint32_t PrefixBlockTokens = 64;

/// Returns the number of whitespace-separated words in \p Prompt.
std::uint32_t countTokens(std::string_view Prompt);

/// Returns the output token at \p Index, one word without whitespace.
///
/// \code
///   referenceToken("a prompt", 0); // always the same word
/// \endcode
std::string referenceToken(std::string_view Prompt, std::uint32_t Index);

/// Returns the number of output tokens when max_tokens is larger; 8 to 255.
std::uint32_t referenceLength(std::string_view Prompt);

/// Returns one hash for each whole block of PrefixBlockTokens words; the hash
/// at position I covers blocks 0 to I. Cache events carry these hashes.
std::vector<std::uint64_t> prefixHashes(std::string_view Prompt);

} // namespace hyssoprail

#endif // HYSSOPRAIL_REQUEST_REFERENCE_ANSWER_HPP
