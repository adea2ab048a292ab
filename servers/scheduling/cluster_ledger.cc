#include "servers/scheduling/cluster_ledger.h"

#include <algorithm>

namespace quetzalshelf::scheduling {

namespace {

constexpr Resources kNothing = {Accelerators(-1), MilliCores(0), Mebibytes(0)};

}  // namespace

WorkerIndex ClusterLedger::Intern(const WorkerId& id) {
  const auto [it, added] =
      worker_ids_.try_emplace(id, static_cast<WorkerIndex>(workers_.size()));
  if (!added)
    return it->second;
  workers_.emplace_back();
  SetWorkerInfo(it->second, {id, DomainId(), RackId(), Resources()});
  return it->second;
}

std::optional<WorkerIndex> ClusterLedger::Find(const WorkerId& id) const {
  const auto it = worker_ids_.find(id);
  if (it == worker_ids_.end())
    return std::nullopt;
  return it->second;
}

GroupIndex ClusterLedger::InternDomain(const DomainId& id) {
  const auto [it, added] =
      domain_ids_.try_emplace(id, static_cast<GroupIndex>(domains_.size()));
  if (added) {
    domains_.emplace_back();
    domains_.back().id = id;
    domains_.back().state = charts_.domain.initial();
  }
  return it->second;
}

void ClusterLedger::SetWorkerInfo(WorkerIndex index, const Worker& worker) {
  WorkerEntry& entry = workers_[index];
  total_accelerators_ += worker.capacity.accelerators;
  total_accelerators_ -= entry.info.capacity.accelerators;
  entry.info = worker;
  const GroupIndex domain = InternDomain(worker.domain);
  if (entry.domain < domains_.size())
    std::erase(domains_[entry.domain].workers, index);
  domains_[domain].workers.push_back(index);
  entry.domain = domain;
  entry.rack = rack_ids_
                   .try_emplace({domain, worker.rack},
                                static_cast<GroupIndex>(rack_ids_.size()))
                   .first->second;
  free_.AddWorker(index, entry.rack, domain);
  reclaimable_.AddWorker(index, entry.rack, domain);
  total_.AddWorker(index, entry.rack, domain);
  planner_.AddWorker(index, entry.rack, domain);
  total_.SetAvailable(index, worker.capacity);
  Refresh(index);
}

bool ClusterLedger::FireWorker(WorkerIndex index, WorkerEvent event) {
  if (!charts_.worker.Fire(workers_[index].state, event))
    return false;
  Refresh(index);
  return true;
}

bool ClusterLedger::FireDomain(GroupIndex domain, DomainEvent event) {
  if (!charts_.domain.Fire(domains_[domain].state, event))
    return false;
  for (const WorkerIndex it : domains_[domain].workers)
    Refresh(it);
  return true;
}

void ClusterLedger::SetStartsLeft(GroupIndex domain, int starts) {
  DomainEntry& entry = domains_[domain];
  const bool changes = (entry.starts_left > 0) != (starts > 0);
  entry.starts_left = starts;
  if (!changes)
    return;
  for (const WorkerIndex it : entry.workers)
    Refresh(it);
}

bool ClusterLedger::IsUsable(WorkerIndex index) const {
  const WorkerEntry& entry = workers_[index];
  return entry.state == WorkerState::kInService &&
         domains_[entry.domain].state != DomainState::kOut;
}

GroupIndex ClusterLedger::GroupOf(WorkerIndex worker,
                                  Adjacency adjacency) const {
  const WorkerEntry& entry = workers_[worker];
  return adjacency == Adjacency::kRack ? entry.rack : entry.domain;
}

void ClusterLedger::Refresh(WorkerIndex index) {
  const WorkerEntry& entry = workers_[index];
  const DomainEntry& domain = domains_[entry.domain];
  const bool usable = IsUsable(index);
  const bool may_start = usable && (domain.state != DomainState::kReturning ||
                                    domain.starts_left > 0);
  const Resources& capacity = entry.info.capacity;
  free_.SetAvailable(index,
                     may_start ? capacity - entry.used - entry.held : kNothing);
  reclaimable_.SetAvailable(
      index,
      usable ? capacity - entry.pinned - entry.held_by_priority : kNothing);
  planner_.SetCapacity(index, usable ? capacity : kNothing);
}

void ClusterLedger::Add(Amounts account,
                        const JobRecord& job,
                        const Slots& slots,
                        int sign) {
  for (const Slot& it : slots) {
    workers_[it.worker].*account +=
        job.job.gang.per_task * (int64_t{it.tasks} * sign);
    Refresh(it.worker);
  }
}

void ClusterLedger::Allocate(JobRecord& job) {
  for (const Slot& it : job.slots)
    workers_[it.worker].gangs.push_back(&job);
  Add(&WorkerEntry::used, job, job.slots, 1);
  used_by_[job.job.workspace] += job.accelerators();
}

void ClusterLedger::Release(JobRecord& job) {
  while (!job.slots.empty())
    ReleaseOn(job, job.slots.back().worker);
  // The share counts the whole gang until its last task is gone.
  used_by_[job.job.workspace] -= job.accelerators();
  guarantee_ledger_.Charge(job.uses, job.job.gang.per_task, -1);
  job.uses.clear();
  job.charged = false;
  job.pinned = false;
  job.releasing = false;
}

void ClusterLedger::ReleaseOn(JobRecord& job, WorkerIndex worker) {
  const auto it =
      std::find_if(job.slots.begin(), job.slots.end(),
                   [worker](const Slot& s) { return s.worker == worker; });
  if (it == job.slots.end())
    return;
  const Slots one = {*it};
  job.slots.erase(it);
  std::erase(workers_[worker].gangs, &job);
  if (job.pinned)
    Add(&WorkerEntry::pinned, job, one, -1);
  if (job.releasing)
    Add(&WorkerEntry::releasing, job, one, -1);
  Add(&WorkerEntry::used, job, one, -1);
}

void ClusterLedger::Charge(JobRecord& job, GuaranteeCharges uses) {
  job.charged = true;
  job.uses = std::move(uses);
  guarantee_ledger_.Charge(job.uses, job.job.gang.per_task, 1);
}

void ClusterLedger::BindGuarantees() {
  guarantee_ledger_.Bind(planner_.blocks());
  std::vector<JobRecord*> moved;
  for (WorkerEntry& worker : workers_) {
    for (JobRecord* job : worker.gangs) {
      if (job->uses.empty() || guarantee_ledger_.IsInPlace(job->uses))
        continue;
      guarantee_ledger_.Charge(job->uses, job->job.gang.per_task, -1);
      job->uses.clear();
      job->charged = false;
      moved.push_back(job);
    }
  }
  std::sort(moved.begin(), moved.end(),
            [](const JobRecord* a, const JobRecord* b) {
              return a->key.sequence < b->key.sequence;
            });
  for (JobRecord* job : moved) {
    if (job->releasing)
      continue;
    if (auto uses = FindCharge(*job, job->slots))
      Charge(*job, std::move(*uses));
  }
}

void ClusterLedger::SetPinned(JobRecord& job, bool pinned) {
  if (job.pinned == pinned)
    return;
  job.pinned = pinned;
  Add(&WorkerEntry::pinned, job, job.slots, pinned ? 1 : -1);
}

void ClusterLedger::SetReleasing(JobRecord& job) {
  if (job.releasing)
    return;
  job.charged = false;
  SetPinned(job, false);
  job.releasing = true;
  Add(&WorkerEntry::releasing, job, job.slots, 1);
}

void ClusterLedger::AddHold(JobRecord& job, Hold hold) {
  job.hold = std::move(hold);
  Add(&WorkerEntry::held, job, job.hold->slots, 1);
  if (job.hold->kind != HoldKind::kReservation)
    Add(&WorkerEntry::held_by_priority, job, job.hold->slots, 1);
  guarantee_ledger_.Charge(job.hold->uses, job.job.gang.per_task, 1);
}

void ClusterLedger::RemoveHold(JobRecord& job) {
  if (!job.hold)
    return;
  Add(&WorkerEntry::held, job, job.hold->slots, -1);
  if (job.hold->kind != HoldKind::kReservation)
    Add(&WorkerEntry::held_by_priority, job, job.hold->slots, -1);
  guarantee_ledger_.Charge(job.hold->uses, job.job.gang.per_task, -1);
  job.hold.reset();
}

std::optional<GuaranteeCharges> ClusterLedger::FindCharge(
    const JobRecord& job,
    const Slots& slots) const {
  GuaranteeLedger::View view;
  view.uncharged = [this](size_t block, size_t slice) {
    return guarantee_ledger_.slice(block, slice).uncharged;
  };
  view.free = [](WorkerIndex /*worker*/) { return Resources(); };
  view.group = [this](WorkerIndex worker, Adjacency adjacency) {
    return GroupOf(worker, adjacency);
  };
  for (const Slot& it : slots)
    view.only[it.worker] = it.tasks;
  auto found = guarantee_ledger_.Find(job.job.workspace, job.job.gang, view);
  if (!found)
    return std::nullopt;
  return std::move(found->uses);
}

Accelerators ClusterLedger::UsedBy(const WorkspaceId& workspace) const {
  const auto it = used_by_.find(workspace);
  return it == used_by_.end() ? Accelerators() : it->second;
}

}  // namespace quetzalshelf::scheduling
