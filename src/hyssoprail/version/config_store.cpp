#include "hyssoprail/version/config_store.hpp"

#include <algorithm>

namespace hyssoprail {
namespace {

template <typename T> std::optional<T> copyOf(const T *Value) {
  if (Value == nullptr)
    return std::nullopt;
  return *Value;
}

/// The newest checkpoint in a batch that is newer than \p Version; null if
/// there is none. One that claims to cover records after itself is wrong.
const wire::Checkpoint *
newestCheckpoint(const std::vector<wire::OffsetRecord> &Records,
                 std::uint64_t Version) {
  const wire::Checkpoint *Best = nullptr;
  for (const wire::OffsetRecord &R : Records) {
    if (!R.record().has_checkpoint())
      continue;
    const wire::Checkpoint &C = R.record().checkpoint();
    const bool Sound =
        C.covers() < R.offset() && C.covers() == C.state().version();
    if (Sound && C.covers() > Version &&
        (Best == nullptr || C.covers() > Best->covers()))
      Best = &C;
  }
  return Best;
}

} // namespace

ConfigStore::ConfigStore(std::size_t MaxRecords)
    : MaxRecords(std::max<std::size_t>(MaxRecords, 1)),
      Current(std::make_shared<const ConfigState>()) {}

BatchResult ConfigStore::apply(const std::vector<wire::OffsetRecord> &Records) {
  const std::lock_guard Apply(ApplyMutex);
  ConfigUpdate Update;
  BatchResult Result;
  {
    const std::lock_guard Lock(StateMutex);
    applyLocked(Records, Update, Result);
    Result.Version = State.version();
    if (Result.Applied > 0 || Result.Restored)
      Update.Config = State.config();
  }
  if (Update.Config)
    publish(Update);
  return Result;
}

void ConfigStore::applyLocked(const std::vector<wire::OffsetRecord> &Records,
                              ConfigUpdate &Update, BatchResult &Result) {
  bool Searched = false;
  for (const wire::OffsetRecord &R : Records) {
    ApplyResult One = State.apply(R.offset(), R.record());
    if (One.Outcome == ApplyOutcome::Gap && !Searched) {
      Searched = true;
      Result.Restored = Update.Restored = restoreFrom(Records);
      if (Result.Restored)
        One = State.apply(R.offset(), R.record());
    }
    Result.Gap = Result.Gap || One.Outcome == ApplyOutcome::Gap;
    if (!One.counted())
      continue;
    ++Result.Applied;
    keep(R);
    Update.Records.push_back(R);
  }
}

bool ConfigStore::restoreFrom(const std::vector<wire::OffsetRecord> &Records) {
  const wire::Checkpoint *Newest = newestCheckpoint(Records, State.version());
  if (Newest == nullptr || !State.restore(Newest->state()))
    return false;
  this->Newest.clear();
  return true;
}

void ConfigStore::keep(const wire::OffsetRecord &Record) {
  wire::OffsetRecord &Kept = Newest.emplace_back(Record);
  if (Record.record().has_checkpoint()) {
    NewestCheckpoint = Record.offset();
    // A peer that is behind receives a snapshot, so the state inside a
    // checkpoint record is neither kept nor forwarded.
    Kept.mutable_record()->mutable_checkpoint()->clear_state();
  }
  if (Newest.size() > MaxRecords)
    Newest.pop_front();
}

bool ConfigStore::restore(const wire::State &NewState) {
  const std::lock_guard Apply(ApplyMutex);
  ConfigUpdate Update;
  {
    const std::lock_guard Lock(StateMutex);
    if (!State.restore(NewState))
      return false;
    Newest.clear();
    NewestCheckpoint = State.version();
    Update.Config = State.config();
    Update.Restored = true;
  }
  publish(Update);
  return true;
}

void ConfigStore::publish(ConfigUpdate &Update) {
  {
    const std::lock_guard Lock(CurrentMutex);
    Current = Update.Config;
  }
  for (const Subscriber &Function : Subscribers)
    Function(Update);
}

ConfigPtr ConfigStore::current() const {
  const std::lock_guard Lock(CurrentMutex);
  return Current;
}

std::variant<wire::ConfigRecords, wire::ConfigSnapshot>
ConfigStore::recordsAfter(std::uint64_t Version, std::size_t MaxCount) const {
  const std::lock_guard Lock(StateMutex);
  wire::ConfigRecords Out;
  Out.set_after_version(Version);
  if (Version >= State.version())
    return Out;
  if (Newest.empty() || Newest.front().offset() > Version + 1) {
    wire::ConfigSnapshot Snapshot;
    *Snapshot.mutable_state() = State.checkpoint();
    return Snapshot;
  }
  const std::size_t First = Version + 1 - Newest.front().offset();
  const std::size_t Last = std::min(First + MaxCount, Newest.size());
  for (std::size_t I = First; I < Last; ++I)
    *Out.add_records() = Newest[I];
  return Out;
}

void ConfigStore::subscribe(Subscriber Function) {
  const std::lock_guard Apply(ApplyMutex);
  Subscribers.push_back(std::move(Function));
}

wire::ShardOwner ConfigStore::shardOwner(std::uint32_t Shard) const {
  const std::lock_guard Lock(StateMutex);
  return State.shardOwner(Shard);
}

std::vector<wire::MemberState> ConfigStore::members() const {
  const std::lock_guard Lock(StateMutex);
  std::vector<wire::MemberState> Out;
  for (const auto &[Incarnation, Member] : State.members())
    Out.push_back(Member);
  return Out;
}

std::optional<wire::ClaimState> ConfigStore::claim(std::string_view Id) const {
  const std::lock_guard Lock(StateMutex);
  return copyOf(State.claim(Id));
}

std::optional<wire::AgentLease>
ConfigStore::agentLease(std::string_view Endpoint) const {
  const std::lock_guard Lock(StateMutex);
  return copyOf(State.agentLease(Endpoint));
}

std::optional<wire::OperationResult>
ConfigStore::operation(std::string_view Id) const {
  const std::lock_guard Lock(StateMutex);
  return copyOf(State.operation(Id));
}

wire::State ConfigStore::checkpoint() const {
  const std::lock_guard Lock(StateMutex);
  return State.checkpoint();
}

std::uint64_t ConfigStore::checkpointOffset() const {
  const std::lock_guard Lock(StateMutex);
  return NewestCheckpoint;
}

} // namespace hyssoprail
