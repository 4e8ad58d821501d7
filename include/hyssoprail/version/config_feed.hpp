#ifndef HYSSOPRAIL_VERSION_CONFIG_FEED_HPP
#define HYSSOPRAIL_VERSION_CONFIG_FEED_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/version/config_store.hpp"

namespace hyssoprail {

/// What a heartbeat or its ack says about another process.
struct FeedPeer {
  std::string Name;
  bool IsEntry = false;
  std::string Zone;
  std::uint64_t Version = 0;
  std::chrono::milliseconds LogAge{0}; ///< entries: since it read the log's end
};

/// One answer of the log.
struct LogPage {
  std::uint64_t First = 0; ///< oldest kept offset
  std::uint64_t End = 0;   ///< newest offset
  std::vector<wire::OffsetRecord> Records;
};

// Actions of a feed.

/// Ask this process for records.
struct AskPeer {
  std::string Peer;
  wire::ConfigRequest Request;
};

/// Send records to this process.
struct SendRecords {
  std::string Peer;
  wire::ConfigRecords Records;
};

/// Send the whole state to this process.
struct SendSnapshot {
  std::string Peer;
  wire::ConfigSnapshot Snapshot;
};

/// Start a read of the log; answer with logRead, logPassed or logFailed.
struct ReadLog {
  std::uint64_t After = 0;
};

/// Append this checkpoint.
struct AppendCheckpoint {
  wire::LogRecord Record;
};

using FeedAction =
    std::variant<AskPeer, SendRecords, SendSnapshot, ReadLog, AppendCheckpoint>;
using FeedActions = std::vector<FeedAction>;

struct FeedOptions {
  std::string Name;
  std::string Zone;
  bool IsEntry = false; ///< agents do not read the log

  unsigned ReadersPerZone = 3; ///< entries of a zone that read the log
  unsigned FanOut = 8;         ///< entries that take records from one entry

  /// Entries that push to one agent. With two, one lost push or entry costs
  /// nothing; more would multiply the traffic of each agent by the number of
  /// entries.
  unsigned PushersPerAgent = 2;

  std::chrono::milliseconds PeerTimeout{2'000};  ///< silence until forgotten
  std::chrono::milliseconds AskDelay{100};       ///< time for a push to arrive
  std::chrono::milliseconds ReaderAskDelay{500}; ///< the same for log readers
  std::chrono::milliseconds AskTimeout{500};     ///< doubles up to 8 times
  std::chrono::milliseconds LogRetry{250};       ///< after a failed read
  /// Without news of the log for this time, an entry below the readers reads
  /// the log itself.
  std::chrono::milliseconds ReaderSilence{1'500};

  /// Least distance of checkpoints while the log has not dropped any record,
  /// so that a new log does not consist of checkpoints.
  std::uint64_t MinCheckpointDistance = 32;
  /// Wait before a checkpoint, times this entry's rank, so that one of several
  /// entries appends it.
  std::chrono::milliseconds CheckpointStagger{500};
  std::chrono::milliseconds CheckpointRetry{2'000};
};

/// Decides how the configuration spreads: what this process asks from whom,
/// what it sends to whom, whether it reads the log, and when it appends a
/// checkpoint. Not thread-safe; the store may be used elsewhere at the same
/// time, but only the feed may apply records to it.
///
/// \code
///   for (const FeedAction &A : Feed.peerHeard(Peer, Now)) ...
///   for (const FeedAction &A : Feed.tick(Now)) ... // every 50 ms
/// \endcode
class ConfigFeed {
public:
  ConfigFeed(FeedOptions Options, ConfigStore &Store);

  /// A heartbeat or ack arrived.
  FeedActions peerHeard(const FeedPeer &Peer, TimePoint Now);

  FeedActions request(const std::string &Peer,
                      const wire::ConfigRequest &Request);

  /// Records arrived. \p Peer is "" if this process read them from the log for
  /// another purpose.
  FeedActions records(const std::string &Peer,
                      const wire::ConfigRecords &Records, TimePoint Now);
  FeedActions snapshot(const std::string &Peer,
                       const wire::ConfigSnapshot &Snapshot, TimePoint Now);

  /// The log answered.
  FeedActions logRead(const LogPage &Page, TimePoint Now);

  /// The log has dropped the record that was asked for; \p First is the oldest
  /// kept one.
  FeedActions logPassed(std::uint64_t First, TimePoint Now);

  /// The read failed or timed out.
  FeedActions logFailed(TimePoint Now);

  /// Repeats what was lost; call it every 50 ms or so.
  FeedActions tick(TimePoint Now);

  /// True if this process is among the readers of its zone.
  bool isReader() const;

  /// Name of the entry that sends records here, or "" for readers and agents.
  std::string parent() const;

private:
  struct PeerState {
    FeedPeer Last;
    TimePoint HeardAt;
    unsigned Unanswered = 0;
  };

  /// Entries of this zone with this one, in the order of the tree.
  std::vector<std::string> zoneOrder() const;
  std::string parentOf(std::size_t Rank,
                       const std::vector<std::string> &Order) const;
  std::size_t rankAmongEntries(std::string_view Item) const;

  void forgetSilentPeers(TimePoint Now);
  /// Notes that \p Peer has \p Version, and nothing newer if \p Newest.
  void noteVersion(const std::string &Peer, std::uint64_t Version, bool Newest);
  void advanced(std::uint64_t Before, const std::string &From,
                FeedActions &Out);
  bool pushesTo(const PeerState &Peer,
                const std::vector<std::string> &Order) const;

  void ask(TimePoint Now, FeedActions &Out);
  const PeerState *peerToAsk() const;
  bool waitsForAnswer(TimePoint Now) const;
  std::chrono::milliseconds askDelay() const;

  void readLog(TimePoint Now, FeedActions &Out);
  bool readsLog(TimePoint Now) const;
  void checkpoint(TimePoint Now, FeedActions &Out);
  bool checkpointTooOld() const;

  std::uint64_t version() const { return Store.current()->version(); }

  const FeedOptions Options;
  ConfigStore &Store;
  std::map<std::string, PeerState> Peers;

  std::optional<TimePoint> BehindSince;
  std::string AskedPeer; ///< "" if no answer is awaited
  TimePoint AskedAt;

  bool Reading = false;
  TimePoint NextRead;
  /// Position of the search for a checkpoint after retention has passed this
  /// reader.
  std::optional<std::uint64_t> SearchAfter;
  std::uint64_t LogFirst = 0;
  std::uint64_t LogEnd = 0;

  std::optional<TimePoint> CheckpointDue;
  std::optional<TimePoint> CheckpointSent;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_VERSION_CONFIG_FEED_HPP
