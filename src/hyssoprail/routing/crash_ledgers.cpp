#include "hyssoprail/routing/crash_ledgers.hpp"

#include <algorithm>

namespace hyssoprail::routing {

RunCrashWatch CrashLedgers::watch(const RequestInfo &Info) {
  if (Info.Fingerprint.empty())
    return {Prompts, Info.PromptParts};
  return {Requests, {Info.Fingerprint}};
}

void CrashLedgers::notePeer(const std::string &Peer,
                            std::uint64_t PeerIncarnation) {
  Prompts.notePeer(Peer, PeerIncarnation);
  Requests.notePeer(Peer, PeerIncarnation);
}

void CrashLedgers::keepPeers(const std::set<std::string> &Names) {
  Prompts.keepPeers(Names);
  Requests.keepPeers(Names);
}

std::size_t CrashLedgers::peerCount() const {
  return std::max(Prompts.peerCount(), Requests.peerCount());
}

std::uint64_t CrashLedgers::revision() const {
  return Prompts.revision() + Requests.revision();
}

bool CrashLedgers::worthPublishing(TimePoint Now) {
  return Prompts.worthPublishing(Now) || Requests.worthPublishing(Now);
}

std::string CrashLedgers::encode(TimePoint Now, std::int64_t UnixMicros) {
  wire::CrashDelta Out;
  Prompts.fillRecord(Out, Now, UnixMicros);
  Requests.fillRecord(*Out.mutable_requests(), Now, UnixMicros);
  return Out.SerializeAsString();
}

void CrashLedgers::merge(std::string_view Encoded, TimePoint Now,
                         std::int64_t UnixMicros) {
  wire::CrashDelta In;
  if (!In.ParseFromArray(Encoded.data(), static_cast<int>(Encoded.size())))
    return;
  Prompts.mergeRecord(In, Now, UnixMicros);
  if (In.has_requests())
    Requests.mergeRecord(In.requests(), Now, UnixMicros);
}

} // namespace hyssoprail::routing
