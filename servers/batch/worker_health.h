// Tracks failures, refusals and stalls of each worker and puts unreliable
// workers on probation. Covers workers that fail for a few seconds although
// they report themselves as healthy.

#ifndef SERVERS_BATCH_WORKER_HEALTH_H_
#define SERVERS_BATCH_WORKER_HEALTH_H_

#include <deque>
#include <set>

#include "core/ids.h"
#include "core/time.h"

namespace quetzalshelf::batch {

// A run that fails within this time counts as a failure of the worker: runs of
// faulty jobs usually fail later, in the course of their work.
inline constexpr Duration kQuickFailureLimit{400};

// Failure history of one worker.
class WorkerHealth {
 public:
  // A run that was started at `started` has failed.
  void RecordFailure(const JobId& job, TimePoint started, TimePoint now);
  // A run that was started at `started` makes progress or has succeeded.
  void RecordSuccess(TimePoint started);
  // The worker refused an order although it should have had capacity.
  void RecordRefusal(TimePoint now);
  // Runs on the worker stop making progress, or resume after a stall.
  void RecordStall(TimePoint now);
  void RecordProgress();
  bool is_stalled() const { return stalled_; }
  // The last quick failure, refusal or stall. A run that fails later may only
  // do so by its own fault.
  TimePoint last_telling_incident() const { return last_telling_incident_; }

  // Whether the worker gets no tasks for now.
  bool IsOnProbation(TimePoint now) const { return now < probation_until_; }
  // Larger is worse; 0 for a worker without incidents since its last success.
  int Penalty(TimePoint now) const;
  // Start time of the newest run that is known to have succeeded.
  TimePoint last_success_start() const { return last_success_start_; }

 private:
  void PutOnProbation(TimePoint now, Duration first);
  void Clear();

  bool stalled_ = false;
  int incident_count_ = 0;  // Since the last success.
  std::set<JobId> failed_jobs_;
  TimePoint last_incident_;
  TimePoint last_telling_incident_;
  TimePoint newest_failed_start_;  // Of the newest failed run.
  TimePoint probation_until_;
  TimePoint last_success_start_;
};

// Detects that several workers fail at the same time. Further failures are then
// likely on workers that have not run anything successfully since.
class FailureBurstDetector {
 public:
  void RecordQuickFailure(const WorkerId& worker,
                          const JobId& job,
                          TimePoint now);
  // Runs of the job on the worker have made no progress since `began`.
  void RecordStall(const WorkerId& worker,
                   const JobId& job,
                   TimePoint began,
                   TimePoint now);
  // Since when starts are not to be trusted on untried workers; the far
  // future while there is no such trouble.
  TimePoint BurstStart(TimePoint now) const;
  // Whether the quick failures of the job are its own fault.
  bool IsJobAtFault(const JobId& job) const;

 private:
  struct Failure {
    TimePoint at;
    TimePoint began;  // Of the trouble, if known to be earlier.
    WorkerId worker;
    JobId job;
    bool stall = false;
  };
  void Record(const Failure& failure);

  std::deque<Failure> recent_;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_WORKER_HEALTH_H_
