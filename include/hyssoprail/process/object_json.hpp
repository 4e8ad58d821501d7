#ifndef HYSSOPRAIL_PROCESS_OBJECT_JSON_HPP
#define HYSSOPRAIL_PROCESS_OBJECT_JSON_HPP

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "hyssoprail/core/result.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// Kind of object called \p Name, for example "account". Fails with
/// InvalidRequest and the list of kinds.
Result<wire::ObjectKind> parseObjectKind(std::string_view Name);

/// Reads the protobuf JSON of an object's value, for example
/// {"rate": 100, "burst": 500}. The name in the value may be absent. Fails
/// with InvalidRequest on unknown fields and wrong types.
Result<wire::Object> objectFromJson(wire::ObjectKind Kind,
                                    const std::string &Name,
                                    const nlohmann::json &Value);

/// {"kind":..,"name":..,"version":n,"value":{..}}; fields with default values
/// are present.
nlohmann::json objectToJson(const wire::Object &Object);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_OBJECT_JSON_HPP
