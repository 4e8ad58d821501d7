#ifndef HYSSOPRAIL_PROCESS_LIMIT_OPTIONS_HPP
#define HYSSOPRAIL_PROCESS_LIMIT_OPTIONS_HPP

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail {

/// Times of the limits across the fleet. Safety depends on LeaseDuration,
/// ClockDrift and OutageGrace, which must be the same in all processes.
struct LimitOptions {
  milliseconds LeaseDuration{3'000}; ///< from the start of a log read
  double ClockDrift = 0.02;          ///< most that a clock is fast or slow
  milliseconds OutageGrace{120'000}; ///< longest time on promises
  milliseconds ReadInterval{500};    ///< between starts of log reads
  milliseconds PromiseMargin{1'500}; ///< lease left when promises are asked for
  milliseconds PromiseRoundInterval{
      1'000};                       ///< until a round of promises is repeated
  milliseconds ResendInterval{100}; ///< between sends of a waiting debit
  milliseconds DebitTimeout{500};   ///< longest wait for the owner
  milliseconds TakeOverDelay{500};  ///< owner not live, before a take-over
  milliseconds TakeOverStagger{1'000}; ///< further delay per rank
  milliseconds AppendRetryInterval{
      1'000}; ///< between sends of an open take-over

  /// Time on one clock during which \p Length passes on every other clock, if
  /// one runs slow by ClockDrift and the other fast.
  Duration driftSafeWait(Duration Length) const {
    const std::chrono::duration<double> Seconds(Length);
    // The millisecond covers rounding.
    return std::chrono::duration_cast<Duration>(
               Seconds * ((1 + ClockDrift) / (1 - ClockDrift))) +
           milliseconds(1);
  }

  /// Scale of rates on a clock that may run fast by ClockDrift.
  double rateFactor() const { return 1 / (1 + ClockDrift); }
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_LIMIT_OPTIONS_HPP
