#include "hyssoprail/process/stored_agent_config.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace hyssoprail {
namespace {

/// An agent serves its records to nobody.
constexpr std::size_t KeptRecords = 1;

/// Endpoints whose wanted state changed within this many records before may
/// still load weights.
constexpr std::uint64_t LoadWindow = 200;

std::string roleName(wire::EndpointRole Role) {
  switch (Role) {
  case wire::ENDPOINT_ROLE_PREFILL:
    return "prefill";
  case wire::ENDPOINT_ROLE_DECODE:
    return "decode";
  default:
    return {};
  }
}

/// Version of the record that wrote the endpoint's wanted state last.
std::uint64_t wantedSince(const ConfigState &Config,
                          const wire::Endpoint &Endpoint) {
  std::uint64_t Version = 0;
  if (auto *O = Config.object(wire::OBJECT_KIND_ENDPOINT, Endpoint.name()))
    Version = O->version();
  if (auto *O = Config.object(wire::OBJECT_KIND_POOL, Endpoint.pool()))
    Version = std::max(Version, O->version());
  return Version;
}

} // namespace

StoredAgentConfig::StoredAgentConfig(std::string Endpoint, std::string Zone)
    : Endpoint(std::move(Endpoint)), Zone(std::move(Zone)), Store(KeptRecords) {
}

bool StoredAgentConfig::apply(const wire::ConfigRecords &Records) {
  const std::vector<wire::OffsetRecord> List(Records.records().begin(),
                                             Records.records().end());
  return !Store.apply(List).Gap;
}

void StoredAgentConfig::restore(const wire::State &State) {
  Store.restore(State);
}

std::string StoredAgentConfig::zoneOf(const ConfigState &Config,
                                      const wire::Endpoint &Of) const {
  const wire::Vm *Vm = Config.vm(Of.vm());
  return Vm != nullptr ? Vm->zone() : Zone;
}

std::uint32_t StoredAgentConfig::loadRank(const ConfigState &Config,
                                          const wire::Endpoint &Of) const {
  const std::string InZone = zoneOf(Config, Of);
  const std::pair<std::uint64_t, std::string> Mine{wantedSince(Config, Of),
                                                   Of.name()};
  std::uint32_t Rank = 0;
  for (const wire::Endpoint *Other : Config.endpoints()) {
    const std::uint64_t Since = wantedSince(Config, *Other);
    if (std::pair(Since, Other->name()) < Mine &&
        Mine.first - Since <= LoadWindow && zoneOf(Config, *Other) == InZone)
      ++Rank;
  }
  return Rank;
}

AgentConfigView StoredAgentConfig::view() const {
  const ConfigPtr Config = Store.current();
  AgentConfigView View;
  View.Version = Config->version();
  const wire::Endpoint *Mine = Config->endpoint(Endpoint);
  const std::string InZone = Mine != nullptr ? zoneOf(*Config, *Mine) : Zone;
  if (auto *Found = Config->zone(InZone))
    View.ZoneOut = Found->out();
  if (auto Lease = Store.agentLease(Endpoint)) {
    View.LeaseIncarnation = Lease->incarnation();
    View.LeaseOffset = Lease->offset();
  }
  if (Mine == nullptr)
    return View;
  View.Configured = true;
  View.Leaving = Mine->leaving();
  View.ChecksFencing = Mine->checks_fencing();
  View.ModelVersion = Mine->model_version();
  View.Role = roleName(Mine->role());
  if (auto *Pool = Config->pool(Mine->pool()))
    View.Model = Pool->model();
  View.DesiredVersion = wantedSince(*Config, *Mine);
  View.LoadRank = loadRank(*Config, *Mine);
  return View;
}

} // namespace hyssoprail
