#include "hyssoprail/standin/platform/platform.hpp"

#include <algorithm>

namespace hyssoprail::standin {
namespace {

using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

constexpr milliseconds TickTime{10};
constexpr std::uint64_t MaxRecordsPerRead = 10'000;
constexpr std::uint64_t MaxWaitMs = 30'000;
constexpr std::string_view VmPrefix = "/vms/";

} // namespace

Platform::Platform(boost::asio::io_context &Context, PlatformOptions Options,
                   std::uint64_t Seed)
    : Context(Context), Options(Options), Random(Seed), Timer(Context) {
  tick();
}

void Platform::handle(const ExchangePtr &Exchange) {
  if (Exchange->request().path() == "/faults")
    return setFaults(*Exchange);
  if (Options.Slow.count() == 0)
    return serve(Exchange);
  auto Delay =
      std::make_shared<boost::asio::steady_timer>(Context, Options.Slow);
  Delay->async_wait([this, Exchange, Delay](auto) { serve(Exchange); });
}

void Platform::serve(const ExchangePtr &Exchange) {
  const std::string_view Path = Exchange->request().path();
  const std::string &Method = Exchange->request().Method;
  if (Path.starts_with(VmPrefix) && (Method == "PUT" || Method == "DELETE"))
    return changeVm(*Exchange);
  if (Options.Down)
    return answerError(*Exchange, 503, "the platform is down");
  if (Path == "/log/append" && Method == "POST")
    return append(Exchange);
  if (Path == "/log/read" && Method == "GET")
    return read(Exchange);
  if (Path == "/vms" && Method == "GET")
    return listVms(*Exchange);
  answerError(*Exchange, 404, "no such call");
}

void Platform::append(const ExchangePtr &Exchange) {
  const Json Body = parseObject(Exchange->request().Body);
  if (!Body.contains("record") || !Body["record"].is_string())
    return answerError(*Exchange, 400, "field record is missing");
  Records.push_back(textField(Body, "record"));
  trim();
  answerReaders();
  if (Random.unit() < Options.LoseAnswers)
    return Exchange->abort();
  answer(*Exchange, 200, {{"offset", end()}});
}

void Platform::read(const ExchangePtr &Exchange) {
  const std::string &Target = Exchange->request().Target;
  Reader R;
  R.Exchange = Exchange;
  R.After = queryNumber(Target, "after", 0);
  R.Max = std::clamp<std::uint64_t>(queryNumber(Target, "max", 1000), 1,
                                    MaxRecordsPerRead);
  R.Deadline =
      Steady::now() +
      milliseconds(std::min(queryNumber(Target, "wait_ms", 0), MaxWaitMs));
  if (R.After + 1 < First || end() > R.After || R.Deadline <= Steady::now())
    return answerRead(R);
  Readers.push_back(std::move(R));
}

void Platform::answerRead(const Reader &R) {
  if (R.After + 1 < First)
    return answer(*R.Exchange, 410, {{"first", First}});
  Json List = Json::array();
  for (std::uint64_t O = R.After + 1; O <= end() && List.size() < R.Max; ++O)
    List.push_back({{"offset", O}, {"record", Records[O - First]}});
  answer(*R.Exchange, 200,
         {{"first", First}, {"end", end()}, {"records", std::move(List)}});
}

void Platform::answerReaders() {
  Readers.remove_if([this](const Reader &R) {
    const bool Ready = end() > R.After || R.Deadline <= Steady::now();
    if (!Options.Down && !Ready)
      return false;
    if (Options.Down)
      answerError(*R.Exchange, 503, "the platform is down");
    else
      answerRead(R);
    return true;
  });
}

void Platform::listVms(HttpExchange &Exchange) {
  Json List = Json::array();
  for (const auto &[Name, Value] : Vms)
    List.push_back(Value);
  answer(Exchange, 200, {{"vms", std::move(List)}});
}

void Platform::changeVm(HttpExchange &Exchange) {
  const std::string Name(Exchange.request().path().substr(VmPrefix.size()));
  Json Value;
  if (Exchange.request().Method == "PUT") {
    Value = parseObject(Exchange.request().Body);
    Value["name"] = Name;
  }
  VmChanges.push_back({Steady::now() + Options.VmLag, Name, std::move(Value)});
  answer(Exchange, 200, Json::object());
}

void Platform::setFaults(HttpExchange &Exchange) {
  const Json Body = parseObject(Exchange.request().Body);
  Options.Down = boolField(Body, "down", Options.Down);
  Options.Slow = milliseconds(countField(
      Body, "slow_ms", static_cast<std::uint64_t>(Options.Slow.count())));
  Options.LoseAnswers = numberField(Body, "lose_answers", Options.LoseAnswers);
  Options.RetentionRecords =
      countField(Body, "retention_records", Options.RetentionRecords);
  Options.VmLag = milliseconds(countField(
      Body, "vm_lag_ms", static_cast<std::uint64_t>(Options.VmLag.count())));
  trim();
  answer(Exchange, 200, Json::object());
}

void Platform::trim() {
  while (Records.size() > Options.RetentionRecords) {
    Records.pop_front();
    ++First;
  }
}

void Platform::tick() {
  while (!VmChanges.empty() && VmChanges.front().VisibleAt <= Steady::now()) {
    VmChange &C = VmChanges.front();
    if (C.Value.is_null())
      Vms.erase(C.Name);
    else
      Vms[C.Name] = std::move(C.Value);
    VmChanges.pop_front();
  }
  answerReaders();
  Timer.expires_after(TickTime);
  Timer.async_wait([this](const auto &Code) {
    if (!Code)
      tick();
  });
}

} // namespace hyssoprail::standin
