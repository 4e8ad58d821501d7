#ifndef HYSSOPRAIL_ROUTING_CALL_SLOTS_HPP
#define HYSSOPRAIL_ROUTING_CALL_SLOTS_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/routing/call_queue.hpp"
#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::routing {

/// Time for which an entry may use what the coordinator has lent it. Updates
/// arrive every 0.1 s, so some may be lost.
constexpr milliseconds CallShareLapse{500};

/// True if \p E belongs to \p Service and its slots can be used.
bool hasCallSlots(const EndpointTable &Table, const Endpoint &E,
                  std::string_view Service, TimePoint Now);

/// Slots of the endpoints of \p Service that take work.
unsigned callSlots(EndpointTable &Table, std::string_view Service,
                   TimePoint Now);

/// The slots of plain services that this entry may fill, and the queue of the
/// calls that wait for them. Load pattern: the surge of CallQueue, at several
/// entries with unequal parts of it.
class CallSlots {
public:
  /// Entries with different values of \p Seed begin at different endpoints.
  explicit CallSlots(EndpointTable &Table, std::uint64_t Seed = 0)
      : Table(Table), Turn(Seed) {}

  /// Calls of plain services wait for slots only if \p Enabled.
  void configure(FleetConfigPtr Next, bool Enabled);

  /// Sets the number of entries, this one included, that share the slots.
  void setKnownEntries(std::size_t Count) { KnownEntries = Count; }

  /// True if calls to \p Service wait for slots.
  bool inForce(std::string_view Service) const;

  /// Takes a slot for a call that does not have to wait.
  bool tryTake(std::string_view Service, TimePoint Now);

  /// Adds a call to the queue. The decision comes from poll().
  void submit(QueuedCall Call, TimePoint Now);

  /// Removes a call that waits, or that was released and has not confirmed it.
  void cancel(std::string_view Id, TimePoint Now);

  /// The call has received its release. Returns false if it was cancelled.
  bool confirm(std::string_view Id) { return Queue.confirm(Id); }

  /// A call that held a slot has ended.
  void ended(std::string_view Service, TimePoint Now);

  std::vector<CallQueueDecision> poll(TimePoint Now);

  /// Slots of \p Service that this entry may fill at present.
  unsigned limit(std::string_view Service, TimePoint Now);

  /// Slots that this entry may fill in any case: an even share.
  unsigned evenShare(std::string_view Service, TimePoint Now);

  /// The endpoint for a call that holds a slot, none of \p Tried; null if there
  /// is none. It is one that the coordinator names, or else the one with the
  /// fewest calls of this entry for its slots. The loads that other entries
  /// report are up to 0.2 s old, so entries that chose by them would choose the
  /// same endpoint.
  Endpoint *choose(std::string_view Service,
                   const std::set<std::string, std::less<>> &Tried,
                   TimePoint Now);

  /// Adds the number of waiting calls.
  void fillReport(wire::EntryReport &Report);

  /// Takes over the shares of the coordinator.
  void applyUpdate(const wire::CoordinatorUpdate &Update, TimePoint Now);

  /// True if the coordinator should know of a change at once.
  bool hasUnreportedChange() const { return Changed; }

  const CallQueue &queue() const { return Queue; }

private:
  bool hasCoordinator(TimePoint Now) const {
    return LentAt != TimePoint{} && Now - LentAt < CallShareLapse;
  }
  unsigned lent(std::string_view Service, TimePoint Now) const;
  Endpoint *takeNamed(std::string_view Service,
                      const std::vector<Endpoint *> &Candidates, TimePoint Now);
  void noteBorrowed(std::string_view Service, TimePoint Now);

  EndpointTable &Table;
  FleetConfigPtr Config;
  bool Enabled = false;
  std::size_t KnownEntries = 1;
  CallQueue Queue;
  /// By service, from the newest update.
  struct Loan {
    unsigned Slots = 0;
    /// Endpoints that the coordinator named and that are not used up yet.
    std::vector<std::string> FreeAt;
  };
  std::map<std::string, Loan, std::less<>> Lent;
  std::uint64_t Turn = 0; ///< rotates the choice among equally loaded endpoints
  TimePoint LentAt{};
  std::string Lender;
  std::uint64_t LenderIncarnation = 0;
  std::uint64_t LenderSequence = 0;
  /// Calls that waited at the last report, by service.
  std::map<std::string, std::size_t, std::less<>> Reported;
  bool Changed = false;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_CALL_SLOTS_HPP
