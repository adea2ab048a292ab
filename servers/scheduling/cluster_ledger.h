// Accounts of all workers: what is used, charged to guarantees, held and about
// to be released, and the indexes that follow from them.

#ifndef SERVERS_SCHEDULING_CLUSTER_LEDGER_H_
#define SERVERS_SCHEDULING_CLUSTER_LEDGER_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "servers/scheduling/capacity_index.h"
#include "servers/scheduling/charts.h"
#include "servers/scheduling/guarantee_ledger.h"
#include "servers/scheduling/guarantee_planner.h"
#include "servers/scheduling/job_record.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::scheduling {

class ClusterLedger {
 public:
  struct WorkerEntry {
    Worker info;
    WorkerState state = WorkerState::kUnknown;
    GroupIndex rack = 0;
    GroupIndex domain = 0;
    Resources used;       // By gangs, until they have stopped.
    Resources releasing;  // The part of `used` whose stop is decided.
    Resources pinned;     // The part of `used` that only guarantees may stop.
    Resources held;       // For waiting gangs, by any kind of hold.
    Resources held_by_priority;  // By holds other than reservations.
    std::vector<JobRecord*> gangs;
  };
  struct DomainEntry {
    DomainId id;
    DomainState state = DomainState::kInService;
    TimePoint returned;
    int starts_left = 0;  // In this tick, while the domain is returning.
    std::vector<WorkerIndex> workers;
  };

  explicit ClusterLedger(const Charts& charts) : charts_(charts) {}
  ClusterLedger(const ClusterLedger&) = delete;
  ClusterLedger& operator=(const ClusterLedger&) = delete;

  // The index of a worker; a placeholder when it is not known yet.
  WorkerIndex Intern(const WorkerId& id);
  std::optional<WorkerIndex> Find(const WorkerId& id) const;
  GroupIndex InternDomain(const DomainId& id);
  // Sets place and capacity of a worker.
  void SetWorkerInfo(WorkerIndex index, const Worker& worker);
  bool FireWorker(WorkerIndex index, WorkerEvent event);
  bool FireDomain(GroupIndex domain, DomainEvent event);
  void SetStartsLeft(GroupIndex domain, int starts);

  const WorkerEntry& worker(WorkerIndex index) const { return workers_[index]; }
  const std::vector<WorkerEntry>& workers() const { return workers_; }
  const DomainEntry& domain(GroupIndex index) const { return domains_[index]; }
  std::vector<DomainEntry>& domains() { return domains_; }
  const std::vector<DomainEntry>& domains() const { return domains_; }
  GuaranteePlanner& planner() { return planner_; }
  const GuaranteePlanner& planner() const { return planner_; }
  // The shapes of the guarantees and what is charged to them. A gang stays in
  // the guarantee_ledger until it has stopped. When its block moves away from
  // it, the gang becomes a borrower, because the shape has to be free in its
  // new place.
  const GuaranteeLedger& guarantee_ledger() const { return guarantee_ledger_; }
  // Starts a new guarantee_ledger; whatever was charged has to be charged
  // again.
  void RebuildGuarantees() { guarantee_ledger_.Rebuild(planner_.blocks()); }
  // Takes over the planned places. Gangs that are not in them any more are
  // charged to other slots where they run, or else not at all.
  void BindGuarantees();
  // Free capacity that is not held.
  const CapacityIndex& free() const { return free_; }
  // Capacity that is free or used by gangs that may be stopped for urgent
  // gangs and reservations.
  const CapacityIndex& reclaimable() const { return reclaimable_; }
  // Capacity of all workers that were ever added, in or out of service.
  const CapacityIndex& total() const { return total_; }
  Accelerators total_accelerators() const { return total_accelerators_; }

  // Whether the worker is in service and its domain too.
  bool IsUsable(WorkerIndex index) const;
  // The worker's rack for kRack, its domain for kDomain.
  GroupIndex GroupOf(WorkerIndex worker, Adjacency adjacency) const;
  // What is free on the worker, held or not.
  Resources Unused(WorkerIndex index) const {
    return workers_[index].info.capacity - workers_[index].used;
  }

  // Moves the accounts of a gang. `job.slots` names what it uses.
  void Allocate(JobRecord& job);
  void Release(JobRecord& job);
  void ReleaseOn(JobRecord& job, WorkerIndex worker);
  void Charge(JobRecord& job, GuaranteeCharges uses);
  void SetPinned(JobRecord& job, bool pinned);
  void SetReleasing(JobRecord& job);
  // Holds of kind kGuarantee charge the workspace's blocks.
  void AddHold(JobRecord& job, Hold hold);
  void RemoveHold(JobRecord& job);

  // A charge for a gang that runs in these slots, if the blocks of its
  // workspace have room there.
  std::optional<GuaranteeCharges> FindCharge(const JobRecord& job,
                                             const Slots& slots) const;
  Accelerators UsedBy(const WorkspaceId& workspace) const;

  // Recomputes what follows from the accounts of one worker.
  void Refresh(WorkerIndex index);

 private:
  using Amounts = Resources WorkerEntry::*;
  void Add(Amounts account, const JobRecord& job, const Slots& slots, int sign);

  const Charts& charts_;
  std::vector<WorkerEntry> workers_;
  std::vector<DomainEntry> domains_;
  std::unordered_map<WorkerId, WorkerIndex> worker_ids_;
  std::map<DomainId, GroupIndex> domain_ids_;
  std::map<std::pair<GroupIndex, RackId>, GroupIndex> rack_ids_;
  std::map<WorkspaceId, Accelerators> used_by_;
  CapacityIndex free_;
  CapacityIndex reclaimable_;
  CapacityIndex total_;
  GuaranteePlanner planner_;
  GuaranteeLedger guarantee_ledger_;
  Accelerators total_accelerators_;
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_CLUSTER_LEDGER_H_
