#include "servers/scheduling/fragmentation_gradient.h"

namespace quetzalshelf::scheduling {

int64_t FragmentationGradient::Unusable(const Resources& available) const {
  int64_t sum = 0;
  for (const Shape& it : waiting_) {
    const int n = TasksIn(available, it.per_task, it.tasks);
    sum +=
        available.accelerators.value() - it.per_task.accelerators.value() * n;
  }
  return sum;
}

int64_t FragmentationGradient::Penalty(WorkerIndex worker, int tasks) const {
  const Resources& before = index_.available(worker);
  return Unusable(before - gang_.per_task * tasks) - Unusable(before);
}

}  // namespace quetzalshelf::scheduling
