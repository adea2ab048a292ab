// The soak's check of counts of waiting jobs.

#include <doctest/doctest.h>

#include "tests/soak/count_check.h"

namespace quetzalshelf::soak {

namespace {

const TimePoint kAccepted = FromMillis(1'000);
const TimePoint kCovered = kAccepted + kCountCoverage + Duration(1);

}  // namespace

TEST_CASE("A leader that reports under half of the waiting jobs is found") {
  const std::vector<WaitingJob> jobs(7, {.accepted_at = kAccepted});
  const int64_t owed = CountOwed(jobs, kCovered);
  CHECK(owed == 7);
  CHECK(IsTooFew(0, owed));
  CHECK(IsTooFew(3, owed));
  CHECK_FALSE(IsTooFew(4, owed));
  CHECK_FALSE(IsTooFew(9, owed));
  CHECK_FALSE(IsTooFew(0, 0));
}

TEST_CASE("Only jobs that surely still wait are owed in a count") {
  const WaitingJob waiting{.accepted_at = kAccepted};
  CHECK(CountOwed({waiting}, kCovered) == 1);
  CHECK(CountOwed({waiting}, kCovered - Duration(1)) == 0);
  CHECK(CountOwed({{}}, kCovered) == 0);
  WaitingJob begun = waiting;
  begun.has_begun = true;
  WaitingJob cancelled = waiting;
  cancelled.may_be_over = true;
  CHECK(CountOwed({begun, cancelled}, kCovered) == 0);
}

}  // namespace quetzalshelf::soak
