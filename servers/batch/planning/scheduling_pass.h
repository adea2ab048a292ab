// One scheduling pass: chooses the tasks to start, their workers, and the runs
// to stop for urgent work. Works on the jobs and workers as they are known at
// one time, without the store, the network or a clock.

#ifndef SERVERS_BATCH_PLANNING_SCHEDULING_PASS_H_
#define SERVERS_BATCH_PLANNING_SCHEDULING_PASS_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "core/time.h"
#include "servers/batch/job_state.h"
#include "servers/batch/placement.h"
#include "servers/batch/planning/cap_ledger.h"
#include "servers/batch/planning/fair_shares.h"
#include "servers/batch/site_view.h"
#include "servers/batch/victims.h"
#include "servers/batch/worker_health.h"
#include "servers/batch/worker_registry.h"
#include "servers/batch/worker_speeds.h"

namespace quetzalshelf::batch {

// What a pass decides by.
struct PassInputs {
  TimePoint now;
  int64_t wall_ms = 0;  // The time of day.
  std::vector<Job*>
      jobs;  // Not final, or with runs; in the order of their ids.
  WorkerRegistry& registry;
  const SiteView& site;  // Has a configuration.
  const WorkerSpeeds& speeds;
  const FailureBurstDetector& failure_bursts;
  // Mean time between the request of a stop and the end of the run.
  Duration mean_stop_time{0};
  // Also finds jobs that are final; null for unknown ones.
  std::function<const Job*(const JobId&)> find_job;
};

// Carries out what a pass decides, while it goes on.
class PassActions {
 public:
  virtual ~PassActions() = default;
  // Tasks of the job were assigned to workers.
  virtual void RecordAssignment(Job& job) = 0;
  // Stops the run of a task, or all runs of its step if it is a gang.
  virtual void StopRun(Job& job, const TaskId& id, const char* why) = 0;
};

// Use of one workspace at the begin of a pass.
struct WorkspaceUse {
  Resources used;  // By runs and reservations, as an upper bound.
  Resources cap;
  double weight = 0;
  double share = 0;        // Greatest of any resource, from 0 to 1.
  double due_share = 0;    // By its weight; 0 without weights.
  int waiting_at_cap = 0;  // Steps.
};

struct PassOutcome {
  bool repeat = false;  // Some decision depends on the time that passes.
  // When the next task that waits for a stray or an open start may start.
  TimePoint strays_end = TimePoint::max();
  int reclaims = 0;  // Steps for which runs are stopped.
  // Steps for which other runs of their workspace are stopped.
  int cap_reclaims = 0;
  // Steps that stand still beside idle workers, by the reason for which they
  // wait. Each counts once a second.
  std::map<std::string, int> standing;
  // Of workspaces with a cap or a weight; empty if none has one.
  std::map<WorkspaceId, WorkspaceUse> workspaces;
};

class SchedulingPass {
 public:
  SchedulingPass(const PassInputs& inputs, PassActions& actions);

  PassOutcome Decide();
  // Moves the run of a gang member that its worker refused to another worker.
  // False when no worker has capacity or the gang is being stopped.
  bool MoveGangMember(Job& job, const TaskId& id);

 private:
  // Waiting tasks that are placed together: a gang, or the tasks of a step.
  struct PlacementUnit {
    Job* job = nullptr;
    TaskId id;  // The index is not used.
    StepProgress* step = nullptr;
    const StepSpec* spec = nullptr;
    bool guaranteed = false;
    bool late = false;  // Can no longer meet its objective.
    TimePoint objective;
    std::vector<int> waiting;  // Indexes of the tasks to place.
    bool suspect = false;      // Workers have crashed under them.
    // Its workspace uses its share or more, so that others go first.
    bool postponed = false;

    auto Rank() const {
      return std::tuple(job->record().priority, !guaranteed, late, objective,
                        id);
    }
  };
  // A step that is not placed in this pass, whatever room there is.
  struct BlockedUnit {
    PlacementUnit unit;
    const char* why;
  };
  // The workers of one service that could start tasks. What is free on them
  // shrinks as units are placed.
  struct ServicePool {
    std::vector<Candidate> candidates;  // May be given tasks.
    std::vector<Candidate> set_aside;   // On probation.
    // In cores, as weighed by WeighCores(). Reservations count as idle.
    double capacity = 0;
    double idle = 0;
  };
  // What makes units equally urgent.
  using Urgency = std::pair<int, bool>;
  static Urgency UrgencyOf(const PlacementUnit& unit) {
    return {unit.job->record().priority, !unit.guaranteed};
  }
  struct Victim {
    Job* job = nullptr;
    TaskId id;  // Of a run, or of a step when it is a gang.
    int priority = 0;
    bool guaranteed = false;
    Duration time_left{0};  // Until all its runs end by themselves.
  };
  // The runs of one service. Members of groups are indexes into the candidates
  // of the same service.
  struct ServiceVictims {
    std::vector<VictimGroup> groups;
    std::vector<Victim> victims;  // One per group.
  };

  // scheduling_pass.cc: what waits, and where it is placed.
  // Null for a job that is final and has no runs.
  Job* FindJob(const JobId& id) const;
  void ComputeUsage();
  // Counts a run that a worker holds, or may come to hold, though it is not
  // assigned to it.
  void ChargeStray(const WorkerId& worker, const TaskId& id);
  void ReportWorkspaces(const std::vector<PlacementUnit>& units);
  // Tries all units: by urgency, and among the equally urgent first those of
  // workspaces that use less than their share.
  void StartUnits(std::vector<PlacementUnit>& units);
  bool IsPostponed(const PlacementUnit& unit) const;
  // Tries units that are equally urgent, always one of the workspace that uses
  // least of its share.
  void StartPostponed(const std::vector<PlacementUnit*>& units);
  // Starts the unit or logs why it waits. Whether it has started.
  bool TryUnit(PlacementUnit& unit);
  std::set<JobId> GuaranteedJobs() const;
  std::vector<PlacementUnit> CollectUnits();
  ServicePool& PoolOf(const ServiceName& service);
  std::vector<Candidate>& CandidatesOf(const ServiceName& service) {
    return PoolOf(service).candidates;
  }
  // Whether runs use less than half of the service and leave room for the step
  // twice over, for a whole gang or for one task of others, and the cap of its
  // workspace lets it start.
  bool HasIdleRoom(const PlacementUnit& unit);
  // Logs and counts a step that has stood still beside idle workers for long.
  void ObserveWait(const PlacementUnit& unit, const char* why);
  // For how long the step has stood still beside idle workers; zero if it does
  // not. All reasons to wait share this time.
  Duration StandTime(const PlacementUnit& unit);
  // Whether the step has stood for so long that no preference may hold it back.
  bool HasOutwaitedRoom(const PlacementUnit& unit);
  // Whether a step has waited for long although the workers that `preferred`
  // avoids have room for it.
  bool HasOutwaitedAvoidance(StepProgress& step,
                             const std::vector<Candidate>& candidates,
                             const Demand& demand,
                             const Demand& preferred);
  // Restricts the demand of a suspect unit so that a crash is told from those
  // of others, and takes little work with it.
  void Isolate(const PlacementUnit& unit,
               const std::vector<Candidate>& candidates,
               Demand& demand);
  // Whether the unit can be deferred and still meet its objective.
  bool CanDefer(const PlacementUnit& unit) const;
  // The workers that the unit may use when no preference counts any more.
  std::vector<Candidate*> AllWorkersFor(const ServiceName& service);
  // Starts a gang, or one task of others, wherever there is room: also spread
  // over racks, on workers with failures, and on those that gangs keep idle.
  // The first of `demands` with room counts; the last one has no preferences.
  bool StartAnywhere(PlacementUnit& unit, std::vector<Demand> demands);
  // Starts the unit if it can. Returns why it waits, null when it does not.
  const char* StartUnit(PlacementUnit& unit);
  // Logs the wait of an urgent unit at a bounded rate.
  void LogWait(const PlacementUnit& unit, const char* why) const;
  // Places a gang. During a failure burst it prefers workers on which a run
  // that started since the beginning of the burst has succeeded.
  std::optional<Placement> PlaceGangOnHealthyWorkers(const PlacementUnit& unit,
                                                     const Demand& demand,
                                                     bool allow_spread,
                                                     bool outwaited);
  // Places the first waiting tasks of the unit, which then wait no longer.
  void Assign(PlacementUnit& unit, const std::vector<Candidate*>& workers);
  // The same on the candidates of its service.
  void Assign(PlacementUnit& unit, const Placement& placement);

  // workspace_limits.cc: caps of workspaces.
  const WorkspaceConfig* WorkspaceOf(const Job& job) const;
  // Reduces the demand to what the workspace may start now. Returns why it may
  // start nothing, null if it may.
  const char* LimitToCap(const PlacementUnit& unit,
                         Demand& demand,
                         bool outwaited);
  // Stops runs of the workspace of the unit that are less urgent, so that
  // `amount` may start. Returns why it does not, null when it does.
  const char* MakeRoomUnderCap(const PlacementUnit& unit,
                               const Resources& amount);
  // Counts runs as about to end: that of a task, or those of a gang.
  void ExpectEnds(Job& job, const TaskId& id);

  // reservations.cc: workers that are kept for waiting tasks, and the runs that
  // are stopped for them.
  // Whether the unit may stop such runs.
  static bool MayStop(const PlacementUnit& unit,
                      int priority,
                      bool guaranteed) {
    const int own = unit.job->record().priority;
    return own == 0 && (priority > own ||
                        (unit.guaranteed && priority == own && !guaranteed));
  }
  // Whether the unit may reserve workers until all its tasks fit.
  bool MayReserve(const PlacementUnit& unit) const;
  // Keeps room for a task of the unit on the worker, or no longer.
  void Reserve(const PlacementUnit& unit, Candidate& candidate);
  static void Unreserve(const PlacementUnit& unit, Candidate& candidate);
  // Starts the gang on the workers reserved for it. False when its reservation
  // is over; one that has `outwaited` room elsewhere does not wait for it.
  bool TryStartReserved(PlacementUnit& unit, bool outwaited);
  // Starts tasks of no gang on the reserved workers that have room by now.
  void StartReservedTasks(PlacementUnit& unit, bool outwaited);
  void CollectVictims(const ServiceName& service);
  // Stops the runs that a reservation has awaited for long enough.
  void StopOverrunning(StepProgress& step);
  // Stops a run, or a gang, for urgent work.
  void Preempt(Job& job, const TaskId& id);
  // Reserves workers for the unit and stops what runs there. Returns why it
  // does not, null when it does.
  const char* TryReclaim(PlacementUnit& unit, const Demand& demand);

  const PassInputs& inputs_;
  PassActions& actions_;
  const TimePoint now_;
  PassOutcome outcome_;
  // Some workspace has a cap or a weight.
  const bool has_limits_;
  CapLedger caps_;
  std::optional<FairShares> shares_;
  // Services in which work of such urgency waits although its workspace uses
  // less than its share. Postponed work reserves no workers there.
  std::set<std::pair<Urgency, ServiceName>> owed_;
  std::set<JobId> guaranteed_;
  std::map<ServiceName, ServicePool> pools_;
  std::vector<BlockedUnit> blocked_;
  int stand_lines_ = 0;  // Logged in this pass.
  // Racks kept free of deferrable work; chosen when such work is first placed.
  std::map<ServiceName, std::set<RackId>> headroom_;
  // Collected when the first unit of a service tries to reclaim.
  std::map<ServiceName, ServiceVictims> victims_;
  // Services in which a gang that may not stop other runs holds workers.
  std::set<ServiceName> held_;
  // Tasks of which some worker holds, or may come to hold, a run that is not
  // assigned to it.
  std::set<TaskId> strays_;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_PLANNING_SCHEDULING_PASS_H_
