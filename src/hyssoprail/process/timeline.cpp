#include "hyssoprail/process/timeline.hpp"

#include <algorithm>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail {
namespace {

constexpr std::array<EnumName<EventKind>, 28> EventKindNames{{
    {EventKind::RequestAccepted, "request_accepted"},
    {EventKind::RequestRefused, "request_refused"},
    {EventKind::RequestFinished, "request_finished"},
    {EventKind::RequestCancelled, "request_cancelled"},
    {EventKind::AttemptStarted, "attempt_started"},
    {EventKind::AttemptFailed, "attempt_failed"},
    {EventKind::Reserved, "reserved"},
    {EventKind::ReserveRefused, "reserve_refused"},
    {EventKind::PrefillStarted, "prefill_started"},
    {EventKind::PrefillDone, "prefill_done"},
    {EventKind::TransferStarted, "transfer_started"},
    {EventKind::DecodeStarted, "decode_started"},
    {EventKind::DecodeFinished, "decode_finished"},
    {EventKind::CallStarted, "call_started"},
    {EventKind::CallFinished, "call_finished"},
    {EventKind::OutcomeUnknown, "outcome_unknown"},
    {EventKind::GrantReleased, "grant_released"},
    {EventKind::LeaseExpired, "lease_expired"},
    {EventKind::LinkReplaced, "link_replaced"},
    {EventKind::LimitGranted, "limit_granted"},
    {EventKind::LimitRefused, "limit_refused"},
    {EventKind::LimitRefunded, "limit_refunded"},
    {EventKind::OwnershipTaken, "ownership_taken"},
    {EventKind::OwnershipLapsed, "ownership_lapsed"},
    {EventKind::ConfigApplied, "config_applied"},
    {EventKind::ColdStart, "cold_start"},
    {EventKind::EngineOrder, "engine_order"},
    {EventKind::Violation, "violation"},
}};

bool matches(const Event &E, const EventFilter &Filter) {
  return (Filter.RequestId.empty() || E.RequestId == Filter.RequestId) &&
         (Filter.Account.empty() || E.Account == Filter.Account) &&
         (Filter.Endpoint.empty() || E.Endpoint == Filter.Endpoint);
}

} // namespace

std::string_view eventKindName(EventKind Kind) {
  return enumName(EventKindNames, Kind);
}

Timeline::Timeline(std::size_t Capacity, const Clock &Time)
    : CapacityPerShard(std::max<std::size_t>(1, Capacity / ShardCount)),
      Time(Time) {}

void Timeline::record(Event E) {
  E.UnixMicros = Time.unixMicros();
  Shard &S = Shards[stableHash(E.RequestId) % ShardCount];
  std::lock_guard Lock(S.Mutex);
  if (S.Events.size() >= CapacityPerShard)
    S.Events.pop_front();
  S.Events.push_back(std::move(E));
}

std::vector<Event> Timeline::select(const EventFilter &Filter) const {
  std::vector<Event> Found;
  for (const Shard &S : Shards) {
    std::lock_guard Lock(S.Mutex);
    std::copy_if(S.Events.begin(), S.Events.end(), std::back_inserter(Found),
                 [&](const Event &E) { return matches(E, Filter); });
  }
  std::stable_sort(Found.begin(), Found.end(),
                   [](const Event &A, const Event &B) {
                     return A.UnixMicros < B.UnixMicros;
                   });
  if (Found.size() > Filter.Limit)
    Found.erase(Found.begin(),
                Found.end() - static_cast<std::ptrdiff_t>(Filter.Limit));
  return Found;
}

} // namespace hyssoprail
