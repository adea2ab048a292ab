// What the workspaces' gangs charge to their homes. A task is charged to one
// slot of a home, the place of one task of the guaranteed shape, so that the
// shapes that are left are known exactly.

#ifndef SERVERS_SCHEDULING_HOME_BOOK_H_
#define SERVERS_SCHEDULING_HOME_BOOK_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "servers/scheduling/capacity_index.h"
#include "servers/scheduling/guarantee_planner.h"

namespace quetzalshelf::scheduling {

// Tasks of a gang in one slot of a home.
struct HomeUse {
  size_t home = 0;
  size_t slot = 0;
  WorkerIndex worker = 0;
  int tasks = 0;
};
using HomeUses = std::vector<HomeUse>;

// The workers of a charge, each once.
Slots SlotsOf(const HomeUses& uses);

class HomeBook {
 public:
  struct Slot {
    std::optional<WorkerIndex> worker;  // Empty when the shape is not held.
    Resources uncharged;
  };
  struct Home {
    Adjacency adjacency = Adjacency::kRegion;
    Resources per_slot;
    std::vector<Slot> slots;
  };
  // What a search may use of a slot, and what is free on its worker.
  struct View {
    std::function<Resources(size_t home, size_t slot)> uncharged;
    std::function<Resources(WorkerIndex)> free;
    // The rack or failure domain of a worker, by adjacency. When empty, slots
    // of several homes are not combined for a gang with adjacency.
    std::function<GroupIndex(WorkerIndex, Adjacency)> group;
    // When not empty, exactly these tasks on these workers.
    std::map<WorkerIndex, int> only;
  };
  struct Placement {
    HomeUses uses;
    int tasks_not_free = 0;  // Tasks that wait for a borrower to stop.
  };

  // Starts again with one home for each shape, nothing charged or bound.
  void Rebuild(const std::vector<GuaranteePlanner::Home>& homes);
  // Puts the slots on the workers of the same homes, as planned. Charges stay.
  void Bind(const std::vector<GuaranteePlanner::Home>& homes);
  // Whether each use still lies on the worker of its slot.
  bool IsInPlace(const HomeUses& uses) const;

  // Places a gang in one home of its workspace, the one with the least left
  // that holds it; a gang without adjacency may use several. A home that is
  // looser than the gang has to hold it in one slot. Homes that lie in the same
  // rack or domain may exchange slots, so a gang that fits in one whole home
  // may use free slots of several.
  std::optional<Placement> Find(const WorkspaceId& workspace,
                                const Shape& gang,
                                const View& view) const;
  void Charge(const HomeUses& uses, const Resources& per_task, int sign);

  const Slot& slot(size_t home, size_t slot) const {
    return homes_[home].slots[slot];
  }
  size_t SlotCount(size_t home) const { return homes_[home].slots.size(); }
  // Homes of a workspace.
  const std::vector<size_t>& HomesOf(const WorkspaceId& workspace) const;
  Accelerators UnchargedOf(const WorkspaceId& workspace) const;

 private:
  struct Search;
  std::optional<Placement> FindInGroups(const std::vector<size_t>& homes,
                                        const Shape& gang,
                                        const View& view) const;
  std::vector<Home> homes_;
  std::map<WorkspaceId, std::vector<size_t>> by_workspace_;
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_HOME_BOOK_H_
