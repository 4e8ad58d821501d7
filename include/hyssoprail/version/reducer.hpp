#ifndef HYSSOPRAIL_VERSION_REDUCER_HPP
#define HYSSOPRAIL_VERSION_REDUCER_HPP

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hyssoprail/core/result.hpp"
#include "hyssoprail/version/config_state.hpp"

namespace hyssoprail {

/// Accounts hash to this number of limit shards.
constexpr std::uint32_t LimitShardCount = 64;

/// Shard of an account's token bucket.
std::uint32_t limitShard(std::string_view Account);

/// What became of a record.
enum class ApplyOutcome {
  Applied,   ///< the record took effect
  Rejected,  ///< counted, but without effect; ApplyResult::Why says why
  Repeated,  ///< its operation id was seen before; no second effect
  Ignored,   ///< counted; a checkpoint, or no record that this program knows
  OldOffset, ///< not counted: its offset was applied before
  Gap,       ///< not counted: records before it are missing
};

struct ApplyResult {
  ApplyOutcome Outcome = ApplyOutcome::Ignored;
  Error Why; ///< set with Rejected

  /// True if the version grew.
  bool counted() const {
    return Outcome != ApplyOutcome::OldOffset && Outcome != ApplyOutcome::Gap;
  }
};

/// Deterministic reduction of the platform's log to the configuration and the
/// records beside it. The same records give the same state in every process,
/// also when the process started from a checkpoint. Not thread-safe.
///
/// \code
///   Reducer R;
///   R.apply(1, Record);
///   R.config()->account("acme");
/// \endcode
class Reducer {
public:
  /// Results of this many operations are remembered. Claims, outcomes and
  /// checkpoints are not among them: they are idempotent by their content.
  static constexpr std::size_t MaxOperations = 8'192;

  /// Time for which a claim is kept, by the clocks of the records.
  static constexpr std::int64_t ClaimRetentionMs = 24LL * 3'600 * 1'000;

  /// Largest encoded outcome of a claim: a body of 4 KiB with its headers.
  static constexpr std::size_t MaxOutcomeBytes = 8 * 1'024;

  Reducer();

  /// Applies the record at \p Offset, which must follow the version.
  ApplyResult apply(std::uint64_t Offset, const wire::LogRecord &Record);

  /// Offset of the newest record that is contained.
  std::uint64_t version() const { return Version; }

  /// The configuration objects at version().
  ConfigPtr config();

  /// Owner and epoch of a limit shard; epoch 0 if there is none.
  wire::ShardOwner shardOwner(std::uint32_t Shard) const;

  /// Entries that joined and were not removed, by incarnation.
  const std::map<std::uint64_t, wire::MemberState> &members() const {
    return Members;
  }

  /// Claim with its outcome; null if there is none.
  const wire::ClaimState *claim(std::string_view Id) const;

  /// Incarnation that may give orders to an endpoint, with the offset of its
  /// record; null if there is none.
  const wire::AgentLease *agentLease(std::string_view Endpoint) const;

  /// Result of an operation; null if unknown or no longer remembered.
  const wire::OperationResult *operation(std::string_view Id) const;

  /// The whole state. encodeStable() of it is the same in every process.
  wire::State checkpoint();

  /// Replaces the state by \p State if that is newer. Returns true if so.
  bool restore(const wire::State &State);

private:
  /// Handles one kind of record.
  ApplyResult applyBody(std::uint64_t Offset, const wire::LogRecord &Record);
  ApplyResult applyChange(std::uint64_t Offset, const wire::Change &Change);
  ApplyResult applyMember(std::uint64_t Offset, const wire::Member &Member);
  ApplyResult applyTakeOver(std::uint64_t Offset, const wire::TakeOver &Record);
  ApplyResult applyClaim(std::uint64_t Offset, const wire::LogRecord &Record);
  ApplyResult applyOutcome(const wire::ClaimOutcome &Outcome);
  ApplyResult applyAgentLease(std::uint64_t Offset,
                              const wire::AgentLease &Lease);

  void remember(const wire::OperationResult &Result);
  void storeClaim(const wire::ClaimState &Claim);
  void expireClaims(std::int64_t RecordUnixMs);
  void removeMembersNamed(const std::string &Name);

  std::uint64_t Version = 0;
  ConfigPtr Published;
  ConfigBuilder Next;
  bool Dirty = false; ///< objects changed since Published

  std::array<wire::ShardOwner, LimitShardCount> Owners;
  std::map<std::uint64_t, wire::MemberState> Members;
  std::map<std::string, wire::AgentLease, std::less<>> AgentLeases;

  std::map<std::string, wire::ClaimState, std::less<>> Claims;
  std::map<std::uint64_t, std::string> ClaimsByOffset;
  std::set<std::pair<std::int64_t, std::string>> ClaimsByTime;

  std::map<std::string, wire::OperationResult, std::less<>> Operations;
  std::map<std::uint64_t, std::string> OperationsByOffset;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_VERSION_REDUCER_HPP
