#include "hyssoprail/entry/config_freshness.hpp"

#include <algorithm>

namespace hyssoprail::entry {
namespace {

/// Peers that were silent for this long are forgotten.
constexpr milliseconds ForgetPeer{300'000};

/// Reported as the log's age before the first read.
constexpr milliseconds NeverRead{3'600'000};

} // namespace

void ConfigFreshness::logRead(TimePoint Began) {
  LogReadAt = LogReadAt ? std::max(*LogReadAt, Began) : Began;
}

void ConfigFreshness::peerHeard(std::uint64_t Incarnation,
                                const PeerLogView &View) {
  std::erase_if(Peers, [&](const auto &Entry) {
    return View.HeardAt - Entry.second.HeardAt > ForgetPeer;
  });
  Peers[Incarnation] = View;
}

std::optional<Error>
ConfigFreshness::whyStale(TimePoint Now, std::uint64_t Version,
                          const std::vector<std::uint64_t> &Members) {
  if (LogReadAt && Now - *LogReadAt <= Options.KeyStaleness)
    return std::nullopt;
  for (const auto &[Incarnation, View] : Peers)
    if (Now - View.LogReadAt <= Options.KeyStaleness && View.Version <= Version)
      return std::nullopt;
  if (plainOutage(Now, Version, Members))
    return std::nullopt;
  return Error{ErrorKind::Unavailable,
               "the entry cannot check keys: neither the log nor an entry that "
               "has read it can be reached",
               "send the request again later or to another entry", "",
               milliseconds(1'000)};
}

/// Nobody can append while the log is down, so the copy stays right as long as
/// no member has seen more of the log.
bool ConfigFreshness::plainOutage(
    TimePoint Now, std::uint64_t Version,
    const std::vector<std::uint64_t> &Members) const {
  if (!LogReadAt || Now - *LogReadAt > Options.OutageGrace)
    return false;
  return std::all_of(Members.begin(), Members.end(), [&](std::uint64_t Member) {
    const auto It = Peers.find(Member);
    return It != Peers.end() && Now - It->second.HeardAt <= Options.Suspect &&
           It->second.Version <= Version;
  });
}

milliseconds ConfigFreshness::logAge(TimePoint Now) const {
  if (!LogReadAt)
    return NeverRead;
  return std::min(NeverRead,
                  std::chrono::duration_cast<milliseconds>(Now - *LogReadAt));
}

} // namespace hyssoprail::entry
