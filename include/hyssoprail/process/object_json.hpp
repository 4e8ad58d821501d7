#ifndef HYSSOPRAIL_PROCESS_OBJECT_JSON_HPP
#define HYSSOPRAIL_PROCESS_OBJECT_JSON_HPP

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "hyssoprail/core/result.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// Returns the kind called \p Name, for example "account". Fails with
/// InvalidRequest; the error lists the known kinds.
Result<wire::ObjectKind> parseObjectKind(std::string_view Name);

/// Reads an object from the protobuf JSON of its value, for example
/// {"rate": 100, "burst": 500}. The name may be absent in the value; \p Name is
/// then filled in. Fails with InvalidRequest on unknown fields and wrong types.
Result<wire::Object> objectFromJson(wire::ObjectKind Kind,
                                    const std::string &Name,
                                    const nlohmann::json &Value);

/// Returns {"kind":..,"name":..,"version":n,"value":{..}}. Fields of scalar
/// type are included even if they have their default value.
nlohmann::json objectToJson(const wire::Object &Object);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_OBJECT_JSON_HPP
