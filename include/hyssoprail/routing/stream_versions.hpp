#ifndef HYSSOPRAIL_ROUTING_STREAM_VERSIONS_HPP
#define HYSSOPRAIL_ROUTING_STREAM_VERSIONS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/endpoint_table.hpp"

namespace hyssoprail::routing {

/// A write of records to the store. What one entry wrote later replaces what it
/// wrote earlier, in whatever order the two are read.
struct RecordPosition {
  std::string Writer; ///< process of the entry that wrote it
  std::uint64_t Number = 0;
};

/// What an entry knows of the software versions at which resumable streams
/// began. The events of two versions do not fit together, so a stream that its
/// caller resumes, at whatever entry, has to go on at the version that began
/// it.
///
/// Each service has a base version: a stream of which nothing is recorded began
/// there. Streams at other versions are recorded before their callers get an
/// event, so a service with one version needs no records.
/// Load pattern: a service is moved to a new version endpoint by endpoint while
/// all entries are lost at once.
class StreamVersions {
public:
  explicit StreamVersions(EndpointTable &Table) : Table(Table) {}

  /// Versions of the registered endpoints of \p Service.
  std::set<std::string> versionsOf(std::string_view Service) const;

  /// The version of the endpoint of \p Service that started first; nullopt if
  /// none is registered.
  std::optional<std::string> oldestVersion(std::string_view Service) const;

  void setBase(const std::string &Service, std::string Version);
  std::optional<std::string> base(std::string_view Service) const;

  /// True if a stream may begin at \p Version only once that is recorded.
  bool needsRecord(std::string_view Service, std::string_view Version) const;

  /// Sets whether the last attempt to record versions succeeded.
  void setWritable(bool Now) { Writable = Now; }
  bool writable() const { return Writable; }

  /// The version at which new streams have to begin, as no other version can be
  /// recorded at present; nullopt: any.
  std::optional<std::string> onlyVersion(std::string_view Service) const;

  /// Notes a record that this entry has written; its stream began there.
  void noteOwn(const std::string &Id, const std::string &Version,
               TimePoint Now);

  /// Notes a record that another entry may have written. Of two records of a
  /// stream by one writer the one with the larger number counts.
  void noteStored(const std::string &Id, const std::string &Version,
                  const RecordPosition &Position, TimePoint Now);

  /// The recorded version of the stream that the request \p Id began.
  std::optional<std::string> ownRecord(const std::string &Id) const;
  std::optional<std::string> record(const std::string &Id) const;

  /// The records of this entry, by the id of the request.
  std::map<std::string, std::string> ownRecords() const;

  /// Forgets records made before \p Time.
  void forgetBefore(TimePoint Time);

private:
  struct Record {
    std::string Version;
    TimePoint NotedAt{};
    RecordPosition Position; ///< of a stored record
  };
  using Records = std::map<std::string, Record, std::less<>>;

  static std::optional<std::string> find(const Records &In,
                                         const std::string &Id);

  EndpointTable &Table;
  std::map<std::string, std::string, std::less<>> Bases; ///< by service
  Records Own;
  Records Stored;
  bool Writable = true;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_STREAM_VERSIONS_HPP
