#ifndef HYSSOPRAIL_GATEWAY_STREAM_VERSION_EXCHANGE_HPP
#define HYSSOPRAIL_GATEWAY_STREAM_VERSION_EXCHANGE_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/gateway/fleet_feed.hpp"
#include "hyssoprail/process/decision_log.hpp"
#include "hyssoprail/routing/fleet_config.hpp"
#include "hyssoprail/routing/stream_versions.hpp"

namespace hyssoprail::gateway {

/// Keeps the versions at which streams began in the store, so that a caller can
/// resume a stream at any entry, also when no process is left that knew it.
/// The coordinator sees to the state of each service. Used on the event loop
/// thread only.
class StreamVersionExchange {
public:
  using RecordHandler = std::function<void(bool Written)>;
  using FindHandler = std::function<void(const std::optional<std::string> &)>;

  StreamVersionExchange(routing::EndpointTable &Table, FleetFeed &Feed,
                        const Clock &Time, DecisionLog &Log)
      : Feed(Feed), Time(Time), Log(Log),
        Versions(Table, [&Feed] { return Feed.stepAge(); }) {}

  const routing::StreamVersions &versions() const { return Versions; }

  void configure(const routing::FleetConfig &Config);

  /// How long a stream can be resumed after its begin.
  Duration lifetime() const { return Lifetime; }

  /// Records that the stream of the request \p Id is to begin at \p Version.
  /// Records that arrive while one is being written are written together. One
  /// that is only wanted is tried again later if it was not written.
  void record(const std::string &Id, const std::string &Version,
              RecordHandler OnDone,
              routing::RecordNeed Need = routing::RecordNeed::Required);

  /// The caller of the request \p Id gets the first event of its stream.
  void began(const std::string &Id, const std::string &Service,
             const std::string &Version);

  /// Finds the version at which the stream of the request \p Id began. Reads
  /// the store unless this entry began it.
  void find(const std::string &Id, const std::string &Service,
            FindHandler OnDone);

  /// Repeats what the store has not accepted, and reads and sets the states of
  /// services. To be called regularly; \p EndpointsComplete: the registered
  /// endpoints are known.
  void tick(bool IsCoordinator, bool EndpointsComplete, TimePoint Now);

  void onStreamVersions(const StreamVersionRecord &Record);
  void onVersionState(const VersionStateRecord &Record);

  /// An endpoint of \p Version has registered.
  void noteVersion(const std::string &Service, const std::string &Version) {
    Versions.noteVersion(Service, Version, Time.now());
  }

  /// The store has come back from a copy, which may lack the latest records.
  void storeRestored();

private:
  struct Query {
    std::string Id;
    std::string Service;
    FindHandler OnDone;
  };

  /// A stream that waits for its record.
  struct Waiter {
    std::string Version;
    RecordHandler OnDone;
  };

  /// A lifetime of records that holds from a later time on.
  struct ShorterLifetime {
    Duration Length{};
    TimePoint From{};
  };

  /// A version, and what shows that a stream began there.
  struct Certain {
    std::string Version;
    std::string_view Source;
  };

  void setLifetime(Duration Next);
  void write(bool WithOwn);
  StreamVersionMap takePending(bool WithOwn);
  void onWritten(WriteOutcome Outcome);
  void settle(const StreamVersionMap &Sent);
  void keepUnsettled(const StreamVersionMap &Sent, WriteOutcome Outcome);
  void failWaiting(const StreamVersionMap &Records);
  void answerWaiting(const std::string &Id, bool Written);
  void logRecord(const std::string &Id, const std::string &Version,
                 std::string_view Outcome);
  void read();
  void readAnew();
  void onRead(bool Ok);
  void answer(const Query &Q, bool Ok);
  void logFound(const Query &Q, const std::optional<std::string> &Version,
                std::string_view Source);
  std::optional<Certain> certainWithoutRead(const Query &Q);
  void beginTerm();
  void observe(TimePoint Now);
  bool readIsDue(TimePoint Now) const;
  void updateStates(TimePoint Now);
  std::optional<routing::VersionState> nextState(const std::string &Service,
                                                 TimePoint Now) const;
  void writeState(const std::string &Service,
                  const routing::VersionState &State);
  void onStateWritten(const VersionStateRecord &Record, WriteOutcome Outcome);

  FleetFeed &Feed;
  const Clock &Time;
  DecisionLog &Log;
  routing::StreamVersions Versions;
  std::vector<std::string> Services; ///< with resumable routes
  Duration Lifetime{};               ///< of records
  /// A configuration has shorter timeouts: streams that began before it can be
  /// resumed until the longer lifetime has passed.
  std::optional<ShorterLifetime> Shorter;

  StreamVersionMap Pending; ///< not written yet
  StreamVersionMap Writing; ///< in the call in flight
  /// Requests of which a record was sent whose fate is not known.
  std::set<std::string> Unsettled;
  bool WriteInFlight = false;
  bool WriteIsOld = false; ///< it began in an earlier era of the store
  TimePoint RetryWriteAt = TimePoint::max();
  TimePoint NextOwnWriteAt{};
  TimePoint WritableAgainAt = TimePoint::max(); ///< the next one may succeed
  std::map<std::string, Waiter> Waiting;        ///< by request

  std::vector<Query> Queries;  ///< for the next read
  std::vector<Query> InFlight; ///< the read in flight answers them
  bool ReadInFlight = false;
  bool ReadOnce = false;   ///< since the store or the coordinator changed
  bool IgnoreRead = false; ///< the read in flight began too early to count
  TimePoint ReadBeganAt{};
  TimePoint NextReadAt{};
  /// When the last read in this era of the store began that succeeded.
  std::optional<TimePoint> LastReadAt;

  bool Coordinates = false;
  bool StatesFresh = false; ///< read since the last write of one
  bool StateInFlight = false;
  TimePoint NextStateAt{};
  /// Services whose state may still be changed by a late write, of this process
  /// or of an earlier coordinator.
  std::set<std::string> UnsettledStates;
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_STREAM_VERSION_EXCHANGE_HPP
