#ifndef HYSSOPRAIL_PROCESS_METRICS_HPP
#define HYSSOPRAIL_PROCESS_METRICS_HPP

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "hyssoprail/process/distribution.hpp"

namespace hyssoprail {

/// Label names and values of a metric, in the order they are printed.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Number that only grows.
class Counter {
public:
  void add(std::uint64_t N = 1) { Value.fetch_add(N, Relaxed); }
  std::uint64_t value() const { return Value.load(Relaxed); }

private:
  static constexpr auto Relaxed = std::memory_order_relaxed;
  std::atomic<std::uint64_t> Value{0};
};

/// Number that goes up and down.
class Gauge {
public:
  void set(double To) { Value.store(To, Relaxed); }
  void add(double Change) { Value.fetch_add(Change, Relaxed); }
  double value() const { return Value.load(Relaxed); }

private:
  static constexpr auto Relaxed = std::memory_order_relaxed;
  std::atomic<double> Value{0};
};

/// Metrics of a process by name and labels. References stay valid as long as
/// the Metrics object; callers on a hot path keep them, which leaves one atomic
/// operation for a counter or gauge and one uncontended lock for a
/// distribution. Looking a metric up locks one of 16 shards.
///
/// \code
///   Counter &Granted = M.counter("limit_debits", {{"result", "granted"}});
///   Granted.add();
/// \endcode
///
/// A name has one type: asking for it as another type yields a metric that is
/// counted but not printed.
class Metrics {
public:
  Counter &counter(std::string_view Name, const MetricLabels &Labels = {});
  Gauge &gauge(std::string_view Name, const MetricLabels &Labels = {});
  Distribution &distribution(std::string_view Name,
                             const MetricLabels &Labels = {});

  /// All metrics in the Prometheus text format, in name order. Distributions
  /// are summaries with the quantiles 0.5, 0.95 and 0.99 since the start, and
  /// a gauge NAME_max.
  std::string prometheusText() const;

private:
  static constexpr std::size_t ShardCount = 16;

  using Metric = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>,
                              std::unique_ptr<Distribution>>;

  struct Shard {
    mutable std::mutex Mutex;
    std::map<std::pair<std::string, std::string>, Metric> ByNameAndLabels;
  };

  template <typename T>
  T &find(std::string_view Name, const MetricLabels &Labels);

  std::array<Shard, ShardCount> Shards;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_METRICS_HPP
