#include "hyssoprail/request/completion_formatter.hpp"

#include <nlohmann/json.hpp>

namespace hyssoprail {
namespace {

using Json = nlohmann::json;

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json usage(std::uint32_t PromptTokens, std::uint64_t OutputTokens) {
  return {{"prompt_tokens", PromptTokens},
          {"completion_tokens", OutputTokens},
          {"total_tokens", PromptTokens + OutputTokens}};
}

} // namespace

CompletionFormatter::CompletionFormatter(CompletionShape Shape,
                                         std::string RequestId,
                                         std::string Model,
                                         std::int64_t CreatedUnixSeconds)
    : Shape(Shape), RequestId(std::move(RequestId)), Model(std::move(Model)),
      Created(CreatedUnixSeconds) {
  const bool Chat = Shape == CompletionShape::Chat;
  EventPrefix = "data: {\"id\":" + dump(this->RequestId) + ",\"object\":\"" +
                (Chat ? "chat.completion.chunk" : "text_completion") +
                "\",\"created\":" + std::to_string(Created) +
                ",\"model\":" + dump(this->Model) +
                ",\"choices\":[{\"index\":0," +
                (Chat ? "\"delta\":{\"content\":" : "\"text\":");
  EventSuffix = Chat ? "},\"finish_reason\":null}]}\n\n"
                     : ",\"finish_reason\":null}]}\n\n";
}

std::string
CompletionFormatter::events(std::uint32_t FirstIndex,
                            const std::vector<std::string> &Tokens) const {
  std::string Out;
  std::uint32_t Index = FirstIndex;
  for (const std::string &Token : Tokens) {
    Out += EventPrefix;
    Out += dump(Index == 0 ? Token : " " + Token);
    Out += EventSuffix;
    ++Index;
  }
  return Out;
}

std::string CompletionFormatter::lastEvents(std::string_view FinishReason,
                                            std::uint32_t PromptTokens,
                                            std::uint32_t OutputTokens) const {
  const bool Chat = Shape == CompletionShape::Chat;
  Json Choice = {{"index", 0}, {"finish_reason", FinishReason}};
  if (Chat)
    Choice["delta"] = Json::object();
  else
    Choice["text"] = "";
  const Json Event = {
      {"id", RequestId},
      {"object", Chat ? "chat.completion.chunk" : "text_completion"},
      {"created", Created},
      {"model", Model},
      {"choices", Json::array({std::move(Choice)})},
      {"usage", usage(PromptTokens, OutputTokens)}};
  return "data: " + dump(Event) + "\n\ndata: [DONE]\n\n";
}

std::string
CompletionFormatter::fullBody(const std::vector<std::string> &Tokens,
                              std::string_view FinishReason,
                              std::uint32_t PromptTokens) const {
  std::string Text;
  for (const std::string &Token : Tokens) {
    if (!Text.empty())
      Text += ' ';
    Text += Token;
  }
  const bool Chat = Shape == CompletionShape::Chat;
  Json Choice = {{"index", 0}, {"finish_reason", FinishReason}};
  if (Chat)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["text"] = Text;
  return dump({{"id", RequestId},
               {"object", Chat ? "chat.completion" : "text_completion"},
               {"created", Created},
               {"model", Model},
               {"choices", Json::array({std::move(Choice)})},
               {"usage", usage(PromptTokens, Tokens.size())}});
}

} // namespace hyssoprail
