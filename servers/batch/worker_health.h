// Tells sound workers from those that fail, refuse or stall what they start, by
// each worker's own record. Answers loads in which a part of the workers goes
// bad for a few seconds while their own reports stay good.

#ifndef SERVERS_BATCH_WORKER_HEALTH_H_
#define SERVERS_BATCH_WORKER_HEALTH_H_

#include <deque>
#include <set>

#include "core/ids.h"
#include "core/time.h"

namespace quetzalshelf::batch {

// How long a run lasted that failed at once. Such a failure is the worker's:
// jobs that cannot be done fail in the course of their work.
inline constexpr Duration kQuickFailureLimit{400};

// The record of one worker.
class WorkerHealth {
 public:
  // A run that was started at `started` has failed.
  void RecordFailure(const JobId& job, TimePoint started, TimePoint now);
  // A run that was started at `started` works or has worked.
  void RecordSuccess(TimePoint started);
  // The worker refused an order although it should have had room.
  void RecordRefusal(TimePoint now);
  // Runs on it make no progress, or go on after that.
  void RecordStall(TimePoint now);
  void RecordProgress();

  // Whether it gets no tasks for now.
  bool IsOnProbation(TimePoint now) const { return now < probation_until_; }
  // Larger is worse; 0 for a worker without trouble since it last proved sound.
  int Penalty(TimePoint now) const;
  // The newest start that is known to have worked.
  TimePoint last_success_start() const { return last_success_start_; }

 private:
  void PutOnProbation(TimePoint now, Duration first);
  void Clear();

  bool stalled_ = false;
  int incident_count_ = 0;  // Since it last proved sound.
  std::set<JobId> failed_jobs_;
  TimePoint last_incident_;
  TimePoint newest_failed_start_;  // Start of the newest run in trouble.
  TimePoint probation_until_;
  TimePoint last_success_start_;
};

// Notices that several workers have gone bad at the same time, so that more of
// them are to be expected among those that have not been tried since.
class FailureBurstDetector {
 public:
  void RecordQuickFailure(const WorkerId& worker,
                          const JobId& job,
                          TimePoint now);
  // Since when starts are not to be trusted on untried workers; the far
  // future while there is no such trouble.
  TimePoint BurstStart(TimePoint now) const;
  // Whether the quick failures of the job speak against the job itself.
  bool IsJobAtFault(const JobId& job) const;

 private:
  struct Failure {
    TimePoint at;
    WorkerId worker;
    JobId job;
  };
  std::deque<Failure> recent_;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_WORKER_HEALTH_H_
