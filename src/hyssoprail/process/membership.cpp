#include "hyssoprail/process/membership.hpp"

#include <algorithm>
#include <array>
#include <set>

#include "hyssoprail/core/enum_names.hpp"

namespace hyssoprail {
namespace {

constexpr std::array<EnumName<Liveness>, 3> LivenessNames{{
    {Liveness::Live, "live"},
    {Liveness::Suspected, "suspected"},
    {Liveness::Gone, "gone"},
}};

std::uint32_t ageMillis(TimePoint HeardAt, TimePoint Now) {
  const auto Age = std::chrono::duration_cast<milliseconds>(Now - HeardAt);
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(Age.count(), 0, UINT32_MAX));
}

} // namespace

std::string_view livenessName(Liveness State) {
  return enumName(LivenessNames, State);
}

bool Membership::recordMessage(const wire::MemberStatus &Status, TimePoint Now,
                               const wire::LoadReport *Load) {
  Record &R = merge(Status, Now);
  if (R.Superseded)
    return false;
  if (Load != nullptr)
    R.Load = *Load;
  for (auto It = Incarnations.lower_bound({Status.name(), 0});
       It != Incarnations.end() && It->first.first == Status.name(); ++It)
    if (It->first.second != Status.incarnation())
      It->second.Superseded = true;
  return true;
}

void Membership::recordGossip(const wire::MemberStatus &Status, TimePoint Now) {
  const milliseconds Age(Status.age_ms());
  if (Age < Options.ExpireAfter)
    merge(Status, Now - Age);
}

Membership::Record &Membership::merge(const wire::MemberStatus &Status,
                                      TimePoint HeardAt) {
  const auto [It, Added] =
      Incarnations.try_emplace({Status.name(), Status.incarnation()},
                               Record{Status, HeardAt, {}, false});
  Record &R = It->second;
  if (Added)
    return R;
  const std::uint64_t Version = std::max(R.Status.version(), Status.version());
  const bool Leaving = R.Status.leaving() || Status.leaving();
  // The other fields are constant within an incarnation, and a message that
  // lacks one of them must not clear it.
  R.Status.MergeFrom(Status);
  R.Status.set_version(Version);
  R.Status.set_leaving(Leaving);
  R.HeardAt = std::max(R.HeardAt, HeardAt);
  return R;
}

void Membership::setVmHints(const std::vector<VmHint> &List) {
  VmHints.clear();
  for (const VmHint &V : List)
    VmHints[V.PeerAddress] = V;
}

/// Returns the current incarnation of each name, sorted by name.
std::vector<const Membership::Record *>
Membership::currentRecords(TimePoint Now) const {
  std::vector<const Record *> Out;
  for (const auto &[Id, R] : Incarnations) {
    if (R.Superseded || Now - R.HeardAt >= Options.ExpireAfter)
      continue;
    if (Out.empty() || Out.back()->Status.name() != R.Status.name())
      Out.push_back(&R);
    else if (Out.back()->HeardAt < R.HeardAt)
      Out.back() = &R;
  }
  return Out;
}

Liveness Membership::livenessAt(const Record &R, TimePoint Now) const {
  if (Now - R.HeardAt >= Options.GoneAfter)
    return Liveness::Gone;
  return Now - R.HeardAt > Options.SuspectAfter ? Liveness::Suspected
                                                : Liveness::Live;
}

std::vector<MemberView> Membership::members(TimePoint Now) const {
  std::vector<MemberView> Out;
  for (const Record *R : currentRecords(Now)) {
    MemberView &View = Out.emplace_back(
        MemberView{R->Status, R->Load, livenessAt(*R, Now), false});
    View.Status.set_age_ms(ageMillis(R->HeardAt, Now));
    const auto Vm = VmHints.find(R->Status.peer_address());
    View.Leaving =
        R->Status.leaving() || (Vm != VmHints.end() && Vm->second.Leaving);
  }
  return Out;
}

Liveness Membership::liveness(std::uint64_t Incarnation, TimePoint Now) const {
  for (const Record *R : currentRecords(Now))
    if (R->Status.incarnation() == Incarnation)
      return livenessAt(*R, Now);
  return Liveness::Gone;
}

std::vector<std::string> Membership::processesBehind(std::uint64_t Version,
                                                     TimePoint Now) const {
  std::vector<std::string> Out;
  for (const Record *R : currentRecords(Now))
    if (livenessAt(*R, Now) != Liveness::Gone && R->Status.version() < Version)
      Out.push_back(R->Status.name());
  return Out;
}

std::vector<std::string> Membership::entryAddresses(TimePoint Now) const {
  std::set<std::string> Out;
  for (const auto &[Address, Vm] : VmHints)
    if (Vm.Role == "entry" && !Address.empty())
      Out.insert(Address);
  for (const Record *R : currentRecords(Now))
    if (R->Status.role() == "entry" && livenessAt(*R, Now) != Liveness::Gone &&
        !R->Status.peer_address().empty())
      Out.insert(R->Status.peer_address());
  return {Out.begin(), Out.end()};
}

std::vector<wire::MemberStatus> Membership::gossipToSend(TimePoint Now) {
  std::vector<const Record *> NotGone = currentRecords(Now);
  std::erase_if(NotGone, [&](const Record *R) {
    return livenessAt(*R, Now) == Liveness::Gone;
  });
  const std::size_t Count = std::min(Options.MaxGossipMembers, NotGone.size());
  std::vector<wire::MemberStatus> Out;
  for (std::size_t I = 0; I < Count; ++I) {
    const Record *R = NotGone[(NextGossip + I) % NotGone.size()];
    Out.push_back(R->Status);
    Out.back().set_age_ms(ageMillis(R->HeardAt, Now));
  }
  NextGossip = NotGone.empty() ? 0 : (NextGossip + Count) % NotGone.size();
  return Out;
}

void Membership::removeExpired(TimePoint Now) {
  std::erase_if(Incarnations, [&](const auto &Entry) {
    return Now - Entry.second.HeardAt >= Options.ExpireAfter;
  });
}

} // namespace hyssoprail
