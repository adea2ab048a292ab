// Holds of ShapeScheduler: capacity that is kept for a waiting gang while
// other gangs on it end or are stopped.

#include "servers/scheduling/shape_scheduler.h"

#include <algorithm>
#include <utility>

namespace quetzalshelf::scheduling {

namespace {

// A stop repeats at least this much work, because the gang has to start again.
constexpr double kRestartSeconds = 10;
// A guarantee stops urgent and protected gangs only when the others would lose
// that many times more.
constexpr double kProtectedWorkFactor = 8;

}  // namespace

void ShapeScheduler::PlaceHold(JobRecord& job,
                               HoldKind kind,
                               Slots slots,
                               GuaranteeCharges uses,
                               TimePoint now) {
  const Duration drain = kind == HoldKind::kReservation
                             ? policy_.reservation_drain_time
                             : Duration(0);
  ledger_.AddHold(job,
                  {kind, std::move(slots), std::move(uses), now, now + drain});
  jobs_with_hold_.push_back(&job);
  if (kind == HoldKind::kGuarantee)
    DropInvalidUrgentHolds();
  AdvanceHold(job, now);
}

// A guarantee goes before holds in the place of borrowers. Left in place, they
// would count as a deficit that no victim covers, and the guarantee would be
// given up instead.
void ShapeScheduler::DropInvalidUrgentHolds() {
  for (JobRecord* job : std::vector<JobRecord*>(jobs_with_hold_)) {
    if (job->hold->kind != HoldKind::kUrgent || IsHoldValid(*job))
      continue;
    SetOutsideBlocks(*job, false);
    DropHold(*job);
  }
}

void ShapeScheduler::DropHold(JobRecord& job) {
  if (!job.hold)
    return;
  ledger_.RemoveHold(job);
  std::erase(jobs_with_hold_, &job);
}

void ShapeScheduler::AdvanceHolds(TimePoint now) {
  const std::vector<JobRecord*> holding = jobs_with_hold_;
  for (JobRecord* job : holding)
    AdvanceHold(*job, now);
}

// Returns whether the hold is still there.
bool ShapeScheduler::AdvanceHold(JobRecord& job, TimePoint now) {
  if (!job.hold)
    return false;
  if (!IsHoldValid(job)) {
    SetOutsideBlocks(job, false);
    DropHold(job);
    return false;
  }
  if (CanStartHold(job)) {
    const Hold hold = *job.hold;
    DropHold(job);
    if (hold.kind == HoldKind::kReservation) {
      job.protected_until = now + policy_.reservation_turn;
      protection_timers_.insert({job.protected_until, &job});
    }
    Start(job, hold.slots, hold.uses, now);
    return false;
  }
  if (now < job.hold->preempt_at || PreemptForHold(job, now))
    return true;
  SetOutsideBlocks(job, false);
  DropHold(job);
  return false;
}

bool ShapeScheduler::IsHoldValid(const JobRecord& job) const {
  const Hold& hold = *job.hold;
  return std::all_of(hold.slots.begin(), hold.slots.end(), [&](const Slot& it) {
    if (!ledger_.IsUsable(it.worker))
      return false;
    if (hold.kind == HoldKind::kGuarantee)
      return true;
    const Resources& left = ledger_.reclaimable().available(it.worker);
    if (hold.kind == HoldKind::kUrgent)
      return Resources().FitsIn(left);
    return TasksIn(left, job.job.gang.per_task, it.tasks) == it.tasks;
  });
}

bool ShapeScheduler::CanStartHold(const JobRecord& job) const {
  const Hold& hold = *job.hold;
  return std::all_of(hold.slots.begin(), hold.slots.end(), [&](const Slot& it) {
    const ClusterLedger::WorkerEntry& worker = ledger_.worker(it.worker);
    const ClusterLedger::DomainEntry& domain = ledger_.domain(worker.domain);
    if (domain.state == DomainState::kReturning && domain.starts_left <= 0)
      return false;
    Resources unused = ledger_.Unused(it.worker);
    if (hold.kind == HoldKind::kReservation)
      unused -= worker.held_by_priority;
    return TasksIn(unused, job.job.gang.per_task, it.tasks) == it.tasks;
  });
}

std::vector<Amount> ShapeScheduler::DeficitsOf(const JobRecord& job,
                                               const Slots& slots,
                                               HoldKind kind,
                                               bool is_held) const {
  std::vector<Amount> deficits;
  for (const Slot& it : slots) {
    const ClusterLedger::WorkerEntry& worker = ledger_.worker(it.worker);
    Resources need =
        kind == HoldKind::kReservation ? worker.held : worker.held_by_priority;
    if (!is_held)
      need += job.job.gang.per_task * it.tasks;
    need -= ledger_.Unused(it.worker);
    need -= worker.releasing;
    const Resources lacks = PositivePart(need);
    if (lacks != Resources())
      deficits.push_back({it.worker, lacks});
  }
  return deficits;
}

VictimCandidate ShapeScheduler::MakeCandidate(const JobRecord& job,
                                              TimePoint now) {
  VictimCandidate candidate;
  candidate.lost_work =
      job.UnsavedWork(now) +
      static_cast<double>(job.accelerators().value()) * kRestartSeconds;
  for (const Slot& it : job.slots)
    candidate.releases.push_back({it.worker, job.job.gang.per_task * it.tasks});
  return candidate;
}

std::optional<ShapeScheduler::Plan> ShapeScheduler::PlanVictims(
    const JobRecord& job,
    const std::vector<Amount>& deficits,
    HoldKind kind,
    TimePoint now) const {
  std::set<JobRecord*> seen;
  std::vector<JobRecord*> gangs;
  std::vector<VictimCandidate> candidates;
  for (const Amount& deficit : deficits) {
    for (JobRecord* it : ledger_.worker(deficit.worker).gangs) {
      const bool may_stop =
          kind == HoldKind::kGuarantee ? !it->charged : !it->pinned;
      if (!may_stop || it->releasing || it == &job || !seen.insert(it).second)
        continue;
      VictimCandidate candidate = MakeCandidate(*it, now);
      if (it->pinned)
        candidate.lost_work *= kProtectedWorkFactor;
      gangs.push_back(it);
      candidates.push_back(std::move(candidate));
    }
  }
  const auto choice = SelectVictims(deficits, candidates);
  if (!choice)
    return std::nullopt;
  Plan plan;
  plan.lost_work = choice->lost_work;
  for (const size_t n : choice->victims)
    plan.victims.push_back(gangs[n]);
  return plan;
}

Duration ShapeScheduler::GraceFor(const JobRecord& job) const {
  if (job.job.urgency == Urgency::kUrgent)
    return policy_.urgent_grace;
  if (job.hold->kind == HoldKind::kReservation)
    return policy_.reservation_grace;
  const auto workspace = workspaces_.find(job.job.workspace);
  if (workspace == workspaces_.end())
    return policy_.reclaim_grace;
  // Two thirds of the deadline are left for ticks, stops and the start.
  return std::min(policy_.reclaim_grace,
                  workspace->second.reclaim_deadline / 3);
}

// Whether a reservation for `job` may stop the gang now. Among gangs of the
// same size a swap gains nothing, so they keep their turn longer.
bool ShapeScheduler::HasUsedItsTurn(const JobRecord& gang,
                                    const JobRecord& job,
                                    TimePoint now) const {
  const Duration turn = gang.accelerators() < job.accelerators()
                            ? policy_.min_run_before_preemption
                            : policy_.reservation_turn;
  return now - gang.started >= turn;
}

bool ShapeScheduler::PreemptForHold(JobRecord& job, TimePoint now) {
  const HoldKind kind = job.hold->kind;
  const auto deficits = DeficitsOf(job, job.hold->slots, kind, true);
  if (deficits.empty())
    return true;
  const auto plan = PlanVictims(job, deficits, kind, now);
  if (!plan)
    return false;
  const StopReason reason =
      kind == HoldKind::kReservation ? StopReason::kReservation
      : job.job.urgency == Urgency::kUrgent && kind == HoldKind::kUrgent
          ? StopReason::kUrgent
          : StopReason::kReclaimed;
  const Duration grace = GraceFor(job);
  for (JobRecord* victim : plan->victims) {
    if (kind == HoldKind::kReservation && !HasUsedItsTurn(*victim, job, now))
      continue;
    RequestStop(*victim, reason, grace, now);
  }
  return true;
}

std::optional<Slots> ShapeScheduler::FindCheapest(const JobRecord& job,
                                                  HoldKind kind,
                                                  TimePoint now) const {
  auto alternatives = ledger_.reclaimable().FindSeveral(
      job.job.gang, probation_.FailedOn(job.job.id), policy_.alternatives);
  if (alternatives.empty()) {
    alternatives = ledger_.reclaimable().FindSeveral(job.job.gang, {},
                                                     policy_.alternatives);
  }
  std::optional<Slots> best;
  double best_loss = 0;
  for (Slots& it : alternatives) {
    const auto plan =
        PlanVictims(job, DeficitsOf(job, it, kind, false), kind, now);
    if (!plan || (best && plan->lost_work >= best_loss))
      continue;
    best = std::move(it);
    best_loss = plan->lost_work;
  }
  return best;
}

void ShapeScheduler::UpdateReservation(TimePoint now) {
  const auto reserved = static_cast<size_t>(std::count_if(
      jobs_with_hold_.begin(), jobs_with_hold_.end(), [](const JobRecord* it) {
        return it->hold->kind == HoldKind::kReservation;
      }));
  if (reserved >= policy_.max_reservations)
    return;
  JobRecord* first = nullptr;
  Slots first_slots;
  for (JobRecord* job : queue_.Oldest(policy_.reservation_scan)) {
    if (job->hold || now < job->retry_at || IsOverQuota(*job) ||
        now - job->waiting_since < policy_.reservation_delay)
      continue;
    auto found = FindCheapest(*job, HoldKind::kReservation, now);
    if (!found)
      continue;
    const auto plan = PlanVictims(
        *job, DeficitsOf(*job, *found, HoldKind::kReservation, false),
        HoldKind::kReservation, now);
    const bool is_ready =
        plan && std::all_of(plan->victims.begin(), plan->victims.end(),
                            [&](const JobRecord* it) {
                              return HasUsedItsTurn(*it, *job, now);
                            });
    // Nobody goes before a gang that has waited for a whole turn.
    const bool is_due = now - job->waiting_since >= policy_.reservation_turn;
    if (is_ready || (is_due && first == nullptr)) {
      PlaceHold(*job, HoldKind::kReservation, std::move(*found), {}, now);
      return;
    }
    if (first == nullptr) {
      first = job;
      first_slots = std::move(*found);
    }
  }
  // Nobody can be served at once: the oldest one collects what becomes free.
  if (first != nullptr)
    PlaceHold(*first, HoldKind::kReservation, std::move(first_slots), {}, now);
}

}  // namespace quetzalshelf::scheduling
