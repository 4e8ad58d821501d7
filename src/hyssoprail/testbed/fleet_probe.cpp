#include "hyssoprail/testbed/fleet_probe.hpp"

#include <filesystem>

#include <fmt/format.h>

#include "hyssoprail/testbed/answer_check.hpp"

namespace hyssoprail::testbed {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds CallTimeout{30};

} // namespace

FleetOptions testFleet(const std::string &Name) {
  FleetOptions Options;
  const auto Self = std::filesystem::read_symlink("/proc/self/exe");
  Options.BinaryDirectory = Self.parent_path().string();
  Options.RunDirectory = (Self.parent_path() / "run" / Name).string();
  Options.PrefillFlags = Options.DecodeFlags = {"--model=m1", "--cold_ms=200"};
  // Latency targets are the subject of the load tool, not of these tests.
  Options.FirstTokenMs = 10'000;
  Options.Accounts = {{"acme", 1e6, 1e6}};
  return Options;
}

HttpCall FleetProbe::completion(const std::string &Prompt, unsigned MaxTokens,
                                unsigned Entry) const {
  HttpCall Call;
  Call.Authority = F.entryAddress(Entry);
  Call.Timeout = CallTimeout;
  Call.Request = {"POST",
                  "/v1/completions",
                  {{"Authorization", "Bearer " + Fleet::key("acme")},
                   {"Content-Type", "application/json"}},
                  json{{"model", "m1"},
                       {"prompt", Prompt},
                       {"max_tokens", MaxTokens},
                       {"stream", true}}
                      .dump()};
  return Call;
}

Result<HttpResponse> FleetProbe::call(const std::string &Method,
                                      const std::string &Target,
                                      const std::string &Body,
                                      HttpHeaders Headers, unsigned Entry) {
  HttpCall Call;
  Call.Authority = F.entryAddress(Entry);
  Call.Timeout = CallTimeout;
  Headers.push_back({"Authorization", "Bearer " + Fleet::key("acme")});
  Call.Request = {Method, Target, std::move(Headers), Body};
  return F.http().call(std::move(Call));
}

bool FleetProbe::waitServing(std::chrono::milliseconds Timeout,
                             unsigned Entry) {
  return Fleet::waitUntil(
      [&] {
        auto Answer = call("GET", "/stock/item-1", "", {}, Entry);
        return errorOf(Answer) == nullptr && valueOf(Answer).Status == 200;
      },
      Timeout);
}

std::vector<std::string> FleetProbe::engineNames() const {
  std::vector<std::string> Names;
  for (unsigned I = 0; I < F.options().PrefillEngines; ++I)
    Names.push_back(fmt::format("prefill-{}", I));
  for (unsigned I = 0; I < F.options().DecodeEngines; ++I)
    Names.push_back(fmt::format("decode-{}", I));
  return Names;
}

std::vector<std::string> FleetProbe::heldWork() {
  std::vector<std::string> Held;
  for (const std::string &Name : engineNames()) {
    auto Answer = F.http().fetch(F.httpAddress(Name), "/held");
    if (errorOf(Answer) != nullptr)
      continue;
    const json Body = json::parse(valueOf(Answer).Body, nullptr, false);
    for (const json &Work : Body.at("work"))
      Held.push_back(Name + " " + Work.at("id").get<std::string>());
  }
  return Held;
}

std::map<std::string, std::uint64_t> FleetProbe::executions() {
  std::map<std::string, std::uint64_t> Counts;
  for (unsigned I = 0; I < F.options().Services; ++I) {
    auto Answer = F.http().fetch(F.httpAddress(fmt::format("service-{}", I)),
                                 "/executions");
    if (errorOf(Answer) != nullptr)
      continue;
    const json Body = json::parse(valueOf(Answer).Body, nullptr, false);
    for (const auto &[Id, Count] : Body.at("executions").items())
      Counts[Id] += Count.get<std::uint64_t>();
  }
  return Counts;
}

std::uint64_t FleetProbe::engineStat(const std::string &Field) {
  std::uint64_t Sum = 0;
  for (const std::string &Name : engineNames()) {
    auto Answer = F.http().fetch(F.httpAddress(Name), "/stats");
    if (errorOf(Answer) == nullptr)
      Sum += json::parse(valueOf(Answer).Body, nullptr, false)
                 .value(Field, std::uint64_t{0});
  }
  return Sum;
}

json FleetProbe::events(const std::string &Process, const std::string &Query) {
  const std::string Port = Process.starts_with("entry-") ? "admin" : "http";
  HttpCall Call;
  Call.Authority = "127.0.0.1:" + F.process(Process).ready().at(Port);
  Call.Request = {"GET",
                  "/admin/v1/timeline?" + Query,
                  {{"Authorization", std::string("Bearer ") + OperatorToken}},
                  {}};
  auto Answer = F.http().call(std::move(Call));
  if (errorOf(Answer) != nullptr || valueOf(Answer).Status != 200)
    return json::array();
  return json::parse(valueOf(Answer).Body, nullptr, false).at("events");
}

bool isWholeAnswer(const std::string &Data, const std::string &Prompt,
                   unsigned MaxTokens) {
  AnswerCheck Check(Prompt, MaxTokens);
  Check.add(Data);
  return Check.ended() && Check.correct();
}

} // namespace hyssoprail::testbed
