#include "hyssoprail/entry/responder.hpp"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>

namespace hyssoprail::entry {
namespace {

/// Headers that belong to one connection and are not passed on.
constexpr std::array<std::string_view, 8> ConnectionHeaders{
    "Connection",     "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
    "Content-Length", "Upgrade",    "Trailer",          "TE"};

bool isConnectionHeader(std::string_view Name) {
  return std::any_of(ConnectionHeaders.begin(), ConnectionHeaders.end(),
                     [&](std::string_view Known) {
                       return boost::beast::iequals(Known, Name);
                     });
}

} // namespace

Responder::Responder(std::shared_ptr<HttpExchange> Exchange,
                     std::string RequestId)
    : Exchange(std::move(Exchange)), RequestId(std::move(RequestId)) {}

Responder::Responder(std::shared_ptr<HttpExchange> Exchange,
                     std::string RequestId, CompletionFormatter Shape,
                     bool Stream, std::uint32_t PromptTokens)
    : Exchange(std::move(Exchange)), RequestId(std::move(RequestId)),
      Shape(std::move(Shape)), Stream(Stream), PromptTokens(PromptTokens) {}

void Responder::begin() {
  if (Begun)
    return;
  Begun = true;
  Exchange->begin(200, {{"Content-Type", "text/event-stream"},
                        {"Cache-Control", "no-store"},
                        {"X-Request-Id", RequestId}});
}

void Responder::emit(const EmitTokens &Tokens) {
  if (!Stream) {
    Collected.insert(Collected.end(), Tokens.Tokens.begin(),
                     Tokens.Tokens.end());
    return;
  }
  begin();
  Exchange->write(Shape->events(Tokens.FirstIndex, Tokens.Tokens));
}

void Responder::finish(const FinishAnswer &End) {
  if (!Stream) {
    HttpResponse Response = jsonResponse(
        200, Shape->fullBody(Collected, End.FinishReason, PromptTokens));
    Response.Headers.push_back({"X-Request-Id", RequestId});
    return Exchange->respond(std::move(Response));
  }
  begin();
  Exchange->write(
      Shape->lastEvents(End.FinishReason, PromptTokens, End.OutputTokens));
  Exchange->finish();
}

void Responder::answer(const wire::CallReply &Reply) {
  HttpResponse Response;
  Response.Status = Reply.status();
  for (const wire::Header &H : Reply.headers())
    if (!isConnectionHeader(H.name()))
      Response.Headers.push_back({H.name(), H.value()});
  Response.Headers.push_back({"X-Request-Id", RequestId});
  Response.Body = Reply.body();
  Exchange->respond(std::move(Response));
}

void Responder::refuse(const Refusal &Cause) {
  HttpResponse Response = refusalResponse(Cause);
  Response.Headers.push_back({"X-Request-Id", RequestId});
  Exchange->respond(std::move(Response));
}

void Responder::abort() { Exchange->abort(); }

} // namespace hyssoprail::entry
