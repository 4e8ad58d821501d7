#ifndef HYSSOPRAIL_VERSION_SELECTOR_HPP
#define HYSSOPRAIL_VERSION_SELECTOR_HPP

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/core/result.hpp"

namespace hyssoprail {

/// Labels by name.
using Labels = std::map<std::string, std::string, std::less<>>;

/// A parsed label selector: all of its terms must hold.
///
/// Terms are separated by commas: "disk=ssd", "disk!=hdd", "disk in (a,b)",
/// "disk notin (a,b)", "gpu" (the label exists) and "!old" (it does not).
/// "!=" and "notin" also hold if the label is missing.
///
/// \code
///   auto S = LabelSelector::parse("zone=a,disk in (ssd,nvme),!old");
///   valueOf(S).matches({{"zone", "a"}, {"disk", "ssd"}}); // true
/// \endcode
class LabelSelector {
public:
  /// Parses an expression. Fails with InvalidRequest; the message names the
  /// position, counted from 1.
  static Result<LabelSelector> parse(std::string_view Expression);

  /// True if every term holds for \p Of.
  bool matches(const Labels &Of) const;

private:
  enum class TermKind { In, NotIn, Exists, Missing };

  struct Term {
    TermKind Kind = TermKind::Exists;
    std::string Label;
    std::vector<std::string> Values;
  };

  friend class SelectorParser;

  static bool holds(const Term &T, const Labels &Of);

  std::vector<Term> Terms;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_VERSION_SELECTOR_HPP
