#include "hyssoprail/load/arrivals.hpp"

#include <algorithm>

#include "hyssoprail/core/random.hpp"

namespace hyssoprail::load {
namespace {

/// Largest size drawn, as a multiple of the mean.
constexpr double MaxSpread = 4;

unsigned spread(RandomSource &Random, unsigned Mean) {
  if (Mean == 0)
    return 0;
  const double Drawn = Random.exponential(Mean);
  return static_cast<unsigned>(
      std::clamp(Drawn, Mean / MaxSpread, Mean * MaxSpread));
}

const MixRow &drawKind(RandomSource &Random, const Profile &P) {
  double Point = Random.unit();
  for (const MixRow &Row : P.Mix) {
    if (Point < Row.Share)
      return Row;
    Point -= Row.Share;
  }
  return P.Mix.back();
}

Arrival drawArrival(RandomSource &Random, const Profile &P, double Seconds,
                    std::size_t Account) {
  const MixRow &Row = drawKind(Random, P);
  Arrival A;
  A.At = std::chrono::microseconds(static_cast<std::int64_t>(Seconds * 1e6));
  A.Account = Account;
  A.Kind = Row.Kind;
  A.PromptTokens = spread(Random, Row.PromptTokens);
  A.MaxTokens = spread(Random, Row.OutputTokens);
  A.Tokens = A.PromptTokens + A.MaxTokens + Row.TokensPerCall;
  return A;
}

/// Marks the arrivals that a single ideal bucket per account would admit.
void markWithinRate(std::vector<Arrival> &Plan,
                    const std::vector<AccountLimit> &Limits) {
  std::vector<double> Level;
  Level.reserve(Limits.size());
  std::vector<double> Last(Limits.size(), 0);
  for (const AccountLimit &L : Limits)
    Level.push_back(L.Burst);
  for (Arrival &A : Plan) {
    const AccountLimit &L = Limits[A.Account];
    const double Now = static_cast<double>(A.At.count()) / 1e6;
    double &Tokens = Level[A.Account];
    Tokens = std::min(L.Burst, Tokens + L.Rate * (Now - Last[A.Account]));
    Last[A.Account] = Now;
    A.WithinRate = Tokens >= A.Tokens;
    if (A.WithinRate)
      Tokens -= A.Tokens;
  }
}

} // namespace

std::vector<Arrival> makePlan(const Profile &P, double RequestsPerSecond,
                              std::chrono::milliseconds Length,
                              const std::vector<AccountLimit> &Limits,
                              std::uint64_t Seed) {
  RandomSource Random(Seed);
  const double Seconds = static_cast<double>(Length.count()) / 1e3;
  std::vector<Arrival> Plan;
  for (std::size_t I = 0; I < P.Accounts.size(); ++I) {
    const AccountRow &Account = P.Accounts[I];
    const double Rate = RequestsPerSecond * Account.Share * Account.Overload;
    double At = Random.exponential(1 / Rate);
    while (At < Seconds) {
      Plan.push_back(drawArrival(Random, P, At, I));
      At += Random.exponential(1 / Rate);
    }
  }
  std::stable_sort(
      Plan.begin(), Plan.end(),
      [](const Arrival &A, const Arrival &B) { return A.At < B.At; });
  for (std::size_t I = 0; I < Plan.size(); ++I)
    Plan[I].Serial = I + 1;
  markWithinRate(Plan, Limits);
  return Plan;
}

std::vector<AccountLimit> entitlements(const Profile &P,
                                       double RequestsPerSecond,
                                       double Headroom, double BurstSeconds) {
  std::vector<AccountLimit> Limits;
  for (const AccountRow &Account : P.Accounts) {
    const double Rate =
        RequestsPerSecond * Account.Share * meanTokens(P) * Headroom;
    Limits.push_back({Rate, Rate * BurstSeconds});
  }
  return Limits;
}

} // namespace hyssoprail::load
