// Chooses which gangs to stop so that given amounts become free on given
// workers, at the least loss of work.

#ifndef SERVERS_SCHEDULING_VICTIM_SELECTOR_H_
#define SERVERS_SCHEDULING_VICTIM_SELECTOR_H_

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "servers/scheduling/capacity_index.h"

namespace quetzalshelf::scheduling {

// An amount on one worker.
struct Amount {
  WorkerIndex worker = 0;
  Resources resources;
};

// A whole gang that may be stopped.
struct VictimCandidate {
  // Accelerator-seconds that would have to be done again.
  double lost_work = 0;
  std::vector<Amount> releases;
};

struct VictimChoice {
  std::vector<size_t> victims;  // Positions in the candidates.
  double lost_work = 0;
};

// Each amount, or 0 when it is negative.
Resources PositivePart(const Resources& amounts);

// Nothing when all candidates together do not release enough. Takes the gang
// with the least loss for each accelerator needed until the deficits are
// covered, then drops those with the most lost work that are not needed.
std::optional<VictimChoice> SelectVictims(
    const std::vector<Amount>& deficits,
    const std::vector<VictimCandidate>& candidates);

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_VICTIM_SELECTOR_H_
