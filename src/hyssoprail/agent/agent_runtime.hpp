#ifndef HYSSOPRAIL_AGENT_AGENT_RUNTIME_HPP
#define HYSSOPRAIL_AGENT_AGENT_RUNTIME_HPP

#include <atomic>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/agent/engine_gateway.hpp"
#include "hyssoprail/connection/bus.hpp"
#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/connection/http_server.hpp"
#include "hyssoprail/process/agent_core.hpp"
#include "hyssoprail/process/log.hpp"
#include "hyssoprail/process/metrics.hpp"
#include "hyssoprail/process/settings.hpp"

namespace hyssoprail {

/// Connects AgentCore to sockets and timers. All decisions run on the thread
/// that calls run(); the bus and the HTTP server post to it.
///
/// \code
///   AgentRuntime Runtime(Settings, Time, Config);
///   return Runtime.run();
/// \endcode
class AgentRuntime {
public:
  AgentRuntime(AgentSettings Settings, const Clock &Time, AgentConfig &Config);
  ~AgentRuntime();

  /// Serves until a SIGTERM or SIGINT was received and all live work has
  /// finished. Returns the exit code.
  int run();

private:
  AgentOptions coreOptions() const;
  Status start();
  void scheduleTick();
  void performActions();
  void serve(const std::shared_ptr<HttpExchange> &Exchange);
  void serveTimeline(HttpExchange &Exchange) const;
  void answerTimeline(const BusSource &To, const wire::TimelineQuery &Query);
  std::string metricsText();

  AgentSettings Settings;
  const Clock &Time;
  std::shared_ptr<spdlog::logger> Log;
  const std::uint64_t Incarnation;
  Timeline Events;
  Invariants Checks;
  Metrics Numbers;
  boost::asio::io_context Context;
  boost::asio::steady_timer Ticker;
  boost::asio::signal_set Signals;
  std::unique_ptr<HttpClient> Client;
  EngineGateway Gateway;
  std::unique_ptr<Bus> Messages;
  std::unique_ptr<HttpServer> Server;
  AgentCore Core;
  std::atomic<bool> Ready{false};
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_AGENT_AGENT_RUNTIME_HPP
