#include "hyssoprail/load/summary.hpp"

#include <algorithm>

namespace hyssoprail::load {
namespace {

bool isStream(RequestKind Kind) {
  return Kind == RequestKind::Chat || Kind == RequestKind::Summary;
}

double quantileMs(std::vector<std::chrono::microseconds> &Values, double Q) {
  if (Values.empty())
    return 0;
  const auto Index =
      static_cast<std::size_t>(Q * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(Index),
                   Values.end());
  return static_cast<double>(Values[Index].count()) / 1e3;
}

std::vector<AccountSummary>
summarizeAccounts(const Profile &P, const std::vector<Sample> &Samples) {
  std::vector<AccountSummary> Accounts(P.Accounts.size());
  for (const Sample &S : Samples) {
    AccountSummary &A = Accounts[S.Planned.Account];
    ++A.Offered;
    A.OfferedTokens += S.Planned.Tokens;
    if (S.Planned.WithinRate)
      A.EntitledTokens += S.Planned.Tokens;
    if (S.End == Outcome::Complete) {
      ++A.Complete;
      A.ServedTokens += S.Planned.Tokens;
    }
  }
  for (std::size_t I = 0; I < Accounts.size(); ++I) {
    AccountSummary &A = Accounts[I];
    A.Name = P.Accounts[I].Name;
    if (A.EntitledTokens > 0)
      A.Share = std::min(1.0, A.ServedTokens / A.EntitledTokens);
  }
  return Accounts;
}

/// Accounts of which every request fits the rate and burst.
std::vector<bool> keptToRate(std::size_t Count,
                             const std::vector<Sample> &Samples) {
  std::vector<bool> Kept(Count, true);
  for (const Sample &S : Samples)
    if (!S.Planned.WithinRate)
      Kept[S.Planned.Account] = false;
  return Kept;
}

void fillLatencies(Summary &Out, const std::vector<Sample> &Samples) {
  std::vector<std::chrono::microseconds> First;
  std::vector<std::chrono::microseconds> Between;
  std::vector<std::chrono::microseconds> Calls;
  for (const Sample &S : Samples) {
    if (S.End != Outcome::Complete)
      continue;
    if (!isStream(S.Planned.Kind)) {
      Calls.push_back(S.Total);
      continue;
    }
    if (S.Planned.Kind == RequestKind::Chat)
      First.push_back(S.FirstToken);
    if (S.OutputTokens > 1)
      Between.push_back(S.BetweenTokens);
  }
  Out.FirstTokenP50Ms = quantileMs(First, 0.50);
  Out.FirstTokenP95Ms = quantileMs(First, 0.95);
  Out.FirstTokenP99Ms = quantileMs(First, 0.99);
  Out.BetweenTokensP50Ms = quantileMs(Between, 0.50);
  Out.BetweenTokensP95Ms = quantileMs(Between, 0.95);
  Out.CallP50Ms = quantileMs(Calls, 0.50);
  Out.CallP99Ms = quantileMs(Calls, 0.99);
}

void fillSeries(Summary &Out, const std::vector<Sample> &Samples,
                const Targets &T) {
  const auto Length = static_cast<std::size_t>(Out.Seconds + 0.999);
  Out.GoodputPerSecond.assign(Length, 0);
  Out.OfferedPerSecond.assign(Length, 0);
  for (const Sample &S : Samples) {
    const auto Second = std::min(
        Length - 1, static_cast<std::size_t>(S.Planned.At.count() / 1'000'000));
    Out.OfferedPerSecond[Second] += 1;
    if (metTargets(S, T))
      Out.GoodputPerSecond[Second] += 1;
  }
}

} // namespace

bool metTargets(const Sample &S, const Targets &T) {
  if (S.End != Outcome::Complete)
    return false;
  if (!isStream(S.Planned.Kind))
    return S.Total <= T.Call;
  if (S.Planned.Kind == RequestKind::Summary)
    return true;
  return S.FirstToken <= T.FirstToken && S.BetweenTokens <= T.BetweenTokens;
}

Summary summarize(std::string Label, const Profile &P,
                  std::chrono::milliseconds Length,
                  const std::vector<Sample> &Samples, const Targets &T,
                  const PrefillCounters &Prefill) {
  Summary Out;
  Out.Label = std::move(Label);
  Out.Seconds = static_cast<double>(Length.count()) / 1e3;
  Out.Requests = Samples.size();
  Out.Accounts = summarizeAccounts(P, Samples);
  const std::vector<bool> Kept = keptToRate(P.Accounts.size(), Samples);
  std::size_t Good = 0;
  std::size_t Complete = 0;
  for (const Sample &S : Samples) {
    ++Out.Outcomes[std::string(enumName(OutcomeNames, S.End))];
    if (!S.ErrorCode.empty())
      ++Out.ErrorCodes[S.ErrorCode];
    Good += metTargets(S, T) ? 1 : 0;
    Complete += S.End == Outcome::Complete ? 1 : 0;
    if (!Kept[S.Planned.Account])
      continue;
    ++Out.WithinRate;
    Out.WithinRateRefused += S.End == Outcome::Refused ? 1 : 0;
  }
  Out.Goodput = static_cast<double>(Good) / Out.Seconds;
  Out.Throughput = static_cast<double>(Complete) / Out.Seconds;
  if (Prefill.ComputedTokens > 0)
    Out.WastedPrefill =
        1.0 - std::min(1.0, static_cast<double>(Prefill.UsedTokens) /
                                static_cast<double>(Prefill.ComputedTokens));
  for (const AccountSummary &A : Out.Accounts)
    Out.WorstServed = std::min(Out.WorstServed, A.Share);
  Out.EngineCrashes = Prefill.EngineCrashes;
  fillLatencies(Out, Samples);
  fillSeries(Out, Samples, T);
  return Out;
}

} // namespace hyssoprail::load
