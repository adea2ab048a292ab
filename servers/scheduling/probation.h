// Tells workers that fail every task from jobs that fail everywhere. A failure
// is evidence against both; how much depends on the record of the other side.

#ifndef SERVERS_SCHEDULING_PROBATION_H_
#define SERVERS_SCHEDULING_PROBATION_H_

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "servers/scheduling/capacity_index.h"

namespace quetzalshelf::scheduling {

class Probation {
 public:
  // A worker is suspect once the jobs that failed on it, each divided by the
  // number of workers where that job failed, add up to this.
  static constexpr double kSuspectScore = 2.0;
  static constexpr Duration kFirstProbe{60'000};
  static constexpr Duration kLongestProbe{960'000};

  // A task of `job` failed on `worker`. Returns whether the worker has to go
  // on probation now.
  bool RecordFailure(const JobId& job, WorkerIndex worker);
  // A gang ended well on `worker`: older failures there are forgotten.
  void RecordSuccess(WorkerIndex worker);
  // Forgets the evidence of a job that has ended. Failures of a job that
  // failed everywhere no longer count against the workers.
  void ForgetJob(const JobId& job, bool was_bad);

  // Workers on which the job failed.
  std::vector<WorkerIndex> FailedOn(const JobId& job) const;
  // Distinct workers on which the job failed that are not suspect themselves.
  int HealthyWorkersFailed(const JobId& job) const;
  double Score(WorkerIndex worker) const;

  // Probation of a worker: when the next probe is due, later after each
  // failed one.
  void Begin(WorkerIndex worker, TimePoint now);
  void End(WorkerIndex worker);
  // Ends probation without a probe: the evidence is dropped but the next
  // probation is longer.
  void EndWithoutProbe(WorkerIndex worker);
  TimePoint ProbeTime(WorkerIndex worker) const;
  Duration Interval(WorkerIndex worker) const;
  std::vector<WorkerIndex> Suspects() const;

 private:
  // Evidence kept for one worker; the oldest is dropped.
  static constexpr size_t kMaxEvidence = 16;

  struct WorkerRecord {
    std::deque<JobId> failed;  // Distinct jobs.
    TimePoint probe;
    Duration interval{0};
    bool suspect = false;
  };

  std::map<WorkerIndex, WorkerRecord> workers_;
  std::map<JobId, std::vector<WorkerIndex>> jobs_;  // Distinct workers.
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_PROBATION_H_
