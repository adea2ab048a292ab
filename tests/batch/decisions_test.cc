// Placement, reclaim and headroom without a network.

#include <doctest/doctest.h>

#include <algorithm>

#include "core/random.h"
#include "servers/batch/placement.h"
#include "servers/batch/victims.h"
#include "servers/batch/worker_registry.h"
#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

// Owns workers and the candidates that point to them.
struct Cluster {
  Cluster(int racks, int workers_a_rack) {
    for (int rack = 0; rack < racks; ++rack) {
      for (int n = 0; n < workers_a_rack; ++n) {
        workers.push_back(
            MakeWorker("w" + std::to_string(rack) + "-" + std::to_string(n),
                       "r1-" + std::to_string(rack)));
      }
    }
    for (const WorkerEntry& it : workers)
      candidates.push_back({&it, it.capacity});
  }

  void Take(size_t n, const Demand& demand) {
    candidates[n].free -= demand.each;
  }

  std::vector<WorkerEntry> workers;
  std::vector<Candidate> candidates;
};

Demand GangDemand(int tasks, int accelerators, bool rack_local) {
  StepSpec step;
  step.tasks = tasks;
  step.resources = {Accelerators(accelerators), MilliCores(7'500),
                    Mebibytes(11'000)};
  step.gang = true;
  step.rack_local = rack_local;
  return MakeDemand(step, tasks);
}

std::set<RackId> RacksOf(const Cluster& cluster, const Placement& placement) {
  std::set<RackId> racks;
  for (const size_t n : placement)
    racks.insert(cluster.workers[n].rack);
  return racks;
}

}  // namespace

TEST_CASE("A rack-local gang is whole within one rack or not placed") {
  Cluster cluster(2, 2);
  const Demand fits = GangDemand(2, 8, true);
  const auto placement = PlaceGang(cluster.candidates, fits, false);
  REQUIRE(placement);
  CHECK(RacksOf(cluster, *placement).size() == 1);
  CHECK_FALSE(PlaceGang(cluster.candidates, GangDemand(3, 8, true), false));
  CHECK(PlaceGang(cluster.candidates, GangDemand(3, 8, true), true));
  CHECK_FALSE(FitsSomeRack(cluster.candidates, GangDemand(3, 8, true)));
}

// Guards against a preference that bans the only workers that a task may use.
TEST_CASE("Workers are avoided only where others could hold the tasks") {
  Cluster cluster(3, 2);
  Demand demand = GangDemand(1, 8, false);
  const auto avoids = [&](const std::set<WorkerId>& workers) {
    Demand preferred = demand;
    Avoid(cluster.candidates, workers, preferred);
    return !preferred.avoid.empty();
  };
  const WorkerId first = cluster.workers[0].id;
  const WorkerId second = cluster.workers[1].id;
  CHECK(avoids({first, second}));
  SUBCASE("a label that only they have") {
    demand.required_label = "r1-0";
    CHECK(avoids({first}));
    CHECK_FALSE(avoids({first, second}));
  }
  SUBCASE("a size that only they have") {
    demand.each.accelerators = Accelerators(16);
    cluster.workers[0].capacity.accelerators = Accelerators(16);
    CHECK_FALSE(avoids({first}));
    cluster.workers[2].capacity.accelerators = Accelerators(16);
    CHECK(avoids({first}));
  }
  SUBCASE("a gang that needs all of them") {
    demand.tasks = 5;
    CHECK(avoids({first}));
    CHECK_FALSE(avoids({first, second}));
  }
  SUBCASE("a limit that others have reached") {
    demand.max_per_worker = 1;
    for (size_t n = 1; n < cluster.workers.size(); ++n)
      demand.present.push_back(cluster.workers[n].id);
    CHECK_FALSE(avoids({first}));
  }
  SUBCASE("racks") {
    demand.required_label = "r1-0";
    AvoidRacks(cluster.candidates, {RackId("r1-1")}, demand);
    CHECK(demand.avoid_racks.contains(RackId("r1-1")));
    AvoidRacks(cluster.candidates, {RackId("r1-0")}, demand);
    CHECK_FALSE(demand.avoid_racks.contains(RackId("r1-0")));
  }
}

// Guards against small tasks that spread and leave no whole worker free.
TEST_CASE("Small tasks fill workers that are in use") {
  Cluster cluster(2, 2);
  const Demand small = GangDemand(1, 1, false);
  for (int n = 0; n < 8; ++n) {
    const Placement placement = PlaceTasks(cluster.candidates, small);
    REQUIRE(placement.size() == 1);
    cluster.Take(placement[0], small);
  }
  const auto whole = std::ranges::count_if(
      cluster.candidates,
      [](const Candidate& it) { return it.free == it.worker->capacity; });
  CHECK(whole == 3);
}

TEST_CASE("Labels, data and limits decide where tasks go") {
  Cluster cluster(2, 2);
  Demand demand = GangDemand(4, 1, false);
  SUBCASE("label") {
    demand.required_label = "r1-1";
    for (const size_t n : PlaceTasks(cluster.candidates, demand))
      CHECK(cluster.workers[n].rack == RackId("r1-1"));
  }
  SUBCASE("unknown label") {
    demand.required_label = "b";
    CHECK(PlaceTasks(cluster.candidates, demand).empty());
  }
  SUBCASE("data") {
    demand.data_rack = RackId("r1-1");
    for (const size_t n : PlaceTasks(cluster.candidates, demand))
      CHECK(cluster.workers[n].rack == RackId("r1-1"));
  }
  SUBCASE("limit of a worker") {
    demand.max_per_worker = 1;
    demand.present = {cluster.workers[0].id};
    CHECK(PlaceTasks(cluster.candidates, demand).size() == 3);
  }
  SUBCASE("avoided workers") {
    for (int n = 0; n < 3; ++n)
      demand.avoid.insert(cluster.workers[static_cast<size_t>(n)].id);
    for (const size_t n : PlaceTasks(cluster.candidates, demand))
      CHECK(n == 3);
  }
}

TEST_CASE("A reclaim stops the cheapest runs and no more than needed") {
  Cluster cluster(2, 1);
  for (Candidate& it : cluster.candidates)
    it.free = Resources();
  const Resources each{Accelerators(8), MilliCores(60'000), Mebibytes(100'000)};
  std::vector<VictimGroup> groups = {{100, 100, {{0, each}}},
                                     {10, 10, {{1, each}}}};
  const auto plan =
      PlanReclaim(cluster.candidates, groups, GangDemand(1, 8, true), false);
  REQUIRE(plan);
  CHECK(plan->victims == std::vector<size_t>{1});
  CHECK(plan->placement == Placement{1});
  CHECK(plan->lost_work == 10);
}

TEST_CASE("Stopping one member of a gang frees the room of all") {
  Cluster cluster(1, 2);
  for (Candidate& it : cluster.candidates)
    it.free = Resources();
  const Resources each{Accelerators(8), MilliCores(60'000), Mebibytes(100'000)};
  const std::vector<VictimGroup> groups = {{50, 50, {{0, each}, {1, each}}}};
  const auto plan =
      PlanReclaim(cluster.candidates, groups, GangDemand(2, 8, true), false);
  REQUIRE(plan);
  CHECK(plan->victims.size() == 1);
  CHECK(plan->cost == 50);
}

TEST_CASE("Groups that may not be stopped are left alone") {
  Cluster cluster(1, 1);
  cluster.candidates[0].free = Resources();
  const std::vector<VictimGroup> groups = {{1, 1, {}}};
  CHECK_FALSE(
      PlanReclaim(cluster.candidates, groups, GangDemand(1, 8, true), false));
}

TEST_CASE("A reclaim for independent tasks makes room for as many as it can") {
  Cluster cluster(2, 1);
  for (Candidate& it : cluster.candidates)
    it.free = Resources();
  const Resources each{Accelerators(8), MilliCores(60'000), Mebibytes(100'000)};
  std::vector<VictimGroup> groups = {{10, 10, {{0, each}}},
                                     {20, 20, {{1, each}}}};
  Demand demand = GangDemand(2, 8, false);
  demand.all_or_none = false;
  SUBCASE("all, on any rack") {
    const auto plan = PlanReclaim(cluster.candidates, groups, demand, false);
    REQUIRE(plan);
    CHECK(plan->placement == Placement{0, 1});
    CHECK(plan->lost_work == 30);
  }
  SUBCASE("one, when the other may not be stopped") {
    groups[0].members.clear();
    const auto plan = PlanReclaim(cluster.candidates, groups, demand, false);
    REQUIRE(plan);
    CHECK(plan->placement == Placement{1});
    CHECK(plan->victims == std::vector<size_t>{1});
  }
  SUBCASE("none, when nothing may be stopped") {
    for (VictimGroup& it : groups)
      it.members.clear();
    CHECK_FALSE(PlanReclaim(cluster.candidates, groups, demand, false));
  }
  SUBCASE("no more on a worker than the step allows") {
    for (VictimGroup& it : groups)
      it.members = {{0, each}};
    demand.max_per_worker = 1;
    demand.each.accelerators = Accelerators(4);
    const auto plan = PlanReclaim(cluster.candidates, groups, demand, false);
    REQUIRE(plan);
    CHECK(plan->placement == Placement{0});
  }
}

// Guards against throwing a large gang's work away for a small urgent job.
TEST_CASE("A reclaim must be worth the work that is lost") {
  ReclaimPlan plan;
  plan.lost_work = 5'000;
  const Duration patience(1'500);
  CHECK_FALSE(IsReclaimWorthwhile(plan, {.job_size = 100}));
  CHECK_FALSE(IsReclaimWorthwhile(plan, {.job_size = 100, .guaranteed = true}));
  CHECK(IsReclaimWorthwhile(plan, {.job_size = 5'000}));
  // A guarantee holds in any case, in time.
  CHECK(IsReclaimWorthwhile(
      plan, {.job_size = 100, .guaranteed = true, .waited = patience}));
  CHECK(IsReclaimWorthwhile(
      plan,
      {.job_size = 100, .guaranteed = true, .late = true, .waited = patience}));
}

// Load: an overload in which urgent jobs are late. Each of them would make
// others late as well, whose work is stopped and has to be done again.
TEST_CASE("A job that is late anyway stops little work of others") {
  ReclaimPlan plan;
  plan.lost_work = 5'000;
  CHECK(IsReclaimWorthwhile(plan, {.job_size = 4'000}));
  CHECK_FALSE(IsReclaimWorthwhile(plan, {.job_size = 4'000, .late = true}));
  plan.lost_work = 500;
  CHECK(IsReclaimWorthwhile(plan, {.job_size = 4'000, .late = true}));
}

TEST_CASE("Each preemption in a row doubles the wait, up to a limit") {
  Duration last(0);
  for (int n = 1; n <= 10; ++n) {
    const Duration delay = RestartDelay(n);
    CHECK(delay >= last);
    CHECK(delay <= Duration(6'000));
    last = delay;
  }
  CHECK(RestartDelay(2) == 2 * RestartDelay(1));
}

// Load: single-accelerator tasks arrive faster than they end while gangs of
// whole workers come in now and then. Counts how many gangs find a rack at
// once with and without the headroom for them.
TEST_CASE("Headroom lets urgent gangs start at once on a busy day") {
  const auto started_at_once = [](double share) {
    Cluster cluster(4, 4);
    Random random(7);
    std::vector<std::pair<int, size_t>> running;  // End and candidate.
    const Demand small = GangDemand(1, 1, false);
    int started = 0;
    for (int step = 0; step < 400; ++step) {
      std::erase_if(running, [&](const auto& it) {
        if (it.first > step)
          return false;
        cluster.candidates[it.second].free += small.each;
        return true;
      });
      for (int n = 0; n < 6; ++n) {
        Demand demand = small;
        demand.avoid_racks = ChooseHeadroom(cluster.candidates, share);
        for (const size_t at : PlaceTasks(cluster.candidates, demand)) {
          cluster.Take(at, small);
          running.emplace_back(step + static_cast<int>(random.Between(15, 30)),
                               at);
        }
      }
      // An urgent gang runs for a moment only and gives its room back.
      if (step % 10 == 0 &&
          PlaceGang(cluster.candidates, GangDemand(3, 8, true), false))
        ++started;
    }
    return started;
  };
  CHECK(started_at_once(0.25) >= 38);
  CHECK(started_at_once(0.25) > started_at_once(0) + 20);
}

// Guards against a site of one rack on which nothing but urgent work starts.
TEST_CASE("Headroom takes at most half of the racks") {
  CHECK(ChooseHeadroom(Cluster(1, 4).candidates, 0.9).empty());
  CHECK(ChooseHeadroom(Cluster(2, 4).candidates, 0.9).size() == 1);
  CHECK(ChooseHeadroom(Cluster(8, 1).candidates, 0.25).size() == 2);
  CHECK(ChooseHeadroom(Cluster(8, 1).candidates, 0).empty());
}

TEST_CASE("Leases are bounded on the slowest clock") {
  Worker worker;
  worker.ObserveClock(10'000, FromMillis(1'000));
  CHECK(worker.EstimateClock(FromMillis(2'000)) == 10'980);
  const int64_t until =
      worker.GrantLease(FromMillis(2'000), Duration(5'000), "sync")
          .end_clock_ms;
  CHECK(until == 15'980);
  // A clock at 0.98 of the true speed that showed 10,980 now shows the end.
  const double passes = 2'000 + static_cast<double>(until - 10'980) / 0.98;
  CHECK(static_cast<double>(ToMillis(worker.LeasesEnd())) >= passes);
}

// Guards against noting the ends of a former life in a new one.
TEST_CASE("A clock that falls back starts a new life") {
  Worker worker;
  worker.ObserveClock(100'000, FromMillis(1'000));
  worker.recorded_ends = worker.applied_ends = 7;
  worker.ObserveClock(500, FromMillis(2'000));
  CHECK(worker.recorded_ends == 0);
  CHECK(worker.applied_ends == 0);
  CHECK(worker.EstimateClock(FromMillis(2'000)) == 500);
}

// Guards against slow workers in urgent gangs: one of them delays all members.
TEST_CASE("An urgent gang takes the rack where it needs no slow worker") {
  Cluster cluster(2, 2);
  cluster.candidates[0].slowness = 1.3;
  // The first rack is fuller and would be taken otherwise.
  Demand taken = GangDemand(1, 4, false);
  cluster.Take(0, taken);
  cluster.Take(1, taken);
  Demand demand = GangDemand(2, 4, true);
  auto placement = PlaceGang(cluster.candidates, demand, false);
  REQUIRE(placement);
  CHECK(RacksOf(cluster, *placement) == std::set<RackId>{RackId("r1-0")});
  demand.urgent = true;
  placement = PlaceGang(cluster.candidates, demand, false);
  REQUIRE(placement);
  CHECK(RacksOf(cluster, *placement) == std::set<RackId>{RackId("r1-1")});
}

}  // namespace quetzalshelf::batch
