#include "servers/batch/worker_health.h"

#include <algorithm>

namespace quetzalshelf::batch {

namespace {

// First probation of a failing worker; doubles with each further incident until
// a success. About the length of one run of an urgent task.
constexpr Duration kFirstProbation{2'500};
constexpr Duration kLongestProbation{10'000};
// A refusal may only mean a lack of capacity, so the first probation is short.
constexpr Duration kRefusalProbation{400};
// A worker is chosen last for this long after an incident, unless a run
// succeeds there.
constexpr Duration kPenaltyDuration{15'000};
// Quick failures within this time belong to the same burst.
constexpr Duration kBurstWindow{4'000};
// Distinct workers and jobs that must fail before it counts as a burst.
constexpr size_t kMinBurstWorkers = 2;
constexpr size_t kMinBurstJobs = 2;
// Distinct workers on which only this job has failed quickly before the job is
// considered at fault.
constexpr size_t kMinWorkersToFaultJob = 3;
constexpr size_t kMaxRecentFailures = 512;

}  // namespace

void WorkerHealth::PutOnProbation(TimePoint now, Duration first) {
  Duration pause = first;
  for (int n = 0; n < incident_count_; ++n)
    pause = std::min(pause * 2, kLongestProbation);
  ++incident_count_;
  last_incident_ = now;
  probation_until_ = std::max(probation_until_, now + pause);
}

void WorkerHealth::RecordFailure(const JobId& job,
                                 TimePoint started,
                                 TimePoint now) {
  newest_failed_start_ = std::max(newest_failed_start_, started);
  const bool repeated = !failed_jobs_.insert(job).second;
  const bool quick = now - started <= kQuickFailureLimit;
  if (quick)
    last_telling_incident_ = now;
  if (quick || failed_jobs_.size() > 1) {
    // Failures of one job's runs that were started together count once.
    if (repeated && IsOnProbation(now))
      return;
    PutOnProbation(now, kFirstProbation);
    return;
  }
  ++incident_count_;
  last_incident_ = now;
}

void WorkerHealth::RecordSuccess(TimePoint started) {
  last_success_start_ = std::max(last_success_start_, started);
  if (started <= newest_failed_start_)
    return;
  Clear();
}

void WorkerHealth::RecordRefusal(TimePoint now) {
  newest_failed_start_ = std::max(newest_failed_start_, now);
  last_telling_incident_ = now;
  PutOnProbation(now, kRefusalProbation);
}

void WorkerHealth::RecordStall(TimePoint now) {
  stalled_ = true;
  last_telling_incident_ = now;
  newest_failed_start_ = std::max(newest_failed_start_, now);
  if (!IsOnProbation(now))
    PutOnProbation(now, kFirstProbation);
}

void WorkerHealth::RecordProgress() {
  if (!stalled_)
    return;
  stalled_ = false;
  Clear();
}

void WorkerHealth::Clear() {
  incident_count_ = 0;
  failed_jobs_.clear();
  probation_until_ = TimePoint();
}

int WorkerHealth::Penalty(TimePoint now) const {
  return now - last_incident_ < kPenaltyDuration ? incident_count_ : 0;
}

void FailureBurstDetector::RecordQuickFailure(const WorkerId& worker,
                                              const JobId& job,
                                              TimePoint now) {
  Record({now, now, worker, job});
}

void FailureBurstDetector::RecordStall(const WorkerId& worker,
                                       const JobId& job,
                                       TimePoint began,
                                       TimePoint now) {
  Record({now, began, worker, job, /*stall=*/true});
}

void FailureBurstDetector::Record(const Failure& failure) {
  recent_.push_back(failure);
  while (recent_.size() > kMaxRecentFailures ||
         failure.at - recent_.front().at > kBurstWindow)
    recent_.pop_front();
}

TimePoint FailureBurstDetector::BurstStart(TimePoint now) const {
  const auto start = [&](const auto& counts) {
    std::set<WorkerId> workers;
    std::set<JobId> jobs;
    TimePoint since = TimePoint::max();
    for (const Failure& it : recent_) {
      if (now - it.at > kBurstWindow || !counts(it))
        continue;
      since = std::min(since, it.began);
      workers.insert(it.worker);
      jobs.insert(it.job);
    }
    const bool many =
        workers.size() >= kMinBurstWorkers && jobs.size() >= kMinBurstJobs;
    return many ? since : TimePoint::max();
  };
  const TimePoint stalls = start([](const Failure& it) { return it.stall; });
  const TimePoint failures = start([](const Failure& it) { return !it.stall; });
  const bool both = stalls != TimePoint::max() && failures != TimePoint::max();
  // A worker that went on during the older trouble may still have the newer.
  if (both)
    return std::max(stalls, failures);
  if (failures != TimePoint::max())
    return failures;
  return start([](const Failure&) { return true; });
}

bool FailureBurstDetector::IsJobAtFault(const JobId& job) const {
  std::set<WorkerId> own;
  std::set<WorkerId> shared;
  for (const Failure& it : recent_) {
    if (!it.stall)
      (it.job == job ? own : shared).insert(it.worker);
  }
  std::erase_if(own, [&](const WorkerId& it) { return shared.contains(it); });
  return own.size() >= kMinWorkersToFaultJob;
}

}  // namespace quetzalshelf::batch
