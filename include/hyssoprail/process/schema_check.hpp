#ifndef HYSSOPRAIL_PROCESS_SCHEMA_CHECK_HPP
#define HYSSOPRAIL_PROCESS_SCHEMA_CHECK_HPP

#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "hyssoprail/core/result.hpp"

namespace hyssoprail {

/// Parses JSON text. Fails with InvalidSettings; the message gives the position
/// of the syntax error.
Result<nlohmann::json> parseJson(std::string_view Text);

/// Checks \p Document against the JSON schema in \p Schema. Fails with
/// InvalidSettings; the error names the path and value of an invalid field and,
/// from the schema's "description", what to use instead. The values of fields
/// marked "writeOnly" are not shown.
Status checkAgainstSchema(const nlohmann::json &Document,
                          std::string_view Schema);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_SCHEMA_CHECK_HPP
