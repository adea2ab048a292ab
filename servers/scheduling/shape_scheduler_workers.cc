// Workers, failure domains and probation of ShapeScheduler.

#include "servers/scheduling/shape_scheduler.h"

#include <algorithm>
#include <utility>

namespace quetzalshelf::scheduling {

namespace {

// A worker for which no probe could be found in this many intervals is used
// again; two more failures suffice to suspect it once more.
constexpr int kIntervalsWithoutProbe = 3;
// Failures of a job on its only worker before that worker is suspected.
constexpr int kFailuresOnlyHere = 4;
// Waiting jobs that are considered as a probe.
constexpr size_t kProbeScan = 64;

}  // namespace

Commands ShapeScheduler::AddWorker(const Worker& worker, TimePoint now) {
  const WorkerIndex index = ledger_.Intern(worker.id);
  const ClusterLedger::WorkerEntry& entry = ledger_.worker(index);
  const bool is_present = entry.state != WorkerState::kUnknown &&
                          entry.state != WorkerState::kLost &&
                          entry.state != WorkerState::kLostOnProbation;
  const Worker& old = entry.info;
  const bool is_same = old.domain == worker.domain && old.rack == worker.rack &&
                       old.capacity == worker.capacity;
  if (is_present && is_same)
    return {};
  if (is_present) {
    HandleGangsOnLostWorker(index, now);
    ledger_.FireWorker(index, WorkerEvent::kLose);
  }
  if (!is_same)
    ledger_.SetWorkerInfo(index, worker);
  ledger_.FireWorker(index, WorkerEvent::kAdd);
  capacity_freed_ = true;
  return TakeCommands();
}

Commands ShapeScheduler::WorkerLost(const WorkerId& worker, TimePoint now) {
  const auto index = ledger_.Find(worker);
  if (!index || !ledger_.FireWorker(*index, WorkerEvent::kLose))
    return {};
  HandleGangsOnLostWorker(*index, now);
  Replan(now);
  AdvanceHolds(now);
  return TakeCommands();
}

void ShapeScheduler::HandleGangsOnLostWorker(WorkerIndex worker,
                                             TimePoint now) {
  const std::vector<JobRecord*> gangs = ledger_.worker(worker).gangs;
  for (JobRecord* job : gangs) {
    ledger_.ReleaseOn(*job, worker);
    // A stop that was sent is always answered; without one, nothing is left
    // that could answer.
    if (job->slots.empty() && job->gang_state != GangState::kStopping)
      EndAttempt(*job, JobEvent::kLost, now);
    else
      StopNow(*job, StopReason::kWorkerLost);
  }
}

Commands ShapeScheduler::SetDomainInService(const DomainId& domain,
                                            bool in_service,
                                            TimePoint now) {
  const GroupIndex index = ledger_.InternDomain(domain);
  if (!in_service) {
    if (ledger_.FireDomain(index, DomainEvent::kLeave)) {
      DrainDomain(index, now);
      Replan(now);
      AdvanceHolds(now);
    }
    return TakeCommands();
  }
  if (ledger_.FireDomain(index, DomainEvent::kReturn)) {
    ledger_.domains()[index].returned = now;
    ledger_.SetStartsLeft(index, policy_.return_starts_per_tick);
    capacity_freed_ = true;
    Replan(now);
  }
  return TakeCommands();
}

void ShapeScheduler::DrainDomain(GroupIndex domain, TimePoint now) {
  std::vector<JobRecord*> gangs;
  for (const WorkerIndex worker : ledger_.domain(domain).workers) {
    for (JobRecord* job : ledger_.worker(worker).gangs)
      gangs.push_back(job);
  }
  std::sort(gangs.begin(), gangs.end());
  gangs.erase(std::unique(gangs.begin(), gangs.end()), gangs.end());
  std::sort(gangs.begin(), gangs.end(),
            [now](const JobRecord* a, const JobRecord* b) {
              const double a_work = a->UnsavedWork(now);
              const double b_work = b->UnsavedWork(now);
              if (a_work != b_work)
                return a_work > b_work;
              return a->key.sequence < b->key.sequence;
            });
  for (JobRecord* job : gangs)
    RequestStop(*job, StopReason::kDomainOut, policy_.domain_grace, now);
}

void ShapeScheduler::UpdateDomains(TimePoint now) {
  for (GroupIndex n = 0; n < ledger_.domains().size(); ++n) {
    const ClusterLedger::DomainEntry& domain = ledger_.domain(n);
    if (domain.state != DomainState::kReturning)
      continue;
    if (now >= domain.returned + policy_.return_period)
      ledger_.FireDomain(n, DomainEvent::kSettle);
    else
      ledger_.SetStartsLeft(n, policy_.return_starts_per_tick);
  }
}

void ShapeScheduler::PutOnProbation(WorkerIndex worker, TimePoint now) {
  probation_.Begin(worker, now);
  ledger_.FireWorker(worker, WorkerEvent::kSuspect);
}

void ShapeScheduler::EndProbation(WorkerIndex worker) {
  if (ledger_.FireWorker(worker, WorkerEvent::kClear))
    capacity_freed_ = true;
}

void ShapeScheduler::RecordTaskFailure(JobRecord& job,
                                       WorkerIndex worker,
                                       TimePoint now) {
  const bool is_probe = job.probed_worker == worker;
  if (is_probe)
    job.probed_worker.reset();
  const bool is_suspect = probation_.RecordFailure(job.job.id, worker);
  // A job that fails again and again on one worker, and was never tried
  // elsewhere, must get away from it before it is judged.
  const bool only_here =
      job.failures >= kFailuresOnlyHere &&
      probation_.FailedOn(job.job.id).size() == 1 &&
      ledger_.worker(worker).state == WorkerState::kInService;
  if (is_suspect || is_probe || only_here)
    PutOnProbation(worker, now);
}

void ShapeScheduler::RecordSuccess(JobRecord& job) {
  job.probed_worker.reset();
  for (const Slot& it : job.slots) {
    probation_.RecordSuccess(it.worker);
    const WorkerState state = ledger_.worker(it.worker).state;
    if (state != WorkerState::kProbation && state != WorkerState::kProbing)
      continue;
    probation_.End(it.worker);
    EndProbation(it.worker);
  }
}

void ShapeScheduler::RunProbes(TimePoint now) {
  for (const WorkerIndex worker : probation_.Suspects()) {
    if (ledger_.worker(worker).state != WorkerState::kProbation ||
        probation_.ProbeTime(worker) > now)
      continue;
    if (TryProbe(worker, now))
      continue;
    const Duration waited = now - probation_.ProbeTime(worker);
    if (waited < probation_.Interval(worker) * kIntervalsWithoutProbe)
      continue;
    probation_.EndWithoutProbe(worker);
    EndProbation(worker);
  }
}

bool ShapeScheduler::TryProbe(WorkerIndex worker, TimePoint now) {
  const ClusterLedger::WorkerEntry& entry = ledger_.worker(worker);
  if (ledger_.domain(entry.domain).state == DomainState::kOut)
    return false;
  const Resources free = ledger_.Unused(worker) - entry.held;
  for (JobRecord* job : queue_.First(kProbeScan)) {
    const Shape& gang = job->job.gang;
    if (job->hold || job->job.urgency == Urgency::kUrgent ||
        now < job->retry_at || IsOverQuota(*job) ||
        TasksIn(free, gang.per_task, gang.tasks) < gang.tasks)
      continue;
    const auto failed_on = probation_.FailedOn(job->job.id);
    if (!failed_on.empty())
      continue;
    ledger_.FireWorker(worker, WorkerEvent::kProbe);
    Start(*job, {{worker, gang.tasks}}, {}, now);
    job->probed_worker = worker;
    return true;
  }
  return false;
}

// Charges the running gangs to the new guarantees, oldest first.
void ShapeScheduler::RebuildGuarantees() {
  std::vector<JobRecord*> entered;
  for (JobRecord* job : std::vector<JobRecord*>(jobs_with_hold_)) {
    if (job->hold->kind == HoldKind::kGuarantee)
      DropHold(*job);
  }
  for (const auto& [id, job] : jobs_) {
    if (job->uses.empty())
      continue;
    job->uses.clear();
    job->charged = false;
    entered.push_back(job.get());
  }
  std::sort(entered.begin(), entered.end(),
            [](const JobRecord* a, const JobRecord* b) {
              return a->key.sequence < b->key.sequence;
            });
  ledger_.RebuildGuarantees();
  ledger_.planner().Plan();
  ledger_.BindGuarantees();
  for (JobRecord* job : entered) {
    if (auto uses = ledger_.FindCharge(*job, job->slots))
      ledger_.Charge(*job, std::move(*uses));
  }
}

void ShapeScheduler::Replan(TimePoint now) {
  if (!ledger_.planner().dirty())
    return;
  ledger_.planner().Plan();
  ledger_.BindGuarantees();
  // Gangs whose home has moved may be stopped like borrowers. Holds in homes
  // that have moved are dropped.
  for (const ClusterLedger::WorkerEntry& worker : ledger_.workers()) {
    const std::vector<JobRecord*> gangs = worker.gangs;
    for (JobRecord* job : gangs)
      UpdatePin(*job, now);
  }
  for (JobRecord* job : std::vector<JobRecord*>(jobs_with_hold_)) {
    if (job->hold->kind == HoldKind::kGuarantee &&
        !ledger_.guarantee_ledger().IsInPlace(job->hold->uses))
      DropHold(*job);
  }
}

}  // namespace quetzalshelf::scheduling
