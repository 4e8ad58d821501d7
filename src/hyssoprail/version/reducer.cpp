#include "hyssoprail/version/reducer.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/version/change_rules.hpp"

namespace hyssoprail {
namespace {

constexpr std::size_t MaxIdLength = 256;

/// Record times beyond this (the year 33658) are wrong; the bound also keeps
/// differences of times from overflowing.
constexpr std::int64_t MaxUnixMs = 1'000'000'000'000'000;

/// The log time is the median clock of this many of the newest claims, so that
/// one author with a wrong clock cannot expire the claims of all others.
constexpr std::size_t LogTimeSamples = 15;

ApplyResult applied() { return {.Outcome = ApplyOutcome::Applied, .Why = {}}; }

ApplyResult ignored() { return {.Outcome = ApplyOutcome::Ignored, .Why = {}}; }

ApplyResult rejected(Error Why) {
  return {.Outcome = ApplyOutcome::Rejected, .Why = std::move(Why)};
}

ApplyResult rejectedInvalid(std::string Message, std::string Remedy) {
  return rejected({.Kind = ErrorKind::InvalidRequest,
                   .Message = std::move(Message),
                   .Remedy = std::move(Remedy),
                   .Field = {}});
}

ApplyResult rejectedConflict(std::string Message, std::string Remedy) {
  return rejected({.Kind = ErrorKind::Conflict,
                   .Message = std::move(Message),
                   .Remedy = std::move(Remedy),
                   .Field = {}});
}

std::int64_t usableTime(std::int64_t UnixMs) {
  return std::clamp<std::int64_t>(UnixMs, 0, MaxUnixMs);
}

bool isId(std::string_view Id) {
  return !Id.empty() && Id.size() <= MaxIdLength;
}

/// True for records whose result is remembered by operation id.
bool isRemembered(const wire::LogRecord &Record) {
  return isId(Record.operation_id()) &&
         (Record.has_change() || Record.has_member() ||
          Record.has_take_over() || Record.has_agent_lease());
}

template <typename Map> auto *findValue(Map &Values, std::string_view Key) {
  const auto Found = Values.find(Key);
  return Found == Values.end() ? nullptr : &Found->second;
}

} // namespace

std::uint32_t limitShard(std::string_view Account) {
  return static_cast<std::uint32_t>(stableHash(Account) % LimitShardCount);
}

Reducer::Reducer()
    : Published(std::make_shared<const ConfigState>()), Next(*Published) {
  for (std::uint32_t Shard = 0; Shard < LimitShardCount; ++Shard)
    Owners[Shard].set_shard(Shard);
}

ApplyResult Reducer::apply(std::uint64_t Offset,
                           const wire::LogRecord &Record) {
  if (Offset <= Version)
    return {.Outcome = ApplyOutcome::OldOffset, .Why = {}};
  if (Offset != Version + 1)
    return {.Outcome = ApplyOutcome::Gap, .Why = {}};
  Version = Offset;
  const bool Remembered = isRemembered(Record);
  if (Remembered && operation(Record.operation_id()) != nullptr)
    return {.Outcome = ApplyOutcome::Repeated, .Why = {}};
  ApplyResult Result = applyBody(Offset, Record);
  if (!Remembered)
    return Result;
  wire::OperationResult Stored;
  Stored.set_operation_id(Record.operation_id());
  Stored.set_offset(Offset);
  Stored.set_accepted(Result.Outcome == ApplyOutcome::Applied);
  Stored.set_message(Result.Why.Message);
  Stored.set_remedy(Result.Why.Remedy);
  Stored.set_conflict(Result.Outcome == ApplyOutcome::Rejected &&
                      Result.Why.Kind == ErrorKind::Conflict);
  if (Stored.conflict() && Record.has_change())
    Stored.set_conflicting_version(
        currentVersion(Next.draft(), Record.change().object().kind(),
                       Record.change().object().name()));
  remember(Stored);
  return Result;
}

ApplyResult Reducer::applyBody(std::uint64_t Offset,
                               const wire::LogRecord &Record) {
  switch (Record.body_case()) {
  case wire::LogRecord::kChange:
    return applyChange(Offset, Record.change());
  case wire::LogRecord::kMember:
    return applyMember(Offset, Record.member());
  case wire::LogRecord::kTakeOver:
    return applyTakeOver(Offset, Record.take_over());
  case wire::LogRecord::kClaim:
    return applyClaim(Offset, Record);
  case wire::LogRecord::kClaimOutcome:
    return applyOutcome(Record.claim_outcome());
  case wire::LogRecord::kAgentLease:
    return applyAgentLease(Offset, Record.agent_lease());
  default:
    return ignored();
  }
}

ApplyResult Reducer::applyChange(std::uint64_t Offset,
                                 const wire::Change &Change) {
  const ConfigState &Current = Next.draft();
  if (Status S = checkBaseVersion(Current, Change); !succeeded(S))
    return rejected(*errorOf(S));
  if (Status S = checkChange(Current, Change); !succeeded(S))
    return rejected(*errorOf(S));
  const wire::Object &O = Change.object();
  Dirty = true;
  if (!Change.remove()) {
    Next.put(O, Offset);
    return applied();
  }
  Next.remove(O.kind(), O.name(), Offset);
  if (O.kind() == wire::OBJECT_KIND_ENDPOINT)
    AgentLeases.erase(O.name());
  return applied();
}

ApplyResult Reducer::applyMember(std::uint64_t Offset,
                                 const wire::Member &Member) {
  if (Member.incarnation() == 0 || !isId(Member.name()))
    return rejectedInvalid("a member record needs a name and an incarnation",
                           "set both from the entry's settings and start");
  if (Member.gone()) {
    Members.erase(Member.incarnation());
    return applied();
  }
  if (Members.contains(Member.incarnation()))
    return applied();
  removeMembersNamed(Member.name());
  wire::MemberState &Stored = Members[Member.incarnation()];
  *Stored.mutable_member() = Member;
  Stored.set_joined_offset(Offset);
  return applied();
}

/// A new incarnation of an entry replaces the one before it, which can no
/// longer take over a shard.
void Reducer::removeMembersNamed(const std::string &Name) {
  std::erase_if(Members, [&](const auto &Entry) {
    return Entry.second.member().name() == Name;
  });
}

ApplyResult Reducer::applyTakeOver(std::uint64_t Offset,
                                   const wire::TakeOver &Record) {
  if (Record.shards_size() != Record.replaces_size())
    return rejectedInvalid("a takeover must name one epoch for each shard",
                           "send shards and replaces of the same length");
  const auto Owner = Members.find(Record.owner());
  if (Owner == Members.end())
    return rejectedConflict("the new owner is not a member",
                            "append a member record before a takeover");
  // An owner without the log asks only the members it knows for promises. A
  // process that was removed and joined again may be none of them, so what it
  // proposed before has no effect.
  if (Record.joined_offset() != 0 &&
      Record.joined_offset() != Owner->second.joined_offset())
    return rejectedConflict("the new owner has joined again since it proposed",
                            "propose the takeover anew");
  bool Any = false;
  for (int I = 0; I < Record.shards_size(); ++I) {
    const std::uint32_t Shard = Record.shards(I);
    if (Shard >= LimitShardCount || Owners[Shard].epoch() != Record.replaces(I))
      continue;
    Owners[Shard].set_owner(Record.owner());
    Owners[Shard].set_epoch(Offset);
    Any = true;
  }
  if (Any)
    return applied();
  return rejectedConflict("no shard has the epoch that the takeover replaces",
                          "read the owners again");
}

ApplyResult Reducer::applyClaim(std::uint64_t Offset,
                                const wire::LogRecord &Record) {
  const wire::Claim &Claim = Record.claim();
  if (!isId(Claim.claim_id()))
    return rejectedInvalid("a claim needs an id of up to 256 bytes",
                           "use the digest of account and idempotency key");
  expireClaims(Record.unix_ms());
  if (const wire::ClaimState *First = claim(Claim.claim_id())) {
    if (First->claim().request_id() == Claim.request_id())
      return {.Outcome = ApplyOutcome::Repeated, .Why = {}};
    return rejectedConflict(
        fmt::format("claimed first by the record at offset {}",
                    First->offset()),
        "ask the claimed endpoint's agent for the outcome");
  }
  wire::ClaimState Stored;
  *Stored.mutable_claim() = Claim;
  Stored.set_offset(Offset);
  Stored.set_unix_ms(usableTime(Record.unix_ms()));
  storeClaim(Stored);
  return applied();
}

ApplyResult Reducer::applyOutcome(const wire::ClaimOutcome &Outcome) {
  wire::ClaimState *Stored = findValue(Claims, Outcome.claim_id());
  if (Stored == nullptr)
    return rejectedInvalid("there is no claim for this outcome",
                           "append the claim first");
  if (Stored->done())
    return {.Outcome = ApplyOutcome::Repeated, .Why = {}};
  if (Outcome.reply().ByteSizeLong() > MaxOutcomeBytes)
    return rejectedInvalid("the outcome is too large for the log",
                           "append outcomes of up to 4 KiB only");
  *Stored->mutable_reply() = Outcome.reply();
  Stored->set_done(true);
  return applied();
}

ApplyResult Reducer::applyAgentLease(std::uint64_t Offset,
                                     const wire::AgentLease &Lease) {
  if (!isId(Lease.endpoint()) || Lease.incarnation() == 0)
    return rejectedInvalid(
        "an agent lease needs an endpoint and an incarnation",
        "set both from the agent's settings and start");
  const wire::AgentLease *Held = agentLease(Lease.endpoint());
  if (Held != nullptr && Held->incarnation() == Lease.incarnation())
    return applied();
  wire::AgentLease &Stored = AgentLeases[Lease.endpoint()];
  Stored = Lease;
  Stored.set_offset(Offset);
  return applied();
}

ConfigPtr Reducer::config() {
  if (Dirty) {
    Next.advance(Version);
    Published = Next.publish();
    Dirty = false;
  } else if (Published->version() != Version) {
    Published = Published->at(Version);
  }
  return Published;
}

wire::ShardOwner Reducer::shardOwner(std::uint32_t Shard) const {
  return Shard < LimitShardCount ? Owners[Shard] : wire::ShardOwner();
}

const wire::ClaimState *Reducer::claim(std::string_view Id) const {
  return findValue(Claims, Id);
}

const wire::AgentLease *Reducer::agentLease(std::string_view Endpoint) const {
  return findValue(AgentLeases, Endpoint);
}

const wire::OperationResult *Reducer::operation(std::string_view Id) const {
  return findValue(Operations, Id);
}

void Reducer::remember(const wire::OperationResult &Result) {
  if (!Operations.emplace(Result.operation_id(), Result).second)
    return;
  OperationsByOffset[Result.offset()] = Result.operation_id();
  while (OperationsByOffset.size() > MaxOperations) {
    Operations.erase(OperationsByOffset.begin()->second);
    OperationsByOffset.erase(OperationsByOffset.begin());
  }
}

void Reducer::storeClaim(const wire::ClaimState &Claim) {
  const std::string &Id = Claim.claim().claim_id();
  if (!Claims.emplace(Id, Claim).second)
    return;
  ClaimsByOffset[Claim.offset()] = Id;
  ClaimsByTime.emplace(Claim.unix_ms(), Id);
}

/// Drops claims older than the retention. Depends only on the claims kept and
/// on the record, so it gives the same result after a restore.
void Reducer::expireClaims(std::int64_t RecordUnixMs) {
  std::vector<std::int64_t> Times{usableTime(RecordUnixMs)};
  for (auto It = ClaimsByOffset.rbegin();
       It != ClaimsByOffset.rend() && Times.size() < LogTimeSamples; ++It)
    Times.push_back(Claims.at(It->second).unix_ms());
  // The lower median: with few samples, claims are kept longer.
  const std::size_t Middle = (Times.size() - 1) / 2;
  std::nth_element(Times.begin(), Times.begin() + static_cast<long>(Middle),
                   Times.end());
  const std::int64_t LogTime = Times[Middle];
  while (!ClaimsByTime.empty() &&
         LogTime - ClaimsByTime.begin()->first > ClaimRetentionMs) {
    const std::string Id = ClaimsByTime.begin()->second;
    ClaimsByOffset.erase(Claims.at(Id).offset());
    Claims.erase(Id);
    ClaimsByTime.erase(ClaimsByTime.begin());
  }
}

wire::State Reducer::checkpoint() {
  wire::State Out;
  Out.set_version(Version);
  const ConfigPtr Config = config();
  for (const auto &[Kind, Name] : ObjectKindNames)
    for (const wire::Object *O : Config->objects(Kind))
      *Out.add_objects() = *O;
  for (const wire::ShardOwner &Owner : Owners)
    if (Owner.epoch() != 0)
      *Out.add_owners() = Owner;
  for (const auto &[Offset, Id] : ClaimsByOffset)
    *Out.add_claims() = Claims.at(Id);
  for (const auto &[Incarnation, Member] : Members)
    *Out.add_members() = Member;
  for (const auto &[Offset, Id] : OperationsByOffset)
    *Out.add_operations() = Operations.at(Id);
  for (const auto &[Endpoint, Lease] : AgentLeases)
    *Out.add_agent_leases() = Lease;
  return Out;
}

bool Reducer::restore(const wire::State &State) {
  if (State.version() <= Version)
    return false;
  *this = Reducer();
  Version = State.version();
  Dirty = true;
  for (const wire::Object &O : State.objects())
    Next.put(O, O.version());
  for (const wire::ShardOwner &Owner : State.owners())
    if (Owner.shard() < LimitShardCount)
      Owners[Owner.shard()] = Owner;
  for (wire::ClaimState Claim : State.claims()) {
    Claim.set_unix_ms(usableTime(Claim.unix_ms()));
    storeClaim(Claim);
  }
  for (const wire::MemberState &Member : State.members())
    Members[Member.member().incarnation()] = Member;
  for (const wire::OperationResult &Result : State.operations())
    remember(Result);
  for (const wire::AgentLease &Lease : State.agent_leases())
    AgentLeases[Lease.endpoint()] = Lease;
  return true;
}

} // namespace hyssoprail
