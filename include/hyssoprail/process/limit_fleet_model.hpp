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

/// Behaviour of the modelled fleet.
struct LimitFleetOptions {
  bool UseFixedLimits = false; ///< baseline in place of owners
  LimitOptions Limits;
  std::uint64_t Seed = 1;
  milliseconds NetworkDelayMin{1};
  milliseconds NetworkDelayMax{2};
  double LoseMessage = 0;
  double RepeatMessage = 0; ///< a copy arrives up to 3 s later
  milliseconds LogDelay{5}; ///< each way
  double LoseLogAnswer = 0; ///< of reads and of appends
  bool FollowPeers = true;  ///< entries also take records from each other
  milliseconds Tick{20};
};

/// What became of one modelled request.
struct LimitOutcome {
  TimePoint At;
  std::size_t Entry = 0;
  std::string Account;
  std::uint64_t Tokens = 0;
  bool WithinRate = false; ///< an ideal central bucket granted it
  bool Granted = false;
  bool Answered = false; ///< false if its entry died first
  Duration Waited{0};
};

/// Model of a fleet of entries with their limit services, a linearizable log
/// and a network, on a paused clock, for tests and benchmarks. Times given to
/// its functions and callbacks are true time; each entry has a drifting clock.
class LimitFleetModel {
public:
  explicit LimitFleetModel(LimitFleetOptions Options);
  ~LimitFleetModel();

  /// Starts an entry, which appends its Member record. \p Drift is the relative
  /// error of its clock. Returns its number.
  std::size_t addEntry(double Drift = 0);

  void kill(std::size_t Entry);
  void pause(std::size_t Entry, Duration Length);
  void setLeaving(std::size_t Entry);

  /// Cuts or restores the connection between two entries.
  void setLinkDown(std::size_t A, std::size_t B, bool Broken);
  /// Cuts or restores an entry's connection to the log.
  void setLogLinkDown(std::size_t Entry, bool Broken);
  void setLogDown(bool Down) { LogDown = Down; }
  void setLogDelay(milliseconds To) { Options.LogDelay = To; }

  /// Appends a change of an account at once.
  void setAccount(const std::string &Account,
                  std::optional<AccountLimit> Limit);

  /// Asks for a debit now; \p Unused tokens are returned after \p Hold.
  void request(std::size_t Entry, const std::string &Account,
               std::uint64_t Tokens, std::uint64_t Unused, Duration Hold);

  /// Calls \p What at \p At, which must not be past.
  void schedule(TimePoint At, std::function<void()> What);

  /// Runs all events up to \p Until.
  void runUntil(TimePoint Until);

  TimePoint now() const { return True; }
  bool alive(std::size_t Entry) const;
  /// True if callers send requests to the entry: it lives and is not leaving.
  bool serving(std::size_t Entry) const;
  std::size_t entries() const { return Entries.size(); }
  std::uint64_t ownerEntry(const std::string &Account) const;
  LimitStatus status(std::size_t Entry) const;
  const LimitAudit &audit() const { return Audit; }
  std::uint64_t checkViolations() const { return Checks.violations(); }
  const std::vector<LimitOutcome> &outcomes() const { return Outcomes; }
  std::uint64_t messages(std::size_t Entry) const;
  std::uint64_t messageBytes(std::size_t Entry) const;

private:
  struct Entry;
  struct Scheduled {
    TimePoint At;
    std::uint64_t Order;
    std::function<void()> What;
    bool operator>(const Scheduled &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  void after(Duration Delay, std::function<void()> What);
  Duration networkDelay();
  bool connected(std::size_t A, std::size_t B) const;
  bool logReachable(const Entry &Of) const;
  void deliver(std::size_t To, std::function<void(Entry &)> What);
  void perform(Entry &Of, LimitActions &Actions);
  void sendMessage(Entry &From, const SendToEntry &Action);
  void append(std::size_t From, const std::string &OperationId,
              const LimitLogModel::Record &Body);
  void read(std::size_t From, std::optional<std::uint64_t> ReadId);
  void apply(Entry &Of, std::uint64_t Version);
  void tick(std::size_t Index);
  void poll(std::size_t Index);
  void heartbeat(std::size_t Index);
  void updatePeers(Entry &Of);
  void answered(Entry &Of, const AnswerDebit &Answer);
  void updateAuditLimits();

  LimitFleetOptions Options;
  RandomSource Random;
  ManualClock EventClock;
  Timeline Events;
  Invariants Checks;
  TimePoint True{std::chrono::seconds(1'000)};
  std::uint64_t Order = 0;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> Queue;
  LimitLogModel Log;
  bool LogDown = false;
  std::vector<std::unique_ptr<Entry>> Entries;
  std::map<std::uint64_t, std::size_t> ByIncarnation;
  std::set<std::pair<std::size_t, std::size_t>> Cuts;
  LimitAudit Audit;
  std::map<std::string, AccountLimit> AuditLimits;
  std::map<std::string, TokenBucket> Ideal;
  std::vector<LimitOutcome> Outcomes;
  struct OpenRequest {
    std::size_t Outcome;
    std::uint64_t Unused;
    Duration Hold;
  };
  std::map<std::string, OpenRequest> OpenRequests;
  std::uint64_t Requests = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_LIMIT_FLEET_MODEL_HPP
