#ifndef HYSSOPRAIL_TESTBED_FLEET_HPP
#define HYSSOPRAIL_TESTBED_FLEET_HPP

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "hyssoprail/testbed/child_process.hpp"
#include "hyssoprail/testbed/fleet_options.hpp"
#include "hyssoprail/testbed/sync_http.hpp"

namespace hyssoprail::testbed {

/// Operator token of every test fleet.
constexpr const char *OperatorToken = "operator-token";

/// A fleet of real processes on loopback: platform stand-in, engines and
/// services with their agents, and entries, configured and ready to serve.
/// Processes are named platform, prefill-N, decode-N, service-N (stand-ins),
/// agent-prefill-N, agent-decode-N, agent-service-N and entry-N, from 0.
///
/// \code
///   Fleet F(Options);
///   if (const Error *E = errorOf(F.start())) ...
///   F.http().fetch(F.entryAddress(0), "/healthz");
/// \endcode
class Fleet {
public:
  explicit Fleet(FleetOptions Options);
  ~Fleet();

  /// Starts everything, applies the configuration, and waits until every
  /// entry is ready.
  Status start();

  /// Ends every process: SIGTERM to entries and agents, then kill. Returns an
  /// error that names each process that did not exit with 0 in time.
  Status stop(std::chrono::milliseconds Timeout = std::chrono::seconds(15));

  ChildProcess &process(const std::string &Name);

  /// Starts a process that ended, on its former ports; no effect on one that
  /// runs.
  Status restart(const std::string &Name);

  /// "IP:PORT" of the caller's or the admin side of an entry.
  std::string entryAddress(unsigned Index) const;
  std::string adminAddress(unsigned Index) const;

  /// "IP:PORT" of a process's HTTP port.
  std::string httpAddress(const std::string &Name) const;

  /// Key of a client account.
  static std::string key(const std::string &Account);

  /// Sends a configuration change through entry \p Entry; returns the version.
  Result<std::uint64_t> change(const std::string &Kind, const std::string &Name,
                               nlohmann::json Value, bool Remove = false,
                               unsigned Entry = 0);

  /// Sets faults of the platform stand-in.
  Status faults(const nlohmann::json &Faults);

  /// Waits until \p Condition holds; returns false when \p Timeout passed.
  static bool waitUntil(const std::function<bool()> &Condition,
                        std::chrono::milliseconds Timeout);

  /// Waits until every entry has applied \p Version.
  bool waitInForce(std::uint64_t Version, std::chrono::milliseconds Timeout);

  SyncHttp &http() { return Http; }
  const FleetOptions &options() const { return Options; }

private:
  Status launch(const std::string &Name, const std::string &Program,
                std::vector<std::string> Arguments);
  Status startStandins();
  Status startAgents();
  Status startAgent(const std::string &Role, unsigned Index);
  Status startEntries();
  Status configure();
  Status configureEndpoints();
  Status configureCallers();
  void pinPorts(const std::string &Name);
  std::string writeSettings(const std::string &Name,
                            const nlohmann::json &Settings);

  FleetOptions Options;
  SyncHttp Http;
  std::map<std::string, std::unique_ptr<ChildProcess>> Processes;
  std::map<std::string, nlohmann::json> Settings;
  std::uint64_t NextOperation = 0;
};

} // namespace hyssoprail::testbed

#endif // HYSSOPRAIL_TESTBED_FLEET_HPP
