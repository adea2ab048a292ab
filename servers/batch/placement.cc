#include "servers/batch/placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace quetzalshelf::batch {

namespace {

// Differences of speed below this share of a sound worker's are passed over.
constexpr double kSpeedClassWidth = 0.2;
// Cores that one accelerator counts for when capacity is weighed, as in the
// platform's prices.
constexpr double kCoresPerAccelerator = 8;
constexpr int kNoLimit = std::numeric_limits<int>::max();

template <typename Amount>
int Ratio(Amount free, Amount each) {
  if (each.value() <= 0)
    return kNoLimit;
  return static_cast<int>(std::max<int64_t>(0, free.value() / each.value()));
}

// A group of candidates with the number of tasks that each can take.
struct Group {
  std::vector<std::pair<size_t, int>> fits;
  int total = 0;
  // Class of the slowest worker that is needed for all tasks.
  int speed_class = 0;
  bool holds_data = false;
};

// Workers of one class do not differ enough to matter; 0 is the fastest.
int SpeedClass(const Candidate& candidate) {
  return static_cast<int>(std::lround(candidate.slowness / kSpeedClassWidth));
}

// Best fit among the candidates with room: those without trouble first, then
// near the data, then in the fullest rack, then those with the fewest free
// accelerators.
std::vector<size_t> PackingOrder(const std::vector<Candidate>& candidates,
                                 const Demand& demand) {
  std::vector<size_t> order;
  std::map<RackId, Accelerators> free_of_rack;
  for (size_t n = 0; n < candidates.size(); ++n) {
    const Candidate& it = candidates[n];
    free_of_rack[it.worker->rack] += it.free.accelerators;
    if (CountFits(*it.worker, it.free, demand) > 0)
      order.push_back(n);
  }
  using Key = std::tuple<int, int, bool, Accelerators, Accelerators, size_t>;
  std::vector<Key> keys;
  keys.reserve(order.size());
  for (const size_t n : order) {
    const Candidate& it = candidates[n];
    const bool far =
        !demand.data_rack.empty() && it.worker->rack != demand.data_rack;
    const Accelerators used =
        it.worker->capacity.accelerators - it.free.accelerators;
    keys.emplace_back(it.penalty, demand.urgent ? SpeedClass(it) : 0, far,
                      demand.prefer_idle ? used : free_of_rack[it.worker->rack],
                      it.free.accelerators, n);
  }
  std::ranges::sort(keys);
  for (size_t n = 0; n < keys.size(); ++n)
    order[n] = std::get<size_t>(keys[n]);
  return order;
}

bool HasRoomForAll(const std::vector<Candidate>& candidates,
                   const Demand& demand) {
  int total = 0;
  for (const Candidate& it : candidates) {
    total += CountFits(*it.worker, it.free, demand);
    if (total >= demand.tasks)
      return true;
  }
  return false;
}

std::map<RackId, Group> GroupByRack(const std::vector<Candidate>& candidates,
                                    const Demand& demand) {
  std::map<RackId, Group> racks;
  for (const size_t n : PackingOrder(candidates, demand)) {
    const Candidate& it = candidates[n];
    const int fits = CountFits(*it.worker, it.free, demand);
    if (fits <= 0)
      continue;
    Group& group = racks[it.worker->rack];
    group.fits.emplace_back(n, fits);
    if (group.total < demand.tasks)
      group.speed_class = std::max(group.speed_class, SpeedClass(it));
    group.total += std::min(fits, demand.tasks);
    group.holds_data = it.worker->rack == demand.data_rack;
  }
  return racks;
}

// Takes up to `count` tasks from the group in its order.
void Take(const Group& group, int count, Placement& placement) {
  for (const auto& [index, fits] : group.fits) {
    for (int n = 0; n < fits && count > 0; ++n, --count)
      placement.push_back(index);
  }
}

}  // namespace

Demand MakeDemand(const StepSpec& step, int tasks) {
  Demand demand;
  demand.tasks = tasks;
  demand.each = step.resources;
  if (step.fills)
    demand.each.cpu = MilliCores(0);
  demand.all_or_none = step.gang;
  demand.rack_local = step.rack_local;
  demand.data_rack = step.data_rack;
  demand.required_label = step.required_label;
  demand.max_per_worker = step.max_per_worker;
  return demand;
}

bool IsEligible(const WorkerEntry& worker, const Demand& demand) {
  if (demand.avoid.contains(worker.id) ||
      demand.avoid_racks.contains(worker.rack))
    return false;
  return demand.required_label.empty() ||
         std::ranges::find(worker.labels, demand.required_label) !=
             worker.labels.end();
}

int CountFits(const WorkerEntry& worker,
              const Resources& free,
              const Demand& demand) {
  if (!IsEligible(worker, demand))
    return 0;
  int fits = std::min({Ratio(free.accelerators, demand.each.accelerators),
                       Ratio(free.cpu, demand.each.cpu),
                       Ratio(free.memory, demand.each.memory), demand.tasks});
  if (demand.max_per_worker > 0) {
    const auto present =
        static_cast<int>(std::ranges::count(demand.present, worker.id));
    fits = std::min(fits, demand.max_per_worker - present);
  }
  return std::max(0, fits);
}

std::optional<Placement> PlaceGang(const std::vector<Candidate>& candidates,
                                   const Demand& demand,
                                   bool allow_spread) {
  if (!HasRoomForAll(candidates, demand))
    return std::nullopt;
  const std::map<RackId, Group> racks = GroupByRack(candidates, demand);
  Placement placement;
  // The rack with the data, else the fullest one that still has room.
  const Group* best = nullptr;
  for (const auto& [rack, group] : racks) {
    if (group.total < demand.tasks)
      continue;
    const auto key = [&demand](const Group& it) {
      return std::tuple(!it.holds_data, demand.urgent ? it.speed_class : 0,
                        it.total);
    };
    if (!best || key(group) < key(*best))
      best = &group;
  }
  if (best) {
    Take(*best, demand.tasks, placement);
    return placement;
  }
  if (demand.rack_local && !allow_spread)
    return std::nullopt;
  // As few racks as possible: those with the most room first.
  std::vector<const Group*> order;
  int total = 0;
  for (const auto& [rack, group] : racks) {
    order.push_back(&group);
    total += group.total;
  }
  if (total < demand.tasks)
    return std::nullopt;
  std::ranges::sort(order, [](const Group* a, const Group* b) {
    return a->total > b->total;
  });
  for (const Group* it : order) {
    Take(*it, demand.tasks - static_cast<int>(placement.size()), placement);
  }
  if (static_cast<int>(placement.size()) < demand.tasks)
    return std::nullopt;
  return placement;
}

Placement PlaceTasks(const std::vector<Candidate>& candidates,
                     const Demand& demand) {
  Placement placement;
  for (const size_t n : PackingOrder(candidates, demand)) {
    const Candidate& it = candidates[n];
    const int fits = CountFits(*it.worker, it.free, demand);
    for (int k = 0;
         k < fits && static_cast<int>(placement.size()) < demand.tasks; ++k)
      placement.push_back(n);
  }
  return placement;
}

std::set<RackId> ChooseHeadroom(const std::vector<Candidate>& candidates,
                                double share) {
  struct Rack {
    RackId id;
    int64_t free = 0;
    int64_t capacity = 0;
  };
  std::map<RackId, Rack> racks;
  int64_t total = 0;
  for (const Candidate& it : candidates) {
    Rack& rack = racks[it.worker->rack];
    rack.id = it.worker->rack;
    rack.free += it.free.accelerators.value();
    rack.capacity += it.worker->capacity.accelerators.value();
    total += it.worker->capacity.accelerators.value();
  }
  std::vector<Rack> order;
  order.reserve(racks.size());
  for (const auto& [id, rack] : racks)
    order.push_back(rack);
  std::ranges::stable_sort(order, std::greater(), &Rack::free);
  const double wanted = share * static_cast<double>(total);
  std::set<RackId> chosen;
  int64_t sum = 0;
  for (const Rack& it : order) {
    const bool half = chosen.size() * 2 + 2 > order.size();
    if (static_cast<double>(sum) >= wanted || half)
      break;
    sum += it.capacity;
    chosen.insert(it.id);
  }
  return chosen;
}

double WeighCores(const Resources& amount) {
  return static_cast<double>(amount.cpu.value()) / 1000.0 +
         kCoresPerAccelerator *
             static_cast<double>(amount.accelerators.value());
}

int CountIdleFits(const std::vector<Candidate>& candidates,
                  const Demand& demand,
                  int limit) {
  int total = 0;
  for (const Candidate& it : candidates) {
    if (total >= limit)
      break;
    total += CountFits(*it.worker, it.free + it.reserved, demand);
  }
  return std::min(total, limit);
}

bool HasRoom(const std::vector<Candidate>& candidates, const Demand& demand) {
  Demand needed = demand;
  if (!needed.all_or_none)
    needed.tasks = 1;
  return HasRoomForAll(candidates, needed);
}

bool FitsWhenIdle(const std::vector<Candidate>& candidates,
                  const Demand& demand) {
  const int needed = demand.all_or_none ? demand.tasks : 1;
  int total = 0;
  for (const Candidate& it : candidates) {
    total += CountFits(*it.worker, it.worker->capacity, demand);
    if (total >= needed)
      return true;
  }
  return false;
}

void Avoid(const std::vector<Candidate>& candidates,
           const std::set<WorkerId>& workers,
           Demand& demand) {
  if (workers.empty())
    return;
  size_t eligible = 0;
  size_t avoided = 0;
  for (const Candidate& it : candidates) {
    if (CountFits(*it.worker, it.worker->capacity, demand) == 0)
      continue;
    ++eligible;
    if (workers.contains(it.worker->id))
      ++avoided;
  }
  if (avoided * 2 > eligible)
    return;
  Demand rest = demand;
  rest.avoid.insert(workers.begin(), workers.end());
  if (FitsWhenIdle(candidates, rest))
    demand = std::move(rest);
}

void AvoidRacks(const std::vector<Candidate>& candidates,
                const std::set<RackId>& racks,
                Demand& demand) {
  Demand rest = demand;
  rest.avoid_racks.insert(racks.begin(), racks.end());
  if (FitsWhenIdle(candidates, rest))
    demand = std::move(rest);
}

bool FitsSomeRack(const std::vector<Candidate>& candidates,
                  const Demand& demand) {
  std::map<RackId, int> totals;
  for (const Candidate& it : candidates) {
    int& total = totals[it.worker->rack];
    total += CountFits(*it.worker, it.worker->capacity, demand);
    if (total >= demand.tasks)
      return true;
  }
  return false;
}

}  // namespace quetzalshelf::batch
