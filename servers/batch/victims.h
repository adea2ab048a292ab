// Chooses which runs to stop so that urgent work can start. Answers bursts of
// urgent gangs on a full cluster: the least work is thrown away.

#ifndef SERVERS_BATCH_VICTIMS_H_
#define SERVERS_BATCH_VICTIMS_H_

#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "servers/batch/placement.h"

namespace quetzalshelf::batch {

// Runs that end together: one run, or all members of a gang.
struct VictimGroup {
  // Work since the last checkpoint, in core-seconds.
  double lost_work = 0;
  // The lost work weighted by the importance of its job.
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
  double lost_work = 0;  // In core-seconds.
};

// The cheapest plan found for all tasks of `demand`, in one rack unless
// `allow_spread`; nullopt when even stopping all groups does not suffice. Tasks
// of no gang are planned on any rack, as many as there can be room for; nullopt
// if there is none. Groups without members are passed over.
std::optional<ReclaimPlan> PlanReclaim(const std::vector<Candidate>& candidates,
                                       const std::vector<VictimGroup>& groups,
                                       const Demand& demand,
                                       bool allow_spread);

// Time that work waits before it starts again after its n-th preemption in a
// row. Answers a burst of urgent work that lasts: work that starts at once in
// the next free room is stopped again, while urgent work has to wait for each
// of these stops.
Duration RestartDelay(int preemptions);

// An urgent job that would start in the place of others.
struct ReclaimClaim {
  double job_size = 0;  // Its work in core-seconds.
  bool guaranteed = false;
  bool late = false;   // It misses its objective even if it starts now.
  Duration waited{0};  // Since its acceptance.
};

// Whether the job gains more by starting now than is thrown away.
bool IsReclaimWorthwhile(const ReclaimPlan& plan, const ReclaimClaim& claim);

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_VICTIMS_H_
