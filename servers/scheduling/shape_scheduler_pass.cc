// Placement of waiting gangs by ShapeScheduler.

#include "servers/scheduling/shape_scheduler.h"

#include <algorithm>
#include <utility>

namespace quetzalshelf::scheduling {

namespace {

// Workers on which the job failed are avoided; more than these are not.
constexpr size_t kMaxExcluded = 8;

bool Contains(const std::vector<WorkerIndex>& list, WorkerIndex worker) {
  return std::find(list.begin(), list.end(), worker) != list.end();
}

Resources TakenBy(const JobRecord& job, WorkerIndex worker) {
  for (const Slot& it : job.slots) {
    if (it.worker == worker)
      return job.job.gang.per_task * it.tasks;
  }
  return {};
}

// Whether every place for `a` would also hold `b`.
bool IsHarderThan(const Shape& a, const Shape& b) {
  return a.tasks >= b.tasks && b.per_task.FitsIn(a.per_task) &&
         a.adjacency <= b.adjacency;
}

}  // namespace

void ShapeScheduler::RunPass(TimePoint now) {
  freed_ = false;
  failed_shapes_.clear();
  UpdateHandicaps();
  for (JobRecord* job : queue_.First(policy_.scan_limit))
    TryJob(*job, now);
}

void ShapeScheduler::UpdateHandicaps() {
  int64_t weights = 0;
  for (const auto& [id, workspace] : workspaces_)
    weights += std::max(1, workspace.weight);
  const int64_t total = ledger_.total_accelerators().value();
  if (weights == 0 || total == 0)
    return;
  for (const auto& [id, workspace] : workspaces_) {
    const double share =
        static_cast<double>(ledger_.UsedBy(id).value()) *
        static_cast<double>(weights) /
        (static_cast<double>(total) * std::max(1, workspace.weight));
    const double millis =
        share * static_cast<double>(policy_.share_handicap.count());
    queue_.SetHandicap(id, Duration(static_cast<int64_t>(millis)));
  }
}

bool ShapeScheduler::TryJob(JobRecord& job, TimePoint now) {
  if (job.hold || now < job.not_before || IsOverQuota(job))
    return false;
  if (TryGuaranteed(job, now) || TryFree(job, now))
    return true;
  return job.job.urgency == Urgency::kUrgent && TryUrgent(job, now);
}

bool ShapeScheduler::IsOverQuota(const JobRecord& job) const {
  const auto workspace = workspaces_.find(job.job.workspace);
  if (workspace == workspaces_.end() || workspace->second.quota.value() <= 0)
    return false;
  Accelerators used = ledger_.UsedBy(job.job.workspace) + job.accelerators();
  for (const JobRecord* it : holding_) {
    if (it != &job && it->hold->kind != HoldKind::kReservation &&
        it->job.workspace == job.job.workspace)
      used += it->accelerators();
  }
  return used > workspace->second.quota;
}

bool ShapeScheduler::HasFailed(const JobRecord& job, Search search) const {
  return std::any_of(failed_shapes_.begin(), failed_shapes_.end(),
                     [&](const FailedShape& it) {
                       return it.search == search &&
                              (search != Search::kSlices ||
                               it.workspace == job.job.workspace) &&
                              IsHarderThan(job.job.gang, it.shape);
                     });
}

void ShapeScheduler::RememberFailure(const JobRecord& job, Search search) {
  failed_shapes_.push_back({search, job.job.workspace, job.job.gang});
}

std::optional<SlicePlacement> ShapeScheduler::FindSlices(
    const JobRecord& job,
    Fillers fillers) const {
  const WorkspaceId& workspace = job.job.workspace;
  const auto excluded = probation_.FailedOn(job.job.id);
  std::vector<SliceCandidate> all;
  std::vector<SliceCandidate> preferred;
  for (const auto& [worker, slice] : ledger_.planner().SlicesOf(workspace)) {
    const ClusterLedger::WorkerEntry& entry = ledger_.worker(worker);
    const ClusterLedger::DomainEntry& domain = ledger_.domain(entry.domain);
    if (!ledger_.IsUsable(worker) ||
        (domain.state == DomainState::kReturning && domain.starts_left <= 0))
      continue;
    Resources uncharged = slice - ledger_.ChargedTo(workspace, worker);
    for (const JobRecord* it : entry.gangs) {
      if (IsFiller(*it, job, fillers))
        uncharged += TakenBy(*it, worker);
    }
    all.push_back({worker, entry.rack, entry.domain, uncharged,
                   ledger_.Unused(worker) - entry.strong_held});
    if (!Contains(excluded, worker))
      preferred.push_back(all.back());
  }
  if (auto found = FindInSlices(job.job.gang, preferred))
    return found;
  if (preferred.size() == all.size())
    return std::nullopt;
  return FindInSlices(job.job.gang, all);
}

// A smaller gang of the same workspace in its home slices. It may be moved for
// a gang that the guarantee covers, because otherwise small gangs that ended in
// another order than they came would keep a whole shape from its owner. Only
// smaller gangs give way, so two gangs never displace each other in turn.
bool ShapeScheduler::IsFiller(const JobRecord& filler,
                              const JobRecord& job,
                              Fillers fillers) {
  if (fillers == Fillers::kNone || !filler.charged || filler.releasing ||
      filler.job.workspace != job.job.workspace ||
      filler.accelerators() >= job.accelerators())
    return false;
  return fillers == Fillers::kAll || filler.job.urgency != Urgency::kUrgent;
}

bool ShapeScheduler::TryDisplace(JobRecord& job, TimePoint now) {
  Accelerators uncharged;
  for (const auto& [worker, slice] :
       ledger_.planner().SlicesOf(job.job.workspace)) {
    uncharged += slice.accelerators;
    uncharged -= ledger_.ChargedTo(job.job.workspace, worker).accelerators;
  }
  if (uncharged < job.accelerators())
    return false;
  for (const Fillers fillers : {Fillers::kNotUrgent, Fillers::kAll}) {
    const auto found = FindSlices(job, fillers);
    if (found && DisplaceFillers(job, found->slots, fillers, now)) {
      PlaceHold(job, HoldKind::kGuarantee, found->slots, now);
      return true;
    }
  }
  return false;
}

bool ShapeScheduler::DisplaceFillers(const JobRecord& job,
                                     const Slots& slots,
                                     Fillers fillers,
                                     TimePoint now) {
  std::vector<Amount> deficits;
  std::vector<JobRecord*> gangs;
  std::vector<VictimCandidate> candidates;
  for (const Slot& it : slots) {
    const Resources lacks =
        job.job.gang.per_task * it.tasks -
        (ledger_.planner().SliceOf(job.job.workspace, it.worker) -
         ledger_.ChargedTo(job.job.workspace, it.worker));
    deficits.push_back({it.worker, PositivePart(lacks)});
    for (JobRecord* gang : ledger_.worker(it.worker).gangs) {
      if (!IsFiller(*gang, job, fillers) ||
          std::find(gangs.begin(), gangs.end(), gang) != gangs.end())
        continue;
      gangs.push_back(gang);
      candidates.push_back(MakeCandidate(*gang, now));
    }
  }
  const auto choice = SelectVictims(deficits, candidates);
  if (!choice)
    return false;
  for (const size_t n : choice->victims)
    RequestStop(*gangs[n], StopReason::kReclaimed, policy_.reclaim_grace, now);
  return true;
}

bool ShapeScheduler::TryGuaranteed(JobRecord& job, TimePoint now) {
  if (HasFailed(job, Search::kSlices))
    return false;
  auto found = FindSlices(job, Fillers::kNone);
  if (!found) {
    if (TryDisplace(job, now))
      return true;
    RememberFailure(job, Search::kSlices);
    return false;
  }
  if (found->tasks_not_free == 0)
    Start(job, std::move(found->slots), true, now);
  else
    PlaceHold(job, HoldKind::kGuarantee, std::move(found->slots), now);
  return true;
}

std::optional<Slots> ShapeScheduler::FindFree(const JobRecord& job) const {
  auto excluded = probation_.FailedOn(job.job.id);
  if (excluded.size() > kMaxExcluded)
    excluded.resize(kMaxExcluded);
  auto found = ledger_.free().Find(job.job.gang, excluded);
  if (!found && !excluded.empty())
    found = ledger_.free().Find(job.job.gang, {});
  return found;
}

bool ShapeScheduler::TryFree(JobRecord& job, TimePoint now) {
  if (HasFailed(job, Search::kFree))
    return false;
  auto found = FindFree(job);
  if (!found) {
    RememberFailure(job, Search::kFree);
    return false;
  }
  Start(job, std::move(*found), false, now);
  return true;
}

bool ShapeScheduler::TryUrgent(JobRecord& job, TimePoint now) {
  if (HasFailed(job, Search::kReclaimable))
    return false;
  auto found = FindCheapest(job, HoldKind::kUrgent, now);
  if (!found) {
    RememberFailure(job, Search::kReclaimable);
    return false;
  }
  PlaceHold(job, HoldKind::kUrgent, std::move(*found), now);
  return true;
}

void ShapeScheduler::Start(JobRecord& job,
                           Slots slots,
                           bool charged,
                           TimePoint now) {
  Dequeue(job);
  job.slots = std::move(slots);
  job.attempt = job.attempt.Next();
  job.progress_at_start = job.saved;
  job.started = now;
  job.last_checkpoint = now;
  Fire(job, JobEvent::kStart);
  Fire(job, GangEvent::kStart);
  ledger_.Allocate(job);
  job.guaranteed = charged;
  ledger_.SetCharged(job, charged);
  UpdatePin(job, now);
  StartGang command{job.job.id, job.attempt, {}, charged};
  std::set<GroupIndex> domains;
  for (const Slot& it : job.slots) {
    const ClusterLedger::WorkerEntry& worker = ledger_.worker(it.worker);
    command.placement.insert(command.placement.end(),
                             static_cast<size_t>(it.tasks), worker.info.id);
    domains.insert(worker.domain);
  }
  for (const GroupIndex it : domains) {
    const ClusterLedger::DomainEntry& domain = ledger_.domain(it);
    if (domain.state == DomainState::kReturning)
      ledger_.SetStartsLeft(it, domain.starts_left - 1);
  }
  out_.emplace_back(std::move(command));
}

void ShapeScheduler::UpdatePin(JobRecord& job, TimePoint now) {
  ledger_.SetPinned(
      job,
      !job.releasing && (job.charged || job.job.urgency == Urgency::kUrgent ||
                         now < job.protected_until));
}

}  // namespace quetzalshelf::scheduling
