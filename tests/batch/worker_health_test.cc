// Tests probation of workers that fail while they report themselves as healthy.

#include <doctest/doctest.h>

#include "servers/batch/worker_health.h"

namespace quetzalshelf::batch {

namespace {

const JobId kJobA("a");
const JobId kJobB("b");
const JobId kJobC("c");

}  // namespace

TEST_CASE(
    "A worker that fails runs at once is on probation, longer each time") {
  WorkerHealth health;
  health.RecordFailure(kJobA, FromMillis(10'000), FromMillis(10'030));
  CHECK(health.IsOnProbation(FromMillis(12'000)));
  CHECK_FALSE(health.IsOnProbation(FromMillis(12'600)));
  CHECK(health.Penalty(FromMillis(12'600)) > 0);
  health.RecordFailure(kJobB, FromMillis(12'600), FromMillis(12'630));
  CHECK(health.IsOnProbation(FromMillis(17'000)));
  CHECK_FALSE(health.IsOnProbation(FromMillis(18'000)));
}

// Guards against trusting a worker again because runs that it had started
// before it went bad end well: it failed dozens of starts meanwhile.
TEST_CASE("A run started before the failure does not end the probation") {
  WorkerHealth health;
  health.RecordFailure(kJobA, FromMillis(10'000), FromMillis(10'030));
  health.RecordSuccess(FromMillis(4'000));
  CHECK(health.IsOnProbation(FromMillis(10'100)));
  health.RecordSuccess(FromMillis(10'100));
  CHECK_FALSE(health.IsOnProbation(FromMillis(10'100)));
  CHECK(health.Penalty(FromMillis(10'100)) == 0);
}

TEST_CASE("One failure in the course of a run causes no probation") {
  WorkerHealth health;
  health.RecordFailure(kJobA, FromMillis(10'000), FromMillis(12'000));
  CHECK_FALSE(health.IsOnProbation(FromMillis(12'000)));
  CHECK(health.Penalty(FromMillis(12'000)) == 1);
  health.RecordFailure(kJobB, FromMillis(12'100), FromMillis(14'000));
  CHECK(health.IsOnProbation(FromMillis(14'000)));
}

// Guards against doubling the pause for tasks of one job that were started
// together.
TEST_CASE("Failures of one job at the same time count once") {
  WorkerHealth health;
  for (int n = 0; n < 6; ++n)
    health.RecordFailure(kJobA, FromMillis(10'000), FromMillis(10'030 + n));
  CHECK_FALSE(health.IsOnProbation(FromMillis(12'700)));
}

TEST_CASE("A refusing worker pauses briefly at first and longer in a row") {
  WorkerHealth health;
  health.RecordRefusal(FromMillis(10'000));
  CHECK(health.IsOnProbation(FromMillis(10'300)));
  CHECK_FALSE(health.IsOnProbation(FromMillis(10'500)));
  health.RecordRefusal(FromMillis(10'500));
  health.RecordRefusal(FromMillis(11'400));
  CHECK(health.IsOnProbation(FromMillis(12'500)));
}

TEST_CASE("Quick failures on several workers are a failure burst") {
  FailureBurstDetector watch;
  const TimePoint start = FromMillis(10'000);
  CHECK(watch.BurstStart(start) == TimePoint::max());
  watch.RecordQuickFailure(WorkerId("w1"), kJobA, start);
  watch.RecordQuickFailure(WorkerId("w2"), kJobA, start);
  CHECK(watch.BurstStart(start) == TimePoint::max());
  watch.RecordQuickFailure(WorkerId("w2"), kJobB, start + Duration(500));
  CHECK(watch.BurstStart(start + Duration(500)) == start);
  CHECK(watch.BurstStart(start + Duration(9'000)) == TimePoint::max());
}

// Guards against the last attempt of a gang on a worker that fails all tasks:
// its last success was during an earlier trouble, in which others hung.
TEST_CASE("Failures after a series of stalls are a burst of their own") {
  FailureBurstDetector detector;
  const TimePoint hung = FromMillis(12'000);
  detector.RecordStall(WorkerId("w1"), JobId("j1"), hung, FromMillis(14'000));
  detector.RecordStall(WorkerId("w2"), JobId("j2"), hung, FromMillis(14'100));
  CHECK(detector.BurstStart(FromMillis(14'200)) == hung);
  const TimePoint failed = FromMillis(16'000);
  detector.RecordQuickFailure(WorkerId("w3"), JobId("j3"), failed);
  CHECK(detector.BurstStart(FromMillis(16'050)) == hung);
  detector.RecordQuickFailure(WorkerId("w4"), JobId("j4"), FromMillis(16'100));
  CHECK(detector.BurstStart(FromMillis(16'200)) == failed);
  CHECK(detector.BurstStart(FromMillis(19'000)) == failed);
  CHECK(detector.BurstStart(FromMillis(21'000)) == TimePoint::max());
}

// Guards against putting one healthy worker after the other on probation for a
// job that fails wherever it starts.
TEST_CASE("A job that alone fails on several workers is at fault") {
  FailureBurstDetector watch;
  const TimePoint now = FromMillis(10'000);
  for (const char* it : {"w1", "w2", "w3"}) {
    CHECK_FALSE(watch.IsJobAtFault(kJobA));
    watch.RecordQuickFailure(WorkerId(it), kJobA, now);
  }
  CHECK(watch.IsJobAtFault(kJobA));
  watch.RecordQuickFailure(WorkerId("w1"), kJobB, now);
  watch.RecordQuickFailure(WorkerId("w2"), kJobC, now);
  CHECK_FALSE(watch.IsJobAtFault(kJobA));
}

}  // namespace quetzalshelf::batch
