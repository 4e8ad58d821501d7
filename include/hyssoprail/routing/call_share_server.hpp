#ifndef HYSSOPRAIL_ROUTING_CALL_SHARE_SERVER_HPP
#define HYSSOPRAIL_ROUTING_CALL_SHARE_SERVER_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "hyssoprail/routing/endpoint_table.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::routing {

/// The coordinator's division of the slots of plain services over the entries,
/// by the calls that run and wait there. Load pattern: a surge that reaches the
/// entries unequally, or hundreds of entries before a few slots, where an even
/// share is none.
class CallShareServer {
public:
  explicit CallShareServer(EndpointTable &Table) : Table(Table) {}

  /// Starts a term. Nothing is lent until what the predecessor has lent has
  /// lapsed.
  void startTerm(TimePoint Now);

  /// Ends the term and forgets the entries.
  void clear();

  /// Takes the demand of an entry, which may be this one.
  void handleReport(const wire::EntryReport &Report, TimePoint Now);

  /// Divides the slots. \p KnownEntries includes entries that do not report:
  /// their even shares stay free.
  void decide(std::size_t KnownEntries, TimePoint Now);

  /// Entries whose share has changed in a way that they should know at once.
  const std::set<std::string> &entriesDueUpdate() const { return Due; }

  /// Adds the shares of \p Entry.
  void fillUpdate(const std::string &Entry, wire::CoordinatorUpdate &Update);

  /// Slots of \p Service that are lent at present, to all entries together.
  unsigned lent(const std::string &Service) const;

private:
  struct Demand {
    unsigned InUse = 0;
    unsigned Waiting = 0;
    unsigned Peak = 0; ///< largest recent InUse
    TimePoint PeakAt{};
    unsigned Target = 0; ///< fair part
    unsigned Lent = 0;   ///< at most the fair part, as slots become free
    TimePoint LentAt{};  ///< when Lent last grew
    std::map<std::string, unsigned> UseOf; ///< InUse by endpoint
    std::vector<std::string> FreeAt;       ///< endpoints of lent, unused slots
  };

  struct Entry {
    std::uint64_t Incarnation = 0;
    std::uint64_t Sequence = 0;
    TimePoint LastReportAt{};
    std::map<std::string, Demand> Services;
  };

  using Claimants = std::vector<std::pair<const std::string *, Demand *>>;

  /// Free slots by endpoint, as far as reports tell; may be negative.
  using FreeSlotMap = std::map<std::string, int>;

  void applyDemand(Entry &E, const wire::EntryReport &Report);
  void divide(const std::string &Service, std::size_t KnownEntries,
              TimePoint Now);
  void lend(const std::string &Service, Claimants &Claims, unsigned Available,
            unsigned Even, TimePoint Now);
  FreeSlotMap freeSlots(const std::string &Service, const Claimants &Claims,
                        TimePoint Now);
  /// Reduces the loan of an entry to what it uses of its fair part, and what
  /// was lent just now: at most \p Free slots, whose number is returned.
  static unsigned keepLoan(Demand &D, unsigned Free, FreeSlotMap &FreeSlots,
                           TimePoint Now);

  EndpointTable &Table;
  TimePoint LendsFrom{};
  std::map<std::string, Entry> Entries;
  std::set<std::string> Due;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_CALL_SHARE_SERVER_HPP
