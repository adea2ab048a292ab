// Runs jobs on the leader: loads accepted jobs, starts their tasks on workers,
// renews leases, records the ends of runs, and recovers the runs of a former
// leader.
//
// A run is stored before its start order is sent, and its end is stored before
// the worker may forget it. A new leader therefore learns from the rows where
// each task may be running, and from the workers how it ended.

#ifndef SERVERS_BATCH_DISPATCHER_H_
#define SERVERS_BATCH_DISPATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/platform/versioned_store.h"
#include "core/time.h"
#include "servers/batch/contact_queue.h"
#include "servers/batch/job_state.h"
#include "servers/batch/lease_handover.h"
#include "servers/batch/load_report.h"
#include "servers/batch/planning/scheduling_pass.h"
#include "servers/batch/site_view.h"
#include "servers/batch/state_writer.h"
#include "servers/batch/table_follower.h"
#include "servers/batch/worker_port.h"
#include "servers/batch/worker_registry.h"
#include "servers/batch/worker_speeds.h"

namespace quetzalshelf::batch {

// Tasks start only while the list of workers, the evacuated failure domains and
// the jobs are no older than this: an older view may miss a worker or a domain
// that is leaving.
inline constexpr Duration kMaxViewAge{1'800};

struct DispatcherOptions {
  // Syncs that may wait for an end at the same time; each holds a connection.
  // Workers beyond it are synced without waiting, so that their orders always
  // find a free descriptor.
  int max_polls = 3'000;
  LeaseLimits lease_limits;
};

// What a leader knows of the site, for logs and the status page.
struct DispatcherStatus {
  bool states_read = false;
  bool jobs_read = false;
  bool workers_read = false;
  bool may_start = false;
  // Ages of the views; since the start of the dispatcher if nothing was read.
  Duration jobs_age{0};
  Duration workers_age{0};
  Duration config_age{0};
};

class Dispatcher {
 public:
  // Called with the reason when another leader has taken over.
  using DeposedHandler = std::function<void(const std::string&)>;

  Dispatcher(VersionedStore& store,
             WorkerPort& workers,
             const Clock& clock,
             const SiteView& site,
             MetricsRegistry& metrics,
             FencingToken fencing_token,
             DeposedHandler on_deposed,
             StateWriter::HeartbeatSource heartbeat,
             DispatcherOptions options,
             uint64_t seed);
  ~Dispatcher();

  // Called about every 40 ms; urgent work is done as events arrive.
  void Tick(TimePoint now);

  // Replaces the list of workers with the platform's current list.
  void OnWorkers(const std::vector<WorkerEntry>& entries, TimePoint now);
  void OnWorker(const WorkerEntry& entry, TimePoint now);
  void OnWorkerUnlisted(const WorkerId& id);
  // Records that the list of workers was current at `time` or later.
  void ConfirmWorkers(TimePoint time) { workers_confirmed_at_ = time; }

  // Records that this node still led at `time` or later.
  void ConfirmLeadership(TimePoint time) { leadership_confirmed_at_ = time; }

  // Stops starting tasks but keeps renewing leases until a successor gives
  // orders.
  void Retire() { retired_ = true; }
  // Whether tasks run, or have been ordered to start.
  bool HasRuns() const;
  // Hands over the leases of running tasks when the node leads no longer. Null
  // when none runs or the successor gives orders already.
  std::unique_ptr<LeaseHandover> HandOverLeases(TimePoint now) const;

  DispatcherStatus Status(TimePoint now) const;
  // As of the last pass; empty where no workspace has a cap or a weight.
  const std::map<WorkspaceId, WorkspaceUse>& workspaces() const {
    return workspaces_;
  }

  // nullopt until the jobs have been read, and while new ones cannot be.
  std::optional<LoadReport> Report(TimePoint now) const;
  // All jobs that were accepted before this time are known.
  TimePoint jobs_confirmed_at() const { return job_rows_->confirmed_at(); }

 private:
  class PassRecorder;

  // dispatcher.cc: job and state rows, workers.
  void OnStates(const std::vector<StoreRow>& rows);
  void OnJobs(const std::vector<StoreRow>& rows);
  void OnCancel(const JobId& id, TimePoint now);
  void AddJob(const StoreRow& row, TimePoint now);
  void CancelJob(Job& job, TimePoint now);
  void MarkChanged(Job& job, WriteUrgency urgency = WriteUrgency::kSoon);
  std::optional<StateRow> MakeStateRow(const JobId& id);
  void OnStateCommitted(const JobId& id, uint64_t revision, RowVersion version);
  void RecordEnds(Worker& worker);
  void UpdateWorker(const WorkerEntry& entry, TimePoint now);
  // Whether the jobs and states of a former leader have been read.
  bool HasLoadedJobs() const;
  // Schedules and sends the orders, syncs and writes that are due.
  void Pump(TimePoint now);
  // Whether this node leads with a view of the site, the workers and the jobs
  // that is recent enough to start tasks.
  bool MayStart(TimePoint now) const;
  // Logs when starts become possible, and what they lack meanwhile.
  void LogStartability(TimePoint now);
  // Longest lease that may be granted now; negative when none may.
  Duration MaxLease(TimePoint now) const;
  Duration PassSpacing();
  void Depose(const std::string& reason);
  // The fence of calls to this worker.
  Fence FenceOf(const Worker& worker) const;
  // A worker refused a call with this fence in favour of a higher one. Deposes
  // the leader, unless it has raised the fence itself since.
  void OnFencedByWorker(const Worker& worker, Fence fence);
  Job* FindJob(const JobId& id);
  void RetireFinishedJobs();
  void ForgetOldJobs(TimePoint now);
  void DeleteRows(const JobId& id, RowVersion state_version);
  void OnRowsDeleted(const JobId& id, bool deleted, TimePoint now);

  // dispatcher_orders.cc: start and stop orders to workers.
  void TickRuns(TimePoint now);
  void TickRun(Job& job, const TaskId& id, TaskProgress& task, TimePoint now);
  // Sends the start order of a stored run, first or again, if the run may start
  // now. Presumes that the view of the site is current.
  void TryStart(Job& job, const TaskId& id, Run& run, TimePoint now);
  // Whether the worker may still be given the task: since it was chosen, or
  // since a former leader chose it, it may have changed.
  bool MayStartOn(const Job& job, const TaskId& id, const Worker& worker) const;
  // Whether some worker holds a run of the task that is not assigned to it.
  bool IsHeldAsStray(const TaskId& id, TimePoint now) const;
  void SendStart(Job& job, const TaskId& id, Run& run, TimePoint now);
  void OnStartReply(const TaskId& id,
                    Attempt attempt,
                    const WorkerId& worker_id,
                    Fence fence,
                    const absl::StatusOr<OrderReply>& reply);
  // A call of this fence that granted the lease has ended with `status`;
  // `clock_ms` is the worker's clock in the answer, if there is one.
  void CloseLease(const WorkerId& id,
                  Fence fence,
                  const CallLease& lease,
                  const absl::Status& status,
                  std::optional<int64_t> clock_ms);
  void SendStop(const TaskId& id, Run& run, TimePoint now);
  void OnStopReply(const TaskId& id,
                   Attempt attempt,
                   const WorkerId& worker_id,
                   Fence fence,
                   const absl::StatusOr<OrderReply>& reply);
  // Marks a run as running once its worker has confirmed the start.
  void MarkRunning(Job& job, const TaskId& id, Run& run, TimePoint now);
  void RequestStop(Job& job,
                   const TaskId& id,
                   TaskProgress& task,
                   TimePoint now);
  // Stops the run of a task, or all runs of its step if it is a gang.
  void StopRun(Job& job, const TaskId& id, TimePoint now, const char* why);
  // Stops all runs of the step that `id` names.
  void StopStep(Job& job, const TaskId& id, TimePoint now, const char* why);
  // Stops all runs of steps that are not done.
  void StopUnfinished(Job& job, TimePoint now, const char* why);
  // Stops the runs of a task, or of its gang, that were started after
  // `attempt`, which has ended as done.
  void StopLaterAttempts(Job& job,
                         const TaskId& id,
                         Attempt attempt,
                         TimePoint now);
  // Stops the runs of a restored job that are no longer needed: all if it is
  // final, else those of tasks that are done.
  void StopObsoleteRuns(Job& job, TimePoint now);
  void MarkRunLost(Job& job,
                   const TaskId& id,
                   Attempt attempt,
                   const char* why);
  // Logs that a worker crashed under a task and isolates its next start.
  void RecordCrash(Job& job,
                   const TaskId& id,
                   const WorkerId& worker,
                   CrashEvidence evidence,
                   TimePoint now);
  Run* FindRun(const TaskId& id, Attempt attempt, const WorkerId& worker);

  // dispatcher_sync.cc: runs and ends that workers report.
  void TickWorker(Worker& worker, TimePoint now);
  // Syncs workers that have not answered yet, as many as the queue allows.
  void ContactWorkers(TimePoint now);
  void SendSync(Worker& worker, TimePoint now);
  // `series` is that of the sync's fence.
  void OnSyncReply(const WorkerId& id,
                   uint32_t series,
                   uint64_t sent_event,
                   const absl::StatusOr<SyncReply>& reply);
  void ApplyEnds(Worker& worker, const SyncReply& reply, TimePoint now);
  // Logs the run time of a completed gang and the slowness of its workers.
  void LogGangCompletion(Job& job, const TaskId& id, TimePoint now) const;
  // Stops tasks of a step whose progress has stalled, so that they restart on
  // another worker, unless waiting costs less. `id` was observed just now.
  void CheckStalls(Job& job, const TaskId& id, TimePoint now);
  // False when waiting costs less.
  bool StopStalledRun(Job& job,
                      const TaskId& id,
                      const Run& run,
                      TimePoint now);
  // Estimates the speeds of workers from the progress of a gang's members.
  void UpdateWorkerSpeeds(Job& job, const TaskId& id, TimePoint now);
  void RecordFailure(Worker& worker,
                     const TaskId& task,
                     TimePoint started,
                     TimePoint now);
  void ApplyRuns(Worker& worker,
                 const SyncReply& reply,
                 uint64_t sent_event,
                 TimePoint now);
  // Settles the unclear losses on a worker of which this process is known to be
  // alive: those under another process were crashes.
  void SettleLossesOf(const WorkerId& id,
                      int64_t incarnation_start_wall_ms,
                      TimePoint now);
  void SettleLosses(const WorkerId& id,
                    bool has_crashed,
                    TimePoint now,
                    const std::function<bool(const UnclearLoss&)>& is_settled);
  // Settles the losses on workers that have not been heard for long.
  void SettleOldLosses(TimePoint now);
  static bool NeverStarted(const Job& job, const Worker& worker);
  // Resends the start order of a recovered run in the same attempt.
  void ResendStart(const TaskId& id, Run& run, TimePoint now);
  void StopUnassignedRun(const Worker& worker, const ListedRun& listed);

  // dispatcher_pass.cc: scheduling passes.
  void RunPass(TimePoint now);
  // Moves the run of a gang member as SchedulingPass::MoveGangMember.
  bool MoveGangMember(Job& job, const TaskId& id, TimePoint now);
  PassInputs MakePassInputs(TimePoint now);
  void ApplyOutcome(const PassOutcome& outcome);

  VersionedStore& store_;
  WorkerPort& port_;
  const Clock& clock_;
  const SiteView& site_;
  FencingToken fencing_token_;
  DeposedHandler on_deposed_;
  DispatcherOptions options_;

  // A job in a final phase, with its state in the store and without runs.
  struct FinishedJob {
    TimePoint since;
    RowVersion state_version;
    bool deleting = false;  // A deletion of its rows is under way or done.
    std::optional<TimePoint> deleted_at;
  };

  std::map<JobId, std::unique_ptr<Job>> jobs_;
  std::set<JobId> live_;  // Not final, or with runs.
  std::map<JobId, FinishedJob> finished_;
  std::set<JobId> cancelled_;
  std::map<JobId, StoreRow> restored_;
  WorkerRegistry registry_;
  ContactQueue contacts_;
  FailureBurstDetector failure_bursts_;
  WorkerSpeeds speeds_;
  // Mean time between the request of a stop and the end of the run.
  Duration mean_stop_time_{400};
  StateWriter writer_;
  std::unique_ptr<TableFollower> states_;
  std::unique_ptr<TableFollower> job_rows_;
  bool states_read_ = false;
  std::vector<StoreRow> buffered_jobs_;  // Read before the states.
  bool workers_read_ = false;
  bool retired_ = false;
  bool deposed_ = false;
  bool fenced_by_worker_ = false;
  // Sequence number that orders syncs and confirmations within one clock tick.
  uint64_t last_event_ = 0;
  int polls_ = 0;                       // Syncs under way that may wait.
  std::set<TaskId> due_runs_;           // Tasks whose next order is due.
  std::set<WorkerId> due_workers_;      // Workers to sync.
  std::set<WorkerId> awaiting_record_;  // Workers with unrecorded ends.
  // Tasks with unclear losses on each worker.
  std::map<WorkerId, std::set<TaskId>> unclear_losses_;
  TimePoint missing_since_;  // The list of workers has been current since then.
  bool pass_due_ = true;
  // When the next task that waits for a stray or an open start may start.
  TimePoint strays_end_ = TimePoint::max();
  TimePoint last_pass_;
  std::map<WorkspaceId, WorkspaceUse> workspaces_;
  TimePoint next_cleanup_;
  const TimePoint began_;
  TimePoint blocked_since_;  // Starts are impossible since then.
  bool blocked_ = true;
  Duration blocked_warning_;  // After so long a time the next one is due.
  TimePoint workers_confirmed_at_;
  TimePoint leadership_confirmed_at_;

  MetricsRegistry& metrics_;
  Counter& starts_;
  Counter& ends_;
  Counter& failures_;
  Counter& losses_;
  Counter& crashes_;
  Counter& reclaims_;
  Counter& cap_reclaims_;
  Distribution& start_delay_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_DISPATCHER_H_
