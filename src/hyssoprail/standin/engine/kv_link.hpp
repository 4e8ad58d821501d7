#ifndef HYSSOPRAIL_STANDIN_ENGINE_KV_LINK_HPP
#define HYSSOPRAIL_STANDIN_ENGINE_KV_LINK_HPP

#include <list>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/standin/program.hpp"

namespace hyssoprail::standin {

/// The engine's outgoing link. Its rate is shared equally by the transfers.
class KvLink {
public:
  KvLink(boost::asio::io_context &Context, std::uint64_t BytesPerSecond);

  /// Streams \p Head followed by filler, \p Bytes in all.
  void send(ExchangePtr Exchange, std::string Head, std::uint64_t Bytes);

  /// While stalled, transfers stay open and make no progress.
  void setStalled(bool On) { Stalled = On; }

  /// Breaks every transfer.
  void abortAll();

private:
  struct Transfer {
    ExchangePtr Exchange;
    std::uint64_t Left = 0;
  };

  void tick();

  boost::asio::steady_timer Timer;
  std::uint64_t BytesPerSecond;
  std::list<Transfer> Transfers;
  std::chrono::steady_clock::time_point Last;
  bool Ticking = false;
  bool Stalled = false;
};

} // namespace hyssoprail::standin

#endif // HYSSOPRAIL_STANDIN_ENGINE_KV_LINK_HPP
