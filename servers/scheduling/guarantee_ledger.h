// What the workspaces' gangs charge to their blocks. A task is charged to one
// slice of a block, the place of one task of the guaranteed shape, so that the
// shapes that are left are known exactly.

#ifndef SERVERS_SCHEDULING_GUARANTEE_LEDGER_H_
#define SERVERS_SCHEDULING_GUARANTEE_LEDGER_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "servers/scheduling/capacity_index.h"
#include "servers/scheduling/guarantee_planner.h"

namespace quetzalshelf::scheduling {

// Tasks of a gang in one slice of a block.
struct GuaranteeCharge {
  size_t block = 0;
  size_t slice = 0;
  WorkerIndex worker = 0;
  int tasks = 0;
};
using GuaranteeCharges = std::vector<GuaranteeCharge>;

// The workers of a charge, each once.
Slots SlotsOf(const GuaranteeCharges& uses);

class GuaranteeLedger {
 public:
  struct Slice {
    std::optional<WorkerIndex> worker;  // Empty when the shape is not held.
    Resources uncharged;
  };
  struct Block {
    Adjacency adjacency = Adjacency::kRegion;
    Resources per_slice;
    std::vector<Slice> slots;
  };
  // What a search may use of a slice, and what is free on its worker.
  struct View {
    std::function<Resources(size_t block, size_t slice)> uncharged;
    std::function<Resources(WorkerIndex)> free;
    // The rack or failure domain of a worker, by adjacency. When empty, slots
    // of several blocks are not combined for a gang with adjacency.
    std::function<GroupIndex(WorkerIndex, Adjacency)> group;
    // When not empty, exactly these tasks on these workers.
    std::map<WorkerIndex, int> only;
  };
  struct Placement {
    GuaranteeCharges uses;
    int tasks_not_free = 0;  // Tasks that wait for a borrower to stop.
  };

  // Starts again with one block for each shape, nothing charged or bound.
  void Rebuild(const std::vector<GuaranteePlanner::Block>& blocks);
  // Puts the slots on the workers of the same blocks, as planned. Charges stay.
  void Bind(const std::vector<GuaranteePlanner::Block>& blocks);
  // Whether each use still lies on the worker of its slice.
  bool IsInPlace(const GuaranteeCharges& uses) const;

  // Places a gang in one block of its workspace, the one with the least left
  // that holds it; a gang without adjacency may use several. A block that is
  // looser than the gang has to hold it in one slice. Homes that lie in the
  // same rack or domain may exchange slots, so a gang that fits in one whole
  // block may use free slots of several.
  std::optional<Placement> Find(const WorkspaceId& workspace,
                                const Shape& gang,
                                const View& view) const;
  void Charge(const GuaranteeCharges& uses,
              const Resources& per_task,
              int sign);

  const Slice& slice(size_t block, size_t slice) const {
    return blocks_[block].slots[slice];
  }
  size_t SliceCount(size_t block) const { return blocks_[block].slots.size(); }
  // Homes of a workspace.
  const std::vector<size_t>& BlocksOf(const WorkspaceId& workspace) const;
  Accelerators UnchargedOf(const WorkspaceId& workspace) const;

 private:
  struct Search;
  std::optional<Placement> FindInGroups(const std::vector<size_t>& blocks,
                                        const Shape& gang,
                                        const View& view) const;
  std::vector<Block> blocks_;
  std::map<WorkspaceId, std::vector<size_t>> by_workspace_;
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_GUARANTEE_LEDGER_H_
