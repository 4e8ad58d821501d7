#include "hyssoprail/request/completion_request.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/request/completion_formatter.hpp"
#include "hyssoprail/request/refusal.hpp"

namespace hyssoprail {
namespace {

std::string rejectedField(CompletionShape Shape, const std::string &Body) {
  const auto Parsed = parseCompletion(Shape, Body, {});
  const Error *E = errorOf(Parsed);
  REQUIRE(E != nullptr);
  CHECK(E->Kind == ErrorKind::InvalidRequest);
  CHECK_FALSE(E->Remedy.empty());
  return E->Field;
}

} // namespace

// Guards against an error that does not tell the caller which field is wrong.
TEST_CASE("completion request errors name the field") {
  const auto Text = CompletionShape::Text;
  CHECK(rejectedField(Text, "{").empty());
  CHECK(rejectedField(Text, "[1]").empty());
  CHECK(rejectedField(Text, "\"\xff\"").empty());
  CHECK(rejectedField(Text, R"({"prompt":"a"})") == "model");
  CHECK(rejectedField(Text, R"({"model":7,"prompt":"a"})") == "model");
  CHECK(rejectedField(Text, R"({"model":"m"})") == "prompt");
  CHECK(rejectedField(Text, R"({"model":"m","prompt":["a"]})") == "prompt");
  CHECK(rejectedField(Text, R"({"model":"m","prompt":"  "})") == "prompt");
  for (const char *Count :
       {"-1", "0", "1.5", "\"4\"", "1e30", "32769", "18446744073709551615",
        "-9223372036854775808", "99999999999999999999999", "true", "[]"})
    CHECK(rejectedField(Text, R"({"model":"m","prompt":"a","max_tokens":)" +
                                  std::string(Count) + "}") == "max_tokens");
  CHECK(rejectedField(Text, R"({"model":"m","prompt":"a","stream":1})") ==
        "stream");
  CHECK(rejectedField(Text, R"({"model":"m","prompt":"a","n":2})") == "n");
}

// Guards against an error that does not tell the caller which message is wrong.
TEST_CASE("chat completion request errors name the message") {
  const auto Chat = CompletionShape::Chat;
  CHECK(rejectedField(Chat, R"({"model":"m"})") == "messages");
  CHECK(rejectedField(Chat, R"({"model":"m","messages":[]})") == "messages");
  CHECK(rejectedField(Chat, R"({"model":"m","messages":["x"]})") ==
        "messages[0]");
  CHECK(rejectedField(Chat, R"({"model":"m","messages":[{"role":"user"}]})") ==
        "messages[0].content");
  CHECK(rejectedField(
            Chat, R"({"model":"m","messages":[{"role":1,"content":"x"}]})") ==
        "messages[0].role");
}

// Guards against a wrong prompt token count, which would debit the account
// wrongly.
TEST_CASE("a valid completion request is parsed") {
  const auto Parsed = parseCompletion(
      CompletionShape::Text,
      R"({"model":"m","prompt":" a b\n c ","max_tokens":5,"stream":true})", {});
  REQUIRE(succeeded(Parsed));
  const CompletionRequest &Request = valueOf(Parsed);
  CHECK(Request.PromptTokens == 3);
  CHECK(Request.MaxTokens == 5);
  CHECK(Request.Stream);
}

// Guards against a refusal body that cannot be serialized because its message
// is not valid UTF-8, or that lacks the fields callers act on.
TEST_CASE("a refusal response has the fields that callers act on") {
  const Error Cause{ErrorKind::RateLimited, "message \xff", "wait", "field",
                    milliseconds(1'001)};
  const HttpResponse Response = refusalResponse({Cause, true, "id"});
  CHECK(Response.Status == 429);
  REQUIRE(Response.Headers.size() == 2);
  CHECK(Response.Headers[1].Name == "Retry-After");
  CHECK(Response.Headers[1].Value == "2");
  CHECK(Response.Body.find(R"("not_run":true)") != std::string::npos);
  CHECK(Response.Body.find(R"("retry_after_ms":1001)") != std::string::npos);
  CHECK(Response.Body.find(R"("request_id":"id")") != std::string::npos);
}

// Guards against a line break in a token that would split a server-sent event.
TEST_CASE("each token is formatted as one event") {
  const CompletionFormatter Formatter(CompletionShape::Text, "id", "m", 1);
  const std::string Events = Formatter.events(0, {"a", "b\n"});
  CHECK(Events.find(R"("text":"a")") != std::string::npos);
  CHECK(Events.find(R"("text":" b\n")") != std::string::npos);
  CHECK(Formatter.lastEvents("stop", 1, 2).ends_with("data: [DONE]\n\n"));
  CHECK(Formatter.fullBody({"a", "b"}, "stop", 1).find(R"("text":"a b")") !=
        std::string::npos);
}

} // namespace hyssoprail
