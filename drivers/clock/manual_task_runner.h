// Clock and task runner in virtual time, for tests and simulations.

#ifndef DRIVERS_CLOCK_MANUAL_TASK_RUNNER_H_
#define DRIVERS_CLOCK_MANUAL_TASK_RUNNER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "core/task_runner.h"

namespace quetzalshelf {

// Time passes only in Advance. Not thread-safe.
class ManualTaskRunner : public TaskRunner, public Clock {
 public:
  explicit ManualTaskRunner(TimePoint start = FromMillis(1'000'000))
      : now_(start) {}

  void Post(std::function<void()> task) override;
  void PostAfter(Duration delay, std::function<void()> task) override;

  TimePoint Now() const override { return now_; }
  int64_t WallMillis() const override { return ToMillis(now_) + wall_offset_; }
  // Makes the time of day jump; Now() stays as it is.
  void StepWallClock(Duration by) { wall_offset_ += by.count(); }

  // Runs every task that is due, also those posted meanwhile for the present.
  void RunReady() { Advance(Duration{0}); }
  // Moves time forward and runs each task at its own time.
  void Advance(Duration by);

  size_t pending() const { return tasks_.size(); }

 private:
  TimePoint now_;
  uint64_t next_ = 0;
  int64_t wall_offset_ = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> tasks_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_CLOCK_MANUAL_TASK_RUNNER_H_
