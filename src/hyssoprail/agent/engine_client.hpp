#ifndef HYSSOPRAIL_AGENT_ENGINE_CLIENT_HPP
#define HYSSOPRAIL_AGENT_ENGINE_CLIENT_HPP

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/process/agent_actions.hpp"

namespace hyssoprail {

/// Performs the engine and service calls requested by AgentCore over HTTP
/// (section 8 of docs/design.md) and passes their results to the handler. All
/// functions must be called on the thread of the HttpClient, where the handler
/// runs too.
class EngineClient {
public:
  using ResultHandler = std::function<void(AgentResult)>;

  EngineClient(HttpClient &Client, std::string Authority,
               ResultHandler OnResult);

  void perform(const PrefillCall &Call);
  void perform(const DecodeCall &Call);
  void perform(const AbandonCall &Call);
  void perform(const CancelCall &Call);
  void perform(const QueryCall &Call);
  void perform(const OrderCall &Call);
  void perform(const ServiceCall &Call);

private:
  struct DecodeStream;

  HttpCall makePostCall(std::string Target, std::string Body,
                        milliseconds Timeout) const;
  template <typename T, typename Reader>
  void query(CallId Id, std::string Target, Reader Read);
  void onStreamData(DecodeStream &Stream, std::string_view Data);
  void onStreamEnd(CallId Call, const Status &End);
  void finishStream(DecodeStream &Stream, DecodeEnd End);

  HttpClient &Client;
  std::string Authority;
  ResultHandler OnResult;
  std::unordered_map<CallId, std::shared_ptr<DecodeStream>> Streams;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_AGENT_ENGINE_CLIENT_HPP
