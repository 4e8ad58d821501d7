#ifndef HYSSOPRAIL_ROUTING_REQUEST_INFO_HPP
#define HYSSOPRAIL_ROUTING_REQUEST_INFO_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// Token counts that a caller states for a generation.
struct TokenCounts {
  std::uint32_t Prompt = 0;
  std::uint32_t MaxOutput = 0;
};

/// Properties of a caller's request that decide its routing.
struct RequestInfo {
  std::string Id; ///< identifies this attempt of the caller
  std::string Host;
  std::string Path;         ///< without the query
  std::string ApiKey;       ///< empty: none sent
  milliseconds Deadline{0}; ///< time the caller waits; 0: not stated
  std::optional<TokenCounts> Tokens;
  /// Ids of the parts of a generation's prompt, in order. Requests share parts;
  /// the last one belongs to the request or its session alone.
  std::vector<std::string> PromptParts;
  /// requestFingerprint() of a call, or of a stream without prompt parts; empty
  /// otherwise.
  std::string Fingerprint;
  std::uint32_t OutputHint = 0;  ///< the caller's estimate; 0: none
  std::uint64_t LastEventId = 0; ///< of a stream that the caller resumes
  bool Resumes = false;          ///< the caller sent LastEventId
  /// Id of the attempt that brought the first event of a stream that the caller
  /// resumes; empty: not stated.
  std::string FirstAttempt;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_REQUEST_INFO_HPP
