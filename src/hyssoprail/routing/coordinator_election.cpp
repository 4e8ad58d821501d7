#include "hyssoprail/routing/coordinator_election.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail::routing {
namespace {

/// A coordinator sends updates every 100 ms; datagrams are lost at times.
constexpr milliseconds SilenceTimeout{400};

/// Between the claims of two deputies, so that the second hears the first.
constexpr milliseconds ClaimStagger{60};

/// A process that starts waits for the updates of a coordinator that is there.
constexpr milliseconds StartWait{250};
constexpr milliseconds MaxStartWait{1'500};

/// An entry that has not run for longer could not hear anything meanwhile.
constexpr milliseconds MaxTickGap{200};

/// After such a pause it waits this long, once, for what it should have heard.
constexpr milliseconds PauseGracePeriod{200};

/// Deputies that a stopping entry leaves the claim to.
constexpr std::size_t ResigningRank = 12;

/// Ranks of the entries that are no deputies, chosen by their names.
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
  return !Current || Current->Leaving || Now - HeardAt > SilenceTimeout;
}

bool CoordinatorElection::shouldFollow(const CoordinatorClaim &Claim,
                                       TimePoint Now) const {
  if (Claim.Leaving || Claim.Name == OwnName)
    return false;
  const bool NoCoordinator = !Coordinating && isSilent(Now);
  return NoCoordinator || outranks(Claim, *Current);
}

bool CoordinatorElection::handleClaim(const CoordinatorClaim &Claim,
                                      bool HearsThisEntry, TimePoint Now) {
  HighestTerm = std::max(HighestTerm, Claim.Term);
  if (Claim.Name == OwnName)
    return false;
  const bool SameClaimant = Current && !Coordinating &&
                            Current->Name == Claim.Name &&
                            Current->Incarnation == Claim.Incarnation;
  if (!HearsThisEntry && !Claim.Leaving)
    return false;
  if (SameClaimant) {
    const bool Renewed = Current->Term != Claim.Term;
    Current = Claim;
    HeardAt = Now;
    return Renewed;
  }
  // An entry that has just started follows nobody yet, and may be the only one
  // that a leaving coordinator can hand over to.
  const bool TakesOver = Claim.Leaving && !Current && isDeputyOf(Claim);
  if (!TakesOver && !shouldFollow(Claim, Now))
    return false;
  Coordinating = false;
  Current = Claim;
  HeardAt = Now;
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
  extendAfterOwnPause(Now);
  if (Coordinating) {
    Current->Followers = Followers;
    Current->Known = Known;
    return false;
  }
  if (Current) {
    if (!isSilent(Now))
      return false;
    const TimePoint Lost =
        Current->Leaving ? HeardAt : HeardAt + SilenceTimeout;
    if (Now < Lost + ClaimStagger * static_cast<int>(deputyRank()))
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

/// Load pattern: hundreds of entries on small VMs start, and each is busy for a
/// second with the list of thousands of endpoints. All would take their
/// coordinator for silent before they read what it has sent.
void CoordinatorElection::extendAfterOwnPause(TimePoint Now) {
  const TimePoint Last = std::exchange(LastTickAt, Now);
  const bool CoordinatorLeaving = Current && Current->Leaving;
  const bool Paused = Last != TimePoint{} && Now - Last > MaxTickGap;
  if (!Paused || CoordinatorLeaving || HeardAt == ExtendedHeardAt)
    return;
  HeardAt = std::max(HeardAt, Now - SilenceTimeout + PauseGracePeriod);
  ExtendedHeardAt = HeardAt;
}

void CoordinatorElection::resign(TimePoint Now) {
  Resigned = true;
  if (!Coordinating)
    return;
  Coordinating = false;
  Current->Leaving = true;
  HeardAt = Now;
}

} // namespace hyssoprail::routing
