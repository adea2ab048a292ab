// Interface of the scheduler core. An implementation keeps the state of one
// region, does no I/O and reads no clock: it turns events into commands.

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
  // The worker and all its tasks are lost. Gangs with a task there are stopped
  // completely and queued again.
  virtual Commands WorkerLost(const WorkerId& worker, TimePoint now) = 0;
  // While a domain is out of service, no gang starts there, and gangs that run
  // there are checkpointed, stopped and queued again.
  virtual Commands SetDomainInService(const DomainId& domain,
                                      bool in_service,
                                      TimePoint now) = 0;

  // Accepts a job or returns RefuseJob for it.
  virtual Commands Submit(const Job& job, TimePoint now) = 0;
  virtual Commands Cancel(const JobId& job, TimePoint now) = 0;
  // Adopts a gang that already runs, when the owner of the region rebuilds its
  // state. `checkpointed` is its progress in the last checkpoint.
  virtual Commands Adopt(const Job& job,
                         const StartGang& running,
                         Duration checkpointed,
                         TimePoint now) = 0;

  // All tasks of the gang are running.
  virtual Commands GangStarted(const JobId& job,
                               Attempt attempt,
                               TimePoint now) = 0;
  // The gang was not started and occupies no capacity. `refused_by` names the
  // worker that refused or did not answer; it is empty when the store did.
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
  // Measured use of a gang; reports arrive with a delay.
  virtual Commands UsageReported(const JobId& job,
                                 Attempt attempt,
                                 Accelerators used,
                                 TimePoint now) = 0;
  // Handles deadlines and retries. Call about every second, and after a batch
  // of events.
  virtual Commands Tick(TimePoint now) = 0;

  virtual JobExplanation Explain(const JobId& job, TimePoint now) const = 0;
  virtual std::vector<UnsatisfiedGuarantee> UnsatisfiedGuarantees() const = 0;
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_GANG_SCHEDULER_H_
