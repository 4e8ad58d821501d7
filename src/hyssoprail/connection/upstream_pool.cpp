#include "hyssoprail/connection/upstream_pool.hpp"

#include <algorithm>
#include <charconv>
#include <functional>
#include <utility>

#include <netinet/tcp.h>

namespace hyssoprail {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

/// A connection is closed after this many named requests, because their ids are
/// remembered with it. A new one for every 256 requests costs little.
constexpr std::size_t MaxRequestsPerConnection = 256;

/// Idle time after which a connection is not reused if the endpoint announces
/// none; a request sent while the endpoint closes the connection would be lost.
constexpr milliseconds DefaultIdleTime{2'500};
/// Subtracted from the idle timeout that the endpoint announces.
constexpr milliseconds IdleMargin{700};
constexpr milliseconds MaxIdleTime{20'000};

/// A connection fails if sent data stays unacknowledged for this time, because
/// a peer behind a network partition sends no reset.
constexpr milliseconds UserTimeout{3'000};

/// Bodies up to this size fit into the window of an endpoint that does not read
/// (65,535 bytes at the start of a connection), with their heads. The kernel
/// fails a connection whose window stays closed for the user timeout, too.
constexpr std::size_t WindowBytes = std::size_t{32} * 1024;

/// Limit of received bytes that cannot be parsed yet: an incomplete response
/// head, or the size and the extensions of a chunk.
constexpr std::size_t MaxBufferedBytes = std::size_t{128} * 1024;

void setUserTimeout(tcp::socket &Socket, milliseconds Limit) {
  using Option = boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                             TCP_USER_TIMEOUT>;
  boost::system::error_code Ignored;
  Socket.set_option(Option(static_cast<int>(Limit.count())), Ignored);
}

} // namespace

std::size_t hashOfId(const std::string &RequestId) {
  return RequestId.empty() ? 0 : std::hash<std::string>()(RequestId);
}

/// The connection ends with a reset: after an ordinary close the kernel goes on
/// sending what the endpoint has not acknowledged, so a request that was given
/// up could arrive seconds later.
void setUpstreamOptions(tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
}

void setAcknowledgementLimit(ClientConnection &C, std::size_t BodyBytes,
                             milliseconds Timeout) {
  const milliseconds Limit =
      BodyBytes <= WindowBytes ? UserTimeout : std::max(UserTimeout, Timeout);
  if (std::exchange(C.UserTimeout, Limit) != Limit)
    setUserTimeout(C.Stream.socket(), Limit);
}

milliseconds reusableIdleTime(std::string_view KeepAlive) {
  constexpr std::string_view Name = "timeout=";
  const auto At = KeepAlive.find(Name);
  if (At == std::string_view::npos)
    return DefaultIdleTime;
  int Seconds = 0;
  const char *Begin = KeepAlive.data() + At + Name.size();
  std::from_chars(Begin, KeepAlive.data() + KeepAlive.size(), Seconds);
  const milliseconds Announced = std::chrono::seconds(Seconds);
  return std::min(MaxIdleTime, Announced - IdleMargin);
}

UpstreamPool::UpstreamPool(boost::asio::io_context &Context)
    : Context(Context),
      Idle(std::make_shared<IdleConnections>(Context, IdleBounds(),
                                             IdleConnections::Watch::Always)) {}

ClientConnectionPtr UpstreamPool::take(const IdlePeer &Peer,
                                       std::size_t IdHash) {
  ClientConnectionPtr C =
      Idle->take(Peer, [IdHash](const ClientConnection &Candidate) {
        return IdHash == 0 || !Candidate.hasSent(IdHash);
      });
  if (C)
    ++Counters.Reuses;
  return C;
}

ClientConnectionPtr UpstreamPool::create() {
  ++Counters.Connects;
  return std::make_shared<ClientConnection>(Context, MaxBufferedBytes);
}

void UpstreamPool::keep(const IdlePeer &Peer, ClientConnectionPtr C,
                        milliseconds IdleTime) {
  if (C->SentIds.size() < MaxRequestsPerConnection)
    Idle->keep(Peer, std::move(C), IdleTime);
}

std::shared_ptr<PeerUse> UpstreamPool::use(const IdlePeer &Peer) {
  if (const auto Found = Uses.find(Peer); Found != Uses.end())
    if (auto Present = Found->second.lock())
      return Present;
  std::shared_ptr<PeerUse> Out(new PeerUse,
                               [Weak = weak_from_this(), Peer](PeerUse *Ended) {
                                 delete Ended;
                                 if (const auto Self = Weak.lock())
                                   Self->forget(Peer);
                               });
  Uses[Peer] = Out;
  return Out;
}

void UpstreamPool::closeIncarnation(const std::string &Incarnation,
                                    const std::string &KeptAuthority) {
  auto It = Uses.lower_bound({Incarnation, ""});
  while (It != Uses.end() && It->first.Incarnation == Incarnation) {
    const auto Present = It++;
    if (Present->first.Authority == KeptAuthority)
      continue;
    if (const auto Use = Present->second.lock())
      Use->Left = true;
    // A peer that comes back is used anew.
    Uses.erase(Present);
  }
  Idle->closeIncarnation(Incarnation, KeptAuthority);
}

/// The entry stays if another request has begun to use the peer meanwhile.
void UpstreamPool::forget(const IdlePeer &Peer) {
  const auto Found = Uses.find(Peer);
  if (Found != Uses.end() && Found->second.expired())
    Uses.erase(Found);
}

UpstreamCounters UpstreamPool::counters() const {
  UpstreamCounters Out = Counters;
  Out.StrayDataConnections += Idle->strayData();
  return Out;
}

} // namespace hyssoprail
