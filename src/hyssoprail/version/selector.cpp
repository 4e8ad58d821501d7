#include "hyssoprail/version/selector.hpp"

#include <algorithm>
#include <cctype>

#include <fmt/format.h>

namespace hyssoprail {

/// Recursive-descent parser of one selector expression.
class SelectorParser {
public:
  explicit SelectorParser(std::string_view Text) : Text(Text) {}

  Result<LabelSelector> run() {
    LabelSelector Out;
    while (true) {
      if (!term(Out))
        return Failure;
      skipSpace();
      if (At == Text.size())
        return Out;
      if (!take(','))
        return fail("expected ',' or the end");
    }
  }

private:
  using Kind = LabelSelector::TermKind;

  Error fail(std::string_view What) {
    Failure = Error{
        .Kind = ErrorKind::InvalidRequest,
        .Message = fmt::format("selector \"{}\": {} at position {}", Text, What,
                               At + 1),
        .Remedy = "use terms such as zone=a, disk!=hdd, disk in (ssd,nvme), "
                  "disk notin (hdd), gpu or !old, separated by commas",
        .Field = "expression"};
    return Failure;
  }

  bool term(LabelSelector &Out) {
    LabelSelector::Term T;
    skipSpace();
    const bool Negated = take('!');
    T.Kind = Negated ? Kind::Missing : Kind::Exists;
    if (!word(T.Label, "label name"))
      return false;
    if (!Negated && !comparison(T))
      return false;
    Out.Terms.push_back(std::move(T));
    return true;
  }

  bool comparison(LabelSelector::Term &T) {
    skipSpace();
    if (take('=')) {
      take('=');
      T.Kind = Kind::In;
      return word(T.Values.emplace_back(), "value");
    }
    if (take('!')) {
      T.Kind = Kind::NotIn;
      if (!take('='))
        return reject("expected '=' after '!'");
      return word(T.Values.emplace_back(), "value");
    }
    if (takeWord("in")) {
      T.Kind = Kind::In;
      return set(T);
    }
    if (takeWord("notin")) {
      T.Kind = Kind::NotIn;
      return set(T);
    }
    return true;
  }

  bool set(LabelSelector::Term &T) {
    skipSpace();
    if (!take('('))
      return reject("expected '('");
    do {
      if (!word(T.Values.emplace_back(), "value"))
        return false;
      skipSpace();
    } while (take(','));
    return take(')') || reject("expected ',' or ')'");
  }

  bool word(std::string &Out, std::string_view What) {
    skipSpace();
    const std::size_t Begin = At;
    while (At < Text.size() && isWordCharacter(Text[At]))
      ++At;
    Out = Text.substr(Begin, At - Begin);
    return !Out.empty() || reject(fmt::format("expected a {}", What));
  }

  bool takeWord(std::string_view Word) {
    if (Text.substr(At, Word.size()) != Word)
      return false;
    const std::size_t End = At + Word.size();
    if (End < Text.size() && isWordCharacter(Text[End]))
      return false;
    At = End;
    return true;
  }

  bool take(char C) {
    if (At == Text.size() || Text[At] != C)
      return false;
    ++At;
    return true;
  }

  bool reject(std::string_view What) {
    fail(What);
    return false;
  }

  void skipSpace() {
    while (At < Text.size() && Text[At] == ' ')
      ++At;
  }

  static bool isWordCharacter(char C) {
    return std::isalnum(static_cast<unsigned char>(C)) != 0 || C == '-' ||
           C == '_' || C == '.' || C == '/' || C == ':';
  }

  std::string_view Text;
  std::size_t At = 0;
  Error Failure;
};

Result<LabelSelector> LabelSelector::parse(std::string_view Expression) {
  return SelectorParser(Expression).run();
}

bool LabelSelector::matches(const Labels &Of) const {
  return std::all_of(Terms.begin(), Terms.end(),
                     [&](const Term &T) { return holds(T, Of); });
}

bool LabelSelector::holds(const Term &T, const Labels &Of) {
  const auto Found = Of.find(T.Label);
  const bool Present = Found != Of.end();
  switch (T.Kind) {
  case TermKind::Exists:
    return Present;
  case TermKind::Missing:
    return !Present;
  case TermKind::In:
    return Present && std::find(T.Values.begin(), T.Values.end(),
                                Found->second) != T.Values.end();
  case TermKind::NotIn:
    return !Present || std::find(T.Values.begin(), T.Values.end(),
                                 Found->second) == T.Values.end();
  }
  return false;
}

} // namespace hyssoprail
