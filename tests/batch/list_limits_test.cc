// Tests of lists that a worker or the store cuts off at its limit.

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

constexpr char kJob[] = "00000000000000d1";
// More than a worker lists at once.
constexpr int kMany = 600;

JobSpec MakeSmallTasks(int tasks) {
  JobSpec spec = MakeJob(tasks, 0, false);
  spec.steps[0].resources = {Accelerators(0), MilliCores(50), Mebibytes(16)};
  return spec;
}

int CountRepeats(const BatchFixture& fixture) {
  int repeats = 0;
  for (int n = 0; n < kMany; ++n)
    repeats += fixture.workers.starts(Task(kJob, n)) > 1 ? 1 : 0;
  return repeats;
}

}  // namespace

// Guards against taking runs for lost, and starting their tasks again, because
// their ends come after the last one that a worker lists at once.
TEST_CASE("Tasks whose ends are left out of a list are not started again") {
  LeaderFixture fixture(1, 1);
  fixture.Submit(kJob, MakeSmallTasks(kMany));
  fixture.Run(Duration(1'000));
  REQUIRE(fixture.workers.running() == kMany);
  SUBCASE("listed to the leader that started them") {}
  SUBCASE("listed late, since the store does not record the first ends") {
    fixture.store.faults().refuse = true;
    fixture.Run(Duration(3'500));
    fixture.store.faults().refuse = false;
  }
  SUBCASE("listed to its successor") {
    fixture.Kill(0);
    fixture.Run(Duration(2'000));
    REQUIRE(fixture.workers.running() == 0);
    fixture.AddNode("n2");
  }
  CHECK(fixture.RunUntilFinal(kJob, Duration(20'000)) == JobPhase::kComplete);
  CHECK(CountRepeats(fixture) == 0);
  CHECK(fixture.workers.total_starts() == kMany);
  CHECK(fixture.workers.violations().empty());
}

// Guards against a leader that knows only the first rows of a long table.
TEST_CASE("A table of several pages is read to its end") {
  ManualTaskRunner runner;
  MemoryVersionedStore store(runner, Duration(1));
  constexpr size_t kRows = 1'100;
  for (size_t n = 0; n < kRows; ++n)
    store.Put({"jobs", "", std::to_string(n)}, "{}");
  std::set<std::string> read;
  TableFollower follower(
      store, runner, {.table = "jobs"},
      [&](const std::vector<StoreRow>& rows) {
        for (const StoreRow& it : rows)
          read.insert(it.id.key);
      },
      [](const std::vector<StoreRow>&) {}, 1);
  follower.Tick(runner.Now());
  runner.Advance(Duration(20));
  CHECK(read.size() == kRows);
}

}  // namespace quetzalshelf::batch
