#include "hyssoprail/version/change_rules.hpp"

#include <algorithm>
#include <cctype>
#include <cmath>

#include <fmt/format.h>

namespace hyssoprail {
namespace {

constexpr std::size_t MaxNameLength = 128;
constexpr std::size_t DigestLength = 64; // hexadecimal digits of SHA-256
constexpr double MaxTokens = 1e12; // larger rates lose precision as doubles

Error invalid(std::string Field, std::string Message, std::string Remedy) {
  return Error{.Kind = ErrorKind::InvalidRequest,
               .Message = std::move(Message),
               .Remedy = std::move(Remedy),
               .Field = std::move(Field)};
}

std::string label(wire::ObjectKind Kind, std::string_view Name) {
  return fmt::format("{} \"{}\"", enumName(ObjectKindNames, Kind), Name);
}

bool isName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxNameLength &&
         std::all_of(Name.begin(), Name.end(), [](char C) {
           return std::isalnum(static_cast<unsigned char>(C)) != 0 ||
                  C == '-' || C == '_' || C == '.';
         });
}

bool isDigest(std::string_view Text) {
  return Text.size() == DigestLength &&
         std::all_of(Text.begin(), Text.end(), [](char C) {
           return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
         });
}

/// Fails unless an object of \p Kind called \p Name exists.
Status requireObject(const ConfigState &Config, wire::ObjectKind Kind,
                     std::string_view Name, std::string Field) {
  if (Config.object(Kind, Name) != nullptr)
    return {};
  return invalid(std::move(Field),
                 fmt::format("{} does not exist", label(Kind, Name)),
                 fmt::format("create the {} first, or correct the name",
                             enumName(ObjectKindNames, Kind)));
}

Status checkAmount(double Value, std::string Field) {
  if (std::isfinite(Value) && Value > 0 && Value <= MaxTokens)
    return {};
  return invalid(std::move(Field),
                 fmt::format("{} is not a usable number of tokens", Value),
                 "use a number above 0 and up to 1e12");
}

Status checkAccount(const wire::ClientAccount &A) {
  if (Status S = checkAmount(A.rate(), "account.rate"); !succeeded(S))
    return S;
  return checkAmount(A.burst(), "account.burst");
}

Status checkKey(const ConfigState &Config, const wire::Key &K) {
  if (!isDigest(K.digest()))
    return invalid("key.digest", "the digest is not 64 hexadecimal digits",
                   "issue the key with hyssoprailctl key issue");
  for (const wire::Object *O : Config.objects(wire::OBJECT_KIND_KEY))
    if (O->key().digest() == K.digest() && O->name() != K.id())
      return invalid("key.digest",
                     fmt::format("key \"{}\" has the same digest", O->name()),
                     "issue another key");
  return requireObject(Config, wire::OBJECT_KIND_ACCOUNT, K.account(),
                       "key.account");
}

Status checkPool(const ConfigState &Config, const wire::Pool &P) {
  if (!wire::PoolKind_IsValid(P.kind()))
    return invalid("pool.kind", "unknown kind of pool",
                   "use POOL_KIND_ENGINE or POOL_KIND_SERVICE");
  if (P.kind() == wire::POOL_KIND_ENGINE && P.model().empty())
    return invalid("pool.model", "an engine pool names no model",
                   "set the model that its endpoints serve");
  const wire::Pool *Old = Config.pool(P.name());
  if (Old != nullptr && Old->kind() != P.kind())
    return invalid("pool.kind", "the kind of a pool cannot change",
                   "create another pool and move the routes to it");
  for (const wire::Object *O : Config.objects(wire::OBJECT_KIND_ROUTE))
    if (O->route().pool() == P.name() && O->route().model() != P.model())
      return invalid("pool.model",
                     fmt::format("route \"{}\" sends the model \"{}\" here",
                                 O->name(), O->route().model()),
                     "create another pool and move the route to it");
  return {};
}

Status checkEndpoint(const ConfigState &Config, const wire::Endpoint &E) {
  if (Status S = requireObject(Config, wire::OBJECT_KIND_POOL, E.pool(),
                               "endpoint.pool");
      !succeeded(S))
    return S;
  if (Status S =
          requireObject(Config, wire::OBJECT_KIND_VM, E.vm(), "endpoint.vm");
      !succeeded(S))
    return S;
  const bool ServiceRole = E.role() == wire::ENDPOINT_ROLE_SERVICE;
  const bool ServicePool =
      Config.pool(E.pool())->kind() == wire::POOL_KIND_SERVICE;
  if (!wire::EndpointRole_IsValid(E.role()) || ServiceRole != ServicePool)
    return invalid("endpoint.role", "the role does not fit the kind of pool",
                   "use prefill or decode in an engine pool, and service in "
                   "a service pool");
  if (!E.agent_address().starts_with("tcp://"))
    return invalid("endpoint.agent_address",
                   fmt::format("\"{}\" is not an address", E.agent_address()),
                   "use tcp://IP:PORT of the endpoint's agent");
  return {};
}

Status checkVm(const ConfigState &Config, const wire::Vm &V) {
  return requireObject(Config, wire::OBJECT_KIND_ZONE, V.zone(), "vm.zone");
}

Status checkSelector(const ConfigState &Config, const wire::Selector &S) {
  if (auto Parsed = LabelSelector::parse(S.expression()); !succeeded(Parsed)) {
    Error E = *errorOf(Parsed);
    E.Field = "selector.expression";
    return E;
  }
  if (!S.account().empty())
    if (Status R = requireObject(Config, wire::OBJECT_KIND_ACCOUNT, S.account(),
                                 "selector.account");
        !succeeded(R))
      return R;
  if (S.route().empty())
    return {};
  return requireObject(Config, wire::OBJECT_KIND_ROUTE, S.route(),
                       "selector.route");
}

/// Fails if another route has the same model or path prefix.
Status checkRouteUnique(const ConfigState &Config, const wire::Route &R) {
  for (const wire::Object *O : Config.objects(wire::OBJECT_KIND_ROUTE)) {
    const wire::Route &Other = O->route();
    if (Other.name() == R.name())
      continue;
    if (!R.model().empty() && Other.model() == R.model())
      return invalid(
          "route.model",
          fmt::format("route \"{}\" serves the same model", Other.name()),
          "change that route, or use another model name");
    if (!R.path_prefix().empty() && Other.path_prefix() == R.path_prefix())
      return invalid(
          "route.path_prefix",
          fmt::format("route \"{}\" has the same path prefix", Other.name()),
          "change that route, or use another prefix");
  }
  return {};
}

Status checkRoute(const ConfigState &Config, const wire::Route &R) {
  if (Status S =
          requireObject(Config, wire::OBJECT_KIND_POOL, R.pool(), "route.pool");
      !succeeded(S))
    return S;
  if (!wire::RouteClass_IsValid(R.route_class()))
    return invalid("route.route_class", "unknown route class",
                   "use ROUTE_CLASS_ORDER, ROUTE_CLASS_INTERACTIVE or "
                   "ROUTE_CLASS_BATCH");
  const wire::Pool &Pool = *Config.pool(R.pool());
  if (Pool.kind() == wire::POOL_KIND_ENGINE &&
      (R.model().empty() || !R.path_prefix().empty()))
    return invalid("route.model",
                   "a route to an engine pool needs a model and no path prefix",
                   "set the model name that callers send; engines get the "
                   "model of the pool");
  if (Pool.kind() == wire::POOL_KIND_SERVICE &&
      (!R.path_prefix().starts_with('/') || !R.model().empty()))
    return invalid("route.path_prefix",
                   "a route to a service pool needs a path prefix and no model",
                   "set path_prefix to a path that begins with /");
  return checkRouteUnique(Config, R);
}

/// Name inside the value, which must agree with the object's name.
const std::string &valueName(const wire::Object &O) {
  switch (O.kind()) {
  case wire::OBJECT_KIND_ACCOUNT:
    return O.account().name();
  case wire::OBJECT_KIND_KEY:
    return O.key().id();
  case wire::OBJECT_KIND_POOL:
    return O.pool().name();
  case wire::OBJECT_KIND_ENDPOINT:
    return O.endpoint().name();
  case wire::OBJECT_KIND_VM:
    return O.vm().name();
  case wire::OBJECT_KIND_ZONE:
    return O.zone().name();
  case wire::OBJECT_KIND_SELECTOR:
    return O.selector().name();
  default:
    return O.route().name();
  }
}

/// The value field that belongs to \p Kind.
wire::Object::ValueCase valueCase(wire::ObjectKind Kind) {
  switch (Kind) {
  case wire::OBJECT_KIND_ACCOUNT:
    return wire::Object::kAccount;
  case wire::OBJECT_KIND_KEY:
    return wire::Object::kKey;
  case wire::OBJECT_KIND_POOL:
    return wire::Object::kPool;
  case wire::OBJECT_KIND_ENDPOINT:
    return wire::Object::kEndpoint;
  case wire::OBJECT_KIND_VM:
    return wire::Object::kVm;
  case wire::OBJECT_KIND_ZONE:
    return wire::Object::kZone;
  case wire::OBJECT_KIND_SELECTOR:
    return wire::Object::kSelector;
  case wire::OBJECT_KIND_ROUTE:
    return wire::Object::kRoute;
  default:
    return wire::Object::VALUE_NOT_SET;
  }
}

Status checkValue(const ConfigState &Config, const wire::Object &O) {
  switch (O.kind()) {
  case wire::OBJECT_KIND_ACCOUNT:
    return checkAccount(O.account());
  case wire::OBJECT_KIND_KEY:
    return checkKey(Config, O.key());
  case wire::OBJECT_KIND_POOL:
    return checkPool(Config, O.pool());
  case wire::OBJECT_KIND_ENDPOINT:
    return checkEndpoint(Config, O.endpoint());
  case wire::OBJECT_KIND_VM:
    return checkVm(Config, O.vm());
  case wire::OBJECT_KIND_SELECTOR:
    return checkSelector(Config, O.selector());
  case wire::OBJECT_KIND_ROUTE:
    return checkRoute(Config, O.route());
  default:
    return {};
  }
}

/// A field by which objects of one kind refer to those of another.
struct Reference {
  wire::ObjectKind From;
  wire::ObjectKind To;
  const std::string &(*Name)(const wire::Object &);
};

constexpr std::array<Reference, 7> References{{
    {wire::OBJECT_KIND_KEY, wire::OBJECT_KIND_ACCOUNT,
     [](const wire::Object &O) -> const std::string & {
       return O.key().account();
     }},
    {wire::OBJECT_KIND_SELECTOR, wire::OBJECT_KIND_ACCOUNT,
     [](const wire::Object &O) -> const std::string & {
       return O.selector().account();
     }},
    {wire::OBJECT_KIND_ENDPOINT, wire::OBJECT_KIND_POOL,
     [](const wire::Object &O) -> const std::string & {
       return O.endpoint().pool();
     }},
    {wire::OBJECT_KIND_ROUTE, wire::OBJECT_KIND_POOL,
     [](const wire::Object &O) -> const std::string & {
       return O.route().pool();
     }},
    {wire::OBJECT_KIND_ENDPOINT, wire::OBJECT_KIND_VM,
     [](const wire::Object &O) -> const std::string & {
       return O.endpoint().vm();
     }},
    {wire::OBJECT_KIND_VM, wire::OBJECT_KIND_ZONE,
     [](const wire::Object &O) -> const std::string & {
       return O.vm().zone();
     }},
    {wire::OBJECT_KIND_SELECTOR, wire::OBJECT_KIND_ROUTE,
     [](const wire::Object &O) -> const std::string & {
       return O.selector().route();
     }},
}};

/// Fails if an object refers to the one to be removed.
Status checkUnused(const ConfigState &Config, const wire::Object &Removed) {
  for (const Reference &R : References) {
    if (R.To != Removed.kind())
      continue;
    for (const wire::Object *O : Config.objects(R.From))
      if (R.Name(*O) == Removed.name())
        return invalid("name",
                       fmt::format("{} is used by {}",
                                   label(Removed.kind(), Removed.name()),
                                   label(R.From, O->name())),
                       fmt::format("remove or change that {} first",
                                   enumName(ObjectKindNames, R.From)));
  }
  return {};
}

} // namespace

std::uint64_t currentVersion(const ConfigState &Config, wire::ObjectKind Kind,
                             std::string_view Name) {
  const wire::Object *Stored = Config.object(Kind, Name);
  return Stored != nullptr ? Stored->version() : 0;
}

Status checkBaseVersion(const ConfigState &Config, const wire::Change &Change) {
  const wire::Object &O = Change.object();
  const std::uint64_t Current = currentVersion(Config, O.kind(), O.name());
  if (Current == Change.base_version())
    return {};
  const std::string State =
      Current == 0 ? "does not exist" : fmt::format("has version {}", Current);
  return Error{
      .Kind = ErrorKind::Conflict,
      .Message =
          fmt::format("{} {}, the change was based on version {}",
                      label(O.kind(), O.name()), State, Change.base_version()),
      .Remedy = "read the object again and repeat the change on its current "
                "version",
      .Field = "base_version"};
}

Status checkChange(const ConfigState &Config, const wire::Change &Change) {
  const wire::Object &O = Change.object();
  if (!wire::ObjectKind_IsValid(O.kind()) ||
      O.kind() == wire::OBJECT_KIND_UNSPECIFIED)
    return invalid("kind", "unknown kind of object",
                   "use account, key, pool, endpoint, vm, zone, selector or "
                   "route");
  if (!isName(O.name()))
    return invalid("name",
                   "the name is empty, too long or has a character "
                   "that is not allowed",
                   "use 1 to 128 letters, digits, '-', '_' or '.'");
  if (Change.remove()) {
    if (Status S = requireObject(Config, O.kind(), O.name(), "name");
        !succeeded(S))
      return S;
    return checkUnused(Config, O);
  }
  if (O.value_case() != valueCase(O.kind()))
    return invalid("value", "the value does not belong to the kind",
                   "send a value of the object's kind");
  if (valueName(O) != O.name())
    return invalid("value", "the value carries another name than the object",
                   "use the same name in both places");
  return checkValue(Config, O);
}

} // namespace hyssoprail
