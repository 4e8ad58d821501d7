#ifndef HYSSOPRAIL_REQUEST_COMPLETION_REQUEST_HPP
#define HYSSOPRAIL_REQUEST_COMPLETION_REQUEST_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "hyssoprail/core/result.hpp"

namespace hyssoprail {

/// Completion API of a request. It determines the format of the request body
/// and of the response.
enum class CompletionShape {
  Text, ///< /v1/completions
  Chat, ///< /v1/chat/completions
};

/// A validated completion request.
struct CompletionRequest {
  CompletionShape Shape = CompletionShape::Text;
  std::string Model;
  std::string Prompt; ///< chat messages are rendered into one string
  std::uint32_t PromptTokens = 0; ///< whitespace-separated words
  std::uint32_t MaxTokens = 0;
  bool Stream = false;
};

/// Limits that a completion request is validated against.
struct CompletionBounds {
  std::uint32_t MaxPromptTokens = 131'072;
  std::uint32_t MaxOutputTokens = 32'768;
  std::uint32_t DefaultOutputTokens = 256; ///< used if max_tokens is absent
  std::size_t MaxMessages = 4'096;
};

/// Parses and validates the JSON body of a completion request.
///
/// Errors: InvalidRequest with the path of the offending field, for example
/// "messages[2].content".
///
/// \code
///   auto Parsed = parseCompletion(CompletionShape::Text,
///                                 R"({"model":"m","prompt":"a b"})", {});
/// \endcode
Result<CompletionRequest> parseCompletion(CompletionShape Shape,
                                          std::string_view Body,
                                          const CompletionBounds &Bounds);

} // namespace hyssoprail

#endif // HYSSOPRAIL_REQUEST_COMPLETION_REQUEST_HPP
