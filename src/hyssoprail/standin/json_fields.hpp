#ifndef HYSSOPRAIL_STANDIN_JSON_FIELDS_HPP
#define HYSSOPRAIL_STANDIN_JSON_FIELDS_HPP

#include <cstdlib>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace hyssoprail::standin {

using Json = nlohmann::json;

/// Parses \p Body; a body that is not an object yields an empty object.
inline Json parseObject(const std::string &Body) {
  Json Parsed = Json::parse(Body, nullptr, false);
  return Parsed.is_object() ? Parsed : Json::object();
}

/// Returns a field, or \p Default if it is missing or of another type.
inline std::string textField(const Json &Object, const char *Name,
                             const std::string &Default = "") {
  const auto It = Object.find(Name);
  return It != Object.end() && It->is_string() ? It->get<std::string>()
                                               : Default;
}

inline double numberField(const Json &Object, const char *Name,
                          double Default = 0) {
  const auto It = Object.find(Name);
  return It != Object.end() && It->is_number() ? It->get<double>() : Default;
}

inline std::uint64_t countField(const Json &Object, const char *Name,
                                std::uint64_t Default = 0) {
  const auto It = Object.find(Name);
  return It != Object.end() && It->is_number_unsigned()
             ? It->get<std::uint64_t>()
             : Default;
}

inline bool boolField(const Json &Object, const char *Name, bool Default) {
  const auto It = Object.find(Name);
  return It != Object.end() && It->is_boolean() ? It->get<bool>() : Default;
}

/// Returns the number in the query parameter \p Name of \p Target.
inline std::uint64_t queryNumber(std::string_view Target, std::string_view Name,
                                 std::uint64_t Default) {
  std::size_t At = Target.find('?');
  while (At != std::string_view::npos) {
    const std::string_view Rest = Target.substr(At + 1);
    if (Rest.starts_with(Name) && Rest.substr(Name.size()).starts_with('='))
      return std::strtoull(std::string(Rest.substr(Name.size() + 1)).c_str(),
                           nullptr, 10);
    At = Target.find('&', At + 1);
  }
  return Default;
}

} // namespace hyssoprail::standin

#endif // HYSSOPRAIL_STANDIN_JSON_FIELDS_HPP
