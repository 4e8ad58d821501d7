#ifndef HYSSOPRAIL_ROUTING_FLOW_IO_HPP
#define HYSSOPRAIL_ROUTING_FLOW_IO_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hyssoprail/connection/http_message.hpp"
#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/process/log_field.hpp"

namespace hyssoprail::routing {

/// What one send to an endpoint asks for.
enum class LegKind {
  Call,    ///< a plain call, the whole answer
  Prefill, ///< reads the prompt and keeps its KV cache
  Decode,  ///< generates a stream
};

std::string_view legKindName(LegKind Kind);

/// Where the KV cache of a prompt can be fetched.
struct KvSource {
  std::string Address; ///< "IP:PORT" of the engine that keeps it
  std::string Handle;
};

/// One send of a request to an endpoint.
struct LegRequest {
  LegKind Kind = LegKind::Call;
  std::string EndpointId;
  std::string Address;
  milliseconds Deadline{0}; ///< the endpoint stops work after this
  std::optional<KvSource> Source;
  std::optional<std::uint64_t> ResumeAfter; ///< last event that was delivered
  bool IsRetry = false; ///< not the first send of the request
};

/// How a send ended, as far as the entry can know.
enum class LegOutcome {
  NotSent,  ///< nothing reached the endpoint
  NotRun,   ///< the endpoint stated that it did not and will not run it
  Answered, ///< a whole answer with the endpoint's signature
  Broken,   ///< cut, spoiled or unsigned: it may have run
  TimedOut, ///< no answer in time: it may have run
};

std::string_view legOutcomeName(LegOutcome Outcome);

/// Result of a send, or of the start of a stream that did not begin.
struct LegResult {
  LegOutcome Outcome = LegOutcome::Broken;
  bool WrongEndpoint = false; ///< NotRun since another endpoint has the address
  HttpResponse Response;      ///< of Answered, ready for the caller
  std::string Handle;         ///< of Prefill
  std::string Detail;         ///< reason, for the log
};

/// Why an entry gives its own final answer.
enum class RejectReason {
  NoRoute,
  NoKey,
  NoConfiguration,
  Draining, ///< this entry stops; another one can serve it
  OverQuota,
  NoCapacity,     ///< not run; the caller may come back
  NotRun,         ///< every endpoint refused it; the caller may come back
  OutcomeUnknown, ///< it may have run, its answer was lost
  TimedOut,       ///< it may have run, the time is over
  NotRunInTime,   ///< it has not run and the time is over
};

std::string_view rejectReasonName(RejectReason Reason);

/// Input and output of a flow. The functions must not call back into the flow.
class FlowIo {
public:
  using LegId = std::uint32_t;

  virtual ~FlowIo() = default;

  /// Sends the request to an endpoint.
  virtual LegId startLeg(const LegRequest &Leg) = 0;

  /// Closes a leg's connection; nothing is reported afterwards.
  virtual void cancelLeg(LegId Leg) = 0;

  /// Frees a KV cache that nobody will fetch.
  virtual void dropHandle(const KvSource &Source) = 0;

  /// Passes an endpoint's whole answer to the caller.
  virtual void respond(const HttpResponse &Response) = 0;

  /// Answers in the entry's own name. \p RetryAfter of 0: none is sent.
  virtual void reject(RejectReason Reason, milliseconds RetryAfter) = 0;

  /// Begins the answer of a stream with the endpoint's head.
  virtual void beginStream(const HttpResponse &Head) = 0;
  virtual void forward(std::string_view Events) = 0;
  virtual void finishStream() = 0;

  /// Breaks the caller's connection, so the answer is seen to be incomplete.
  virtual void abort() = 0;

  /// True while the caller's key and route still allow the request.
  virtual bool stillAllowed() = 0;

  /// Writes a line about a decision.
  virtual void logDecision(std::string_view What, LogFields Fields) = 0;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_FLOW_IO_HPP
