#include "hyssoprail/timeline/merge.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <string_view>
#include <tuple>

namespace hyssoprail::timeline {
namespace {

/// Kinds of which the first always comes before the second, within a request
/// and attempt and in different processes. Attempt 0 stands for the request.
struct KindPair {
  std::string_view Sent;
  std::string_view Received;
};

constexpr std::array<KindPair, 11> Pairs{{
    {"request_accepted", "reserved"},
    {"request_accepted", "prefill_started"},
    {"request_accepted", "decode_started"},
    {"request_accepted", "call_started"},
    {"request_accepted", "limit_granted"},
    {"attempt_started", "prefill_started"},
    {"attempt_started", "call_started"},
    {"prefill_started", "prefill_done"},
    {"prefill_done", "request_finished"},
    {"decode_finished", "request_finished"},
    {"call_finished", "request_finished"},
}};

/// Offset of To is at most offset of From plus Micros. Node 0 is this program.
struct Bound {
  std::size_t From;
  std::size_t To;
  double Micros;
};

/// Earliest and latest time of a kind of event in one process.
struct Span {
  std::int64_t First;
  std::int64_t Last;
};

using Key = std::tuple<std::string, std::uint32_t, std::string>;
using Spans = std::map<Key, std::map<std::size_t, Span>>;

Spans spansOf(const std::vector<FetchedTimeline> &From) {
  Spans Out;
  for (std::size_t I = 0; I < From.size(); ++I)
    for (const ReceivedEvent &E : From[I].Of.Events) {
      if (E.RequestId.empty())
        continue;
      auto [It, IsNew] = Out[{E.RequestId, E.Attempt, E.Kind}].try_emplace(
          I, Span{E.UnixMicros, E.UnixMicros});
      It->second.First = std::min(It->second.First, E.UnixMicros);
      It->second.Last = std::max(It->second.Last, E.UnixMicros);
    }
  return Out;
}

/// The first sending comes before the last receipt, also if either is repeated.
void addPairs(std::vector<Bound> &Bounds, const Spans &All) {
  for (const auto &[Of, Receivers] : All) {
    const auto &[Request, Attempt, Kind] = Of;
    for (const KindPair &Pair : Pairs) {
      if (Pair.Received != Kind)
        continue;
      for (const std::uint32_t SentAttempt : {Attempt, 0U}) {
        const auto Senders =
            All.find({Request, SentAttempt, std::string(Pair.Sent)});
        if (Senders == All.end())
          continue;
        for (const auto &[To, Received] : Receivers)
          for (const auto &[From, Sent] : Senders->second)
            if (From != To)
              // Sent - offset(From) <= Received - offset(To)
              Bounds.push_back(
                  {From + 1, To + 1,
                   static_cast<double>(Received.Last - Sent.First)});
      }
    }
  }
}

void addAnswers(std::vector<Bound> &Bounds,
                const std::vector<FetchedTimeline> &From) {
  for (std::size_t I = 0; I < From.size(); ++I) {
    const std::int64_t Now = From[I].Of.NowUnixMicros;
    Bounds.push_back(
        {0, I + 1, static_cast<double>(Now - From[I].AskedUnixMicros)});
    Bounds.push_back(
        {I + 1, 0, static_cast<double>(From[I].AnsweredUnixMicros - Now)});
  }
}

/// Shortest paths from or to node 0 (Bellman-Ford); empty if the bounds
/// contradict each other.
std::vector<double> tightest(const std::vector<Bound> &Bounds,
                             std::size_t Nodes, bool FromZero) {
  constexpr double Far = 1e18;
  std::vector<double> Distance(Nodes, Far);
  Distance[0] = 0;
  for (std::size_t Round = 0; Round <= Nodes; ++Round) {
    bool Changed = false;
    for (const Bound &B : Bounds) {
      const std::size_t Near = FromZero ? B.From : B.To;
      const std::size_t Next = FromZero ? B.To : B.From;
      if (Distance[Near] + B.Micros < Distance[Next]) {
        Distance[Next] = Distance[Near] + B.Micros;
        Changed = true;
      }
    }
    if (!Changed)
      return Distance;
  }
  return {};
}

std::vector<ClockOffset> estimate(const std::vector<FetchedTimeline> &From,
                                  const std::vector<Bound> &Bounds) {
  const auto Upper = tightest(Bounds, From.size() + 1, true);
  const auto Lower = tightest(Bounds, From.size() + 1, false);
  std::vector<ClockOffset> Out;
  if (Upper.empty() || Lower.empty())
    return Out;
  for (std::size_t I = 0; I < From.size(); ++I)
    Out.push_back({From[I].Of.Process, (Upper[I + 1] - Lower[I + 1]) / 2,
                   (Upper[I + 1] + Lower[I + 1]) / 2});
  return Out;
}

/// Rank of a kind among events of the same time: senders first.
int rankOf(std::string_view Kind) {
  int Rank = 0;
  for (const KindPair &Pair : Pairs)
    if (Pair.Received == Kind)
      Rank = std::max(Rank, rankOf(Pair.Sent) + 1);
  return Rank;
}

/// Differences below this are rounding, and the order of sending decides.
double roundedMicros(double Micros) { return std::round(Micros * 2) / 2; }

} // namespace

MergedTimeline mergeTimelines(const std::vector<FetchedTimeline> &From) {
  MergedTimeline Out;
  std::vector<Bound> Bounds;
  addAnswers(Bounds, From);
  const std::vector<Bound> AnswersOnly = Bounds;
  addPairs(Bounds, spansOf(From));
  Out.Clocks = estimate(From, Bounds);
  if (Out.Clocks.empty() && !From.empty()) {
    Out.Consistent = false;
    Out.Clocks = estimate(From, AnswersOnly);
  }
  for (std::size_t I = 0; I < Out.Clocks.size(); ++I)
    for (const ReceivedEvent &E : From[I].Of.Events)
      Out.Events.push_back({From[I].Of.Process,
                            roundedMicros(static_cast<double>(E.UnixMicros) -
                                          Out.Clocks[I].Micros),
                            E});
  std::stable_sort(Out.Events.begin(), Out.Events.end(),
                   [](const MergedEvent &A, const MergedEvent &B) {
                     if (A.UnixMicros != B.UnixMicros)
                       return A.UnixMicros < B.UnixMicros;
                     return rankOf(A.Event.Kind) < rankOf(B.Event.Kind);
                   });
  return Out;
}

} // namespace hyssoprail::timeline
