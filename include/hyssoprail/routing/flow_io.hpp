#ifndef HYSSOPRAIL_ROUTING_FLOW_IO_HPP
#define HYSSOPRAIL_ROUTING_FLOW_IO_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hyssoprail/connection/http_message.hpp"
#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/log_field.hpp"
#include "hyssoprail/routing/stream_versions.hpp"

namespace hyssoprail::routing {

/// What a leg asks of its endpoint. A leg is one upstream request, sent to one
/// endpoint on behalf of a caller's request.
enum class LegKind {
  Call,    ///< run a plain call and return the whole answer
  Prefill, ///< process the prompt and store its KV cache
  Decode,  ///< generate a stream of events
};

std::string_view legKindName(LegKind Kind);

/// Where a decode engine can fetch the KV cache of a prompt.
struct KvSource {
  std::string Address; ///< "IP:PORT" of the engine that stores it
  std::string Handle;
};

/// Parameters of a leg.
struct LegRequest {
  LegKind Kind = LegKind::Call;
  std::string EndpointId;
  std::string Address;
  std::int64_t StartedAtMs = 0; ///< incarnation of the endpoint
  std::string Version;          ///< of the endpoint's software
  milliseconds Deadline{0};     ///< time after which the endpoint stops work
  std::optional<KvSource> Source;
  std::optional<std::uint64_t> ResumeAfter; ///< id of the last delivered event
  std::optional<int> Priority; ///< for the endpoint; 0 is the most urgent
  bool IsRetry = false;        ///< the request had an earlier leg of this kind
};

/// How a leg ended, as far as the entry can tell.
enum class LegOutcome {
  NotSent,  ///< nothing reached the endpoint
  NotRun,   ///< the endpoint stated that it did not run it and will not
  Answered, ///< a complete answer with the endpoint's signature
  Broken,   ///< truncated, malformed or unsigned answer: it may have run
  TimedOut, ///< no answer in time: it may have run
};

std::string_view legOutcomeName(LegOutcome Outcome);

/// Result of a leg that did not start a stream.
struct LegResult {
  LegOutcome Outcome = LegOutcome::Broken;
  /// NotRun, because another endpoint answers at the address.
  bool WrongEndpoint = false;
  /// The endpoint wants nothing from this entry for a time.
  bool PausesSender = false;
  /// Broken, after the head of the answer had arrived.
  bool AnswerBegan = false;
  /// Since when the connection was open on which the response came.
  std::optional<TimePoint> ConnectedAt;
  HttpResponse Response; ///< if Answered; can be passed to the caller
  std::string Handle;    ///< of the KV cache that a prefill stored
  std::string Detail;    ///< reason, for the log
};

/// Why an entry answers a request itself, instead of passing on an answer.
enum class RejectReason {
  NoRoute,
  NoKey,
  NoConfiguration,
  Overloaded, ///< this entry is short of processor time; another one may not be
  Draining, ///< this entry is shutting down; another one can serve the request
  OverQuota,
  Quarantined,    ///< endpoints crash under it or a part of its prompt
  NoCapacity,     ///< it has not run; the caller may retry
  NotRun,         ///< every endpoint refused it; the caller may retry
  OutcomeUnknown, ///< it may have run, but its answer was lost
  TimedOut,       ///< it may have run, but its deadline passed
  NotRunInTime,   ///< it had not run when its deadline passed
};

std::string_view rejectReasonName(RejectReason Reason);

/// I/O operations of a flow. The functions must not call back into the flow.
class FlowIo {
public:
  using LegId = std::uint32_t;

  virtual ~FlowIo() = default;

  /// Sends an upstream request; its result is reported to the flow later.
  virtual LegId startLeg(const LegRequest &Leg) = 0;

  /// Cancels a leg. Nothing is reported about it afterwards.
  virtual void cancelLeg(LegId Leg) = 0;

  /// Tells an engine to free a KV cache that will not be fetched. The engine
  /// must take work of this entry.
  virtual void dropHandle(const KvSource &Source) = 0;

  /// Since when the connection of the leg is open; nullopt if it is not.
  virtual std::optional<TimePoint> connectedAt(LegId Leg) const = 0;

  /// Passes an endpoint's complete answer to the caller.
  virtual void respond(const HttpResponse &Response) = 0;

  /// Answers the caller with a rejection. If \p RetryAfter is 0, the answer
  /// does not say when to retry.
  virtual void reject(RejectReason Reason, milliseconds RetryAfter) = 0;

  /// Begins a streamed answer with the status and headers of the endpoint.
  virtual void beginStream(const HttpResponse &Head) = 0;
  virtual void forward(std::string_view Events) = 0;
  virtual void finishStream() = 0;

  /// Closes the caller's connection before the end of the answer, so the caller
  /// sees that the answer is incomplete. \p Reason is for logs and metrics.
  virtual void abort(RejectReason Reason) = 0;

  /// Records that the stream is to begin at \p Version. The flow is told
  /// whether that succeeded. If it has not, a record that was only wanted is
  /// tried again until it has.
  virtual void recordVersion(const std::string &Version, RecordNeed Need) = 0;

  /// The caller gets the first event of the stream now, from an engine of \p
  /// Version.
  virtual void streamBegan(const std::string &Version) = 0;

  /// Looks up the version at which the resumed stream began. The flow is told
  /// what was found.
  virtual void findVersion() = 0;

  /// True while the caller's key and route still allow the request.
  virtual bool stillAllowed() = 0;

  /// Writes \p Event with its fields to the decision log.
  virtual void logDecision(std::string_view Event, LogFields Fields) = 0;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_FLOW_IO_HPP
