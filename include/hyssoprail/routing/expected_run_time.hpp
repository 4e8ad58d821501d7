#ifndef HYSSOPRAIL_ROUTING_EXPECTED_RUN_TIME_HPP
#define HYSSOPRAIL_ROUTING_EXPECTED_RUN_TIME_HPP

#include <chrono>
#include <cstdint>

#include "hyssoprail/routing/endpoint_table.hpp"

namespace hyssoprail::routing {

/// Usual time of one output token, until more is known of a service.
constexpr std::chrono::microseconds UsualTokenTime{3'000};

/// Expected time in which \p E generates \p Tokens, if an engine of the usual
/// speed needs \p TokenTime for one.
inline Duration
expectedRunTime(const Endpoint &E, std::uint64_t Tokens,
                std::chrono::microseconds TokenTime = UsualTokenTime) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(TokenTime) * static_cast<double>(Tokens) /
      E.SpeedFactor);
}

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_EXPECTED_RUN_TIME_HPP
