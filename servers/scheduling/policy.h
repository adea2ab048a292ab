// Tunable values of the decision core. The measurements behind the defaults
// are in docs/MEASUREMENTS.md.

#ifndef SERVERS_SCHEDULING_POLICY_H_
#define SERVERS_SCHEDULING_POLICY_H_

#include <cstddef>

#include "core/time.h"

namespace quetzalshelf::scheduling {

// How a worker is chosen for a gang that fits on one.
enum class PlacementRule { kBlocks, kGradient };

struct Policy {
  PlacementRule placement = PlacementRule::kBlocks;

  // A gang that waits longer gets a reservation.
  Duration reservation_delay{30'000};
  // A reservation waits this long for gangs to end by themselves.
  Duration reservation_drain_time{0};
  // No reservation stops a gang before it has run for this long, so that short
  // gangs end by themselves.
  Duration min_run_before_preemption{120'000};
  size_t max_reservations = 1;
  // No reservation stops a gang that was started by one for this long.
  Duration reservation_turn{1'200'000};

  // Time for a checkpoint before a stop. Ticks come about every second and
  // urgent work has to start within 2.6 s, so little is left for it there.
  Duration urgent_grace{500};
  Duration reclaim_grace{10'000};
  Duration reservation_grace{20'000};
  Duration domain_grace{20'000};

  Duration checkpoint_interval{60'000};
  size_t checkpoints_per_tick = 256;

  // Rank of a waiting job, in milliseconds for each accelerator-second of
  // expected work.
  double queue_millis_per_work = 2'000;
  // Handicap of a workspace that uses its whole weighted share.
  Duration share_penalty{60'000};

  // Starts per tick in a failure domain that has come back, and for how long.
  int return_starts_per_tick = 8;
  Duration return_period{60'000};

  Duration initial_backoff{2'000};
  // Below the default reclaim deadline, which a failure does not extend.
  Duration max_backoff{15'000};

  // Waiting jobs tried in one pass and max_alternatives compared for one gang.
  size_t scan_limit = 1'024;
  size_t reservation_scan = 64;
  size_t max_alternatives = 8;
  // Ended jobs that are remembered for explanations and repeated events.
  size_t max_retained_jobs = 20'000;
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_POLICY_H_
