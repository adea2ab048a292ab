#include "servers/scheduling/capacity_index.h"

#include <algorithm>
#include <limits>

namespace quetzalshelf::scheduling {

namespace {

bool IsPlaceable(const Resources& it) {
  return it.accelerators.value() >= 0 && it.cpu.value() >= 0 &&
         it.memory.value() >= 0;
}

}  // namespace

int TasksIn(const Resources& available, const Resources& per_task, int limit) {
  if (!IsPlaceable(available))
    return 0;
  int64_t n = limit;
  const auto cap = [&n](int64_t have, int64_t need) {
    if (need > 0)
      n = std::min(n, have / need);
  };
  cap(available.accelerators.value(), per_task.accelerators.value());
  cap(available.cpu.value(), per_task.cpu.value());
  cap(available.memory.value(), per_task.memory.value());
  return static_cast<int>(std::max<int64_t>(n, 0));
}

struct CapacityIndex::Request {
  const Shape& shape;
  const std::vector<WorkerIndex>& excluded;
  const WorkerPreference* preference;
  const CapacityIndex& index;

  int64_t accelerators() const {
    return shape.per_task.accelerators.value() * shape.tasks;
  }
  int TasksOn(WorkerIndex worker, int limit) const {
    if (!excluded.empty() &&
        std::find(excluded.begin(), excluded.end(), worker) != excluded.end())
      return 0;
    return TasksIn(index.available(worker), shape.per_task, limit);
  }
};

void CapacityIndex::AddWorker(WorkerIndex worker,
                              GroupIndex rack,
                              GroupIndex domain) {
  if (worker >= workers_.size())
    workers_.resize(worker + 1);
  if (domain >= domains_.size()) {
    const size_t old = domains_.size();
    domains_.resize(domain + 1);
    for (size_t n = old; n < domains_.size(); ++n) {
      domains_[n].buckets.resize(kMaxLevel + 1);
      domain_order_.insert({0, static_cast<GroupIndex>(n)});
    }
  }
  if (rack >= racks_.size()) {
    const size_t old = racks_.size();
    racks_.resize(rack + 1);
    for (size_t n = old; n < racks_.size(); ++n)
      rack_order_.insert({0, static_cast<GroupIndex>(n)});
  }
  Entry& entry = workers_[worker];
  Unlist(worker);
  std::erase(racks_[entry.rack].workers, worker);
  entry.rack = rack;
  entry.domain = domain;
  entry.available = {Accelerators(-1), MilliCores(0), Mebibytes(0)};
  racks_[rack].workers.push_back(worker);
  racks_[rack].domain = domain;
}

void CapacityIndex::SetAvailable(WorkerIndex worker,
                                 const Resources& available) {
  if (workers_[worker].available == available)
    return;
  Unlist(worker);
  workers_[worker].available = available;
  List(worker);
}

size_t CapacityIndex::Level(const Resources& available) {
  return static_cast<size_t>(
      std::min(available.accelerators.value(), kMaxLevel));
}

void CapacityIndex::Unlist(WorkerIndex worker) {
  Entry& entry = workers_[worker];
  if (!entry.listed)
    return;
  auto& bucket = domains_[entry.domain].buckets[Level(entry.available)];
  bucket[entry.position] = bucket.back();
  workers_[bucket.back()].position = entry.position;
  bucket.pop_back();
  entry.listed = false;
  AddTo(entry, -entry.available.accelerators.value());
}

void CapacityIndex::List(WorkerIndex worker) {
  Entry& entry = workers_[worker];
  if (!IsPlaceable(entry.available))
    return;
  auto& bucket = domains_[entry.domain].buckets[Level(entry.available)];
  entry.position = static_cast<uint32_t>(bucket.size());
  entry.listed = true;
  bucket.push_back(worker);
  AddTo(entry, entry.available.accelerators.value());
}

void CapacityIndex::AddTo(Entry& entry, int64_t accelerators) {
  if (accelerators == 0)
    return;
  Group& rack = racks_[entry.rack];
  rack_order_.erase({rack.accelerators, entry.rack});
  rack.accelerators += accelerators;
  rack_order_.insert({rack.accelerators, entry.rack});
  Domain& domain = domains_[entry.domain];
  domain_order_.erase({domain.accelerators, entry.domain});
  domain.accelerators += accelerators;
  domain_order_.insert({domain.accelerators, entry.domain});
}

std::optional<Slots> CapacityIndex::FindOnWorker(const Request& request) const {
  const int tasks = request.shape.tasks;
  std::optional<Slots> best;
  int64_t best_penalty = std::numeric_limits<int64_t>::max();
  for (size_t level =
           static_cast<size_t>(std::min(request.accelerators(), kMaxLevel));
       level <= static_cast<size_t>(kMaxLevel); ++level) {
    for (const Domain& domain : domains_) {
      size_t seen = 0;
      for (const WorkerIndex it : domain.buckets[level]) {
        if (request.TasksOn(it, tasks) < tasks)
          continue;
        if (request.preference == nullptr)
          return Slots{{it, tasks}};
        if (++seen > kMaxPreferred)
          break;
        const int64_t penalty = request.preference->Penalty(it, tasks);
        if (penalty >= best_penalty)
          continue;
        best = Slots{{it, tasks}};
        best_penalty = penalty;
      }
    }
  }
  return best;
}

std::optional<Slots> CapacityIndex::FindInRack(const Request& request,
                                               GroupIndex rack) const {
  struct Candidate {
    WorkerIndex worker;
    int tasks;
    int64_t accelerators;
  };
  std::vector<Candidate> fits;
  int total = 0;
  for (const WorkerIndex it : racks_[rack].workers) {
    const int n = request.TasksOn(it, request.shape.tasks);
    if (n == 0)
      continue;
    fits.push_back({it, n, available(it).accelerators.value()});
    total += n;
  }
  if (total < request.shape.tasks)
    return std::nullopt;
  // Partly used workers first, so that whole workers stay whole.
  std::stable_sort(fits.begin(), fits.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return a.accelerators < b.accelerators;
                   });
  Slots slots;
  int left = request.shape.tasks;
  for (const Candidate& it : fits) {
    if (left == 0)
      break;
    slots.push_back({it.worker, std::min(it.tasks, left)});
    left -= slots.back().tasks;
  }
  return slots;
}

std::optional<Slots> CapacityIndex::FindInDomains(
    const Request& request,
    const std::vector<GroupIndex>& in) const {
  Slots slots;
  int left = request.shape.tasks;
  const int64_t first =
      std::min(request.shape.per_task.accelerators.value(), kMaxLevel);
  for (auto level = static_cast<size_t>(first);
       level <= static_cast<size_t>(kMaxLevel); ++level) {
    for (const GroupIndex domain : in) {
      for (const WorkerIndex it : domains_[domain].buckets[level]) {
        const int n = request.TasksOn(it, left);
        if (n == 0)
          continue;
        slots.push_back({it, n});
        left -= n;
        if (left == 0)
          return slots;
      }
    }
  }
  return std::nullopt;
}

std::optional<Slots> CapacityIndex::Find(
    const Shape& shape,
    const std::vector<WorkerIndex>& excluded,
    const WorkerPreference* preference) const {
  const Request request{shape, excluded, preference, *this};
  const int64_t need = request.accelerators();
  if (auto found = FindOnWorker(request))
    return found;
  if (shape.adjacency == Adjacency::kWorker)
    return std::nullopt;
  for (auto it = rack_order_.lower_bound({need, 0}); it != rack_order_.end();
       ++it) {
    if (auto found = FindInRack(request, it->second))
      return found;
  }
  if (shape.adjacency == Adjacency::kRack)
    return std::nullopt;
  for (auto it = domain_order_.lower_bound({need, 0});
       it != domain_order_.end(); ++it) {
    if (auto found = FindInDomains(request, {it->second}))
      return found;
  }
  if (shape.adjacency == Adjacency::kDomain)
    return std::nullopt;
  std::vector<GroupIndex> all;
  for (const auto& [accelerators, domain] : domain_order_)
    all.push_back(domain);
  return FindInDomains(request, all);
}

std::vector<Slots> CapacityIndex::FindSeveral(
    const Shape& shape,
    const std::vector<WorkerIndex>& excluded,
    size_t limit) const {
  const Request request{shape, excluded, nullptr, *this};
  const int64_t need = request.accelerators();
  std::vector<Slots> all;
  for (auto it = rack_order_.lower_bound({need, 0});
       it != rack_order_.end() && all.size() < limit; ++it) {
    if (shape.adjacency != Adjacency::kWorker) {
      if (auto found = FindInRack(request, it->second))
        all.push_back(std::move(*found));
      continue;
    }
    for (const WorkerIndex worker : racks_[it->second].workers) {
      if (request.TasksOn(worker, shape.tasks) == shape.tasks &&
          all.size() < limit)
        all.push_back({{worker, shape.tasks}});
    }
  }
  if (shape.adjacency == Adjacency::kWorker ||
      shape.adjacency == Adjacency::kRack)
    return all;
  for (auto it = domain_order_.lower_bound({need, 0});
       it != domain_order_.end() && all.size() < limit; ++it) {
    if (auto found = FindInDomains(request, {it->second}))
      all.push_back(std::move(*found));
  }
  if (all.empty()) {
    if (auto found = Find(shape, excluded))
      all.push_back(std::move(*found));
  }
  return all;
}

}  // namespace quetzalshelf::scheduling
