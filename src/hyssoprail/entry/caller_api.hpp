#ifndef HYSSOPRAIL_ENTRY_CALLER_API_HPP
#define HYSSOPRAIL_ENTRY_CALLER_API_HPP

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "hyssoprail/connection/http_server.hpp"
#include "hyssoprail/entry/request_shards.hpp"
#include "hyssoprail/version/config_state.hpp"

namespace hyssoprail::entry {

/// What the caller's side of an entry needs from its surroundings.
struct CallerApiContext {
  std::string KeySecret;
  std::uint64_t Incarnation = 0; ///< makes request ids unique over the fleet
  const Clock &Time;
  RequestShards &Requests;
  FlowContext &Flows;
  std::function<ConfigPtr()> Config;
  std::function<std::optional<wire::ClaimState>(std::string_view)> FindClaim;
  /// Why no new work is accepted now, if so.
  std::function<std::optional<Error>()> WhyClosed;
  /// Why keyed work is rejected now, if so.
  std::function<std::optional<Error>()> WhyKeysUnchecked;
  std::function<std::string()> MetricsText;
  /// Called for each accepted request.
  std::function<void(const FlowSpec &)> Accepted;
  /// Runs the scheduler after a request was submitted.
  std::function<void()> Pump;
};

/// Requests of callers: checks them, and turns them into flows.
class CallerApi {
public:
  explicit CallerApi(CallerApiContext Context);

  /// Handles one exchange; the answer may come later.
  void handle(const std::shared_ptr<HttpExchange> &Exchange);

  /// Handles only the paths that the entry serves itself (/healthz, /readyz,
  /// /metrics, /version).
  void handleOwn(const std::shared_ptr<HttpExchange> &Exchange);

private:
  void complete(CompletionShape Shape,
                const std::shared_ptr<HttpExchange> &Exchange);
  void call(const wire::Route &Route, const ConfigPtr &Config,
            const std::shared_ptr<HttpExchange> &Exchange);
  bool answerOwn(HttpExchange &Exchange) const;
  std::optional<Error> admit(const wire::Route &Route, const ConfigPtr &Config,
                             const HttpRequest &Request, FlowSpec &Spec) const;
  void run(std::unique_ptr<RequestFlow> Flow, Responder Answer,
           const std::shared_ptr<HttpExchange> &Exchange);
  FlowSpec newSpec(const wire::Route &Route);

  CallerApiContext Context;
  std::atomic<std::uint64_t> NextRequest{0};
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_CALLER_API_HPP
