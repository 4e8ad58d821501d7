#ifndef HYSSOPRAIL_ROUTING_ENGINE_SPEED_FIXTURE_HPP
#define HYSSOPRAIL_ROUTING_ENGINE_SPEED_FIXTURE_HPP

#include <random>
#include <string>
#include <utility>
#include <vector>

#include "hyssoprail/routing/engine_speeds.hpp"
#include "test_support.hpp"

namespace hyssoprail::routing::testing {

/// Decode engines of one service whose runs produce events of 16 tokens. A
/// token takes 2 ms plus 0.3 ms for each run at the engine, at the usual speed.
class SpeedFixture {
public:
  explicit SpeedFixture(const std::vector<double> &TrueSpeeds) {
    for (const double Speed : TrueSpeeds) {
      const std::string Id = "d" + std::to_string(Engines.size());
      Table.apply(started(engine(Id, EngineStage::Decode), 1));
      Engines.push_back({Id, Speed, {}, {}});
      Engines.back().Totals.Engine = Id;
      Engines.back().Totals.StartedAtMs = 1;
    }
  }

  void setRuns(std::size_t I, int Runs) {
    Simulated &E = Engines[I];
    Table.release(E.Id, E.Load);
    E.Load = {Runs, std::int64_t{400} * Runs, 0};
    Table.reserve(E.Id, E.Load);
  }

  /// All engines work; each holds 2 to 6 runs, which vary.
  void work(Duration Time) {
    constexpr milliseconds Step{100};
    for (Duration Done{}; Done < Time; Done += Step) {
      Now += Step;
      for (std::size_t I = 0; I < Engines.size(); ++I) {
        workOne(I, Step);
        if (Reports)
          Speeds.observe("a", 1, Engines[I].Totals, Now);
      }
      for (EngineSpeedChange &C : Speeds.update(Now))
        Changes.push_back(std::move(C));
    }
  }

  void workOne(std::size_t I, Duration Step) {
    constexpr double EventTokens = 16;
    Simulated &E = Engines[I];
    const int Runs = RunCount(Random);
    setRuns(I, Runs);
    const double MicrosPerToken = (2'000 + 300.0 * Runs) / E.TrueSpeed;
    const double Tokens =
        Runs * std::chrono::duration<double, std::micro>(Step).count() /
        MicrosPerToken;
    EngineWorkTotals &Work = E.Totals.Work[std::size_t(EngineWorkKind::Decode)];
    Work.Tokens += static_cast<std::uint64_t>(Tokens);
    Work.Micros +=
        static_cast<std::uint64_t>(Tokens * MicrosPerToken * Scatter(Random));
    E.Totals.Samples += static_cast<std::uint64_t>(Tokens / EventTokens);
  }

  double factor(std::size_t I) {
    return Table.find(Engines[I].Id)->SpeedFactor;
  }

  bool allEven() {
    for (std::size_t I = 0; I < Engines.size(); ++I)
      if (factor(I) != 1)
        return false;
    return true;
  }

  struct Simulated {
    std::string Id;
    double TrueSpeed = 1;
    EngineWorkReport Totals;
    EndpointLoad Load;
  };

  TimePoint Now = Start;
  EndpointTable Table;
  EngineSpeeds Speeds{Table};
  std::vector<Simulated> Engines;
  std::vector<EngineSpeedChange> Changes;
  bool Reports = true;
  std::mt19937 Random{1};
  std::uniform_int_distribution<int> RunCount{2, 6};
  std::uniform_real_distribution<double> Scatter{0.9, 1.1};
};

} // namespace hyssoprail::routing::testing

#endif // HYSSOPRAIL_ROUTING_ENGINE_SPEED_FIXTURE_HPP
