// Chooses workers for tasks. Answers the load of mixed sizes: small tasks fill
// workers that are in use, so that whole workers and racks stay free for gangs
// of large tasks.

#ifndef SERVERS_BATCH_PLACEMENT_H_
#define SERVERS_BATCH_PLACEMENT_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/units.h"
#include "servers/batch/types.h"

namespace quetzalshelf::batch {

// A worker that may be given tasks.
struct Candidate {
  const WorkerEntry* worker = nullptr;
  Resources free;
  // Larger is worse; 0 for a worker without recent trouble.
  int penalty = 0;
  // Time that a task takes there, relative to a sound worker.
  double slowness = 1;
  bool has_unproven_run = false;  // Started too recently to rule out a crash.
  // Kept for waiting tasks, and not part of `free`.
  Resources reserved;
  // The part of `reserved` that is for gangs which only wait for runs to end.
  Resources awaiting;

  // Takes no further tasks; reservations there stay.
  void Close() {
    if (Resources().FitsIn(free))
      free = Resources();
  }
};

// What the tasks of one step need.
struct Demand {
  int tasks = 0;
  Resources each;
  bool all_or_none = true;  // Of a gang: it needs room for all its tasks.
  bool rack_local = false;
  RackId data_rack;
  std::string required_label;
  int max_per_worker = 0;  // 0: no limit.
  // Workers that run tasks of the step already count towards the limit.
  std::vector<WorkerId> present;
  std::set<WorkerId> avoid;
  std::set<RackId> avoid_racks;
  // Fast workers are worth more than well-filled ones.
  bool urgent = false;
  // Idle workers come first: the task may take its worker's work with it.
  bool prefer_idle = false;
};

// Capacity in cores, accelerators included.
double WeighCores(const Resources& amount);

Demand MakeDemand(const StepSpec& step, int tasks);

// Whether `demand` allows tasks on the worker at all.
bool IsEligible(const WorkerEntry& worker, const Demand& demand);
// How many tasks of `demand` fit into `free` on the worker.
int CountFits(const WorkerEntry& worker,
              const Resources& free,
              const Demand& demand);

// Indexes into the candidates, one a task.
using Placement = std::vector<size_t>;

// Places all tasks of a gang or none. A rack-local gang goes into one rack; it
// is spread over racks only when `allow_spread`.
std::optional<Placement> PlaceGang(const std::vector<Candidate>& candidates,
                                   const Demand& demand,
                                   bool allow_spread);
// Places as many of the tasks as fit.
Placement PlaceTasks(const std::vector<Candidate>& candidates,
                     const Demand& demand);

// The emptiest racks, with about `share` of all accelerators, but never more
// than half of the racks. Keeping work that can wait out of them lets urgent
// gangs start at once, whole and within a rack.
std::set<RackId> ChooseHeadroom(const std::vector<Candidate>& candidates,
                                double share);

// How many tasks of `demand` the candidates could take if nothing were reserved
// there, at most `limit`.
int CountIdleFits(const std::vector<Candidate>& candidates,
                  const Demand& demand,
                  int limit);

// Whether there is room for all tasks of a gang, or for one of other tasks.
bool HasRoom(const std::vector<Candidate>& candidates, const Demand& demand);
// The same if all workers were idle.
bool FitsWhenIdle(const std::vector<Candidate>& candidates,
                  const Demand& demand);

// Lets the demand avoid the workers. Has no effect when they are more than half
// of those that could hold its tasks, or when the others could not.
void Avoid(const std::vector<Candidate>& candidates,
           const std::set<WorkerId>& workers,
           Demand& demand);
// The same for whole racks, without the limit of a half.
void AvoidRacks(const std::vector<Candidate>& candidates,
                const std::set<RackId>& racks,
                Demand& demand);

// Whether some rack could hold the whole demand if it were empty.
bool FitsSomeRack(const std::vector<Candidate>& candidates,
                  const Demand& demand);

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_PLACEMENT_H_
