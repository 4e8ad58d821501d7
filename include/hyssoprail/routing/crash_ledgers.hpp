#ifndef HYSSOPRAIL_ROUTING_CRASH_LEDGERS_HPP
#define HYSSOPRAIL_ROUTING_CRASH_LEDGERS_HPP

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include "hyssoprail/routing/crash_ledger.hpp"
#include "hyssoprail/routing/request_info.hpp"
#include "hyssoprail/routing/run_crash_watch.hpp"

namespace hyssoprail::routing {

/// Bounds for whole requests, which are suspects of one part each. Entries
/// answer hundreds of calls a second, which fill the list of answers within
/// some tens of seconds.
constexpr CrashLedgerBounds CallLedgerBounds{128,    64,    64,
                                             16'384, 8'192, 65'536};

/// What an entry knows of crashes: under the parts of prompts, and under whole
/// requests, that is, calls and streams without prompt parts, by their
/// fingerprints. The two are apart, so that the many calls do not displace
/// what is known of prompts.
class CrashLedgers {
public:
  explicit CrashLedgers(std::uint64_t Incarnation)
      : Prompts(Incarnation), Requests(Incarnation, CallLedgerBounds) {}

  /// Watches the runs of the request \p Info.
  RunCrashWatch watch(const RequestInfo &Info);

  void notePeer(const std::string &Peer, std::uint64_t PeerIncarnation);
  void keepPeers(const std::set<std::string> &Names);
  std::size_t peerCount() const;

  /// Fills what \p Peer is to be told into a wire::EntryReport or a
  /// wire::CoordinatorUpdate.
  template <typename Message>
  void fillNews(const std::string &Peer, Message &Out, TimePoint Now) {
    if (Prompts.hasNewsFor(Peer))
      Prompts.fillDelta(Peer, *Out.mutable_crashes(), Now);
    if (Requests.hasNewsFor(Peer))
      Requests.fillDelta(Peer, *Out.mutable_request_crashes(), Now);
  }

  /// Merges what such a message tells.
  template <typename Message>
  void applyNews(const std::string &Peer, const Message &In, TimePoint Now) {
    if (In.has_crashes())
      Prompts.applyDelta(Peer, In.crashes(), Now);
    if (In.has_request_crashes())
      Requests.applyDelta(Peer, In.request_crashes(), Now);
  }

  /// Grows with each change of the content.
  std::uint64_t revision() const;
  bool worthPublishing(TimePoint Now);

  /// Encodes the content for the store, and merges what another entry has
  /// written there.
  std::string encode(TimePoint Now, std::int64_t UnixMicros);
  void merge(std::string_view Encoded, TimePoint Now, std::int64_t UnixMicros);

  CrashLedger Prompts;
  CrashLedger Requests;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_CRASH_LEDGERS_HPP
