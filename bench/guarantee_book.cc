#include "bench/guarantee_book.h"

#include <algorithm>
#include <climits>
#include <set>
#include <string>
#include <utility>

namespace quetzalshelf::bench {
namespace {

using scheduling::Adjacency;
using scheduling::Shape;
using scheduling::Worker;

std::string Group(Adjacency adjacency, const Worker& worker) {
  std::string out;
  if (adjacency <= Adjacency::kDomain) {
    out += worker.domain.value();
  }
  if (adjacency <= Adjacency::kRack) {
    out += "|" + worker.rack.value();
  }
  if (adjacency == Adjacency::kWorker) {
    out += "|" + worker.id.value();
  }
  return out;
}

// Puts the slices on the workers of one group, or changes nothing.
bool PutSlices(const std::vector<Resources>& slices,
               const std::vector<size_t>& group,
               std::vector<Worker>& workers) {
  std::vector<std::pair<size_t, Resources>> put;
  size_t next = 0;
  for (const Resources& slice : slices) {
    if (slice == Resources{}) {
      continue;
    }
    while (next < group.size() &&
           !slice.FitsIn(workers[group[next]].capacity)) {
      ++next;
    }
    if (next == group.size()) {
      for (const auto& [worker, taken] : put) {
        workers[worker].capacity += taken;
      }
      return false;
    }
    workers[group[next]].capacity -= slice;
    put.emplace_back(group[next], slice);
  }
  return true;
}

bool PutBlock(const GuaranteeBlock& block, std::vector<Worker>& workers) {
  std::map<std::string, std::vector<size_t>> groups;
  for (size_t n = 0; n < workers.size(); ++n) {
    groups[Group(block.adjacency, workers[n])].push_back(n);
  }
  // The group with the least space first keeps large groups whole.
  std::vector<std::pair<int64_t, const std::vector<size_t>*>> order;
  for (const auto& [name, group] : groups) {
    int64_t space = 0;
    for (size_t it : group) {
      space += workers[it].capacity.accelerators.value();
    }
    order.emplace_back(space, &group);
  }
  std::stable_sort(
      order.begin(), order.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  return std::any_of(order.begin(), order.end(), [&](const auto& it) {
    return PutSlices(block.free, *it.second, workers);
  });
}

}  // namespace

int TasksIn(const Resources& per_task, const Resources& free) {
  int64_t n = INT_MAX;
  const auto limit = [&n](int64_t need, int64_t have) {
    if (need > 0) {
      n = std::min(n, std::max<int64_t>(have, 0) / need);
    }
  };
  limit(per_task.accelerators.value(), free.accelerators.value());
  limit(per_task.cpu.value(), free.cpu.value());
  limit(per_task.memory.value(), free.memory.value());
  return static_cast<int>(n);
}

int64_t GuaranteeBlock::FreeAccelerators() const {
  int64_t sum = 0;
  for (const Resources& it : free) {
    sum += it.accelerators.value();
  }
  return sum;
}

GuaranteeBook::GuaranteeBook(const scheduling::Workspace& workspace) {
  for (const scheduling::Guarantee& guarantee : workspace.guarantees) {
    const Shape& shape = guarantee.shape;
    unused_ += shape.per_task * shape.tasks * guarantee.count;
    for (int n = 0; n < guarantee.count; ++n) {
      const auto slices = static_cast<size_t>(shape.tasks);
      blocks_.push_back({shape.adjacency, shape.per_task,
                         std::vector<Resources>(slices, shape.per_task)});
    }
  }
}

bool GuaranteeBook::Covers(const Shape& gang) {
  Map();
  return (gang.per_task * gang.tasks).FitsIn(unused_) && !Find(gang).empty();
}

bool GuaranteeBook::Charge(const JobId& job,
                           const Shape& gang,
                           std::vector<const Worker*> workers) {
  const Resources total = gang.per_task * gang.tasks;
  if (!total.FitsIn(unused_)) {
    return false;
  }
  unused_ -= total;
  charged_[job] = {gang.per_task, total, std::move(workers)};
  mapped_ = false;
  return true;
}

bool GuaranteeBook::IsCharged(const JobId& job) const {
  return charged_.contains(job);
}

void GuaranteeBook::Release(const JobId& job) {
  const auto found = charged_.find(job);
  if (found != charged_.end()) {
    unused_ += found->second.total;
    charged_.erase(found);
    mapped_ = false;
  }
}

const std::vector<GuaranteeBlock>& GuaranteeBook::blocks() {
  Map();
  return blocks_;
}

// The largest blocks come first, each where the tasks left use most. Counting
// tasks instead of accelerators put several small gangs into a block whose
// large gang then had no place, and the rest of that block was taken as free.
void GuaranteeBook::Map() {
  if (mapped_) {
    return;
  }
  mapped_ = true;
  std::vector<Task> tasks;
  for (const auto& [job, charged] : charged_) {
    for (const Worker* worker : charged.workers) {
      tasks.push_back({charged.per_task, worker});
    }
  }
  std::vector<GuaranteeBlock*> order;
  for (GuaranteeBlock& block : blocks_) {
    block.free.assign(block.free.size(), block.per_slice);
    order.push_back(&block);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const GuaranteeBlock* a, const GuaranteeBlock* b) {
                     return a->FreeAccelerators() > b->FreeAccelerators();
                   });
  for (GuaranteeBlock* block : order) {
    std::set<std::string> groups;
    for (const Task& it : tasks) {
      groups.insert(Group(block->adjacency, *it.worker));
    }
    std::vector<Task> left = tasks;
    for (const std::string& group : groups) {
      GuaranteeBlock filled = *block;
      std::vector<Task> rest = tasks;
      filled.free = Fill(*block, group, rest);
      if (Use(rest) < Use(left)) {
        left = std::move(rest);
        block->free = std::move(filled.free);
      }
    }
    tasks = std::move(left);
  }
}

Accelerators GuaranteeBook::Use(const std::vector<Task>& tasks) {
  Accelerators use;
  for (const Task& it : tasks)
    use += it.resources.accelerators;
  return use;
}

// Removes the tasks that found a slice. Each slice in turn takes the worker
// with the most accelerators in tasks left.
std::vector<Resources> GuaranteeBook::Fill(const GuaranteeBlock& block,
                                           const std::string& group,
                                           std::vector<Task>& tasks) {
  std::vector<Resources> free(block.free.size(), block.per_slice);
  for (Resources& slice : free) {
    std::map<const Worker*, int64_t> sums;
    for (const Task& it : tasks) {
      if (Group(block.adjacency, *it.worker) == group &&
          it.resources.FitsIn(slice)) {
        sums[it.worker] += 1 + it.resources.accelerators.value();
      }
    }
    const Worker* best = nullptr;
    for (const auto& [worker, sum] : sums) {
      if (best == nullptr || sum > sums[best] ||
          (sum == sums[best] && worker->id < best->id)) {
        best = worker;
      }
    }
    std::erase_if(tasks, [&](const Task& it) {
      const bool fits = it.worker == best && it.resources.FitsIn(slice);
      slice -= fits ? it.resources : Resources{};
      return fits;
    });
  }
  return free;
}

std::vector<GuaranteeUse> GuaranteeBook::Find(const Shape& gang) const {
  std::vector<GuaranteeUse> best;
  int64_t best_left = LLONG_MAX;
  for (size_t n = 0; n < blocks_.size(); ++n) {
    if (blocks_[n].FreeAccelerators() >= best_left) {
      continue;
    }
    std::vector<GuaranteeUse> uses = FindInBlock(n, gang);
    if (!uses.empty()) {
      best_left = blocks_[n].FreeAccelerators();
      best = std::move(uses);
    }
  }
  if (best.empty() && gang.adjacency == Adjacency::kRegion) {
    return FindAcross(gang);
  }
  return best;
}

std::vector<GuaranteeUse> GuaranteeBook::FindInBlock(size_t block,
                                                     const Shape& gang) const {
  std::vector<GuaranteeUse> uses;
  int missing = gang.tasks;
  const std::vector<Resources>& slices = blocks_[block].free;
  // Tasks in one slice are on one worker, whatever the block's adjacency.
  const bool one_slice = blocks_[block].adjacency > gang.adjacency;
  for (size_t n = 0; n < slices.size() && missing > 0; ++n) {
    const int tasks = std::min(missing, TasksIn(gang.per_task, slices[n]));
    if (tasks > 0 && (tasks == gang.tasks || !one_slice)) {
      uses.push_back({block, n, tasks});
      missing -= tasks;
    }
  }
  return missing == 0 ? uses : std::vector<GuaranteeUse>();
}

std::vector<GuaranteeUse> GuaranteeBook::FindAcross(const Shape& gang) const {
  std::vector<GuaranteeUse> uses;
  int missing = gang.tasks;
  for (size_t block = 0; block < blocks_.size(); ++block) {
    const std::vector<Resources>& slices = blocks_[block].free;
    for (size_t n = 0; n < slices.size() && missing > 0; ++n) {
      const int tasks = std::min(missing, TasksIn(gang.per_task, slices[n]));
      if (tasks > 0) {
        uses.push_back({block, n, tasks});
        missing -= tasks;
      }
    }
  }
  return missing == 0 ? uses : std::vector<GuaranteeUse>();
}

bool CanHold(std::vector<GuaranteeBlock> blocks, std::vector<Worker> workers) {
  std::stable_sort(blocks.begin(), blocks.end(),
                   [](const GuaranteeBlock& a, const GuaranteeBlock& b) {
                     return a.FreeAccelerators() > b.FreeAccelerators();
                   });
  return std::all_of(
      blocks.begin(), blocks.end(),
      [&](const GuaranteeBlock& it) { return PutBlock(it, workers); });
}

}  // namespace quetzalshelf::bench
