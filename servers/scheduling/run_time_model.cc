#include "servers/scheduling/run_time_model.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace quetzalshelf::scheduling {

namespace {

// Used when nothing is declared and nothing was learned.
constexpr double kDefaultMillis = 600'000;
// Weight of a declared run time, in samples.
constexpr double kDeclaredSamples = 0.5;

double LogMillis(Duration time) {
  return std::log(std::max<double>(1'000, static_cast<double>(time.count())));
}

}  // namespace

std::string RunTimeModel::Key(const Job& job) {
  // Gangs of very different size hardly run for the same time.
  const auto size = static_cast<unsigned>(job.gang.tasks);
  return job.workspace.value() + '\n' + job.kind + '\n' +
         std::to_string(std::bit_width(size));
}

void RunTimeModel::Record(const Job& job, Duration run_time) {
  const std::string key = Key(job);
  auto it = entries_.find(key);
  if (it == entries_.end()) {
    if (entries_.size() >= kMaxKeys)
      return;
    it = entries_.emplace(key, Entry()).first;
  }
  Entry& entry = it->second;
  ++entry.samples;
  const double share = std::max(kNewShare, 1.0 / entry.samples);
  entry.log_millis += share * (LogMillis(run_time) - entry.log_millis);
}

Duration RunTimeModel::Predict(const Job& job) const {
  const bool declared = job.declared_run_time.count() > 0;
  double sum = declared ? LogMillis(job.declared_run_time) * kDeclaredSamples
                        : std::log(kDefaultMillis) * 0.1;
  double weight = declared ? kDeclaredSamples : 0.1;
  if (const auto it = entries_.find(Key(job)); it != entries_.end()) {
    const double samples = std::min(it->second.samples, 20);
    sum += it->second.log_millis * samples;
    weight += samples;
  }
  return Duration(static_cast<int64_t>(std::exp(sum / weight)));
}

}  // namespace quetzalshelf::scheduling
