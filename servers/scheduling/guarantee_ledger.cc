#include "servers/scheduling/guarantee_ledger.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace quetzalshelf::scheduling {

Slots SlotsOf(const GuaranteeCharges& uses) {
  std::map<WorkerIndex, int> tasks;
  for (const GuaranteeCharge& it : uses)
    tasks[it.worker] += it.tasks;
  Slots slots;
  for (const auto& [worker, count] : tasks)
    slots.push_back({worker, count});
  return slots;
}

// One gang's search; takes tasks slice by slice.
struct GuaranteeLedger::Search {
  const Shape& gang;
  const View& view;
  int missing;
  Placement placement;
  std::map<WorkerIndex, int> taken;

  Search(const Shape& shape, const View& the_view)
      : gang(shape), view(the_view), missing(shape.tasks) {}

  int FreeTasks(WorkerIndex worker) const {
    const auto it = taken.find(worker);
    const int used = it == taken.end() ? 0 : it->second;
    return std::max(
        0, TasksIn(view.free(worker), gang.per_task, gang.tasks) - used);
  }

  int Limit(WorkerIndex worker) const {
    if (view.only.empty())
      return missing;
    const auto it = view.only.find(worker);
    const auto used = taken.find(worker);
    const int allowed = it == view.only.end() ? 0 : it->second;
    return std::min(missing,
                    allowed - (used == taken.end() ? 0 : used->second));
  }

  void Take(size_t block, size_t slice, WorkerIndex worker, bool whole) {
    const int n =
        TasksIn(view.uncharged(block, slice), gang.per_task, Limit(worker));
    if (n <= 0 || (whole && n < gang.tasks))
      return;
    placement.tasks_not_free += std::max(0, n - FreeTasks(worker));
    placement.uses.push_back({block, slice, worker, n});
    taken[worker] += n;
    missing -= n;
  }

  // Slots are filled in order, so that what is left is in few of them.
  void TakeFrom(size_t id, const Block& block) {
    const bool whole = block.adjacency > gang.adjacency;
    for (size_t n = 0; n < block.slots.size() && missing > 0; ++n) {
      if (block.slots[n].worker)
        Take(id, n, *block.slots[n].worker, whole);
    }
  }
};

void GuaranteeLedger::Rebuild(
    const std::vector<GuaranteePlanner::Block>& blocks) {
  blocks_.clear();
  by_workspace_.clear();
  for (const GuaranteePlanner::Block& it : blocks) {
    by_workspace_[it.workspace].push_back(blocks_.size());
    blocks_.push_back({it.shape.adjacency, it.shape.per_task,
                       std::vector<Slice>(static_cast<size_t>(it.shape.tasks),
                                          {std::nullopt, it.shape.per_task})});
  }
}

void GuaranteeLedger::Bind(const std::vector<GuaranteePlanner::Block>& blocks) {
  for (size_t n = 0; n < blocks.size() && n < blocks_.size(); ++n) {
    std::vector<Slice>& slots = blocks_[n].slots;
    for (Slice& it : slots)
      it.worker.reset();
    size_t next = 0;
    for (const scheduling::Slice& it : blocks[n].slots) {
      for (int task = 0; task < it.tasks && next < slots.size(); ++task)
        slots[next++].worker = it.worker;
    }
  }
}

bool GuaranteeLedger::IsInPlace(const GuaranteeCharges& uses) const {
  return !uses.empty() &&
         std::all_of(
             uses.begin(), uses.end(), [this](const GuaranteeCharge& it) {
               return blocks_[it.block].slots[it.slice].worker == it.worker;
             });
}

std::optional<GuaranteeLedger::Placement> GuaranteeLedger::Find(
    const WorkspaceId& workspace,
    const Shape& gang,
    const View& view) const {
  std::optional<Placement> best;
  std::pair<int64_t, int> best_rank;
  const std::vector<size_t>& blocks = BlocksOf(workspace);
  for (const size_t id : blocks) {
    int64_t left = 0;
    for (size_t n = 0; n < blocks_[id].slots.size(); ++n)
      left += view.uncharged(id, n).accelerators.value();
    if (best && left > best_rank.first)
      continue;
    Search search(gang, view);
    search.TakeFrom(id, blocks_[id]);
    const std::pair<int64_t, int> rank = {left,
                                          search.placement.tasks_not_free};
    if (search.missing > 0 || (best && rank >= best_rank))
      continue;
    best = std::move(search.placement);
    best_rank = rank;
  }
  if (best)
    return best;
  if (gang.adjacency != Adjacency::kRegion)
    return FindInGroups(blocks, gang, view);
  Search search(gang, view);
  for (const size_t id : blocks)
    search.TakeFrom(id, blocks_[id]);
  if (search.missing > 0)
    return std::nullopt;
  return std::move(search.placement);
}

std::optional<GuaranteeLedger::Placement> GuaranteeLedger::FindInGroups(
    const std::vector<size_t>& blocks,
    const Shape& gang,
    const View& view) const {
  if (!view.group || gang.adjacency == Adjacency::kWorker)
    return std::nullopt;
  struct Group {
    int64_t left = 0;
    std::vector<std::pair<size_t, size_t>> slots;
  };
  std::map<GroupIndex, Group> groups;
  bool fits_whole = false;
  for (const size_t id : blocks) {
    const Block& block = blocks_[id];
    if (block.adjacency != gang.adjacency)
      continue;
    const int per_slice = TasksIn(block.per_slice, gang.per_task, gang.tasks);
    fits_whole =
        fits_whole ||
        static_cast<int64_t>(block.slots.size()) * per_slice >= gang.tasks;
    for (size_t n = 0; n < block.slots.size(); ++n) {
      if (!block.slots[n].worker)
        continue;
      Group& group = groups[view.group(*block.slots[n].worker, gang.adjacency)];
      group.left += view.uncharged(id, n).accelerators.value();
      group.slots.emplace_back(id, n);
    }
  }
  std::optional<Placement> best;
  std::pair<int64_t, int> best_rank;
  for (const auto& [id, group] : groups) {
    Search search(gang, view);
    for (const auto& [block, slice] : group.slots) {
      if (search.missing > 0)
        search.Take(block, slice, *blocks_[block].slots[slice].worker, false);
    }
    const std::pair<int64_t, int> rank = {group.left,
                                          search.placement.tasks_not_free};
    if (!fits_whole || search.missing > 0 || (best && rank >= best_rank))
      continue;
    best = std::move(search.placement);
    best_rank = rank;
  }
  return best;
}

void GuaranteeLedger::Charge(const GuaranteeCharges& uses,
                             const Resources& per_task,
                             int sign) {
  for (const GuaranteeCharge& it : uses)
    blocks_[it.block].slots[it.slice].uncharged -=
        per_task * (int64_t{it.tasks} * sign);
}

const std::vector<size_t>& GuaranteeLedger::BlocksOf(
    const WorkspaceId& workspace) const {
  static const std::vector<size_t> kNone;
  const auto it = by_workspace_.find(workspace);
  return it == by_workspace_.end() ? kNone : it->second;
}

Accelerators GuaranteeLedger::UnchargedOf(const WorkspaceId& workspace) const {
  Accelerators sum;
  for (const size_t id : BlocksOf(workspace)) {
    for (const Slice& it : blocks_[id].slots)
      sum += it.uncharged.accelerators;
  }
  return sum;
}

}  // namespace quetzalshelf::scheduling
