// Progress of one job: its tasks, their runs on workers, and its row in the
// store. Holds the transitions; what is started where is decided elsewhere.

#ifndef SERVERS_BATCH_JOB_STATE_H_
#define SERVERS_BATCH_JOB_STATE_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "core/finding.h"
#include "core/ids.h"
#include "core/time.h"
#include "servers/batch/job_frontend.h"
#include "servers/batch/run_progress.h"
#include "servers/batch/types.h"
#include "servers/batch/worker_port.h"

namespace quetzalshelf::batch {

enum class RunPhase {
  kRecording,  // Not yet in the store; no order was sent.
  kStarting,   // In the store; the order has no certain outcome yet.
  kRunning,    // The worker confirmed the start.
  kStopping,   // To be stopped; the worker may still have it.
  kRecovered,  // Taken from the store after a change of leader.
};

// One attempt of a task on a worker. It counts as running until the worker
// reports its end, is known not to have it, or its lease has expired.
struct Run {
  WorkerId worker;
  Attempt attempt;
  // Start of the worker's process that was given the run, or that has listed
  // it; 0 if unknown.
  int64_t incarnation_start_wall_ms = 0;
  RunPhase phase = RunPhase::kRecording;
  TimePoint phase_since;
  uint64_t revision = 0;   // Revision of the job that first stores this run.
  bool ordered = false;    // A start order was sent.
  TimePoint ordered_at;    // The first one.
  bool in_flight = false;  // An order waits for its answer.
  bool uncertain = false;  // An order timed out without an answer.
  int unsent_tries = 0;    // Starts that could not be sent.
  TimePoint next_try;
  // Position among the dispatcher's events at which the start or the stop was
  // answered. Replies to syncs sent earlier do not reflect it.
  uint64_t confirmed_event = 0;
  bool stop_confirmed = false;
  TimePoint started_at;
  TimePoint saved_at;  // When the checkpoint last changed, or the start.
  RunProgress progress;

  // Whether its start was ordered and has not been confirmed.
  bool IsUnanswered() const { return ordered && started_at == TimePoint(); }
  // When its start was ordered or confirmed.
  TimePoint OrderedAt() const {
    return started_at == TimePoint() ? phase_since : started_at;
  }
};

// What the crash of a worker says of a task that it ran.
enum class CrashEvidence {
  kNone,    // The task has nothing to do with it.
  kWeak,    // The task had run for a while, or may not have been started.
  kStrong,  // The worker was not heard again after it had started the task.
};

// A run that was lost with its worker.
struct LostRun {
  // What a crash says of the task.
  CrashEvidence evidence = CrashEvidence::kNone;
  // The worker has crashed. Otherwise it may only have been out of reach.
  bool has_crashed = false;
  // Of the worker's process that held the run; 0 if unknown.
  int64_t incarnation_start_wall_ms = 0;
};

// A loss that counts once the worker turns out to have crashed.
struct UnclearLoss {
  WorkerId worker;
  int64_t incarnation_start_wall_ms = 0;  // Of the process that held the run.
  CrashEvidence evidence = CrashEvidence::kNone;
  TimePoint noted_at;  // By this leader.
};

// A task with so many points starts only where nothing else has just started,
// so that a further crash tells who is at fault.
inline constexpr int kSuspectCrashPoints = 2;

struct TaskProgress {
  bool is_suspect() const { return crash_points >= kSuspectCrashPoints; }

  bool done = false;
  Attempt attempt;  // Highest that was recorded.
  int failures = 0;
  // Points for workers that have crashed under it.
  int crash_points = 0;
  // Of workers that have not been heard since; they give no points yet.
  std::vector<UnclearLoss> unclear_losses;
  std::string checkpoint;
  std::optional<Run> run;
  std::set<WorkerId> failed_on;
};

struct StepProgress {
  std::vector<TaskProgress> tasks;
  Attempt failed_attempt;  // Of a gang, the last that was counted as failed.
  TimePoint retry_at;      // Earliest time of the next start.
  TimePoint ready_since;   // All dependencies are done.
  // Workers reserved for waiting tasks while their runs are stopped, one per
  // task; of a gang, for all tasks or for none.
  std::vector<WorkerId> reserved;
  TimePoint reserved_until;
  // Runs on reserved workers that are expected to end by themselves. They are
  // stopped if they go on after `await_until`.
  struct AwaitedRun {
    TaskId id;  // Of a run, or of a step when it is a gang.
    Attempt attempt;
  };
  std::vector<AwaitedRun> awaited;
  TimePoint await_until;
  TimePoint reclaim_at;  // Earliest time of the next reclaim.
  int preemptions = 0;   // In a row, up to the last one.
  TimePoint preempted_at;
  TimePoint restart_at;        // Not before, unless workers stand idle.
  TimePoint next_speed_check;  // Of a gang, at the progress of its members.
  TimePoint avoiding_since;    // It waits although avoided workers have room.
  TimePoint crashed_at;        // A worker crashed under one of its tasks.
  TimePoint next_wait_log;     // Earliest time of the next line on its wait.
  // Since when it has stood still beside idle workers; unset while it does not.
  TimePoint standing_since;
  TimePoint idle_room_at;    // When there last was such room.
  TimePoint next_stand_log;  // Earliest time of the next line on this.
};

struct OccurrenceProgress {
  int64_t due_wall_ms = 0;  // 0: at once.
  std::vector<StepProgress> steps;
};

// The part of a state row that the job frontend uses.
struct StateSummary {
  WorkspaceId workspace;
  JobPhase phase = JobPhase::kQueued;
  bool over = false;  // In a final phase, without runs.
};

std::optional<StateSummary> DecodeStateSummary(const std::string& value);

class Job {
 public:
  // `age` is the time since the job was accepted.
  Job(JobRecord record, TimePoint now, Duration age);

  const JobRecord& record() const { return record_; }
  const StepSpec& spec(int step) const {
    return record_.spec.steps[static_cast<size_t>(step)];
  }
  std::vector<OccurrenceProgress>& occurrences() { return occurrences_; }
  const std::vector<OccurrenceProgress>& occurrences() const {
    return occurrences_;
  }
  TimePoint accepted_at() const { return accepted_at_; }

  // Null when the job has no such task.
  TaskProgress* Find(const TaskId& task);
  const TaskProgress* Find(const TaskId& task) const;
  StepProgress* FindStep(const TaskId& task);
  void ForEachTask(const std::function<void(const TaskId&,
                                            const TaskProgress&)>& visit) const;

  // Whether all steps that `step` depends on are done.
  bool DependenciesDone(const OccurrenceProgress& occurrence, int step) const;
  // When the current run of the task started to work. A gang works from the
  // last start among its members. TimePoint::max() while not yet started.
  TimePoint WorkStartTime(const TaskId& task) const;
  static bool IsDone(const StepProgress& step);
  static bool HasRuns(const StepProgress& step);
  // Whether it has a run whose start is more than an order without an answer.
  static bool HasStartedRuns(const StepProgress& step);

  // Applies the end of a run. False when it changes nothing, as for an end
  // that was applied before. A task that is done stays done.
  bool ApplyEnd(const TaskId& task,
                Attempt attempt,
                EndReason reason,
                const std::string& checkpoint,
                const WorkerId& worker);
  // The run is known to be gone without an end. False when there is none. A
  // task under which workers crash again and again fails its job.
  bool ApplyLoss(const TaskId& task,
                 Attempt attempt,
                 const LostRun& loss = {},
                 TimePoint now = {});
  // Whether a task that may be at fault must wait: it would have failed its job
  // if all its unclear losses were crashes.
  static bool AwaitsUnclearLosses(const TaskProgress& task);
  // Settles the unclear losses that `is_settled` selects: those with
  // `has_crashed` give points. Returns the evidence that was added, kNone also
  // when nothing crashed; nullopt when none was selected.
  std::optional<CrashEvidence> SettleLosses(
      const TaskId& task,
      bool has_crashed,
      const std::function<bool(const UnclearLoss&)>& is_settled);
  void SaveCheckpoint(const TaskId& task,
                      const std::string& checkpoint,
                      TimePoint now);

  // No effect on a job that is final.
  void Cancel();
  // Complete, failed or cancelled: no task may start.
  bool IsFinal() const;
  JobPhase phase() const;
  // Whether a worker has told that it started any task.
  bool has_begun() const { return begun_; }
  void set_begun() { begun_ = true; }
  // Whether it has runs of a former leader of which no worker has told yet.
  bool HasRecoveredRuns() const;
  bool HasAnyRun() const;

  // The highest attempt of any task; above 1 when something was started again.
  Attempt HighestAttempt() const;
  // The next attempt number of a step's tasks; gangs share one.
  static Attempt NextAttempt(const StepProgress& step);

  // Longest chain of estimated run times through the steps. Steps of no gang
  // that are wider than `cap` allows run in waves.
  Duration ChainEstimate(const Resources& cap = {}) const;
  // When the job has to be complete to count as on time.
  TimePoint Objective(const Resources& cap = {}) const;

  std::string EncodeState() const;
  // Takes over the progress of a state row. False when it cannot be read.
  bool RestoreState(const std::string& value, TimePoint now);

  // Grows with each change that must be in the store.
  uint64_t revision = 0;
  uint64_t committed_revision = 0;
  RowVersion row_version;
  TimePoint loaded_at;        // By this leader.
  TimePoint first_placed_at;  // By this leader; unset if by a former one.
  TimePoint final_since;

 private:
  // nullopt while the job goes on.
  std::optional<JobPhase> FindFinalPhase() const;
  bool HasFailed() const;
  // The process of each worker that runs tasks of the job with at least so many
  // crash points, if all their unclear losses were crashes.
  nlohmann::json EncodeProcesses(int least_crash_points) const;
  void RestoreProcesses(const nlohmann::json& processes);
  // The last attempt that counted as failed, of each gang that has one.
  nlohmann::json EncodeFailedAttempts() const;
  bool RestoreFailedAttempts(const nlohmann::json& rows);
  // Keeps the present phase if it is final.
  void KeepFinalPhase();

  JobRecord record_;
  std::vector<OccurrenceProgress> occurrences_;
  TimePoint accepted_at_;
  bool begun_ = false;
  // Set once and never changed by later ends of runs, since callers may
  // already have read it.
  std::optional<JobPhase> final_phase_;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_JOB_STATE_H_
