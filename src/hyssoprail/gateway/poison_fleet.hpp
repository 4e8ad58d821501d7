#ifndef HYSSOPRAIL_GATEWAY_POISON_FLEET_HPP
#define HYSSOPRAIL_GATEWAY_POISON_FLEET_HPP

#include <algorithm>
#include <array>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "hyssoprail/gateway/limit_fleet.hpp"
#include "hyssoprail/routing/run_crash_watch.hpp"

namespace hyssoprail::gateway::testing {

/// The prompts of a run: each has Parts parts, and some have the bad one at
/// BadAt.
struct PoisonPlan {
  std::size_t Entries = 3;
  std::size_t Parts = 3;
  std::size_t BadAt = 1;
  /// Bad prompts are alike but for the last part; else only their first part is
  /// the same.
  bool SameOthers = true;
  double BadPerSecond = 4;
  double SoundPerSecond = 30;
  milliseconds FirstEventDelay{300};
  /// Events that an engine sends of the answer to a bad prompt before it
  /// crashes; all but the end of the answer if there are not so many.
  unsigned EventsBeforeCrash = 0;
  milliseconds RestartInterval{0}; ///< of one entry after the other; 0: none
};

/// Entries with their real exchange of what they know of crashes, before
/// simulated engines: a bad prompt crashes the engine that answers it. Engines
/// come back after some seconds as new incarnations. An answer that broke is
/// resumed at another engine.
class PoisonFleet : public LimitFleet {
public:
  /// The platform's rules: this long after the crash with the number
  /// FreeCrashes, only MaxLate bad requests may reach engines; twice this long
  /// after it, sound ones are served.
  static constexpr milliseconds StableWindow{3'000};
  static constexpr std::size_t FreeCrashes = 5;
  static constexpr std::size_t MaxLate = 3;

  explicit PoisonFleet(PoisonPlan Of) : LimitFleet(Of.Entries, {}), Plan(Of) {
    run(ElectionTime, 0);
    for (const std::string &Name : Names)
      StartedAt[Name] = now() - StableWindow;
  }

  void play(milliseconds Span, bool WithBad = true) {
    NextRestart = now() + Plan.RestartInterval;
    for (const TimePoint End = now() + Span; now() < End;) {
      run(Step, 0);
      const double Seconds = std::chrono::duration<double>(Step).count();
      for (BadDue += WithBad ? Plan.BadPerSecond * Seconds : 0; BadDue >= 1;
           BadDue -= 1)
        arrive(true);
      for (SoundDue += Plan.SoundPerSecond * Seconds; SoundDue >= 1;
           SoundDue -= 1)
        arrive(false);
      advanceRuns();
      if (Plan.RestartInterval > milliseconds(0) && now() >= NextRestart)
        restartOne();
    }
  }

  /// Bad requests that reached engines too late, from entries in touch.
  std::size_t lateBad() const {
    if (Crashes.size() < FreeCrashes)
      return 0;
    const TimePoint From = Crashes[FreeCrashes - 1] + StableWindow;
    return static_cast<std::size_t>(
        std::count_if(BadSends.begin(), BadSends.end(), [&](const Send &S) {
          return S.At > From && S.At >= S.EntryStartedAt + StableWindow;
        }));
  }

  std::vector<TimePoint> Crashes;
  std::size_t SoundSent = 0;
  std::size_t SoundRefused = 0;
  /// The same from twice StableWindow after the crash FreeCrashes, or after the
  /// last one if there are fewer.
  std::size_t LateSoundSent = 0;
  std::size_t LateSoundRefused = 0;

private:
  static constexpr milliseconds Step{20};
  static constexpr milliseconds ElectionTime{2'000};
  static constexpr unsigned EventsOfAnswer = 18;
  static constexpr milliseconds EventInterval{50};
  static constexpr unsigned MaxLegs = 2;

  struct Engine {
    unsigned Life = 0;
    TimePoint DownUntil{};
  };

  struct Send {
    TimePoint At;
    TimePoint EntryStartedAt;
  };

  struct Run {
    std::string EntryName;
    std::size_t Engine = 0;
    bool Bad = false;
    routing::PromptParts Parts;
    std::unique_ptr<routing::RunCrashWatch> Watch;
    TimePoint SentAt{};
    unsigned Events = 0;      ///< of the answer, by all legs
    unsigned EventsOfLeg = 0; ///< by the present leg
    unsigned Legs = 0;
    bool Ended = false;
  };

  unsigned any(std::size_t Below) {
    return static_cast<unsigned>(Random() % Below);
  }

  routing::PromptParts prompt(bool Bad) {
    routing::PromptParts Out;
    const bool LikeBad = Bad || any(2) == 0;
    for (std::size_t I = 0; I + 1 < Plan.Parts; ++I) {
      const std::string Position = std::to_string(I);
      const bool Same = I == 0 || (LikeBad && Plan.SameOthers);
      Out.push_back("p" + Position +
                    (Same ? "" : "-" + std::to_string(any(4))));
    }
    if (Bad)
      Out.at(Plan.BadAt) = "bad";
    else if (Plan.BadAt > 0)
      Out.at(Plan.BadAt) = "alt-" + std::to_string(any(4));
    Out.push_back("own-" + std::to_string(++LastRequest));
    return Out;
  }

  bool isLate() const {
    if (Crashes.empty())
      return false;
    const std::size_t Which = std::min(Crashes.size(), FreeCrashes) - 1;
    return now() >= Crashes[Which] + 2 * StableWindow;
  }

  void arrive(bool Bad) {
    Run R;
    R.EntryName = Names[any(Names.size())];
    R.Bad = Bad;
    R.Parts = prompt(Bad);
    R.Watch = std::make_unique<routing::RunCrashWatch>(
        crashes(R.EntryName).Prompts, R.Parts);
    const bool Refused = R.Watch->isQuarantined(now());
    if (!Bad) {
      ++(Refused ? SoundRefused : SoundSent);
      if (isLate())
        ++(Refused ? LateSoundRefused : LateSoundSent);
    }
    if (!Refused)
      send(std::move(R));
  }

  void send(Run R) {
    std::vector<std::size_t> Up;
    for (std::size_t I = 0; I < Engines.size(); ++I)
      if (Engines.at(I).DownUntil <= now())
        Up.push_back(I);
    if (Up.empty())
      return;
    R.Engine = Up[any(Up.size())];
    R.SentAt = now();
    R.EventsOfLeg = 0;
    ++R.Legs;
    routing::EndpointRecord E;
    E.Id = "i-" + std::to_string(R.Engine);
    E.StartedAtMs = Engines.at(R.Engine).Life;
    R.Watch->begin(E, now(), R.Events > 0);
    if (R.Bad)
      BadSends.push_back({now(), StartedAt[R.EntryName]});
    Runs.push_back(std::move(R));
  }

  void advanceRuns() {
    for (Run &R : Runs)
      if (!R.Ended && now() >= nextStep(R))
        advance(R);
    Runs.remove_if([](const Run &R) { return R.Ended; });
  }

  /// When the next event is made, or the engine ends or crashes.
  TimePoint nextStep(const Run &R) const {
    return R.SentAt + Plan.FirstEventDelay + R.EventsOfLeg * EventInterval;
  }

  void advance(Run &R) {
    const bool MadeAll = R.Events == EventsOfAnswer;
    if (R.Bad && (MadeAll || R.EventsOfLeg == Plan.EventsBeforeCrash))
      return crash(R.Engine);
    if (!MadeAll) {
      ++R.Events;
      ++R.EventsOfLeg;
      return R.Watch->received(1, now());
    }
    R.Watch->completed(now());
    R.Ended = true;
  }

  /// All runs at the engine break; those that may are sent to another one.
  void crash(std::size_t Which) {
    Crashes.push_back(now());
    ++Engines.at(Which).Life;
    Engines.at(Which).DownUntil = now() + milliseconds(2'000 + any(3'000));
    std::vector<Run> Again;
    for (Run &R : Runs) {
      if (R.Ended || R.Engine != Which)
        continue;
      R.Watch->broke(now());
      R.Ended = true;
      if (R.Legs < MaxLegs && R.Watch->mayRunAgain() &&
          !R.Watch->isQuarantined(now()))
        Again.push_back({R.EntryName,
                         0,
                         R.Bad,
                         R.Parts,
                         std::move(R.Watch),
                         {},
                         R.Events,
                         0,
                         R.Legs,
                         false});
    }
    for (Run &R : Again)
      send(std::move(R));
  }

  void restartOne() {
    NextRestart = now() + Plan.RestartInterval;
    const std::string &Name = Names[any(Names.size())];
    Runs.remove_if([&](const Run &R) { return R.EntryName == Name; });
    start(Name);
    StartedAt[Name] = now();
  }

  const PoisonPlan Plan;
  std::mt19937 Random{17};
  std::array<Engine, 12> Engines;
  std::list<Run> Runs;
  std::vector<Send> BadSends;
  std::map<std::string, TimePoint> StartedAt;
  TimePoint NextRestart{};
  double BadDue = 0;
  double SoundDue = 0;
  unsigned LastRequest = 0;
};

} // namespace hyssoprail::gateway::testing

#endif // HYSSOPRAIL_GATEWAY_POISON_FLEET_HPP
