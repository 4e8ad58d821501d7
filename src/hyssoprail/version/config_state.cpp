#include "hyssoprail/version/config_state.hpp"

#include <algorithm>

namespace hyssoprail {
namespace {

/// Looks up a name in a shared map that may be absent.
const std::string *find(
    const std::shared_ptr<const std::map<std::string, std::string, std::less<>>>
        &Names,
    std::string_view Key) {
  if (!Names)
    return nullptr;
  const auto Found = Names->find(Key);
  return Found == Names->end() ? nullptr : &Found->second;
}

bool appliesTo(const wire::Selector &S, std::string_view Account,
               std::string_view Route) {
  return (S.account().empty() || S.account() == Account) &&
         (S.route().empty() || S.route() == Route);
}

/// True if \p Prefix is \p Path or one of its parents.
bool isPathPrefix(std::string_view Prefix, std::string_view Path) {
  if (Prefix.empty() || !Path.starts_with(Prefix))
    return false;
  return Prefix.size() == Path.size() || Prefix.back() == '/' ||
         Path[Prefix.size()] == '/' || Path[Prefix.size()] == '?';
}

} // namespace

const wire::ClientAccount *ConfigState::account(std::string_view Name) const {
  const wire::Object *O = object(wire::OBJECT_KIND_ACCOUNT, Name);
  return O != nullptr ? &O->account() : nullptr;
}

const wire::Pool *ConfigState::pool(std::string_view Name) const {
  const wire::Object *O = object(wire::OBJECT_KIND_POOL, Name);
  return O != nullptr ? &O->pool() : nullptr;
}

const wire::Endpoint *ConfigState::endpoint(std::string_view Name) const {
  const wire::Object *O = object(wire::OBJECT_KIND_ENDPOINT, Name);
  return O != nullptr ? &O->endpoint() : nullptr;
}

const wire::Vm *ConfigState::vm(std::string_view Name) const {
  const wire::Object *O = object(wire::OBJECT_KIND_VM, Name);
  return O != nullptr ? &O->vm() : nullptr;
}

const wire::AvailabilityZone *ConfigState::zone(std::string_view Name) const {
  const wire::Object *O = object(wire::OBJECT_KIND_ZONE, Name);
  return O != nullptr ? &O->zone() : nullptr;
}

const wire::Key *ConfigState::keyByDigest(std::string_view Digest) const {
  const std::string *Name = find(KeyNamesByDigest, Digest);
  if (Name == nullptr)
    return nullptr;
  const wire::Object *O = object(wire::OBJECT_KIND_KEY, *Name);
  return O != nullptr ? &O->key() : nullptr;
}

const wire::Route *ConfigState::routeForModel(std::string_view Model) const {
  const std::string *Name = find(RouteNamesByModel, Model);
  if (Name == nullptr)
    return nullptr;
  const wire::Object *O = object(wire::OBJECT_KIND_ROUTE, *Name);
  return O != nullptr ? &O->route() : nullptr;
}

const wire::Route *ConfigState::routeForPath(std::string_view Path) const {
  const wire::Route *Best = nullptr;
  for (const wire::Object *O : objects(wire::OBJECT_KIND_ROUTE)) {
    const wire::Route &R = O->route();
    if (!isPathPrefix(R.path_prefix(), Path))
      continue;
    if (Best == nullptr || R.path_prefix().size() > Best->path_prefix().size())
      Best = &R;
  }
  return Best;
}

std::vector<const wire::Endpoint *>
ConfigState::endpointsOf(std::string_view Pool, wire::EndpointRole Role) const {
  if (!EndpointsByPool)
    return {};
  const auto OfPool = EndpointsByPool->find(Pool);
  if (OfPool == EndpointsByPool->end())
    return {};
  const auto OfRole = OfPool->second.find(Role);
  if (OfRole == OfPool->second.end())
    return {};
  return OfRole->second;
}

std::vector<const wire::Endpoint *> ConfigState::endpoints() const {
  std::vector<const wire::Endpoint *> Out;
  for (const wire::Object *O : objects(wire::OBJECT_KIND_ENDPOINT))
    Out.push_back(&O->endpoint());
  return Out;
}

bool ConfigState::inService(const wire::Endpoint &Endpoint) const {
  if (Endpoint.leaving())
    return false;
  const wire::Vm *Host = vm(Endpoint.vm());
  if (Host == nullptr)
    return false;
  const wire::AvailabilityZone *Zone = zone(Host->zone());
  return Zone != nullptr && !Zone->out();
}

bool ConfigState::permits(const wire::Endpoint &Endpoint,
                          std::string_view Account,
                          std::string_view Route) const {
  if (!Selectors || Selectors->empty())
    return true;
  const Labels Of = labelsOf(Endpoint.vm());
  return std::all_of(
      Selectors->begin(), Selectors->end(), [&](const ParsedSelector &S) {
        return !appliesTo(S.Source, Account, Route) || S.Terms.matches(Of);
      });
}

const wire::Object *ConfigState::object(wire::ObjectKind Kind,
                                        std::string_view Name) const {
  const ObjectMap *Objects = map(Kind);
  if (Objects == nullptr)
    return nullptr;
  const auto Found = Objects->find(Name);
  return Found == Objects->end() ? nullptr : Found->second.get();
}

std::vector<const wire::Object *>
ConfigState::objects(wire::ObjectKind Kind) const {
  std::vector<const wire::Object *> Out;
  const ObjectMap *Objects = map(Kind);
  if (Objects == nullptr)
    return Out;
  Out.reserve(Objects->size());
  for (const auto &[Name, O] : *Objects)
    Out.push_back(O.get());
  return Out;
}

std::shared_ptr<const ConfigState>
ConfigState::with(const wire::Object &Object, bool Remove,
                  std::uint64_t NextVersion) const {
  ConfigBuilder Builder(*this);
  if (Remove)
    Builder.remove(Object.kind(), Object.name(), NextVersion);
  else
    Builder.put(Object, NextVersion);
  return Builder.publish();
}

std::shared_ptr<const ConfigState>
ConfigState::at(std::uint64_t NextVersion) const {
  auto Out = std::make_shared<ConfigState>(*this);
  Out->Version = NextVersion;
  return Out;
}

const ConfigState::ObjectMap *ConfigState::map(wire::ObjectKind Kind) const {
  const auto Found = Kinds.find(Kind);
  return Found == Kinds.end() ? nullptr : Found->second.get();
}

Labels ConfigState::labelsOf(std::string_view VmName) const {
  Labels Out;
  const wire::Vm *Host = vm(VmName);
  if (Host == nullptr)
    return Out;
  if (const wire::AvailabilityZone *Zone = zone(Host->zone())) {
    Out.insert(Zone->labels().begin(), Zone->labels().end());
    Out["region"] = Zone->region();
  }
  for (const auto &[Name, Value] : Host->labels())
    Out[Name] = Value;
  Out["vm"] = Host->name();
  Out["zone"] = Host->zone();
  return Out;
}

void ConfigState::index(wire::ObjectKind Kind) {
  if (Kind == wire::OBJECT_KIND_KEY)
    indexKeys();
  else if (Kind == wire::OBJECT_KIND_ENDPOINT)
    indexEndpoints();
  else if (Kind == wire::OBJECT_KIND_SELECTOR)
    indexSelectors();
  else if (Kind == wire::OBJECT_KIND_ROUTE)
    indexRoutes();
}

void ConfigState::indexKeys() {
  auto Names = std::make_shared<NameMap>();
  for (const wire::Object *O : objects(wire::OBJECT_KIND_KEY))
    Names->emplace(O->key().digest(), O->name());
  KeyNamesByDigest = std::move(Names);
}

void ConfigState::indexEndpoints() {
  auto Pools = std::make_shared<PoolIndex>();
  for (const wire::Object *O : objects(wire::OBJECT_KIND_ENDPOINT)) {
    const wire::Endpoint &E = O->endpoint();
    (*Pools)[E.pool()][E.role()].push_back(&E);
  }
  EndpointsByPool = std::move(Pools);
}

void ConfigState::indexSelectors() {
  auto Parsed = std::make_shared<std::vector<ParsedSelector>>();
  for (const wire::Object *O : objects(wire::OBJECT_KIND_SELECTOR)) {
    auto Terms = LabelSelector::parse(O->selector().expression());
    // The reducer rejects expressions that do not parse. A state built
    // without it treats such a selector as one that matches nothing.
    if (!succeeded(Terms))
      Terms = LabelSelector::parse("!vm");
    Parsed->push_back({O->selector(), valueOf(Terms)});
  }
  Selectors = std::move(Parsed);
}

void ConfigState::indexRoutes() {
  auto Names = std::make_shared<NameMap>();
  for (const wire::Object *O : objects(wire::OBJECT_KIND_ROUTE))
    if (!O->route().model().empty())
      Names->emplace(O->route().model(), O->name());
  RouteNamesByModel = std::move(Names);
}

void ConfigBuilder::put(const wire::Object &Object, std::uint64_t Version) {
  auto Stored = std::make_shared<wire::Object>(Object);
  Stored->set_version(Version);
  owned(Object.kind())[Object.name()] = std::move(Stored);
  Draft.Version = Version;
}

void ConfigBuilder::remove(wire::ObjectKind Kind, std::string_view Name,
                           std::uint64_t Version) {
  ConfigState::ObjectMap &Objects = owned(Kind);
  const auto Found = Objects.find(Name);
  if (Found != Objects.end())
    Objects.erase(Found);
  Draft.Version = Version;
}

ConfigPtr ConfigBuilder::publish() {
  for (const auto &[Kind, Objects] : Owned)
    Draft.index(Kind);
  Owned.clear();
  return std::make_shared<const ConfigState>(Draft);
}

ConfigState::ObjectMap &ConfigBuilder::owned(wire::ObjectKind Kind) {
  std::shared_ptr<ConfigState::ObjectMap> &Mine = Owned[Kind];
  if (!Mine) {
    const ConfigState::ObjectMap *Shared = Draft.map(Kind);
    Mine = Shared != nullptr ? std::make_shared<ConfigState::ObjectMap>(*Shared)
                             : std::make_shared<ConfigState::ObjectMap>();
    Draft.Kinds[Kind] = Mine;
  }
  return *Mine;
}

} // namespace hyssoprail
