#ifndef HYSSOPRAIL_STANDIN_ENGINE_ENGINE_HPP
#define HYSSOPRAIL_STANDIN_ENGINE_ENGINE_HPP

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/core/random.hpp"
#include "hyssoprail/standin/engine/engine_options.hpp"
#include "hyssoprail/standin/engine/kv_link.hpp"
#include "hyssoprail/standin/engine/prefix_cache.hpp"
#include "hyssoprail/standin/program.hpp"

namespace hyssoprail::standin {

/// Emulates one inference engine over the protocol of docs/design.md,
/// section 8.1. All functions run on the thread of its io_context.
class Engine {
public:
  Engine(boost::asio::io_context &Context, EngineOptions Options,
         std::uint64_t Seed);

  void handle(const ExchangePtr &Exchange);

private:
  using Steady = std::chrono::steady_clock;
  using Time = Steady::time_point;

  enum class WorkState { Waiting, Prefill, Kv, Importing, Decoding };

  /// One unit of work and the memory it holds.
  struct Work {
    std::string Id;
    std::uint64_t Number = 0; ///< grows with each unit; never reused
    WorkState State = WorkState::Waiting;
    std::uint64_t Pieces = 0;
    std::uint64_t Priority = 2; ///< 0 is served first
    std::string Prompt;
    std::uint64_t PromptTokens = 0;
    std::uint64_t CachedTokens = 0;
    Time Began;
    ExchangePtr Exchange;
    std::string KvHandle; ///< prefill: once done
    Time KvExpiry;
    bool Exported = false; ///< prefill: its KV cache was asked for
    std::string KvHead;    ///< decode: first bytes of the imported KV cache
    std::shared_ptr<HttpStream> Import;
    std::uint32_t NextIndex = 0; ///< decode
    std::uint32_t EndIndex = 0;
    std::string FinishReason;
  };
  using WorkPtr = std::shared_ptr<Work>;

  void serve(const ExchangePtr &Exchange);
  void status(HttpExchange &Exchange);
  void held(HttpExchange &Exchange);
  void stats(HttpExchange &Exchange);
  void prefill(const ExchangePtr &Exchange);
  void exportKv(const ExchangePtr &Exchange);
  void decode(const ExchangePtr &Exchange);
  void cancel(HttpExchange &Exchange);
  void order(const ExchangePtr &Exchange);
  void faults(HttpExchange &Exchange);

  /// Answers 404, 409 or 503 if new work cannot be taken; returns true then.
  bool refuse(HttpExchange &Exchange, const Json &Body);
  WorkPtr add(const ExchangePtr &Exchange, const Json &Body);
  void startPrefill();
  void finishPrefill(const WorkPtr &W);
  void startImport(const WorkPtr &W, const Json &Body);
  void finishImport(const WorkPtr &W, unsigned Status, bool Complete);
  void runStep();
  void emitToken(Work &W);
  void remove(const WorkPtr &W);
  void failWork(unsigned Status, const std::string &Message);
  void restartCold();
  void checkColdLimit();
  void tick();
  Json load() const;

  bool cold() const { return Steady::now() < ColdUntil; }
  double slowness() const;
  std::uint64_t usedPieces() const;
  std::uint64_t countState(WorkState State) const;
  std::uint64_t piecesFor(std::uint64_t Tokens) const;
  bool alive(const WorkPtr &W) const;

  boost::asio::io_context &Context;
  EngineOptions Options;
  RandomSource Random;
  PrefixCache Cache;
  KvLink Link;
  std::unique_ptr<HttpClient> Client;
  boost::asio::steady_timer TickTimer;
  boost::asio::steady_timer StepTimer;
  boost::asio::steady_timer PrefillTimer;
  boost::asio::steady_timer OrderTimer;
  std::map<std::string, WorkPtr> Works;
  std::vector<ExchangePtr> Deferred; ///< calls that arrived while frozen
  std::string Incarnation;
  Time Started;
  Time ColdUntil;
  Time FrozenUntil;
  Time NextStep;
  Json ReportedLoad;
  Json NextLoad;
  Time LoadTaken;
  std::uint64_t LastNumber = 0;
  std::uint64_t NewestFencing = 0;
  std::uint64_t ComputedTokens = 0; ///< by finished prefills
  std::uint64_t UsedTokens = 0;     ///< of KV caches that were exported
  std::uint64_t Crashes = 0;        ///< caused by load above the cold limit
  bool Stepping = false;
  bool Loading = false;
};

} // namespace hyssoprail::standin

#endif // HYSSOPRAIL_STANDIN_ENGINE_ENGINE_HPP
