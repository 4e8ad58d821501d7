#ifndef HYSSOPRAIL_ROUTING_STREAM_SCHEDULER_HPP
#define HYSSOPRAIL_ROUTING_STREAM_SCHEDULER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/routing/waiting_request.hpp"

namespace hyssoprail::routing {

/// A generation that needs engines.
struct StreamNeed {
  std::string Id;
  std::string Service;
  std::string Account;
  int Priority = 0;
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 0; ///< expected
  TimePoint Arrival{};
  TimePoint OnTimeUntil{};  ///< the first event is late after this
  TimePoint GiveUpAt{};     ///< the caller leaves without a first event
  milliseconds TimeLeft{0}; ///< the caller's whole patience, at arrival
  bool BeyondQuota = false; ///< runs only if nobody within a quota waits
  bool Returning = false;   ///< came back after an earlier rejection
  std::string Avoid;        ///< endpoint that just failed the request
};

/// Engines for a generation.
struct StreamPlace {
  std::string Id;
  std::string Decode;
  std::string Prefill; ///< empty: the decode engine reads the prompt
  Duration Waited{};
  std::size_t QueueLength = 0; ///< that still waits in this entry
  EndpointLoad DecodeLoad;     ///< known load of the decode engine before it
  std::int64_t NeedTokens = 0; ///< memory it takes there
};

/// Why a generation was turned away.
enum class StreamRefusalReason {
  NoEngine,     ///< no engine of the service is usable
  TooLarge,     ///< needs more memory than an engine has
  QueueTooLong, ///< those before it use up its time
  WaitedTooLong,
};

std::string_view streamRefusalName(StreamRefusalReason Reason);

struct StreamRefusal {
  std::string Id;
  StreamRefusalReason Reason = StreamRefusalReason::NoEngine;
  milliseconds RetryAfter{0};
  Duration ExpectedWait{};
  std::size_t QueueLength = 0;
};

using StreamDecision = std::variant<StreamPlace, StreamRefusal>;

struct StreamSchedulerOptions {
  std::string Zone; ///< of this entry
  std::string Name; ///< of this entry; request ids are unique only within it
  bool UsePrefillEngines = true;
  /// Part of an engine's memory that is reserved; the rest covers answers that
  /// are longer than expected.
  double MemoryShare = 1.03;
  /// Prompt tokens that may wait at one prefill engine.
  std::int64_t PrefillBacklog = 9'000;
};

/// Queue, admission and placement of the generations of one entry, without
/// I/O. A generation is placed only when a decode engine has room for its whole
/// expected size, so no prompt is read in vain. Load pattern: bursts of twice
/// the usual load, when decode memory runs out for some seconds. All entries
/// learn of freed memory at once, so each leaves it to those requests of the
/// other entries that are served before its own.
class StreamScheduler {
public:
  StreamScheduler(StreamSchedulerOptions Options, EndpointTable &Table)
      : Options(std::move(Options)), Table(Table) {}

  void configure(FleetConfigPtr Next) { Config = std::move(Next); }

  /// Memory for which requests of the other entries wait, in tokens, and the
  /// first of these requests.
  void setPeersWaiting(std::int64_t Tokens,
                       std::vector<WaitingRequest> Requests);

  void submit(StreamNeed Need);

  /// Forgets a request that waits.
  void cancel(std::string_view Id);

  /// Returns the placements and refusals that are due. A placement reserves
  /// the memory until release().
  std::vector<StreamDecision> poll(TimePoint Now);

  /// Frees what a placement reserved at the decode engine.
  void release(std::string_view Id, TimePoint Now);

  /// The generation has made \p Tokens; extends its reservation when it
  /// turns out longer than expected.
  void outputGrew(std::string_view Id, std::uint64_t Tokens);

  /// Frees the prefill engine of a placement.
  void prefillEnded(std::string_view Id);

  /// Gives a placement another prefill engine, or one if it has none any more;
  /// empty if none can take it.
  std::string replacePrefill(std::string_view Id, TimePoint Now);

  /// Prompt tokens that are to be read at the prefill engine of a placement,
  /// its own included.
  std::int64_t prefillBacklog(std::string_view Id) const;

  /// True if replaceDecode() would find an engine.
  bool canReplaceDecode(std::string_view Id, TimePoint Now);

  /// Moves the decode part of a placement to another engine; empty if none
  /// has room.
  std::string replaceDecode(std::string_view Id, TimePoint Now);

  std::size_t queued() const { return Waiting.size(); }

  /// Memory for which requests wait, in tokens.
  std::int64_t waitingTokens() const;

  /// The first \p Count requests that wait, in the order of service.
  std::vector<WaitingRequest> firstWaiting(std::size_t Count,
                                           TimePoint Now) const;

  /// Next time at which poll() may have a decision without another event.
  TimePoint nextDeadline() const;

private:
  struct Placed {
    StreamNeed Need;
    std::string Decode;
    std::string Prefill;
    TimePoint Since{};
  };

  enum class Verdict { Placed, Refused, Waits };

  std::vector<std::size_t> serviceOrder(TimePoint Now) const;
  void leaveToPeer(const WaitingRequest &Request, TimePoint Now);
  std::int64_t loadWithClaims(const Endpoint &E) const;
  Verdict consider(const StreamNeed &Need, std::int64_t TokensAhead,
                   TimePoint Now, std::vector<StreamDecision> &Out);
  StreamRefusal refusal(const StreamNeed &Need, StreamRefusalReason Reason,
                        Duration ExpectedWait, TimePoint Now) const;
  Endpoint *chooseReplacement(const Placed &P, TimePoint Now);
  Endpoint *chooseDecode(const StreamNeed &Need, std::int64_t Bound,
                         TimePoint Now);
  Endpoint *choosePrefill(const StreamNeed &Need, std::string_view Zone,
                          TimePoint Now);
  Duration expectedWait(const StreamNeed &Need, std::int64_t TokensAhead,
                        TimePoint Now);
  double accountLoad(const std::string &Account) const;
  std::int64_t memoryBound(std::string_view Service) const;

  StreamSchedulerOptions Options;
  EndpointTable &Table;
  FleetConfigPtr Config;
  std::vector<StreamNeed> Waiting;
  std::map<std::string, Placed, std::less<>> Running;
  std::int64_t PeersWaiting = 0;
  std::vector<WaitingRequest> PeerRequests; ///< in the order of service
  /// Memory that this poll leaves to the peers' requests, by endpoint.
  std::map<std::string, std::int64_t, std::less<>> PeerClaims;
  double MeanRunSeconds = 3; ///< smoothed time that a placement lasts
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STREAM_SCHEDULER_HPP
