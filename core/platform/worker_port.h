// Interface to the workers. Workers answer commands of the shard owner and
// refuse an epoch lower than the largest one that they have seen.

#ifndef CORE_PLATFORM_WORKER_PORT_H_
#define CORE_PLATFORM_WORKER_PORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"

namespace quetzalshelf {

// Where to reach a worker.
struct WorkerAddress {
  WorkerId worker;
  std::string host;
  int port = 0;
};

// The tasks of one gang on one worker.
struct GangKey {
  JobId job;
  Attempt attempt;

  friend auto operator<=>(const GangKey&, const GangKey&) = default;
};

enum class TaskState {
  kPrepared,
  kRunning,
  kCheckpointing,
  kFinished,
  kFailed,
  kStopped,
};

// What a worker says about one task of a gang.
struct TaskReport {
  GangKey gang;
  int task = 0;  // Index within the gang.
  TaskState state = TaskState::kPrepared;
  Duration progress{0};            // Work done, in run time at full speed.
  Duration checkpointed{0};        // Progress at the last complete checkpoint.
  Accelerators accelerators_used;  // Measured use; lags.
  std::string result;              // Set when kFinished.
  std::string error;               // Set when kFailed.
};

// Renews the leases of all tasks of the worker and asks for the reports with a
// sequence number above `acknowledged`.
struct SyncRequest {
  RegionId region;
  Epoch epoch;
  Duration lease{0};
  // Reports up to this number of this incarnation have been processed.
  IncarnationId incarnation;
  uint64_t acknowledged = 0;
};

// Changed tasks only. `clock` is the worker's own monotonic clock; it is
// comparable only within one incarnation.
struct SyncReply {
  IncarnationId incarnation;
  TimePoint clock;
  uint64_t sequence = 0;
  std::vector<TaskReport> reports;
  // Every gang held, with or without changes, when `acknowledged` was 0.
  std::vector<GangKey> held;
};

// One task to hold a slot for.
struct TaskAssignment {
  int task = 0;
  Resources resources;
};

// Holds slots for tasks of a gang; nothing runs yet. The worker refuses the
// request when its incarnation differs or its clock is past `deadline`.
struct PrepareRequest {
  RegionId region;
  Epoch epoch;
  IncarnationId incarnation;
  TimePoint deadline;  // On the worker's own clock.
  GangKey gang;
  std::string kind;
  std::string payload;
  Duration run_time{0};     // Declared; 0 when unknown.
  Duration resume_from{0};  // Progress at the checkpoint to resume from.
  std::vector<TaskAssignment> tasks;
};

// Starts the prepared tasks of a gang, under the same deadline rule.
struct RunRequest {
  RegionId region;
  Epoch epoch;
  IncarnationId incarnation;
  TimePoint deadline;  // On the worker's own clock.
  GangKey gang;
};

enum class GangAction { kCheckpoint, kThrottle, kStop };

// Acts on all tasks of a gang on the worker. Stopping a gang that the worker
// does not hold succeeds and makes it refuse the attempt from then on.
struct GangRequest {
  RegionId region;
  Epoch epoch;
  GangKey gang;
  GangAction action = GangAction::kStop;
  int throttle_percent = 100;  // For kThrottle: share of full speed.
};

// Calls return at once; the callback runs later on the caller's executor.
// Errors: kFailedPrecondition (epoch, incarnation or deadline refused; nothing
// was done), kResourceExhausted (no free slots), kUnavailable (not reached;
// nothing was done), kDeadlineExceeded (the outcome is unknown).
class WorkerPort {
 public:
  using SyncCallback = std::function<void(absl::StatusOr<SyncReply>)>;
  using Callback = std::function<void(absl::Status)>;

  virtual ~WorkerPort() = default;

  virtual void Sync(const WorkerAddress& worker,
                    const SyncRequest& request,
                    SyncCallback done) = 0;
  virtual void Prepare(const WorkerAddress& worker,
                       const PrepareRequest& request,
                       Callback done) = 0;
  virtual void Run(const WorkerAddress& worker,
                   const RunRequest& request,
                   Callback done) = 0;
  virtual void Act(const WorkerAddress& worker,
                   const GangRequest& request,
                   Callback done) = 0;
};

}  // namespace quetzalshelf

#endif  // CORE_PLATFORM_WORKER_PORT_H_
