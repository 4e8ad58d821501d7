#include "hyssoprail/gateway/stream_version_exchange.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hyssoprail::gateway {
namespace {

constexpr milliseconds WriteRetryDelay{150};

/// Time after a failed write in which streams begin at versions that need no
/// record.
constexpr milliseconds UnwritableTime{1'000};

constexpr milliseconds BaseReadInterval{1'000};

/// An entry that may be further behind the others does not know whether a
/// service has a single version.
constexpr milliseconds MaxStepAge{1'000};

/// A caller may take up a stream until its deadline, which is close to the
/// timeout of the route. Records are kept for this time longer.
constexpr milliseconds LifetimeMargin{10'000};

} // namespace

void StreamVersionExchange::configure(const routing::FleetConfig &Config) {
  std::set<std::string> Names;
  milliseconds Longest{0};
  for (const routing::RoutePolicy &R : Config.Routes) {
    if (R.Kind != routing::RouteKind::Stream || !R.Resumable)
      continue;
    Longest = std::max(Longest, R.Timeout);
    for (const routing::WeightedService &S : R.Services)
      Names.insert(S.Service);
  }
  Services.assign(Names.begin(), Names.end());
  Lifetime = Longest + LifetimeMargin;
}

// ---- Records ----------------------------------------------------------------

void StreamVersionExchange::record(const std::string &Id,
                                   const std::string &Version,
                                   RecordHandler OnDone) {
  if (!Versions.writable() || Waiting.contains(Id)) {
    logRecord(Id, Version, "not_tried");
    return OnDone(false);
  }
  Pending[Id] = Version;
  Waiting.emplace(Id, std::move(OnDone));
  write();
}

void StreamVersionExchange::write() {
  if (WriteInFlight || Pending.empty())
    return;
  WriteInFlight = true;
  RetryWriteAt = TimePoint::max();
  Writing = std::exchange(Pending, {});
  Feed.writeStreamVersions(
      Writing, Lifetime, [this](WriteOutcome Outcome) { onWritten(Outcome); });
}

/// A record whose fate is unknown is repeated until it is known: another
/// version must not be recorded before that, as the lost record could still
/// take effect after it. Those that arrived meanwhile were not sent, so their
/// streams need not wait for the store.
void StreamVersionExchange::onWritten(WriteOutcome Outcome) {
  WriteInFlight = false;
  const TimePoint Now = Time.now();
  const bool Written = Outcome == WriteOutcome::Written;
  Versions.setWritable(Written);
  WritableAgainAt = Outcome == WriteOutcome::NotWritten ? Now + UnwritableTime
                                                        : TimePoint::max();
  StreamVersionMap Sent = std::exchange(Writing, {});
  for (const auto &[Id, Version] : Sent)
    logRecord(Id, Version, writeOutcomeName(Outcome));
  if (!Written)
    failWaiting(Pending);
  if (Outcome == WriteOutcome::NotWritten)
    failWaiting(Sent);
  if (!Written) {
    Pending.merge(Sent);
    pendOwnAgain();
    RetryWriteAt = Pending.empty() ? TimePoint::max() : Now + WriteRetryDelay;
    return;
  }
  for (const auto &[Id, Version] : Sent) {
    Versions.noteOwn(Id, Version, Now);
    answerWaiting(Id, true);
  }
  pendOwnAgain();
  write();
}

/// Writes the records of this entry again. Newer ones that have not been
/// written yet stay; one that is under way is waited for, as an older one must
/// not be written after it.
void StreamVersionExchange::pendOwnAgain() {
  if (WriteInFlight || !std::exchange(WriteOwnAgain, false))
    return;
  StreamVersionMap Own = Versions.ownRecords();
  Pending.merge(Own);
}

/// Takes the records out for which a stream waits; those written anew after a
/// restore of the store stay.
void StreamVersionExchange::failWaiting(StreamVersionMap &Records) {
  for (auto It = Records.begin(); It != Records.end();)
    It = answerWaiting(It->first, false) ? Records.erase(It) : std::next(It);
}

/// Returns false if no stream waits for the record.
bool StreamVersionExchange::answerWaiting(const std::string &Id, bool Written) {
  const auto Found = Waiting.find(Id);
  if (Found == Waiting.end())
    return false;
  const RecordHandler OnDone = std::move(Found->second);
  Waiting.erase(Found);
  OnDone(Written);
  return true;
}

void StreamVersionExchange::logRecord(const std::string &Id,
                                      const std::string &Version,
                                      std::string_view Outcome) {
  Log.write(LogCategory::Routine, "version_record", Id,
            {{"version", Version}, {"outcome", Outcome}});
}

// ---- Queries ----------------------------------------------------------------

void StreamVersionExchange::find(const std::string &Id,
                                 const std::string &Service,
                                 FindHandler OnDone) {
  Query Q{Id, Service, std::move(OnDone)};
  if (const auto Version = Versions.ownRecord(Id)) {
    logFound(Q, Version, "own_record");
    return Q.OnDone(Version);
  }
  Queries.push_back(std::move(Q));
  read();
}

/// A query is answered by a read that began after it: whoever began the stream
/// had its record written before the caller got the first event.
void StreamVersionExchange::read() {
  if (ReadInFlight)
    return;
  ReadInFlight = true;
  NextReadAt = Time.now() + BaseReadInterval;
  InFlight = std::exchange(Queries, {});
  Feed.readStreamVersions([this](bool Ok) { onRead(Ok); });
}

void StreamVersionExchange::onRead(bool Ok) {
  ReadInFlight = false;
  if (!std::exchange(IgnoreRead, false) && Ok)
    ReadOnce = true;
  for (const Query &Q : std::exchange(InFlight, {}))
    answer(Q, Ok);
  if (!Queries.empty())
    read();
}

void StreamVersionExchange::answer(const Query &Q, bool Ok) {
  const auto Record = Versions.record(Q.Id);
  const auto Base = Versions.base(Q.Service);
  const bool UsesBase = Ok && !Q.Id.empty() && Base;
  const auto Version = Record     ? Record
                       : UsesBase ? Base
                                  : versionWithoutStore(Q);
  logFound(Q, Version,
           Record     ? "record"
           : UsesBase ? "base_version"
           : Version  ? "single_version"
                      : "unknown");
  Q.OnDone(Version);
}

/// Tells why a stream goes on at \p Version.
void StreamVersionExchange::logFound(const Query &Q,
                                     const std::optional<std::string> &Version,
                                     std::string_view Source) {
  Log.write(LogCategory::Outcome, "version_found", Q.Id,
            {{"service", Q.Service},
             {"version", Version.value_or("")},
             {"source", Source},
             {"base", Versions.base(Q.Service).value_or("")},
             {"versions", Versions.versionsOf(Q.Service).size()},
             {"store_read", ReadOnce}});
}

/// Without the store only a service that has a single version leaves no doubt,
/// and only at an entry that knows the endpoints which the others know.
std::optional<std::string>
StreamVersionExchange::versionWithoutStore(const Query &Q) const {
  if (Feed.stepAge() > MaxStepAge)
    return std::nullopt;
  const std::set<std::string> Known = Versions.versionsOf(Q.Service);
  const auto Base = Versions.base(Q.Service);
  if (Known.size() != 1 || (Base && *Base != *Known.begin()))
    return std::nullopt;
  return *Known.begin();
}

void StreamVersionExchange::onStreamVersions(
    const StreamVersionRecord &Record) {
  for (const auto &[Id, Version] : Record.Versions)
    Versions.noteStored(Id, Version, Record.Position, Time.now());
}

// ---- Base versions ----------------------------------------------------------

void StreamVersionExchange::tick(bool IsCoordinator, bool EndpointsComplete,
                                 TimePoint Now) {
  if (Now >= RetryWriteAt)
    write();
  if (Now >= WritableAgainAt)
    Versions.setWritable(true);
  // Another coordinator may have set base versions since the last read.
  if (IsCoordinator && !std::exchange(Coordinates, IsCoordinator))
    readAnew();
  Coordinates = IsCoordinator;
  Versions.forgetBefore(Now - Lifetime);
  if (!EndpointsComplete || Services.empty())
    return;
  const bool BaseMissing = std::any_of(
      Services.begin(), Services.end(), [&](const std::string &Service) {
        return !Versions.base(Service) &&
               Versions.versionsOf(Service).size() > 1;
      });
  if ((!ReadOnce || BaseMissing) && Now >= NextReadAt)
    read();
  if (!IsCoordinator || !ReadOnce)
    return;
  for (const std::string &Service : Services)
    updateBase(Service, Now);
}

/// The base version changes only when no endpoint has had the old one for so
/// long that no stream of it can be resumed any more. An entry that does not
/// know of the change yet has no endpoint of the old version either, so it
/// begins no stream there without a record.
void StreamVersionExchange::updateBase(const std::string &Service,
                                       TimePoint Now) {
  const auto Oldest = Versions.oldestVersion(Service);
  if (!Oldest)
    return;
  BaseState &State = Bases[Service];
  const auto Base = Versions.base(Service);
  if (State.LastSeen == TimePoint{} ||
      (Base && Versions.versionsOf(Service).contains(*Base)))
    State.LastSeen = Now;
  if (State.Writing)
    return;
  if (!Base || Now - State.LastSeen > Lifetime)
    writeBase(Service, *Oldest);
  else if (!State.Stored)
    writeBase(Service, *Base);
}

void StreamVersionExchange::writeBase(const std::string &Service,
                                      const std::string &Version) {
  Bases[Service].Writing = true;
  Feed.writeBaseVersion(Service, Version,
                        [this, Service, Version](WriteOutcome Outcome) {
                          Bases[Service].Writing = false;
                          if (Outcome == WriteOutcome::Written)
                            onBaseVersion(Service, Version);
                        });
}

void StreamVersionExchange::onBaseVersion(const std::string &Service,
                                          const std::string &Version) {
  Bases[Service].Stored = true;
  if (Versions.base(Service) == Version)
    return;
  Log.write(LogCategory::Outcome, "base_version", "",
            {{"service", Service},
             {"version", Version},
             {"before", Versions.base(Service).value_or("")}});
  Versions.setBase(Service, Version);
  Bases[Service].LastSeen = Time.now();
}

/// What was read so far does not count as complete any more.
void StreamVersionExchange::readAnew() {
  ReadOnce = false;
  IgnoreRead = ReadInFlight;
  NextReadAt = {};
}

void StreamVersionExchange::storeRestored() {
  readAnew();
  for (auto &[Service, State] : Bases)
    State.Stored = false;
  WriteOwnAgain = true;
  pendOwnAgain();
  write();
}

} // namespace hyssoprail::gateway
