#include "tests/soak/count_check.h"

#include <algorithm>

namespace quetzalshelf::soak {

int64_t CountOwed(const std::vector<WaitingJob>& jobs, TimePoint asked_at) {
  return std::ranges::count_if(jobs, [&](const WaitingJob& it) {
    return it.accepted_at && *it.accepted_at + kCountCoverage < asked_at &&
           !it.has_begun && !it.may_be_over;
  });
}

bool IsTooFew(int64_t told, int64_t owed) {
  return 2 * told < owed;
}

}  // namespace quetzalshelf::soak
