// Places a gang in the uncharged home slices of its workspace.

#ifndef SERVERS_SCHEDULING_SLICE_FINDER_H_
#define SERVERS_SCHEDULING_SLICE_FINDER_H_

#include <optional>
#include <vector>

#include "servers/scheduling/capacity_index.h"

namespace quetzalshelf::scheduling {

struct SliceCandidate {
  WorkerIndex worker = 0;
  GroupIndex rack = 0;
  GroupIndex domain = 0;
  Resources uncharged;  // Of the workspace's slice.
  Resources free;       // Of the worker, without stopping anything.
};

struct SlicePlacement {
  Slots slots;
  int tasks_not_free = 0;  // Tasks that wait for a borrower to stop.
};

// Chooses the group of slices that satisfies the adjacency, needs the fewest
// tasks to wait for borrowers, and leaves the least behind, so that small gangs
// gather in few homes and whole homes stay whole.
std::optional<SlicePlacement> FindInSlices(
    const Shape& shape,
    std::vector<SliceCandidate> candidates);

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_SLICE_FINDER_H_
