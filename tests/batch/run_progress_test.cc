// Rate, remaining time and stall detection of runs, from reported progress.

#include <doctest/doctest.h>

#include "servers/batch/run_progress.h"

namespace quetzalshelf::batch {

namespace {

constexpr TimePoint kStart = FromMillis(10'000);

}  // namespace

TEST_CASE("The rate of a run counts from its start") {
  RunProgress progress;
  progress.Begin(kStart);
  progress.Observe(5, kStart + Duration(250));
  CHECK_FALSE(progress.Rate(kStart));
  progress.Observe(40, kStart + Duration(2'000));
  CHECK(progress.Rate(kStart) == doctest::Approx(20));
  CHECK(progress.TimeLeft(kStart, kStart + Duration(2'000)) == Duration(3'000));
  CHECK(progress.TimeLeft(kStart, kStart + Duration(4'000)) == Duration(1'000));
  CHECK(progress.TimeLeft(kStart, kStart + Duration(9'000)) == Duration(0));
}

TEST_CASE("A member of a gang works from the last start of its gang on") {
  RunProgress progress;
  progress.Begin(kStart);
  progress.Observe(40, kStart + Duration(2'500));
  CHECK(progress.Rate(kStart + Duration(500)) == doctest::Approx(20));
}

// Guards against counting progress made before a change of leader as work done
// since then, which made all workers but one look many times too slow.
TEST_CASE("The rate of a resumed run counts from its first observation") {
  RunProgress progress;
  progress.Resume(kStart);
  progress.Observe(80, kStart + Duration(100));
  CHECK_FALSE(progress.Rate(kStart));
  progress.Observe(90, kStart + Duration(600));
  CHECK(progress.Rate(kStart) == doctest::Approx(20));
}

TEST_CASE("A run that has shown its speed is stalled after a second") {
  RunProgress progress;
  progress.Begin(kStart);
  progress.Observe(40, kStart + Duration(2'000));
  progress.Observe(40, kStart + Duration(2'900));
  CHECK_FALSE(progress.IsStalled(kStart, std::nullopt));
  progress.Observe(40, kStart + Duration(3'100));
  CHECK(progress.IsStalled(kStart, std::nullopt));
}

// Guards against starting a long job again and again: a percent of it takes
// seconds.
TEST_CASE("A slow run is not taken for a stalled one") {
  RunProgress progress;
  progress.Begin(kStart);
  progress.Observe(12, kStart + Duration(12'000));
  progress.Observe(12, kStart + Duration(17'000));
  CHECK_FALSE(progress.IsStalled(kStart, std::nullopt));
  progress.Observe(12, kStart + Duration(19'000));
  CHECK(progress.IsStalled(kStart, std::nullopt));
}

TEST_CASE("A run without progress is judged by the others of its step") {
  RunProgress progress;
  progress.Begin(kStart);
  progress.Observe(0, kStart + Duration(1'200));
  CHECK_FALSE(progress.IsStalled(kStart, std::nullopt));
  CHECK(progress.IsStalled(kStart, 40));
  progress.Observe(0, kStart + Duration(3'100));
  CHECK(progress.IsStalled(kStart, std::nullopt));
}

TEST_CASE("A member that waits for its gang is not stalled") {
  RunProgress progress;
  progress.Begin(kStart);
  progress.Observe(50, kStart + Duration(1'000));
  progress.Observe(100, kStart + Duration(2'000));
  progress.Observe(100, kStart + Duration(9'000));
  CHECK_FALSE(progress.IsStalled(kStart, 50));
}

// Guards against an urgent task that waits for a second poll of its worker: it
// is late by then.
TEST_CASE("A fast run is stalled once it has missed a fifth of its work") {
  RunProgress progress;
  progress.Begin(kStart);
  progress.Observe(0, kStart + Duration(750));
  CHECK(progress.IsStalled(kStart, 40));
  CHECK_FALSE(progress.IsStalled(kStart, 20));
  progress.Observe(30, kStart + Duration(800));
  progress.Observe(30, kStart + Duration(1'450));
  CHECK(progress.IsStalled(kStart, std::nullopt));
}

// Guards against taking a worker that does not answer for one that hangs.
TEST_CASE("A run that was not observed is not stalled") {
  RunProgress progress;
  progress.Begin(kStart);
  CHECK_FALSE(progress.IsStalled(kStart, 100));
}

// Guards against stopping a run while it loads its checkpoint.
TEST_CASE("A resumed run may restore its checkpoint first") {
  RunProgress progress;
  progress.Resume(kStart);
  progress.Observe(40, kStart + Duration(10));
  progress.Observe(40, kStart + Duration(800));
  CHECK_FALSE(progress.IsStalled(kStart, 40));
}

}  // namespace quetzalshelf::batch
