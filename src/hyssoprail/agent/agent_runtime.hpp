#ifndef HYSSOPRAIL_AGENT_AGENT_RUNTIME_HPP
#define HYSSOPRAIL_AGENT_AGENT_RUNTIME_HPP

#include <atomic>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/agent/engine_client.hpp"
#include "hyssoprail/connection/bus.hpp"
#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/connection/http_server.hpp"
#include "hyssoprail/process/agent_core.hpp"
#include "hyssoprail/process/log.hpp"
#include "hyssoprail/process/metrics.hpp"
#include "hyssoprail/process/settings.hpp"

namespace hyssoprail {

/// Connects AgentCore to sockets and timers. AgentCore is used only on the
/// thread that calls run(): bus messages and requests for metrics are posted to
/// that thread. Other HTTP requests are answered on the HTTP server's threads.
///
/// \code
///   AgentRuntime Runtime(Settings, Time, Config);
///   return Runtime.run();
/// \endcode
class AgentRuntime {
public:
  AgentRuntime(AgentSettings Settings, const Clock &Time, AgentConfig &Config);
  ~AgentRuntime();

  /// Runs until SIGTERM or SIGINT has been received, all work has finished, and
  /// its last results have had time to leave the process. Returns the exit
  /// code.
  int run();

private:
  AgentOptions agentOptions() const;
  Status start();
  void scheduleTick();
  void performActions();
  void handleRequest(const std::shared_ptr<HttpExchange> &Exchange);
  void respondWithTimeline(HttpExchange &Exchange) const;
  void sendTimelineReply(const BusSource &Source,
                         const wire::TimelineQuery &Query);
  std::string metricsText();

  AgentSettings Settings;
  const Clock &Time;
  std::shared_ptr<spdlog::logger> Log;
  const std::uint64_t Incarnation;
  Timeline Events;
  Invariants Checks;
  Metrics Gauges;
  boost::asio::io_context Context;
  boost::asio::steady_timer TickTimer;
  boost::asio::signal_set Signals;
  std::unique_ptr<HttpClient> Client;
  EngineClient EngineApi;
  std::unique_ptr<Bus> MessageBus;
  std::unique_ptr<HttpServer> Server;
  AgentCore Core;
  std::atomic<bool> Ready{false};
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_AGENT_AGENT_RUNTIME_HPP
