#include "hyssoprail/standin/engine/engine.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/request/reference_answer.hpp"

namespace hyssoprail::standin {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds TickTime{10};

/// Length of the hash and token count at the start of an exported KV cache.
constexpr std::size_t KvHeadBytes = 32;

/// Identifies the text that a KV cache covers, independent of whitespace.
std::string kvHead(const std::string &Text) {
  std::uint64_t Hash = 0;
  std::size_t At = 0;
  while ((At = Text.find_first_not_of(" \t\r\n\v\f", At)) !=
         std::string::npos) {
    const std::size_t End =
        std::min(Text.find_first_of(" \t\r\n\v\f", At), Text.size());
    Hash = stableHash(std::string_view(Text).substr(At, End - At), Hash);
    At = End;
  }
  return fmt::format("{:016x}{:016x}", Hash, countTokens(Text));
}

/// The prompt followed by the first \p Count output tokens.
std::string withOutput(const std::string &Prompt, std::uint32_t Count) {
  std::string Text = Prompt;
  for (std::uint32_t I = 0; I < Count; ++I)
    Text += " " + referenceToken(Prompt, I);
  return Text;
}

std::string sseEvent(const Json &Data) {
  return "data: " + Data.dump() + "\n\n";
}

} // namespace

Engine::Engine(boost::asio::io_context &Context, EngineOptions Options,
               std::uint64_t Seed)
    : Context(Context), Options(std::move(Options)), Random(Seed),
      Cache(this->Options.CacheTokens, this->Options.CacheEventDelay,
            this->Options.CacheEventLoss, Seed),
      Link(Context, this->Options.LinkBytesPerSecond),
      Client(makeHttpClient(Context)), TickTimer(Context), StepTimer(Context),
      PrefillTimer(Context), OrderTimer(Context) {
  restartCold();
  tick();
}

void Engine::handle(const ExchangePtr &Exchange) {
  if (Exchange->request().path() == "/faults")
    return faults(*Exchange);
  if (Steady::now() < FrozenUntil)
    Deferred.push_back(Exchange);
  else
    serve(Exchange);
}

void Engine::serve(const ExchangePtr &Exchange) {
  const HttpRequest &Request = Exchange->request();
  const std::string Call = Request.Method + " " + std::string(Request.path());
  if (Call == "GET /status")
    return status(*Exchange);
  if (Call == "GET /load")
    return answer(*Exchange, 200, ReportedLoad);
  if (Call == "GET /held")
    return held(*Exchange);
  if (Call == "GET /stats")
    return stats(*Exchange);
  if (Call == "GET /cache_events")
    return answer(
        *Exchange, 200,
        Cache.events(queryNumber(Request.Target, "after", 0), Steady::now()));
  if (Call == "POST /prefill")
    return prefill(Exchange);
  if (Call.starts_with("GET /kv/"))
    return exportKv(Exchange);
  if (Call == "POST /decode")
    return decode(Exchange);
  if (Call == "POST /cancel")
    return cancel(*Exchange);
  if (Call == "POST /order")
    return order(Exchange);
  answerError(*Exchange, 404, "no such call");
}

void Engine::status(HttpExchange &Exchange) {
  const auto Uptime = duration_cast<milliseconds>(Steady::now() - Started);
  answer(Exchange, 200,
         {{"incarnation", Incarnation},
          {"uptime_ms", Uptime.count()},
          {"role", Options.Role},
          {"model", Options.Model},
          {"version", Options.Version},
          {"cold", cold()},
          {"slots", Options.Slots},
          {"pieces", Options.Pieces},
          {"piece_tokens", Options.PieceTokens}});
}

Json Engine::load() const {
  const std::uint64_t Running = countState(WorkState::Prefill) +
                                countState(WorkState::Importing) +
                                countState(WorkState::Decoding);
  const double Slow = slowness();
  const auto Step = static_cast<double>(Options.StepBaseUs +
                                        Options.StepStreamUs *
                                            countState(WorkState::Decoding));
  return {{"running", Running},
          {"waiting", countState(WorkState::Waiting)},
          {"pieces_used", usedPieces()},
          {"step_us", static_cast<std::uint64_t>(Step * Slow)},
          {"prefill_us_per_token",
           static_cast<std::uint64_t>(
               static_cast<double>(Options.PrefillTokenUs) * Slow)}};
}

void Engine::held(HttpExchange &Exchange) {
  Json List = Json::array();
  for (const auto &[Id, W] : Works) {
    const char *State = W->State == WorkState::Kv          ? "kv"
                        : W->State == WorkState::Importing ? "importing"
                        : W->State == WorkState::Decoding  ? "decoding"
                                                           : "prefill";
    List.push_back({{"id", Id}, {"pieces", W->Pieces}, {"state", State}});
  }
  answer(Exchange, 200, {{"work", std::move(List)}});
}

void Engine::stats(HttpExchange &Exchange) {
  answer(Exchange, 200,
         {{"prefill_tokens", ComputedTokens},
          {"used_prefill_tokens", UsedTokens},
          {"crashes", Crashes}});
}

bool Engine::refuse(HttpExchange &Exchange, const Json &Body) {
  const std::string Id = textField(Body, "id");
  if (Id.empty() || textField(Body, "prompt").empty())
    answerError(Exchange, 400, "id or prompt is missing");
  else if (Loading)
    answerError(Exchange, 503, "weights are being loaded");
  else if (textField(Body, "model") != Options.Model)
    answerError(Exchange, 404, "this engine serves model " + Options.Model);
  else if (Works.contains(Id))
    answerError(Exchange, 409, "work " + Id + " exists already");
  else
    return false;
  return true;
}

Engine::WorkPtr Engine::add(const ExchangePtr &Exchange, const Json &Body) {
  auto W = std::make_shared<Work>();
  W->Id = textField(Body, "id");
  W->Number = ++LastNumber;
  W->Prompt = textField(Body, "prompt");
  W->PromptTokens = countTokens(W->Prompt);
  W->Priority = countField(Body, "priority", 2);
  W->Exchange = Exchange;
  Works[W->Id] = W;
  if (Options.FreeOnDisconnect)
    Exchange->onDisconnect([this, Weak = std::weak_ptr(W)] {
      boost::asio::post(Context, [this, Weak] {
        if (const WorkPtr Left = Weak.lock(); Left && alive(Left))
          remove(Left);
      });
    });
  return W;
}

void Engine::prefill(const ExchangePtr &Exchange) {
  const Json Body = parseObject(Exchange->request().Body);
  if (refuse(*Exchange, Body))
    return;
  if (countState(WorkState::Waiting) >= Options.MaxWaiting)
    return answerError(*Exchange, 503, "too many prefills wait");
  if (piecesFor(countTokens(textField(Body, "prompt"))) > Options.Pieces)
    return answerError(*Exchange, 400, "the prompt exceeds the memory");
  add(Exchange, Body);
  checkColdLimit();
  startPrefill();
}

void Engine::startPrefill() {
  if (countState(WorkState::Prefill) > 0)
    return;
  WorkPtr Next;
  for (const auto &[Id, W] : Works)
    if (W->State == WorkState::Waiting &&
        usedPieces() + piecesFor(W->PromptTokens) <= Options.Pieces &&
        (!Next || std::pair(W->Priority, W->Number) <
                      std::pair(Next->Priority, Next->Number)))
      Next = W;
  if (!Next)
    return;
  Next->State = WorkState::Prefill;
  Next->Pieces = piecesFor(Next->PromptTokens);
  Next->CachedTokens = Cache.cachedTokens(Next->Prompt);
  Next->Began = Steady::now();
  const auto Cost = static_cast<double>(
      Options.PrefillBaseUs +
      Options.PrefillTokenUs * (Next->PromptTokens - Next->CachedTokens));
  PrefillTimer.expires_after(
      microseconds(static_cast<std::int64_t>(Cost * slowness())));
  PrefillTimer.async_wait([this, Next](const auto &Code) {
    if (!Code)
      finishPrefill(Next);
  });
}

void Engine::finishPrefill(const WorkPtr &W) {
  if (!alive(W))
    return;
  if (Steady::now() < FrozenUntil) {
    PrefillTimer.expires_at(FrozenUntil);
    PrefillTimer.async_wait([this, W](const auto &Code) {
      if (!Code)
        finishPrefill(W);
    });
    return;
  }
  Cache.store(W->Prompt, Steady::now());
  ComputedTokens += W->PromptTokens - W->CachedTokens;
  W->State = WorkState::Kv;
  W->KvHandle = hexId(Random.identifier(), W->Number);
  W->KvExpiry = Steady::now() + Options.KvTtl;
  const auto Took = duration_cast<milliseconds>(Steady::now() - W->Began);
  answer(*W->Exchange, 200,
         {{"kv_handle", W->KvHandle},
          {"prompt_tokens", W->PromptTokens},
          {"cached_tokens", W->CachedTokens},
          {"kv_bytes", W->PromptTokens * Options.KvBytesPerToken},
          {"kv_ttl_ms", Options.KvTtl.count()},
          {"duration_ms", Took.count()}});
  W->Exchange.reset();
  startPrefill();
}

void Engine::exportKv(const ExchangePtr &Exchange) {
  const std::string_view Handle = Exchange->request().path().substr(4);
  for (const auto &[Id, W] : Works)
    if (W->State == WorkState::Kv && W->KvHandle == Handle) {
      if (!std::exchange(W->Exported, true))
        UsedTokens += W->PromptTokens - W->CachedTokens;
      return Link.send(Exchange, kvHead(W->Prompt),
                       W->PromptTokens * Options.KvBytesPerToken);
    }
  answerError(*Exchange, 404, "no such KV cache");
}

void Engine::decode(const ExchangePtr &Exchange) {
  const Json Body = parseObject(Exchange->request().Body);
  if (refuse(*Exchange, Body))
    return;
  const std::uint64_t MaxTokens = countField(Body, "max_tokens");
  const std::string Prompt = textField(Body, "prompt");
  const std::uint64_t Need = piecesFor(countTokens(Prompt) + MaxTokens);
  const std::uint64_t Running =
      countState(WorkState::Importing) + countState(WorkState::Decoding);
  if (Running >= Options.Slots || usedPieces() + Need > Options.Pieces)
    return answerError(*Exchange, 503, "all slots or pieces are taken");
  const WorkPtr W = add(Exchange, Body);
  W->State = WorkState::Importing;
  W->Pieces = Need;
  const std::uint64_t Length = referenceLength(Prompt);
  W->NextIndex = static_cast<std::uint32_t>(countField(Body, "first_index"));
  W->EndIndex = static_cast<std::uint32_t>(std::min(MaxTokens, Length));
  W->FinishReason = MaxTokens < Length ? "length" : "stop";
  checkColdLimit();
  if (alive(W))
    startImport(W, Body);
}

void Engine::startImport(const WorkPtr &W, const Json &Body) {
  HttpCall Call;
  Call.Authority = textField(Body, "kv_source");
  Call.Request = {"GET", "/kv/" + textField(Body, "kv_handle"), {}, {}};
  Call.Timeout = Options.TransferTimeout;
  auto Status = std::make_shared<unsigned>(0);
  HttpStreamHandlers Handlers;
  Handlers.OnHeader = [Status](unsigned S) { *Status = S; };
  Handlers.OnData = [W](std::string_view Data) {
    if (W->KvHead.size() < KvHeadBytes)
      W->KvHead += Data.substr(0, KvHeadBytes - W->KvHead.size());
  };
  Handlers.OnEnd = [this, W, Status](const hyssoprail::Status &End) {
    finishImport(W, *Status, succeeded(End));
  };
  W->Import = Client->stream(std::move(Call), std::move(Handlers));
}

void Engine::finishImport(const WorkPtr &W, unsigned Status, bool Complete) {
  if (!alive(W))
    return;
  W->Import.reset();
  const std::string Expected = kvHead(withOutput(W->Prompt, W->NextIndex));
  if (Complete && Status == 200 && W->KvHead == Expected) {
    W->State = WorkState::Decoding;
    W->Exchange->begin(200, {{"Content-Type", "text/event-stream"}});
    if (!Stepping) {
      NextStep = Steady::now();
      runStep();
    }
    return;
  }
  if (Status == 404)
    answerError(*W->Exchange, 410, "the KV cache is gone");
  else if (Complete && Status == 200)
    answerError(*W->Exchange, 422, "the KV cache covers another text");
  else
    answerError(*W->Exchange, 502, "the KV transfer failed");
  remove(W);
}

void Engine::runStep() {
  std::vector<WorkPtr> Running;
  for (const auto &[Id, W] : Works)
    if (W->State == WorkState::Decoding)
      Running.push_back(W);
  Stepping = !Running.empty();
  if (!Stepping)
    return;
  const auto Cost = static_cast<double>(Options.StepBaseUs +
                                        Options.StepStreamUs * Running.size());
  NextStep = std::max(NextStep, FrozenUntil) +
             microseconds(static_cast<std::int64_t>(Cost * slowness()));
  StepTimer.expires_at(NextStep);
  StepTimer.async_wait([this, Running](const auto &Code) {
    if (Code)
      return;
    if (Steady::now() >= FrozenUntil)
      for (const WorkPtr &W : Running)
        if (alive(W))
          emitToken(*W);
    runStep();
  });
}

void Engine::emitToken(Work &W) {
  if (W.NextIndex < W.EndIndex) {
    W.Exchange->write(
        sseEvent({{"index", W.NextIndex},
                  {"token", referenceToken(W.Prompt, W.NextIndex)}}));
    ++W.NextIndex;
  }
  if (W.NextIndex < W.EndIndex)
    return;
  W.Exchange->write(sseEvent({{"done", true},
                              {"finish_reason", W.FinishReason},
                              {"output_tokens", W.EndIndex}}));
  W.Exchange->finish();
  Works.erase(std::string(W.Id));
}

void Engine::cancel(HttpExchange &Exchange) {
  const Json Body = parseObject(Exchange.request().Body);
  const auto It = Works.find(textField(Body, "id"));
  if (It != Works.end())
    remove(WorkPtr(It->second));
  answer(Exchange, 200, Json::object());
}

void Engine::remove(const WorkPtr &W) {
  if (W->Import)
    W->Import->cancel();
  if (W->Exchange) {
    if (W->State == WorkState::Decoding)
      W->Exchange->abort();
    else
      answerError(*W->Exchange, 409, "the work was cancelled");
  }
  const bool WasPrefill = W->State == WorkState::Prefill;
  Works.erase(std::string(W->Id));
  if (WasPrefill)
    PrefillTimer.cancel();
  startPrefill();
}

void Engine::tick() {
  const Time Now = Steady::now();
  if (Now >= FrozenUntil) {
    for (const ExchangePtr &E : std::exchange(Deferred, {}))
      serve(E);
    const std::size_t Before = Works.size();
    std::erase_if(Works, [Now](const auto &Entry) {
      return Entry.second->State == WorkState::Kv &&
             Entry.second->KvExpiry <= Now;
    });
    if (Works.size() < Before)
      startPrefill();
    if (Now >= LoadTaken + Options.LoadLag) {
      ReportedLoad = std::exchange(NextLoad, load());
      LoadTaken = Now;
    }
  }
  TickTimer.expires_after(TickTime);
  TickTimer.async_wait([this](const auto &Code) {
    if (!Code)
      tick();
  });
}

double Engine::slowness() const {
  const double Left =
      std::chrono::duration<double>(ColdUntil - Steady::now()).count();
  const double Whole = std::chrono::duration<double>(Options.ColdTime).count();
  if (Left <= 0 || Whole <= 0)
    return 1;
  return 1 + (Options.ColdFactor - 1) * std::min(1.0, Left / Whole);
}

std::uint64_t Engine::usedPieces() const {
  std::uint64_t Sum = 0;
  for (const auto &[Id, W] : Works)
    Sum += W->Pieces;
  return Sum;
}

std::uint64_t Engine::countState(WorkState State) const {
  return static_cast<std::uint64_t>(
      std::count_if(Works.begin(), Works.end(), [State](const auto &Entry) {
        return Entry.second->State == State;
      }));
}

std::uint64_t Engine::piecesFor(std::uint64_t Tokens) const {
  return (Tokens + Options.PieceTokens - 1) / Options.PieceTokens;
}

bool Engine::alive(const WorkPtr &W) const {
  const auto It = Works.find(W->Id);
  return It != Works.end() && It->second == W;
}

} // namespace hyssoprail::standin
