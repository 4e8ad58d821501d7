#ifndef HYSSOPRAIL_VERSION_CONFIG_STORE_HPP
#define HYSSOPRAIL_VERSION_CONFIG_STORE_HPP

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hyssoprail/version/reducer.hpp"

namespace hyssoprail {

/// What subscribers learn after records were applied.
struct ConfigUpdate {
  ConfigPtr Config;
  std::vector<wire::OffsetRecord> Records; ///< newly applied, in log order
  bool Restored = false; ///< a checkpoint was loaded; records were skipped
};

/// What became of a batch.
struct BatchResult {
  std::uint64_t Version = 0; ///< version afterwards
  std::size_t Applied = 0;   ///< records that were counted
  bool Gap = false;          ///< records before the batch are missing
  bool Restored = false;     ///< a checkpoint in the batch was loaded
};

/// Thread-safe holder of the reduced log and of its newest records, from which
/// other processes are served.
///
/// \code
///   Store.subscribe([](const ConfigUpdate &U) { ... });
///   Store.apply(Records);
///   ConfigPtr Now = Store.current();
/// \endcode
class ConfigStore {
public:
  using Subscriber = std::function<void(const ConfigUpdate &)>;

  /// Keeps the newest \p MaxRecords records for other processes.
  explicit ConfigStore(std::size_t MaxRecords = 8'192);

  /// Applies records in offset order. Records that were applied before are
  /// skipped. If records are missing before the batch and the batch has a
  /// checkpoint that is newer than the state, that is loaded first.
  BatchResult apply(const std::vector<wire::OffsetRecord> &Records);

  /// Loads \p State if it is newer. Returns true if so.
  bool restore(const wire::State &State);

  /// The configuration now. Cheap; may be called for every request.
  ConfigPtr current() const;

  /// Records after \p Version, at most \p MaxCount of them, or the whole state
  /// if they are no longer kept.
  std::variant<wire::ConfigRecords, wire::ConfigSnapshot>
  recordsAfter(std::uint64_t Version, std::size_t MaxCount = 512) const;

  /// Adds a function that is called after each change, in version order and
  /// never twice at the same time. It must not call apply or restore.
  void subscribe(Subscriber Function);

  wire::ShardOwner shardOwner(std::uint32_t Shard) const;
  std::vector<wire::MemberState> members() const;
  std::optional<wire::ClaimState> claim(std::string_view Id) const;
  std::optional<wire::AgentLease> agentLease(std::string_view Endpoint) const;
  std::optional<wire::OperationResult> operation(std::string_view Id) const;
  wire::State checkpoint() const;

  /// Offset of the newest checkpoint record seen, or the version of a loaded
  /// snapshot, which may stand for one; 0 if there was neither.
  std::uint64_t checkpointOffset() const;

private:
  void applyLocked(const std::vector<wire::OffsetRecord> &Records,
                   ConfigUpdate &Update, BatchResult &Result);
  bool restoreFrom(const std::vector<wire::OffsetRecord> &Records);
  void keep(const wire::OffsetRecord &Record);
  void publish(ConfigUpdate &Update);

  const std::size_t MaxRecords;

  /// Held during a whole apply with its callbacks, so that subscribers see
  /// versions in order.
  std::mutex ApplyMutex;
  std::vector<Subscriber> Subscribers;

  mutable std::mutex StateMutex;
  mutable Reducer State;
  std::deque<wire::OffsetRecord> Newest;
  std::uint64_t NewestCheckpoint = 0;

  mutable std::mutex CurrentMutex;
  ConfigPtr Current;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_VERSION_CONFIG_STORE_HPP
