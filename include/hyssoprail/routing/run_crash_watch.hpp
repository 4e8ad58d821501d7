#ifndef HYSSOPRAIL_ROUTING_RUN_CRASH_WATCH_HPP
#define HYSSOPRAIL_ROUTING_RUN_CRASH_WATCH_HPP

#include <cstdint>
#include <optional>
#include <utility>

#include "hyssoprail/routing/crash_ledger.hpp"

namespace hyssoprail::routing {

/// Tells the crash ledger how the runs of one request begin and end. A run is
/// the work of one engine on its answer.
class RunCrashWatch {
public:
  /// What is known of one run.
  struct Run {
    EndpointRecord Engine; ///< as registered when the run began
    TimePoint BeganAt{};
    std::uint64_t Events = 0;
    bool Resumed = false; ///< another run has made the events before
    std::optional<TimePoint> ConnectedAt{}; ///< its connection
  };

  RunCrashWatch(CrashLedger &Ledger, PromptParts Parts)
      : Ledger(Ledger), Parts(std::move(Parts)) {}

  /// True if the prompt has to be kept from the engines.
  bool isQuarantined(TimePoint Now) const {
    return Ledger.isQuarantined(Parts, Now);
  }

  /// The request is sent to \p NewEngine, which goes on with the answer of
  /// another run if \p Resumed is set.
  void begin(const EndpointRecord &NewEngine, TimePoint Now,
             bool Resumed = false);

  /// The answer begins on a connection that is open since \p Since.
  void connected(std::optional<TimePoint> Since) {
    Current.ConnectedAt = Since;
  }

  /// The engine has sent data with \p NewEvents events.
  void received(std::uint64_t NewEvents, TimePoint Now);

  /// The endpoint has sent data on a connection that is open since \p Since.
  void alive(TimePoint Since, TimePoint Now);

  /// The run has come to its end: the engine has survived what it did of the
  /// request. Nothing before the end shows that, however much has arrived.
  void completed(TimePoint Now);

  /// The connection broke before the end of the run: the engine may have
  /// crashed under this prompt.
  void broke(TimePoint Now);

  /// False if so many engines may have crashed under this prompt that the
  /// request itself may be the cause.
  bool mayRunAgain() const;

  /// Events of the present run.
  std::uint64_t events() const { return Current.Events; }

  /// The present run, to be watched again after another one.
  const Run &run() const { return Current; }
  void restore(Run Earlier) { Current = std::move(Earlier); }

private:
  CrashLedger &Ledger;
  const PromptParts Parts;
  Run Current;
  unsigned SuspectedCrashes = 0;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_RUN_CRASH_WATCH_HPP
