#ifndef HYSSOPRAIL_TESTBED_FLEET_OPTIONS_HPP
#define HYSSOPRAIL_TESTBED_FLEET_OPTIONS_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace hyssoprail::testbed {

/// A client account of a test fleet; its key is "key-" and its name.
struct AccountOptions {
  std::string Name;
  double Rate = 100'000;  ///< tokens per second
  double Burst = 200'000; ///< tokens
};

/// Policies of the entries, by the names of the settings.
struct PolicyOptions {
  std::string Scheduling = "early";      ///< none, early, predicted
  std::string Limits = "owner";          ///< owner, fixed
  std::string Placement = "two_choices"; ///< two_choices, least_loaded
};

/// Shape of a fleet of real processes on loopback.
struct FleetOptions {
  std::string BinaryDirectory; ///< where the programs are
  std::string RunDirectory;    ///< settings and logs; created if missing
  unsigned Entries = 2;
  unsigned PrefillEngines = 2;
  unsigned DecodeEngines = 2;
  unsigned Services = 1;
  unsigned Zones = 3;
  bool EnginesCheckFencing = true;
  bool FatalViolations = true; ///< a violated invariant ends the process
  std::vector<std::string> PrefillFlags; ///< flags of prefill stand-ins
  std::vector<std::string> DecodeFlags;  ///< flags of decode stand-ins
  std::vector<std::string> ServiceFlags; ///< flags of service stand-ins
  std::vector<std::string> PlatformFlags;
  std::vector<AccountOptions> Accounts{{"acme", 100'000, 200'000}};
  PolicyOptions Policy;
  std::string LogLevel = "info";
  unsigned FirstTokenMs = 890;   ///< latency target of the chat route
  unsigned BetweenTokensMs = 37; ///< latency target of the chat route
};

} // namespace hyssoprail::testbed

#endif // HYSSOPRAIL_TESTBED_FLEET_OPTIONS_HPP
