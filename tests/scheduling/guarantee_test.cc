#include <doctest/doctest.h>

#include <string>

#include "servers/scheduling/shape_scheduler.h"
#include "tests/scheduling/simulation.h"

namespace quetzalshelf::scheduling {
namespace {

using State = SimulatedJob::State;

constexpr Duration kHour{3'600'000};
constexpr Duration kDeadline{32'000};

struct Fixture {
  ShapeScheduler scheduler;
  Simulation cluster{scheduler};

  ~Fixture() {
    for (const std::string& it : cluster.violations())
      FAIL_CHECK(it);
  }
  void SetWorkspaces(const std::vector<Workspace>& workspaces) {
    cluster.Execute(scheduler.SetWorkspaces(workspaces, cluster.now()));
  }
  void Submit(const Job& job) { cluster.Submit(job, kHour); }
};

// Guards against two half-used homes in one rack that hold nothing more,
// though the gangs there could as well fill one home and leave the other one
// free (policy_bench, solano seed 2, job-17).
TEST_CASE_FIXTURE(Fixture, "Homes in one rack exchange slots") {
  SetWorkspaces({MakeWorkspace(
      "owner", {{MakeJob("", "", 3, 8, Adjacency::kRack).gang, 2}})});
  cluster.AddWorkers(1, 1, 6);
  Submit(MakeJob("a", "owner", 2, 8, Adjacency::kRack));
  Submit(MakeJob("b", "owner", 2, 8, Adjacency::kRack));
  cluster.Run(Duration(2'000));
  Submit(MakeJob("c", "owner", 2, 8, Adjacency::kRack));
  cluster.Run(kDeadline);
  CHECK(cluster.job("a").guaranteed);
  CHECK(cluster.job("b").guaranteed);
  CHECK(cluster.job("c").state == State::kRunning);
  CHECK(cluster.job("c").guaranteed);
}

// Guards against a gang that is larger than every guaranteed shape and uses up
// several of them because their homes are neighbours by chance.
TEST_CASE_FIXTURE(Fixture, "Neighbouring homes are not one larger home") {
  SetWorkspaces({MakeWorkspace(
      "owner", {{MakeJob("", "", 3, 8, Adjacency::kRack).gang, 2}})});
  cluster.AddWorkers(1, 1, 6);
  Submit(MakeJob("a", "owner", 6, 8, Adjacency::kRack));
  cluster.Run(Duration(2'000));
  CHECK(cluster.job("a").state == State::kRunning);
  CHECK_FALSE(cluster.job("a").guaranteed);
}

// Guards against a guarantee that is given up because a hold in the place of
// borrowers asks for the same workers (policy_bench, viveiro seed 2,
// job-11443).
TEST_CASE_FIXTURE(Fixture, "A guarantee goes before the hold of urgent work") {
  SetWorkspaces(
      {MakeWorkspace("owner",
                     {{MakeJob("", "", 2, 8, Adjacency::kRack).gang, 1}}),
       MakeWorkspace("guest"), MakeWorkspace("desk")});
  cluster.AddWorkers(1, 1, 2);
  // The guest's workers are still busy when the owner's gang comes.
  cluster.stop_time = Duration(5'000);
  Submit(MakeJob("guest", "guest", 2, 8));
  cluster.Run(Duration(5'000));
  Submit(MakeJob("urgent", "desk", 2, 4, Adjacency::kRack, Urgency::kUrgent));
  cluster.Run(Duration(2'000));
  REQUIRE(cluster.job("urgent").state == State::kWaiting);
  Submit(MakeJob("a", "owner", 2, 8, Adjacency::kRack));
  cluster.Run(Duration(8'000));
  CHECK(cluster.job("a").state == State::kRunning);
  CHECK(cluster.job("a").guaranteed);
  CHECK(cluster.job("urgent").starts == 0);
}

// Guards against a gang that is told to be no longer guaranteed, because its
// home has moved, and that uses up the guarantee all the same (policy_bench,
// solano seed 16, job-8249).
TEST_CASE_FIXTURE(Fixture, "A home that moves is free in its new place") {
  SetWorkspaces(
      {MakeWorkspace("owner",
                     {{MakeJob("", "", 3, 8, Adjacency::kRack).gang, 1}}),
       MakeWorkspace("guest")});
  cluster.AddWorkers(1, 2, 3);
  Submit(MakeJob("small", "owner", 1, 8, Adjacency::kRack));
  cluster.Run(Duration(2'000));
  REQUIRE(cluster.job("small").guaranteed);
  const std::string place = cluster.job("small").placement[0].value();
  const std::string rack = place.substr(0, place.size() - 1);
  cluster.LoseWorker(WorkerId(rack + (place == rack + "0" ? "1" : "0")));
  for (const char* id : {"g0", "g1", "g2", "g3"})
    Submit(MakeJob(id, "guest", 1, 8));
  cluster.Run(Duration(2'000));
  CHECK(scheduler.UnsatisfiedGuarantees().empty());
  CHECK_FALSE(scheduler.Explain(JobId("small"), cluster.now()).guaranteed);
  Submit(MakeJob("a", "owner", 3, 8, Adjacency::kRack));
  cluster.Run(kDeadline);
  CHECK(cluster.job("a").state == State::kRunning);
  CHECK(cluster.job("a").guaranteed);
  CHECK(cluster.job("small").starts == 1);
}

}  // namespace
}  // namespace quetzalshelf::scheduling
