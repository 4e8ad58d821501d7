#ifndef HYSSOPRAIL_ROUTING_STREAM_VERSIONS_HPP
#define HYSSOPRAIL_ROUTING_STREAM_VERSIONS_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/routing/version_watch.hpp"

namespace hyssoprail::routing {

/// A write of records to the store. What one entry wrote later replaces what it
/// wrote earlier, in whatever order the two are read.
struct RecordPosition {
  std::string Writer; ///< process of the entry that wrote it
  std::uint64_t Number = 0;
};

/// What a missing record means for a service.
struct VersionState {
  /// A stream of which nothing is recorded began there; nullopt: it may have
  /// begun at any version.
  std::optional<std::string> Base;

  bool operator==(const VersionState &) const = default;
};

/// Whether a stream needs a record of its version before it begins.
enum class RecordNeed {
  None,
  Wanted,   ///< it begins once that was tried
  Required, ///< it does not begin without
};

/// What an entry knows of the software versions at which resumable streams
/// began. The events of two versions do not fit together, so a stream that its
/// caller resumes, at whatever entry, has to go on at the version that began
/// it. A service without a known state may have streams at any version.
/// Load pattern: a service is moved to a new version endpoint by endpoint while
/// all entries are lost at once.
class StreamVersions {
public:
  /// Tells how far this entry may be behind the others.
  using LagSource = std::function<Duration()>;

  explicit StreamVersions(EndpointTable &Table, LagSource Lag = nullptr)
      : Table(Table), Lag(std::move(Lag)) {}

  /// Versions of the registered endpoints of \p Service.
  std::set<std::string> versionsOf(std::string_view Service) const;

  /// Sets how long streams can be resumed after their begin.
  void setLifetime(Duration To) { Lifetime = To; }

  /// Sets the state of \p Service; nullopt: it is not known.
  void setState(const std::string &Service, std::optional<VersionState> State);

  /// The state of \p Service; null if it is not known.
  const VersionState *state(std::string_view Service) const;

  /// The base version, if the state is known and has one.
  std::optional<std::string> base(std::string_view Service) const;

  /// What a stream needs that is to begin at \p Version.
  RecordNeed need(std::string_view Service, std::string_view Version) const;

  /// True if the entry records the streams of \p Service at present.
  bool recordsAll(std::string_view Service) const;

  /// Notes the registered versions of \p Service. To be called regularly.
  void observe(const std::string &Service, TimePoint Now);

  /// An endpoint of \p Version has registered.
  void noteVersion(const std::string &Service, const std::string &Version,
                   TimePoint Now);

  /// The only version of \p Service that this entry has seen since \p Time,
  /// without ever being behind the others.
  std::optional<std::string> onlyVersionSince(std::string_view Service,
                                              TimePoint Time) const;

  /// Sets whether the last attempt to record versions succeeded.
  void setWritable(bool Now) { Writable = Now; }
  bool writable() const { return Writable; }

  /// The version at which new streams have to begin, as no other version can be
  /// recorded at present; nullopt: any.
  std::optional<std::string> onlyVersion(std::string_view Service) const;

  /// Notes that a stream of this entry is to begin at \p Version. \p Service
  /// may be empty if it is not known.
  void noteOwn(const std::string &Id, const std::string &Service,
               const std::string &Version, TimePoint Now);

  /// Notes a record that this entry has written in the present era.
  void noteWritten(const std::string &Id, const std::string &Version,
                   TimePoint Now);

  /// The store has come back from a copy: it may lack each record, and the
  /// states that it has are not known to hold.
  void forgetStore();

  /// Notes a record that another entry may have written. Of two records of a
  /// stream by one writer the one with the larger number counts.
  void noteStored(const std::string &Id, const std::string &Version,
                  const RecordPosition &Position, TimePoint Now);

  /// The version at which this entry began the stream of the request \p Id.
  std::optional<std::string> ownRecord(const std::string &Id) const;

  /// The same, or the version that a record names.
  std::optional<std::string> record(const std::string &Id) const;

  /// At most \p Max streams of this entry that need a record and have none in
  /// the present era of the store, by the id of the request.
  std::map<std::string, std::string> ownWithoutRecord(std::size_t Max) const;

  /// Forgets records made before \p Time.
  void forgetBefore(TimePoint Time);

private:
  /// A stream that began at this entry.
  struct OwnStream {
    std::string Service;
    std::string Version;
    TimePoint NotedAt{};
    bool Recorded = false; ///< in the present era of the store
  };
  struct StoredRecord {
    std::string Version;
    TimePoint NotedAt{};
    RecordPosition Position;
  };

  bool seesSeveral(std::string_view Service) const;
  void forgetOldestOwn();

  EndpointTable &Table;
  LagSource Lag;
  Duration Lifetime{};
  std::map<std::string, VersionState, std::less<>> States; ///< by service
  std::map<std::string, VersionWatch, std::less<>> Watches;
  TimePoint ObservedAt{};
  std::map<std::string, OwnStream, std::less<>> Own;
  /// The ids of Own in the order of their noting.
  std::set<std::pair<TimePoint, std::string>> OwnByTime;
  std::map<std::string, StoredRecord, std::less<>> Stored;
  bool Writable = true;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STREAM_VERSIONS_HPP
