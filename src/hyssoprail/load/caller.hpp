#ifndef HYSSOPRAIL_LOAD_CALLER_HPP
#define HYSSOPRAIL_LOAD_CALLER_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/load/sample.hpp"

namespace hyssoprail::load {

/// Where and as whom requests are sent.
struct CallerOptions {
  std::vector<std::string> Entries; ///< "IP:PORT", used in turn
  std::vector<std::string> Keys;    ///< by account index
  std::string ChatModel = "m1";
  std::string SummaryModel = "m1-batch";
  std::chrono::milliseconds DrainTime{20'000}; ///< after the last arrival
  /// Share of an account's requests that goes to the first entry, to model
  /// callers that keep their connections; 0 spreads evenly.
  double Skew = 0;
};

/// A function to call at a time of the run, for faults and zone changes.
struct ScheduledAction {
  std::chrono::milliseconds At{0};
  std::function<void()> Run;
};

/// Sends the plan at its times, whatever the answers, and returns one sample
/// for each arrival. Runs on the calling thread.
std::vector<Sample> runPlan(const CallerOptions &Options,
                            const std::vector<Arrival> &Plan,
                            std::vector<ScheduledAction> Actions = {});

} // namespace hyssoprail::load

#endif // HYSSOPRAIL_LOAD_CALLER_HPP
