#ifndef HYSSOPRAIL_TESTBED_FLEET_PROBE_HPP
#define HYSSOPRAIL_TESTBED_FLEET_PROBE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "hyssoprail/testbed/fleet.hpp"

namespace hyssoprail::testbed {

/// Options of a small fleet for one test: programs beside the test program,
/// settings and logs in run/NAME, violations fatal.
FleetOptions testFleet(const std::string &Name);

/// Questions that tests ask of a running fleet.
class FleetProbe {
public:
  explicit FleetProbe(Fleet &F) : F(F) {}

  /// A streamed completion of the account "acme".
  HttpCall completion(const std::string &Prompt, unsigned MaxTokens,
                      unsigned Entry = 0) const;

  /// Sends a plain call of the account "acme".
  Result<HttpResponse> call(const std::string &Method,
                            const std::string &Target, const std::string &Body,
                            HttpHeaders Headers = {}, unsigned Entry = 0);

  /// Waits until the entry serves a call of the account, that is, until its
  /// limit has an owner.
  bool waitServing(std::chrono::milliseconds Timeout, unsigned Entry = 0);

  /// Work that all engines of the fleet hold.
  std::vector<std::string> heldWork();

  /// Executions at all services by request id.
  std::map<std::string, std::uint64_t> executions();

  /// Sum of a field of GET /stats over all engines.
  std::uint64_t engineStat(const std::string &Field);

  /// Events of one process, from its admin port.
  nlohmann::json events(const std::string &Process, const std::string &Query);

private:
  std::vector<std::string> engineNames() const;

  Fleet &F;
};

/// True if \p Data is a whole streamed answer to \p Prompt.
bool isWholeAnswer(const std::string &Data, const std::string &Prompt,
                   unsigned MaxTokens);

} // namespace hyssoprail::testbed

#endif // HYSSOPRAIL_TESTBED_FLEET_PROBE_HPP
