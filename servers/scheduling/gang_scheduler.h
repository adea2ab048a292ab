// Interface of the decision core. An implementation keeps the state of one
// region, does no I/O and reads no clock: events go in, commands come out.

#ifndef SERVERS_SCHEDULING_GANG_SCHEDULER_H_
#define SERVERS_SCHEDULING_GANG_SCHEDULER_H_

#include <vector>

#include "core/finding.h"
#include "core/ids.h"
#include "core/time.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::scheduling {

// Every event returns the commands that follow from it; the caller carries
// them out in order. Events about unknown jobs, workers or older attempts are
// ignored, so that late and repeated events are harmless. `now` never
// decreases.
class GangScheduler {
 public:
  virtual ~GangScheduler() = default;

  // Replaces all workspaces. Workspaces that disappear keep their running jobs
  // as borrowers and accept no new ones.
  virtual Commands SetWorkspaces(const std::vector<Workspace>& workspaces,
                                 TimePoint now) = 0;
  // Adds a worker, or brings back one that was lost, with free capacity.
  virtual Commands AddWorker(const Worker& worker, TimePoint now) = 0;
  // The worker and all tasks on it are gone: gangs with a task there are
  // stopped whole and wait again.
  virtual Commands WorkerLost(const WorkerId& worker, TimePoint now) = 0;
  // Out of service: no start from now on; gangs there move away.
  virtual Commands SetDomainInService(const DomainId& domain,
                                      bool in_service,
                                      TimePoint now) = 0;

  // Accepts a job or returns RefuseJob for it.
  virtual Commands Submit(const Job& job, TimePoint now) = 0;
  virtual Commands Cancel(const JobId& job, TimePoint now) = 0;
  // Adopts a gang that already runs, when an owner rebuilds its state.
  virtual Commands Adopt(const Job& job,
                         const StartGang& running,
                         Duration checkpointed,
                         TimePoint now) = 0;

  // All tasks run.
  virtual Commands GangStarted(const JobId& job,
                               Attempt attempt,
                               TimePoint now) = 0;
  // The gang was not started and holds nothing any more. `refused_by` names
  // the worker that refused or did not answer; empty when the store did.
  virtual Commands StartFailed(const JobId& job,
                               Attempt attempt,
                               const WorkerId& refused_by,
                               TimePoint now) = 0;
  // All tasks ended with success; the capacity is free.
  virtual Commands GangFinished(const JobId& job,
                                Attempt attempt,
                                TimePoint now) = 0;
  // A task failed on a worker; the core stops the gang.
  virtual Commands TaskFailed(const JobId& job,
                              Attempt attempt,
                              const WorkerId& worker,
                              TimePoint now) = 0;
  // A checkpoint that was started by command or by the job is complete.
  // `progress` is the run time that a restart need not repeat.
  virtual Commands CheckpointSaved(const JobId& job,
                                   Attempt attempt,
                                   Duration progress,
                                   TimePoint now) = 0;
  // All tasks have stopped; the capacity is free.
  virtual Commands GangStopped(const JobId& job,
                               Attempt attempt,
                               TimePoint now) = 0;
  // Lagging measured use of a gang.
  virtual Commands UsageReported(const JobId& job,
                                 Attempt attempt,
                                 Accelerators used,
                                 TimePoint now) = 0;
  // Deadlines and retries; call about every second, and after a batch.
  virtual Commands Tick(TimePoint now) = 0;

  virtual JobExplanation Explain(const JobId& job, TimePoint now) const = 0;
  virtual std::vector<UnsatisfiedGuarantee> UnsatisfiedGuarantees() const = 0;
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_GANG_SCHEDULER_H_
