#ifndef HYSSOPRAIL_PROCESS_QUERY_HPP
#define HYSSOPRAIL_PROCESS_QUERY_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hyssoprail {

/// Parameters of a request's query by name, with percent escapes decoded. The
/// last of several values counts.
using Query = std::map<std::string, std::string, std::less<>>;

/// Reads the query of a target such as "/objects?kind=pool&name=chat".
Query parseQuery(std::string_view Target);

/// Value of \p Name, or "".
std::string queryValue(const Query &Of, std::string_view Name);

/// Whole number in the value of \p Name; 0 if there is none.
std::uint64_t queryNumber(const Query &Of, std::string_view Name);

/// Escapes a value for use in a query.
std::string escapeQuery(std::string_view Value);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_QUERY_HPP
