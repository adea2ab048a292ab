// The leader's work: takes accepted jobs, starts their tasks on workers, keeps
// leases alive, takes note of ends, and recovers what a former leader left.
//
// A run is in the store before its start order is sent, and an end before the
// worker may forget it. So a new leader knows from the rows where each task may
// be, and from the workers what became of it.

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
#include "servers/batch/job_state.h"
#include "servers/batch/load_report.h"
#include "servers/batch/placement.h"
#include "servers/batch/site_view.h"
#include "servers/batch/state_writer.h"
#include "servers/batch/table_follower.h"
#include "servers/batch/worker_port.h"
#include "servers/batch/worker_registry.h"
#include "servers/batch/worker_speeds.h"

namespace quetzalshelf::batch {

class Dispatcher {
 public:
  // Another leader has taken over, for the reason given.
  using DeposedHandler = std::function<void(const std::string&)>;

  Dispatcher(VersionedStore& store,
             WorkerPort& workers,
             const Clock& clock,
             const SiteView& site,
             MetricsRegistry& metrics,
             FencingToken fencing_token,
             DeposedHandler on_deposed,
             StateWriter::HeartbeatSource heartbeat,
             uint64_t seed);
  ~Dispatcher();

  // Call about every 40 ms; what cannot wait is done as events come in.
  void Tick(TimePoint now);

  // The list of workers as the platform has it.
  void OnWorkers(const std::vector<WorkerEntry>& entries, TimePoint now);
  void OnWorker(const WorkerEntry& entry, TimePoint now);
  void OnWorkerUnlisted(const WorkerId& id);
  // The list was current at `time` or later.
  void ConfirmWorkers(TimePoint time) { workers_confirmed_at_ = time; }

  // Starts nothing further but goes on renewing leases, until a successor
  // gives orders.
  void Retire() { retired_ = true; }

  LoadReport Report() const;

 private:
  struct PlacementUnit;  // A gang, or the waiting tasks of a step.
  struct PassState;

  // dispatcher.cc: rows.
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
  // Whether all rows were read that tell what a former leader left.
  bool HasLoadedJobs() const;
  // Sends what recent events have made due.
  void Pump(TimePoint now);
  bool MayStart(TimePoint now) const;
  Duration PassSpacing();
  void Depose(const std::string& reason);
  Job* FindJob(const JobId& id);
  void RetireFinishedJobs();
  void ForgetOldJobs(TimePoint now);
  void DeleteRows(const JobId& id, RowVersion state_version);

  // dispatcher_orders.cc: orders to workers.
  void TickRuns(TimePoint now);
  void TickRun(Job& job, const TaskId& id, TaskProgress& task, TimePoint now);
  void SendStart(Job& job, const TaskId& id, Run& run, TimePoint now);
  void OnStartReply(const TaskId& id,
                    Attempt attempt,
                    const WorkerId& worker_id,
                    const absl::StatusOr<OrderReply>& reply);
  void SendStop(const TaskId& id, Run& run, TimePoint now);
  void OnStopReply(const TaskId& id,
                   Attempt attempt,
                   const WorkerId& worker_id,
                   const absl::StatusOr<OrderReply>& reply);
  // The worker has confirmed the start.
  void MarkRunning(const Job& job, const TaskId& id, Run& run, TimePoint now);
  void RequestStop(Job& job,
                   const TaskId& id,
                   TaskProgress& task,
                   TimePoint now);
  // Stops the run of a task, and with it the rest of a gang.
  void StopRun(Job& job, const TaskId& id, TimePoint now, const char* why);
  // Stops all runs of the step that `id` names.
  void StopStep(Job& job, const TaskId& id, TimePoint now, const char* why);
  // Stops all runs of steps that are not done.
  void StopUnfinished(Job& job, TimePoint now, const char* why);
  void MarkRunLost(Job& job,
                   const TaskId& id,
                   Attempt attempt,
                   const char* why);
  Run* FindRun(const TaskId& id, Attempt attempt, const WorkerId& worker);

  // dispatcher_sync.cc: what workers list.
  void TickWorker(Worker& worker, TimePoint now);
  void SendSync(Worker& worker, TimePoint now);
  void OnSyncReply(const WorkerId& id,
                   uint64_t sent_event,
                   const absl::StatusOr<SyncReply>& reply);
  void ApplyEnds(Worker& worker, const SyncReply& reply, TimePoint now);
  // Tells operators how long a gang ran, and on how slow workers.
  void LogGangCompletion(Job& job, const TaskId& id, TimePoint now) const;
  // Starts a task again elsewhere whose progress stands still.
  void CheckStall(Job& job,
                  const TaskId& id,
                  const Run& run,
                  Worker& worker,
                  TimePoint now);
  // Compares the progress of the members of a gang.
  void UpdateWorkerSpeeds(Job& job, const TaskId& id, TimePoint now);
  void RecordFailure(Worker& worker,
                     const TaskId& task,
                     TimePoint started,
                     TimePoint now);
  void ApplyRuns(Worker& worker,
                 const SyncReply& reply,
                 uint64_t sent_event,
                 TimePoint now);
  static bool NeverStarted(const Job& job, const Worker& worker);
  // Sends the start of a recovered run again, in the same attempt.
  void ResendStart(const TaskId& id, Run& run, TimePoint now);
  void StopUnassignedRun(const Worker& worker, const ListedRun& listed);

  // dispatcher_pass.cc: what to start.
  void RunPass(TimePoint now);
  void ComputeUsage(PassState& pass);
  std::set<JobId> GuaranteedJobs() const;
  std::vector<PlacementUnit> CollectUnits(const PassState& pass);
  std::vector<Candidate>& CandidatesOf(const ServiceName& service,
                                       PassState& pass);
  // Whether the unit may hold workers until there is room for all of it.
  bool MayReserve(const PlacementUnit& unit, const PassState& pass) const;
  void CollectVictims(PassState& pass, const ServiceName& service);
  // Whether the unit can start later and still be on time.
  bool CanDefer(const PlacementUnit& unit, TimePoint now) const;
  // Gives the run of a gang member, which its worker refused, to another
  // worker. False when there is no room for it or the gang is being stopped.
  bool MoveGangMember(Job& job, const TaskId& id, TimePoint now);
  void StartUnit(PlacementUnit& unit, PassState& pass);
  // Places a gang; while several workers fail what they start, on workers that
  // have proved sound since.
  std::optional<Placement> PlaceGangOnHealthyWorkers(const PlacementUnit& unit,
                                                     const Demand& demand,
                                                     bool allow_spread,
                                                     PassState& pass);
  bool TryStartReserved(PlacementUnit& unit, PassState& pass);
  bool TryReclaim(PlacementUnit& unit, const Demand& demand, PassState& pass);
  void Assign(PlacementUnit& unit, const Placement& placement, PassState& pass);

  VersionedStore& store_;
  WorkerPort& port_;
  const Clock& clock_;
  const SiteView& site_;
  FencingToken fencing_token_;
  DeposedHandler on_deposed_;

  // A job that is over, with its state in the store and without runs.
  struct FinishedJob {
    TimePoint since;
    RowVersion state_version;
  };

  std::map<JobId, std::unique_ptr<Job>> jobs_;
  std::set<JobId> live_;  // Not final, or with runs.
  std::map<JobId, FinishedJob> finished_;
  std::set<JobId> cancelled_;
  std::map<JobId, StoreRow> restored_;
  WorkerRegistry registry_;
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
  // Orders syncs and confirmations within one tick of the clock.
  uint64_t last_event_ = 0;
  std::set<TaskId> due_runs_;           // Their next order is due.
  std::set<WorkerId> due_workers_;      // To be synced.
  std::set<WorkerId> awaiting_record_;  // With ends that wait for the store.
  bool pass_due_ = true;
  TimePoint last_pass_;
  TimePoint next_cleanup_;
  TimePoint workers_confirmed_at_;

  Counter& starts_;
  Counter& ends_;
  Counter& failures_;
  Counter& losses_;
  Counter& reclaims_;
  Distribution& start_delay_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_DISPATCHER_H_
