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
  if (Index < FirstValues.size())
    FirstValues[Index] = Value;
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
  auto Sorted = FirstValues;
  const std::size_t StoredCount =
      std::min<std::size_t>(S.Count, FirstValues.size());
  std::sort(Sorted.begin(),
            Sorted.begin() + static_cast<std::ptrdiff_t>(StoredCount));
  for (std::size_t I = 0; I < S.Quantiles.size(); ++I) {
    const auto Rank = static_cast<std::size_t>(
        DistributionQuantiles[I] * static_cast<double>(StoredCount));
    S.Quantiles[I] =
        S.Count > FirstValues.size()
            ? acc::extended_p_square(Values)[static_cast<std::ptrdiff_t>(I)]
            : Sorted[std::min(Rank, StoredCount - 1)];
  }
  return S;
}

} // namespace hyssoprail
