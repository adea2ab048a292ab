// State of one simulated worker.

#ifndef DRIVERS_WORKER_WORKER_MODEL_H_
#define DRIVERS_WORKER_WORKER_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "core/platform/worker_port.h"

namespace quetzalshelf {

struct WorkerModelOptions {
  WorkerId worker;
  IncarnationId incarnation;
  Resources capacity;
  // Of tasks that neither declare a run time nor have one in their payload.
  Duration default_run_time{60'000};
  // A task makes no progress while its checkpoint is written.
  Duration checkpoint_time{500};
  Duration usage_lag{2'000};
  // The worker's own clock reads the time given to each call plus this.
  Duration clock_offset{0};
};

struct WorkerFaults {
  bool fail_tasks = false;     // Every task fails as soon as it runs.
  bool refuse_starts = false;  // Prepare is refused for lack of slots.
};

// Follows core/platform/worker_port.h. Tasks take time but do nothing. A task's
// run time is `run_ms` of its payload (JSON `{"run_ms","fail","result",
// "accelerators_used"}`, all optional), else the declared one. Time is given to
// each call and never goes back.
//
// A gang is kept after its tasks have ended, so that a new owner can still read
// the results, until it is stopped or `kMaxEndedGangs` newer ones have ended.
class WorkerModel {
 public:
  static constexpr size_t kMaxEndedGangs = 256;
  // A prepared gang that was not run gives its slots back this long after its
  // deadline.
  static constexpr Duration kPreparedGrace{5'000};

  explicit WorkerModel(WorkerModelOptions options);

  absl::StatusOr<SyncReply> Sync(const SyncRequest& request, TimePoint now);
  absl::Status Prepare(const PrepareRequest& request, TimePoint now);
  absl::Status Run(const RunRequest& request, TimePoint now);
  absl::Status Act(const GangRequest& request, TimePoint now);

  // Carries out what has become due: ends of tasks and checkpoints, lapsed
  // leases. Every other call does this first.
  void Advance(TimePoint now);
  // The state of every task held, for tests and counts.
  std::vector<TaskReport> Tasks(TimePoint now);

  WorkerFaults& faults() { return faults_; }
  const WorkerModelOptions& options() const { return options_; }
  // Resources of prepared and running tasks.
  Resources used() const;

 private:
  struct Task {
    int index = 0;
    Resources resources;
    TaskState state = TaskState::kPrepared;
    Duration progress{0};  // At `settled`.
    TimePoint settled;
    Duration checkpointed{0};
    TimePoint checkpoint_end;
    std::optional<TimePoint> usage_due;
    Accelerators usage;    // As last measured.
    uint64_t changed = 0;  // Sequence number of the last change.
    std::string result;
    std::string error;
  };

  struct Gang {
    RegionId region;
    TimePoint prepared_until;
    Duration run_time{0};
    bool fails = false;
    std::string result;
    std::optional<Accelerators> usage;
    int percent = 100;
    std::vector<Task> tasks;
  };

  // The next thing to happen to a task.
  struct Event;

  using Gangs = std::map<GangKey, Gang>;

  absl::Status CheckEpoch(const RegionId& region, Epoch epoch);
  absl::Status CheckStart(const IncarnationId& incarnation,
                          TimePoint deadline,
                          TimePoint now) const;
  absl::Status CheckAttempt(const GangKey& gang) const;
  Gang MakeGang(const PrepareRequest& request, TimePoint now) const;

  std::optional<Event> NextEvent(const GangKey& key, Gang& gang);
  void Carry(const Event& event);
  void FinishTask(Gang& gang, Task& task, TimePoint now);
  void StopGang(Gang& gang, TimePoint now);
  void StopOlderAttempts(const GangKey& key, TimePoint now);
  void Settle(const Gang& gang, Task& task, TimePoint now) const;
  void Change(Task& task, TaskState state);
  TaskReport ReportOf(const GangKey& key,
                      const Gang& gang,
                      Task task,
                      TimePoint now) const;
  void DropEnded(uint64_t acknowledged);
  void RefuseAttempt(const GangKey& key);

  const WorkerModelOptions options_;
  WorkerFaults faults_;
  Gangs gangs_;
  uint64_t sequence_ = 0;
  std::map<RegionId, Epoch> epochs_;
  std::map<RegionId, TimePoint> leases_;
  // This attempt and lower ones of a job are refused for good.
  std::map<JobId, Attempt> refused_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_WORKER_WORKER_MODEL_H_
