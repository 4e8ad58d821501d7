#include "hyssoprail/routing/call_share_server.hpp"

#include <algorithm>
#include <utility>

#include "hyssoprail/routing/call_slots.hpp"

namespace hyssoprail::routing {
namespace {

/// Entries report every 0.2 s at least.
constexpr milliseconds SilenceTimeout{600};

/// A slot that was lent and is not reported in use is kept for the borrower for
/// this time: its report may have crossed the update.
constexpr milliseconds UnusedLoanTime{50};

/// What an entry has used of its even share is kept free for it for this time.
/// Otherwise it would use that again while the coordinator lends it to others.
constexpr milliseconds PeakTime{300};

/// Lets each of \p Claims take one of \p Slots in turn, until none is left or
/// \p TryTake returns false for all of them.
template <typename ClaimList, typename Take>
void distribute(ClaimList &Claims, unsigned Slots, Take TryTake) {
  for (bool Any = true; Any && Slots > 0;) {
    Any = false;
    for (auto &[Name, D] : Claims)
      if (Slots > 0 && TryTake(*D)) {
        --Slots;
        Any = true;
      }
  }
}

} // namespace

void CallShareServer::startTerm(TimePoint Now) {
  clear();
  LendsFrom = Now + CallShareLapse;
}

void CallShareServer::clear() {
  Entries.clear();
  Due.clear();
}

void CallShareServer::handleReport(const wire::EntryReport &Report,
                                   TimePoint Now) {
  Entry &E = Entries[Report.sender()];
  if (E.Incarnation != Report.incarnation())
    E = {};
  else if (Report.sequence() <= E.Sequence)
    return;
  E.Incarnation = Report.incarnation();
  E.Sequence = Report.sequence();
  E.LastReportAt = Now;
  applyDemand(E, Report);
  for (auto &[Service, D] : E.Services)
    if (D.InUse >= D.Peak || Now - D.PeakAt >= PeakTime) {
      D.Peak = D.InUse;
      D.PeakAt = Now;
    }
}

void CallShareServer::applyDemand(Entry &E, const wire::EntryReport &Report) {
  for (auto &[Service, D] : E.Services) {
    D.InUse = D.Waiting = 0;
    D.UseOf.clear();
  }
  for (const wire::CallUse &Use : Report.calls())
    if (const Endpoint *At = Table.find(Use.endpoint())) {
      Demand &D = E.Services[At->Record.Service];
      D.InUse += Use.runs();
      D.UseOf[Use.endpoint()] += Use.runs();
    }
  for (const wire::CallBacklog &B : Report.call_backlogs())
    E.Services[B.service()].Waiting = B.waiting();
}

void CallShareServer::decide(std::size_t KnownEntries, TimePoint Now) {
  std::set<std::string> Wanted;
  for (auto &[Name, E] : Entries)
    for (auto &[Service, D] : E.Services) {
      if (D.Waiting > 0)
        Wanted.insert(Service);
      D.Target = 0;
    }
  for (auto &[Name, E] : Entries)
    for (auto &[Service, D] : E.Services)
      if (!Wanted.contains(Service))
        D.Lent = 0;
  if (Now < LendsFrom)
    return;
  for (const std::string &Service : Wanted)
    divide(Service, KnownEntries, Now);
}

void CallShareServer::divide(const std::string &Service,
                             std::size_t KnownEntries, TimePoint Now) {
  const unsigned Slots = callSlots(Table, Service, Now);
  std::size_t Reporting = 0;
  Claimants Claims;
  for (auto &[Name, E] : Entries) {
    const auto It = E.Services.find(Service);
    if (Now - E.LastReportAt >= SilenceTimeout) {
      if (It != E.Services.end())
        It->second.Lent = 0;
      continue;
    }
    ++Reporting;
    if (It != E.Services.end())
      Claims.emplace_back(&Name, &It->second);
  }
  const std::size_t Known = std::max({KnownEntries, Reporting, std::size_t{1}});
  const auto Reserved =
      static_cast<unsigned>(Slots / Known * (Known - Reporting));
  const unsigned Available = Slots - Reserved;
  // Of entries with equal parts, the one that was lent a slot longest ago is
  // first.
  std::stable_sort(Claims.begin(), Claims.end(),
                   [](const auto &A, const auto &B) {
                     return A.second->LentAt < B.second->LentAt;
                   });
  distribute(Claims, Available, [](Demand &D) {
    if (D.Target >= D.InUse + D.Waiting)
      return false;
    ++D.Target;
    return true;
  });
  lend(Service, Claims, Available, static_cast<unsigned>(Slots / Known), Now);
}

CallShareServer::FreeSlotMap
CallShareServer::freeSlots(const std::string &Service, const Claimants &Claims,
                           TimePoint Now) {
  FreeSlotMap Out;
  Table.forEach([&](Endpoint &E) {
    if (hasCallSlots(Table, E, Service, Now))
      Out[E.Record.Id] = static_cast<int>(E.Record.Slots);
  });
  for (const auto &[Name, D] : Claims)
    for (const auto &[Id, Runs] : D->UseOf)
      if (const auto It = Out.find(Id); It != Out.end())
        It->second -= static_cast<int>(Runs);
  return Out;
}

unsigned CallShareServer::keepLoan(Demand &D, unsigned Free,
                                   FreeSlotMap &FreeSlots, TimePoint Now) {
  const unsigned Kept = std::min(D.Target, D.InUse);
  unsigned Unused = 0;
  // Also if its fair part has shrunk since: the borrower cannot know that.
  if (Now - D.LentAt < UnusedLoanTime && D.Lent > D.InUse)
    Unused = D.Lent - D.InUse;
  Unused = std::min(Unused, Free);
  D.Lent = Kept + Unused;
  D.FreeAt.resize(std::min<std::size_t>(D.FreeAt.size(), Unused));
  for (const std::string &Id : D.FreeAt)
    --FreeSlots[Id];
  return Unused;
}

/// An entry keeps what it uses of its fair part. What nobody uses is lent.
void CallShareServer::lend(const std::string &Service, Claimants &Claims,
                           unsigned Available, unsigned Even, TimePoint Now) {
  unsigned Used = 0;
  for (const auto &[Name, D] : Claims)
    Used += std::max(D->InUse, std::min(Even, D->Peak));
  unsigned Free = Available - std::min(Available, Used);
  FreeSlotMap FreeSlots = freeSlots(Service, Claims, Now);
  std::vector<unsigned> Before;
  Before.reserve(Claims.size());
  for (auto &[Name, D] : Claims) {
    Before.push_back(D->Lent);
    Free -= keepLoan(*D, Free, FreeSlots, Now);
  }
  distribute(Claims, Free, [&](Demand &D) {
    if (D.Lent >= D.Target)
      return false;
    ++D.Lent;
    const auto Best = std::max_element(
        FreeSlots.begin(), FreeSlots.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; });
    --Best->second;
    D.FreeAt.push_back(Best->first);
    return true;
  });
  for (std::size_t I = 0; I < Claims.size(); ++I) {
    auto &[Name, D] = Claims[I];
    if (D->Lent > Before[I])
      D->LentAt = Now;
    if (D->Lent > Before[I] || D->Target < Before[I])
      Due.insert(*Name);
  }
}

void CallShareServer::fillUpdate(const std::string &Name,
                                 wire::CoordinatorUpdate &Update) {
  Due.erase(Name);
  const auto It = Entries.find(Name);
  if (It == Entries.end())
    return;
  for (const auto &[Service, D] : It->second.Services) {
    if (D.Lent == 0)
      continue;
    wire::CallShare *Share = Update.add_call_shares();
    Share->set_service(Service);
    Share->set_slots(D.Lent);
    for (const std::string &Id : D.FreeAt)
      Share->add_endpoints(Id);
  }
}

unsigned CallShareServer::lent(const std::string &Service) const {
  unsigned Out = 0;
  for (const auto &[Name, E] : Entries)
    if (const auto It = E.Services.find(Service); It != E.Services.end())
      Out += It->second.Lent;
  return Out;
}

} // namespace hyssoprail::routing
