#include "hyssoprail/process/stored_agent_config.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace hyssoprail {
namespace {

/// Agents send no records to other processes, so they need to keep only the
/// newest one.
constexpr std::size_t RetainedRecords = 1;

/// An endpoint whose desired state changed up to this many records before that
/// of another endpoint may still be loading weights.
constexpr std::uint64_t LoadWindowRecords = 200;

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

/// Version of the newest record that wrote the endpoint or its pool, which
/// together hold its desired state.
std::uint64_t desiredStateVersion(const ConfigState &Config,
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
    : Endpoint(std::move(Endpoint)), Zone(std::move(Zone)),
      Store(RetainedRecords) {}

bool StoredAgentConfig::apply(const wire::ConfigRecords &Records) {
  const std::vector<wire::OffsetRecord> List(Records.records().begin(),
                                             Records.records().end());
  return !Store.apply(List).Gap;
}

void StoredAgentConfig::restore(const wire::State &State) {
  Store.restore(State);
}

std::string StoredAgentConfig::zoneOf(const ConfigState &Config,
                                      const wire::Endpoint &Target) const {
  const wire::Vm *Vm = Config.vm(Target.vm());
  return Vm != nullptr ? Vm->zone() : Zone;
}

std::uint32_t StoredAgentConfig::loadRank(const ConfigState &Config,
                                          const wire::Endpoint &Target) const {
  const std::string EndpointZone = zoneOf(Config, Target);
  const std::pair<std::uint64_t, std::string> OwnPosition{
      desiredStateVersion(Config, Target), Target.name()};
  std::uint32_t Rank = 0;
  for (const wire::Endpoint *Other : Config.endpoints()) {
    const std::uint64_t OtherVersion = desiredStateVersion(Config, *Other);
    if (std::pair(OtherVersion, Other->name()) < OwnPosition &&
        OwnPosition.first - OtherVersion <= LoadWindowRecords &&
        zoneOf(Config, *Other) == EndpointZone)
      ++Rank;
  }
  return Rank;
}

AgentConfigView StoredAgentConfig::view() const {
  const ConfigPtr Config = Store.current();
  AgentConfigView View;
  View.Version = Config->version();
  const wire::Endpoint *Configured = Config->endpoint(Endpoint);
  const std::string EndpointZone =
      Configured != nullptr ? zoneOf(*Config, *Configured) : Zone;
  if (auto *Found = Config->zone(EndpointZone))
    View.ZoneOut = Found->out();
  if (auto Lease = Store.agentLease(Endpoint)) {
    View.LeaseIncarnation = Lease->incarnation();
    View.LeaseOffset = Lease->offset();
  }
  if (Configured == nullptr)
    return View;
  View.Configured = true;
  View.Leaving = Configured->leaving();
  View.ChecksFencing = Configured->checks_fencing();
  View.ModelVersion = Configured->model_version();
  View.Role = roleName(Configured->role());
  if (auto *Pool = Config->pool(Configured->pool()))
    View.Model = Pool->model();
  View.DesiredVersion = desiredStateVersion(*Config, *Configured);
  View.LoadRank = loadRank(*Config, *Configured);
  return View;
}

} // namespace hyssoprail
