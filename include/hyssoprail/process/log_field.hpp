#ifndef HYSSOPRAIL_PROCESS_LOG_FIELD_HPP
#define HYSSOPRAIL_PROCESS_LOG_FIELD_HPP

#include <chrono>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace hyssoprail {

/// One input or outcome of a decision, by name. Durations are logged in
/// milliseconds.
struct LogField {
  using Value = std::variant<std::int64_t, double, bool, std::string_view>;

  template <std::integral T>
  requires(!std::same_as<T, bool>) LogField(std::string_view Name, T Number)
      : Name(Name), Content(static_cast<std::int64_t>(Number)) {}
  LogField(std::string_view Name, bool Flag) : Name(Name), Content(Flag) {}
  LogField(std::string_view Name, double Number)
      : Name(Name), Content(Number) {}
  LogField(std::string_view Name, const char *Text)
      : Name(Name), Content(std::string_view(Text)) {}
  LogField(std::string_view Name, std::string_view Text)
      : Name(Name), Content(Text) {}
  LogField(std::string_view Name, const std::string &Text)
      : Name(Name), Content(std::string_view(Text)) {}
  template <typename Rep, typename Period>
  LogField(std::string_view Name, std::chrono::duration<Rep, Period> Time)
      : Name(Name),
        Content(std::int64_t{
            std::chrono::duration_cast<std::chrono::milliseconds>(Time)
                .count()}) {}

  std::string_view Name;
  Value Content;
};

using LogFields = std::initializer_list<LogField>;

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_LOG_FIELD_HPP
