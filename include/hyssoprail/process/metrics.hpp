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

/// Monotonic counter.
class Counter {
public:
  void add(std::uint64_t Increment = 1) { Value.fetch_add(Increment, Relaxed); }
  std::uint64_t value() const { return Value.load(Relaxed); }

private:
  static constexpr auto Relaxed = std::memory_order_relaxed;
  std::atomic<std::uint64_t> Value{0};
};

/// Value that can rise and fall.
class Gauge {
public:
  void set(double NewValue) { Value.store(NewValue, Relaxed); }
  void add(double Delta) { Value.fetch_add(Delta, Relaxed); }
  double value() const { return Value.load(Relaxed); }

private:
  static constexpr auto Relaxed = std::memory_order_relaxed;
  std::atomic<double> Value{0};
};

/// Registry of the metrics of a process, by name and labels. A look-up locks
/// one of 16 shards. The returned references stay valid as long as the Metrics
/// object. Hot paths should keep them: an update then costs one atomic
/// operation for a counter or gauge, and one uncontended lock for a
/// distribution.
///
/// \code
///   Counter &Granted = M.counter("limit_debits", {{"result", "granted"}});
///   Granted.add();
/// \endcode
///
/// A name has one type. Looking it up as another type gives a metric that
/// accepts updates but is not exported.
class Metrics {
public:
  Counter &counter(std::string_view Name, const MetricLabels &Labels = {});
  Gauge &gauge(std::string_view Name, const MetricLabels &Labels = {});
  Distribution &distribution(std::string_view Name,
                             const MetricLabels &Labels = {});

  /// Returns all metrics in the Prometheus text format, ordered by name. A
  /// distribution is exported as a summary with the quantiles 0.5, 0.95 and
  /// 0.99 of all values since the start, and as a gauge NAME_max.
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
  T &findOrCreate(std::string_view Name, const MetricLabels &Labels);

  std::array<Shard, ShardCount> Shards;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_METRICS_HPP
