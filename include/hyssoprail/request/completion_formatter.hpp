#ifndef HYSSOPRAIL_REQUEST_COMPLETION_FORMATTER_HPP
#define HYSSOPRAIL_REQUEST_COMPLETION_FORMATTER_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/request/completion_request.hpp"

namespace hyssoprail {

/// Formats the answer of one completion, as server-sent events or as one JSON
/// body. Tokens are joined by single spaces.
class CompletionFormatter {
public:
  CompletionFormatter(CompletionShape Shape, std::string RequestId,
                      std::string Model, std::int64_t CreatedUnixSeconds);

  /// Returns one event for each token. \p FirstIndex is the index of the first
  /// token in the answer.
  std::string events(std::uint32_t FirstIndex,
                     const std::vector<std::string> &Tokens) const;

  /// Returns the event with finish reason and usage, followed by "[DONE]".
  std::string lastEvents(std::string_view FinishReason,
                         std::uint32_t PromptTokens,
                         std::uint32_t OutputTokens) const;

  /// Returns the JSON body of a complete, unstreamed answer.
  std::string fullBody(const std::vector<std::string> &Tokens,
                       std::string_view FinishReason,
                       std::uint32_t PromptTokens) const;

private:
  CompletionShape Shape;
  std::string RequestId;
  std::string Model;
  std::int64_t Created;
  std::string EventPrefix; ///< text of each event before the token
  std::string EventSuffix; ///< text of each event after the token
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_REQUEST_COMPLETION_FORMATTER_HPP
