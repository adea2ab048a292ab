// Binds every guaranteed shape to a block: slices of concrete workers in
// service that satisfy its adjacency. Homes never overlap, so the slices on a
// worker together never exceed its capacity, and reclaiming one block never
// needs another.

#ifndef SERVERS_SCHEDULING_GUARANTEE_PLANNER_H_
#define SERVERS_SCHEDULING_GUARANTEE_PLANNER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "servers/scheduling/capacity_index.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::scheduling {

class GuaranteePlanner {
 public:
  struct Block {
    WorkspaceId workspace;
    int guarantee = 0;  // Index in Workspace::guarantees.
    Shape shape;
    Slots slots;        // Empty when the shape is not held.
    size_t number = 0;  // Position in the order of declaration.
  };

  // Workers are declared once, in the order of their indexes.
  void AddWorker(WorkerIndex worker, GroupIndex rack, GroupIndex domain);
  // The capacity that blocks may use; negative when the worker is out.
  void SetCapacity(WorkerIndex worker, const Resources& capacity);
  // Shapes that stay keep their blocks.
  void SetWorkspaces(const std::vector<Workspace>& workspaces);

  bool dirty() const { return dirty_; }
  // Rebinds blocks that have lost a worker. When some shape finds no block, all
  // are bound anew and the plan that holds more accelerators is kept.
  void Plan();

  const std::vector<Block>& blocks() const { return blocks_; }
  std::vector<UnsatisfiedGuarantee> Unheld() const;

 private:
  struct WorkerEntry {
    GroupIndex rack = 0;
    GroupIndex domain = 0;
    Resources capacity;
  };

  bool IsValid(const Block& block, CapacityIndex& free) const;
  CapacityIndex FullIndex() const;
  static void Take(CapacityIndex& free, const Block& block);
  static void BindMissing(std::vector<Block>& blocks, CapacityIndex& free);
  static int64_t HeldAccelerators(const std::vector<Block>& blocks);

  std::vector<WorkerEntry> workers_;
  std::vector<Block> blocks_;
  bool dirty_ = false;
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_GUARANTEE_PLANNER_H_
