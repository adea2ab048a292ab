// Baseline for comparisons: first in, first out, first fit, guarantees counted
// in accelerators only. Its policy does not change, so that figures compare.

#ifndef SERVERS_SCHEDULING_NAIVE_SCHEDULER_H_
#define SERVERS_SCHEDULING_NAIVE_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "servers/scheduling/gang_scheduler.h"
#include "servers/scheduling/naive_capacity.h"

namespace quetzalshelf::scheduling {

// The queue is scanned in order of acceptance and every gang that fits starts
// on the first workers that hold it. A workspace below its guaranteed number
// of accelerators preempts the newest borrowers until the number is free,
// wherever it is free. Stops never wait for a checkpoint.
class NaiveScheduler : public GangScheduler {
 public:
  // How borrowers are served. In order: a gang that cannot start holds up all
  // later ones. Skipping: later gangs that fit start before it, a stronger
  // baseline that is no longer first in, first out.
  enum class Queueing { kInOrder, kSkipping };

  explicit NaiveScheduler(Queueing queueing = Queueing::kInOrder)
      : queueing_(queueing) {}

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
  struct WorkspaceState {
    Workspace workspace;
    Accelerators guaranteed;       // Sum over the guarantees.
    Accelerators guaranteed_used;  // By gangs that are not borrowers.
    Accelerators used;
    int queued = 0;
    bool known = false;  // False after the workspace has disappeared.
  };
  struct JobState {
    Job job;
    uint64_t order = 0;  // Order of acceptance.
    JobPhase phase = JobPhase::kWaiting;
    Attempt attempt;
    NaiveCapacity::Slots slots;
    bool borrower = false;
    uint64_t start_order = 0;
    int failures = 0;
    bool cancelled = false;
    std::set<size_t> avoid;  // Workers on which a task of the job failed.
  };
  JobState* FindHeld(const JobId& id, Attempt attempt);
  std::optional<RefuseJob> Check(const Job& job) const;

  void Hold(JobState& state, const NaiveCapacity::Slots& slots);
  void Release(JobState& state);
  void Enqueue(JobState& state);
  void Dequeue(JobState& state);
  void EndAttempt(JobState& state);
  void Stop(JobState& state, StopReason reason, Commands& out);
  void Fail(JobState& state, Commands& out);

  // Starts whatever fits, and preempts for guaranteed counts.
  void Schedule(Commands& out);
  void StartBorrowers(const std::vector<JobState*>& waiting,
                      Accelerators spare,
                      Commands& out);
  bool TryStart(JobState& state, bool borrower, Commands& out);
  bool WithinGuarantee(const JobState& state, Accelerators claimed) const;
  bool WithinQuota(const JobState& state) const;
  void PreemptNewest(Accelerators claimed, Commands& out);
  Accelerators StoppingInService() const;

  NaiveCapacity capacity_;
  std::map<WorkspaceId, WorkspaceState> workspaces_;
  std::unordered_map<JobId, JobState> jobs_;
  std::map<uint64_t, JobState*> queue_;
  std::map<uint64_t, JobState*> held_;  // By order of start.
  uint64_t next_order_ = 1;
  uint64_t next_start_ = 1;
  const Queueing queueing_;
  bool changed_ = false;  // Something may fit that did not fit before.
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_NAIVE_SCHEDULER_H_
