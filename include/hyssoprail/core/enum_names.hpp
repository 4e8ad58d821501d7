#ifndef HYSSOPRAIL_CORE_ENUM_NAMES_HPP
#define HYSSOPRAIL_CORE_ENUM_NAMES_HPP

#include <array>
#include <optional>
#include <string_view>

namespace hyssoprail {

/// Maps one enumerator to its name.
template <typename E> struct EnumName {
  E Value;
  std::string_view Name;
};

/// Returns the name of \p Value in \p Table, or "unknown".
///
/// \code
///   enumName(RoleNames, Role::Prefill); // "prefill"
/// \endcode
template <typename E, std::size_t N>
constexpr std::string_view enumName(const std::array<EnumName<E>, N> &Table,
                                    E Value) {
  for (const EnumName<E> &Row : Table)
    if (Row.Value == Value)
      return Row.Name;
  return "unknown";
}

/// Returns the value whose name in \p Table is \p Name, or nullopt.
template <typename E, std::size_t N>
constexpr std::optional<E> enumFromName(const std::array<EnumName<E>, N> &Table,
                                        std::string_view Name) {
  for (const EnumName<E> &Row : Table)
    if (Row.Name == Name)
      return Row.Value;
  return std::nullopt;
}

} // namespace hyssoprail

#endif // HYSSOPRAIL_CORE_ENUM_NAMES_HPP
