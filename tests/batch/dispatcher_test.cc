// The leader's work under the failures that were found on the users' bench.

#include <doctest/doctest.h>

#include <cstdio>

#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

constexpr char kJob[] = "00000000000000a1";
constexpr char kOtherJob[] = "00000000000000a2";
constexpr Duration kLong{30'000};

TaskId Task(const std::string& job, int index) {
  return {JobId(job), 0, 0, index};
}

// A world with one leader that has greeted all workers.
struct LedWorld : BatchFixture {
  explicit LedWorld(int racks = 2, int workers_a_rack = 2)
      : BatchFixture(racks, workers_a_rack) {
    AddNode("n1");
    Run(Duration(1'500));
  }
};

}  // namespace

TEST_CASE("A gang starts at once and is shown complete") {
  LedWorld world;
  REQUIRE(world.Submit(kJob, MakeJob(2, 8, true)).outcome ==
          CallOutcome::kAccepted);
  world.Run(Duration(150));
  CHECK(world.workers.running() == 2);
  CHECK(world.State(kJob).phase == JobPhase::kRunning);
  CHECK(world.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  CHECK(world.workers.total_starts() == 2);
  CHECK(world.workers.violations().empty());
}

// Guards against taking a run for lapsed before its first order was sent,
// because the lease of an earlier run on the same worker had ended.
TEST_CASE("A job starts once on workers that were idle for long") {
  LedWorld world;
  world.Submit(kJob, MakeJob(4, 8, true));
  REQUIRE(world.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  world.Run(kLong);
  world.Submit(kOtherJob, MakeJob(4, 8, true));
  REQUIRE(world.RunUntilFinal(kOtherJob, kLong) == JobPhase::kComplete);
  CHECK(world.workers.total_starts() == 8);
}

// Guards against a new leader that syncs workers before it knows the jobs, and
// so takes their runs for strays and their ends for those of no job.
TEST_CASE("Runs and ends outlive a change of the leader") {
  LedWorld world;
  world.AddNode("n2");
  world.Run(Duration(100));
  world.Submit(kJob, MakeJob(2, 8, true));
  world.Run(Duration(200));
  REQUIRE(world.workers.running() == 2);

  SUBCASE("while it runs") {
    world.run_time = Duration(8'000);
    world.Submit(kOtherJob, MakeJob(2, 8, true));
    world.Run(Duration(300));
  }
  SUBCASE("with an end that nobody noted") {
    world.Run(Duration(2'200));
  }
  // The workers answer before the store has told the jobs.
  world.store.set_answer_time(Duration(40));
  world.Kill(static_cast<size_t>(world.Leader()));
  CHECK(world.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  world.Run(Duration(9'000));
  CHECK(world.workers.starts(Task(kJob, 0)) == 1);
  CHECK(world.workers.starts(Task(kJob, 1)) == 1);
  CHECK(world.workers.violations().empty());
}

// Guards against stopping and starting a whole gang again because the leader
// died while it was sending the orders.
TEST_CASE("A new leader finishes the start of a gang") {
  LedWorld world;
  world.AddNode("n2");
  world.Run(Duration(1'000));
  for (size_t n = 1; n < world.listed.size(); ++n)
    world.workers.faults(world.listed[n].id).silent = true;
  world.Submit(kJob, MakeJob(4, 8, true), "/holds/");
  for (int n = 0; n < 50 && world.workers.running() == 0; ++n)
    world.Run(Duration(10));
  REQUIRE(world.workers.running() == 1);
  world.Kill(static_cast<size_t>(world.Leader()));
  for (const WorkerEntry& it : world.listed)
    world.workers.faults(it.id).silent = false;
  world.Run(Duration(1'500));
  CHECK(world.workers.running() == 4);
  CHECK(world.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  for (int n = 0; n < 4; ++n)
    CHECK(world.workers.starts(Task(kJob, n)) == 1);
  CHECK(world.workers.violations().empty());
}

// Urgent jobs may wait about 1.5 s; all that come in meanwhile wait for the new
// leader.
TEST_CASE("A new leader starts jobs within 1.5 seconds of a kill") {
  LedWorld world;
  world.AddNode("n2");
  world.Run(Duration(1'000));
  world.Kill(0);
  world.Submit(kJob, MakeJob(2, 8, true));
  world.Run(Duration(1'500));
  CHECK(world.Leader() == 1);
  CHECK(world.workers.running() == 2);
}

// Guards against running a job again whose state alone tells that it is over.
TEST_CASE("A new leader leaves finished jobs alone") {
  LedWorld world;
  world.Submit(kJob, MakeJob(2, 8, true));
  REQUIRE(world.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  // Long enough for the leader to retire it from its own memory.
  world.Run(Duration(6'000));
  world.Submit(kJob, MakeJob(2, 8, true));
  world.AddNode("n2");
  world.Run(Duration(500));
  world.Kill(0);
  world.Run(Duration(4'000));
  REQUIRE(world.Leader() == 1);
  CHECK(world.workers.total_starts() == 2);
  CHECK(world.State(kJob).phase == JobPhase::kComplete);
  CHECK(world.Cancel(kJob).outcome == CallOutcome::kAccepted);
  world.Run(Duration(500));
  CHECK(world.State(kJob).phase == JobPhase::kComplete);
}

TEST_CASE("A leader that gives up is followed at once") {
  LedWorld world;
  world.AddNode("n2");
  world.Run(Duration(1'000));
  world.nodes[0].dispatcher->Retire();
  world.nodes[0].lease->Release(world.runner.Now());
  world.Run(Duration(300));
  CHECK(world.nodes[1].lease->is_leader());
}

// Guards against granting further leases to a worker that does not answer:
// each might be carried out late, so its runs were never taken for lapsed.
TEST_CASE("Tasks of a silent worker are started elsewhere") {
  LedWorld world;
  world.run_time = Duration(8'000);
  world.Submit(kJob, MakeJob(1, 8, false));
  world.Run(Duration(300));
  REQUIRE(world.workers.running() == 1);
  const WorkerId holder = world.workers.HolderOf(Task(kJob, 0));
  world.workers.faults(holder).silent = true;
  world.Run(Duration(7'500));
  CHECK(world.workers.IsRunning(Task(kJob, 0)));
  CHECK(world.workers.HolderOf(Task(kJob, 0)) != holder);
  CHECK(world.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  CHECK(world.workers.violations().empty());
}

// Guards against runs that a new leader takes from the store and never gives
// up, since their worker is not listed and cannot be asked.
TEST_CASE("Recovered runs on workers that are gone are started again") {
  LedWorld world;
  world.run_time = Duration(4'000);
  world.Submit(kJob, MakeJob(4, 8, true), "/holds/");
  world.Run(Duration(300));
  REQUIRE(world.workers.running() == 4);
  world.Kill(0);
  const std::vector<WorkerEntry> all = world.listed;
  for (const WorkerEntry& it : all)
    world.workers.faults(it.id).silent = true;
  world.listed.clear();
  for (int n = 0; n < 4; ++n) {
    world.listed.push_back(MakeWorker("x" + std::to_string(n), "r1-7"));
    world.workers.Add(world.listed.back());
  }
  world.AddNode("n2");
  CHECK(world.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  for (int n = 0; n < 4; ++n)
    CHECK(world.workers.starts(Task(kJob, n)) == 2);
  CHECK(world.workers.violations().empty());
}

TEST_CASE("A start without an answer is carried out once") {
  LedWorld world;
  for (const WorkerEntry& it : world.listed)
    world.workers.faults(it.id).late_orders = 1;
  world.Submit(kJob, MakeJob(3, 8, true));
  CHECK(world.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  world.Run(Duration(8'000));
  for (int n = 0; n < 3; ++n)
    CHECK(world.workers.starts(Task(kJob, n)) == 1);
  CHECK(world.workers.violations().empty());
}

// Guards against a task that runs twice because a late order reaches the next
// life of the worker that it was sent to.
TEST_CASE(
    "An order that arrives after a restart of its worker starts nothing") {
  LedWorld world(1, 2);
  world.run_time = Duration(4'000);
  ModelWorkerFaults& faults = world.workers.faults(world.listed[0].id);
  faults.late_orders = 1;
  faults.lateness = Duration(1'500);
  faults.orders_outlive_restart = true;
  world.Submit(kJob, MakeJob(2, 8, false), "/holds/");
  world.Run(Duration(700));
  REQUIRE(world.workers.running() == 2);
  world.workers.Restart(world.listed[0].id, 2);
  world.listed[0].incarnation_start_wall_ms = 2;
  CHECK(world.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  world.Run(Duration(2'000));
  CHECK(world.workers.violations().empty());
}

TEST_CASE("A cancelled job is stopped and shown so") {
  LedWorld world;
  world.run_time = Duration(20'000);
  world.Submit(kJob, MakeJob(2, 8, true));
  world.Run(Duration(300));
  REQUIRE(world.workers.running() == 2);
  CHECK(world.Cancel(kJob).outcome == CallOutcome::kAccepted);
  world.Run(Duration(800));
  CHECK(world.workers.running() == 0);
  CHECK(world.State(kJob).phase == JobPhase::kCancelled);
  world.Run(Duration(3'000));
  CHECK(world.workers.total_starts() == 2);
}

TEST_CASE("Lost answers of the store neither lose nor repeat a job") {
  LedWorld world;
  SUBCASE("written, not answered") {
    world.store.faults().lose_commit_answers = 6;
  }
  SUBCASE("written seconds late") {
    world.store.faults().late_commits = 6;
  }
  CallAnswer answer = world.Submit(kJob, MakeJob(2, 8, true));
  while (answer.outcome == CallOutcome::kOutcomeUnknown)
    answer = world.Submit(kJob, MakeJob(2, 8, true));
  REQUIRE(answer.outcome == CallOutcome::kAccepted);
  CHECK(world.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  world.Run(Duration(6'000));
  CHECK(world.workers.total_starts() == 2);
  CHECK(world.workers.violations().empty());
}

TEST_CASE("Leases last while the store is away, and nothing new starts") {
  LedWorld world;
  world.run_time = Duration(9'000);
  world.Submit(kJob, MakeJob(2, 8, true));
  world.Run(Duration(300));
  world.store.faults().refuse = true;
  world.Run(Duration(7'000));
  CHECK(world.workers.running() == 2);
  CHECK(world.workers.total_starts() == 2);
  world.store.faults().refuse = false;
  CHECK(world.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  CHECK(world.workers.total_starts() == 2);
}

// Guards against waiting for a feed that hears nothing, as one does before the
// store drops its history.
TEST_CASE("A job is taken up soon although the feeds are silent") {
  LedWorld world;
  world.store.faults().silence_feeds = true;
  world.Run(Duration(1'000));
  REQUIRE(world.Submit(kJob, MakeJob(1, 1, false)).outcome ==
          CallOutcome::kAccepted);
  world.Run(Duration(600));
  CHECK(world.workers.running() == 1);
}

TEST_CASE("A failing worker does not fail the jobs that follow") {
  LedWorld world(2, 3);
  world.workers.faults(world.listed[0].id).fails_tasks = true;
  for (int n = 0; n < 12; ++n) {
    const std::string id =
        "00000000000000b" + std::string(1, "0123456789ab"[n]);
    REQUIRE(world.Submit(id, MakeJob(2, 8, true)).outcome ==
            CallOutcome::kAccepted);
    CHECK(world.RunUntilFinal(id, kLong) == JobPhase::kComplete);
  }
  // Two jobs of two tasks each would start without trouble 24 times.
  CHECK(world.workers.total_starts() <= 24 + 6);
}

// Guards against stopping the members of a gang that have started because one
// worker refused its member.
TEST_CASE("A refused member of a gang starts on another worker") {
  LedWorld world(1, 4);
  world.workers.faults(world.listed[0].id).refuses = true;
  world.Submit(kJob, MakeJob(3, 8, true), "/holds/");
  world.Run(Duration(150));
  CHECK(world.workers.running() == 3);
  CHECK(world.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  for (int n = 0; n < 3; ++n)
    CHECK(world.workers.starts(Task(kJob, n)) == 1);
  CHECK(world.workers.violations().empty());
}

// Guards against waiting for tasks that stand still on a worker whose health
// looks good.
TEST_CASE("Tasks that stand still are started on another worker") {
  LedWorld world(2, 3);
  world.workers.faults(world.listed[0].id).stands_still = true;
  for (int n = 0; n < 4; ++n) {
    const std::string id = "00000000000000c" + std::to_string(n);
    world.Submit(id, MakeJob(6, 8, false), "/holds/");
    CHECK(world.RunUntilFinal(id, Duration(12'000)) == JobPhase::kComplete);
  }
  // The worker is tried again after a while, at most once a job.
  CHECK(world.workers.total_starts() <= 4 * (6 + 1));
  CHECK(world.workers.violations().empty());
}

TEST_CASE("No task starts in a failure domain that was taken out") {
  LedWorld world;
  world.site.SetEvacuated(DomainId("cartago"), true);
  world.Submit(kJob, MakeJob(1, 1, false));
  world.Run(Duration(3'000));
  CHECK(world.workers.total_starts() == 0);
  world.site.SetEvacuated(DomainId("cartago"), false);
  CHECK(world.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
}

TEST_CASE("A draining worker gets no tasks and loses those it cannot finish") {
  LedWorld world;
  world.run_time = Duration(8'000);
  world.Submit(kJob, MakeJob(1, 8, false));
  world.Run(Duration(300));
  REQUIRE(world.workers.running() == 1);
  const WorkerId holder = world.workers.HolderOf(Task(kJob, 0));
  for (WorkerEntry& it : world.listed) {
    it.draining = it.id == holder;
    it.remaining = Duration(1'000);
  }
  world.Run(Duration(2'000));
  CHECK(world.workers.starts(Task(kJob, 0)) == 2);
  CHECK(world.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
}

// A guaranteed workspace gets its accelerators back from others in time.
TEST_CASE("A guaranteed urgent gang begins within three seconds") {
  LedWorld world;
  world.run_time = Duration(60'000);
  world.Submit(kJob, MakeJob(32, 1, false), "/sketches/");
  // Part of them waits for a while, since they keep out of the emptiest rack.
  world.Run(Duration(4'000));
  REQUIRE(world.workers.running() == 32);
  world.Submit(kOtherJob, MakeJob(2, 8, true), "/holds/");
  world.Run(Duration(2'600));
  CHECK(world.workers.IsRunning(Task(kOtherJob, 0)));
  CHECK(world.workers.IsRunning(Task(kOtherJob, 1)));
  // Only as many as needed were stopped.
  CHECK(world.workers.running() >= 2 + 16);
}

// Guards against stopping runs for an urgent job that can have the room of a
// run that is about to end.
TEST_CASE("An urgent job waits for a run that is about to end") {
  LedWorld world(1, 2);
  world.run_time = Duration(20'000);
  const std::string ending = "00000000000000d0";
  const std::string lasting = "00000000000000d1";
  world.Submit(ending, MakeJob(1, 8, false), "/sketches/");
  world.Run(Duration(10'000));
  REQUIRE(world.workers.running() == 1);
  world.Submit(lasting, MakeJob(1, 8, false), "/sketches/");
  world.Run(world.workers.first_start(Task(ending, 0)) + Duration(19'800) -
            world.runner.Now());
  REQUIRE(world.workers.running() == 2);
  world.Submit(kJob, MakeJob(1, 8, true), "/holds/");
  world.Run(Duration(900));
  CHECK(world.workers.IsRunning(Task(kJob, 0)));
  CHECK(world.workers.starts(Task(lasting, 0)) == 1);
  CHECK(world.workers.starts(Task(ending, 0)) == 1);
  CHECK(world.RunUntilFinal(ending, kLong) == JobPhase::kComplete);
}

// Load: small tasks take each room that falls free while a gang of the same
// queue needs several whole workers. Guards against a gang that never starts.
TEST_CASE("A large gang gets its turn among many small jobs") {
  LedWorld world(1, 3);
  int jobs = 0;
  const auto submit_small = [&] {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0x1000 + jobs++);
    world.Submit(id, MakeJob(4, 1, false));
  };
  for (int n = 0; n < 6; ++n) {
    submit_small();
    world.Run(Duration(400));
  }
  world.Submit(kJob, MakeJob(2, 8, true));
  for (int n = 0; n < 100; ++n) {
    submit_small();
    world.Run(Duration(400));
  }
  CHECK(world.workers.first_start(Task(kJob, 0)) != TimePoint());
  CHECK(world.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
}

// Random series of kills, silent workers, late orders and lost answers.
TEST_CASE("Series of faults neither lose nor repeat a task") {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    BatchFixture world(2, 3);
    world.AddNode("n1");
    world.AddNode("n2");
    world.Run(Duration(2'500));
    std::vector<std::string> jobs;
    for (int round = 0; round < 12; ++round) {
      const std::string id = "00000000000000" + std::to_string(10 + round);
      CallAnswer answer;
      do {
        answer = world.Submit(
            id, MakeJob(static_cast<int>(random.Between(1, 4)),
                        random.Chance(0.5) ? 8 : 2, random.Chance(0.5)));
      } while (answer.outcome != CallOutcome::kAccepted);
      jobs.push_back(id);
      const auto victim = world.listed[random.Below(world.listed.size())].id;
      ModelWorkerFaults& faults = world.workers.faults(victim);
      switch (random.Below(6)) {
        case 0:
          faults.silent = true;
          break;
        case 1:
          faults.late_orders = static_cast<int>(random.Between(1, 3));
          break;
        case 2:
          if (const int leader = world.Leader(); leader >= 0) {
            world.Kill(static_cast<size_t>(leader));
            world.AddNode("n" + std::to_string(10 + round));
          }
          break;
        case 3:
          world.store.faults().lose_commit_answers = 2;
          break;
        case 4:
          world.store.faults().late_commits = 2;
          break;
        default:
          world.store.DropHistory();
          break;
      }
      world.Run(Duration(random.Between(100, 3'000)));
      faults.silent = false;
    }
    world.store.faults() = {};
    for (const std::string& id : jobs)
      CHECK(world.RunUntilFinal(id, kLong) == JobPhase::kComplete);
    for (const std::string& it : world.workers.violations())
      FAIL_CHECK(it);
  }
}

}  // namespace quetzalshelf::batch
