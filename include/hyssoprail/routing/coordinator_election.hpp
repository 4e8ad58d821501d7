#ifndef HYSSOPRAIL_ROUTING_COORDINATOR_ELECTION_HPP
#define HYSSOPRAIL_ROUTING_COORDINATOR_ELECTION_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/routing/own_delay.hpp"

namespace hyssoprail::routing {

/// An entry's claim to be the coordinator of all entries (router processes).
struct CoordinatorClaim {
  std::string Name;
  std::uint64_t Incarnation = 0;
  std::string Address;       ///< "IP:PORT" where it receives reports
  std::uint64_t Term = 0;    ///< increases with each claim
  std::size_t Followers = 0; ///< entries that report to it, itself included
  std::size_t Known = 1; ///< entries that report to it or did until recently
  bool Leaving = false;
  /// Entries that claim after it, in this order.
  std::vector<std::string> Deputies;

  bool hasMajority() const { return Followers * 2 >= Known; }
};

/// Elects the coordinator. An entry follows the coordinator whose claims it
/// receives; if there are none, the deputies of the last coordinator claim in
/// turn, the first one first. There is only soft state. During a network
/// partition each side may have a coordinator; this harms no request, since
/// engines refuse work beyond their memory. When two coordinators receive each
/// other's claims again, one that reaches a majority of its known entries wins
/// over one that does not, then the higher term wins. An entry that is paused
/// or short of processor time does not count its own delay as silence of the
/// coordinator, so entries that are not late claim before it.
class CoordinatorElection {
public:
  CoordinatorElection(std::string OwnName, std::uint64_t OwnIncarnation)
      : OwnName(std::move(OwnName)), OwnIncarnation(OwnIncarnation) {}

  /// Starts to look for a coordinator. \p Rank is the number of announced
  /// entries that should claim before this one.
  void start(std::size_t Rank, TimePoint Now);

  /// Handles a received claim. \p ConfirmsReport tells whether its sender has
  /// recently confirmed a report of this entry; a coordinator that does not
  /// receive our reports is of no use. Returns true if this entry now follows
  /// another claim than before.
  bool handleClaim(const CoordinatorClaim &Claim, bool ConfirmsReport,
                   TimePoint Now);

  /// \p Followers and \p Known are this entry's own counts, used while it is
  /// the coordinator. Returns true if this entry becomes the coordinator now.
  bool tick(std::size_t Followers, std::size_t Known, TimePoint Now);

  /// This entry is shutting down: it gives up the role and takes it again only
  /// if nobody else does.
  void resign(TimePoint Now);

  /// True if \p Claim should be followed once its sender receives this entry's
  /// reports.
  bool shouldFollow(const CoordinatorClaim &Claim, TimePoint Now) const;

  bool isCoordinator() const { return Coordinating; }

  /// The claim that this entry follows, or its own while it is the coordinator.
  const std::optional<CoordinatorClaim> &currentClaim() const {
    return Current;
  }

  /// \p Now without the time in which this entry could not hear anything.
  TimePoint attentiveTime(TimePoint Now) const {
    return Delay.attentiveTime(Now);
  }

  /// True if this entry is the coordinator or receives the claims of one.
  bool hasCoordinator(TimePoint Now) const {
    return Coordinating || (Current && !isSilent(Now));
  }

private:
  void noteHeard(TimePoint Now);
  Duration silence(TimePoint Now) const;
  bool isSilent(TimePoint Now) const;
  bool isDeputyOf(const CoordinatorClaim &Claim) const;
  std::size_t deputyRank() const;

  std::string OwnName;
  std::uint64_t OwnIncarnation;
  bool Coordinating = false;
  bool Resigned = false;
  std::optional<CoordinatorClaim> Current;
  OwnDelay Delay;
  TimePoint HeardAt{};
  TimePoint HeardAtAttentive{}; ///< the same without the delay of this entry
  std::uint64_t HighestTerm = 0;
  TimePoint ClaimAt = TimePoint::max(); ///< when to claim if no coordinator is
                                        ///< found after the start
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_COORDINATOR_ELECTION_HPP
