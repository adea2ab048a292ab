// The decision core with guarantees as shapes, reservations, checkpointing
// preemption and probation. docs/SCHEDULING.md explains its rules.

#ifndef SERVERS_SCHEDULING_SHAPE_SCHEDULER_H_
#define SERVERS_SCHEDULING_SHAPE_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "servers/scheduling/charts.h"
#include "servers/scheduling/cluster_ledger.h"
#include "servers/scheduling/fair_queue.h"
#include "servers/scheduling/gang_scheduler.h"
#include "servers/scheduling/job_record.h"
#include "servers/scheduling/policy.h"
#include "servers/scheduling/probation.h"
#include "servers/scheduling/run_time_model.h"
#include "servers/scheduling/victim_selector.h"

namespace quetzalshelf::scheduling {

class ShapeScheduler : public GangScheduler {
 public:
  explicit ShapeScheduler(const Policy& policy = Policy());

  Commands SetWorkspaces(const std::vector<Workspace>& workspaces,
                         TimePoint now) override;
  Commands AddWorker(const Worker& worker, TimePoint now) override;
  Commands WorkerLost(const WorkerId& worker, TimePoint now) override;
  Commands SetDomainInService(const DomainId& domain,
                              bool in_service,
                              TimePoint now) override;

  Commands Submit(const Job& job, TimePoint now) override;
  Commands Cancel(const JobId& job, TimePoint now) override;
  Commands Adopt(const Job& job,
                 const StartGang& running,
                 Duration checkpointed,
                 TimePoint now) override;

  Commands GangStarted(const JobId& job,
                       Attempt attempt,
                       TimePoint now) override;
  Commands StartFailed(const JobId& job,
                       Attempt attempt,
                       const WorkerId& refused_by,
                       TimePoint now) override;
  Commands GangFinished(const JobId& job,
                        Attempt attempt,
                        TimePoint now) override;
  Commands TaskFailed(const JobId& job,
                      Attempt attempt,
                      const WorkerId& worker,
                      TimePoint now) override;
  Commands CheckpointSaved(const JobId& job,
                           Attempt attempt,
                           Duration progress,
                           TimePoint now) override;
  Commands GangStopped(const JobId& job,
                       Attempt attempt,
                       TimePoint now) override;
  Commands UsageReported(const JobId& job,
                         Attempt attempt,
                         Accelerators used,
                         TimePoint now) override;
  Commands Tick(TimePoint now) override;

  JobExplanation Explain(const JobId& job, TimePoint now) const override;
  std::vector<UnsatisfiedGuarantee> UnsatisfiedGuarantees() const override;

 private:
  using Timers = std::set<std::pair<TimePoint, JobRecord*>>;
  // A set of gangs to stop and the work that is lost with them.
  struct Plan {
    std::vector<JobRecord*> victims;
    double lost_work = 0;
  };
  // Shapes that found no place in the present pass.
  // Gangs of the workspace itself that a search for slices may displace.
  enum class Displaceable { kNone, kNotUrgent, kAll };
  enum class Search { kGuaranteeSlices, kFreeCapacity, kReclaimableCapacity };
  struct FailedShape {
    Search search = Search::kFreeCapacity;
    WorkspaceId workspace;  // For kGuaranteeSlices only.
    Shape shape;
  };

  // Jobs (shape_scheduler.cc).
  JobRecord* FindJob(const JobId& id) const;
  JobRecord* FindAttempt(const JobId& id, Attempt attempt) const;
  void RebuildGuarantees();
  std::optional<RefuseJob> CheckSubmission(const Job& job) const;
  std::optional<RefuseJob> CheckPlaceable(const Job& job) const;
  JobRecord& AddRecord(const Job& job, TimePoint now);
  void Enqueue(JobRecord& job, TimePoint now);
  void Dequeue(JobRecord& job);
  void EndAttempt(JobRecord& job, JobEvent event, TimePoint now);
  void End(JobRecord& job);
  bool Fire(JobRecord& job, JobEvent event);
  bool Fire(JobRecord& job, GangEvent event);
  void RequestStop(JobRecord& job,
                   StopReason reason,
                   Duration grace,
                   TimePoint now);
  void StopNow(JobRecord& job, StopReason reason);
  void BackOff(JobRecord& job, int failures, TimePoint now);
  Commands TakeCommands();

  // Workers and domains (shape_scheduler_workers.cc).
  void HandleGangsOnLostWorker(WorkerIndex worker, TimePoint now);
  void DrainDomain(GroupIndex domain, TimePoint now);
  void PutOnProbation(WorkerIndex worker, TimePoint now);
  void EndProbation(WorkerIndex worker);
  void RecordTaskFailure(JobRecord& job, WorkerIndex worker, TimePoint now);
  void RecordSuccess(JobRecord& job);
  void RunProbes(TimePoint now);
  bool TryProbe(WorkerIndex worker, TimePoint now);
  void UpdateDomains(TimePoint now);
  void Replan(TimePoint now);

  // Placement (shape_scheduler_pass.cc).
  void RunPass(TimePoint now);
  bool TryJob(JobRecord& job, TimePoint now);
  bool TryGuaranteed(JobRecord& job, TimePoint now);
  bool TryFree(JobRecord& job, TimePoint now);
  bool TryWithReservation(JobRecord& job, TimePoint now);
  bool TryPreemptBorrowers(JobRecord& job, TimePoint now);
  bool TryPreemption(JobRecord& job, TimePoint now);
  bool IsEntitledOutsideBlocks(const JobRecord& job) const;
  void SetOutsideBlocks(JobRecord& job, bool outside_blocks);
  bool IsOverQuota(const JobRecord& job) const;
  std::optional<GuaranteeLedger::Placement> FindHomes(
      const JobRecord& job,
      Displaceable displaceable) const;
  static bool CanDisplace(const JobRecord& other,
                          const JobRecord& job,
                          Displaceable displaceable);
  bool TryDisplace(JobRecord& job, TimePoint now);
  bool DisplaceGangs(const JobRecord& job,
                     const GuaranteeCharges& uses,
                     Displaceable displaceable,
                     TimePoint now);
  std::optional<Slots> FindFree(const JobRecord& job) const;
  bool HasFailed(const JobRecord& job, Search search) const;
  void RememberFailure(const JobRecord& job, Search search);
  // Charged when `uses` is not empty.
  void Start(JobRecord& job, Slots slots, GuaranteeCharges uses, TimePoint now);
  void UpdatePin(JobRecord& job, TimePoint now);
  void UpdateSharePenalties();

  // Holds and reservations (shape_scheduler_holds.cc).
  void PlaceHold(JobRecord& job,
                 HoldKind kind,
                 Slots slots,
                 GuaranteeCharges uses,
                 TimePoint now);
  void DropHold(JobRecord& job);
  void DropInvalidUrgentHolds();
  void AdvanceHolds(TimePoint now);
  bool AdvanceHold(JobRecord& job, TimePoint now);
  bool IsHoldValid(const JobRecord& job) const;
  bool CanStartHold(const JobRecord& job) const;
  bool HasUsedItsTurn(const JobRecord& gang,
                      const JobRecord& job,
                      TimePoint now) const;
  bool PreemptForHold(JobRecord& job, TimePoint now);
  std::vector<Amount> DeficitsOf(const JobRecord& job,
                                 const Slots& slots,
                                 HoldKind kind,
                                 bool is_held) const;
  static VictimCandidate MakeCandidate(const JobRecord& job, TimePoint now);
  std::optional<Plan> PlanVictims(const JobRecord& job,
                                  const std::vector<Amount>& deficits,
                                  HoldKind kind,
                                  TimePoint now) const;
  std::optional<Slots> FindCheapest(const JobRecord& job,
                                    HoldKind kind,
                                    TimePoint now) const;
  Duration GraceFor(const JobRecord& job) const;
  void UpdateReservation(TimePoint now);

  // Explanations (shape_scheduler_explain.cc).
  JobExplanation ExplainWaiting(const JobRecord& job, TimePoint now) const;
  std::string ExplainHold(const JobRecord& job, TimePoint now) const;

  // Timers (shape_scheduler.cc).
  void RunStopTimers(TimePoint now);
  void RunCheckpoints(TimePoint now);
  void ExpireProtections(TimePoint now);
  void ScheduleCheckpoint(JobRecord& job, TimePoint now);

  const Charts charts_;
  const Policy policy_;
  ClusterLedger ledger_;
  Probation probation_;
  RunTimeModel run_times_;
  FairQueue queue_;
  std::map<WorkspaceId, Workspace> workspaces_;
  std::unordered_map<JobId, std::unique_ptr<JobRecord>> jobs_;
  std::deque<JobId> ended_;
  std::vector<JobRecord*>
      jobs_with_hold_;  // Jobs with a hold, oldest hold first.
  Timers stop_timers_;
  Timers checkpoint_timers_;
  Timers protection_timers_;
  std::vector<FailedShape> failed_shapes_;
  std::vector<Shape> waiting_shapes_;  // Of the first jobs in the last pass.
  Commands pending_commands_;
  uint64_t next_sequence_ = 1;
  // Used by gangs that started elsewhere because their homes were fragmented.
  std::map<WorkspaceId, Accelerators> used_outside_blocks_;
  bool capacity_freed_ = false;  // Capacity became free since the last pass.
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_SHAPE_SCHEDULER_H_
