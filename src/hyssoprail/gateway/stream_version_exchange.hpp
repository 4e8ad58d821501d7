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
/// The coordinator sees to the base version of each service. Used on the event
/// loop thread only.
class StreamVersionExchange {
public:
  using RecordHandler = std::function<void(bool Written)>;
  using FindHandler = std::function<void(const std::optional<std::string> &)>;

  StreamVersionExchange(routing::EndpointTable &Table, FleetFeed &Feed,
                        const Clock &Time, DecisionLog &Log)
      : Feed(Feed), Time(Time), Log(Log), Versions(Table) {}

  const routing::StreamVersions &versions() const { return Versions; }

  void configure(const routing::FleetConfig &Config);

  /// Records that the stream of the request \p Id is to begin at \p Version.
  /// Records that arrive while one is being written are written together.
  void record(const std::string &Id, const std::string &Version,
              RecordHandler OnDone);

  /// Finds the version at which the stream of the request \p Id began. Reads
  /// the store unless this entry has recorded it itself.
  void find(const std::string &Id, const std::string &Service,
            FindHandler OnDone);

  /// Repeats what the store has not accepted, and reads and sets the base
  /// versions. To be called regularly; \p EndpointsComplete: the registered
  /// endpoints are known.
  void tick(bool IsCoordinator, bool EndpointsComplete, TimePoint Now);

  void onStreamVersions(const StreamVersionRecord &Record);
  void onBaseVersion(const std::string &Service, const std::string &Version);

  /// The store has come back from a copy, which may lack the latest records.
  void storeRestored();

private:
  struct Query {
    std::string Id;
    std::string Service;
    FindHandler OnDone;
  };

  /// When the endpoints of a service last had its base version.
  struct BaseState {
    TimePoint LastSeen{};
    bool Stored = false; ///< the store has it in this era
    bool Writing = false;
  };

  void write();
  void onWritten(WriteOutcome Outcome);
  void pendOwnAgain();
  void failWaiting(StreamVersionMap &Records);
  bool answerWaiting(const std::string &Id, bool Written);
  void logRecord(const std::string &Id, const std::string &Version,
                 std::string_view Outcome);
  void read();
  void readAnew();
  void onRead(bool Ok);
  void answer(const Query &Q, bool Ok);
  void logFound(const Query &Q, const std::optional<std::string> &Version,
                std::string_view Source);
  std::optional<std::string> versionWithoutStore(const Query &Q) const;
  void updateBase(const std::string &Service, TimePoint Now);
  void writeBase(const std::string &Service, const std::string &Version);

  FleetFeed &Feed;
  const Clock &Time;
  DecisionLog &Log;
  routing::StreamVersions Versions;
  std::vector<std::string> Services; ///< with resumable routes
  Duration Lifetime{};               ///< of records

  StreamVersionMap Pending; ///< not written yet
  StreamVersionMap Writing; ///< in the call in flight
  bool WriteInFlight = false;
  bool WriteOwnAgain = false; ///< once the call in flight has ended
  TimePoint RetryWriteAt = TimePoint::max();
  TimePoint WritableAgainAt = TimePoint::max(); ///< the next one may succeed
  std::map<std::string, RecordHandler> Waiting; ///< by request

  std::vector<Query> Queries;  ///< for the next read
  std::vector<Query> InFlight; ///< the read in flight answers them
  bool ReadInFlight = false;
  bool ReadOnce = false;   ///< since the store or the coordinator changed
  bool IgnoreRead = false; ///< the read in flight began too early to count
  bool Coordinates = false;
  TimePoint NextReadAt{};
  std::map<std::string, BaseState> Bases; ///< by service
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_STREAM_VERSION_EXCHANGE_HPP
