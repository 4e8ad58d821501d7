#ifndef HYSSOPRAIL_PROCESS_DISTRIBUTION_HPP
#define HYSSOPRAIL_PROCESS_DISTRIBUTION_HPP

#include <array>
#include <cstdint>
#include <mutex>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace hyssoprail {

/// Quantiles that Distribution estimates.
constexpr std::array<double, 3> DistributionQuantiles{0.5, 0.95, 0.99};

/// Summary of the values recorded so far.
struct DistributionSummary {
  std::uint64_t Count = 0;
  double Sum = 0;
  double Max = 0;
  std::array<double, 3> Quantiles{}; ///< at DistributionQuantiles; 0 if empty
};

/// Thread-safe distribution of numbers in constant memory. Quantiles are
/// estimated with the extended P-square algorithm of Boost.Accumulators.
class Distribution {
public:
  Distribution();

  void record(double Value);
  DistributionSummary summary() const;

private:
  /// P-square needs 2n + 3 values for n quantiles. Up to that number, quantiles
  /// are computed exactly from the stored values.
  static constexpr std::size_t MaxExactValues =
      2 * DistributionQuantiles.size() + 3;

  using Accumulators = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::sum, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square>>;

  mutable std::mutex Mutex;
  Accumulators Values;
  std::array<double, MaxExactValues> FirstValues{};
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_DISTRIBUTION_HPP
