#ifndef HYSSOPRAIL_CONNECTION_IDLE_BOUNDS_HPP
#define HYSSOPRAIL_CONNECTION_IDLE_BOUNDS_HPP

#include <cstddef>

namespace hyssoprail {

/// Largest numbers of idle connections of a client.
struct IdleBounds {
  std::size_t PerPeer = 24;
  std::size_t Total = 256;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_IDLE_BOUNDS_HPP
