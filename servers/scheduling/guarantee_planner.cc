#include "servers/scheduling/guarantee_planner.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace quetzalshelf::scheduling {

namespace {

using Block = GuaranteePlanner::Block;
using BlockOrder = std::function<bool(const Block&, const Block&)>;

int64_t AcceleratorsOf(const Block& block) {
  return block.shape.per_task.accelerators.value() * block.shape.tasks;
}

// Shapes that are hardest to hold come first.
std::vector<BlockOrder> Orders() {
  return {
      [](const Block& a, const Block& b) {
        if (a.shape.adjacency != b.shape.adjacency)
          return a.shape.adjacency < b.shape.adjacency;
        return AcceleratorsOf(a) > AcceleratorsOf(b);
      },
      [](const Block& a, const Block& b) {
        return AcceleratorsOf(a) > AcceleratorsOf(b);
      },
      [](const Block& a, const Block& b) {
        if (a.shape.per_task.accelerators != b.shape.per_task.accelerators)
          return a.shape.per_task.accelerators > b.shape.per_task.accelerators;
        return AcceleratorsOf(a) > AcceleratorsOf(b);
      },
  };
}

}  // namespace

void GuaranteePlanner::AddWorker(WorkerIndex worker,
                                 GroupIndex rack,
                                 GroupIndex domain) {
  if (worker >= workers_.size())
    workers_.resize(worker + 1);
  workers_[worker] = {rack, domain, {Accelerators(-1), {}, {}}};
}

void GuaranteePlanner::SetCapacity(WorkerIndex worker,
                                   const Resources& capacity) {
  if (workers_[worker].capacity == capacity)
    return;
  workers_[worker].capacity = capacity;
  dirty_ = true;
}

void GuaranteePlanner::SetWorkspaces(const std::vector<Workspace>& workspaces) {
  std::vector<Block> old = std::move(blocks_);
  blocks_.clear();
  for (const Workspace& workspace : workspaces) {
    for (size_t n = 0; n < workspace.guarantees.size(); ++n) {
      const Guarantee& it = workspace.guarantees[n];
      for (int copy = 0; copy < it.count; ++copy)
        blocks_.push_back(
            {workspace.id, static_cast<int>(n), it.shape, {}, blocks_.size()});
    }
  }
  for (Block& block : blocks_) {
    const auto it = std::find_if(old.begin(), old.end(), [&](const Block& o) {
      return !o.slots.empty() && o.workspace == block.workspace &&
             o.shape == block.shape;
    });
    if (it == old.end())
      continue;
    block.slots = std::move(it->slots);
    it->slots.clear();
  }
  dirty_ = true;
}

CapacityIndex GuaranteePlanner::FullIndex() const {
  CapacityIndex index;
  for (WorkerIndex n = 0; n < workers_.size(); ++n) {
    index.AddWorker(n, workers_[n].rack, workers_[n].domain);
    index.SetAvailable(n, workers_[n].capacity);
  }
  return index;
}

bool GuaranteePlanner::IsValid(const Block& block, CapacityIndex& free) const {
  return std::all_of(
      block.slots.begin(), block.slots.end(), [&](const Slot& it) {
        return TasksIn(free.available(it.worker), block.shape.per_task,
                       it.tasks) == it.tasks;
      });
}

void GuaranteePlanner::Take(CapacityIndex& free, const Block& block) {
  for (const Slot& it : block.slots) {
    free.SetAvailable(
        it.worker, free.available(it.worker) - block.shape.per_task * it.tasks);
  }
}

void GuaranteePlanner::BindMissing(std::vector<Block>& blocks,
                                   CapacityIndex& free) {
  for (Block& block : blocks) {
    if (!block.slots.empty())
      continue;
    auto found = free.Find(block.shape, {});
    if (!found)
      continue;
    block.slots = std::move(*found);
    Take(free, block);
  }
}

int64_t GuaranteePlanner::HeldAccelerators(const std::vector<Block>& blocks) {
  int64_t sum = 0;
  for (const Block& it : blocks) {
    if (!it.slots.empty())
      sum += AcceleratorsOf(it);
  }
  return sum;
}

void GuaranteePlanner::Plan() {
  dirty_ = false;
  CapacityIndex free = FullIndex();
  for (Block& block : blocks_) {
    if (!block.slots.empty() && !IsValid(block, free))
      block.slots.clear();
    Take(free, block);
  }
  const std::vector<Block> kept = blocks_;
  const CapacityIndex rest = free;
  // Binding is tried in several orders because first fit may miss a packing.
  std::vector<Block> best;
  int64_t best_held = -1;
  const auto consider = [&](std::vector<Block> plan) {
    const int64_t held = HeldAccelerators(plan);
    if (held <= best_held)
      return held;
    best = std::move(plan);
    best_held = held;
    return held;
  };
  int64_t all = 0;
  for (const Block& it : blocks_)
    all += AcceleratorsOf(it);
  for (const bool anew : {false, true}) {
    for (const BlockOrder& order : Orders()) {
      if (best_held == all)
        break;
      std::vector<Block> plan = kept;
      if (anew) {
        for (Block& it : plan)
          it.slots.clear();
      }
      std::stable_sort(plan.begin(), plan.end(), order);
      CapacityIndex index = anew ? FullIndex() : rest;
      BindMissing(plan, index);
      consider(std::move(plan));
    }
  }
  blocks_ = std::move(best);
  std::sort(blocks_.begin(), blocks_.end(),
            [](const Block& a, const Block& b) { return a.number < b.number; });
}

std::vector<UnsatisfiedGuarantee> GuaranteePlanner::Unheld() const {
  std::map<std::pair<WorkspaceId, int>, int> missing;
  for (const Block& it : blocks_) {
    if (it.slots.empty())
      ++missing[{it.workspace, it.guarantee}];
  }
  std::vector<UnsatisfiedGuarantee> result;
  result.reserve(missing.size());
  for (const auto& [key, count] : missing) {
    result.push_back({key.first, key.second, count,
                      "the workers in service have no room for " +
                          std::to_string(count) +
                          " more of this shape beside the other guarantees"});
  }
  return result;
}

}  // namespace quetzalshelf::scheduling
