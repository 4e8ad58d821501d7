#ifndef HYSSOPRAIL_PROCESS_QUERY_HPP
#define HYSSOPRAIL_PROCESS_QUERY_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hyssoprail {

/// Query parameters of a request by name, percent-decoded. If a parameter
/// occurs several times, its last value is kept.
using Query = std::map<std::string, std::string, std::less<>>;

/// Parses the query of a target such as "/objects?kind=pool&name=chat".
Query parseQuery(std::string_view Target);

/// Returns the value of \p Name, or "" if it is absent.
std::string queryValue(const Query &Parameters, std::string_view Name);

/// Returns the value of \p Name as an unsigned integer, or 0 if it is absent or
/// not such a number.
std::uint64_t queryNumber(const Query &Parameters, std::string_view Name);

/// Percent-encodes a value for use in a query.
std::string escapeQuery(std::string_view Value);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_QUERY_HPP
