#include "hyssoprail/entry/membership_recorder.hpp"

#include <algorithm>

namespace hyssoprail::entry {
namespace {

/// An entry is removed only after the log was healthy for this long, the time
/// of silence after which Membership calls it gone.
constexpr milliseconds GoneAfter = MembershipOptions().GoneAfter;

/// Between two appends of the same record.
constexpr milliseconds AppendPause{1'000};

} // namespace

std::optional<wire::Member> MembershipRecorder::next(
    TimePoint Now, const std::vector<wire::MemberState> &Members,
    const std::function<Liveness(std::uint64_t)> &State, bool LogHealthy) {
  if (!LogHealthy)
    HealthySince.reset();
  else if (!HealthySince)
    HealthySince = Now;
  if (!LogHealthy || Now < NotBefore)
    return std::nullopt;
  const auto IsSelf = [this](const wire::MemberState &M) {
    return M.member().incarnation() == Self.incarnation();
  };
  if (std::none_of(Members.begin(), Members.end(), IsSelf)) {
    NotBefore = Now + AppendPause;
    return Self;
  }
  // Silence counts only while the log was healthy all the time.
  if (Now - *HealthySince < GoneAfter || !isFirstLive(Members, State))
    return std::nullopt;
  for (const wire::MemberState &M : Members) {
    if (IsSelf(M) || State(M.member().incarnation()) != Liveness::Gone)
      continue;
    NotBefore = Now + AppendPause;
    wire::Member Gone = M.member();
    Gone.set_gone(true);
    return Gone;
  }
  return std::nullopt;
}

/// One live member removes the others, so that they do not all append.
bool MembershipRecorder::isFirstLive(
    const std::vector<wire::MemberState> &Members,
    const std::function<Liveness(std::uint64_t)> &State) const {
  return std::none_of(
      Members.begin(), Members.end(), [&](const wire::MemberState &M) {
        return M.member().incarnation() < Self.incarnation() &&
               State(M.member().incarnation()) == Liveness::Live;
      });
}

} // namespace hyssoprail::entry
