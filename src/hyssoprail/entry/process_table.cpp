#include "hyssoprail/entry/process_table.hpp"

#include <algorithm>

namespace hyssoprail::entry {
namespace {

/// Rows are dropped when nothing was heard for this long.
constexpr milliseconds Forget{60'000};

constexpr milliseconds NeverHeard{3'600'000};

milliseconds age(TimePoint From, TimePoint Now) {
  return std::chrono::duration_cast<milliseconds>(Now - From);
}

} // namespace

void ProcessTable::heard(const wire::MemberStatus &Status,
                         const wire::LoadReport *Load) {
  std::lock_guard Lock(Mutex);
  store(Status, Load, Time.now());
}

void ProcessTable::gossip(const wire::MemberStatus &Status) {
  std::lock_guard Lock(Mutex);
  store(Status, nullptr, Time.now() - milliseconds(Status.age_ms()));
}

void ProcessTable::store(const wire::MemberStatus &Status,
                         const wire::LoadReport *Load, TimePoint HeardAt) {
  Row &R = Rows[Status.name()];
  if (HeardAt < R.HeardAt)
    return;
  // The report of an older message stays if this one carries none.
  if (R.Status.Member.incarnation() != Status.incarnation())
    R.Status.Load.reset();
  R.Status.Member = Status;
  R.HeardAt = HeardAt;
  if (Load != nullptr)
    R.Status.Load = *Load;
}

std::vector<ProcessStatus> ProcessTable::list(milliseconds MaxAge) const {
  const TimePoint Now = Time.now();
  std::vector<ProcessStatus> Out;
  std::lock_guard Lock(Mutex);
  for (const auto &[Name, R] : Rows) {
    const milliseconds Age = age(R.HeardAt, Now);
    if (Age > std::min(MaxAge, Forget))
      continue;
    Out.push_back(R.Status);
    Out.back().Member.set_age_ms(static_cast<std::uint32_t>(Age.count()));
  }
  return Out;
}

milliseconds ProcessTable::silence(std::uint64_t Incarnation) const {
  const TimePoint Now = Time.now();
  std::lock_guard Lock(Mutex);
  for (const auto &[Name, R] : Rows)
    if (R.Status.Member.incarnation() == Incarnation)
      return age(R.HeardAt, Now);
  return NeverHeard;
}

} // namespace hyssoprail::entry
