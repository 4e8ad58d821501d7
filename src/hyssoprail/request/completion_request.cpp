#include "hyssoprail/request/completion_request.hpp"

#include <algorithm>
#include <optional>

#include <nlohmann/json.hpp>

#include "hyssoprail/request/reference_answer.hpp"

namespace hyssoprail {
namespace {

using Json = nlohmann::json;

Error fieldError(std::string Field, std::string Problem, std::string Remedy) {
  return {ErrorKind::InvalidRequest,
          Field.empty() ? std::move(Problem)
                        : "field \"" + Field + "\" " + Problem,
          std::move(Remedy),
          std::move(Field),
          {}};
}

Result<std::string> nonEmptyStringField(const Json &Object, const char *Name,
                                        const std::string &Path) {
  const auto It = Object.find(Name);
  if (It == Object.end())
    return fieldError(Path, "is missing", "add it as a string");
  if (!It->is_string())
    return fieldError(Path, "is not a string", "send a string");
  const auto &Text = It->get_ref<const std::string &>();
  if (Text.empty())
    return fieldError(Path, "is empty", "send a non-empty string");
  return Text;
}

Result<bool> boolField(const Json &Object, const char *Name) {
  const auto It = Object.find(Name);
  if (It == Object.end() || It->is_null())
    return false;
  if (!It->is_boolean())
    return fieldError(Name, "is not a boolean", "send true or false");
  return It->get<bool>();
}

Result<std::uint32_t> positiveIntField(const Json &Object, const char *Name,
                                       std::uint32_t Default,
                                       std::uint32_t Max) {
  const auto It = Object.find(Name);
  if (It == Object.end() || It->is_null())
    return Default;
  const std::string Remedy =
      "send a whole number from 1 to " + std::to_string(Max);
  if (!It->is_number_integer())
    return fieldError(Name, "is not a whole number", Remedy);
  if (!It->is_number_unsigned() && It->get<std::int64_t>() < 1)
    return fieldError(Name, "is not positive", Remedy);
  const auto Value = It->get<std::uint64_t>();
  if (Value < 1)
    return fieldError(Name, "is not positive", Remedy);
  if (Value > Max)
    return fieldError(Name, "is too large", Remedy);
  return static_cast<std::uint32_t>(Value);
}

/// Renders chat messages into one prompt with a "role: content" line for each.
Result<std::string> chatPrompt(const Json &Object, std::size_t MaxMessages) {
  const auto It = Object.find("messages");
  if (It == Object.end())
    return fieldError("messages", "is missing", "add it as an array");
  if (!It->is_array() || It->empty())
    return fieldError("messages", "is not a non-empty array",
                      "send at least one message");
  if (It->size() > MaxMessages)
    return fieldError("messages", "has too many elements",
                      "send at most " + std::to_string(MaxMessages) +
                          " messages");
  std::string Prompt;
  for (std::size_t I = 0; I < It->size(); ++I) {
    const Json &Message = (*It)[I];
    const std::string Path = "messages[" + std::to_string(I) + "]";
    if (!Message.is_object())
      return fieldError(Path, "is not an object",
                        "send an object with role and content");
    Result<std::string> Role =
        nonEmptyStringField(Message, "role", Path + ".role");
    if (const Error *E = errorOf(Role))
      return *E;
    Result<std::string> Content =
        nonEmptyStringField(Message, "content", Path + ".content");
    if (const Error *E = errorOf(Content))
      return *E;
    Prompt += valueOf(Role) + ": " + valueOf(Content) + "\n";
  }
  return Prompt;
}

std::optional<Error> readPrompt(const Json &Object,
                                const CompletionBounds &Bounds,
                                CompletionRequest &Out) {
  const bool Chat = Out.Shape == CompletionShape::Chat;
  Result<std::string> Prompt =
      Chat ? chatPrompt(Object, Bounds.MaxMessages)
           : nonEmptyStringField(Object, "prompt", "prompt");
  if (const Error *E = errorOf(Prompt))
    return *E;
  Out.Prompt = std::move(valueOf(Prompt));
  const std::uint64_t Tokens = countTokens(Out.Prompt);
  const char *Field = Chat ? "messages" : "prompt";
  if (Tokens == 0)
    return fieldError(Field, "has no tokens", "send at least one word");
  if (Tokens > Bounds.MaxPromptTokens)
    return fieldError(Field, "has too many tokens",
                      "send at most " + std::to_string(Bounds.MaxPromptTokens) +
                          " tokens");
  Out.PromptTokens = static_cast<std::uint32_t>(Tokens);
  return std::nullopt;
}

} // namespace

Result<CompletionRequest> parseCompletion(CompletionShape Shape,
                                          std::string_view Body,
                                          const CompletionBounds &Bounds) {
  const Json Object = Json::parse(Body, nullptr, false);
  if (Object.is_discarded())
    return fieldError("", "the body is not valid JSON",
                      "send one JSON object in UTF-8");
  if (!Object.is_object())
    return fieldError("", "the body is not a JSON object",
                      "send one JSON object");
  CompletionRequest Out;
  Out.Shape = Shape;
  Result<std::string> Model = nonEmptyStringField(Object, "model", "model");
  if (const Error *E = errorOf(Model))
    return *E;
  Out.Model = std::move(valueOf(Model));
  if (std::optional<Error> E = readPrompt(Object, Bounds, Out))
    return *E;
  Result<std::uint32_t> MaxTokens = positiveIntField(
      Object, "max_tokens", Bounds.DefaultOutputTokens, Bounds.MaxOutputTokens);
  if (const Error *E = errorOf(MaxTokens))
    return *E;
  Out.MaxTokens = valueOf(MaxTokens);
  Result<std::uint32_t> Choices = positiveIntField(Object, "n", 1, 1);
  if (const Error *E = errorOf(Choices))
    return *E;
  Result<bool> Stream = boolField(Object, "stream");
  if (const Error *E = errorOf(Stream))
    return *E;
  Out.Stream = valueOf(Stream);
  return Out;
}

} // namespace hyssoprail
