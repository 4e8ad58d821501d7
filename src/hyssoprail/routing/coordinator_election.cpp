#include "hyssoprail/routing/coordinator_election.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail::routing {
namespace {

/// A coordinator sends updates every 100 ms; some datagrams are lost.
constexpr milliseconds SilenceTimeout{400};

/// Time between the claims of two deputies, so that the second receives the
/// claim of the first before it claims itself.
constexpr milliseconds ClaimStagger{60};

/// A starting process waits this long for the updates of an existing
/// coordinator.
constexpr milliseconds StartWait{250};
constexpr milliseconds MaxStartWait{1'500};

/// Claim rank of an entry that is shutting down, so that the deputies claim
/// before it.
constexpr std::size_t ResigningRank = 12;

/// Number of claim ranks after the deputies. The other entries are spread over
/// them by a hash of their names.
constexpr std::uint64_t NonDeputyRanks = 8;

bool outranks(const CoordinatorClaim &A, const CoordinatorClaim &B) {
  const auto Rank = [](const CoordinatorClaim &C) {
    return std::tuple(C.hasMajority(), C.Term, stableHash(C.Name),
                      C.Incarnation);
  };
  return Rank(A) > Rank(B);
}

} // namespace

void CoordinatorElection::start(std::size_t Rank, TimePoint Now) {
  const auto Wait = std::min<milliseconds>(
      StartWait + ClaimStagger * static_cast<int>(Rank), MaxStartWait);
  ClaimAt = Now + Wait;
}

bool CoordinatorElection::isSilent(TimePoint Now) const {
  return !Current || Current->Leaving || silence(Now) > SilenceTimeout;
}

void CoordinatorElection::noteHeard(TimePoint Now) {
  HeardAt = Now;
  HeardAtAttentive = Delay.attentiveTime(Now);
}

/// Time in which this entry could have heard the coordinator and did not.
Duration CoordinatorElection::silence(TimePoint Now) const {
  return Delay.attentiveTime(Now) - HeardAtAttentive;
}

bool CoordinatorElection::shouldFollow(const CoordinatorClaim &Claim,
                                       TimePoint Now) const {
  if (Claim.Leaving || Claim.Name == OwnName)
    return false;
  const bool NoCoordinator = !Coordinating && isSilent(Now);
  return NoCoordinator || outranks(Claim, *Current);
}

bool CoordinatorElection::handleClaim(const CoordinatorClaim &Claim,
                                      bool ConfirmsReport, TimePoint Now) {
  HighestTerm = std::max(HighestTerm, Claim.Term);
  if (Claim.Name == OwnName)
    return false;
  const bool SameClaimant = Current && !Coordinating &&
                            Current->Name == Claim.Name &&
                            Current->Incarnation == Claim.Incarnation;
  if (!ConfirmsReport && !Claim.Leaving)
    return false;
  if (SameClaimant) {
    const bool Renewed = Current->Term != Claim.Term;
    Current = Claim;
    noteHeard(Now);
    return Renewed;
  }
  // A newly started entry follows nobody yet, but it may be the only one to
  // which a leaving coordinator can hand over.
  const bool TakesOver = Claim.Leaving && !Current && isDeputyOf(Claim);
  if (!TakesOver && !shouldFollow(Claim, Now))
    return false;
  Coordinating = false;
  Current = Claim;
  noteHeard(Now);
  ClaimAt = TimePoint::max();
  return true;
}

bool CoordinatorElection::isDeputyOf(const CoordinatorClaim &Claim) const {
  return std::find(Claim.Deputies.begin(), Claim.Deputies.end(), OwnName) !=
         Claim.Deputies.end();
}

std::size_t CoordinatorElection::deputyRank() const {
  if (Resigned)
    return ResigningRank;
  const auto &Deputies = Current->Deputies;
  const auto It = std::find(Deputies.begin(), Deputies.end(), OwnName);
  if (It != Deputies.end())
    return static_cast<std::size_t>(It - Deputies.begin());
  return Deputies.size() + stableHash(OwnName) % NonDeputyRanks;
}

bool CoordinatorElection::tick(std::size_t Followers, std::size_t Known,
                               TimePoint Now) {
  Delay.tick(Now);
  if (Coordinating) {
    Current->Followers = Followers;
    Current->Known = Known;
    return false;
  }
  if (Current) {
    if (!isSilent(Now))
      return false;
    const Duration Vacant =
        Current->Leaving ? Now - HeardAt : silence(Now) - SilenceTimeout;
    if (Vacant < ClaimStagger * static_cast<int>(deputyRank()))
      return false;
  } else if (Now < ClaimAt) {
    return false;
  }
  const std::size_t KnownBefore = Current ? Current->Known : 1;
  Coordinating = true;
  Current = CoordinatorClaim{};
  Current->Name = OwnName;
  Current->Incarnation = OwnIncarnation;
  Current->Term = ++HighestTerm;
  Current->Followers = 1;
  Current->Known = std::max(Known, KnownBefore);
  return true;
}

void CoordinatorElection::resign(TimePoint Now) {
  Resigned = true;
  if (!Coordinating)
    return;
  Coordinating = false;
  Current->Leaving = true;
  noteHeard(Now);
}

} // namespace hyssoprail::routing
