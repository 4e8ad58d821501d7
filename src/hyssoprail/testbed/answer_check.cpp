#include "hyssoprail/testbed/answer_check.hpp"

#include <algorithm>
#include <cctype>

#include <nlohmann/json.hpp>

#include "hyssoprail/request/reference_answer.hpp"

namespace hyssoprail::testbed {
namespace {

/// Tokens contain no whitespace, so the separators between them are left out
/// on both sides of the comparison.
void appendWithoutSpaces(std::string &Out, std::string_view Text) {
  for (char C : Text)
    if (std::isspace(static_cast<unsigned char>(C)) == 0)
      Out += C;
}

} // namespace

AnswerCheck::AnswerCheck(std::string_view Prompt, std::uint32_t MaxTokens)
    : Tokens(std::min(MaxTokens, referenceLength(Prompt))) {
  for (std::uint32_t I = 0; I < Tokens; ++I)
    appendWithoutSpaces(Expected, referenceToken(Prompt, I));
}

unsigned AnswerCheck::add(std::string_view Data) {
  Pending += Data;
  unsigned Events = 0;
  std::size_t Begin = 0;
  for (std::size_t End = Pending.find("\n\n", Begin); End != std::string::npos;
       End = Pending.find("\n\n", Begin)) {
    if (readEvent(std::string_view(Pending).substr(Begin, End - Begin)))
      ++Events;
    Begin = End + 2;
  }
  Pending.erase(0, Begin);
  return Events;
}

bool AnswerCheck::readEvent(std::string_view Event) {
  constexpr std::string_view Prefix = "data: ";
  if (!Event.starts_with(Prefix))
    return false;
  Event.remove_prefix(Prefix.size());
  if (Event == "[DONE]") {
    Done = true;
    return false;
  }
  const auto Body = nlohmann::json::parse(Event, nullptr, false);
  if (!Body.is_object())
    return false;
  if (Body.contains("error")) {
    ErrorCode = Body["error"].value("code", "unknown");
    return false;
  }
  const auto Choices = Body.find("choices");
  if (Choices == Body.end() || Choices->empty())
    return false;
  const std::string Piece = Choices->front().value("text", "");
  appendWithoutSpaces(Text, Piece);
  return !Piece.empty();
}

} // namespace hyssoprail::testbed
