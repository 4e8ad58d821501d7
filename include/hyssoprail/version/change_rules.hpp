#ifndef HYSSOPRAIL_VERSION_CHANGE_RULES_HPP
#define HYSSOPRAIL_VERSION_CHANGE_RULES_HPP

#include <array>
#include <cstdint>
#include <string>

#include "hyssoprail/core/enum_names.hpp"
#include "hyssoprail/core/result.hpp"
#include "hyssoprail/version/config_state.hpp"

namespace hyssoprail {

/// Names of the object kinds, in the order in which objects may be created.
inline constexpr std::array<EnumName<wire::ObjectKind>, 8> ObjectKindNames{{
    {wire::OBJECT_KIND_ZONE, "zone"},
    {wire::OBJECT_KIND_VM, "vm"},
    {wire::OBJECT_KIND_ACCOUNT, "account"},
    {wire::OBJECT_KIND_KEY, "key"},
    {wire::OBJECT_KIND_POOL, "pool"},
    {wire::OBJECT_KIND_ENDPOINT, "endpoint"},
    {wire::OBJECT_KIND_ROUTE, "route"},
    {wire::OBJECT_KIND_SELECTOR, "selector"},
}};

/// Version of the stored object, or 0 if there is none.
std::uint64_t currentVersion(const ConfigState &Config, wire::ObjectKind Kind,
                             std::string_view Name);

/// Fails with Conflict if \p Change is based on another version than the
/// stored one.
Status checkBaseVersion(const ConfigState &Config, const wire::Change &Change);

/// Fails with InvalidRequest if the change itself is wrong: a bad name, an
/// impossible value, a reference to an object that does not exist, or the
/// removal of an object that others refer to.
Status checkChange(const ConfigState &Config, const wire::Change &Change);

} // namespace hyssoprail

#endif // HYSSOPRAIL_VERSION_CHANGE_RULES_HPP
