// Runs functions later on one thread.

#ifndef CORE_TASK_RUNNER_H_
#define CORE_TASK_RUNNER_H_

#include <functional>

#include "core/time.h"

namespace quetzalshelf {

// Functions run one at a time, never inside Post or PostAfter, and in the order
// of their times; equal times keep the order of the calls.
class TaskRunner {
 public:
  virtual ~TaskRunner() = default;

  virtual void Post(std::function<void()> task) = 0;
  virtual void PostAfter(Duration delay, std::function<void()> task) = 0;
};

}  // namespace quetzalshelf

#endif  // CORE_TASK_RUNNER_H_
