#include "servers/scheduling/home_book.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace quetzalshelf::scheduling {

Slots SlotsOf(const HomeUses& uses) {
  std::map<WorkerIndex, int> tasks;
  for (const HomeUse& it : uses)
    tasks[it.worker] += it.tasks;
  Slots slots;
  for (const auto& [worker, count] : tasks)
    slots.push_back({worker, count});
  return slots;
}

// One gang's search; takes tasks slot by slot.
struct HomeBook::Search {
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

  void Take(size_t home, size_t slot, WorkerIndex worker, bool whole) {
    const int n =
        TasksIn(view.uncharged(home, slot), gang.per_task, Limit(worker));
    if (n <= 0 || (whole && n < gang.tasks))
      return;
    placement.tasks_not_free += std::max(0, n - FreeTasks(worker));
    placement.uses.push_back({home, slot, worker, n});
    taken[worker] += n;
    missing -= n;
  }

  // Slots are filled in order, so that what is left is in few of them.
  void TakeFrom(size_t id, const Home& home) {
    const bool whole = home.adjacency > gang.adjacency;
    for (size_t n = 0; n < home.slots.size() && missing > 0; ++n) {
      if (home.slots[n].worker)
        Take(id, n, *home.slots[n].worker, whole);
    }
  }
};

void HomeBook::Rebuild(const std::vector<GuaranteePlanner::Home>& homes) {
  homes_.clear();
  by_workspace_.clear();
  for (const GuaranteePlanner::Home& it : homes) {
    by_workspace_[it.workspace].push_back(homes_.size());
    homes_.push_back({it.shape.adjacency, it.shape.per_task,
                      std::vector<Slot>(static_cast<size_t>(it.shape.tasks),
                                        {std::nullopt, it.shape.per_task})});
  }
}

void HomeBook::Bind(const std::vector<GuaranteePlanner::Home>& homes) {
  for (size_t n = 0; n < homes.size() && n < homes_.size(); ++n) {
    std::vector<Slot>& slots = homes_[n].slots;
    for (Slot& it : slots)
      it.worker.reset();
    size_t next = 0;
    for (const scheduling::Slot& it : homes[n].slots) {
      for (int task = 0; task < it.tasks && next < slots.size(); ++task)
        slots[next++].worker = it.worker;
    }
  }
}

bool HomeBook::IsInPlace(const HomeUses& uses) const {
  return !uses.empty() &&
         std::all_of(uses.begin(), uses.end(), [this](const HomeUse& it) {
           return homes_[it.home].slots[it.slot].worker == it.worker;
         });
}

std::optional<HomeBook::Placement> HomeBook::Find(const WorkspaceId& workspace,
                                                  const Shape& gang,
                                                  const View& view) const {
  std::optional<Placement> best;
  std::pair<int64_t, int> best_rank;
  const std::vector<size_t>& homes = HomesOf(workspace);
  for (const size_t id : homes) {
    int64_t left = 0;
    for (size_t n = 0; n < homes_[id].slots.size(); ++n)
      left += view.uncharged(id, n).accelerators.value();
    if (best && left > best_rank.first)
      continue;
    Search search(gang, view);
    search.TakeFrom(id, homes_[id]);
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
    return FindInGroups(homes, gang, view);
  Search search(gang, view);
  for (const size_t id : homes)
    search.TakeFrom(id, homes_[id]);
  if (search.missing > 0)
    return std::nullopt;
  return std::move(search.placement);
}

std::optional<HomeBook::Placement> HomeBook::FindInGroups(
    const std::vector<size_t>& homes,
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
  for (const size_t id : homes) {
    const Home& home = homes_[id];
    if (home.adjacency != gang.adjacency)
      continue;
    const int per_slot = TasksIn(home.per_slot, gang.per_task, gang.tasks);
    fits_whole =
        fits_whole ||
        static_cast<int64_t>(home.slots.size()) * per_slot >= gang.tasks;
    for (size_t n = 0; n < home.slots.size(); ++n) {
      if (!home.slots[n].worker)
        continue;
      Group& group = groups[view.group(*home.slots[n].worker, gang.adjacency)];
      group.left += view.uncharged(id, n).accelerators.value();
      group.slots.emplace_back(id, n);
    }
  }
  std::optional<Placement> best;
  std::pair<int64_t, int> best_rank;
  for (const auto& [id, group] : groups) {
    Search search(gang, view);
    for (const auto& [home, slot] : group.slots) {
      if (search.missing > 0)
        search.Take(home, slot, *homes_[home].slots[slot].worker, false);
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

void HomeBook::Charge(const HomeUses& uses,
                      const Resources& per_task,
                      int sign) {
  for (const HomeUse& it : uses)
    homes_[it.home].slots[it.slot].uncharged -=
        per_task * (int64_t{it.tasks} * sign);
}

const std::vector<size_t>& HomeBook::HomesOf(
    const WorkspaceId& workspace) const {
  static const std::vector<size_t> kNone;
  const auto it = by_workspace_.find(workspace);
  return it == by_workspace_.end() ? kNone : it->second;
}

Accelerators HomeBook::UnchargedOf(const WorkspaceId& workspace) const {
  Accelerators sum;
  for (const size_t id : HomesOf(workspace)) {
    for (const Slot& it : homes_[id].slots)
      sum += it.uncharged.accelerators;
  }
  return sum;
}

}  // namespace quetzalshelf::scheduling
