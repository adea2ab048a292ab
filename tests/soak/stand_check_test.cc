// Tests of the soak's check of standing jobs.

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/soak/stand_check.h"

namespace quetzalshelf::soak {

namespace {

constexpr TimePoint kStart{Duration(100'000)};

// Seconds until a job that needs 4 accelerators is reported; -1 if it is not
// within 20 s.
int SecondsToReport(const std::vector<StandCheck::Room>& rooms,
                    TimePoint calm_since) {
  StandCheck check;
  const std::vector<StandCheck::Job> jobs{{"j", kStart, 2, 2}};
  for (int n = 0; n <= 20; ++n) {
    const TimePoint now = kStart + Duration(n * 1'000);
    if (!check.Observe(jobs, rooms, now, calm_since).empty())
      return n;
  }
  return -1;
}

}  // namespace

TEST_CASE("A job that stands for over 3 s with room for it is reported") {
  const std::vector<StandCheck::Room> free{{8, 8}, {8, 8}};
  CHECK(SecondsToReport(free, TimePoint()) == 4);
  CHECK(SecondsToReport(free, kStart) == 8);
}

TEST_CASE("A job without room for it twice over may wait") {
  CHECK(SecondsToReport({{8, 5}}, TimePoint()) == -1);
  CHECK(SecondsToReport({{8, 8}, {8, 0}}, TimePoint()) == -1);
}

TEST_CASE("A job that runs meanwhile does not stand") {
  StandCheck check;
  const std::vector<StandCheck::Room> free{{8, 8}};
  const std::vector<StandCheck::Job> jobs{{"j", kStart, 1, 1}};
  for (int n = 0; n < 20; ++n) {
    const TimePoint now = kStart + Duration(n * 1'000);
    const bool runs = n % 3 == 2;
    CHECK(check
              .Observe(runs ? std::vector<StandCheck::Job>() : jobs, free, now,
                       TimePoint())
              .empty());
  }
}

}  // namespace quetzalshelf::soak
