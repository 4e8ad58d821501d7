// The settings file of a gateway.
#include <cmath>
#include <string>

#include "hyssoprail/connection/ip_port.hpp"
#include "hyssoprail/gateway/gateway_settings.hpp"
#include "support.hpp"

namespace {

using namespace hyssoprail;
using fuzz::require;

/// A longer message would fill the operator's terminal or log.
constexpr std::size_t MaxMessageBytes = 2'048;

void requireUsable(const Error &E) {
  require(!E.Message.empty() && !E.Remedy.empty() && !E.Field.empty(),
          "an error names field, value and remedy");
  require(E.Message.size() <= MaxMessageBytes, "an error message is short");
}

void requireUsable(const gateway::GatewaySettings &S) {
  for (const std::string *Address :
       {&S.CallerAddress, &S.ReadyAddress, &S.PeerAddress, &S.Store})
    require(parseIpPort(*Address).has_value(), "an address can be used");
  require(S.MetricsAddress.empty() || parseIpPort(S.MetricsAddress),
          "an address can be used");
  for (const double Number :
       {S.Weight, S.RetryRatio, S.RetrySlack, S.QuotaOverage,
        S.QuotaSlackTokens, S.ColdOverage, S.ColdSlack})
    require(std::isfinite(Number) && Number >= 0, "numbers are finite");
  constexpr std::chrono::hours Longest{24 * 365};
  for (const milliseconds Time : {S.StopGrace, S.RetryWindow})
    require(Time > milliseconds(0) && Time <= Longest, "times are bounded");
  require(!S.Name.empty(), "a gateway has a name");
}

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  const auto Parsed = gateway::parseGatewaySettings(fuzz::asText(Data, Size));
  if (const Error *E = errorOf(Parsed))
    requireUsable(*E);
  else
    requireUsable(valueOf(Parsed));
  return 0;
}
