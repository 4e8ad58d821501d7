#ifndef HYSSOPRAIL_PROCESS_LIMIT_OPTIONS_HPP
#define HYSSOPRAIL_PROCESS_LIMIT_OPTIONS_HPP

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail {

/// Timing of the fleet-wide limits. LeaseDuration, ClockDrift and OutageGrace
/// must be the same in all processes, as the bound depends on them.
struct LimitOptions {
  milliseconds LeaseDuration{3'000}; ///< from the start of a log read
  double ClockDrift = 0.02;          ///< maximum relative error of a clock
  milliseconds OutageGrace{120'000}; ///< max. time without a log read
  milliseconds ReadInterval{500};    ///< between starts of log reads
  milliseconds PromiseMargin{1'500}; ///< remaining lease to request promises at
  milliseconds PromiseRoundInterval{1'000}; ///< between promise rounds
  milliseconds ResendInterval{100}; ///< between sends of a pending debit
  milliseconds DebitTimeout{500};   ///< longest wait for the owner
  milliseconds TakeOverDelay{500};  ///< from loss of the owner to a take-over
  milliseconds TakeOverStagger{1'000};     ///< additional delay per rank
  milliseconds AppendRetryInterval{1'000}; ///< while a take-over is undecided

  /// Time to wait on the local clock so that at least \p Length passes on every
  /// other clock, even if the local clock is fast and the other one slow by
  /// ClockDrift.
  Duration driftSafeWait(Duration Length) const {
    const std::chrono::duration<double> Seconds(Length);
    // One millisecond more compensates for rounding.
    return std::chrono::duration_cast<Duration>(
               Seconds * ((1 + ClockDrift) / (1 - ClockDrift))) +
           milliseconds(1);
  }

  /// Factor for rates, so that a local clock that is fast by ClockDrift does
  /// not exceed them.
  double rateFactor() const { return 1 / (1 + ClockDrift); }
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_LIMIT_OPTIONS_HPP
