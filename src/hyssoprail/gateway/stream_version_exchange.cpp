#include "hyssoprail/gateway/stream_version_exchange.hpp"

#include <algorithm>
#include <utility>

namespace hyssoprail::gateway {
namespace {

constexpr milliseconds WriteRetryDelay{150};

/// Time after a failed write in which streams begin at versions that need no
/// record.
constexpr milliseconds UnwritableTime{1'000};

/// How often an entry looks for streams of its own that have to be recorded.
constexpr milliseconds OwnWriteInterval{200};

/// Size of the ids and versions that one record holds at most.
constexpr std::size_t MaxRecordBytes = 65'536;

/// Streams of its own that an entry adds to one record at most.
constexpr std::size_t MaxOwnPerWrite = 500;

/// Between reads while a state is not known.
constexpr milliseconds UnknownReadInterval{1'000};

/// Between reads while endpoints of other than the base version are registered.
constexpr milliseconds StateReadInterval{5'000};

/// After a state was not written.
constexpr milliseconds StateRetryDelay{1'000};

/// The store has not been restored in this era.
constexpr std::uint64_t FirstEra = 1;

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
  setLifetime(Longest + LifetimeMargin);
}

void StreamVersionExchange::setLifetime(Duration Next) {
  if (Next < Lifetime) {
    if (!Shorter || Shorter->Length != Next)
      Shorter = {Next, Time.now() + Lifetime};
    return;
  }
  Shorter.reset();
  Lifetime = Next;
  Versions.setLifetime(Lifetime);
}

// ---- Records ----------------------------------------------------------------

void StreamVersionExchange::record(const std::string &Id,
                                   const std::string &Version,
                                   RecordHandler OnDone,
                                   routing::RecordNeed Need) {
  if (Need != routing::RecordNeed::Required)
    Versions.noteOwn(Id, "", Version, Time.now());
  if (!Versions.writable() || Waiting.contains(Id)) {
    logRecord(Id, Version, "not_tried");
    return OnDone(false);
  }
  Pending[Id] = Version;
  Waiting.emplace(Id, Waiter{Version, std::move(OnDone)});
  write(false);
}

void StreamVersionExchange::began(const std::string &Id,
                                  const std::string &Service,
                                  const std::string &Version) {
  Versions.noteOwn(Id, Service, Version, Time.now());
}

/// \p WithOwn: also those streams of this entry that have to be recorded
/// although none of them waits for it.
void StreamVersionExchange::write(bool WithOwn) {
  if (WriteInFlight)
    return;
  Writing = takePending(WithOwn);
  if (Writing.empty())
    return;
  WriteInFlight = true;
  RetryWriteAt = TimePoint::max();
  Feed.writeStreamVersions(
      Writing, Lifetime, [this](WriteOutcome Outcome) { onWritten(Outcome); });
}

StreamVersionMap StreamVersionExchange::takePending(bool WithOwn) {
  StreamVersionMap Out;
  std::size_t Bytes = 0;
  const auto Add = [&](const std::string &Id, const std::string &Version) {
    Bytes += Id.size() + Version.size();
    if (!Out.empty() && Bytes > MaxRecordBytes)
      return false;
    Out.emplace(Id, Version);
    return true;
  };
  while (!Pending.empty()) {
    const auto First = Pending.begin();
    if (!Add(First->first, First->second))
      return Out;
    Pending.erase(First);
  }
  if (WithOwn)
    for (const auto &[Id, Version] : Versions.ownWithoutRecord(MaxOwnPerWrite))
      if (!Out.contains(Id) && !Add(Id, Version))
        break;
  return Out;
}

/// A record whose fate is unknown is repeated until it is known: another
/// version must not be recorded before that, as the lost record could still
/// take effect after it. Those that arrived meanwhile were not sent, so their
/// streams need not wait for the store. What was written in an earlier era of
/// the store is written again.
void StreamVersionExchange::onWritten(WriteOutcome Outcome) {
  WriteInFlight = false;
  const bool IsOld = std::exchange(WriteIsOld, false);
  const TimePoint Now = Time.now();
  const bool Written = Outcome == WriteOutcome::Written;
  Versions.setWritable(Written);
  WritableAgainAt = Outcome == WriteOutcome::NotWritten ? Now + UnwritableTime
                                                        : TimePoint::max();
  StreamVersionMap Sent = std::exchange(Writing, {});
  for (const auto &[Id, Version] : Sent)
    logRecord(Id, Version, writeOutcomeName(Outcome));
  if (Written && IsOld)
    Pending.merge(Sent);
  else if (Written)
    settle(Sent);
  else
    keepUnsettled(Sent, Outcome);
  if (Written)
    write(false);
  else if (!Pending.empty())
    RetryWriteAt = Now + WriteRetryDelay;
}

void StreamVersionExchange::settle(const StreamVersionMap &Sent) {
  for (const auto &[Id, Version] : Sent) {
    Unsettled.erase(Id);
    const auto Found = Waiting.find(Id);
    const bool IsAwaited =
        Found != Waiting.end() && Found->second.Version == Version;
    if (IsAwaited || Versions.ownRecord(Id) == Version)
      Versions.noteWritten(Id, Version, Time.now());
    if (IsAwaited)
      answerWaiting(Id, true);
  }
}

/// A repeated write that is refused does not tell what became of the first.
void StreamVersionExchange::keepUnsettled(const StreamVersionMap &Sent,
                                          WriteOutcome Outcome) {
  if (Outcome == WriteOutcome::Unknown)
    for (const auto &[Id, Version] : Sent)
      Unsettled.insert(Id);
  StreamVersionMap Failed = std::exchange(Pending, {});
  for (const auto &[Id, Version] : Sent)
    (Unsettled.contains(Id) ? Pending : Failed).emplace(Id, Version);
  for (const auto &[Id, Version] : Failed)
    if (Unsettled.contains(Id))
      Pending.insert_or_assign(Id, Version);
  failWaiting(Failed);
}

void StreamVersionExchange::failWaiting(const StreamVersionMap &Records) {
  for (const auto &[Id, Version] : Records)
    if (!Unsettled.contains(Id))
      answerWaiting(Id, false);
}

void StreamVersionExchange::answerWaiting(const std::string &Id, bool Written) {
  const auto Found = Waiting.find(Id);
  if (Found == Waiting.end())
    return;
  const RecordHandler OnDone = std::move(Found->second.OnDone);
  Waiting.erase(Found);
  OnDone(Written);
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
  ReadBeganAt = Time.now();
  NextReadAt = ReadBeganAt + UnknownReadInterval;
  InFlight = std::exchange(Queries, {});
  Feed.readStreamVersions([this](bool Ok) { onRead(Ok); });
}

void StreamVersionExchange::onRead(bool Ok) {
  ReadInFlight = false;
  if (!std::exchange(IgnoreRead, false) && Ok) {
    ReadOnce = true;
    StatesFresh = true;
    LastReadAt = ReadBeganAt;
  }
  for (const Query &Q : std::exchange(InFlight, {}))
    answer(Q, Ok);
  if (!Queries.empty())
    read();
}

void StreamVersionExchange::answer(const Query &Q, bool Ok) {
  const auto Record = Versions.record(Q.Id);
  const auto Base = Versions.base(Q.Service);
  std::optional<Certain> Known;
  if (Record)
    Known = {*Record, "record"};
  else if (Ok && !Q.Id.empty() && Base)
    Known = {*Base, "base_version"};
  else
    Known = certainWithoutRead(Q);
  const auto Version = Known ? std::optional(Known->Version) : std::nullopt;
  logFound(Q, Version, Known ? Known->Source : "unknown");
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

/// Without a read only a service that has had a single version leaves no doubt:
/// for as long as a stream of another one could be resumed, or since the
/// records were read that name those, and only at an entry that missed nothing
/// which the others know.
std::optional<StreamVersionExchange::Certain>
StreamVersionExchange::certainWithoutRead(const Query &Q) {
  const TimePoint Now = Time.now();
  Versions.observe(Q.Service, Now);
  if (const auto Only = Versions.onlyVersionSince(Q.Service, Now - Lifetime))
    return Certain{*Only, "single_version"};
  const auto Base = Versions.base(Q.Service);
  if (!Q.Id.empty() && Base && LastReadAt &&
      Versions.onlyVersionSince(Q.Service, *LastReadAt) == Base)
    return Certain{*Base, "base_alone"};
  return std::nullopt;
}

void StreamVersionExchange::onStreamVersions(
    const StreamVersionRecord &Record) {
  for (const auto &[Id, Version] : Record.Versions)
    Versions.noteStored(Id, Version, Record.Position, Time.now());
}

// ---- States of services -----------------------------------------------------

void StreamVersionExchange::tick(bool IsCoordinator, bool EndpointsComplete,
                                 TimePoint Now) {
  if (Shorter && Now >= Shorter->From) {
    Lifetime = std::exchange(Shorter, std::nullopt)->Length;
    Versions.setLifetime(Lifetime);
  }
  if (Now >= RetryWriteAt)
    write(false);
  if (Now >= WritableAgainAt)
    Versions.setWritable(true);
  if (IsCoordinator && !Coordinates)
    beginTerm();
  Coordinates = IsCoordinator;
  Versions.forgetBefore(Now - Lifetime);
  if (!EndpointsComplete || Services.empty())
    return;
  observe(Now);
  if (Versions.writable() && Now >= NextOwnWriteAt) {
    NextOwnWriteAt = Now + OwnWriteInterval;
    write(true);
  }
  if (IsCoordinator && ReadOnce && !ReadInFlight)
    updateStates(Now);
  if (readIsDue(Now))
    read();
}

/// Another coordinator may have set states since the last read, and a late
/// write of its may still come.
void StreamVersionExchange::beginTerm() {
  readAnew();
  UnsettledStates.insert(Services.begin(), Services.end());
}

void StreamVersionExchange::observe(TimePoint Now) {
  for (const std::string &Service : Services)
    Versions.observe(Service, Now);
}

bool StreamVersionExchange::readIsDue(TimePoint Now) const {
  if (ReadInFlight || StateInFlight || Now < NextReadAt)
    return false;
  const bool IsLongAgo = Now - ReadBeganAt >= StateReadInterval;
  return !ReadOnce ||
         std::any_of(
             Services.begin(), Services.end(), [&](const std::string &Service) {
               const std::set<std::string> Seen = Versions.versionsOf(Service);
               if (Seen.empty())
                 return false;
               if (!Versions.state(Service))
                 return true;
               const auto Base = Versions.base(Service);
               return IsLongAgo &&
                      !(Base && Seen == std::set<std::string>{*Base});
             });
}

/// A write of a state holds only if none was written since the last read, so
/// there is one read before each.
void StreamVersionExchange::updateStates(TimePoint Now) {
  if (StateInFlight || Now < NextStateAt)
    return;
  for (const std::string &Service : Services) {
    const auto Next = nextState(Service, Now);
    if (!Next)
      continue;
    return StatesFresh ? writeState(Service, *Next) : read();
  }
}

/// A service has a base version while nothing is known of another one for as
/// long as a stream can be resumed. In the first era of the store a service
/// without a state had each of its streams recorded.
std::optional<routing::VersionState>
StreamVersionExchange::nextState(const std::string &Service,
                                 TimePoint Now) const {
  using routing::VersionState;
  const std::set<std::string> Seen = Versions.versionsOf(Service);
  if (Seen.empty())
    return std::nullopt;
  const VersionState Mixed{};
  const VersionState Kept{Versions.onlyVersionSince(Service, Now - Lifetime)};
  const VersionState *Present = Versions.state(Service);
  if (!Present && Feed.newestChange().Era <= FirstEra)
    return Seen.size() == 1 ? VersionState{*Seen.begin()} : Mixed;
  if (!Present || (!Present->Base && Kept.Base))
    return Kept;
  if (Present->Base)
    return Seen == std::set<std::string>{*Present->Base} ? std::nullopt
                                                         : std::optional(Mixed);
  return UnsettledStates.contains(Service) ? std::optional(Mixed)
                                           : std::nullopt;
}

void StreamVersionExchange::writeState(const std::string &Service,
                                       const routing::VersionState &State) {
  StateInFlight = true;
  StatesFresh = false;
  const VersionStateRecord Record{Service, Feed.newestChange().Era, State};
  Feed.writeVersionState(Record, [this, Record](WriteOutcome Outcome) {
    onStateWritten(Record, Outcome);
  });
}

void StreamVersionExchange::onStateWritten(const VersionStateRecord &Record,
                                           WriteOutcome Outcome) {
  StateInFlight = false;
  if (Outcome != WriteOutcome::Written) {
    NextStateAt = Time.now() + StateRetryDelay;
    if (Outcome == WriteOutcome::Unknown)
      UnsettledStates.insert(Record.Service);
    return;
  }
  UnsettledStates.erase(Record.Service);
  if (Record.Era == Feed.newestChange().Era)
    onVersionState(Record);
}

/// A state of an earlier era says nothing of what was written in this one.
void StreamVersionExchange::onVersionState(const VersionStateRecord &Record) {
  std::optional<routing::VersionState> State;
  if (Record.Era == Feed.newestChange().Era)
    State = Record.State;
  const routing::VersionState *Known = Versions.state(Record.Service);
  if (Known ? State == *Known : !State)
    return;
  Log.write(LogCategory::Outcome, "version_state", "",
            {{"service", Record.Service},
             {"state", !State        ? "unknown"
                       : State->Base ? "base"
                                     : "mixed"},
             {"version", Record.State.Base.value_or("")},
             {"before", Versions.base(Record.Service).value_or("")},
             {"era", Record.Era}});
  Versions.setState(Record.Service, std::move(State));
}

/// What was read so far does not count as complete any more.
void StreamVersionExchange::readAnew() {
  ReadOnce = false;
  StatesFresh = false;
  IgnoreRead = ReadInFlight;
  NextReadAt = {};
}

void StreamVersionExchange::storeRestored() {
  readAnew();
  LastReadAt.reset();
  Versions.forgetStore();
  WriteIsOld = WriteInFlight;
  write(true);
}

} // namespace hyssoprail::gateway
