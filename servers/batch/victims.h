// Chooses which runs to stop so that urgent work can start. Answers bursts of
// urgent gangs on a full cluster: the least work is thrown away.

#ifndef SERVERS_BATCH_VICTIMS_H_
#define SERVERS_BATCH_VICTIMS_H_

#include <optional>
#include <string>
#include <vector>

#include "servers/batch/placement.h"

namespace quetzalshelf::batch {

// Runs that end together: one run, or all members of a gang.
struct VictimGroup {
  // What stopping the group costs, in core-seconds weighted by its importance.
  double cost = 0;
  struct Member {
    size_t candidate = 0;
    Resources resources;
  };
  std::vector<Member> members;
};

struct ReclaimPlan {
  Placement placement;
  std::vector<size_t> victims;  // Indexes of the groups to stop.
  double cost = 0;
};

// The cheapest plan found for all tasks of `demand`, in one rack unless
// `allow_spread`; nullopt when even stopping all groups does not suffice.
std::optional<ReclaimPlan> PlanReclaim(const std::vector<Candidate>& candidates,
                                       const std::vector<VictimGroup>& groups,
                                       const Demand& demand,
                                       bool allow_spread);

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_VICTIMS_H_
