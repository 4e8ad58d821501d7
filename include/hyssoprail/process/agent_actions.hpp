#ifndef HYSSOPRAIL_PROCESS_AGENT_ACTIONS_HPP
#define HYSSOPRAIL_PROCESS_AGENT_ACTIONS_HPP

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// Identifies one call to the engine or service. Ids are never reused, so that
/// late results of abandoned calls can be recognized.
using CallId = std::uint64_t;

// ---- Actions of AgentCore ---------------------------------------------------

/// Send \p Message to the process with the message-bus identity \p Peer.
struct SendMessage {
  std::string Peer;
  wire::Envelope Message;
};

struct PrefillCall {
  CallId Call = 0;
  std::string Id;
  std::string Model;
  std::string Prompt;
  std::uint32_t ResumedTokens = 0;
  unsigned Priority = 0;
  milliseconds Timeout{0};
};

struct DecodeCall {
  CallId Call = 0;
  std::string Id;
  std::string Model;
  std::string Prompt;
  std::string KvHandle;
  std::string KvSource;
  std::uint32_t MaxTokens = 0;
  std::uint32_t FirstIndex = 0;
  unsigned Priority = 0;
  milliseconds ReadTimeout{0};
};

/// Close the connection of a decode stream or service call. No result follows.
struct AbandonCall {
  CallId Call = 0;
};

struct CancelCall {
  CallId Call = 0;
  std::string Id;
};

enum class EngineQuery { Status, Load, Held };

struct QueryCall {
  CallId Call = 0;
  EngineQuery Query = EngineQuery::Status;
};

struct OrderCall {
  CallId Call = 0;
  std::uint64_t FencingToken = 0;
  std::string Model;
  std::string Version;
  std::string Role;
};

struct ServiceCall {
  CallId Call = 0;
  wire::CallStart Start;
  bool FreshConnection = false;
  milliseconds Timeout{0};
};

using AgentAction =
    std::variant<SendMessage, PrefillCall, DecodeCall, AbandonCall, CancelCall,
                 QueryCall, OrderCall, ServiceCall>;

// ---- Results of engine and service calls ------------------------------------

enum class CallStatusCode {
  Ok,
  NotSent,        ///< connection refused, nothing was sent
  Busy,           ///< HTTP 503
  Gone,           ///< HTTP 404 or 410
  Conflict,       ///< HTTP 409
  OtherError,     ///< any other HTTP error or an invalid response
  ConnectionLost, ///< connection lost after sending had begun
  Timeout,
};

struct PrefillResult {
  CallId Call = 0;
  CallStatusCode Code = CallStatusCode::Ok;
  std::string KvHandle;
  std::uint32_t PromptTokens = 0;
  std::uint32_t CachedTokens = 0;
  std::uint64_t KvBytes = 0;
  milliseconds KvTtl{0};
  milliseconds Duration{0};
};

struct DecodeTokens {
  CallId Call = 0;
  std::uint32_t Index = 0; ///< index of the first token
  std::vector<std::string> Tokens;
};

struct DecodeEnd {
  CallId Call = 0;
  CallStatusCode Code = CallStatusCode::Ok;
  std::string FinishReason; ///< set if Code is Ok
  std::uint32_t OutputTokens = 0;
};

struct CancelResult {
  CallId Call = 0;
  CallStatusCode Code = CallStatusCode::Ok;
};

struct StatusResult {
  CallId Call = 0;
  CallStatusCode Code = CallStatusCode::Ok;
  std::string Incarnation;
  milliseconds Uptime{0};
  std::string Role;
  std::string Model;
  std::string Version;
  bool Cold = false;
  std::uint32_t Slots = 0;
  std::uint32_t Pieces = 0;
  std::uint32_t PieceTokens = 0;
};

struct LoadResult {
  CallId Call = 0;
  CallStatusCode Code = CallStatusCode::Ok;
  std::uint32_t StepMicros = 0;
  std::uint32_t PrefillMicrosPerToken = 0;
};

struct HeldWork {
  std::string Id;
  std::uint32_t Pieces = 0;
  std::string State;
};

struct HeldResult {
  CallId Call = 0;
  CallStatusCode Code = CallStatusCode::Ok;
  std::vector<HeldWork> Work;
};

struct OrderResult {
  CallId Call = 0;
  CallStatusCode Code = CallStatusCode::Ok;
};

struct ServiceResult {
  CallId Call = 0;
  CallStatusCode Code =
      CallStatusCode::Ok; ///< Ok for any complete HTTP response
  std::uint32_t Status = 0;
  std::vector<wire::Header> Headers;
  std::string Body;
};

using AgentResult = std::variant<PrefillResult, DecodeTokens, DecodeEnd,
                                 CancelResult, StatusResult, LoadResult,
                                 HeldResult, OrderResult, ServiceResult>;

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_AGENT_ACTIONS_HPP
