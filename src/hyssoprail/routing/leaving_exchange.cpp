#include "hyssoprail/routing/leaving_exchange.hpp"

#include <algorithm>

namespace hyssoprail::routing {
namespace {

/// An endpoint takes about 25 bytes, and a datagram has 64 KB for everything.
/// More endpoints are sent in turn.
constexpr std::size_t MaxPerMessage = 500;

} // namespace

template <typename Message>
std::vector<std::string> LeavingExchange::merge(const std::string &Peer,
                                                const Message &From) {
  std::vector<std::string> Out;
  for (const wire::LeavingEndpoint &L : From.leaving_endpoints())
    if (Table.recordLeaving(L.endpoint(), L.started_at_ms()))
      Out.push_back(L.endpoint());
  Peers[Peer].Digest = From.leaving_digest();
  return Out;
}

template <typename Message>
void LeavingExchange::addUnknown(const std::string &Peer, Message &Out) {
  const LeavingEndpoints &Known = Table.leaving();
  Out.set_leaving_digest(Known.digest());
  const auto It = Peers.find(Peer);
  PeerState Unheard;
  PeerState &To = It == Peers.end() ? Unheard : It->second;
  if (Known.digest() == To.Digest)
    return;
  const auto &All = Known.all();
  auto Next =
      All.size() <= MaxPerMessage ? All.begin() : All.upper_bound(To.LastSent);
  for (std::size_t I = 0; I < std::min(MaxPerMessage, All.size()); ++I) {
    if (Next == All.end())
      Next = All.begin();
    wire::LeavingEndpoint *L = Out.add_leaving_endpoints();
    L->set_endpoint(Next->first);
    L->set_started_at_ms(Next->second);
    To.LastSent = Next->first;
    ++Next;
  }
}

std::vector<std::string> LeavingExchange::take(const std::string &Peer,
                                               const wire::EntryReport &From) {
  return merge(Peer, From);
}

std::vector<std::string>
LeavingExchange::take(const std::string &Peer,
                      const wire::CoordinatorUpdate &From) {
  return merge(Peer, From);
}

void LeavingExchange::fill(const std::string &Peer, wire::EntryReport &Report) {
  addUnknown(Peer, Report);
  ReportedDigest = Table.leaving().digest();
}

void LeavingExchange::fill(const std::string &Peer,
                           wire::CoordinatorUpdate &Update) {
  addUnknown(Peer, Update);
}

} // namespace hyssoprail::routing
