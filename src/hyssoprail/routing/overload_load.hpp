#ifndef HYSSOPRAIL_ROUTING_OVERLOAD_LOAD_HPP
#define HYSSOPRAIL_ROUTING_OVERLOAD_LOAD_HPP

#include <algorithm>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "hyssoprail/routing/stream_scheduler.hpp"
#include "test_support.hpp"

namespace hyssoprail::routing::testing {

/// Requests of one kind that a test sends.
struct LoadKind {
  std::string Account = "acme";
  int Priority = 0;
  std::uint32_t PromptTokens = 1'600;
  double PerSecond = 0;
};

/// What became of the requests of one kind since the last reset.
struct LoadCounts {
  double Offered = 0;     ///< first tries
  double Decided = 0;     ///< decisions on first tries and returns
  double OnTime = 0;      ///< of first tries and returns
  double FreshOnTime = 0; ///< of first tries
  double PromisedReturns = 0;
  double PromisedOnTime = 0;
  double Served = 0;
  double RefusedTwice = 0;
  Duration LongestWaitForRefusal{};

  /// Of first tries.
  double onTimeShare() const { return Offered > 0 ? FreshOnTime / Offered : 1; }
  double servedShare() const { return Offered > 0 ? Served / Offered : 1; }
};

/// Calls a scheduler every 20 ms with requests at given rates. Each generation
/// takes 1.5 s; eight engines hold five of 2,000 tokens each, so 26.7 a second
/// are served. A caller that was refused returns once, at its time.
class OverloadLoad {
public:
  static constexpr double Capacity = 26.6;

  explicit OverloadLoad(OverloadMode Mode)
      : Scheduler({.Overload = Mode}, Table) {
    auto Config = testConfig();
    for (const char *Name : {"flood", "quiet"})
      Config->Accounts[Name] = {Name, std::nullopt, 1'000, 1'000, 10};
    Scheduler.configure(Config);
    for (int I = 0; I < 8; ++I)
      Table.apply(engine("d" + std::to_string(I), EngineStage::Decode));
  }

  void run(Duration Length, const std::vector<LoadKind> &Kinds) {
    for (const TimePoint End = Now + Length; Now < End; Now += Step) {
      for (std::size_t I = 0; I < Kinds.size(); ++I) {
        Due[I] +=
            Kinds[I].PerSecond * std::chrono::duration<double>(Step).count();
        for (; Due[I] >= 1; Due[I] -= 1)
          submit(I, Kinds[I], Now, false);
      }
      while (!Returning.empty() && Returning.begin()->first <= Now) {
        const Sent Last = Returning.begin()->second;
        Returning.erase(Returning.begin());
        submit(Last.Kind, Last.Spec, Last.First, true, Last.Promised);
      }
      while (!Ends.empty() && Ends.begin()->first <= Now) {
        Scheduler.release(Ends.begin()->second, Now);
        Ends.erase(Ends.begin());
      }
      for (const StreamDecision &D : Scheduler.poll(Now))
        std::visit([this](const auto &Any) { apply(Any); }, D);
    }
  }

  void reset() { Counts.clear(); }

  LoadCounts &counts(std::size_t Kind) { return Counts[Kind]; }

  LoadCounts total() const {
    LoadCounts Out;
    for (const auto &[Kind, C] : Counts) {
      Out.Offered += C.Offered;
      Out.Decided += C.Decided;
      Out.OnTime += C.OnTime;
      Out.Served += C.Served;
      Out.RefusedTwice += C.RefusedTwice;
      Out.LongestWaitForRefusal =
          std::max(Out.LongestWaitForRefusal, C.LongestWaitForRefusal);
    }
    return Out;
  }

  /// Submitted requests on which no decision has come.
  std::size_t undecided() const { return Open.size(); }

  TimePoint Now = Start;
  EndpointTable Table;
  StreamScheduler Scheduler;

private:
  static constexpr milliseconds Step{20};
  static constexpr milliseconds RunTime{1'500};
  static constexpr milliseconds Budget{14'000};

  struct Sent {
    std::size_t Kind = 0;
    LoadKind Spec;
    TimePoint First{};
    TimePoint At{};
    bool IsRetry = false;
    bool Promised = false; ///< it returns with a promise
  };

  void submit(std::size_t Kind, const LoadKind &Spec, TimePoint First,
              bool IsRetry, bool Promised = false) {
    StreamRequest R;
    R.Id = std::to_string(++LastId);
    R.Service = "assistant";
    R.Account = Spec.Account;
    R.Zone = "zone-a";
    R.Priority = R.RoutePriority = Spec.Priority;
    R.PromptTokens = Spec.PromptTokens;
    R.OutputTokens = 400;
    R.Arrival = Now;
    R.ObjectiveDeadline = Now + milliseconds(900);
    R.GiveUpAt = Now + milliseconds(3'600);
    R.CallerBudget =
        std::chrono::duration_cast<milliseconds>(First + Budget - Now);
    R.IsRetry = IsRetry;
    if (!IsRetry)
      ++Counts[Kind].Offered;
    Counts[Kind].PromisedReturns += Promised ? 1 : 0;
    Open[R.Id] = {Kind, Spec, First, Now, IsRetry, Promised};
    Scheduler.submit(std::move(R));
  }

  void apply(const StreamPlacement &P) {
    const Sent S = take(P.Id);
    ++Counts[S.Kind].Served;
    const bool OnTime = Now + TimeToFirstEvent <= S.At + milliseconds(900);
    Counts[S.Kind].OnTime += OnTime ? 1 : 0;
    Counts[S.Kind].FreshOnTime += OnTime && !S.IsRetry ? 1 : 0;
    Counts[S.Kind].PromisedOnTime += OnTime && S.Promised ? 1 : 0;
    Ends.emplace(Now + RunTime, P.Id);
  }

  void apply(const StreamRefusal &R) {
    Sent S = take(R.Id);
    LoadCounts &C = Counts[S.Kind];
    C.LongestWaitForRefusal = std::max(C.LongestWaitForRefusal, Now - S.At);
    if (S.IsRetry) {
      ++C.RefusedTwice;
      return;
    }
    S.Promised = R.Inputs && R.Inputs->Promised;
    Returning.emplace(Now + R.RetryAfter, S);
  }

  Sent take(const std::string &Id) {
    const auto Node = Open.extract(Id);
    if (Node.empty())
      throw std::logic_error("a second decision on request " + Id);
    ++Counts[Node.mapped().Kind].Decided;
    return Node.mapped();
  }

  std::map<std::size_t, double> Due;
  std::map<std::string, Sent> Open;
  std::multimap<TimePoint, Sent> Returning;
  std::multimap<TimePoint, std::string> Ends;
  std::map<std::size_t, LoadCounts> Counts;
  unsigned LastId = 0;
};

} // namespace hyssoprail::routing::testing

#endif // HYSSOPRAIL_ROUTING_OVERLOAD_LOAD_HPP
