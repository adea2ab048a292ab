#include "servers/scheduling/naive_scheduler.h"

#include <algorithm>
#include <string>
#include <utility>

namespace quetzalshelf::scheduling {
namespace {

Accelerators Total(const Shape& shape) {
  return shape.per_task.accelerators * shape.tasks;
}

}  // namespace

Commands NaiveScheduler::SetWorkspaces(const std::vector<Workspace>& workspaces,
                                       TimePoint /*now*/) {
  for (auto& [id, state] : workspaces_) {
    state.known = false;
    state.guaranteed = Accelerators(0);
  }
  for (const Workspace& workspace : workspaces) {
    WorkspaceState& state = workspaces_[workspace.id];
    state.workspace = workspace;
    state.known = true;
    for (const Guarantee& it : workspace.guarantees) {
      state.guaranteed += Total(it.shape) * it.count;
    }
  }
  changed_ = true;
  Commands out;
  Schedule(out);
  return out;
}

Commands NaiveScheduler::AddWorker(const Worker& worker, TimePoint /*now*/) {
  changed_ = capacity_.Add(worker) || changed_;
  Commands out;
  Schedule(out);
  return out;
}

Commands NaiveScheduler::WorkerLost(const WorkerId& worker, TimePoint /*now*/) {
  Commands out;
  const auto index = capacity_.Lose(worker);
  if (!index) {
    return out;
  }
  for (auto& [order, state] : held_) {
    NaiveCapacity::Slots& slots = state->slots;
    if (std::find(slots.begin(), slots.end(), *index) != slots.end()) {
      std::replace(slots.begin(), slots.end(), *index,
                   NaiveCapacity::kLostWorker);
      Stop(*state, StopReason::kWorkerLost, out);
    }
  }
  Schedule(out);
  return out;
}

Commands NaiveScheduler::SetDomainInService(const DomainId& domain,
                                            bool in_service,
                                            TimePoint /*now*/) {
  Commands out;
  capacity_.SetInService(domain, in_service);
  changed_ = changed_ || in_service;
  for (auto& [order, state] : held_) {
    const auto there = [&](size_t it) {
      return it != NaiveCapacity::kLostWorker &&
             capacity_.worker(it).domain == domain;
    };
    if (!in_service &&
        std::any_of(state->slots.begin(), state->slots.end(), there)) {
      Stop(*state, StopReason::kDomainOut, out);
    }
  }
  Schedule(out);
  return out;
}

Commands NaiveScheduler::Submit(const Job& job, TimePoint /*now*/) {
  Commands out;
  if (auto refusal = Check(job)) {
    out.emplace_back(*refusal);
    return out;
  }
  JobState& state = jobs_[job.id];
  state.job = job;
  state.order = next_order_++;
  Enqueue(state);
  Schedule(out);
  return out;
}

Commands NaiveScheduler::Cancel(const JobId& job, TimePoint /*now*/) {
  Commands out;
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) {
    return out;
  }
  JobState& state = it->second;
  if (state.phase == JobPhase::kWaiting) {
    Dequeue(state);
    state.phase = JobPhase::kCancelled;
  } else if (state.start_order != 0) {
    state.cancelled = true;
    Stop(state, StopReason::kCancelled, out);
  }
  Schedule(out);
  return out;
}

Commands NaiveScheduler::Adopt(const Job& job,
                               const StartGang& running,
                               Duration /*checkpointed*/,
                               TimePoint /*now*/) {
  Commands out;
  NaiveCapacity::Slots slots;
  for (const WorkerId& worker : running.placement) {
    const auto index = capacity_.Find(worker);
    if (!index || !capacity_.IsUp(*index)) {
      return out;
    }
    slots.push_back(*index);
  }
  JobState& state = jobs_[job.id];
  if (state.order != 0) {
    return out;
  }
  state.job = job;
  state.order = next_order_++;
  state.attempt = running.attempt;
  state.borrower = !running.guaranteed;
  Hold(state, slots);
  state.phase = JobPhase::kRunning;
  return out;
}

Commands NaiveScheduler::GangStarted(const JobId& job,
                                     Attempt attempt,
                                     TimePoint /*now*/) {
  JobState* state = FindHeld(job, attempt);
  if (state != nullptr && state->phase == JobPhase::kStarting) {
    state->phase = JobPhase::kRunning;
  }
  return {};
}

Commands NaiveScheduler::StartFailed(const JobId& job,
                                     Attempt attempt,
                                     const WorkerId& /*refused_by*/,
                                     TimePoint /*now*/) {
  Commands out;
  if (JobState* state = FindHeld(job, attempt)) {
    EndAttempt(*state);
  }
  // The retry waits for the next tick, so that a worker that refuses every
  // start is not asked in a tight loop.
  return out;
}

Commands NaiveScheduler::GangFinished(const JobId& job,
                                      Attempt attempt,
                                      TimePoint /*now*/) {
  Commands out;
  if (JobState* state = FindHeld(job, attempt)) {
    Release(*state);
    state->phase = JobPhase::kFinished;
    Schedule(out);
  }
  return out;
}

Commands NaiveScheduler::TaskFailed(const JobId& job,
                                    Attempt attempt,
                                    const WorkerId& worker,
                                    TimePoint /*now*/) {
  Commands out;
  JobState* state = FindHeld(job, attempt);
  if (state == nullptr || state->phase == JobPhase::kStopping) {
    return out;
  }
  ++state->failures;
  if (const auto index = capacity_.Find(worker)) {
    state->avoid.insert(*index);
  }
  Stop(*state, StopReason::kTaskFailed, out);
  return out;
}

Commands NaiveScheduler::CheckpointSaved(const JobId& /*job*/,
                                         Attempt /*attempt*/,
                                         Duration /*progress*/,
                                         TimePoint /*now*/) {
  return {};
}

Commands NaiveScheduler::GangStopped(const JobId& job,
                                     Attempt attempt,
                                     TimePoint /*now*/) {
  Commands out;
  JobState* state = FindHeld(job, attempt);
  if (state == nullptr) {
    return out;
  }
  if (state->failures >= std::max(1, state->job.max_failures) &&
      !state->cancelled) {
    Release(*state);
    Fail(*state, out);
  } else {
    EndAttempt(*state);
  }
  Schedule(out);
  return out;
}

Commands NaiveScheduler::UsageReported(const JobId& /*job*/,
                                       Attempt /*attempt*/,
                                       Accelerators /*used*/,
                                       TimePoint /*now*/) {
  return {};
}

Commands NaiveScheduler::Tick(TimePoint /*now*/) {
  Commands out;
  Schedule(out);
  return out;
}

JobExplanation NaiveScheduler::Explain(const JobId& job,
                                       TimePoint /*now*/) const {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) {
    return {};
  }
  const JobState& state = it->second;
  return {state.phase, "The baseline scheduler gives no reasons.", "",
          state.start_order != 0 && !state.borrower};
}

std::vector<UnsatisfiedGuarantee> NaiveScheduler::UnsatisfiedGuarantees()
    const {
  return {};
}

NaiveScheduler::JobState* NaiveScheduler::FindHeld(const JobId& id,
                                                   Attempt attempt) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.start_order == 0 ||
      it->second.attempt != attempt) {
    return nullptr;
  }
  return &it->second;
}

std::optional<RefuseJob> NaiveScheduler::Check(const Job& job) const {
  const auto refuse = [&](RefusalReason reason, std::string detail) {
    return RefuseJob{job.id, reason, std::move(detail)};
  };
  if (jobs_.contains(job.id)) {
    return refuse(RefusalReason::kDuplicateId, "The job id is in use.");
  }
  const auto it = workspaces_.find(job.workspace);
  if (it == workspaces_.end() || !it->second.known) {
    return refuse(RefusalReason::kUnknownWorkspace, "No such workspace.");
  }
  if (job.gang.tasks < 1) {
    return refuse(RefusalReason::kInvalid, "A gang has at least one task.");
  }
  const Workspace& workspace = it->second.workspace;
  if (workspace.quota.value() > 0 && Total(job.gang) > workspace.quota) {
    return refuse(RefusalReason::kOverQuota, "Larger than the quota.");
  }
  if (it->second.queued >= workspace.max_queued_jobs) {
    return refuse(RefusalReason::kQueueFull, "The queue is full.");
  }
  if (!capacity_.FitsEmpty(job.gang)) {
    return refuse(RefusalReason::kNeverFits, "No set of workers can hold it.");
  }
  return std::nullopt;
}

void NaiveScheduler::Hold(JobState& state, const NaiveCapacity::Slots& slots) {
  state.slots = slots;
  state.start_order = next_start_++;
  held_[state.start_order] = &state;
  capacity_.Hold(slots, state.job.gang.per_task);
  WorkspaceState& workspace = workspaces_[state.job.workspace];
  workspace.used += Total(state.job.gang);
  if (!state.borrower) {
    workspace.guaranteed_used += Total(state.job.gang);
  }
}

void NaiveScheduler::Release(JobState& state) {
  capacity_.Release(state.slots, state.job.gang.per_task);
  held_.erase(state.start_order);
  state.slots.clear();
  state.start_order = 0;
  WorkspaceState& workspace = workspaces_[state.job.workspace];
  workspace.used -= Total(state.job.gang);
  if (!state.borrower) {
    workspace.guaranteed_used -= Total(state.job.gang);
  }
  changed_ = true;
}

void NaiveScheduler::Enqueue(JobState& state) {
  state.phase = JobPhase::kWaiting;
  queue_[state.order] = &state;
  ++workspaces_[state.job.workspace].queued;
  changed_ = true;
}

void NaiveScheduler::Dequeue(JobState& state) {
  queue_.erase(state.order);
  --workspaces_[state.job.workspace].queued;
}

void NaiveScheduler::EndAttempt(JobState& state) {
  Release(state);
  if (state.cancelled) {
    state.phase = JobPhase::kCancelled;
  } else {
    Enqueue(state);
  }
}

void NaiveScheduler::Stop(JobState& state, StopReason reason, Commands& out) {
  if (state.phase != JobPhase::kStopping) {
    state.phase = JobPhase::kStopping;
    out.emplace_back(StopGang{state.job.id, state.attempt, reason});
  }
}

void NaiveScheduler::Fail(JobState& state, Commands& out) {
  state.phase = JobPhase::kFailed;
  out.emplace_back(RefuseJob{state.job.id, RefusalReason::kTooManyFailures,
                             "The job failed too many times."});
}

void NaiveScheduler::Schedule(Commands& out) {
  if (!changed_) {
    return;
  }
  changed_ = false;
  // Accelerators kept free, by count, for gangs below a guaranteed number.
  Accelerators claimed;
  std::vector<JobState*> waiting;
  for (auto& [order, state] : queue_) {
    waiting.push_back(state);
  }
  std::map<WorkspaceId, Accelerators> claims;
  for (JobState* state : waiting) {
    Accelerators& claim = claims[state->job.workspace];
    if (WithinGuarantee(*state, claim) && WithinQuota(*state) &&
        !TryStart(*state, false, out)) {
      claim += Total(state->job.gang);
      claimed += Total(state->job.gang);
    }
  }
  PreemptNewest(claimed, out);
  StartBorrowers(waiting, capacity_.FreeInService() - claimed, out);
}

void NaiveScheduler::StartBorrowers(const std::vector<JobState*>& waiting,
                                    Accelerators spare,
                                    Commands& out) {
  // Shapes that did not fit; trying them again would not change the outcome.
  std::vector<Shape> blocked;
  for (JobState* state : waiting) {
    const Shape& gang = state->job.gang;
    if (state->phase != JobPhase::kWaiting || !WithinQuota(*state)) {
      continue;
    }
    const bool known_blocked =
        std::find(blocked.begin(), blocked.end(), gang) != blocked.end();
    if (!known_blocked && Total(gang) <= spare && TryStart(*state, true, out)) {
      spare -= Total(gang);
      continue;
    }
    if (queueing_ == Queueing::kInOrder) {
      return;
    }
    if (state->avoid.empty()) {
      blocked.push_back(gang);
    }
  }
}

bool NaiveScheduler::TryStart(JobState& state, bool borrower, Commands& out) {
  const auto slots = capacity_.Place(state.job.gang, state.avoid);
  if (!slots) {
    return false;
  }
  Dequeue(state);
  state.borrower = borrower;
  state.phase = JobPhase::kStarting;
  state.attempt = state.attempt.Next();
  Hold(state, *slots);
  StartGang start{state.job.id, state.attempt, {}, !borrower};
  for (size_t it : *slots) {
    start.placement.push_back(capacity_.worker(it).id);
  }
  out.emplace_back(std::move(start));
  return true;
}

bool NaiveScheduler::WithinGuarantee(const JobState& state,
                                     Accelerators claimed) const {
  const WorkspaceState& workspace = workspaces_.at(state.job.workspace);
  return workspace.guaranteed_used + claimed + Total(state.job.gang) <=
         workspace.guaranteed;
}

bool NaiveScheduler::WithinQuota(const JobState& state) const {
  const WorkspaceState& workspace = workspaces_.at(state.job.workspace);
  return workspace.workspace.quota.value() == 0 ||
         workspace.used + Total(state.job.gang) <= workspace.workspace.quota;
}

void NaiveScheduler::PreemptNewest(Accelerators claimed, Commands& out) {
  Accelerators missing =
      claimed - capacity_.FreeInService() - StoppingInService();
  for (auto it = held_.rbegin(); it != held_.rend() && missing.value() > 0;
       ++it) {
    JobState& state = *it->second;
    if (state.borrower && state.phase != JobPhase::kStopping) {
      missing -= Total(state.job.gang);
      Stop(state, StopReason::kReclaimed, out);
    }
  }
}

Accelerators NaiveScheduler::StoppingInService() const {
  Accelerators sum;
  for (const auto& [order, state] : held_) {
    if (state->phase != JobPhase::kStopping) {
      continue;
    }
    for (size_t it : state->slots) {
      sum += it != NaiveCapacity::kLostWorker && capacity_.InService(it)
                 ? state->job.gang.per_task.accelerators
                 : Accelerators(0);
    }
  }
  return sum;
}

}  // namespace quetzalshelf::scheduling
