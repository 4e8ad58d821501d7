#ifndef HYSSOPRAIL_ROUTING_STREAM_ADMISSION_HPP
#define HYSSOPRAIL_ROUTING_STREAM_ADMISSION_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/endpoint_load.hpp"

namespace hyssoprail::routing {

/// A generation that needs engines.
struct StreamRequest {
  std::string Id;
  std::string Service;
  std::string Account;
  std::string Zone; ///< of the entry that asks
  int Priority = 0;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0; ///< expected
  TimePoint Arrival{};
  TimePoint ObjectiveDeadline{};  ///< the first event is late after this
  TimePoint GiveUpAt{};     ///< the caller leaves without a first event
  milliseconds CallerBudget{0}; ///< the caller's whole patience, at arrival
  bool BeyondQuota = false; ///< runs only if nobody within a quota waits
  bool IsRetry = false;   ///< came back after an earlier rejection
  bool HasKvCache = false;    ///< its prompt was read: needs no prefill engine
  std::vector<std::string> ExcludedEndpoints; ///< endpoints that failed the request
};

/// Memory that a generation takes at a decode engine, in tokens.
std::uint32_t requiredKvTokens(const StreamRequest &Need);

/// Memory that a generation is given which has made \p OutputTokens and turns
/// out longer than expected.
std::uint32_t extendedKvTokens(std::uint32_t PromptTokens,
                             std::uint64_t OutputTokens);

/// Engines for a generation.
struct StreamPlacement {
  std::string Id;
  std::string Decode;
  std::string Prefill; ///< empty: none is needed, or none can be had
  Duration QueueTime{};
  EndpointLoad DecodeLoad;         ///< of the decode engine before it
  std::int64_t RequiredTokens = 0;     ///< memory it takes there
  std::int64_t PrefillBacklog = 0; ///< prompt tokens to be read at the prefill
                                   ///< engine, its own included
};

/// Why a generation was turned away.
enum class StreamRefusalReason {
  TooLarge,     ///< needs more memory than an engine has
  QueueTooLong, ///< those before it use up its time
  WaitedTooLong,
};

std::string_view streamRefusalName(StreamRefusalReason Reason);

/// The reason of a number that another process sent; any other number is taken
/// as a queue that is too long.
StreamRefusalReason streamRefusalFromNumber(std::uint32_t Number);

struct StreamRefusal {
  std::string Id;
  StreamRefusalReason Reason = StreamRefusalReason::QueueTooLong;
  milliseconds RetryAfter{0};
  Duration ExpectedWait{};
};

using StreamDecision = std::variant<StreamPlacement, StreamRefusal>;

/// Gives engines to generations. Decisions come back later, as placements and
/// refusals. Ids are unique among those that wait or hold engines.
class StreamAdmission {
public:
  virtual ~StreamAdmission() = default;

  virtual void submit(StreamRequest Need) = 0;

  /// Forgets a request that waits.
  virtual void cancel(std::string_view Id) = 0;

  /// Frees what a placement holds.
  virtual void release(std::string_view Id, TimePoint Now) = 0;

  /// The generation has made \p Tokens; extends its reservation when it turns
  /// out longer than expected.
  virtual void outputGrew(std::string_view Id, std::uint64_t Tokens) = 0;

  /// Frees the prefill engine of a placement.
  virtual void prefillEnded(std::string_view Id, TimePoint Now) = 0;

  /// True if an engine of \p Service other than \p Except is believed to have
  /// room for \p Tokens.
  virtual bool hasRoom(std::string_view Service, std::int64_t Tokens,
                       std::string_view Except, TimePoint Now) = 0;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STREAM_ADMISSION_HPP
