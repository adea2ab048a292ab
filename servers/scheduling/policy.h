// Tunable parameters of the scheduler core. The measurements behind the
// defaults are in docs/MEASUREMENTS.md.

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
  // A reservation waits this long for running gangs to finish before it
  // preempts them.
  Duration reservation_drain_time{0};
  // A reservation for a larger gang does not preempt a gang that has run for
  // less than this, so that short gangs can finish.
  Duration min_run_before_preemption{120'000};
  size_t max_reservations = 1;
  // Minimum run time of a gang that was started by a reservation, or that is no
  // smaller than the reserving gang, before a reservation preempts it.
  Duration reservation_turn{1'200'000};

  // Time for a checkpoint before a preempted gang is stopped. Ticks come about
  // every second and urgent gangs must start within 2.6 s, so their grace
  // period is short.
  Duration urgent_grace{500};
  Duration reclaim_grace{10'000};
  Duration reservation_grace{20'000};
  Duration domain_grace{20'000};

  Duration checkpoint_interval{60'000};
  size_t checkpoints_per_tick = 256;

  // Queue rank of a waiting job: milliseconds added to its submission time for
  // each accelerator-second of expected work.
  double queue_millis_per_work = 2'000;
  // Rank penalty of a workspace that uses exactly its weighted share; it grows
  // in proportion to the use.
  Duration share_penalty{60'000};

  // Limit of starts per tick in a failure domain that has returned to service,
  // and how long the limit applies.
  int return_starts_per_tick = 8;
  Duration return_period{60'000};

  Duration initial_backoff{2'000};
  // Below the default reclaim deadline, which a failure does not extend.
  Duration max_backoff{15'000};

  // Waiting jobs tried in one pass.
  size_t scan_limit = 1'024;
  // Oldest waiting jobs considered for a reservation.
  size_t reservation_scan = 64;
  // Placements compared for one gang.
  size_t max_alternatives = 8;
  // Ended jobs that are kept for explanations and repeated events.
  size_t max_retained_jobs = 20'000;
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_POLICY_H_
