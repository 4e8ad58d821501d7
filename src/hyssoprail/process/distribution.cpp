#include "hyssoprail/process/distribution.hpp"

#include <algorithm>

namespace hyssoprail {

namespace acc = boost::accumulators;

Distribution::Distribution()
    : Values(acc::tag::extended_p_square::probabilities =
                 DistributionQuantiles) {}

void Distribution::record(double Value) {
  std::lock_guard Lock(Mutex);
  const std::size_t Index = acc::count(Values);
  if (Index < First.size())
    First[Index] = Value;
  Values(Value);
}

DistributionSummary Distribution::summary() const {
  std::lock_guard Lock(Mutex);
  DistributionSummary S;
  S.Count = acc::count(Values);
  if (S.Count == 0)
    return S;
  S.Sum = acc::sum(Values);
  S.Max = (acc::max)(Values);
  auto Sorted = First;
  const std::size_t Exact = std::min<std::size_t>(S.Count, First.size());
  std::sort(Sorted.begin(),
            Sorted.begin() + static_cast<std::ptrdiff_t>(Exact));
  for (std::size_t I = 0; I < S.Quantiles.size(); ++I) {
    const auto Rank = static_cast<std::size_t>(DistributionQuantiles[I] *
                                               static_cast<double>(Exact));
    S.Quantiles[I] =
        S.Count > First.size()
            ? acc::extended_p_square(Values)[static_cast<std::ptrdiff_t>(I)]
            : Sorted[std::min(Rank, Exact - 1)];
  }
  return S;
}

} // namespace hyssoprail
