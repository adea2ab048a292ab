#include "servers/scheduling/guarantee_planner.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace quetzalshelf::scheduling {

namespace {

using Home = GuaranteePlanner::Home;
using HomeOrder = std::function<bool(const Home&, const Home&)>;

int64_t AcceleratorsOf(const Home& home) {
  return home.shape.per_task.accelerators.value() * home.shape.tasks;
}

// Shapes that are hardest to hold come first.
std::vector<HomeOrder> Orders() {
  return {
      [](const Home& a, const Home& b) {
        if (a.shape.adjacency != b.shape.adjacency)
          return a.shape.adjacency < b.shape.adjacency;
        return AcceleratorsOf(a) > AcceleratorsOf(b);
      },
      [](const Home& a, const Home& b) {
        return AcceleratorsOf(a) > AcceleratorsOf(b);
      },
      [](const Home& a, const Home& b) {
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
  std::vector<Home> old = std::move(homes_);
  homes_.clear();
  for (const Workspace& workspace : workspaces) {
    for (size_t n = 0; n < workspace.guarantees.size(); ++n) {
      const Guarantee& it = workspace.guarantees[n];
      for (int copy = 0; copy < it.count; ++copy)
        homes_.push_back(
            {workspace.id, static_cast<int>(n), it.shape, {}, homes_.size()});
    }
  }
  for (Home& home : homes_) {
    const auto it = std::find_if(old.begin(), old.end(), [&](const Home& o) {
      return !o.slots.empty() && o.workspace == home.workspace &&
             o.shape == home.shape;
    });
    if (it == old.end())
      continue;
    home.slots = std::move(it->slots);
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

bool GuaranteePlanner::IsValid(const Home& home, CapacityIndex& free) const {
  return std::all_of(home.slots.begin(), home.slots.end(), [&](const Slot& it) {
    return TasksIn(free.available(it.worker), home.shape.per_task, it.tasks) ==
           it.tasks;
  });
}

void GuaranteePlanner::Take(CapacityIndex& free, const Home& home) {
  for (const Slot& it : home.slots) {
    free.SetAvailable(
        it.worker, free.available(it.worker) - home.shape.per_task * it.tasks);
  }
}

void GuaranteePlanner::BindMissing(std::vector<Home>& homes,
                                   CapacityIndex& free) {
  for (Home& home : homes) {
    if (!home.slots.empty())
      continue;
    auto found = free.Find(home.shape, {});
    if (!found)
      continue;
    home.slots = std::move(*found);
    Take(free, home);
  }
}

int64_t GuaranteePlanner::HeldAccelerators(const std::vector<Home>& homes) {
  int64_t sum = 0;
  for (const Home& it : homes) {
    if (!it.slots.empty())
      sum += AcceleratorsOf(it);
  }
  return sum;
}

void GuaranteePlanner::Plan() {
  dirty_ = false;
  CapacityIndex free = FullIndex();
  for (Home& home : homes_) {
    if (!home.slots.empty() && !IsValid(home, free))
      home.slots.clear();
    Take(free, home);
  }
  const std::vector<Home> kept = homes_;
  const CapacityIndex rest = free;
  // Binding is tried in several orders because first fit may miss a packing.
  std::vector<Home> best;
  int64_t best_held = -1;
  const auto consider = [&](std::vector<Home> plan) {
    const int64_t held = HeldAccelerators(plan);
    if (held <= best_held)
      return held;
    best = std::move(plan);
    best_held = held;
    return held;
  };
  int64_t all = 0;
  for (const Home& it : homes_)
    all += AcceleratorsOf(it);
  for (const bool anew : {false, true}) {
    for (const HomeOrder& order : Orders()) {
      if (best_held == all)
        break;
      std::vector<Home> plan = kept;
      if (anew) {
        for (Home& it : plan)
          it.slots.clear();
      }
      std::stable_sort(plan.begin(), plan.end(), order);
      CapacityIndex index = anew ? FullIndex() : rest;
      BindMissing(plan, index);
      consider(std::move(plan));
    }
  }
  homes_ = std::move(best);
  std::sort(homes_.begin(), homes_.end(),
            [](const Home& a, const Home& b) { return a.number < b.number; });
}

std::vector<UnsatisfiedGuarantee> GuaranteePlanner::Unheld() const {
  std::map<std::pair<WorkspaceId, int>, int> missing;
  for (const Home& it : homes_) {
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
