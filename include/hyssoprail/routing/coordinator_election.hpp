#ifndef HYSSOPRAIL_ROUTING_COORDINATOR_ELECTION_HPP
#define HYSSOPRAIL_ROUTING_COORDINATOR_ELECTION_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// An entry's claim to coordinate the others.
struct CoordinatorClaim {
  std::string Name;
  std::uint64_t Incarnation = 0;
  std::string Address;       ///< "IP:PORT" where it hears reports
  std::uint64_t Term = 0;    ///< grows with each claim
  std::size_t Followers = 0; ///< entries that it hears, itself included
  std::size_t Known = 1;     ///< entries that it hears or heard not long ago
  bool Leaving = false;
  std::vector<std::string> Deputies; ///< who claims first after it

  bool hasMajority() const { return Followers * 2 >= Known; }
};

/// Decides which entry coordinates: the one whose claim is heard, and if none
/// is, the first of its deputies claims. Soft state only: two coordinators, on
/// both sides of a cut, do harm to nobody's requests, since engines refuse what
/// exceeds their memory; when they hear each other again, the one that most
/// entries follow stays, and after it the one of the higher term.
class CoordinatorElection {
public:
  CoordinatorElection(std::string OwnName, std::uint64_t OwnIncarnation)
      : OwnName(std::move(OwnName)), OwnIncarnation(OwnIncarnation) {}

  /// The process begins to look for a coordinator. \p Rank is the number of
  /// announced entries that should claim before it.
  void start(std::size_t Rank, TimePoint Now);

  /// Takes a claim. \p HearsUs tells that its sender has confirmed a report of
  /// this entry lately; the claim of one that does not hear us is of no use.
  /// Returns true if this entry now follows another coordinator than before.
  bool handleClaim(const CoordinatorClaim &Claim, bool HearsThisEntry, TimePoint Now);

  /// \p Followers and \p Known are this entry's own counts while it
  /// coordinates. Returns true if this entry begins to coordinate now.
  bool tick(std::size_t Followers, std::size_t Known, TimePoint Now);

  /// This entry stops: it coordinates no more, unless nobody else does.
  void resign(TimePoint Now);

  /// True if \p Claim should be followed, once its sender hears this entry.
  bool shouldFollow(const CoordinatorClaim &Claim, TimePoint Now) const;

  bool isCoordinator() const { return Coordinating; }

  /// The claim that this entry follows; its own while it coordinates.
  const std::optional<CoordinatorClaim> &currentClaim() const { return Current; }

  /// True if a coordinator is known to be there.
  bool hasCoordinator(TimePoint Now) const {
    return Coordinating || (Current && !silent(Now));
  }

private:
  bool silent(TimePoint Now) const;
  void allowForOwnPause(TimePoint Now);
  bool isDeputy(const CoordinatorClaim &Claim) const;
  std::size_t deputyRank() const;

  std::string OwnName;
  std::uint64_t OwnIncarnation;
  bool Coordinating = false;
  bool Resigned = false;
  std::optional<CoordinatorClaim> Current;
  TimePoint HeardAt{};
  TimePoint TickedAt{};
  TimePoint AllowedFrom{}; ///< HeardAt, if it allows for an own pause
  std::uint64_t HighestTerm = 0;
  TimePoint ClaimAt = TimePoint::max(); ///< of a start without a coordinator
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_COORDINATOR_ELECTION_HPP
