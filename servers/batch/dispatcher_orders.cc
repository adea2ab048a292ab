// Dispatcher: start and stop orders to workers, and the handling of their
// answers.

#include <algorithm>
#include <utility>

#include "core/logging.h"
#include "servers/batch/dispatcher.h"

namespace quetzalshelf::batch {

namespace {

// Short because a whole gang waits for an order whose answer is lost.
constexpr Duration kOrderRetryInterval{20};
// Members of a gang wait for each other and time out after 3 s; a start with an
// unknown outcome is abandoned well before that.
constexpr Duration kStartTimeout{700};
// Attempts to send a start order that cannot reach its worker.
constexpr int kMaxUnsentTries = 2;
// Delay before a step is retried after a worker refused it.
constexpr Duration kRefusedStepBackoff{100};
// Time for which a worker without capacity gets no further tasks; its next sync
// reports what uses the capacity.
constexpr Duration kFullWorkerBackoff{400};

// Whether the run is expected to end before `limit`.
bool FinishesBefore(const Run& run,
                    const StepSpec& spec,
                    TimePoint began,
                    TimePoint limit,
                    TimePoint now) {
  if (spec.long_running)
    return false;
  const std::optional<Duration> left = run.progress.TimeLeft(began, now);
  return left ? now + *left <= limit : run.started_at + spec.estimate <= limit;
}

bool IsOrdered(RunPhase phase) {
  return phase != RunPhase::kRecording;
}

}  // namespace

void Dispatcher::TickRuns(TimePoint now) {
  for (auto& [id, worker] : registry_.workers()) {
    worker.runs = 0;
    worker.unanswered_starts = 0;
    worker.assigned.clear();
  }
  for (auto it = live_.begin(); it != live_.end();) {
    Job& job = *jobs_.at(*it);
    bool has_runs = false;
    TaskId id{*it};
    for (OccurrenceProgress& occurrence : job.occurrences()) {
      id.step = 0;
      for (StepProgress& step : occurrence.steps) {
        id.index = 0;
        for (TaskProgress& task : step.tasks) {
          if (task.run) {
            Worker& worker = registry_.FindOrAdd(task.run->worker, now);
            worker.assigned.push_back(id);
            if (IsOrdered(task.run->phase))
              ++worker.runs;
            if (task.run->IsUnanswered())
              ++worker.unanswered_starts;
            TickRun(job, id, task, now);
          }
          has_runs = has_runs || task.run.has_value();
          ++id.index;
        }
        ++id.step;
      }
      ++id.occurrence;
    }
    const bool over = !has_runs && job.IsFinal();
    it = over ? live_.erase(it) : std::next(it);
  }
}

void Dispatcher::TickRun(Job& job,
                         const TaskId& id,
                         TaskProgress& task,
                         TimePoint now) {
  Run& run = *task.run;
  Worker& worker = registry_.FindOrAdd(run.worker, now);
  // The run has ended once every lease of its worker has expired. Before the
  // first order is sent, the worker's last lease does not cover the run.
  const bool lease_expired = run.ordered && now > worker.LeasesEnd();
  if (lease_expired && !worker.MayOutlastLeases(run, now)) {
    MarkRunLost(job, id, run.attempt, "the worker's leases have expired");
    return;
  }
  if (run.phase == RunPhase::kRunning && worker.entry.draining &&
      !FinishesBefore(run, job.spec(id.step), job.WorkStartTime(id),
                      worker.leaves_at, now)) {
    LOG(INFO) << "task " << ToString(id) << " leaves draining worker "
              << run.worker << ": percent=" << run.progress.percent()
              << " left_ms=" << (worker.leaves_at - now).count();
    StopRun(job, id, now, "its worker is leaving");
  }
  if (!task.run || run.in_flight || now < run.next_try ||
      worker.entry.port == 0)
    return;
  if (run.phase == RunPhase::kStarting && !retired_) {
    // An old view of the site does not tell whether the worker may still be
    // given the task. A single task that was never sent waits for a current
    // one; members of a gang time out together.
    const bool can_judge = MayStart(now);
    if (!can_judge && !run.ordered && !job.spec(id.step).gang)
      run.phase_since = now;
    if (now - run.phase_since <= kStartTimeout) {
      if (can_judge)
        TryStart(job, id, run, now);
      return;
    }
    LOG(WARNING) << "task " << ToString(id) << " attempt=" << run.attempt
                 << " could not be started on worker " << run.worker
                 << ": ordered=" << run.ordered;
    if (!run.ordered) {
      MarkRunLost(job, id, run.attempt, "its start was never sent");
      return;
    }
    worker.RecordUnreachable();
    StopRun(job, id, now, "its start timed out with an unknown outcome");
  }
  if (run.phase == RunPhase::kStopping && !run.stop_confirmed)
    SendStop(id, run, now);
}

void Dispatcher::TryStart(Job& job, const TaskId& id, Run& run, TimePoint now) {
  const Worker& worker = registry_.FindOrAdd(run.worker, now);
  if (!MayStartOn(job, id, worker)) {
    // One that may have been sent ends by its timeout.
    if (!run.ordered && !run.uncertain)
      MarkRunLost(job, id, run.attempt, "its worker may not run it any more");
    return;
  }
  // A successor must be able to tell when the run has expired, even if a
  // restarted process of the worker carries the order out.
  if (worker.settled && MaxLease(now) >= worker.lease_limits.longest &&
      !IsHeldAsStray(id, now))
    SendStart(job, id, run, now);
}

bool Dispatcher::MayStartOn(const Job& job,
                            const TaskId& id,
                            const Worker& worker) const {
  return !worker.entry.draining && !site_.IsEvacuated(worker.entry.domain) &&
         IsEligible(worker.entry, MakeDemand(job.spec(id.step), 1));
}

bool Dispatcher::IsHeldAsStray(const TaskId& id, TimePoint now) const {
  return std::ranges::any_of(registry_.workers(), [&](const auto& entry) {
    const Worker& worker = entry.second;
    return worker.strays.contains(id) && worker.HoldsStrays(now);
  });
}

void Dispatcher::SendStart(Job& job,
                           const TaskId& id,
                           Run& run,
                           TimePoint now) {
  Worker& worker = registry_.FindOrAdd(run.worker, now);
  StartOrder order;
  order.task = id;
  order.attempt = run.attempt;
  order.fence = FenceOf(worker);
  order.payload = job.record().spec.payload;
  order.checkpoint = job.Find(id)->checkpoint;
  if (!run.IsUnanswered())
    ++worker.unanswered_starts;
  const CallLease lease = worker.GrantLease(now, kStartLease, "start");
  order.lease_until_ms = lease.end_clock_ms;
  if (!std::exchange(run.ordered, true))
    run.ordered_at = now;
  // A process that may have started it before keeps it.
  if (!run.uncertain)
    run.incarnation_start_wall_ms = worker.entry.incarnation_start_wall_ms;
  ++worker.runs;
  run.in_flight = true;
  port_.Start(
      worker.entry, order, kOrderTimeout,
      [this, alive = alive_, id, attempt = run.attempt, worker_id = run.worker,
       fence = order.fence, lease](const absl::StatusOr<OrderReply>& reply) {
        if (!*alive || deposed_)
          return;
        CloseLease(worker_id, fence, lease, reply.status(),
                   reply.ok() ? reply->clock_ms : std::nullopt);
        OnStartReply(id, attempt, worker_id, fence, reply);
      });
}

void Dispatcher::CloseLease(const WorkerId& id,
                            Fence fence,
                            const CallLease& lease,
                            const absl::Status& status,
                            std::optional<int64_t> clock_ms) {
  Worker* const worker = registry_.Find(id);
  if (!worker)
    return;
  if (absl::IsUnavailable(status))
    worker->CloseLease(lease, Duration(0), clock_.Now());
  // An answer of the former process tells nothing of the present one.
  else if (clock_ms && !worker->PrecedesRestart(SeriesOf(fence)))
    worker->CloseLease(lease, Duration(lease.end_clock_ms - *clock_ms),
                       clock_.Now());
}

Run* Dispatcher::FindRun(const TaskId& id,
                         Attempt attempt,
                         const WorkerId& worker) {
  Job* const job = FindJob(id.job);
  TaskProgress* const task = job ? job->Find(id) : nullptr;
  const bool found = task && task->run && task->run->attempt == attempt &&
                     task->run->worker == worker;
  return found ? &*task->run : nullptr;
}

void Dispatcher::OnStartReply(const TaskId& id,
                              Attempt attempt,
                              const WorkerId& worker_id,
                              Fence fence,
                              const absl::StatusOr<OrderReply>& reply) {
  const TimePoint now = clock_.Now();
  Worker& worker = registry_.FindOrAdd(worker_id, now);
  // Such an answer may come from the former process.
  const bool precedes_restart = worker.PrecedesRestart(SeriesOf(fence));
  if (reply.ok() && reply->clock_ms && !precedes_restart) {
    worker.ObserveClock(*reply->clock_ms, now);
    worker.RecordAnswer(now);
  }
  if (!reply.ok() && !absl::IsUnavailable(reply.status()))
    worker.RecordUnansweredStart(id, now);
  Run* const run = FindRun(id, attempt, worker_id);
  if (!run)
    return;
  run->in_flight = false;
  Job& job = *FindJob(id.job);
  if (!reply.ok()) {
    run->next_try = now + kOrderRetryInterval;
    if (absl::IsUnavailable(reply.status()))
      ++run->unsent_tries;
    else
      run->uncertain = true;
    if (run->phase != RunPhase::kStarting)
      return;
    if (run->unsent_tries >= kMaxUnsentTries && !run->uncertain) {
      worker.RecordUnreachable();
      MarkRunLost(job, id, attempt, "the worker cannot be reached");
      Pump(now);
    }
    return;
  }
  if (reply->result == OrderResult::kFenced) {
    OnFencedByWorker(worker, fence);
    run->next_try = now + kOrderRetryInterval;
    return;
  }
  if (precedes_restart) {
    run->next_try = now + kOrderRetryInterval;
    return;
  }
  if (run->phase != RunPhase::kStarting)
    return;
  switch (reply->result) {
    case OrderResult::kDone:
    case OrderResult::kSuperseded:
      // A superseded run may have ended, or been stopped before its start came;
      // the next sync tells.
      MarkRunning(job, id, *run, now);
      if (reply->result == OrderResult::kSuperseded)
        worker.sync_soon = true;
      else
        job.set_begun();
      due_workers_.insert(worker_id);
      starts_.Add();
      start_delay_.Record(
          static_cast<double>((now - job.FindStep(id)->ready_since).count()));
      LOG(INFO) << "task " << ToString(id) << " started: worker=" << worker_id
                << " attempt=" << attempt << " superseded="
                << (reply->result == OrderResult::kSuperseded);
      Pump(now);
      return;
    case OrderResult::kLeaseInPast:
      run->next_try = now + kOrderRetryInterval;
      worker.sync_soon = true;
      return;
    default:
      break;
  }
  LOG(WARNING) << "worker " << worker_id << " refused to start task "
               << ToString(id) << ": result=" << ToString(reply->result);
  if (reply->result == OrderResult::kNoRoom)
    worker.full_until = now + kFullWorkerBackoff;
  else
    worker.health.RecordRefusal(now);
  worker.sync_soon = true;
  StepProgress& step = *job.FindStep(id);
  step.retry_at = now + kRefusedStepBackoff;
  if (run->uncertain)
    StopRun(job, id, now, "its worker refused a repeated order");
  else if (!job.spec(id.step).gang || job.IsFinal() ||
           !MoveGangMember(job, id, now))
    MarkRunLost(job, id, attempt, "the worker refused to start it");
  Pump(now);
}

void Dispatcher::MarkRunning(Job& job,
                             const TaskId& id,
                             Run& run,
                             TimePoint now) {
  Worker& worker = registry_.FindOrAdd(run.worker, now);
  if (run.IsUnanswered() && worker.unanswered_starts > 0)
    --worker.unanswered_starts;
  run.incarnation_start_wall_ms = worker.entry.incarnation_start_wall_ms;
  run.phase = RunPhase::kRunning;
  run.phase_since = now;
  run.confirmed_event = ++last_event_;
  run.started_at = run.saved_at = now;
  job.FindStep(id)->standing_since = TimePoint();
  if (job.Find(id)->checkpoint.empty())
    run.progress.Begin(now);
  else
    run.progress.Resume(now);
}

void Dispatcher::RequestStop(Job& job,
                             const TaskId& id,
                             TaskProgress& task,
                             TimePoint now) {
  Run& run = *task.run;
  if (run.phase == RunPhase::kStopping)
    return;
  if (run.phase == RunPhase::kRecording) {
    // No order was sent for it.
    task.run.reset();
    MarkChanged(job);
    return;
  }
  run.phase = RunPhase::kStopping;
  run.phase_since = now;
  run.next_try = now;
  run.stop_confirmed = false;
  run.in_flight = false;
  due_runs_.insert(id);
}

void Dispatcher::StopRun(Job& job,
                         const TaskId& id,
                         TimePoint now,
                         const char* why) {
  if (job.spec(id.step).gang) {
    StopStep(job, id, now, why);
    return;
  }
  TaskProgress& task = *job.Find(id);
  if (!task.run || task.run->phase == RunPhase::kStopping)
    return;
  LOG(INFO) << "task " << ToString(id) << " attempt=" << task.run->attempt
            << " is stopped: percent=" << task.run->progress.percent() << ": "
            << why;
  RequestStop(job, id, task, now);
}

void Dispatcher::StopStep(Job& job,
                          const TaskId& id,
                          TimePoint now,
                          const char* why) {
  StepProgress& step = *job.FindStep(id);
  step.reserved.clear();
  TaskId task_id = id;
  task_id.index = -1;
  int runs = 0;
  int percent = 0;
  for (TaskProgress& it : step.tasks) {
    ++task_id.index;
    if (!it.run || it.run->phase == RunPhase::kStopping)
      continue;
    ++runs;
    percent = std::max(percent, it.run->progress.percent());
    RequestStop(job, task_id, it, now);
  }
  if (runs > 0) {
    LOG(INFO) << "step " << ToString(id) << " is stopped: runs=" << runs
              << " percent=" << percent << ": " << why;
  }
}

void Dispatcher::StopUnfinished(Job& job, TimePoint now, const char* why) {
  TaskId id{job.record().id};
  for (OccurrenceProgress& occurrence : job.occurrences()) {
    id.step = 0;
    for (StepProgress& step : occurrence.steps) {
      if (!Job::IsDone(step))
        StopStep(job, id, now, why);
      ++id.step;
    }
    ++id.occurrence;
  }
}

void Dispatcher::StopLaterAttempts(Job& job,
                                   const TaskId& id,
                                   Attempt attempt,
                                   TimePoint now) {
  StepProgress& step = *job.FindStep(id);
  TaskId task_id = id;
  task_id.index = -1;
  for (TaskProgress& it : step.tasks) {
    ++task_id.index;
    if ((task_id.index != id.index && !job.spec(id.step).gang) || !it.run ||
        it.run->attempt <= attempt || it.run->phase == RunPhase::kStopping)
      continue;
    LOG(INFO) << "task " << ToString(task_id) << " attempt=" << it.run->attempt
              << " is stopped: attempt=" << attempt << " has ended as done";
    RequestStop(job, task_id, it, now);
  }
}

void Dispatcher::StopObsoleteRuns(Job& job, TimePoint now) {
  const bool is_final = job.IsFinal();
  TaskId id{job.record().id};
  int runs = 0;
  for (OccurrenceProgress& occurrence : job.occurrences()) {
    id.step = 0;
    for (StepProgress& step : occurrence.steps) {
      id.index = 0;
      for (TaskProgress& task : step.tasks) {
        if (task.run && (is_final || task.done) &&
            task.run->phase != RunPhase::kStopping) {
          ++runs;
          RequestStop(job, id, task, now);
        }
        ++id.index;
      }
      ++id.step;
    }
    ++id.occurrence;
  }
  if (runs > 0) {
    LOG(INFO) << "job " << job.record().id
              << " has obsolete runs of a former leader: "
              << "phase=" << ToString(job.phase()) << " stopped=" << runs;
  }
}

void Dispatcher::SendStop(const TaskId& id, Run& run, TimePoint now) {
  const Worker& worker = registry_.FindOrAdd(run.worker, now);
  run.in_flight = true;
  const Fence fence = FenceOf(worker);
  port_.Stop(
      worker.entry, {id, run.attempt, fence}, kOrderTimeout,
      [this, alive = alive_, id, attempt = run.attempt, worker_id = run.worker,
       fence](const absl::StatusOr<OrderReply>& reply) {
        if (*alive && !deposed_)
          OnStopReply(id, attempt, worker_id, fence, reply);
      });
}

void Dispatcher::OnStopReply(const TaskId& id,
                             Attempt attempt,
                             const WorkerId& worker_id,
                             Fence fence,
                             const absl::StatusOr<OrderReply>& reply) {
  const TimePoint now = clock_.Now();
  Worker& worker = registry_.FindOrAdd(worker_id, now);
  if (reply.ok() && reply->clock_ms && !worker.PrecedesRestart(SeriesOf(fence)))
    worker.ObserveClock(*reply->clock_ms, now);
  if (reply.ok() && reply->result == OrderResult::kFenced) {
    OnFencedByWorker(worker, fence);
    if (deposed_)
      return;
  }
  Run* const run = FindRun(id, attempt, worker_id);
  if (!run || run->phase != RunPhase::kStopping)
    return;
  run->in_flight = false;
  const bool confirmed =
      reply.ok() && (reply->result == OrderResult::kDone ||
                     reply->result == OrderResult::kSuperseded);
  if (!confirmed) {
    if (reply.ok() && reply->result == OrderResult::kOtherIncarnation) {
      worker.has_ended = true;
      MarkRunLost(*FindJob(id.job), id, attempt,
                  "another incarnation of the worker answered");
      return;
    }
    run->next_try = now + kOrderRetryInterval;
    return;
  }
  run->stop_confirmed = true;
  run->confirmed_event = ++last_event_;
  worker.sync_soon = true;
  due_workers_.insert(worker_id);
  Pump(now);
}

void Dispatcher::MarkRunLost(Job& job,
                             const TaskId& id,
                             Attempt attempt,
                             const char* why) {
  const TimePoint now = clock_.Now();
  const TaskProgress* const task = job.Find(id);
  if (!task || !task->run)
    return;
  const Worker& worker = registry_.FindOrAdd(task->run->worker, now);
  const LostRun loss = worker.JudgeLoss(*task->run, now);
  if (!job.ApplyLoss(id, attempt, loss, now))
    return;
  losses_.Add();
  const bool is_unclear =
      loss.evidence != CrashEvidence::kNone && !loss.has_crashed;
  LOG(INFO) << "task " << ToString(id) << " attempt=" << attempt
            << " lost its run: " << why << ": worker=" << worker.entry.id
            << " may_have_crashed=" << is_unclear << " "
            << worker.DescribeLease(now);
  if (is_unclear)
    unclear_losses_[worker.entry.id].insert(id);
  else if (loss.has_crashed)
    RecordCrash(job, id, worker.entry.id, loss.evidence, now);
  // The other members of a gang cannot continue without it.
  if (job.spec(id.step).gang)
    StopStep(job, id, now, "a member of the gang was lost");
  if (job.IsFinal())
    StopUnfinished(job, now, "the job is over");
  MarkChanged(job);
}

void Dispatcher::RecordCrash(Job& job,
                             const TaskId& id,
                             const WorkerId& worker,
                             CrashEvidence evidence,
                             TimePoint now) {
  crashes_.Add();
  job.FindStep(id)->crashed_at = now;
  const TaskProgress& task = *job.Find(id);
  LOG(WARNING) << "worker " << worker << " crashed under task " << ToString(id)
               << ": attempts=" << task.attempt
               << " soon_after_start=" << (evidence == CrashEvidence::kStrong)
               << " crash_points=" << task.crash_points
               << " job=" << ToString(job.phase());
}

}  // namespace quetzalshelf::batch
