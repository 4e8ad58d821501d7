#ifndef HYSSOPRAIL_CORE_RESULT_HPP
#define HYSSOPRAIL_CORE_RESULT_HPP

#include <variant>

#include "hyssoprail/core/error.hpp"

namespace hyssoprail {

/// A value or a typed error.
///
/// \code
///   Result<int> R = parsePort("80");
///   if (const Error *E = errorOf(R))
///     return *E;
///   use(valueOf(R));
/// \endcode
template <typename T> using Result = std::variant<T, Error>;

/// Result of an operation that yields no value.
using Status = std::variant<std::monostate, Error>;

/// Returns the error in \p R, or nullptr.
template <typename T> const Error *errorOf(const std::variant<T, Error> &R) {
  return std::get_if<Error>(&R);
}

/// Returns true if \p R holds a value.
template <typename T> bool succeeded(const std::variant<T, Error> &R) {
  return std::holds_alternative<T>(R);
}

/// Returns the value in \p R, which must hold one.
template <typename T> T &valueOf(std::variant<T, Error> &R) {
  return std::get<T>(R);
}

/// Returns the value in \p R, which must hold one.
template <typename T> const T &valueOf(const std::variant<T, Error> &R) {
  return std::get<T>(R);
}

} // namespace hyssoprail

#endif // HYSSOPRAIL_CORE_RESULT_HPP
