#include "hyssoprail/routing/peer_board.hpp"

#include <algorithm>

namespace hyssoprail::routing {
namespace {

/// A peer that is silent for longer is cut off, paused or dead.
constexpr milliseconds SilentAfter{1'200};

/// A peer that is cut off goes on placing about as much work as before, so its
/// last loads are the best guess; one that was killed restarts sooner than this
/// and reports anew.
constexpr milliseconds LoadsKept{8'000};
constexpr milliseconds LeavingLoadsKept{1'500};

/// A silent peer may still grant quota on its own; after this time it is taken
/// to be gone.
constexpr milliseconds ForgottenAfter{14'000};

constexpr milliseconds CandidateTime{6'000};

/// Peers report at least every 400 ms. What an older report says of the present
/// moment, who waits and what cannot be reached, is not used: its sender is cut
/// off or starved of processor time.
constexpr milliseconds ReportIsFresh{600};

std::vector<WaitingRequest> waitingOf(const wire::UsageReport &Report,
                                      TimePoint Now) {
  std::vector<WaitingRequest> Out;
  for (const wire::WaitingUse &Use : Report.waiting())
    Out.push_back({Use.service(), Use.rank(),
                   Now - milliseconds(Use.waited_ms()),
                   static_cast<std::int64_t>(Use.tokens())});
  return Out;
}

} // namespace

bool PeerBoard::hear(const wire::UsageReport &Report, TimePoint Now) {
  if (Report.sender() == OwnName)
    return false;
  Peer &P = Peers[Report.sender()];
  const bool New = P.Incarnation != Report.incarnation();
  if (!New && Report.sequence() <= P.Sequence)
    return false;
  P = {Report.incarnation(),
       Report.sequence(),
       Report.address(),
       Now,
       static_cast<std::int64_t>(Report.waiting_tokens()),
       waitingOf(Report, Now),
       Report.state_address(),
       milliseconds(Report.store_age_ms()),
       Report.leaving(),
       false};
  LoadMap Loads;
  for (const wire::EndpointUse &Use : Report.endpoints())
    Loads[Use.endpoint()] = {static_cast<std::int32_t>(Use.runs()),
                             static_cast<std::int64_t>(Use.tokens()),
                             static_cast<std::int64_t>(Use.prefill_tokens())};
  Table.setPeerLoad(Report.sender(), std::move(Loads));
  for (const std::string &Id : Report.unreachable())
    Table.suspect(Id, Now + ReportIsFresh);
  for (const wire::AccountUse &Use : Report.accounts())
    Quota.peerGranted(Report.sender(), Report.incarnation(), Use.account(),
                      Use.tokens(), Now);
  return New;
}

void PeerBoard::age(TimePoint Now) {
  for (auto &[Name, P] : Peers) {
    const milliseconds Kept = P.Leaving ? LeavingLoadsKept : LoadsKept;
    if (P.LoadsDropped || Now - P.Heard < Kept)
      continue;
    Table.setPeerLoad(Name, {});
    P.LoadsDropped = true;
  }
  std::erase_if(Peers, [&](const auto &Item) {
    const Peer &P = Item.second;
    return Now - P.Heard > (P.Leaving ? LeavingLoadsKept : ForgottenAfter);
  });
  std::erase_if(Candidates, [&](const auto &Item) {
    return Now - Item.second > CandidateTime;
  });
  Quota.setAudibleShare(
      static_cast<double>(audible(Now)) / static_cast<double>(known(Now)), Now);
}

void PeerBoard::addCandidate(const std::string &Address, TimePoint Now) {
  Candidates[Address] = Now;
}

std::vector<std::string> PeerBoard::addresses(TimePoint Now) const {
  std::vector<std::string> Out;
  for (const auto &[Name, P] : Peers)
    Out.push_back(P.Address);
  for (const auto &[Address, Since] : Candidates)
    if (Now - Since <= CandidateTime &&
        std::find(Out.begin(), Out.end(), Address) == Out.end())
      Out.push_back(Address);
  return Out;
}

std::size_t PeerBoard::audible(TimePoint Now) const {
  std::size_t Count = 1;
  for (const auto &[Name, P] : Peers)
    Count += Now - P.Heard < SilentAfter ? 1 : 0;
  return Count;
}

std::size_t PeerBoard::known(TimePoint Now) const {
  std::size_t Count = 1;
  for (const auto &[Name, P] : Peers)
    Count += P.Leaving && Now - P.Heard >= SilentAfter ? 0 : 1;
  return Count;
}

std::string PeerBoard::freshestState(Duration MaxAge, TimePoint Now) const {
  std::string Best;
  Duration BestAge = MaxAge;
  for (const auto &[Name, P] : Peers) {
    const Duration Age = P.StoreAge + (Now - P.Heard);
    if (Now - P.Heard >= SilentAfter || P.StateAddress.empty() || Age > BestAge)
      continue;
    Best = P.StateAddress;
    BestAge = Age;
  }
  return Best;
}

std::int64_t PeerBoard::waitingTokens(TimePoint Now) const {
  std::int64_t Sum = 0;
  for (const auto &[Name, P] : Peers)
    if (Now - P.Heard < SilentAfter)
      Sum += P.WaitingTokens;
  return Sum;
}

std::vector<WaitingRequest> PeerBoard::waitingRequests(TimePoint Now) const {
  std::vector<WaitingRequest> Out;
  for (const auto &[Name, P] : Peers)
    if (Now - P.Heard < ReportIsFresh)
      Out.insert(Out.end(), P.Waiting.begin(), P.Waiting.end());
  return Out;
}

} // namespace hyssoprail::routing
