#include "servers/scheduling/probation.h"

#include <algorithm>

namespace quetzalshelf::scheduling {

bool Probation::RecordFailure(const JobId& job, WorkerIndex worker) {
  std::vector<WorkerIndex>& places = jobs_[job];
  if (std::find(places.begin(), places.end(), worker) == places.end())
    places.push_back(worker);
  WorkerRecord& record = workers_[worker];
  auto& failed = record.failed;
  if (std::find(failed.begin(), failed.end(), job) == failed.end())
    failed.push_back(job);
  if (failed.size() > kMaxEvidence)
    failed.pop_front();
  return !record.suspect && Score(worker) >= kSuspectScore;
}

void Probation::RecordSuccess(WorkerIndex worker) {
  const auto it = workers_.find(worker);
  if (it == workers_.end())
    return;
  it->second.failed.clear();
  if (!it->second.suspect)
    workers_.erase(it);
}

void Probation::ForgetJob(const JobId& job, bool was_bad) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end())
    return;
  if (was_bad) {
    for (const WorkerIndex worker : it->second) {
      if (const auto record = workers_.find(worker); record != workers_.end())
        std::erase(record->second.failed, job);
    }
  }
  jobs_.erase(it);
}

std::vector<WorkerIndex> Probation::FailedOn(const JobId& job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? std::vector<WorkerIndex>() : it->second;
}

int Probation::HealthyWorkersFailed(const JobId& job) const {
  const auto it = jobs_.find(job);
  if (it == jobs_.end())
    return 0;
  return static_cast<int>(
      std::count_if(it->second.begin(), it->second.end(), [&](WorkerIndex n) {
        const auto record = workers_.find(n);
        return record == workers_.end() || !record->second.suspect;
      }));
}

double Probation::Score(WorkerIndex worker) const {
  const auto record = workers_.find(worker);
  if (record == workers_.end())
    return 0;
  double score = 0;
  for (const JobId& job : record->second.failed) {
    const auto it = jobs_.find(job);
    // The evidence of a job that later ended well counts in full.
    score +=
        it == jobs_.end() ? 1.0 : 1.0 / static_cast<double>(it->second.size());
  }
  return score;
}

void Probation::Begin(WorkerIndex worker, TimePoint now) {
  WorkerRecord& record = workers_[worker];
  record.suspect = true;
  record.interval = record.interval.count() == 0
                        ? kFirstProbe
                        : std::min(record.interval * 2, kLongestProbe);
  record.probe = now + record.interval;
}

void Probation::End(WorkerIndex worker) {
  workers_.erase(worker);
}

void Probation::EndWithoutProbe(WorkerIndex worker) {
  WorkerRecord& record = workers_[worker];
  record.failed.clear();
  record.suspect = false;
}

Duration Probation::Interval(WorkerIndex worker) const {
  const auto it = workers_.find(worker);
  return it == workers_.end() ? Duration(0) : it->second.interval;
}

std::vector<WorkerIndex> Probation::Suspects() const {
  std::vector<WorkerIndex> result;
  for (const auto& [worker, record] : workers_) {
    if (record.suspect)
      result.push_back(worker);
  }
  return result;
}

TimePoint Probation::ProbeTime(WorkerIndex worker) const {
  const auto it = workers_.find(worker);
  return it == workers_.end() ? TimePoint() : it->second.probe;
}

}  // namespace quetzalshelf::scheduling
