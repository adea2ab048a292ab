// What the decision core remembers about one job.

#ifndef SERVERS_SCHEDULING_JOB_RECORD_H_
#define SERVERS_SCHEDULING_JOB_RECORD_H_

#include <optional>
#include <string>

#include "core/time.h"
#include "servers/scheduling/capacity_index.h"
#include "servers/scheduling/charts.h"
#include "servers/scheduling/fair_queue.h"
#include "servers/scheduling/guarantee_ledger.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::scheduling {

enum class HoldKind {
  kGuarantee,    // In the home slices of the workspace, which it charges.
  kUrgent,       // On capacity of borrowers that are not urgent.
  kReservation,  // For a gang that waited long enough.
};

// Workers chosen for a waiting gang; what becomes free there is kept for it.
struct Hold {
  HoldKind kind = HoldKind::kReservation;
  Slots slots;
  GuaranteeCharges uses;  // Charged by kGuarantee.
  TimePoint since;
  TimePoint preempt_at;  // From then on gangs are stopped to make room.
};

struct JobRecord {
  Job job;
  JobState state = JobState::kWaiting;
  GangState gang_state = GangState::kIdle;
  Attempt attempt;

  TimePoint submitted;
  TimePoint waiting_since;
  TimePoint retry_at;  // Back-off after a failure.
  QueueKey key;
  std::optional<Hold> hold;

  // Of the present attempt.
  Slots slots;  // Workers that were lost are removed.
  TimePoint started;
  TimePoint last_checkpoint;
  TimePoint checkpoint_due;
  TimePoint stop_due;  // While a checkpoint before the stop is awaited.
  StopReason stop_reason = StopReason::kCancelled;
  TimePoint protected_until;  // No reservation may stop it before.
  Duration progress_at_start{0};
  bool guaranteed = false;  // As the start command said.
  GuaranteeCharges uses;    // Of homes, until it has stopped.
  bool charged = false;     // It is in its homes and is not being stopped.
  bool outside_blocks =
      false;               // See ShapeScheduler::IsEntitledOutsideBlocks().
  bool pinned = false;     // Not to be stopped for urgent gangs and
                           // reservations.
  bool releasing = false;  // Its stop is decided.
  std::optional<WorkerIndex> probed_worker;
  Accelerators measured_use;  // 0 while nothing was reported.

  Duration saved{0};  // Progress in the last checkpoint.
  int failures = 0;
  int start_failures = 0;
  std::string detail;  // Why it was refused or failed.

  bool holds_capacity() const { return gang_state != GangState::kIdle; }
  Accelerators accelerators() const {
    return job.gang.per_task.accelerators * job.gang.tasks;
  }
  // Accelerator-seconds since the last checkpoint.
  double UnsavedWork(TimePoint now) const {
    if (gang_state != GangState::kRunning && gang_state != GangState::kSaving)
      return 0;
    const Duration since = now - last_checkpoint;
    return static_cast<double>(accelerators().value()) *
           static_cast<double>(since.count()) / 1'000;
  }
  // Run time of all attempts that need not be repeated.
  Duration Progress(TimePoint now) const {
    if (gang_state == GangState::kIdle || gang_state == GangState::kStarting)
      return saved;
    return progress_at_start +
           std::chrono::duration_cast<Duration>(now - started);
  }
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_JOB_RECORD_H_
