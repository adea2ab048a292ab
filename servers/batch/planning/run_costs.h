// What it costs to stop runs, and what a step is worth, in core-seconds.

#ifndef SERVERS_BATCH_PLANNING_RUN_COSTS_H_
#define SERVERS_BATCH_PLANNING_RUN_COSTS_H_

#include "core/time.h"
#include "core/units.h"
#include "servers/batch/job_state.h"
#include "servers/batch/types.h"

namespace quetzalshelf::batch {

// Estimated work of all tasks of a step.
double StepWork(const StepSpec& step);
// Work of a run that would be lost if it were stopped now.
double LostWork(const Run& run,
                const StepSpec& spec,
                const Resources& each,
                TimePoint now);
// Cost of stopping one group of runs. Grows with their urgency.
double StopCost(double lost_work, int priority);

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_PLANNING_RUN_COSTS_H_
