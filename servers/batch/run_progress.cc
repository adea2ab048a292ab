#include "servers/batch/run_progress.h"

#include <algorithm>
#include <cmath>

namespace quetzalshelf::batch {

namespace {

// Progress from which a run's measured rate is more reliable than its estimate.
constexpr int kTellingPercent = 10;
constexpr int kWholePercent = 100;
constexpr double kMillisPerSecond = 1000;
// A run without any progress is stalled after the time in which it would have
// done this part of its work at its own or the usual rate. Runs of one step
// differ by up to 10 times on healthy workers, due to their size, their worker
// and the distance to their data; a run that slow would still show a percent.
constexpr double kMissedPercent = 20;
// Bounds of this time for a run with a known rate. The upper one does not hold
// before the run should have done kVisiblePercent.
constexpr Duration kShortestStall{600};
constexpr Duration kStallLimit{1'000};
constexpr double kVisiblePercent = 6;
// Limit for a run without any progress yet; it may have to restore a checkpoint
// first, or be a job that takes many times as long as estimated.
constexpr Duration kFirstProgressLimit{3'000};

}  // namespace

void RunProgress::Begin(TimePoint now) {
  percent_ = 0;
  base_percent_ = 0;
  base_at_ = changed_at_ = observed_at_ = now;
  restoring_ = false;
}

void RunProgress::Resume(TimePoint now) {
  percent_ = 0;
  base_percent_.reset();
  base_at_ = changed_at_ = observed_at_ = now;
  restoring_ = true;
}

bool RunProgress::Observe(int percent, TimePoint now) {
  observed_at_ = now;
  if (!base_percent_) {
    base_percent_ = percent_ = percent;
    base_at_ = changed_at_ = now;
    return false;
  }
  if (percent == percent_)
    return false;
  percent_ = percent;
  changed_at_ = now;
  restoring_ = false;
  return true;
}

std::optional<double> RunProgress::Rate(TimePoint began) const {
  if (!base_percent_)
    return std::nullopt;
  const int gained = percent_ - *base_percent_;
  const Duration elapsed = changed_at_ - std::max(base_at_, began);
  if (gained < kTellingPercent || percent_ >= kWholePercent ||
      elapsed.count() <= 0)
    return std::nullopt;
  return gained * kMillisPerSecond / static_cast<double>(elapsed.count());
}

std::optional<Duration> RunProgress::TimeLeft(TimePoint began,
                                              TimePoint now) const {
  const std::optional<double> rate = Rate(began);
  if (!rate)
    return std::nullopt;
  const Duration left(
      std::llround((kWholePercent - percent_) * kMillisPerSecond / *rate));
  return std::max(Duration(0), left - Duration(now - changed_at_));
}

bool RunProgress::IsStalled(TimePoint began,
                            std::optional<double> usual_rate) const {
  // At 100 percent, a member waits for the rest of its gang.
  if (percent_ >= kWholePercent)
    return false;
  const Duration still = observed_at_ - std::max(changed_at_, began);
  const auto time_for = [](double percent, double rate) {
    return Duration(std::llround(percent * kMillisPerSecond / rate));
  };
  Duration limit = kFirstProgressLimit;
  if (const std::optional<double> rate = Rate(began)) {
    limit = std::max(std::min(kStallLimit, time_for(kMissedPercent, *rate)),
                     time_for(kVisiblePercent, *rate));
  } else if (usual_rate && !restoring_) {
    limit = time_for(kMissedPercent, *usual_rate);
  }
  return still > std::max(kShortestStall, limit);
}

}  // namespace quetzalshelf::batch
