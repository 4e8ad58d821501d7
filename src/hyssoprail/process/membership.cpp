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
  for (auto It = Known.lower_bound({Status.name(), 0});
       It != Known.end() && It->first.first == Status.name(); ++It)
    if (It->first.second != Status.incarnation())
      It->second.Superseded = true;
  return true;
}

void Membership::recordGossip(const wire::MemberStatus &Status, TimePoint Now) {
  const milliseconds Age(Status.age_ms());
  if (Age < Options.ForgetAfter)
    merge(Status, Now - Age);
}

Membership::Record &Membership::merge(const wire::MemberStatus &Status,
                                      TimePoint HeardAt) {
  const auto [It, Added] =
      Known.try_emplace({Status.name(), Status.incarnation()},
                        Record{Status, HeardAt, {}, false});
  Record &R = It->second;
  if (Added)
    return R;
  const std::uint64_t Version = std::max(R.Status.version(), Status.version());
  const bool Leaving = R.Status.leaving() || Status.leaving();
  // The other fields do not change within an incarnation; a message that lacks
  // one of them must not erase it.
  R.Status.MergeFrom(Status);
  R.Status.set_version(Version);
  R.Status.set_leaving(Leaving);
  R.HeardAt = std::max(R.HeardAt, HeardAt);
  return R;
}

void Membership::vmList(const std::vector<VmHint> &List) {
  Vms.clear();
  for (const VmHint &V : List)
    Vms[V.PeerAddress] = V;
}

/// The incarnation of each name that was heard of last.
std::vector<const Membership::Record *>
Membership::current(TimePoint Now) const {
  std::vector<const Record *> Out;
  for (const auto &[Id, R] : Known) {
    if (R.Superseded || Now - R.HeardAt >= Options.ForgetAfter)
      continue;
    if (Out.empty() || Out.back()->Status.name() != R.Status.name())
      Out.push_back(&R);
    else if (Out.back()->HeardAt < R.HeardAt)
      Out.back() = &R;
  }
  return Out;
}

Liveness Membership::stateAt(const Record &R, TimePoint Now) const {
  if (Now - R.HeardAt >= Options.GoneAfter)
    return Liveness::Gone;
  return Now - R.HeardAt > Options.SuspectAfter ? Liveness::Suspected
                                                : Liveness::Live;
}

std::vector<MemberView> Membership::members(TimePoint Now) const {
  std::vector<MemberView> Out;
  for (const Record *R : current(Now)) {
    MemberView &View = Out.emplace_back(
        MemberView{R->Status, R->Load, stateAt(*R, Now), false});
    View.Status.set_age_ms(ageMillis(R->HeardAt, Now));
    const auto Vm = Vms.find(R->Status.peer_address());
    View.Leaving =
        R->Status.leaving() || (Vm != Vms.end() && Vm->second.Leaving);
  }
  return Out;
}

Liveness Membership::liveness(std::uint64_t Incarnation, TimePoint Now) const {
  for (const Record *R : current(Now))
    if (R->Status.incarnation() == Incarnation)
      return stateAt(*R, Now);
  return Liveness::Gone;
}

std::vector<std::string> Membership::behind(std::uint64_t Version,
                                            TimePoint Now) const {
  std::vector<std::string> Out;
  for (const Record *R : current(Now))
    if (stateAt(*R, Now) != Liveness::Gone && R->Status.version() < Version)
      Out.push_back(R->Status.name());
  return Out;
}

std::vector<std::string> Membership::entryAddresses(TimePoint Now) const {
  std::set<std::string> Out;
  for (const auto &[Address, Vm] : Vms)
    if (Vm.Role == "entry" && !Address.empty())
      Out.insert(Address);
  for (const Record *R : current(Now))
    if (R->Status.role() == "entry" && stateAt(*R, Now) != Liveness::Gone &&
        !R->Status.peer_address().empty())
      Out.insert(R->Status.peer_address());
  return {Out.begin(), Out.end()};
}

std::vector<wire::MemberStatus> Membership::gossipToSend(TimePoint Now) {
  std::vector<const Record *> Present = current(Now);
  std::erase_if(Present, [&](const Record *R) {
    return stateAt(*R, Now) == Liveness::Gone;
  });
  const std::size_t Count = std::min(Options.MaxGossip, Present.size());
  std::vector<wire::MemberStatus> Out;
  for (std::size_t I = 0; I < Count; ++I) {
    const Record *R = Present[(NextToPass + I) % Present.size()];
    Out.push_back(R->Status);
    Out.back().set_age_ms(ageMillis(R->HeardAt, Now));
  }
  NextToPass = Present.empty() ? 0 : (NextToPass + Count) % Present.size();
  return Out;
}

void Membership::removeExpired(TimePoint Now) {
  std::erase_if(Known, [&](const auto &Entry) {
    return Now - Entry.second.HeardAt >= Options.ForgetAfter;
  });
}

} // namespace hyssoprail
