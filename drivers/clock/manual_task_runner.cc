#include "drivers/clock/manual_task_runner.h"

#include <algorithm>

namespace quetzalshelf {

void ManualTaskRunner::Post(std::function<void()> task) {
  PostAfter(Duration{0}, std::move(task));
}

void ManualTaskRunner::PostAfter(Duration delay, std::function<void()> task) {
  const TimePoint due = now_ + std::max(delay, Duration{0});
  tasks_.emplace(std::pair(due, next_++), std::move(task));
}

void ManualTaskRunner::Advance(Duration by) {
  const TimePoint end = now_ + by;
  while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
    auto first = tasks_.extract(tasks_.begin());
    now_ = first.key().first;
    first.mapped()();
  }
  now_ = end;
}

}  // namespace quetzalshelf
