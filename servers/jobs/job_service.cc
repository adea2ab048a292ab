#include "servers/jobs/job_service.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"

namespace quetzalshelf::jobs {

using scheduling::Commands;

namespace {

// Low bits of an order number count the jobs accepted in one epoch.
constexpr int kOrderBits = 32;
constexpr Duration kRetentionCheck{60'000};

}  // namespace

JobService::JobService(JobServiceDeps deps,
                       std::unique_ptr<scheduling::GangScheduler> scheduler,
                       JobServiceOptions options,
                       TimePoint now)
    : deps_(deps),
      options_(options),
      created_(now),
      scheduler_(std::move(scheduler)),
      readiness_(absl::UnavailableError("the job rows are being read")),
      rows_(
          deps.table,
          deps.committer,
          deps.ownership,
          [this] { Fence(); },
          options.rows),
      pool_(deps.workers, deps.clock, deps.ownership, *this, options.workers),
      domains_(deps.table,
               options.domain_poll_period,
               [this](const DomainId& domain, bool in_service) {
                 const TimePoint at = deps_.clock.Now();
                 if (phase_ != Phase::kServing)
                   return;
                 executor_.Apply(
                     scheduler_->SetDomainInService(domain, in_service, at),
                     at);
               }),
      publisher_(deps.objects,
                 rows_,
                 deps.clock,
                 options.store_retry,
                 [this](const JobId& job, Attempt attempt) {
                   const JobRecord* record = rows_.Find(job);
                   if (record == nullptr)
                     return;
                   for (const WorkerId& worker : record->placement)
                     pool_.Release({job, attempt}, worker, deps_.clock.Now());
                 }),
      executor_(
          {*scheduler_, rows_, pool_, domains_, publisher_, deps.workers,
           deps.clock, deps.ownership, deps.log},
          [this] { Fence(); },
          now + 2 * options.workers.session.task_lease,
          options.gangs),
      next_order_(deps.ownership.epoch().value() << kOrderBits) {}

JobService::~JobService() = default;

void JobService::SetWorkspaces(
    const std::vector<scheduling::Workspace>& workspaces,
    TimePoint now) {
  workspaces_ = workspaces;
  workspaces_known_ = true;
  if (phase_ == Phase::kServing)
    executor_.Apply(scheduler_->SetWorkspaces(workspaces, now), now);
}

void JobService::SetWorkers(const std::vector<WorkerEntry>& workers,
                            TimePoint now) {
  workers_known_ = true;
  pool_.SetWorkers(workers, now);
}

void JobService::Tick(TimePoint now) {
  if (phase_ == Phase::kStopped)
    return;
  ExpireWaiters(now);
  // Reports must not be acknowledged before the gangs are known.
  pool_.Tick(/*hold_reports=*/phase_ == Phase::kLoading, now);
  if (!deps_.ownership.MayAct(now)) {
    rows_.Flush(/*may_act=*/false);
    return;
  }
  domains_.Tick(now);
  if (phase_ == Phase::kLoading && !load_in_flight_ && now >= next_load_)
    StartLoading();
  if (phase_ == Phase::kSettling && ReadyToSettle(now))
    Settle(now);
  executor_.Tick(now);
  publisher_.Tick(now);
  if (phase_ == Phase::kServing && now >= next_scheduler_tick_) {
    next_scheduler_tick_ = now + options_.scheduler_tick;
    executor_.Apply(scheduler_->Tick(now), now);
  }
  if (phase_ == Phase::kServing && now >= next_retention_)
    ExpireRetention(now);
  if (phase_ != Phase::kStopped)
    rows_.Flush(/*may_act=*/true);
}

void JobService::Submit(const JobSpec& spec,
                        SubmitCallback done,
                        TimePoint now) {
  const JobId& job = spec.job.id;
  const bool loaded = phase_ == Phase::kSettling || phase_ == Phase::kServing;
  if (!loaded || !deps_.ownership.MayAct(now)) {
    done(Reply(SubmitOutcome::kNotRun, job, "the shard is changing its owner"));
    return;
  }
  if (const JobRecord* known = rows_.Find(job)) {
    const bool same = known->spec == spec;
    done(Reply(same ? SubmitOutcome::kExisting : SubmitOutcome::kConflict, job,
               same ? "" : "the job id is taken by another specification"));
    return;
  }
  if (auto it = submits_.find(job); it != submits_.end()) {
    if (it->second.spec == spec) {
      it->second.waiters.push_back({std::move(done),
                                    now + options_.answer_timeout,
                                    SubmitOutcome::kExisting});
    } else {
      done(Reply(SubmitOutcome::kConflict, job,
                 "the job id is taken by another specification"));
    }
    return;
  }
  if (used_ids_.contains(job)) {
    done(Reply(SubmitOutcome::kConflict, job,
               "the job id was used by a job that ended; choose another"));
    return;
  }
  if (submits_.size() >= options_.max_pending_submissions) {
    done(Reply(SubmitOutcome::kNotRun, job, "too many submissions at once"));
    return;
  }
  PendingSubmit& pending = submits_[job];
  pending.spec = spec;
  pending.waiters.push_back({std::move(done), now + options_.answer_timeout});
  rows_.Insert(
      {.spec = spec, .order = next_order_++},
      [this, job](JobRows::Outcome outcome) { OnInserted(job, outcome); });
}

SubmitReply JobService::Reply(SubmitOutcome outcome,
                              const JobId& job,
                              std::string message) const {
  SubmitReply reply{.outcome = outcome, .job = job};
  if (outcome == SubmitOutcome::kNotRun || outcome == SubmitOutcome::kUnknown)
    reply.retry_after = options_.retry_after;
  reply.message = std::move(message);
  return reply;
}

void JobService::OnInserted(const JobId& job, JobRows::Outcome outcome) {
  PendingSubmit pending = std::move(submits_.extract(job).mapped());
  if (outcome != JobRows::Outcome::kCommitted) {
    for (Waiter& waiter : pending.waiters) {
      waiter.done(Reply(SubmitOutcome::kNotRun, job,
                        "the job could not be stored; it does not exist"));
    }
    return;
  }
  Log("job.submitted", job);
  if (phase_ == Phase::kServing)
    executor_.Submit(job, deps_.clock.Now());
  for (Waiter& waiter : pending.waiters)
    waiter.done(Reply(waiter.outcome, job, ""));
}

void JobService::Cancel(const JobId& job, CancelCallback done, TimePoint now) {
  const bool loaded = phase_ == Phase::kSettling || phase_ == Phase::kServing;
  if (!loaded || !deps_.ownership.MayAct(now)) {
    done({CancelOutcome::kNotRun, options_.retry_after});
    return;
  }
  if (submits_.contains(job)) {
    done({CancelOutcome::kUnknown, options_.retry_after});
    return;
  }
  if (rows_.Find(job) == nullptr) {
    done({CancelOutcome::kNotFound});
    return;
  }
  const uint64_t call = ++last_cancel_;
  cancels_[call] = {std::move(done), now + options_.answer_timeout};
  rows_.UpdateOnce(
      job,
      [](JobRecord& record) {
        if (IsFinal(record.state))
          return false;
        record.state = JobState::kCancelled;
        return true;
      },
      nullptr,
      [this, call, job](JobRows::Outcome outcome) {
        OnCancelled(call, job, outcome);
      });
}

void JobService::OnCancelled(uint64_t call,
                             const JobId& job,
                             JobRows::Outcome outcome) {
  if (outcome == JobRows::Outcome::kCommitted) {
    Log("job.cancelled", job);
    executor_.Cancel(job, deps_.clock.Now());
  }
  auto node = cancels_.extract(call);
  if (node.empty())
    return;
  CancelReply reply;
  if (outcome == JobRows::Outcome::kCommitted)
    reply.outcome = CancelOutcome::kCancelled;
  else if (outcome == JobRows::Outcome::kVoid)
    reply.outcome = CancelOutcome::kAlreadyEnded;
  else
    reply.retry_after = options_.retry_after;
  node.mapped().done(reply);
}

absl::StatusOr<JobView> JobService::Status(const JobId& job,
                                           TimePoint now) const {
  if (phase_ == Phase::kLoading || phase_ == Phase::kStopped)
    return absl::UnavailableError("the job rows are being read");
  const JobRecord* record = rows_.Find(job);
  if (record == nullptr) {
    if (submits_.contains(job))
      return absl::UnavailableError("the submission is not settled yet");
    return absl::NotFoundError("there is no job " + job.value());
  }
  JobView view{.record = *record};
  if (!IsFinal(record->state))
    view.explanation = scheduler_->Explain(job, now);
  return view;
}

void JobService::Result(const JobId& job, ResultCallback done) {
  const JobRecord* record = rows_.Find(job);
  if (record == nullptr) {
    done(absl::NotFoundError("there is no job " + job.value()));
    return;
  }
  if (record->state != JobState::kFinished) {
    done(absl::FailedPreconditionError("job " + job.value() + " is " +
                                       ToString(record->state) +
                                       " and has no result"));
    return;
  }
  deps_.objects.Get(record->result, std::move(done));
}

std::vector<scheduling::UnsatisfiedGuarantee>
JobService::UnsatisfiedGuarantees() const {
  return scheduler_->UnsatisfiedGuarantees();
}

void JobService::ExpireWaiters(TimePoint now) {
  std::vector<std::pair<JobId, SubmitCallback>> submits;
  for (auto& [job, pending] : submits_) {
    for (Waiter& waiter : pending.waiters) {
      if (now >= waiter.deadline)
        submits.emplace_back(job, std::move(waiter.done));
    }
    std::erase_if(pending.waiters,
                  [&](const Waiter& waiter) { return now >= waiter.deadline; });
  }
  std::vector<CancelCallback> cancels;
  for (auto& [call, pending] : cancels_) {
    if (now >= pending.deadline)
      cancels.push_back(std::move(pending.done));
  }
  std::erase_if(cancels_,
                [&](const auto& item) { return now >= item.second.deadline; });
  for (auto& [job, done] : submits) {
    done(Reply(SubmitOutcome::kUnknown, job,
               "the store has not answered; ask for the job id again"));
  }
  for (CancelCallback& done : cancels)
    done({CancelOutcome::kUnknown, options_.retry_after});
}

void JobService::ExpireRetention(TimePoint now) {
  next_retention_ = now + kRetentionCheck;
  for (const auto& [job, record] : rows_.records()) {
    if (IsFinal(record.state))
      ended_.emplace(job, now);
  }
  std::erase_if(ended_, [&](const auto& item) {
    if (now - item.second < options_.retention)
      return false;
    rows_.Erase(item.first);
    used_ids_.insert(item.first);
    return true;
  });
}

void JobService::Fence() {
  if (!fenced_)
    LOG(WARNING) << "shard " << deps_.ownership.region()
                 << " has another owner; this one stops";
  fenced_ = true;
  phase_ = Phase::kStopped;
  readiness_ = absl::UnavailableError("the shard has another owner");
}

void JobService::Log(const char* kind, const JobId& job) {
  if (deps_.log == nullptr)
    return;
  deps_.log->Add({.kind = kind, .job = job, .epoch = deps_.ownership.epoch()});
}

}  // namespace quetzalshelf::jobs
