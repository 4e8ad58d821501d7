#ifndef HYSSOPRAIL_REQUEST_REFERENCE_ANSWER_HPP
#define HYSSOPRAIL_REQUEST_REFERENCE_ANSWER_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoprail {

// The simulated engines answer each prompt with a deterministic reference
// answer, so that a receiver can verify every token. A token is one
// whitespace-separated word.

/// Tokens in one block of prefixHashes.
constexpr std::uint32_t PrefixBlockTokens = 64;

/// Returns the number of whitespace-separated words in \p Prompt.
std::uint32_t countTokens(std::string_view Prompt);

/// Returns the output token at \p Index of the reference answer to \p Prompt,
/// one word without whitespace.
///
/// \code
///   referenceToken("a prompt", 0); // always the same word
/// \endcode
std::string referenceToken(std::string_view Prompt, std::uint32_t Index);

/// Returns the length in tokens of the reference answer to \p Prompt, 8 to 255.
/// A smaller max_tokens cuts the answer short.
std::uint32_t referenceLength(std::string_view Prompt);

/// Returns one hash for each full block of PrefixBlockTokens words. The hash at
/// position I covers blocks 0 to I. Cache events carry these hashes.
std::vector<std::uint64_t> prefixHashes(std::string_view Prompt);

} // namespace hyssoprail

#endif // HYSSOPRAIL_REQUEST_REFERENCE_ANSWER_HPP
