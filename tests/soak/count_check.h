// What a count of waiting jobs owes its caller.

#ifndef TESTS_SOAK_COUNT_CHECK_H_
#define TESTS_SOAK_COUNT_CHECK_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/time.h"

namespace quetzalshelf::soak {

// A count covers the jobs that were accepted this long before it was asked for:
// the users' `visible_ms`, and the two seconds by which a count may be old.
inline constexpr Duration kCountCoverage{5'000};

struct WaitingJob {
  // When the caller got the answer; nullopt if no answer told.
  std::optional<TimePoint> accepted_at;
  bool has_begun = false;    // A worker has started one of its tasks.
  bool may_be_over = false;  // A cancel was sent, or it was shown as final.
};

// Jobs that a count must include that was asked for at `asked_at`.
int64_t CountOwed(const std::vector<WaitingJob>& jobs, TimePoint asked_at);

// Whether a node that told `told` told under half of `owed`.
bool IsTooFew(int64_t told, int64_t owed);

}  // namespace quetzalshelf::soak

#endif  // TESTS_SOAK_COUNT_CHECK_H_
