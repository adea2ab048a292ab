// Placement of waiting gangs by ShapeScheduler.

#include "servers/scheduling/shape_scheduler.h"

#include <algorithm>
#include <utility>

#include "servers/scheduling/fragmentation_gradient.h"

namespace quetzalshelf::scheduling {

namespace {

// Workers on which the job failed are avoided; more than these are not.
constexpr size_t kMaxExcluded = 8;

// Shapes that the fragmentation gradient looks at.
constexpr size_t kMaxWaitingShapes = 32;

bool Contains(const std::vector<WorkerIndex>& list, WorkerIndex worker) {
  return std::find(list.begin(), list.end(), worker) != list.end();
}

// What a gang charges to one slice of a block.
Resources TakenBy(const JobRecord& job, size_t block, size_t slice) {
  Resources sum;
  for (const GuaranteeCharge& it : job.uses) {
    if (it.block == block && it.slice == slice)
      sum += job.job.gang.per_task * it.tasks;
  }
  return sum;
}

// Whether every place for `a` would also hold `b`.
bool IsAtLeastAsHardAs(const Shape& a, const Shape& b) {
  return a.tasks >= b.tasks && b.per_task.FitsIn(a.per_task) &&
         a.adjacency <= b.adjacency;
}

}  // namespace

void ShapeScheduler::RunPass(TimePoint now) {
  capacity_freed_ = false;
  failed_shapes_.clear();
  UpdateSharePenalties();
  const std::vector<JobRecord*> first = queue_.First(policy_.scan_limit);
  waiting_shapes_.clear();
  for (const JobRecord* job : first) {
    if (waiting_shapes_.size() < kMaxWaitingShapes)
      waiting_shapes_.push_back(job->job.gang);
  }
  for (JobRecord* job : first)
    TryJob(*job, now);
}

void ShapeScheduler::UpdateSharePenalties() {
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
        share * static_cast<double>(policy_.share_penalty.count());
    queue_.SetRankOffset(id, Duration(static_cast<int64_t>(millis)));
  }
}

bool ShapeScheduler::TryJob(JobRecord& job, TimePoint now) {
  if (now < job.retry_at || IsOverQuota(job))
    return false;
  if (job.hold)
    return job.hold->kind == HoldKind::kReservation &&
           TryWithReservation(job, now);
  return TryGuaranteed(job, now) || TryFree(job, now) ||
         TryPreemptBorrowers(job, now);
}

// A reserved gang takes other capacity that has become free and what its
// guarantee covers meanwhile; a reservation may wait much longer than that.
bool ShapeScheduler::TryWithReservation(JobRecord& job, TimePoint now) {
  if (TryFree(job, now))
    return true;
  Hold reserved = *job.hold;
  DropHold(job);
  if (TryGuaranteed(job, now) || TryPreemptBorrowers(job, now))
    return true;
  ledger_.AddHold(job, std::move(reserved));
  jobs_with_hold_.push_back(&job);
  return false;
}

// Takes the place of borrowers for urgent gangs and by amount of guarantee.
bool ShapeScheduler::TryPreemptBorrowers(JobRecord& job, TimePoint now) {
  if (job.job.urgency == Urgency::kUrgent)
    return TryPreemption(job, now);
  if (!IsEntitledOutsideBlocks(job) || !TryPreemption(job, now))
    return false;
  if (job.hold || job.holds_capacity())
    SetOutsideBlocks(job, true);
  return true;
}

// Whether the guarantee has enough left for the gang though no block has room
// for its shape. Such a gang may take the place of borrowers anywhere.
bool ShapeScheduler::IsEntitledOutsideBlocks(const JobRecord& job) const {
  const auto used = used_outside_blocks_.find(job.job.workspace);
  const Accelerators taken =
      used == used_outside_blocks_.end() ? Accelerators() : used->second;
  return taken + job.accelerators() <=
         ledger_.guarantee_ledger().UnchargedOf(job.job.workspace);
}

void ShapeScheduler::SetOutsideBlocks(JobRecord& job, bool outside_blocks) {
  if (job.outside_blocks == outside_blocks)
    return;
  job.outside_blocks = outside_blocks;
  Accelerators& taken = used_outside_blocks_[job.job.workspace];
  if (outside_blocks)
    taken += job.accelerators();
  else
    taken -= job.accelerators();
}

bool ShapeScheduler::IsOverQuota(const JobRecord& job) const {
  const auto workspace = workspaces_.find(job.job.workspace);
  if (workspace == workspaces_.end() || workspace->second.quota.value() <= 0)
    return false;
  Accelerators used = ledger_.UsedBy(job.job.workspace) + job.accelerators();
  for (const JobRecord* it : jobs_with_hold_) {
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
                              (search != Search::kGuaranteeSlices ||
                               it.workspace == job.job.workspace) &&
                              IsAtLeastAsHardAs(job.job.gang, it.shape);
                     });
}

void ShapeScheduler::RememberFailure(const JobRecord& job, Search search) {
  failed_shapes_.push_back({search, job.job.workspace, job.job.gang});
}

std::optional<GuaranteeLedger::Placement> ShapeScheduler::FindHomes(
    const JobRecord& job,
    Displaceable displaceable) const {
  const GuaranteeLedger& guarantee_ledger = ledger_.guarantee_ledger();
  auto excluded = probation_.FailedOn(job.job.id);
  std::map<std::pair<size_t, size_t>, Resources> movable;
  if (displaceable != Displaceable::kNone) {
    for (const size_t block : guarantee_ledger.BlocksOf(job.job.workspace)) {
      for (size_t n = 0; n < guarantee_ledger.SliceCount(block); ++n) {
        const auto worker = guarantee_ledger.slice(block, n).worker;
        if (!worker)
          continue;
        for (const JobRecord* it : ledger_.worker(*worker).gangs) {
          if (CanDisplace(*it, job, displaceable))
            movable[{block, n}] += TakenBy(*it, block, n);
        }
      }
    }
  }
  GuaranteeLedger::View view;
  view.uncharged = [&](size_t block, size_t slice) {
    const GuaranteeLedger::Slot& it = guarantee_ledger.slice(block, slice);
    if (!it.worker || !ledger_.IsUsable(*it.worker) ||
        Contains(excluded, *it.worker))
      return Resources();
    const ClusterLedger::DomainEntry& domain =
        ledger_.domain(ledger_.worker(*it.worker).domain);
    if (domain.state == DomainState::kReturning && domain.starts_left <= 0)
      return Resources();
    const auto more = movable.find({block, slice});
    return more == movable.end() ? it.uncharged : it.uncharged + more->second;
  };
  view.free = [this](WorkerIndex worker) {
    return ledger_.Unused(worker) - ledger_.worker(worker).held_by_priority;
  };
  view.group = [this](WorkerIndex worker, Adjacency adjacency) {
    return ledger_.GroupOf(worker, adjacency);
  };
  auto found = guarantee_ledger.Find(job.job.workspace, job.job.gang, view);
  if (found || excluded.empty())
    return found;
  excluded.clear();
  return guarantee_ledger.Find(job.job.workspace, job.job.gang, view);
}

// A gang of the same workspace that is easier to place, by the size of its
// tasks and then of the whole gang. It may be moved within the blocks for a
// gang that the guarantee covers, because otherwise gangs that ended in another
// order than they came would keep a shape from its owner. The order is strict,
// so two gangs never displace each other in turn.
bool ShapeScheduler::CanDisplace(const JobRecord& other,
                                 const JobRecord& job,
                                 Displaceable displaceable) {
  if (displaceable == Displaceable::kNone || !other.charged ||
      other.releasing || other.job.workspace != job.job.workspace)
    return false;
  const auto size = [](const JobRecord& it) {
    return std::pair(it.job.gang.per_task.accelerators, it.accelerators());
  };
  if (size(other) >= size(job))
    return false;
  return displaceable == Displaceable::kAll ||
         other.job.urgency != Urgency::kUrgent;
}

bool ShapeScheduler::TryDisplace(JobRecord& job, TimePoint now) {
  if (ledger_.guarantee_ledger().UnchargedOf(job.job.workspace) <
      job.accelerators())
    return false;
  for (const Displaceable displaceable :
       {Displaceable::kNotUrgent, Displaceable::kAll}) {
    const auto found = FindHomes(job, displaceable);
    if (found && DisplaceGangs(job, found->uses, displaceable, now)) {
      PlaceHold(job, HoldKind::kGuarantee, SlotsOf(found->uses), found->uses,
                now);
      return true;
    }
  }
  return false;
}

bool ShapeScheduler::DisplaceGangs(const JobRecord& job,
                                   const GuaranteeCharges& uses,
                                   Displaceable displaceable,
                                   TimePoint now) {
  // The slots of the blocks stand for workers here.
  std::vector<Amount> deficits;
  std::vector<JobRecord*> gangs;
  std::vector<VictimCandidate> candidates;
  for (const GuaranteeCharge& it : uses) {
    const auto number = static_cast<WorkerIndex>(deficits.size());
    deficits.push_back(
        {number,
         PositivePart(
             job.job.gang.per_task * it.tasks -
             ledger_.guarantee_ledger().slice(it.block, it.slice).uncharged)});
    for (JobRecord* gang : ledger_.worker(it.worker).gangs) {
      const Resources taken = TakenBy(*gang, it.block, it.slice);
      if (taken == Resources() || !CanDisplace(*gang, job, displaceable))
        continue;
      auto known = std::find(gangs.begin(), gangs.end(), gang);
      if (known == gangs.end()) {
        known = gangs.insert(gangs.end(), gang);
        candidates.push_back({MakeCandidate(*gang, now).lost_work, {}});
      }
      candidates[static_cast<size_t>(known - gangs.begin())].releases.push_back(
          {number, taken});
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
  if (HasFailed(job, Search::kGuaranteeSlices))
    return false;
  const auto found = FindHomes(job, Displaceable::kNone);
  if (!found) {
    if (TryDisplace(job, now))
      return true;
    RememberFailure(job, Search::kGuaranteeSlices);
    return false;
  }
  if (found->tasks_not_free == 0)
    Start(job, SlotsOf(found->uses), found->uses, now);
  else
    PlaceHold(job, HoldKind::kGuarantee, SlotsOf(found->uses), found->uses,
              now);
  return true;
}

std::optional<Slots> ShapeScheduler::FindFree(const JobRecord& job) const {
  auto excluded = probation_.FailedOn(job.job.id);
  if (excluded.size() > kMaxExcluded)
    excluded.resize(kMaxExcluded);
  const FragmentationGradient gradient(ledger_.free(), job.job.gang,
                                       waiting_shapes_);
  const bool use_gradient = policy_.placement == PlacementRule::kGradient;
  auto found = ledger_.free().Find(job.job.gang, excluded,
                                   use_gradient ? &gradient : nullptr);
  if (!found && !excluded.empty())
    found = ledger_.free().Find(job.job.gang, {});
  return found;
}

bool ShapeScheduler::TryFree(JobRecord& job, TimePoint now) {
  if (HasFailed(job, Search::kFreeCapacity))
    return false;
  auto found = FindFree(job);
  if (!found) {
    RememberFailure(job, Search::kFreeCapacity);
    return false;
  }
  Start(job, std::move(*found), {}, now);
  return true;
}

bool ShapeScheduler::TryPreemption(JobRecord& job, TimePoint now) {
  if (HasFailed(job, Search::kReclaimableCapacity))
    return false;
  auto found = FindCheapest(job, HoldKind::kUrgent, now);
  if (!found) {
    RememberFailure(job, Search::kReclaimableCapacity);
    return false;
  }
  PlaceHold(job, HoldKind::kUrgent, std::move(*found), {}, now);
  return true;
}

void ShapeScheduler::Start(JobRecord& job,
                           Slots slots,
                           GuaranteeCharges uses,
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
  job.guaranteed = !uses.empty();
  if (job.guaranteed) {
    ledger_.Charge(job, std::move(uses));
  }
  UpdatePin(job, now);
  StartGang command{job.job.id, job.attempt, {}, job.guaranteed};
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
  pending_commands_.emplace_back(std::move(command));
}

void ShapeScheduler::UpdatePin(JobRecord& job, TimePoint now) {
  ledger_.SetPinned(
      job,
      !job.releasing && (job.charged || job.job.urgency == Urgency::kUrgent ||
                         now < job.protected_until));
}

}  // namespace quetzalshelf::scheduling
