#ifndef HYSSOPRAIL_PROCESS_LIMIT_FLEET_MODEL_HPP
#define HYSSOPRAIL_PROCESS_LIMIT_FLEET_MODEL_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "hyssoprail/process/limit_audit.hpp"
#include "hyssoprail/process/limit_log_model.hpp"
#include "hyssoprail/process/limit_service.hpp"
#include "hyssoprail/process/token_bucket.hpp"

namespace hyssoprail {

/// Options of the modelled fleet, its network and its log.
struct LimitFleetOptions {
  bool UseFixedLimits = false; ///< baseline instead of owners
  LimitOptions Limits;
  std::uint64_t Seed = 1;
  milliseconds NetworkDelayMin{1};
  milliseconds NetworkDelayMax{2};
  double MessageLoss = 0; ///< probability
  /// Probability; the copy arrives up to 3 s later.
  double MessageDuplication = 0;
  milliseconds LogDelay{5}; ///< one way
  double LogReplyLoss = 0;  ///< probability that a read gets no reply
  bool FollowPeers = true;  ///< entries also fetch records from each other
  milliseconds TickInterval{20};
};

/// Outcome of one modelled request.
struct LimitOutcome {
  TimePoint At;
  std::size_t Entry = 0;
  std::string Account;
  std::uint64_t Tokens = 0;
  bool WithinRate = false; ///< an ideal central bucket would grant it
  bool Granted = false;
  bool Answered = false; ///< false if its entry was killed first
  Duration Waited{0};
};

/// Discrete-event simulation of a fleet of entries with their limit services, a
/// linearizable log and a network, for tests and benchmarks. All times in this
/// interface are simulated true time; each entry has its own drifting clock.
class LimitFleetModel {
public:
  explicit LimitFleetModel(LimitFleetOptions Options);
  ~LimitFleetModel();

  /// Starts an entry, which appends its Member record. \p Drift is the relative
  /// error of its clock. Returns its index.
  std::size_t addEntry(double Drift = 0);

  void kill(std::size_t Entry);
  void pause(std::size_t Entry, Duration Length);
  void setLeaving(std::size_t Entry);

  /// Cuts (\p Down) or restores the connection between two entries.
  void setLinkDown(std::size_t A, std::size_t B, bool Down);
  /// Cuts (\p Down) or restores an entry's connection to the log.
  void setLogLinkDown(std::size_t Entry, bool Down);
  void setLogDown(bool Down) { LogDown = Down; }
  void setLogDelay(milliseconds To) { Options.LogDelay = To; }

  /// Appends a change of an account to the log at once; nullopt removes the
  /// account.
  void setAccount(const std::string &Account,
                  std::optional<AccountLimit> Limit);

  /// Requests a debit now. If it is granted, \p Unused tokens are refunded
  /// after \p RefundDelay.
  void request(std::size_t Entry, const std::string &Account,
               std::uint64_t Tokens, std::uint64_t Unused,
               Duration RefundDelay);

  /// Calls \p Callback at \p At, which must not be in the past.
  void schedule(TimePoint At, std::function<void()> Callback);

  /// Runs all events up to and including \p Until, and advances the time to it.
  void runUntil(TimePoint Until);

  TimePoint now() const { return TrueTime; }
  bool alive(std::size_t Entry) const;
  /// True if callers send requests to the entry: it is alive and not leaving.
  bool serving(std::size_t Entry) const;
  std::size_t entries() const { return Entries.size(); }
  std::uint64_t ownerEntry(const std::string &Account) const;
  LimitStatus status(std::size_t Entry) const;
  const LimitAudit &audit() const { return Audit; }
  std::uint64_t invariantViolations() const { return Checks.violations(); }
  const std::vector<LimitOutcome> &outcomes() const { return Outcomes; }
  std::uint64_t messages(std::size_t Entry) const;
  std::uint64_t messageBytes(std::size_t Entry) const;

private:
  struct Entry;
  struct ScheduledEvent {
    TimePoint At;
    std::uint64_t Sequence;
    std::function<void()> Callback;
    bool operator>(const ScheduledEvent &Other) const {
      return std::tie(At, Sequence) > std::tie(Other.At, Other.Sequence);
    }
  };

  void scheduleAfter(Duration Delay, std::function<void()> Callback);
  Duration networkDelay();
  bool connected(std::size_t A, std::size_t B) const;
  bool logReachable(const Entry &Target) const;
  void runInEntry(std::size_t To, std::function<void(Entry &)> Callback);
  void executeActions(Entry &Target, LimitActions &Actions);
  void sendMessage(Entry &From, const SendToEntry &Action);
  void append(std::size_t From, const std::string &OperationId,
              const LimitLogModel::Record &Body);
  void read(std::size_t From, std::optional<std::uint64_t> ReadId);
  void apply(Entry &Target, std::uint64_t Version);
  void tick(std::size_t Index);
  void poll(std::size_t Index);
  void heartbeat(std::size_t Index);
  void updatePeers(Entry &Target);
  void handleAnswer(Entry &Target, const AnswerDebit &Answer);
  void updateAuditLimits();

  LimitFleetOptions Options;
  RandomSource Random;
  ManualClock EventClock;
  Timeline Events;
  Invariants Checks;
  TimePoint TrueTime{std::chrono::seconds(1'000)};
  std::uint64_t Sequence = 0;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>,
                      std::greater<>>
      Queue;
  LimitLogModel Log;
  bool LogDown = false;
  std::vector<std::unique_ptr<Entry>> Entries;
  std::map<std::uint64_t, std::size_t> ByIncarnation;
  std::set<std::pair<std::size_t, std::size_t>> DownLinks;
  LimitAudit Audit;
  std::map<std::string, AccountLimit> AuditLimits;
  std::map<std::string, TokenBucket> IdealBuckets;
  std::vector<LimitOutcome> Outcomes;
  struct OpenRequest {
    std::size_t Outcome;
    std::uint64_t Unused;
    Duration RefundDelay;
  };
  std::map<std::string, OpenRequest> OpenRequests;
  std::uint64_t Requests = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_LIMIT_FLEET_MODEL_HPP
