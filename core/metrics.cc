#include "core/metrics.h"

#include <array>
#include <string_view>

namespace quetzalshelf {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};

template <typename Metric>
Metric& GetOrCreate(std::map<std::string, std::unique_ptr<Metric>>& metrics,
                    const std::string& name) {
  auto& slot = metrics[name];
  if (slot == nullptr)
    slot = std::make_unique<Metric>();
  return *slot;
}

// The name without its labels.
std::string BaseName(const std::string& name) {
  return name.substr(0, name.find('{'));
}

// Adds a suffix to the name and a label to its labels.
std::string WithLabel(const std::string& name,
                      std::string_view suffix,
                      const std::string& label) {
  const std::string base = BaseName(name);
  std::string labels = name.substr(base.size());
  if (!label.empty()) {
    if (labels.empty())
      labels = "{" + label + "}";
    else
      labels.insert(labels.size() - 1, "," + label);
  }
  return base + std::string(suffix) + labels;
}

void ExposeType(std::ostream& os,
                const std::string& name,
                std::string_view type,
                std::string& last_base) {
  const std::string base = BaseName(name);
  if (base == last_base)
    return;
  last_base = base;
  os << "# TYPE " << base << ' ' << type << '\n';
}

}  // namespace

Distribution::Distribution()
    : accumulator_(acc::tag::extended_p_square_quantile::probabilities =
                       kQuantiles) {}

void Distribution::Record(double value) {
  std::lock_guard<std::mutex> lock(mutex_);
  accumulator_(value);
}

int64_t Distribution::count() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<int64_t>(acc::count(accumulator_));
}

double Distribution::sum() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return acc::sum(accumulator_);
}

double Distribution::max() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return acc::count(accumulator_) == 0 ? 0 : acc::max(accumulator_);
}

double Distribution::Quantile(double quantile) const {
  std::lock_guard<std::mutex> lock(mutex_);
  if (acc::count(accumulator_) == 0)
    return 0;
  return acc::quantile(accumulator_, acc::quantile_probability = quantile);
}

Counter& MetricsRegistry::GetCounter(const std::string& name) {
  std::lock_guard<std::mutex> lock(mutex_);
  return GetOrCreate(counters_, name);
}

Gauge& MetricsRegistry::GetGauge(const std::string& name) {
  std::lock_guard<std::mutex> lock(mutex_);
  return GetOrCreate(gauges_, name);
}

Distribution& MetricsRegistry::GetDistribution(const std::string& name) {
  std::lock_guard<std::mutex> lock(mutex_);
  return GetOrCreate(distributions_, name);
}

std::string MetricsRegistry::Expose() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::ostringstream os;
  std::string last_base;
  for (const auto& [name, counter] : counters_) {
    ExposeType(os, name, "counter", last_base);
    os << name << ' ' << counter->value() << '\n';
  }
  for (const auto& [name, gauge] : gauges_) {
    ExposeType(os, name, "gauge", last_base);
    os << name << ' ' << gauge->value() << '\n';
  }
  for (const auto& [name, distribution] : distributions_) {
    ExposeType(os, name, "summary", last_base);
    for (const double quantile : kQuantiles) {
      std::ostringstream label;
      label << "quantile=\"" << quantile << '"';
      os << WithLabel(name, "", label.str()) << ' '
         << distribution->Quantile(quantile) << '\n';
    }
    os << WithLabel(name, "_sum", "") << ' ' << distribution->sum() << '\n';
    os << WithLabel(name, "_count", "") << ' ' << distribution->count() << '\n';
  }
  return os.str();
}

}  // namespace quetzalshelf
