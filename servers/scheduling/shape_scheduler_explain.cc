// Explanations of ShapeScheduler, for people.

#include "servers/scheduling/shape_scheduler.h"

#include <algorithm>

namespace quetzalshelf::scheduling {

namespace {

JobPhase PhaseOf(JobState state) {
  switch (state) {
    case JobState::kWaiting:
      return JobPhase::kWaiting;
    case JobState::kStarting:
      return JobPhase::kStarting;
    case JobState::kRunning:
      return JobPhase::kRunning;
    case JobState::kStopping:
    case JobState::kCancelling:
    case JobState::kFailing:
      return JobPhase::kStopping;
    case JobState::kFinished:
      return JobPhase::kFinished;
    case JobState::kCancelled:
      return JobPhase::kCancelled;
    case JobState::kRefused:
      return JobPhase::kRefused;
    case JobState::kFailed:
      return JobPhase::kFailed;
  }
  return JobPhase::kUnknown;
}

std::string Reason(StopReason reason) {
  switch (reason) {
    case StopReason::kReclaimed:
      return "the owner of a guarantee wants the capacity";
    case StopReason::kReservation:
      return "a gang that waited long enough needs the capacity";
    case StopReason::kDomainOut:
      return "its failure domain is out of service";
    case StopReason::kWorkerLost:
      return "one of its workers was lost";
    case StopReason::kCancelled:
      return "it was cancelled";
    case StopReason::kTaskFailed:
      return "one of its tasks failed";
    case StopReason::kStartFailed:
      return "its start failed";
    case StopReason::kUrgent:
      return "an urgent gang needs the capacity";
  }
  return "";
}

std::string Seconds(Duration time) {
  return std::to_string(time.count() / 1'000) + " s";
}

}  // namespace

JobExplanation ShapeScheduler::Explain(const JobId& id, TimePoint now) const {
  const JobRecord* job = FindJob(id);
  if (job == nullptr)
    return {JobPhase::kUnknown, "The job is not known.", ""};
  if (job->state == JobState::kWaiting)
    return ExplainWaiting(*job, now);
  JobExplanation result;
  result.phase = PhaseOf(job->state);
  result.guaranteed = job->charged;
  switch (result.phase) {
    case JobPhase::kStarting:
      result.sentence = "Its tasks are being started.";
      break;
    case JobPhase::kRunning:
      result.sentence = job->gang_state == GangState::kSaving
                            ? "It saves a checkpoint and then stops, because " +
                                  Reason(job->stop_reason) + "."
                        : job->charged
                            ? "It runs on guaranteed capacity of its workspace."
                            : "It runs on borrowed capacity and may be stopped "
                              "for the owner.";
      break;
    case JobPhase::kStopping:
      result.sentence = "It stops, because " + Reason(job->stop_reason) + ".";
      break;
    case JobPhase::kFinished:
      result.sentence = "It has finished.";
      break;
    case JobPhase::kCancelled:
      result.sentence = "It was cancelled.";
      break;
    default:
      result.sentence = "It will not run: " + job->detail + ".";
      break;
  }
  return result;
}

std::string ShapeScheduler::ExplainHold(const JobRecord& job,
                                        TimePoint now) const {
  const Hold& hold = *job.hold;
  switch (hold.kind) {
    case HoldKind::kGuarantee:
      return "It waits for borrowers to leave the guaranteed capacity of its "
             "workspace.";
    case HoldKind::kUrgent:
      return "It is urgent and waits for borrowers to leave their workers.";
    case HoldKind::kReservation:
      break;
  }
  if (now < hold.preempt_at) {
    return "Workers are reserved for it; what still runs there is stopped in " +
           Seconds(hold.preempt_at - now) + ".";
  }
  return "Workers are reserved for it and are being cleared.";
}

JobExplanation ShapeScheduler::ExplainWaiting(const JobRecord& job,
                                              TimePoint now) const {
  JobExplanation result{JobPhase::kWaiting, "", ""};
  if (job.hold) {
    result.sentence = ExplainHold(job, now);
    return result;
  }
  if (now < job.retry_at) {
    result.sentence = "Its last attempt failed; the next one comes in " +
                      Seconds(job.retry_at - now) + ".";
    return result;
  }
  if (IsOverQuota(job)) {
    result.sentence = "The workspace has reached its quota.";
    result.remedy = "Raise the quota of workspace " +
                    job.job.workspace.value() + " or wait for its jobs.";
    return result;
  }
  // What the workers could hold if nothing ran, with and without the domains
  // that are out.
  CapacityIndex in_service;
  std::string out;
  for (WorkerIndex n = 0; n < ledger_.workers().size(); ++n) {
    const ClusterLedger::WorkerEntry& worker = ledger_.worker(n);
    in_service.AddWorker(n, worker.rack, worker.domain);
    if (ledger_.IsUsable(n))
      in_service.SetAvailable(n, worker.info.capacity);
  }
  for (const ClusterLedger::DomainEntry& it : ledger_.domains()) {
    if (it.state == DomainState::kOut && !it.workers.empty())
      out += (out.empty() ? "" : ", ") + it.id.value();
  }
  if (in_service.Find(job.job.gang, {})) {
    result.sentence =
        ledger_.reclaimable().Find(job.job.gang, {})
            ? "It waits for its turn; after " +
                  Seconds(policy_.reservation_delay) +
                  " of waiting, workers are reserved for it in order of age."
            : "It fits only where guaranteed, urgent or protected gangs run, "
              "and waits until they end.";
    return result;
  }
  if (!out.empty()) {
    result.sentence =
        "It does not fit the workers in service and needs a failure domain "
        "that is out of service: " +
        out + ".";
    result.remedy = "Declare one of these failure domains in service: " + out +
                    "; or submit it with fewer tasks or a looser adjacency.";
    return result;
  }
  result.sentence =
      "It does not fit the workers that are present now; lost workers and "
      "workers on probation are not counted.";
  result.remedy =
      "Bring back lost workers, or submit it with fewer tasks or a "
      "looser adjacency.";
  return result;
}

}  // namespace quetzalshelf::scheduling
