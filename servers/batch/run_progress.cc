#include "servers/batch/run_progress.h"

#include <algorithm>
#include <cmath>

namespace quetzalshelf::batch {

namespace {

// Progress from which a run's measured rate is more reliable than its estimate.
constexpr int kTellingPercent = 10;
constexpr int kWholePercent = 100;
constexpr double kMillisPerSecond = 1000;
// A run with a known rate is stalled after this time without progress, but not
// before the time that it needs for kStallPercent of its work.
constexpr Duration kStallLimit{1'000};
constexpr double kStallPercent = 6;
// Runs of one step differ by up to this factor on healthy workers, due to
// their size, their worker and the distance to their data.
constexpr double kGreatestSlowness = 5;
// Limit for a run without any progress yet; it may have to restore a checkpoint
// first, or be a job that takes many times as long as estimated.
constexpr Duration kFirstProgressLimit{3'000};

}  // namespace

void RunProgress::Begin(TimePoint now) {
  percent_ = 0;
  base_percent_ = 0;
  base_at_ = changed_at_ = now;
}

void RunProgress::Resume(TimePoint now) {
  percent_ = 0;
  base_percent_.reset();
  base_at_ = changed_at_ = now;
}

bool RunProgress::Observe(int percent, TimePoint now) {
  if (!base_percent_) {
    base_percent_ = percent_ = percent;
    base_at_ = changed_at_ = now;
    return false;
  }
  if (percent == percent_)
    return false;
  percent_ = percent;
  changed_at_ = now;
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
                            std::optional<double> usual_rate,
                            TimePoint now) const {
  // At 100 percent, a member waits for the rest of its gang.
  if (percent_ >= kWholePercent)
    return false;
  const Duration still = now - std::max(changed_at_, began);
  std::optional<double> rate = Rate(began);
  if (!rate && usual_rate)
    rate = *usual_rate / kGreatestSlowness;
  if (!rate)
    return still > kFirstProgressLimit;
  const Duration slow(std::llround(kStallPercent * kMillisPerSecond / *rate));
  return still > std::max(kStallLimit, slow);
}

}  // namespace quetzalshelf::batch
