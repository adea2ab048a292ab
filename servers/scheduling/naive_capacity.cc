#include "servers/scheduling/naive_capacity.h"

#include <algorithm>
#include <string>

namespace quetzalshelf::scheduling {
namespace {

// Copies of `task` that fit in `free`, at most `limit`.
int Count(const Resources& task, const Resources& free, int limit) {
  const auto fit = [limit](int64_t need, int64_t have) {
    return need <= 0 ? int64_t{limit} : std::max<int64_t>(0, have) / need;
  };
  const int64_t n =
      std::min({int64_t{limit},
                fit(task.accelerators.value(), free.accelerators.value()),
                fit(task.cpu.value(), free.cpu.value()),
                fit(task.memory.value(), free.memory.value())});
  return static_cast<int>(n);
}

// Equal for workers that count as adjacent.
std::string GroupKey(Adjacency adjacency, const Worker& worker) {
  switch (adjacency) {
    case Adjacency::kWorker:
      return worker.id.value();
    case Adjacency::kRack:
      return worker.domain.value() + "/" + worker.rack.value();
    case Adjacency::kDomain:
      return worker.domain.value();
    case Adjacency::kRegion:
      return {};
  }
  return {};
}

}  // namespace

bool NaiveCapacity::Add(const Worker& worker) {
  const auto [it, added] = index_.try_emplace(worker.id, workers_.size());
  if (added) {
    workers_.emplace_back();
  }
  State& state = workers_[it->second];
  if (state.up) {
    return false;
  }
  state = {worker, worker.capacity, true};
  groups_.clear();
  return true;
}

std::optional<size_t> NaiveCapacity::Lose(const WorkerId& worker) {
  const auto index = Find(worker);
  if (!index || !workers_[*index].up) {
    return std::nullopt;
  }
  workers_[*index].up = false;
  return index;
}

void NaiveCapacity::SetInService(const DomainId& domain, bool in_service) {
  if (in_service) {
    out_domains_.erase(domain);
  } else {
    out_domains_.insert(domain);
  }
}

std::optional<size_t> NaiveCapacity::Find(const WorkerId& worker) const {
  const auto it = index_.find(worker);
  return it == index_.end() ? std::nullopt : std::optional(it->second);
}

bool NaiveCapacity::InService(size_t index) const {
  const State& state = workers_[index];
  return state.up && !out_domains_.contains(state.worker.domain);
}

bool NaiveCapacity::FitsEmpty(const Shape& gang) const {
  for (const Group& group : Groups(gang.adjacency)) {
    int tasks = 0;
    for (size_t it : group) {
      tasks += Count(gang.per_task, workers_[it].worker.capacity,
                     gang.tasks - tasks);
    }
    if (tasks == gang.tasks) {
      return true;
    }
  }
  return false;
}

std::optional<NaiveCapacity::Slots> NaiveCapacity::Place(
    const Shape& gang,
    const std::set<size_t>& avoid) const {
  for (const Group& group : Groups(gang.adjacency)) {
    Slots slots = PlaceIn(group, gang, avoid);
    if (!slots.empty()) {
      return slots;
    }
  }
  return std::nullopt;
}

void NaiveCapacity::Hold(const Slots& slots, const Resources& per_task) {
  for (size_t it : slots) {
    workers_[it].free -= per_task;
  }
}

void NaiveCapacity::Release(const Slots& slots, const Resources& per_task) {
  for (size_t it : slots) {
    if (it != kLostWorker) {
      workers_[it].free += per_task;
    }
  }
}

Accelerators NaiveCapacity::FreeInService() const {
  Accelerators sum;
  for (size_t n = 0; n < workers_.size(); ++n) {
    sum += InService(n) ? workers_[n].free.accelerators : Accelerators(0);
  }
  return sum;
}

const std::vector<NaiveCapacity::Group>& NaiveCapacity::Groups(
    Adjacency adjacency) const {
  std::vector<Group>& groups = groups_[adjacency];
  if (groups.empty()) {
    std::map<std::string, size_t> index;
    for (size_t n = 0; n < workers_.size(); ++n) {
      const auto [it, added] = index.try_emplace(
          GroupKey(adjacency, workers_[n].worker), groups.size());
      if (added) {
        groups.emplace_back();
      }
      groups[it->second].push_back(n);
    }
  }
  return groups;
}

NaiveCapacity::Slots NaiveCapacity::PlaceIn(
    const Group& group,
    const Shape& gang,
    const std::set<size_t>& avoid) const {
  Slots slots;
  for (size_t it : group) {
    if (!InService(it) || avoid.contains(it)) {
      continue;
    }
    const int missing = gang.tasks - static_cast<int>(slots.size());
    const int n = Count(gang.per_task, workers_[it].free, missing);
    slots.insert(slots.end(), static_cast<size_t>(n), it);
    if (n == missing) {
      return slots;
    }
  }
  return {};
}

}  // namespace quetzalshelf::scheduling
