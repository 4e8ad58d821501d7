#include "hyssoprail/routing/call_slots.hpp"

#include <algorithm>
#include <cstddef>
#include <tuple>
#include <utility>

namespace hyssoprail::routing {

bool hasCallSlots(const EndpointTable &Table, const Endpoint &E,
                  std::string_view Service, TimePoint Now) {
  return E.Record.Service == Service && Table.takesWork(E, Now) &&
         E.Health.reachable(Now);
}

unsigned callSlots(EndpointTable &Table, std::string_view Service,
                   TimePoint Now) {
  unsigned Out = 0;
  Table.forEach([&](Endpoint &E) {
    if (hasCallSlots(Table, E, Service, Now))
      Out += E.Record.Slots;
  });
  return Out;
}

void CallSlots::configure(FleetConfigPtr Next, bool Use) {
  Config = std::move(Next);
  Enabled = Use;
}

bool CallSlots::inForce(std::string_view Service) const {
  if (!Enabled || !Config)
    return false;
  const ServicePolicy *Policy = Config->service(Service);
  return Policy && !Policy->Engine;
}

unsigned CallSlots::lent(std::string_view Service, TimePoint Now) const {
  const auto It = Lent.find(Service);
  return It == Lent.end() || !hasCoordinator(Now) ? 0 : It->second.Slots;
}

unsigned CallSlots::evenShare(std::string_view Service, TimePoint Now) {
  return static_cast<unsigned>(callSlots(Table, Service, Now) /
                               std::max<std::size_t>(1, KnownEntries));
}

/// What the coordinator lends is known to be free. For the even share, the load
/// of the others counts as far as it is known: one of them may have borrowed
/// it.
unsigned CallSlots::limit(std::string_view Service, TimePoint Now) {
  const unsigned Even = evenShare(Service, Now);
  if (!hasCoordinator(Now))
    return Even;
  unsigned Usable = 0;
  Table.forEach([&](Endpoint &E) {
    if (!hasCallSlots(Table, E, Service, Now))
      return;
    const auto Slots = static_cast<int>(E.Record.Slots);
    Usable += static_cast<unsigned>(std::max(0, E.OwnLoad.Runs) +
                                    std::max(0, Slots - E.totalLoad().Runs));
  });
  return std::max(lent(Service, Now), std::min(Even, Usable));
}

/// The first endpoint named by the coordinator that is among \p Candidates,
/// which is then used up; null if there is none.
Endpoint *CallSlots::takeNamed(std::string_view Service,
                               const std::vector<Endpoint *> &Candidates,
                               TimePoint Now) {
  const auto It = Lent.find(Service);
  if (It == Lent.end() || !hasCoordinator(Now))
    return nullptr;
  std::vector<std::string> &FreeAt = It->second.FreeAt;
  for (auto Id = FreeAt.begin(); Id != FreeAt.end(); ++Id) {
    const auto Named =
        std::find_if(Candidates.begin(), Candidates.end(),
                     [&](const Endpoint *E) { return E->Record.Id == *Id; });
    if (Named == Candidates.end())
      continue;
    FreeAt.erase(Id);
    return *Named;
  }
  return nullptr;
}

Endpoint *CallSlots::choose(std::string_view Service,
                            const std::set<std::string, std::less<>> &Tried,
                            TimePoint Now) {
  std::vector<Endpoint *> All = Table.usable(Service, Now);
  if (All.empty())
    All = Table.avoided(Service, Now);
  std::erase_if(All, [&](Endpoint *E) { return Tried.contains(E->Record.Id); });
  if (All.empty())
    return nullptr;
  if (Endpoint *Named = takeNamed(Service, All, Now))
    return Named;
  std::rotate(All.begin(),
              All.begin() + static_cast<std::ptrdiff_t>(++Turn % All.size()),
              All.end());
  const auto Load = [&](const Endpoint *E) {
    const double Slots = std::max(1U, E->Record.Slots);
    const bool Full = hasCoordinator(Now) && E->totalLoad().Runs >= Slots;
    return std::tuple(E->isSuspect(Now), E->OwnLoad.Runs >= Slots,
                      E->OwnLoad.Runs / Slots, Full);
  };
  return *std::min_element(
      All.begin(), All.end(),
      [&](const Endpoint *A, const Endpoint *B) { return Load(A) < Load(B); });
}

/// A slot beyond the even share is reported when its use begins and ends: the
/// coordinator lends what it does not know to be in use to others.
void CallSlots::noteBorrowed(std::string_view Service, TimePoint Now) {
  if (hasCoordinator(Now) &&
      Queue.state(Service).InUse > evenShare(Service, Now))
    Changed = true;
}

bool CallSlots::tryTake(std::string_view Service, TimePoint Now) {
  Queue.setSlots(Service, limit(Service, Now), Now);
  if (!Queue.tryTake(Service, Now))
    return false;
  noteBorrowed(Service, Now);
  return true;
}

void CallSlots::submit(QueuedCall Call, TimePoint Now) {
  const std::string Service = Call.Service;
  Queue.submit(std::move(Call), Now);
  // The coordinator divides by demand: it is told at once only when the demand
  // has more than doubled.
  if (Queue.state(Service).Waiting > 2 * Reported[Service])
    Changed = true;
}

void CallSlots::cancel(std::string_view Id, TimePoint Now) {
  Queue.cancel(Id, Now);
}

void CallSlots::ended(std::string_view Service, TimePoint Now) {
  noteBorrowed(Service, Now);
  Queue.ended(Service, Now);
}

std::vector<CallQueueDecision> CallSlots::poll(TimePoint Now) {
  std::vector<CallQueueDecision> Out;
  for (const std::string &Service : Queue.services()) {
    if (Queue.state(Service).Waiting == 0)
      continue;
    Queue.setSlots(Service, limit(Service, Now), Now);
    for (CallQueueDecision &D : Queue.poll(Service, Now))
      Out.push_back(std::move(D));
    noteBorrowed(Service, Now);
  }
  return Out;
}

void CallSlots::fillReport(wire::EntryReport &Report) {
  Reported.clear();
  for (const std::string &Service : Queue.services()) {
    const std::size_t Waiting = Queue.state(Service).Waiting;
    if (Waiting == 0)
      continue;
    Reported[Service] = Waiting;
    wire::CallBacklog *B = Report.add_call_backlogs();
    B->set_service(Service);
    B->set_waiting(static_cast<std::uint32_t>(Waiting));
  }
  Changed = false;
}

void CallSlots::applyUpdate(const wire::CoordinatorUpdate &Update,
                            TimePoint Now) {
  const bool SameLender =
      Update.sender() == Lender && Update.incarnation() == LenderIncarnation;
  if (SameLender && Update.sequence() <= LenderSequence)
    return;
  Lender = Update.sender();
  LenderIncarnation = Update.incarnation();
  LenderSequence = Update.sequence();
  LentAt = Now;
  Lent.clear();
  for (const wire::CallShare &Share : Update.call_shares())
    Lent[Share.service()] = {
        Share.slots(), {Share.endpoints().begin(), Share.endpoints().end()}};
}

} // namespace hyssoprail::routing
