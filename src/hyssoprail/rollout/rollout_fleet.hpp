#ifndef HYSSOPRAIL_ROLLOUT_ROLLOUT_FLEET_HPP
#define HYSSOPRAIL_ROLLOUT_ROLLOUT_FLEET_HPP

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "hyssoprail/rollout/rollout_controller.hpp"
#include "hyssoprail/rollout/rollout_gate.hpp"

namespace hyssoprail::rollout {

/// Gates and their controller in one process, with a clock that the test moves.
/// Answers of endpoints are drawn from functions; what reaches the target is
/// counted here, not by the classes under test.
class RolloutFleet {
public:
  struct Answer {
    bool Failed = false;
    Duration Latency = milliseconds(40);
  };

  /// Draws an answer for a request that arrives \p SinceOrder after the order.
  using Version =
      std::function<Answer(Duration SinceOrder, int Route, std::mt19937 &)>;

  struct Options {
    std::size_t Entries = 3;
    double RequestsPerSecond = 200;
    Duration Length = milliseconds(12'000);
    ExposureBound Bound{0.1, 50};
    unsigned Seed = 1;
    Version Old;
    Version Target;
  };

  explicit RolloutFleet(Options Options)
      : Chosen(std::move(Options)), Random(Chosen.Seed), Gates(Chosen.Entries),
        Controller(Chosen.Bound) {
    Controller.startTerm(Now);
    step();
    OrderedAt = Now;
    giveOrder();
  }

  /// Lets the time from the order to its deadline pass.
  void run() {
    while (Now < OrderedAt + Chosen.Length)
      step();
  }

  void runFor(Duration D) {
    const TimePoint End = Now + D;
    while (Now < End)
      step();
  }

  /// Another entry becomes the coordinator: it knows the order and what the
  /// entries report.
  void replaceCoordinator() {
    Controller = RolloutController(Chosen.Bound);
    Controller.startTerm(Now);
    giveOrder();
    if (Stored)
      Controller.applyStored({"s1", "v2", Order, *Stored});
  }

  void restartEntry(std::size_t I) {
    Gates[I] = RolloutGate();
    ++Incarnations;
    IncarnationOf[I] = Incarnations;
  }

  bool IsCoordinated = true; ///< reports and decisions arrive
  bool StoreAnswers = true;

  RolloutController &controller() { return Controller; }
  std::optional<RolloutState> stored() const { return Stored; }
  double requests() const { return Requests; }
  double targetRequests() const { return TargetRequests; }
  /// Requests to the target later than 5 s after its 50th bad answer.
  unsigned lateTargetRequests() const { return LateTargetRequests; }
  const std::vector<RolloutStep> &steps() const { return Steps; }

private:
  static constexpr milliseconds StepLength{100};
  static constexpr OrderId Order{1, 7};

  void giveOrder() {
    Controller.order({"s1", "v2", Chosen.Length, Order}, Now - OrderedAt, Now);
    Controller.setTargetEndpoints("s1", 3);
  }

  void step() {
    Now += StepLength;
    const double PerStep = Chosen.RequestsPerSecond *
                           std::chrono::duration<double>(StepLength).count();
    const unsigned Count = std::poisson_distribution<unsigned>(PerStep)(Random);
    for (unsigned I = 0; I < Count; ++I)
      request(Random() % Gates.size());
    if (!IsCoordinated)
      return;
    for (std::size_t I = 0; I < Gates.size(); ++I)
      for (const RolloutEvidence &E : Gates[I].evidence(Now))
        Controller.observe(name(I), IncarnationOf[I], E);
    for (const RolloutStep &S : Controller.poll(Now))
      Steps.push_back(S);
    if (StoreAnswers)
      for (const StatusRecord &R : Controller.unwritten()) {
        if (!Stored || *Stored == RolloutState::Running)
          Stored = R.State;
        Controller.applyStored({R.Service, R.Target, R.Order, *Stored});
      }
    for (std::size_t I = 0; I < Gates.size(); ++I)
      for (const RolloutDecision &D :
           Controller.decisionsFor(name(I), IncarnationOf[I]))
        Gates[I].applyDecision(D);
  }

  void request(std::size_t Entry) {
    RolloutGate &Gate = Gates[Entry];
    const int Route = static_cast<int>(Random() % 2);
    const RolloutRequest R{"s1", Route == 0, 1, milliseconds(40)};
    const VersionChoice Choice = Gate.choose(R, Now);
    ++Requests;
    if (Choice.Use == VersionChoice::Kind::Later)
      return;
    const bool ToTarget = Choice.Use == VersionChoice::Kind::Target;
    const Answer A =
        (ToTarget ? Chosen.Target : Chosen.Old)(Now - OrderedAt, Route, Random);
    if (ToTarget)
      countTarget(A);
    const std::string Endpoint =
        (ToTarget ? "new-" : "old-") + std::to_string(Random() % 3);
    Gate.recordAnswer(
        {"s1", Route == 0 ? "r0" : "r1", ToTarget ? "v2" : "v1", Endpoint,
         A.Failed ? VersionAnswer::Result::Failure
                  : VersionAnswer::Result::Success,
         A.Latency,
         ToTarget ? Now - OrderedAt : Duration(std::chrono::minutes(1))},
        Now);
  }

  void countTarget(const Answer &A) {
    ++TargetRequests;
    constexpr unsigned BadAnswers = 50;
    constexpr milliseconds RollbackTime{5'000};
    if (BadAt && Now > *BadAt + RollbackTime)
      ++LateTargetRequests;
    const bool Bad = A.Failed || A.Latency >= milliseconds(120);
    if (Bad && ++TargetBad == BadAnswers)
      BadAt = Now;
  }

  std::string name(std::size_t I) const { return "e" + std::to_string(I); }

  Options Chosen;
  std::mt19937 Random;
  std::vector<RolloutGate> Gates;
  std::map<std::size_t, std::uint64_t> IncarnationOf;
  std::uint64_t Incarnations = 0;
  RolloutController Controller;
  TimePoint Now{std::chrono::hours(1)};
  TimePoint OrderedAt{};
  std::optional<RolloutState> Stored;
  std::vector<RolloutStep> Steps;
  double Requests = 0;
  double TargetRequests = 0;
  unsigned TargetBad = 0;
  unsigned LateTargetRequests = 0;
  std::optional<TimePoint> BadAt;
};

} // namespace hyssoprail::rollout

#endif // HYSSOPRAIL_ROLLOUT_ROLLOUT_FLEET_HPP
