#ifndef HYSSOPRAIL_ROUTING_STREAM_ADMISSION_HPP
#define HYSSOPRAIL_ROUTING_STREAM_ADMISSION_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/endpoint_load.hpp"
#include "hyssoprail/routing/engine_filter.hpp"

namespace hyssoprail::routing {

/// A request whose caller gives up sooner than this can no longer be served.
constexpr milliseconds MinServiceTime{400};

/// A request to admit a generation and to assign engines to it.
struct StreamRequest {
  std::string Id;
  std::string Service;
  std::string Account;
  std::string Zone; ///< of the requesting entry
  int Priority = 0; ///< of its account if that has one, else of its route
  int RoutePriority = 0;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0; ///< estimate
  TimePoint Arrival{};
  TimePoint ObjectiveDeadline{}; ///< latest time of the first event within the
                                 ///< latency objective
  /// The caller gives up if it has received no event by then.
  TimePoint GiveUpAt{};
  /// Time from arrival until the caller's final deadline.
  milliseconds CallerBudget{0};
  /// Served only after all requests that are within their quotas.
  bool BeyondQuota = false;
  bool IsRetry = false; ///< the caller repeats a request that was rejected
  bool Began = false;   ///< an engine has worked on it
  /// The prompt has been prefilled: no prefill engine is needed.
  bool HasKvCache = false;
  /// Version that the engines must have; empty: any proven one.
  std::string Version;
  /// These have failed the request or refuse all requests of the entry.
  std::vector<std::string> ExcludedEndpoints;
};

/// KV cache memory to reserve at a decode engine, in tokens.
std::uint32_t requiredKvTokens(const StreamRequest &Request);

/// Reservation for a generation that has produced \p OutputTokens and exceeds
/// its estimated length, in tokens.
std::uint32_t extendedKvTokens(std::uint32_t PromptTokens,
                               std::uint64_t OutputTokens);

/// The engines assigned to a generation.
struct StreamPlacement {
  std::string Id;
  std::string Decode;
  std::string Prefill; ///< empty: none is needed or none is available
  Duration QueueTime{};
  EndpointLoad DecodeLoad; ///< load of the decode engine before this placement
  std::int64_t RequiredTokens = 0; ///< memory reserved at the decode engine
  /// Prompt tokens queued at the prefill engine, including this prompt.
  std::int64_t PrefillBacklog = 0;
};

/// Why a generation was refused.
enum class StreamRefusalReason {
  TooLarge,     ///< needs more memory than any engine has
  QueueTooLong, ///< the expected wait exceeds the time the caller has left
  WaitedTooLong,
};

std::string_view streamRefusalName(StreamRefusalReason Reason);

/// Converts a reason received from another process; an unknown number is taken
/// as QueueTooLong.
StreamRefusalReason streamRefusalFromNumber(std::uint32_t Number);

/// What the overload policy weighed when it refused a request.
struct RefusalInputs {
  std::size_t Place = 0; ///< in the order of dispatch, from 1
  double Work = 0;       ///< tokens times expected seconds at an engine
  bool Promised = false; ///< room is promised at the time to retry
};

struct StreamRefusal {
  std::string Id;
  StreamRefusalReason Reason = StreamRefusalReason::QueueTooLong;
  milliseconds RetryAfter{0};
  Duration ExpectedWait{};
  std::optional<RefusalInputs> Inputs; ///< if the overload policy is in force
};

using StreamDecision = std::variant<StreamPlacement, StreamRefusal>;

/// Assigns engines to generations. Decisions are delivered later, as placements
/// and refusals. An id is unique among the requests that are queued or hold
/// engines.
class StreamAdmission {
public:
  virtual ~StreamAdmission() = default;

  virtual void submit(StreamRequest Request) = 0;

  /// Removes a queued request.
  virtual void cancel(std::string_view Id) = 0;

  /// Frees the engines that a placement holds.
  virtual void release(std::string_view Id, TimePoint Now) = 0;

  /// Reports that the generation has produced \p Tokens. Extends its
  /// reservation when it exceeds the estimate.
  virtual void outputGrew(std::string_view Id, std::uint64_t Tokens) = 0;

  /// Frees the prefill engine of a placement; its decode engine stays reserved.
  virtual void prefillEnded(std::string_view Id, TimePoint Now) = 0;

  /// True if, as far as is known, a decode engine of \p Service for which \p
  /// MayUse returns true has room for \p Tokens.
  virtual bool hasRoom(std::string_view Service, std::int64_t Tokens,
                       const EngineFilter &MayUse, TimePoint Now) = 0;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STREAM_ADMISSION_HPP
