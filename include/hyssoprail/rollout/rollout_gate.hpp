#ifndef HYSSOPRAIL_ROLLOUT_ROLLOUT_GATE_HPP
#define HYSSOPRAIL_ROLLOUT_ROLLOUT_GATE_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/rollout/rollout_evidence.hpp"

namespace hyssoprail::rollout {

/// Which endpoints of a service a request may use.
struct VersionChoice {
  enum class Kind {
    Any,    ///< no rollout is known: of all established versions
    Old,    ///< of all versions but the target
    Target, ///< of the target only
    Later,  ///< none before the completion of the rollout
  };

  Kind Use = Kind::Any;
  std::string Target; ///< version in question, unless Any
  Duration Wait{};    ///< Later: until the completion is due
};

/// What a request is to a rollout.
struct RolloutRequest {
  std::string_view Service;
  bool Repeatable = false; ///< may run again at another endpoint
  unsigned Sends = 1;      ///< planned sends to endpoints of the service
  Duration ExpectedRun{};
};

/// How a send to an endpoint of a version ended.
struct VersionAnswer {
  std::string_view Service;
  std::string_view Route;
  std::string_view Version;
  std::string_view Endpoint;
  enum class Result {
    Success,
    Failure, ///< the endpoint answered with an error or with wrong bytes
    Lost,    ///< the connection broke or the endpoint fell silent
  } Outcome = Result::Success;
  Duration Latency{}; ///< to the whole answer, or the first event of a stream
  Duration EndpointAge{}; ///< since the entry first saw its registration
};

/// An entry's part in rollouts: divides its requests between the versions
/// within what the coordinator allows, and counts how both versions answer.
/// Without a decision of the coordinator nothing goes to the target. After a
/// rollback nothing goes there again, whatever arrives later.
class RolloutGate {
public:
  /// Applies a decision of the coordinator. One for an older order is ignored.
  void applyDecision(const RolloutDecision &Decision);

  /// Applies a state that the store has.
  void applyStored(const std::string &Service, const std::string &Target,
                   OrderId Order, RolloutState State);

  /// Chooses the version for a request that arrives now, and charges it.
  VersionChoice choose(const RolloutRequest &Request, TimePoint Now);

  /// Takes back what choose() charged for a request of which nothing was sent.
  void refund(const RolloutRequest &Request, const VersionChoice &Choice);

  /// What a request that chose \p Chosen for \p Service may use now: the old
  /// version after a rollback, the target after a completion.
  VersionChoice update(std::string_view Service,
                       const VersionChoice &Chosen) const;

  /// True if a rollout of \p Service is known, whatever its state.
  bool knows(std::string_view Service) const {
    return Rollouts.contains(Service);
  }

  /// Charges a send beyond those planned in choose().
  void recordExtraSend(std::string_view Service, std::string_view Version);

  void runBegan(std::string_view Service, std::string_view Version,
                bool Repeatable);
  void runEnded(std::string_view Service, std::string_view Version,
                bool Repeatable, Duration RunTime, TimePoint Now);

  /// Counts an answer. Answers lost at one endpoint within a short time count
  /// once, as one crash breaks all of its requests. The latency of an endpoint
  /// that started only seconds ago is not judged.
  void recordAnswer(const VersionAnswer &Answer, TimePoint Now);

  /// True if requests may be sent to endpoints of \p Version; \p Choice is
  /// what choose() returned for the request.
  static bool allows(const VersionChoice &Choice, std::string_view Version);

  /// True if \p Version is the target of an order for \p Service that has not
  /// been completed.
  bool isUnproven(std::string_view Service, std::string_view Version) const;

  std::vector<RolloutEvidence> evidence(TimePoint Now) const;

private:
  struct Rollout {
    RolloutDecision Decision;
    bool IsFinal = false;    ///< the store has a final state of the order
    TimePoint CompletedAt{}; ///< when a request first found it completed
    bool IsOver = false;     ///< it no longer decides which endpoints are used
    RolloutEvidence Counts;
    /// True if \p Next is the same order, read again after the store came back
    /// from a copy, and the rollout has ended.
    bool isSettledFor(const RolloutDecision &Next) const {
      return (IsFinal || Decision.Phase == RolloutPhase::RolledBack) &&
             Decision.Target == Next.Target &&
             Decision.Order.Era < Next.Order.Era;
    }

    /// When an answer was last lost, by endpoint.
    std::map<std::string, TimePoint, std::less<>> LostAt;
    std::deque<std::pair<TimePoint, Duration>> OldRunTimes;
  };

  Rollout *find(std::string_view Service);
  static bool isOver(Rollout &R, TimePoint Now);
  VersionChoice chooseInShift(Rollout &R, const RolloutRequest &Request,
                              TimePoint Now);
  bool takeAllowance(Rollout &R, unsigned Sends);

  std::map<std::string, Rollout, std::less<>> Rollouts; ///< by service
  std::set<OrderId> RolledBack;
  /// Targets of orders that were rolled back, by service.
  std::map<std::string, std::set<std::string, std::less<>>, std::less<>>
      Rejected;
};

} // namespace hyssoprail::rollout

#endif // HYSSOPRAIL_ROLLOUT_ROLLOUT_GATE_HPP
