#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>

#include "servers/scheduling/capacity_index.h"
#include "servers/scheduling/fair_queue.h"
#include "servers/scheduling/guarantee_ledger.h"
#include "servers/scheduling/guarantee_planner.h"
#include "servers/scheduling/job_record.h"
#include "servers/scheduling/probation.h"
#include "servers/scheduling/run_time_model.h"
#include "servers/scheduling/victim_selector.h"
#include "tests/scheduling/simulation.h"

namespace quetzalshelf::scheduling {
namespace {

Resources Make(int64_t accelerators) {
  return {Accelerators(accelerators), MilliCores(8'000 * accelerators),
          Mebibytes(16'384 * accelerators)};
}

Shape MakeShape(int tasks, int accelerators, Adjacency adjacency) {
  return {tasks, Make(accelerators), adjacency};
}

// Two domains of two racks of three workers with 8 accelerators.
CapacityIndex MakeIndex() {
  CapacityIndex index;
  for (WorkerIndex n = 0; n < 12; ++n) {
    index.AddWorker(n, n / 3, n / 6);
    index.SetAvailable(n, Make(8));
  }
  return index;
}

// Guards against whole workers that are broken up while fragments are free.
TEST_CASE("CapacityIndex takes the smallest space that holds a gang") {
  CapacityIndex index = MakeIndex();
  index.SetAvailable(7, Make(2));
  const auto one = index.Find(MakeShape(2, 1, Adjacency::kRegion), {});
  REQUIRE(one);
  CHECK((*one)[0].worker == 7);
  // Rack 2 is broken now and is left alone by a gang that needs a rack.
  const auto rack = index.Find(MakeShape(3, 8, Adjacency::kRack), {});
  REQUIRE(rack);
  for (const Slot& it : *rack)
    CHECK(it.worker / 3 != 2);
  CHECK_FALSE(index.Find(MakeShape(4, 8, Adjacency::kRack), {}));
  CHECK(index.Find(MakeShape(6, 8, Adjacency::kDomain), {}));
  CHECK_FALSE(index.Find(MakeShape(7, 8, Adjacency::kDomain), {}));
  CHECK(index.Find(MakeShape(11, 8, Adjacency::kRegion), {}));
  CHECK_FALSE(index.Find(MakeShape(12, 8, Adjacency::kRegion), {}));
  CHECK_FALSE(index.Find(MakeShape(11, 8, Adjacency::kRegion), {0}));
}

// Guards against counts by accelerators alone.
TEST_CASE("CapacityIndex respects processors and memory") {
  CapacityIndex index = MakeIndex();
  Shape shape = MakeShape(1, 1, Adjacency::kWorker);
  shape.per_task.memory = Mebibytes(8 * 16'384 + 1);
  CHECK_FALSE(index.Find(shape, {}));
  shape.per_task = {Accelerators(0), MilliCores(64'000), Mebibytes(0)};
  CHECK(index.Find(shape, {}));
}

// Guards against a choice by count: one gang that was just saved is cheaper
// than two that were not.
TEST_CASE("Victims are chosen by the work that is lost") {
  const std::vector<Amount> deficits = {{0, Make(4)}};
  const std::vector<VictimCandidate> candidates = {
      {900, {{0, Make(4)}}},
      {10, {{0, Make(2)}}},
      {10, {{0, Make(2)}, {1, Make(8)}}},
      {5, {{1, Make(8)}}},
  };
  const auto choice = SelectVictims(deficits, candidates);
  REQUIRE(choice);
  CHECK(choice->victims == std::vector<size_t>{1, 2});
  CHECK(choice->lost_work == 20);
  CHECK_FALSE(SelectVictims({{2, Make(1)}}, candidates));
}

// Guards against a gang that is stopped although others suffice.
TEST_CASE("Victims that are not needed are dropped") {
  const auto choice = SelectVictims(
      {{0, Make(4)}}, {{1, {{0, Make(1)}}}, {100, {{0, Make(4)}}}});
  REQUIRE(choice);
  CHECK(choice->victims == std::vector<size_t>{1});
}

// Guards against blocks that overlap or do not move when a worker is lost.
TEST_CASE("Homes are disjoint and move to workers in service") {
  GuaranteePlanner planner;
  for (WorkerIndex n = 0; n < 9; ++n) {
    planner.AddWorker(n, n / 3, 0);
    planner.SetCapacity(n, Make(8));
  }
  Workspace owner;
  owner.id = WorkspaceId("owner");
  owner.guarantees = {{MakeShape(3, 8, Adjacency::kRack), 2}};
  planner.SetWorkspaces({owner});
  planner.Plan();
  CHECK(planner.Unheld().empty());
  const WorkerIndex lost = planner.blocks()[0].slots[0].worker;
  planner.SetCapacity(lost, {Accelerators(-1), {}, {}});
  planner.Plan();
  CHECK(planner.Unheld().empty());
  std::map<WorkerIndex, int> tasks;
  for (const auto& block : planner.blocks()) {
    for (const Slot& it : block.slots) {
      CHECK(it.worker != lost);
      CHECK(++tasks[it.worker] == 1);
    }
  }
}

// Guards against a task of two accelerators charged to two shapes of one.
TEST_CASE("A task is charged to one slot of a home") {
  GuaranteeLedger guarantee_ledger;
  const WorkspaceId owner("owner");
  const Shape one = MakeShape(1, 1, Adjacency::kWorker);
  const std::vector<GuaranteePlanner::Block> blocks = {
      {owner, 0, one, {{0, 1}}, 0}, {owner, 0, one, {{0, 1}}, 1}};
  guarantee_ledger.Rebuild(blocks);
  guarantee_ledger.Bind(blocks);
  GuaranteeLedger::View view;
  view.uncharged = [&](size_t block, size_t slice) {
    return guarantee_ledger.slice(block, slice).uncharged;
  };
  view.free = [](WorkerIndex) { return Make(8); };
  CHECK_FALSE(
      guarantee_ledger.Find(owner, MakeShape(1, 2, Adjacency::kWorker), view));
  const auto both =
      guarantee_ledger.Find(owner, MakeShape(2, 1, Adjacency::kRegion), view);
  REQUIRE(both);
  guarantee_ledger.Charge(both->uses, Make(1), 1);
  CHECK_FALSE(guarantee_ledger.Find(owner, one, view));
  CHECK(guarantee_ledger.UnchargedOf(owner) == Accelerators(0));
}

// Guards against good workers condemned by one bad job.
TEST_CASE("Probation weighs the record of the job") {
  Probation probation;
  for (WorkerIndex n = 0; n < 8; ++n)
    CHECK_FALSE(probation.RecordFailure(JobId("bad"), n));
  CHECK(probation.HealthyWorkersFailed(JobId("bad")) == 8);
  CHECK_FALSE(probation.RecordFailure(JobId("a"), 1));
  CHECK(probation.RecordFailure(JobId("b"), 1));
  probation.Begin(1, FromMillis(0));
  CHECK(probation.HealthyWorkersFailed(JobId("bad")) == 7);
  CHECK(probation.ProbeTime(1) == FromMillis(60'000));
  probation.Begin(1, FromMillis(60'000));
  CHECK(probation.ProbeTime(1) == FromMillis(180'000));
}

// Guards against trust in declared run times once real ones are known.
TEST_CASE("Run times are learned by workspace and kind") {
  RunTimeModel model;
  Job job = MakeJob("a", "w", 1, 1);
  job.kind = std::string("first");
  job.declared_run_time = Duration(10'000);
  CHECK(model.Predict(job) == Duration(10'000));
  for (int n = 0; n < 10; ++n)
    model.Record(job, Duration(100'000));
  CHECK(model.Predict(job) > Duration(80'000));
  job.kind = std::string("second");
  CHECK(model.Predict(job) == Duration(10'000));
}

// Guards against a workspace that holds back the others by its share, and
// against urgent jobs behind older ones.
TEST_CASE("FairQueue orders by urgency, rank and share") {
  FairQueue queue;
  const WorkspaceId a("a");
  const WorkspaceId b("b");
  std::vector<JobRecord> jobs(3);
  queue.Add(a, {1, 100, 1}, &jobs[0]);
  queue.Add(b, {1, 150, 2}, &jobs[1]);
  queue.Add(b, {0, 900, 3}, &jobs[2]);
  CHECK(queue.First(9) ==
        std::vector<JobRecord*>{&jobs[2], &jobs[0], &jobs[1]});
  queue.SetRankOffset(a, Duration(100));
  CHECK(queue.First(2) == std::vector<JobRecord*>{&jobs[2], &jobs[1]});
  CHECK(queue.Oldest(1) == std::vector<JobRecord*>{&jobs[0]});
  queue.Remove(a, {1, 100, 1});
  CHECK(queue.SizeOf(a) == 0);
  CHECK(queue.size() == 2);
}

}  // namespace
}  // namespace quetzalshelf::scheduling
