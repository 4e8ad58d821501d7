#ifndef HYSSOPRAIL_CTL_OBJECT_FIELDS_HPP
#define HYSSOPRAIL_CTL_OBJECT_FIELDS_HPP

#include <array>
#include <string_view>

#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail::ctl {

/// An option that sets the field of the same name.
struct ObjectField {
  wire::ObjectKind Kind;
  std::string_view Name;
  std::string_view EnumPrefix; ///< "decode" becomes ENDPOINT_ROLE_DECODE
  std::string_view Help;
};

inline constexpr std::array<ObjectField, 26> ObjectFields{{
    {wire::OBJECT_KIND_ZONE, "region", "", "region of the zone"},
    {wire::OBJECT_KIND_VM, "zone", "", "zone of the VM"},
    {wire::OBJECT_KIND_ACCOUNT, "rate", "", "tokens per second"},
    {wire::OBJECT_KIND_ACCOUNT, "burst", "", "tokens"},
    {wire::OBJECT_KIND_KEY, "account", "", "account of the key"},
    {wire::OBJECT_KIND_POOL, "kind", "POOL_KIND_", "engine or service"},
    {wire::OBJECT_KIND_POOL, "model", "", "model of an engine pool"},
    {wire::OBJECT_KIND_ENDPOINT, "pool", "", "pool of the endpoint"},
    {wire::OBJECT_KIND_ENDPOINT, "role", "ENDPOINT_ROLE_",
     "prefill, decode or service"},
    {wire::OBJECT_KIND_ENDPOINT, "agent_address", "",
     "tcp://IP:PORT of the agent"},
    {wire::OBJECT_KIND_ENDPOINT, "vm", "", "VM of the endpoint"},
    {wire::OBJECT_KIND_ENDPOINT, "checks_fencing", "",
     "the engine rejects stale fencing tokens"},
    {wire::OBJECT_KIND_ENDPOINT, "model_version", "", "version to load"},
    {wire::OBJECT_KIND_ENDPOINT, "leaving", "", "takes no new work"},
    {wire::OBJECT_KIND_SELECTOR, "account", "", "applies to this account only"},
    {wire::OBJECT_KIND_SELECTOR, "route", "", "applies to this route only"},
    {wire::OBJECT_KIND_SELECTOR, "expression", "",
     "for example \"zone=a,disk in (ssd,nvme),!old\""},
    {wire::OBJECT_KIND_ROUTE, "path_prefix", "", "path of a plain service"},
    {wire::OBJECT_KIND_ROUTE, "model", "", "model of completions"},
    {wire::OBJECT_KIND_ROUTE, "pool", "", "pool that serves the route"},
    {wire::OBJECT_KIND_ROUTE, "route_class", "ROUTE_CLASS_",
     "order, interactive or batch"},
    {wire::OBJECT_KIND_ROUTE, "repeatable", "", "calls may run more than once"},
    {wire::OBJECT_KIND_ROUTE, "open", "", "no key is needed"},
    {wire::OBJECT_KIND_ROUTE, "first_token_ms", "",
     "target of the first token; 0: none"},
    {wire::OBJECT_KIND_ROUTE, "between_tokens_ms", "",
     "target between tokens; 0: none"},
    {wire::OBJECT_KIND_ROUTE, "call_tokens", "", "tokens debited for one call"},
}};

} // namespace hyssoprail::ctl

#endif // HYSSOPRAIL_CTL_OBJECT_FIELDS_HPP
