#ifndef HYSSOPRAIL_CONNECTION_CLIENT_CONNECTION_HPP
#define HYSSOPRAIL_CONNECTION_CLIENT_CONNECTION_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace hyssoprail {

/// A connection to a server, in use or idle.
struct ClientConnection {
  /// \p MaxBufferedBytes limits received bytes that cannot be parsed yet.
  ClientConnection(boost::asio::io_context &Context,
                   std::size_t MaxBufferedBytes)
      : Stream(Context), Buffer(MaxBufferedBytes) {}

  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Buffer;
  std::chrono::steady_clock::time_point UsableUntil; ///< while it is idle
  std::chrono::steady_clock::time_point ConnectedAt;
  /// Time after which it fails without an acknowledgement; 0: the kernel's own.
  std::chrono::milliseconds UserTimeout{0};
  std::vector<std::size_t> SentIds; ///< hashes of the ids that were sent on it

  /// Also true, rarely, for an id whose hash is the same.
  bool hasSent(std::size_t IdHash) const {
    return std::find(SentIds.begin(), SentIds.end(), IdHash) != SentIds.end();
  }
};

using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_CLIENT_CONNECTION_HPP
