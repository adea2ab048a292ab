// Dispatcher: syncs with workers, which renew leases and report runs and ends.

#include <algorithm>
#include <utility>

#include "core/logging.h"
#include "servers/batch/dispatcher.h"

namespace quetzalshelf::batch {

namespace {

// Time for which a worker may hold a sync until a run ends. Short enough to
// renew a lease several times before it expires.
constexpr Duration kSyncWait{750};
constexpr Duration kSyncTimeout{500};
constexpr Duration kSyncRetryInterval{150};
// Interval of syncs of a worker whose ends are not recorded yet; they keep its
// leases alive.
constexpr Duration kBlockedSyncInterval{700};
// Interval of the syncs of workers beyond the limit of polls.
constexpr Duration kUnpolledSyncInterval{500};
// Delay before a step is retried after its run failed.
constexpr Duration kFailedStepBackoff{50};
// Minimum time between two speed checks of a gang.
constexpr Duration kSpeedCheckPeriod{300};
// Divisor: the newest stop has 1/8 of the weight in the mean stop time.
constexpr int kStopTimeWeight = 8;
// The wall clocks of workers and VMs differ by less than this.
constexpr Duration kWallClockMargin{2'000};
// A worker that is neither listed nor heard for so long after its leases have
// expired has crashed. Longer than a restart takes, and than most cuts.
constexpr Duration kMissingWorkerLimit{10'000};
// Stalled tasks on a healthy worker usually resume within this time.
constexpr Duration kTypicalStall{3'000};

}  // namespace

void Dispatcher::TickWorker(Worker& worker, TimePoint now) {
  if (!worker.synced || worker.sync_in_flight || worker.entry.port == 0 ||
      now < worker.next_sync)
    return;
  // A worker that has missed syncs is unusable, and may hold ends of runs that
  // are taken for lost, until it answers.
  const bool unheard = worker.listed && worker.sync_failures > 0;
  const bool unsettled = worker.listed && !worker.settled;
  const bool wanted = unheard || unsettled || worker.runs > 0 ||
                      worker.sync_soon || !worker.strays.empty() ||
                      !worker.pending_ends.empty() ||
                      worker.acknowledged_ends < worker.recorded_ends;
  if (wanted)
    SendSync(worker, now);
}

void Dispatcher::ContactWorkers(TimePoint now) {
  for (WorkerId id = contacts_.Next(); !id.empty(); id = contacts_.Next()) {
    Worker& worker = registry_.FindOrAdd(id, now);
    worker.contact = true;
    SendSync(worker, now);
  }
}

void Dispatcher::SendSync(Worker& worker, TimePoint now) {
  SyncRequest request;
  request.fence = FenceOf(worker);
  // A repeated acknowledgement would forget nothing here, but unread ends of
  // the next process if it is carried out by that one.
  if (worker.recorded_ends > worker.acknowledged_ends)
    request.acknowledged_ends = worker.recorded_ends;
  // A worker that does not answer gets no further leases: each sync might still
  // be delivered late, so its runs could never be known to have expired.
  const Duration lease = std::min(kLeaseLength, MaxLease(now));
  std::optional<CallLease> granted;
  if (worker.runs > 0 && worker.has_clock && worker.sync_failures == 0 &&
      lease > Duration(0) && worker.LongestEffect(lease) <= MaxLease(now)) {
    granted = worker.GrantLease(now, lease, "sync");
    request.lease_until_ms = granted->end_clock_ms;
  }
  const bool may_wait = worker.synced && worker.pending_ends.empty() &&
                        !worker.sync_soon && worker.sync_failures == 0;
  const bool polls = may_wait && polls_ < options_.max_polls;
  if (polls) {
    request.wait = kSyncWait;
    ++polls_;
  }
  worker.sync_soon = false;
  worker.sync_in_flight = true;
  port_.Sync(
      worker.entry, request, kSyncTimeout + request.wait,
      [this, alive = alive_, id = worker.entry.id, polls,
       series = worker.fence_series, sent_event = ++last_event_, granted,
       noted =
           request.acknowledged_ends](const absl::StatusOr<SyncReply>& reply) {
        if (!*alive || deposed_)
          return;
        if (polls)
          --polls_;
        Worker* const known = registry_.Find(id);
        if (known && reply.ok() && reply->result == OrderResult::kDone &&
            !known->PrecedesRestart(series))
          known->acknowledged_ends = std::max(known->acknowledged_ends, noted);
        if (granted) {
          const bool done = reply.ok() && reply->result == OrderResult::kDone;
          CloseLease(id, MakeFence(fencing_token_.epoch, series), *granted,
                     reply.status(),
                     done ? std::optional(reply->clock_ms) : std::nullopt);
        }
        OnSyncReply(id, series, sent_event, reply);
      });
}

void Dispatcher::OnSyncReply(const WorkerId& id,
                             uint32_t series,
                             uint64_t sent_event,
                             const absl::StatusOr<SyncReply>& reply) {
  const TimePoint now = clock_.Now();
  Worker& worker = registry_.FindOrAdd(id, now);
  worker.sync_in_flight = false;
  if (std::exchange(worker.contact, false)) {
    contacts_.Finish();
    ContactWorkers(now);
  }
  if (!reply.ok() || (reply->result != OrderResult::kDone &&
                      reply->result != OrderResult::kFenced)) {
    if (!reply.ok() && !absl::IsUnavailable(reply.status()))
      worker.RecordUnansweredCall();
    if (worker.sync_failures++ == 0) {
      LOG(WARNING) << "worker " << id << " cannot be synced: "
                   << (reply.ok() ? "it refused"
                                  : std::string(reply.status().message()))
                   << ": " << worker.DescribeLease(now);
    }
    // Another worker has its address, so its process has ended. A connection
    // that breaks or is refused may be the network's doing.
    if (reply.ok() && reply->result == OrderResult::kOtherIncarnation)
      worker.has_ended = true;
    worker.next_sync = now + kSyncRetryInterval;
    return;
  }
  if (reply->result == OrderResult::kFenced) {
    OnFencedByWorker(worker, MakeFence(fencing_token_.epoch, series));
    worker.next_sync = now;
    return;
  }
  if (worker.PrecedesRestart(series) && reply->incarnation_start_wall_ms != 0 &&
      reply->incarnation_start_wall_ms ==
          worker.former_incarnation_start_wall_ms) {
    LOG(INFO) << "worker " << id
              << " answered before its restart: ignored: process="
              << reply->incarnation_start_wall_ms;
    worker.next_sync = now;
    return;
  }
  const bool news = !worker.synced || worker.sync_failures > 0;
  worker.synced = true;
  worker.sync_failures = 0;
  const bool knows_incarnation = reply->incarnation_start_wall_ms != 0 &&
                                 worker.entry.incarnation_start_wall_ms != 0;
  const bool restarted =
      knows_incarnation && reply->incarnation_start_wall_ms !=
                               worker.entry.incarnation_start_wall_ms;
  if (restarted) {
    worker.ResetForIncarnation(reply->incarnation_start_wall_ms, now);
    speeds_.Forget(id);
  }
  if (knows_incarnation)
    worker.SetClock(reply->clock_ms, now);
  else
    worker.ObserveClock(reply->clock_ms, now);
  if (reply->incarnation_start_wall_ms != 0)
    worker.entry.incarnation_start_wall_ms = reply->incarnation_start_wall_ms;
  const bool has_settled = worker.RecordSync(series, now);
  ApplyEnds(worker, *reply, now);
  ApplyRuns(worker, *reply, sent_event, now);
  SettleLossesOf(id, reply->incarnation_start_wall_ms, now);
  // Runs of a former incarnation are lost by now.
  worker.RecordAnswer(now);
  RecordEnds(worker);
  if (!worker.pending_ends.empty())
    worker.next_sync = now + kBlockedSyncInterval;
  else if (polls_ >= options_.max_polls && !worker.sync_soon)
    worker.next_sync = now + kUnpolledSyncInterval;
  else
    worker.next_sync = now;
  if (news || has_settled)
    pass_due_ = true;
  due_workers_.insert(id);
  Pump(now);
}

void Dispatcher::ApplyEnds(Worker& worker,
                           const SyncReply& reply,
                           TimePoint now) {
  for (const ListedEnd& end : reply.ends) {
    if (end.number <= worker.applied_ends)
      continue;
    worker.applied_ends = end.number;
    Job* const job = FindJob(end.task.job);
    const Run* const run = FindRun(end.task, end.attempt, worker.entry.id);
    const TimePoint started = run ? run->OrderedAt() : now;
    if (run && end.reason == EndReason::kStopped)
      mean_stop_time_ +=
          (now - run->phase_since - mean_stop_time_) / kStopTimeWeight;
    if (run && end.reason == EndReason::kDone)
      LogGangCompletion(*job, end.task, now);
    if (job && job->ApplyEnd(end.task, end.attempt, end.reason, end.checkpoint,
                             worker.entry.id)) {
      job->set_begun();
      ends_.Add();
      LOG(INFO) << "task " << ToString(end.task)
                << " ended: worker=" << worker.entry.id
                << " attempt=" << end.attempt
                << " reason=" << ToString(end.reason);
      StepProgress& step = *job->FindStep(end.task);
      if (end.reason == EndReason::kFailed) {
        failures_.Add();
        RecordFailure(worker, end.task, started, now);
        step.retry_at = now + kFailedStepBackoff;
      }
      if (end.reason == EndReason::kDone) {
        worker.health.RecordSuccess(started);
        StopLaterAttempts(*job, end.task, end.attempt, now);
      } else if (job->spec(end.task.step).gang) {
        StopStep(*job, end.task, now, "a member of the gang has ended");
      }
      if (job->IsFinal())
        StopUnfinished(*job, now, "the job is over");
      MarkChanged(*job);
    }
    worker.pending_ends.push_back(
        {end.number, end.task.job, job ? job->revision : 0});
  }
}

void Dispatcher::LogGangCompletion(Job& job,
                                   const TaskId& id,
                                   TimePoint now) const {
  // All members of a gang end together, so only the first end is logged.
  if (!job.spec(id.step).gang || job.Find(id)->done)
    return;
  TimePoint began;
  double slowness = 0;
  std::set<RackId> racks;
  for (const TaskProgress& it : job.FindStep(id)->tasks) {
    if (!it.run)
      continue;
    began = std::max(began, it.run->started_at);
    slowness = std::max(slowness, speeds_.Slowness(it.run->worker, now));
    if (const Worker* const worker = registry_.Find(it.run->worker))
      racks.insert(worker->entry.rack);
  }
  LOG(INFO) << "step " << ToString(id)
            << " is done: run_ms=" << (now - began).count()
            << " slowness=" << slowness << " racks=" << racks.size();
}

void Dispatcher::UpdateWorkerSpeeds(Job& job, const TaskId& id, TimePoint now) {
  const StepSpec& spec = job.spec(id.step);
  StepProgress& step = *job.FindStep(id);
  // Members far from their data are slow for a reason other than their worker.
  if (!spec.gang || !spec.data_rack.empty() || now < step.next_speed_check)
    return;
  step.next_speed_check = now + kSpeedCheckPeriod;
  const TimePoint began = job.WorkStartTime(id);
  if (began == TimePoint::max())
    return;
  std::vector<WorkerSpeeds::MemberRate> members;
  for (const TaskProgress& it : step.tasks) {
    if (const auto rate = it.run->progress.Rate(began))
      members.push_back({it.run->worker, *rate});
  }
  speeds_.ObserveGang(members, now);
}

void Dispatcher::CheckStalls(Job& job, const TaskId& id, TimePoint now) {
  const StepSpec& spec = job.spec(id.step);
  if (spec.long_running)
    return;
  StepProgress& step = *job.FindStep(id);
  TaskId task_id = id;
  const auto began = [&](const TaskProgress& task) {
    return spec.gang ? job.WorkStartTime(id) : task.run->started_at;
  };
  if (spec.gang && job.WorkStartTime(id) == TimePoint::max())
    return;
  std::optional<double> usual_rate;
  for (const TaskProgress& it : step.tasks) {
    if (const auto rate =
            it.run ? it.run->progress.Rate(began(it)) : std::nullopt)
      usual_rate = std::max(usual_rate.value_or(0), *rate);
  }
  // Another run may be known as stalled only now, compared with this one.
  for (size_t n = 0; n < step.tasks.size(); ++n) {
    const TaskProgress& task = step.tasks[n];
    if (!task.run || task.run->phase != RunPhase::kRunning ||
        !task.run->progress.IsStalled(began(task), usual_rate))
      continue;
    task_id.index = static_cast<int>(n);
    if (StopStalledRun(job, task_id, *task.run, now) && spec.gang)
      return;
  }
}

bool Dispatcher::StopStalledRun(Job& job,
                                const TaskId& id,
                                const Run& run,
                                TimePoint now) {
  const StepSpec& spec = job.spec(id.step);
  const RunProgress& progress = run.progress;
  const TimePoint began = job.WorkStartTime(id);
  const TimePoint since = std::max(progress.changed_at(), began);
  const Duration still = progress.observed_at() - since;
  const Duration unsaved =
      progress.changed_at() -
      (spec.checkpointing ? run.saved_at : std::max(run.started_at, began));
  WorkerHealth& health = registry_.FindOrAdd(run.worker, now).health;
  const bool news = !health.is_stalled();
  health.RecordStall(now);
  failure_bursts_.RecordStall(run.worker, id.job, since, now);
  // A restart costs the unsaved work; waiting costs the rest of the stall,
  // which is expected to last longer the longer it has already lasted.
  const bool worthwhile = unsaved <= kTypicalStall + still;
  if (news || worthwhile) {
    LOG(WARNING) << "task " << ToString(id) << " is stalled on worker "
                 << run.worker << ": for_ms=" << still.count()
                 << " percent=" << progress.percent()
                 << " unsaved_ms=" << unsaved.count()
                 << " restarted=" << worthwhile;
  }
  if (worthwhile)
    StopRun(job, id, now, "it is stalled");
  return worthwhile;
}

void Dispatcher::RecordFailure(Worker& worker,
                               const TaskId& task,
                               TimePoint started,
                               TimePoint now) {
  if (now - started <= kQuickFailureLimit)
    failure_bursts_.RecordQuickFailure(worker.entry.id, task.job, now);
  if (failure_bursts_.IsJobAtFault(task.job)) {
    LOG(INFO) << "failure of task " << ToString(task)
              << " is attributed to the job";
    return;
  }
  worker.health.RecordFailure(task.job, started, now);
  LOG(WARNING) << "worker " << worker.entry.id << " failed task "
               << ToString(task) << ": after_ms=" << (now - started).count()
               << " set_aside=" << worker.health.IsOnProbation(now)
               << " penalty=" << worker.health.Penalty(now);
}

void Dispatcher::ApplyRuns(Worker& worker,
                           const SyncReply& reply,
                           uint64_t sent_event,
                           TimePoint now) {
  std::set<std::pair<TaskId, Attempt>> listed;
  // Their tasks may start elsewhere unless they are listed again.
  pass_due_ = pass_due_ || !worker.strays.empty();
  worker.strays.clear();
  for (const ListedRun& it : reply.runs) {
    listed.emplace(it.task, it.attempt);
    Run* const run = FindRun(it.task, it.attempt, worker.entry.id);
    if (!run) {
      worker.RecordStray(it.task, now);
      StopUnassignedRun(worker, it);
      continue;
    }
    Job& job = *FindJob(it.task.job);
    job.set_begun();
    run->incarnation_start_wall_ms = worker.entry.incarnation_start_wall_ms;
    // A late start may have started it once more on the present process.
    const bool began_again = run->phase == RunPhase::kRunning &&
                             run->started_at < worker.restarted_at;
    if (run->phase == RunPhase::kStarting || began_again)
      MarkRunning(job, it.task, *run, now);
    if (run->phase == RunPhase::kRecovered) {
      MarkRunning(job, it.task, *run, now);
      run->progress.Resume(now);
    }
    job.SaveCheckpoint(it.task, it.checkpoint, now);
    if (run->progress.Observe(it.percent, now)) {
      if (now - run->OrderedAt() > kQuickFailureLimit)
        worker.health.RecordSuccess(run->OrderedAt());
      worker.health.RecordProgress();
      UpdateWorkerSpeeds(job, it.task, now);
    }
    if (run->phase == RunPhase::kRunning)
      CheckStalls(job, it.task, now);
  }
  // The ends of unlisted runs may be among those left out. The next sync lists
  // them, once the first ones are recorded.
  if (reply.more_ends) {
    LOG(INFO) << "worker " << worker.entry.id
              << " listed only the first ends: listed=" << reply.ends.size()
              << " last=" << worker.applied_ends;
    return;
  }
  // Runs that the worker should know but does not list are lost. `assigned`
  // lacks the newest runs; the next sync checks those.
  for (const TaskId& id : std::vector<TaskId>(worker.assigned)) {
    Job* const job = FindJob(id.job);
    TaskProgress* const task = job ? job->Find(id) : nullptr;
    if (!task || !task->run || task->run->worker != worker.entry.id)
      continue;
    Run& run = *task->run;
    if (listed.contains({id, run.attempt}))
      continue;
    if (run.phase == RunPhase::kRecovered && NeverStarted(*job, worker) &&
        MayStartOn(*job, id, worker)) {
      ResendStart(id, run, now);
      continue;
    }
    const bool confirmed =
        run.phase == RunPhase::kRunning ||
        (run.phase == RunPhase::kStopping && run.stop_confirmed);
    const bool gone = run.phase == RunPhase::kRecovered ||
                      (confirmed && run.confirmed_event < sent_event);
    if (!gone)
      continue;
    // A start order without an answer may still be delivered: a new incarnation
    // of the worker cannot tell from its lease or its attempt that it is stale.
    // A stop makes the worker refuse it.
    if (run.uncertain && run.phase == RunPhase::kRunning)
      StopRun(*job, id, now, "the worker does not list it");
    else
      MarkRunLost(*job, id, run.attempt, "the worker does not list it");
  }
}

void Dispatcher::SettleLossesOf(const WorkerId& id,
                                int64_t incarnation_start_wall_ms,
                                TimePoint now) {
  if (incarnation_start_wall_ms == 0 || !unclear_losses_.contains(id))
    return;
  SettleLosses(id, /*has_crashed=*/false, now, [&](const UnclearLoss& it) {
    return it.incarnation_start_wall_ms == 0 ||
           it.incarnation_start_wall_ms == incarnation_start_wall_ms;
  });
  SettleLosses(id, /*has_crashed=*/true, now,
               [](const UnclearLoss&) { return true; });
}

void Dispatcher::SettleLosses(
    const WorkerId& id,
    bool has_crashed,
    TimePoint now,
    const std::function<bool(const UnclearLoss&)>& is_settled) {
  const auto entry = unclear_losses_.find(id);
  if (entry == unclear_losses_.end())
    return;
  // A copy, since a job that fails now stops its other runs.
  for (const TaskId& task : std::set<TaskId>(entry->second)) {
    Job* const job = FindJob(task.job);
    const auto evidence =
        job ? job->SettleLosses(task, has_crashed,
                                [&](const UnclearLoss& it) {
                                  return it.worker == id && is_settled(it);
                                })
            : std::nullopt;
    if (!evidence)
      continue;
    if (has_crashed) {
      RecordCrash(*job, task, id, *evidence, now);
    } else {
      LOG(INFO) << "worker " << id << " was only out of reach when task "
                << ToString(task) << " lost its run there";
    }
    if (job->IsFinal())
      StopUnfinished(*job, now, "the job is over");
    MarkChanged(*job);
  }
  std::erase_if(entry->second, [&](const TaskId& it) {
    const Job* const job = FindJob(it.job);
    const TaskProgress* const task = job ? job->Find(it) : nullptr;
    return !task ||
           std::ranges::find(task->unclear_losses, id, &UnclearLoss::worker) ==
               task->unclear_losses.end();
  });
  if (entry->second.empty())
    unclear_losses_.erase(entry);
}

void Dispatcher::SettleOldLosses(TimePoint now) {
  if (now - workers_confirmed_at_ > kMaxViewAge) {
    // Entries may be missing because the store was away.
    missing_since_ = now;
    return;
  }
  std::set<WorkerId> ids;
  for (const auto& [id, tasks] : unclear_losses_)
    ids.insert(id);
  for (const WorkerId& id : ids) {
    // An entry that is still listed is renewed by the process that it names.
    const Worker* const worker = registry_.Find(id);
    const bool is_missing = !worker || !worker->listed;
    SettleLosses(id, is_missing, now, [&](const UnclearLoss& it) {
      return now - std::max(it.noted_at, missing_since_) >= kMissingWorkerLimit;
    });
  }
}

// Whether a recovered run that the worker lists neither as running nor as ended
// was never started there: the incarnation of the worker began before the job
// was accepted.
bool Dispatcher::NeverStarted(const Job& job, const Worker& worker) {
  const int64_t born = worker.entry.incarnation_start_wall_ms;
  return !job.IsFinal() && born != 0 &&
         born + kWallClockMargin.count() < job.record().accepted_wall_ms;
}

void Dispatcher::ResendStart(const TaskId& id, Run& run, TimePoint now) {
  LOG(INFO) << "task " << ToString(id) << " attempt=" << run.attempt
            << " is resent to worker " << run.worker
            << " by the new leader: the worker does not list it";
  run.phase = RunPhase::kStarting;
  run.phase_since = now;
  run.started_at = TimePoint();
  ++registry_.FindOrAdd(run.worker, now).unanswered_starts;
  // Workers refuse orders of the former leader from now on, but a refusal of
  // this order does not prove that the run was never started.
  run.uncertain = true;
  due_runs_.insert(id);
}

void Dispatcher::StopUnassignedRun(const Worker& worker,
                                   const ListedRun& listed) {
  LOG(WARNING) << "worker " << worker.entry.id << " runs task "
               << ToString(listed.task) << " attempt=" << listed.attempt
               << " that is not assigned to it; stopping it";
  port_.Stop(worker.entry, {listed.task, listed.attempt, FenceOf(worker)},
             kOrderTimeout,
             [id = worker.entry.id](const absl::StatusOr<OrderReply>& reply) {
               // The next sync lists the run again if it goes on.
               if (!reply.ok()) {
                 LOG(WARNING)
                     << "worker " << id
                     << " did not confirm a stop: " << reply.status().message();
               }
             });
}

}  // namespace quetzalshelf::batch
