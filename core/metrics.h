// Counters, gauges and distributions, served in the text exposition format.

#ifndef CORE_METRICS_H_
#define CORE_METRICS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace quetzalshelf {

// A number that only grows. Thread-safe.
class Counter {
 public:
  void Add(int64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
  int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> value_{0};
};

// A number that goes up and down. Thread-safe.
class Gauge {
 public:
  void Set(int64_t value) { value_.store(value, std::memory_order_relaxed); }
  int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> value_{0};
};

// Count, sum, maximum and the quantiles 0.5, 0.9 and 0.99 of the values seen
// since the start. Thread-safe.
class Distribution {
 public:
  Distribution();

  void Record(double value);
  int64_t count() const;
  double sum() const;
  double max() const;
  // `quantile` is 0.5, 0.9 or 0.99; 0 when nothing was recorded.
  double Quantile(double quantile) const;

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count,
          boost::accumulators::tag::sum,
          boost::accumulators::tag::max,
          boost::accumulators::tag::extended_p_square_quantile>>;

  mutable std::mutex mutex_;
  Accumulator accumulator_;
};

// Owns the metrics of one process by name. A name may carry labels in the
// exposition format, for example `requests_total{outcome="answered"}`.
// References stay valid as long as the registry. Thread-safe.
class MetricsRegistry {
 public:
  Counter& GetCounter(const std::string& name);
  Gauge& GetGauge(const std::string& name);
  Distribution& GetDistribution(const std::string& name);

  // The text exposition format, sorted by name.
  std::string Expose() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::unique_ptr<Counter>> counters_;
  std::map<std::string, std::unique_ptr<Gauge>> gauges_;
  std::map<std::string, std::unique_ptr<Distribution>> distributions_;
};

}  // namespace quetzalshelf

#endif  // CORE_METRICS_H_
