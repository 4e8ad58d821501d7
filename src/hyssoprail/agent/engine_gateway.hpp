#ifndef HYSSOPRAIL_AGENT_ENGINE_GATEWAY_HPP
#define HYSSOPRAIL_AGENT_ENGINE_GATEWAY_HPP

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/process/agent_actions.hpp"

namespace hyssoprail {

/// Performs the engine and service calls of AgentCore over HTTP (section 8 of
/// docs/design.md) and reports their results. Runs on the client's thread.
class EngineGateway {
public:
  using Handler = std::function<void(AgentResult)>;

  EngineGateway(HttpClient &Client, std::string Authority, Handler OnResult);

  void perform(const PrefillCall &Call);
  void perform(const DecodeCall &Call);
  void perform(const AbandonCall &Call);
  void perform(const CancelCall &Call);
  void perform(const QueryCall &Call);
  void perform(const OrderCall &Call);
  void perform(const ServiceCall &Call);

private:
  struct Stream;

  HttpCall post(std::string Target, std::string Body,
                milliseconds Timeout) const;
  void onStreamData(Stream &S, std::string_view Data);
  void onStreamEnd(CallId Call, const Status &End);
  void finishStream(Stream &S, DecodeEnd End);

  HttpClient &Client;
  std::string Authority;
  Handler OnResult;
  std::unordered_map<CallId, std::shared_ptr<Stream>> Streams;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_AGENT_ENGINE_GATEWAY_HPP
