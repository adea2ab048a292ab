#include "servers/scheduling/slice_finder.h"

#include <algorithm>
#include <compare>
#include <functional>
#include <map>
#include <utility>

namespace quetzalshelf::scheduling {

namespace {

struct Fit {
  const SliceCandidate* slice;
  int tasks;
  int free_tasks;
};

struct Choice {
  SlicePlacement placement;
  int spare_tasks = 0;  // The group could hold that many more.

  bool IsBetterThan(const Choice& other) const {
    if (placement.tasks_not_free != other.placement.tasks_not_free)
      return placement.tasks_not_free < other.placement.tasks_not_free;
    return spare_tasks < other.spare_tasks;
  }
};

std::optional<Choice> PlaceInGroup(int tasks, std::vector<Fit> group) {
  int total = 0;
  for (const Fit& it : group)
    total += it.tasks;
  if (total < tasks)
    return std::nullopt;
  // Free slices first, then nearly charged ones.
  std::stable_sort(group.begin(), group.end(), [](const Fit& a, const Fit& b) {
    const bool a_waits = a.free_tasks < a.tasks;
    const bool b_waits = b.free_tasks < b.tasks;
    if (a_waits != b_waits)
      return b_waits;
    return a.tasks < b.tasks;
  });
  Choice choice;
  choice.spare_tasks = total - tasks;
  int left = tasks;
  for (const Fit& it : group) {
    if (left == 0)
      break;
    const int n = std::min(left, it.tasks);
    choice.placement.slots.push_back({it.slice->worker, n});
    choice.placement.tasks_not_free += std::max(0, n - it.free_tasks);
    left -= n;
  }
  return choice;
}

using GroupKey = std::function<uint32_t(const SliceCandidate&)>;

std::optional<SlicePlacement> PlaceByGroup(int tasks,
                                           const std::vector<Fit>& fits,
                                           const GroupKey& key) {
  std::map<uint32_t, std::vector<Fit>> groups;
  for (const Fit& it : fits)
    groups[key(*it.slice)].push_back(it);
  std::optional<Choice> best;
  for (auto& [id, group] : groups) {
    auto choice = PlaceInGroup(tasks, std::move(group));
    if (choice && (!best || choice->IsBetterThan(*best)))
      best = std::move(choice);
  }
  if (!best)
    return std::nullopt;
  return std::move(best->placement);
}

}  // namespace

std::optional<SlicePlacement> FindInSlices(
    const Shape& shape,
    std::vector<SliceCandidate> candidates) {
  std::vector<Fit> fits;
  for (const SliceCandidate& it : candidates) {
    const int n = TasksIn(it.uncharged, shape.per_task, shape.tasks);
    if (n > 0)
      fits.push_back({&it, n, TasksIn(it.free, shape.per_task, n)});
  }
  // The loosest grouping allowed comes last; a tighter one that needs no stop
  // is preferred.
  const std::pair<Adjacency, GroupKey> groupings[] = {
      {Adjacency::kWorker, [](const SliceCandidate& it) { return it.worker; }},
      {Adjacency::kRack, [](const SliceCandidate& it) { return it.rack; }},
      {Adjacency::kDomain, [](const SliceCandidate& it) { return it.domain; }},
      {Adjacency::kRegion, [](const SliceCandidate&) { return 0U; }},
  };
  std::optional<SlicePlacement> best;
  for (const auto& [adjacency, key] : groupings) {
    if (adjacency > shape.adjacency)
      break;
    auto found = PlaceByGroup(shape.tasks, fits, key);
    if (found && (!best || found->tasks_not_free < best->tasks_not_free))
      best = std::move(found);
  }
  return best;
}

}  // namespace quetzalshelf::scheduling
