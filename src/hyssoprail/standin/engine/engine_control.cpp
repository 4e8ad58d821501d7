// What an operator or an experiment does to the engine: orders, faults,
// restart.
#include "hyssoprail/standin/engine/engine.hpp"

#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace hyssoprail::standin {
namespace {

using std::chrono::milliseconds;

} // namespace

void Engine::order(const ExchangePtr &Exchange) {
  const Json Body = parseObject(Exchange->request().Body);
  const std::uint64_t Fencing = countField(Body, "fencing");
  if (Options.CheckFencing && Fencing < NewestFencing)
    return answer(*Exchange, 409, {{"fencing", NewestFencing}});
  NewestFencing = std::max(NewestFencing, Fencing);
  const std::string Role = textField(Body, "role", Options.Role);
  const std::string Model = textField(Body, "model", Options.Model);
  const std::string Version = textField(Body, "version", Options.Version);
  if (!Loading && Role == Options.Role && Model == Options.Model &&
      Version == Options.Version)
    return answer(*Exchange, 200, Json::object());
  failWork(503, "weights are being loaded");
  Loading = true;
  OrderTimer.expires_after(Options.LoadTime);
  OrderTimer.async_wait([this, Exchange, Role, Model, Version](const auto &C) {
    if (C)
      return answerError(*Exchange, 409, "a newer order replaced this one");
    Loading = false;
    Options.Role = Role;
    Options.Model = Model;
    Options.Version = Version;
    ColdUntil = Steady::now() + Options.ColdTime;
    answer(*Exchange, 200, Json::object());
  });
}

void Engine::faults(HttpExchange &Exchange) {
  const Json Body = parseObject(Exchange.request().Body);
  if (boolField(Body, "cold", false))
    ColdUntil = Steady::now() + Options.ColdTime;
  if (boolField(Body, "crash", false))
    restartCold();
  if (Body.contains("stall_transfers"))
    Link.setStalled(boolField(Body, "stall_transfers", false));
  if (const std::uint64_t Freeze = countField(Body, "freeze_ms"))
    FrozenUntil = Steady::now() + milliseconds(Freeze);
  answer(Exchange, 200, Json::object());
}

void Engine::failWork(unsigned Status, const std::string &Message) {
  PrefillTimer.cancel();
  Link.abortAll();
  const auto Failed = std::move(Works);
  Works.clear();
  for (const auto &[Id, W] : Failed) {
    if (W->Import)
      W->Import->cancel();
    if (W->Exchange && W->State == WorkState::Decoding)
      W->Exchange->abort();
    else if (W->Exchange)
      answerError(*W->Exchange, Status, Message);
  }
}

void Engine::restartCold() {
  failWork(503, "the engine restarted");
  Cache.clear();
  Incarnation = fmt::format("{:016x}", Random.identifier());
  Started = Steady::now();
  ColdUntil = Started + Options.ColdTime;
  ReportedLoad = NextLoad = load();
}

void Engine::checkColdLimit() {
  const std::uint64_t Active = Works.size() - countState(WorkState::Kv);
  if (cold() && Active > Options.ColdLimit) {
    ++Crashes;
    restartCold();
  }
}

} // namespace hyssoprail::standin
