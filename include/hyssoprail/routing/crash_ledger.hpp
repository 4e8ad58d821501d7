#ifndef HYSSOPRAIL_ROUTING_CRASH_LEDGER_HPP
#define HYSSOPRAIL_ROUTING_CRASH_LEDGER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/endpoint_record.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::routing {

/// Ids of the parts of a prompt, in their order.
using PromptParts = std::vector<std::string>;

/// Time to return to send with the rejection of a request with a quarantined
/// part. A quarantine ends late, and an attempt before its end is refused
/// again.
constexpr std::chrono::minutes QuarantineRetryAfter{1};

/// A part of prompts that is kept from the engines.
struct QuarantinedPart {
  std::string Part;
  std::size_t Crashes = 0; ///< engines that crashed since its last answer
  TimePoint Until{};
  TimePoint Since{}; ///< when this copy of the ledger first blamed it
  /// Parts that were in all prompts with Part at its crashes and that no engine
  /// has answered: any of them may be the cause instead.
  PromptParts Companions;
};

/// Bounds of the memory and of the messages of a CrashLedger.
struct CrashLedgerBounds {
  std::size_t Crashes = 128;
  std::size_t Suspects = 64;         ///< suspected prompts of a crash
  std::size_t SuspectParts = 1'024;  ///< parts of all of these prompts
  std::size_t AnsweredParts = 4'096; ///< parts that were answered lately
  /// A delta ends after the crash with which it exceeds this size, so that it
  /// fits into a datagram.
  std::size_t DeltaBytes = 16'384;
  /// A record in the store has crashes up to this size, those under blamed
  /// parts and then the newest ones, and as many bytes of the newest answers.
  std::size_t RecordBytes = 131'072;
};

/// Remembers which prompts engines were to answer when they crashed, and blames
/// the part of a prompt that explains the crashes. Load pattern: one part of a
/// prompt crashes each engine that answers it, after any number of events, and
/// requests with it come to all entries. So only the end of an answer shows
/// that its engine survived, and each answer that broke is a suspect.
///
/// A part is blamed after MinCrashes crashes of different engines without an
/// answer to any prompt with it in between. Of parts that explain the same
/// crashes, the one in the fewest prompts is blamed, and of these the one
/// nearest to the end: a part that many requests share is under each crash by
/// chance. It is not blamed while a few parts of fewer prompts may be the
/// cause. Crashes that a blamed part explains do not count against other parts.
///
/// Parts that always came together cannot be told apart. Some time after the
/// blame, only prompts with all of them are kept away: the answer to a sound
/// prompt, or a further crash, then shows which one is the cause.
///
/// Every entry has a copy. The copies are merged: through the coordinator by
/// deltas, and through the store between coordinators that cannot reach each
/// other. What is merged only grows until it expires, so the order and the
/// repetition of deltas do not matter.
class CrashLedger {
public:
  static constexpr std::size_t MinCrashes = 3;

  /// What is remembered of a crash, and so a quarantine, ends after this time.
  static constexpr std::chrono::minutes Lifetime{10};

  /// Bounds of the memory: parts of a prompt, and bytes of an id.
  static constexpr std::size_t MaxParts = 64;
  static constexpr std::size_t MaxIdBytes = 16;

  /// \p Incarnation identifies this copy; it is new at each start of a process.
  explicit CrashLedger(std::uint64_t Incarnation, CrashLedgerBounds Bounds = {})
      : Incarnation(Incarnation), Bounds(Bounds) {}

  /// An engine's connection broke before the end of the answer to a prompt that
  /// was sent at \p SentAt. Nothing is recorded if the engine had crashed
  /// before.
  void recordCrash(const EndpointRecord &Engine, const PromptParts &Parts,
                   TimePoint Now, TimePoint SentAt = {});

  /// An engine has sent the whole answer to a prompt with these parts.
  void recordAnswer(const PromptParts &Parts, TimePoint Now);

  /// An engine sends data on a connection that is in use since \p Since. If a
  /// crash was recorded for it meanwhile, it did not crash.
  void recordAlive(std::string_view EngineId, TimePoint Since, TimePoint Now);

  /// True if a prompt with \p Parts has to be kept from the engines.
  bool isQuarantined(const PromptParts &Parts, TimePoint Now);

  /// All parts that are quarantined.
  const std::vector<QuarantinedPart> &quarantined(TimePoint Now);

  /// True if some part is at two crashes or more, so that coordinators which
  /// cannot reach each other should know of them.
  bool worthPublishing(TimePoint Now);

  std::size_t crashCount() const { return Crashes.size(); }

  /// Grows with each change of the content.
  std::uint64_t revision() const { return Revision; }

  /// \p Peer runs with the ledger \p PeerIncarnation; a new one knows nothing.
  void notePeer(const std::string &Peer, std::uint64_t PeerIncarnation);

  /// True if \p Peer has not confirmed the newest changes, or is to be told
  /// that its own have arrived.
  bool hasNewsFor(const std::string &Peer) const;

  /// Fills the changes that \p Peer has not confirmed.
  void fillDelta(const std::string &Peer, wire::CrashDelta &Out, TimePoint Now);

  /// Merges the changes that \p Peer has sent.
  void applyDelta(const std::string &Peer, const wire::CrashDelta &In,
                  TimePoint Now);

  /// Forgets how far the peers are which are not in \p Names.
  void keepPeers(const std::set<std::string> &Names);
  std::size_t peerCount() const { return Peers.size(); }

  /// Encodes the content for the store, and merges what another entry has
  /// written there. The store keeps records longer than processes live, so
  /// their age is told by the time of day: \p UnixMicros is the present one.
  std::string encode(TimePoint Now, std::int64_t UnixMicros);
  void merge(std::string_view Encoded, TimePoint Now, std::int64_t UnixMicros);
  void fillRecord(wire::CrashDelta &Out, TimePoint Now,
                  std::int64_t UnixMicros);
  void mergeRecord(const wire::CrashDelta &In, TimePoint Now,
                   std::int64_t UnixMicros);

private:
  /// Times of the same break, at one entry or told by several, differ by less
  /// than this.
  static constexpr std::chrono::milliseconds SameBreak{1'000};

  struct Crash {
    std::string EngineId;
    std::int64_t StartedAtMs = 0;
    TimePoint At{};
    bool AliveAfter = false; ///< the engine sent data later: no crash
    /// An earlier break of this incarnation proved to be no crash, so what
    /// others tell of that one is out of date.
    bool BrokeBefore = false;
    std::set<PromptParts> Suspects;
    std::uint64_t Revision = 0; ///< of its last change
  };

  struct Answer {
    TimePoint At{};
    std::uint64_t Revision = 0;
  };

  /// What speaks against a part.
  struct Suspicion {
    std::string Part;
    std::set<std::string> Crashes;   ///< keys
    std::set<std::string> LastParts; ///< of the prompts at these crashes
    std::size_t Depth = 0;           ///< its position in the prompts
    bool Answered = false;           ///< before these crashes

    /// True if it was in fewer prompts than \p Other, or as deep in as many.
    bool isRarerThan(const Suspicion &Other) const;

    bool IsWhole = true; ///< it is the only part wherever it occurs
    TimePoint FirstCrashAt = TimePoint::max();
    TimePoint LastCrashAt{};
  };

  /// How far the exchange with a peer is.
  struct Peer {
    std::uint64_t Incarnation = 0;
    std::uint64_t Received = 0;  ///< revision of the peer that is merged here
    std::uint64_t Confirmed = 0; ///< own revision that the peer has merged
    bool ConfirmationDue = false;
  };

  static std::string shortId(std::string_view EngineId);
  static std::string keyOf(std::string_view EngineId, std::int64_t StartedAtMs);
  static PromptParts bounded(const PromptParts &Parts);
  Crash &crash(const std::string &EngineId, std::int64_t StartedAtMs,
               TimePoint At);
  void replaceDisproved(Crash &C, TimePoint At);
  void noteBrokeBefore(Crash &C);
  static std::size_t suspectParts(const Crash &C);
  void addSuspect(Crash &C, PromptParts Parts);
  void addAnswer(const std::string &Part, TimePoint At);
  void noteChange(std::uint64_t &ItemRevision);
  bool isEvidence(const Crash &C) const;
  bool countsAgainst(const Crash &C, const std::string &Part) const;
  void expire(TimePoint Now);
  void makeRoom(TimePoint Now);
  void findSuspectedParts();
  std::set<std::string> crashesUnderBlame() const;
  std::vector<Suspicion> suspicions() const;
  static bool isAmbiguous(const Suspicion &S,
                          const std::vector<Suspicion> &All);
  bool isBlamed(const Suspicion &S, const std::vector<Suspicion> &All,
                const std::set<std::string> &Explained) const;
  static std::optional<TimePoint>
  settled(const std::vector<QuarantinedPart> &Before, const Suspicion &S,
          const std::vector<Suspicion> &All, TimePoint Now);
  PromptParts companions(const Suspicion &S) const;
  static bool isCovered(const Suspicion &S, const std::vector<Suspicion> &All);
  void refresh(TimePoint Now);
  void fillCrash(const Crash &C, wire::EngineCrash &Out, TimePoint Now) const;
  void mergeCrash(const wire::EngineCrash &In, Duration Delay, TimePoint Now);
  void mergeContent(const wire::CrashDelta &In, Duration Delay, TimePoint Now);

  std::uint64_t Incarnation;
  CrashLedgerBounds Bounds;
  std::uint64_t Revision = 0;
  std::map<std::string, Crash> Crashes; ///< by keyOf()
  /// All parts that occur in Crashes, so that the answer to any other part is
  /// recorded without a look at the crashes.
  std::unordered_set<std::string> SuspectedParts;
  /// Newest answer of the parts that occur in Crashes.
  std::map<std::string, Answer, std::less<>> Answers;
  /// Newest answers that this entry has seen itself, of all parts; the older
  /// half is dropped when the newer one is full.
  std::map<std::string, TimePoint, std::less<>> RecentAnswers;
  std::map<std::string, TimePoint, std::less<>> OlderAnswers;
  std::map<std::string, Peer> Peers;
  TimePoint NewestCrashAt{};
  bool Dirty = false; ///< Quarantine and MostCrashes are out of date
  TimePoint NextExpiry = TimePoint::max();
  std::vector<QuarantinedPart> Quarantine;
  std::size_t MostCrashes = 0; ///< largest number that counts against a part
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_CRASH_LEDGER_HPP
