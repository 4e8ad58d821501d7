#ifndef HYSSOPRAIL_REQUEST_COMPLETION_FORMATTER_HPP
#define HYSSOPRAIL_REQUEST_COMPLETION_FORMATTER_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/request/completion_request.hpp"

namespace hyssoprail {

/// Writes the answer of one completion, as server-sent events or whole.
/// Tokens are joined by single spaces.
class CompletionFormatter {
public:
  CompletionFormatter(CompletionShape Shape, std::string RequestId,
                      std::string Model, std::int64_t CreatedUnixSeconds);

  /// One event for each token; \p FirstIndex is the index of the first one.
  std::string events(std::uint32_t FirstIndex,
                     const std::vector<std::string> &Tokens) const;

  /// The event with the reason and usage, and the end mark.
  std::string lastEvents(std::string_view FinishReason,
                         std::uint32_t PromptTokens,
                         std::uint32_t OutputTokens) const;

  /// Body of a whole answer.
  std::string fullBody(const std::vector<std::string> &Tokens,
                       std::string_view FinishReason,
                       std::uint32_t PromptTokens) const;

private:
  CompletionShape Shape;
  std::string RequestId;
  std::string Model;
  std::int64_t Created;
  std::string EventStart; ///< constant text before the token of an event
  std::string EventEnd;   ///< constant text after it
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_REQUEST_COMPLETION_FORMATTER_HPP
