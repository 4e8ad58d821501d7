#ifndef HYSSOPRAIL_ROUTING_REQUEST_VERSION_HPP
#define HYSSOPRAIL_ROUTING_REQUEST_VERSION_HPP

#include <optional>
#include <string>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/rollout/rollout_gate.hpp"
#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/routing/flow_io.hpp"

namespace hyssoprail::routing {

/// One request's part in the rollout of its service: which endpoints it may
/// use, and the counts of its sends and answers. The version is chosen once;
/// it changes only if the rollout ends, or if the target does not serve the
/// request and the old version may. Without a gate all endpoints may be used.
/// Load pattern: requests with several sends, in flight when a rollout ends.
class RequestVersion {
public:
  using Result = rollout::VersionAnswer::Result;

  /// A send to an endpoint.
  struct Run {
    std::string Endpoint;
    std::string Version;
    std::string Route; ///< under which its answer counts
    TimePoint BeganAt{};
    Duration EndpointAge{};
    /// From the send to the first event of a stream.
    std::optional<Duration> FirstEvent;
  };

  /// \p Repeatable: the request may run again at another endpoint. \p Sends:
  /// planned sends.
  RequestVersion(rollout::RolloutGate *Gate, EndpointTable &Table,
                 std::string Service, std::string Route, bool Repeatable,
                 unsigned Sends)
      : Gate(Gate), Table(Table), Service(std::move(Service)),
        Route(std::move(Route)), Repeatable(Repeatable), Planned(Sends) {}

  /// Chooses the version. Returns how long the request has to wait if it may
  /// use none now.
  std::optional<milliseconds> choose(Duration ExpectedRun, TimePoint Now);

  /// True if the request may be sent to \p E.
  bool allows(const Endpoint &E);

  /// Endpoints of the service that the request may not use.
  std::vector<std::string> disallowed();

  /// The version that the request must use. Empty: any version but the target
  /// of a rollout that has not been completed. A pinned version counts only if
  /// the service has others, so that a service with one version has one queue.
  std::string required();

  /// The target does not serve the request: lets it use the old version while
  /// that is in service. Returns false if it may use no other version.
  bool fallBack();

  /// A part of the answer from \p Version has reached the caller: the rest has
  /// to come from the same version. Only if a rollout completes and the old
  /// endpoints stop does the rest come from the target.
  void keepVersion(const std::string &Version) {
    Kept = true;
    if (!Gate || !Gate->knows(Service))
      pin(Version);
  }

  /// Lets the request use endpoints of \p Version only.
  void pin(const std::string &Version) { Pinned = Version; }
  void unpin() { Pinned.reset(); }

  /// No endpoint may be used any more: the version from which the answer began
  /// was rolled back.
  bool isBarred();

  /// Counts a send. \p Part, if not empty, is appended to the route under which
  /// the answer counts: answers of a prefill are not compared with those of a
  /// decode.
  Run begin(const Endpoint &E, TimePoint Now, std::string_view Part = "");

  /// Counts the end of a send, and its answer if there is one to judge.
  void end(const Run &R, std::optional<Result> Answer, TimePoint Now);

  /// Refunds what choose() charged for a request of which nothing was sent.
  void giveBack();

private:
  void update();
  rollout::RolloutRequest request() const {
    return {Service, Repeatable, Planned, {}};
  }

  rollout::RolloutGate *Gate;
  EndpointTable &Table;
  std::string Service;
  std::string Route;
  bool Repeatable;
  unsigned Planned;
  unsigned Sent = 0;
  bool Chosen = false;
  bool Kept = false;
  std::optional<std::string> Pinned;
  rollout::VersionChoice Charged; ///< what choose() returned
  rollout::VersionChoice Choice;  ///< at present
};

/// The evidence that the end of a leg gives on its version; nullopt if the
/// endpoint has not run the request.
std::optional<RequestVersion::Result> versionEvidence(const LegResult &R);

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_REQUEST_VERSION_HPP
