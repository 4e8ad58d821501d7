#ifndef HYSSOPRAIL_ROUTING_ENDPOINT_LIMIT_HPP
#define HYSSOPRAIL_ROUTING_ENDPOINT_LIMIT_HPP

#include <optional>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::routing {

/// The request limit that an endpoint states in its responses. It counts over
/// all entries together, so an entry grants requests only within its share: a
/// coordinator has the share of the entries that report to it, every other
/// entry has none and asks its coordinator. Load pattern: an endpoint that
/// cannot keep up states a few requests per second while callers of hundreds of
/// entries send more.
class EndpointLimit {
public:
  /// A response that arrived at \p At stated a limit of \p PerSecond requests.
  /// Ignored if a newer response is known.
  void recordStated(double PerSecond, TimePoint At);

  /// A response that arrived at \p At stated no limit. The limit ends if this
  /// is later by some margin than the last response that stated it, or if the
  /// endpoint has restarted since then.
  void recordNone(TimePoint At);

  /// The endpoint has restarted. Its new process may state another limit or
  /// none, which its first response tells. Until then the limit of the earlier
  /// process counts, with one request at once from every entry.
  void restart();

  /// Sets the share of the limit that this entry may grant, 0 to 1.
  void setShare(double To, TimePoint Now);

  /// The stated limit in requests per second; nullopt if there is none.
  std::optional<double> perSecond() const { return Stated; }

  /// Arrival of the newest response that stated the limit.
  TimePoint statedAt() const { return StatedAt; }

  /// Requests per second that this entry may grant. A part of the fleet without
  /// a majority may use its share only if that is a request per second or more:
  /// the shares of many small parts, each rounded up to one request, would
  /// exceed the limit together.
  double grantRate() const;

  /// True if there is no limit or this entry may grant a request now.
  bool allows(TimePoint Now);

  /// Records that a request was sent or granted. An entry that sends under the
  /// grants of another one owes nothing when it gets a share itself.
  void take(TimePoint Now);

  /// Time until this entry may grant a request; Duration::max() if it has no
  /// share.
  Duration waitTime(TimePoint Now);

private:
  void refill(TimePoint Now);

  std::optional<double> Stated;
  TimePoint StatedAt{};
  TimePoint EndedAt{};
  double Share = 0;
  double Tokens = 0;      ///< requests that may be granted now
  bool Restarted = false; ///< after the response that stated the limit
  TimePoint RefilledAt{};
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENDPOINT_LIMIT_HPP
