#include "core/answer_time.h"

#include <algorithm>

namespace quetzalshelf {

namespace {

// Weight of the newest answer in the mean, as a divisor.
constexpr int kWeight = 4;
// Answers rarely take longer than so many times the mean.
constexpr int kTimeoutFactor = 6;
// A time-out counts as an answer after this part of it, as a divisor, so that
// the next one is about twice as long and lost answers alone are forgotten
// soon.
constexpr int kTimeoutPart = 2;

}  // namespace

void AnswerTime::Observe(Duration elapsed) {
  mean_ += (elapsed - mean_) / kWeight;
}

void AnswerTime::ObserveTimeout(Duration timeout) {
  mean_ = std::max(mean_, mean_ + (timeout / kTimeoutPart - mean_) / 2);
}

Duration AnswerTime::Timeout(Duration shortest, Duration longest) const {
  return std::clamp(mean_ * kTimeoutFactor, shortest, longest);
}

}  // namespace quetzalshelf
