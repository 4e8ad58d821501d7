#ifndef HYSSOPRAIL_ENTRY_RESPONDER_HPP
#define HYSSOPRAIL_ENTRY_RESPONDER_HPP

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hyssoprail/connection/http_server.hpp"
#include "hyssoprail/request/completion_formatter.hpp"
#include "hyssoprail/request/flow_action.hpp"

namespace hyssoprail::entry {

/// Writes the answer of one request to its caller.
class Responder {
public:
  /// Answer of a plain call.
  Responder(std::shared_ptr<HttpExchange> Exchange, std::string RequestId);

  /// Answer of a completion, streamed or whole.
  Responder(std::shared_ptr<HttpExchange> Exchange, std::string RequestId,
            CompletionFormatter Shape, bool Stream, std::uint32_t PromptTokens);

  void emit(const EmitTokens &Tokens);
  void finish(const FinishAnswer &End);
  void answer(const wire::CallReply &Reply);
  void refuse(const Refusal &Cause);
  void abort();

private:
  void begin();

  std::shared_ptr<HttpExchange> Exchange;
  std::string RequestId;
  std::optional<CompletionFormatter> Shape;
  bool Stream = false;
  bool Begun = false;
  std::uint32_t PromptTokens = 0;
  std::vector<std::string> Collected; ///< tokens of a whole answer
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_RESPONDER_HPP
