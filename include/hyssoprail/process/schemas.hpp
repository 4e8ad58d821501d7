#ifndef HYSSOPRAIL_PROCESS_SCHEMAS_HPP
#define HYSSOPRAIL_PROCESS_SCHEMAS_HPP

#include <string_view>

/// JSON schemas of the settings files, compiled in from schemas/ by
/// cmake/hyssoprail_schemas.cmake. Each variable is named after its file.
namespace hyssoprail::schemas {

extern const std::string_view hyssoprail_entry;   // NOLINT
extern const std::string_view hyssoprail_agent;   // NOLINT
extern const std::string_view hyssoprail_gateway; // NOLINT

} // namespace hyssoprail::schemas

#endif // HYSSOPRAIL_PROCESS_SCHEMAS_HPP
