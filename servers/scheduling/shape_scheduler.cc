#include "servers/scheduling/shape_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quetzalshelf::scheduling {

namespace {

constexpr int kMaxTasks = 1'024;
// A job is given up after this many failures for each one it may have, when
// they happened on two workers, and after the second number on a single one.
constexpr int kFailuresOnTwoWorkers = 4;
constexpr int kFailuresOnOneWorker = 16;

bool IsSameSubmission(const Job& a, const Job& b) {
  return a.workspace == b.workspace && a.kind == b.kind && a.gang == b.gang &&
         a.urgency == b.urgency && a.declared_run_time == b.declared_run_time &&
         a.can_checkpoint == b.can_checkpoint &&
         a.max_failures == b.max_failures;
}

bool IsValidShape(const Shape& shape) {
  const Resources& it = shape.per_task;
  return shape.tasks >= 1 && shape.tasks <= kMaxTasks &&
         it.accelerators.value() >= 0 && it.cpu.value() >= 0 &&
         it.memory.value() >= 0 && it != Resources();
}

}  // namespace

ShapeScheduler::ShapeScheduler(const Policy& policy)
    : charts_(Charts::LoadEmbedded()), policy_(policy), ledger_(charts_) {}

Commands ShapeScheduler::TakeCommands() {
  return std::exchange(pending_commands_, {});
}

JobRecord* ShapeScheduler::FindJob(const JobId& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

JobRecord* ShapeScheduler::FindAttempt(const JobId& id, Attempt attempt) const {
  JobRecord* job = FindJob(id);
  if (job == nullptr || job->attempt != attempt || !job->holds_capacity())
    return nullptr;
  return job;
}

bool ShapeScheduler::Fire(JobRecord& job, JobEvent event) {
  return charts_.job.Fire(job.state, event);
}

bool ShapeScheduler::Fire(JobRecord& job, GangEvent event) {
  return charts_.gang.Fire(job.gang_state, event);
}

Commands ShapeScheduler::SetWorkspaces(const std::vector<Workspace>& workspaces,
                                       TimePoint now) {
  workspaces_.clear();
  for (const Workspace& it : workspaces)
    workspaces_[it.id] = it;
  ledger_.planner().SetWorkspaces(workspaces);
  RebuildGuarantees();
  Replan(now);
  return TakeCommands();
}

std::optional<RefuseJob> ShapeScheduler::CheckSubmission(const Job& job) const {
  const auto refuse = [&job](RefusalReason reason, std::string detail) {
    return RefuseJob{job.id, reason, std::move(detail)};
  };
  if (FindJob(job.id) != nullptr) {
    return refuse(RefusalReason::kDuplicateId,
                  "another job with the same id and another specification is "
                  "known");
  }
  if (job.id.empty() || !IsValidShape(job.gang) || job.max_failures < 1 ||
      job.declared_run_time.count() < 0) {
    return refuse(RefusalReason::kInvalid,
                  "a gang has 1 to 1024 tasks that each need some resource, "
                  "and no amount is negative");
  }
  const auto workspace = workspaces_.find(job.workspace);
  if (workspace == workspaces_.end()) {
    return refuse(RefusalReason::kUnknownWorkspace,
                  "workspace \"" + job.workspace.value() + "\" does not exist");
  }
  const Accelerators quota = workspace->second.quota;
  const Accelerators need = job.gang.per_task.accelerators * job.gang.tasks;
  if (quota.value() > 0 && need > quota) {
    return refuse(RefusalReason::kOverQuota,
                  "the gang needs " + std::to_string(need.value()) +
                      " accelerators and the quota of the workspace is " +
                      std::to_string(quota.value()));
  }
  if (auto refusal = CheckPlaceable(job))
    return refusal;
  const size_t queued = queue_.SizeOf(job.workspace);
  if (queued >=
      static_cast<size_t>(std::max(0, workspace->second.max_queued_jobs))) {
    return refuse(
        RefusalReason::kQueueFull,
        std::to_string(queued) + " jobs of the workspace wait already");
  }
  return std::nullopt;
}

std::optional<RefuseJob> ShapeScheduler::CheckPlaceable(const Job& job) const {
  // Nothing can be said while no worker is known, as after a restart.
  if (ledger_.total().size() == 0 || ledger_.total().Find(job.gang, {}))
    return std::nullopt;
  return RefuseJob{job.id, RefusalReason::kNeverFits,
                   "no set of workers, in or out of service, can hold " +
                       std::to_string(job.gang.tasks) +
                       " such tasks with this adjacency"};
}

JobRecord& ShapeScheduler::AddRecord(const Job& job, TimePoint now) {
  auto record = std::make_unique<JobRecord>();
  record->job = job;
  record->attempt = job.last_attempt;
  record->saved = job.checkpointed;
  record->submitted = now;
  record->waiting_since = now;
  record->key.sequence = next_sequence_++;
  record->state = charts_.job.initial();
  record->gang_state = charts_.gang.initial();
  JobRecord& result = *record;
  jobs_[job.id] = std::move(record);
  return result;
}

Commands ShapeScheduler::Submit(const Job& job, TimePoint now) {
  if (const JobRecord* known = FindJob(job.id);
      known != nullptr && IsSameSubmission(known->job, job))
    return {};
  if (auto refusal = CheckSubmission(job)) {
    if (FindJob(job.id) == nullptr && !job.id.empty()) {
      JobRecord& record = AddRecord(job, now);
      record.detail = refusal->detail;
      Fire(record, JobEvent::kRefuse);
      End(record);
    }
    pending_commands_.emplace_back(std::move(*refusal));
    return TakeCommands();
  }
  JobRecord& record = AddRecord(job, now);
  Enqueue(record, now);
  // Capacity that was freed since the last pass is for the whole queue.
  if (!capacity_freed_ || job.urgency == Urgency::kUrgent) {
    failed_shapes_.clear();
    TryJob(record, now);
  }
  return TakeCommands();
}

void ShapeScheduler::Enqueue(JobRecord& job, TimePoint now) {
  job.waiting_since = now;
  const Duration total = run_times_.Predict(job.job);
  const Duration left = std::max(Duration(1'000), total - job.saved);
  const double size =
      static_cast<double>(std::max<int64_t>(1, job.accelerators().value()));
  const double work = size * static_cast<double>(left.count()) / 1'000;
  job.key.urgency =
      static_cast<int>(job.job.urgency == Urgency::kUrgent ? 0 : 1);
  job.key.rank_millis =
      ToMillis(job.submitted) +
      static_cast<int64_t>(work * policy_.queue_millis_per_work);
  queue_.Add(job.job.workspace, job.key, &job);
}

void ShapeScheduler::Dequeue(JobRecord& job) {
  DropHold(job);
  queue_.Remove(job.job.workspace, job.key);
}

Commands ShapeScheduler::Cancel(const JobId& id, TimePoint /*now*/) {
  JobRecord* job = FindJob(id);
  if (job == nullptr)
    return {};
  const bool waits = job->state == JobState::kWaiting;
  if (!Fire(*job, JobEvent::kCancel))
    return {};
  if (waits) {
    SetOutsideBlocks(*job, false);
    Dequeue(*job);
    End(*job);
  } else {
    StopNow(*job, StopReason::kCancelled);
  }
  return TakeCommands();
}

Commands ShapeScheduler::Adopt(const Job& job,
                               const StartGang& running,
                               Duration checkpointed,
                               TimePoint now) {
  JobRecord* known = FindJob(job.id);
  if (known != nullptr &&
      (known->state != JobState::kWaiting || known->attempt >= running.attempt))
    return {};
  if (!IsValidShape(job.gang) ||
      running.placement.size() != static_cast<size_t>(job.gang.tasks))
    return {};
  JobRecord& record = known != nullptr ? *known : AddRecord(job, now);
  if (known != nullptr)
    Dequeue(record);
  std::map<WorkerIndex, int> tasks;
  for (const WorkerId& it : running.placement)
    ++tasks[ledger_.Intern(it)];
  for (const auto& [worker, count] : tasks)
    record.slots.push_back({worker, count});
  Fire(record, JobEvent::kStart);
  Fire(record, JobEvent::kStarted);
  Fire(record, GangEvent::kStart);
  Fire(record, GangEvent::kStarted);
  record.attempt = running.attempt;
  record.saved = checkpointed;
  record.progress_at_start = checkpointed;
  record.started = now;
  record.last_checkpoint = now;
  ledger_.Allocate(record);
  record.guaranteed = running.guaranteed;
  if (running.guaranteed) {
    if (auto uses = ledger_.FindCharge(record, record.slots))
      ledger_.Charge(record, std::move(*uses));
  }
  UpdatePin(record, now);
  ScheduleCheckpoint(record, now);
  return TakeCommands();
}

Commands ShapeScheduler::GangStarted(const JobId& id,
                                     Attempt attempt,
                                     TimePoint now) {
  JobRecord* job = FindAttempt(id, attempt);
  if (job == nullptr || !Fire(*job, GangEvent::kStarted))
    return {};
  Fire(*job, JobEvent::kStarted);
  job->started = now;
  job->last_checkpoint = now;
  job->start_failures = 0;
  ScheduleCheckpoint(*job, now);
  return TakeCommands();
}

Commands ShapeScheduler::StartFailed(const JobId& id,
                                     Attempt attempt,
                                     const WorkerId& refused_by,
                                     TimePoint now) {
  JobRecord* job = FindAttempt(id, attempt);
  if (job == nullptr || (job->gang_state != GangState::kStarting &&
                         job->gang_state != GangState::kStopping))
    return {};
  if (const auto worker = ledger_.Find(refused_by);
      worker && probation_.RecordFailure(id, *worker))
    PutOnProbation(*worker, now);
  BackOff(*job, ++job->start_failures, now);
  EndAttempt(*job, JobEvent::kStartFailed, now);
  AdvanceHolds(now);
  return TakeCommands();
}

Commands ShapeScheduler::GangFinished(const JobId& id,
                                      Attempt attempt,
                                      TimePoint now) {
  JobRecord* job = FindAttempt(id, attempt);
  if (job == nullptr)
    return {};
  run_times_.Record(job->job, job->Progress(now));
  RecordSuccess(*job);
  EndAttempt(*job, JobEvent::kFinished, now);
  AdvanceHolds(now);
  return TakeCommands();
}

Commands ShapeScheduler::TaskFailed(const JobId& id,
                                    Attempt attempt,
                                    const WorkerId& worker,
                                    TimePoint now) {
  JobRecord* job = FindAttempt(id, attempt);
  // Tasks that end badly after a stop was sent are no evidence.
  if (job == nullptr || job->gang_state == GangState::kStopping)
    return {};
  ++job->failures;
  if (const auto index = ledger_.Find(worker))
    RecordTaskFailure(*job, *index, now);
  const int limit = job->job.max_failures;
  const int factor = probation_.FailedOn(id).size() > 1 ? kFailuresOnTwoWorkers
                                                        : kFailuresOnOneWorker;
  // Workers that refused a start are evidence against the worker, but no failed
  // attempt of the job.
  const bool failed_widely =
      job->failures >= limit && probation_.HealthyWorkersFailed(id) >= limit;
  const bool is_bad = failed_widely || job->failures >= limit * factor;
  if (is_bad) {
    job->detail =
        "its tasks failed " + std::to_string(job->failures) + " times, on " +
        std::to_string(probation_.HealthyWorkersFailed(id)) +
        " workers where other jobs succeed; last on " + worker.value();
  }
  BackOff(*job, job->failures, now);
  StopNow(*job, StopReason::kTaskFailed);
  if (is_bad)
    Fire(*job, JobEvent::kFail);
  return TakeCommands();
}

void ShapeScheduler::BackOff(JobRecord& job, int failures, TimePoint now) {
  const int doublings = std::min(failures - 1, 16);
  const Duration delay = policy_.initial_backoff * (int64_t{1} << doublings);
  job.retry_at = now + std::min(delay, policy_.max_backoff);
}

Commands ShapeScheduler::CheckpointSaved(const JobId& id,
                                         Attempt attempt,
                                         Duration progress,
                                         TimePoint now) {
  JobRecord* job = FindAttempt(id, attempt);
  if (job == nullptr)
    return {};
  job->saved = std::max(job->saved, progress);
  job->last_checkpoint = std::max(job->last_checkpoint, now);
  if (job->gang_state == GangState::kSaving)
    StopNow(*job, job->stop_reason);
  return TakeCommands();
}

Commands ShapeScheduler::GangStopped(const JobId& id,
                                     Attempt attempt,
                                     TimePoint now) {
  JobRecord* job = FindAttempt(id, attempt);
  if (job == nullptr)
    return {};
  EndAttempt(*job, JobEvent::kStopped, now);
  AdvanceHolds(now);
  return TakeCommands();
}

void ShapeScheduler::EndAttempt(JobRecord& job, JobEvent event, TimePoint now) {
  stop_timers_.erase({job.stop_due, &job});
  checkpoint_timers_.erase({job.checkpoint_due, &job});
  protection_timers_.erase({job.protected_until, &job});
  if (job.probed_worker) {
    // A probe that ended without a verdict is tried again.
    if (ledger_.worker(*job.probed_worker).state == WorkerState::kProbing)
      ledger_.FireWorker(*job.probed_worker, WorkerEvent::kSuspect);
    job.probed_worker.reset();
  }
  ledger_.Release(job);
  SetOutsideBlocks(job, false);
  capacity_freed_ = true;
  Fire(job, GangEvent::kEnded);
  Fire(job, event);
  job.guaranteed = false;
  job.measured_use = Accelerators();
  job.protected_until = TimePoint();
  if (job.state == JobState::kWaiting)
    Enqueue(job, now);
  else
    End(job);
}

void ShapeScheduler::End(JobRecord& job) {
  if (job.state == JobState::kFailed) {
    pending_commands_.emplace_back(
        RefuseJob{job.job.id, RefusalReason::kTooManyFailures, job.detail});
  }
  probation_.ForgetJob(job.job.id, job.state == JobState::kFailed);
  ended_.push_back(job.job.id);
  if (ended_.size() <= policy_.max_retained_jobs)
    return;
  jobs_.erase(ended_.front());
  ended_.pop_front();
}

void ShapeScheduler::RequestStop(JobRecord& job,
                                 StopReason reason,
                                 Duration grace,
                                 TimePoint now) {
  if (job.gang_state == GangState::kSaving) {
    // A shorter grace wins.
    if (now + grace >= job.stop_due)
      return;
    stop_timers_.erase({job.stop_due, &job});
    job.stop_due = now + grace;
    stop_timers_.insert({job.stop_due, &job});
    return;
  }
  const bool is_worth_saving =
      job.job.can_checkpoint && grace.count() > 0 && now > job.last_checkpoint;
  if (!is_worth_saving || !Fire(job, GangEvent::kSave)) {
    StopNow(job, reason);
    return;
  }
  job.stop_reason = reason;
  job.stop_due = now + grace;
  stop_timers_.insert({job.stop_due, &job});
  checkpoint_timers_.erase({job.checkpoint_due, &job});
  ledger_.SetReleasing(job);
  pending_commands_.emplace_back(CheckpointGang{job.job.id, job.attempt});
}

void ShapeScheduler::StopNow(JobRecord& job, StopReason reason) {
  stop_timers_.erase({job.stop_due, &job});
  checkpoint_timers_.erase({job.checkpoint_due, &job});
  if (!Fire(job, GangEvent::kStop))
    return;
  Fire(job, JobEvent::kStop);
  ledger_.SetReleasing(job);
  job.stop_reason = reason;
  pending_commands_.emplace_back(StopGang{job.job.id, job.attempt, reason});
}

Commands ShapeScheduler::UsageReported(const JobId& id,
                                       Attempt attempt,
                                       Accelerators used,
                                       TimePoint /*now*/) {
  // Declared sizes are often wrong and a worker isolates its tasks, so the
  // measured use is only shown; throttling such gangs made them up to ten times
  // slower.
  if (JobRecord* job = FindAttempt(id, attempt))
    job->measured_use = used;
  return {};
}

Commands ShapeScheduler::Tick(TimePoint now) {
  RunStopTimers(now);
  UpdateDomains(now);
  ExpireProtections(now);
  Replan(now);
  AdvanceHolds(now);
  RunProbes(now);
  RunPass(now);
  UpdateReservation(now);
  RunCheckpoints(now);
  return TakeCommands();
}

void ShapeScheduler::RunStopTimers(TimePoint now) {
  while (!stop_timers_.empty() && stop_timers_.begin()->first <= now) {
    JobRecord* job = stop_timers_.begin()->second;
    StopNow(*job, job->stop_reason);
    stop_timers_.erase({job->stop_due, job});
  }
}

void ShapeScheduler::ScheduleCheckpoint(JobRecord& job, TimePoint now) {
  if (!job.job.can_checkpoint)
    return;
  checkpoint_timers_.erase({job.checkpoint_due, &job});
  job.checkpoint_due = now + policy_.checkpoint_interval;
  checkpoint_timers_.insert({job.checkpoint_due, &job});
}

void ShapeScheduler::RunCheckpoints(TimePoint now) {
  for (size_t n = 0; n < policy_.checkpoints_per_tick; ++n) {
    if (checkpoint_timers_.empty() || checkpoint_timers_.begin()->first > now)
      return;
    JobRecord* job = checkpoint_timers_.begin()->second;
    ScheduleCheckpoint(*job, now);
    pending_commands_.emplace_back(CheckpointGang{job->job.id, job->attempt});
  }
}

void ShapeScheduler::ExpireProtections(TimePoint now) {
  while (!protection_timers_.empty() &&
         protection_timers_.begin()->first <= now) {
    JobRecord* job = protection_timers_.begin()->second;
    protection_timers_.erase(protection_timers_.begin());
    UpdatePin(*job, now);
  }
}

std::vector<UnsatisfiedGuarantee> ShapeScheduler::UnsatisfiedGuarantees()
    const {
  return ledger_.planner().Unheld();
}

}  // namespace quetzalshelf::scheduling
