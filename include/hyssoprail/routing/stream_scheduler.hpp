#ifndef HYSSOPRAIL_ROUTING_STREAM_SCHEDULER_HPP
#define HYSSOPRAIL_ROUTING_STREAM_SCHEDULER_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/routing/stage_planner.hpp"
#include "hyssoprail/routing/stream_admission.hpp"

namespace hyssoprail::routing {

struct StreamSchedulerOptions {
  bool UsePrefillEngines = true;
  /// Part of an engine's memory that is reserved; the rest covers answers that
  /// are longer than expected.
  double MemoryShare = 1.03;
  /// Prompt tokens that may wait at one prefill engine.
  std::int64_t PrefillBacklog = 9'000;
};

/// A generation that holds engines, as its entry reports it.
struct StreamHold {
  std::string Id;
  std::string Service;
  std::string Account;
  std::string Decode;
  std::string Prefill;      ///< empty: its prompt was read
  std::uint32_t Tokens = 0; ///< memory at the decode engine
  std::uint32_t PromptTokens = 0;
};

/// Queue, admission and placement of generations, without I/O. A generation is
/// placed only when a decode engine has room for its whole expected size, so no
/// prompt is read in vain. Load pattern: bursts of twice the usual load, when
/// decode memory runs out for some seconds.
class StreamScheduler : public StreamAdmission {
public:
  StreamScheduler(StreamSchedulerOptions Options, EndpointTable &Table)
      : Options(Options), Table(Table) {}

  void configure(FleetConfigPtr Next) { Config = std::move(Next); }

  /// Part of the fleet's work that this scheduler knows, 0 to 1. Placements are
  /// spread by chance over engines of which less is known, so that schedulers
  /// which do not hear each other do not all choose the same one.
  void setKnownShare(double Share) { KnownShare = Share; }

  // StreamAdmission
  void submit(StreamRequest Need) override;
  void cancel(std::string_view Id) override;
  void release(std::string_view Id, TimePoint Now) override;
  void outputGrew(std::string_view Id, std::uint64_t Tokens) override;
  void prefillEnded(std::string_view Id, TimePoint Now) override;
  bool hasRoom(std::string_view Service, std::int64_t Tokens,
               std::string_view Except, TimePoint Now) override;

  /// Takes over a placement that another scheduler made.
  void adopt(const StreamHold &Hold, TimePoint Now);

  /// Sets the memory that a placement holds.
  void resize(std::string_view Id, std::uint32_t Tokens);

  /// Forgets all that waits or holds engines.
  void clear(TimePoint Now);

  /// Returns the placements and refusals that are due. A placement reserves
  /// the memory until release().
  std::vector<StreamDecision> poll(TimePoint Now);

  bool waits(std::string_view Id) const { return Waiting.contains(Id); }
  bool holds(std::string_view Id) const { return Running.contains(Id); }
  std::size_t queued() const { return Waiting.size(); }

  /// Memory for which requests wait, in tokens.
  std::int64_t waitingTokens() const;

  /// The emptiest decode engine of \p Service but for \p Except, and the
  /// memory that it has left, in tokens.
  struct Room {
    std::string Endpoint; ///< empty: none
    std::int64_t Free = 0;
  };
  Room emptiestDecodeEngine(std::string_view Service, std::string_view Except,
                TimePoint Now);

  /// Measures how busy engines are. To be called some times a second.
  void sampleUtilization(TimePoint Now);

  /// How busy the engines of \p Service are.
  const EngineUtilization &utilization(std::string_view Service) const;

  /// Next time at which poll() may have a decision without another event.
  TimePoint nextDeadline() const;

private:
  struct Queued {
    StreamRequest Need;
    std::uint64_t Serial = 0; ///< in the order of submission
  };

  struct Placed {
    StreamHold Hold;
    TimePoint Since{};
    std::int64_t Backlog = 0; ///< at its prefill engine, its own included
  };

  /// Engines of a service that may receive work, as of one moment.
  struct Pool {
    std::vector<Endpoint *> Decode;
    std::vector<Endpoint *> Prefill;
    std::int64_t Bound = 0;       ///< memory of one engine that may be used
    std::int64_t LargestFree = 0; ///< at one decode engine
    std::int64_t Free = 0;        ///< at all decode engines
  };

  enum class Verdict { Placed, Refused, Waits };

  Pool makePool(std::string_view Service, TimePoint Now);
  static void measure(Pool &P);
  std::vector<const StreamRequest *> serviceOrder(TimePoint Now) const;
  Verdict consider(const StreamRequest &Need, Pool &Engines,
                   std::int64_t TokensAhead, TimePoint Now,
                   std::vector<StreamDecision> &Out);
  StreamPlacement place(const StreamRequest &Need, Pool &Engines, Endpoint &Decode,
                    TimePoint Now);
  StreamRefusal refusal(const StreamRequest &Need, StreamRefusalReason Reason,
                        Duration ExpectedWait, TimePoint Now) const;
  Endpoint *chooseDecode(const StreamRequest &Need, const Pool &Engines,
                         TimePoint Now) const;
  Endpoint *choosePrefill(const StreamRequest &Need, const Pool &Engines,
                          std::string_view Zone, TimePoint Now) const;
  double spread(const StreamRequest &Need, const Endpoint &E) const;
  Duration expectedWait(const StreamRequest &Need, const Pool &Engines,
                        std::int64_t TokensAhead, TimePoint Now) const;
  double accountLoad(const std::string &Account) const;
  std::int64_t memoryBound(std::string_view Service) const;
  void hold(StreamHold Hold, std::int64_t Backlog, TimePoint Now);
  void freePrefill(Placed &P);

  StreamSchedulerOptions Options;
  EndpointTable &Table;
  FleetConfigPtr Config;
  double KnownShare = 1;
  std::map<std::string, Queued, std::less<>> Waiting;
  std::uint64_t LastSerial = 0;
  std::map<std::string, Placed, std::less<>> Running;
  std::map<std::string, std::int64_t, std::less<>> AccountTokens;
  std::map<std::string, EngineUtilization, std::less<>> Utilization; ///< by service
  double MeanRunSeconds = 3; ///< smoothed time that a placement lasts
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STREAM_SCHEDULER_HPP
