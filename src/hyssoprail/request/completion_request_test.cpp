#include "hyssoprail/request/completion_request.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/request/completion_formatter.hpp"
#include "hyssoprail/request/refusal.hpp"

namespace hyssoprail {
namespace {

std::string fieldOf(CompletionShape Shape, const std::string &Body) {
  const auto Parsed = parseCompletion(Shape, Body, {});
  const Error *E = errorOf(Parsed);
  REQUIRE(E != nullptr);
  CHECK(E->Kind == ErrorKind::InvalidRequest);
  CHECK_FALSE(E->Remedy.empty());
  return E->Field;
}

} // namespace

// Guards against a refusal that leaves the caller to search for the fault.
TEST_CASE("errors of a completion name the field") {
  const auto Text = CompletionShape::Text;
  CHECK(fieldOf(Text, "{").empty());
  CHECK(fieldOf(Text, "[1]").empty());
  CHECK(fieldOf(Text, "\"\xff\"").empty());
  CHECK(fieldOf(Text, R"({"prompt":"a"})") == "model");
  CHECK(fieldOf(Text, R"({"model":7,"prompt":"a"})") == "model");
  CHECK(fieldOf(Text, R"({"model":"m"})") == "prompt");
  CHECK(fieldOf(Text, R"({"model":"m","prompt":["a"]})") == "prompt");
  CHECK(fieldOf(Text, R"({"model":"m","prompt":"  "})") == "prompt");
  for (const char *Count :
       {"-1", "0", "1.5", "\"4\"", "1e30", "32769", "18446744073709551615",
        "-9223372036854775808", "99999999999999999999999", "true", "[]"})
    CHECK(fieldOf(Text, R"({"model":"m","prompt":"a","max_tokens":)" +
                            std::string(Count) + "}") == "max_tokens");
  CHECK(fieldOf(Text, R"({"model":"m","prompt":"a","stream":1})") == "stream");
  CHECK(fieldOf(Text, R"({"model":"m","prompt":"a","n":2})") == "n");
}

// Guards against chat errors that do not say which message is wrong.
TEST_CASE("errors of a chat completion name the message") {
  const auto Chat = CompletionShape::Chat;
  CHECK(fieldOf(Chat, R"({"model":"m"})") == "messages");
  CHECK(fieldOf(Chat, R"({"model":"m","messages":[]})") == "messages");
  CHECK(fieldOf(Chat, R"({"model":"m","messages":["x"]})") == "messages[0]");
  CHECK(fieldOf(Chat, R"({"model":"m","messages":[{"role":"user"}]})") ==
        "messages[0].content");
  CHECK(
      fieldOf(Chat, R"({"model":"m","messages":[{"role":1,"content":"x"}]})") ==
      "messages[0].role");
}

// Guards against a prompt whose tokens are miscounted, which would be charged
// wrongly.
TEST_CASE("a valid completion is parsed") {
  const auto Parsed = parseCompletion(
      CompletionShape::Text,
      R"({"model":"m","prompt":" a b\n c ","max_tokens":5,"stream":true})", {});
  REQUIRE(succeeded(Parsed));
  const CompletionRequest &Request = valueOf(Parsed);
  CHECK(Request.PromptTokens == 3);
  CHECK(Request.MaxTokens == 5);
  CHECK(Request.Stream);
}

// Guards against a refusal body that cannot be written, or lacks the fields
// that callers act on.
TEST_CASE("a refusal carries what the caller needs") {
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

// Guards against events that a reader of server-sent events cannot split.
TEST_CASE("tokens become one event each") {
  const CompletionFormatter Shape(CompletionShape::Text, "id", "m", 1);
  const std::string Events = Shape.events(0, {"a", "b\n"});
  CHECK(Events.find(R"("text":"a")") != std::string::npos);
  CHECK(Events.find(R"("text":" b\n")") != std::string::npos);
  CHECK(Shape.lastEvents("stop", 1, 2).ends_with("data: [DONE]\n\n"));
  CHECK(Shape.fullBody({"a", "b"}, "stop", 1).find(R"("text":"a b")") !=
        std::string::npos);
}

} // namespace hyssoprail
