// Tests of the dispatcher under faults of leaders, workers and the store.

#include <doctest/doctest.h>

#include <cstdio>
#include <set>
#include <utility>

#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

constexpr char kJob[] = "00000000000000a1";
constexpr char kOtherJob[] = "00000000000000a2";
constexpr Duration kLong{30'000};

}  // namespace

// Guards against a gang that starts late, starts twice or is not reported as
// complete.
TEST_CASE("A gang starts at once and is reported complete") {
  LeaderFixture fixture;
  REQUIRE(fixture.Submit(kJob, MakeJob(2, 8, true)).outcome ==
          CallOutcome::kAccepted);
  fixture.Run(Duration(150));
  CHECK(fixture.workers.running() == 2);
  CHECK(fixture.State(kJob).phase == JobPhase::kRunning);
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  CHECK(fixture.workers.total_starts() == 2);
  CHECK(fixture.workers.violations().empty());
}

// Guards against treating a run as expired before its first order is sent,
// because the lease of an earlier run on the same worker has ended.
TEST_CASE("A job starts once on workers that were idle for long") {
  LeaderFixture fixture;
  fixture.Submit(kJob, MakeJob(4, 8, true));
  REQUIRE(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  fixture.Run(kLong);
  fixture.Submit(kOtherJob, MakeJob(4, 8, true));
  REQUIRE(fixture.RunUntilFinal(kOtherJob, kLong) == JobPhase::kComplete);
  CHECK(fixture.workers.total_starts() == 8);
}

// Guards against a new leader that syncs workers before it has loaded the jobs:
// it would stop their runs as unassigned and drop their ends.
TEST_CASE("Runs and ends survive a change of leader") {
  LeaderFixture fixture;
  fixture.AddNode("n2");
  fixture.Run(Duration(100));
  fixture.Submit(kJob, MakeJob(2, 8, true));
  fixture.Run(Duration(200));
  REQUIRE(fixture.workers.running() == 2);

  SUBCASE("while it runs") {
    fixture.run_time = Duration(8'000);
    fixture.Submit(kOtherJob, MakeJob(2, 8, true));
    fixture.Run(Duration(300));
  }
  SUBCASE("with an end that is not recorded") {
    fixture.Run(Duration(2'200));
  }
  // The workers answer before the jobs are read from the store.
  fixture.store.set_answer_time(Duration(40));
  fixture.Kill(static_cast<size_t>(fixture.Leader()));
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  fixture.Run(Duration(9'000));
  CHECK(fixture.workers.starts(Task(kJob, 0)) == 1);
  CHECK(fixture.workers.starts(Task(kJob, 1)) == 1);
  CHECK(fixture.workers.violations().empty());
}

// Guards against stopping and starting a whole gang again because the leader
// died while it was sending the orders.
TEST_CASE("A new leader finishes the start of a gang") {
  LeaderFixture fixture;
  fixture.AddNode("n2");
  fixture.Run(Duration(1'000));
  for (size_t n = 1; n < fixture.listed.size(); ++n)
    fixture.workers.faults(fixture.listed[n].id).silent = true;
  fixture.Submit(kJob, MakeJob(4, 8, true), "/holds/");
  for (int n = 0; n < 50 && fixture.workers.running() == 0; ++n)
    fixture.Run(Duration(10));
  REQUIRE(fixture.workers.running() == 1);
  fixture.Kill(static_cast<size_t>(fixture.Leader()));
  for (const WorkerEntry& it : fixture.listed)
    fixture.workers.faults(it.id).silent = false;
  fixture.Run(Duration(1'500));
  CHECK(fixture.workers.running() == 4);
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  for (int n = 0; n < 4; ++n)
    CHECK(fixture.workers.starts(Task(kJob, n)) == 1);
  CHECK(fixture.workers.violations().empty());
}

// Urgent jobs may wait about 1.5 s, and all that are submitted after the kill
// wait for the new leader.
TEST_CASE("A new leader starts jobs within 1.5 seconds of a kill") {
  LeaderFixture fixture;
  fixture.AddNode("n2");
  fixture.Run(Duration(1'000));
  fixture.Kill(0);
  fixture.Submit(kJob, MakeJob(2, 8, true));
  fixture.Run(Duration(1'500));
  CHECK(fixture.Leader() == 1);
  CHECK(fixture.workers.running() == 2);
}

// Guards against running a job again when only its state row says that it is
// finished.
TEST_CASE("A new leader leaves finished jobs alone") {
  LeaderFixture fixture;
  fixture.Submit(kJob, MakeJob(2, 8, true));
  REQUIRE(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  // Long enough for the leader to drop the job from memory.
  fixture.Run(Duration(6'000));
  fixture.Submit(kJob, MakeJob(2, 8, true));
  fixture.AddNode("n2");
  fixture.Run(Duration(500));
  fixture.Kill(0);
  fixture.Run(Duration(4'000));
  REQUIRE(fixture.Leader() == 1);
  CHECK(fixture.workers.total_starts() == 2);
  CHECK(fixture.State(kJob).phase == JobPhase::kComplete);
  CHECK(fixture.Cancel(kJob).outcome == CallOutcome::kAccepted);
  fixture.Run(Duration(500));
  CHECK(fixture.State(kJob).phase == JobPhase::kComplete);
}

// Guards against a successor that waits for the lease of a retired leader to
// expire.
TEST_CASE("A released lease is taken over at once") {
  LeaderFixture fixture;
  fixture.AddNode("n2");
  fixture.Run(Duration(1'000));
  fixture.Resign(0);
  fixture.Run(Duration(300));
  CHECK(fixture.nodes[1].lease->is_leader());
}

// Guards against granting further leases to a worker that does not answer: each
// might be delivered late, so its runs would never expire.
TEST_CASE("Tasks of a silent worker are started elsewhere") {
  LeaderFixture fixture;
  fixture.run_time = Duration(8'000);
  fixture.Submit(kJob, MakeJob(1, 8, false));
  fixture.Run(Duration(300));
  REQUIRE(fixture.workers.running() == 1);
  const WorkerId holder = fixture.workers.HolderOf(Task(kJob, 0));
  fixture.workers.faults(holder).silent = true;
  fixture.Run(Duration(7'500));
  CHECK(fixture.workers.IsRunning(Task(kJob, 0)));
  CHECK(fixture.workers.HolderOf(Task(kJob, 0)) != holder);
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  CHECK(fixture.workers.violations().empty());
}

// Guards against giving up the work of a worker that is only silent, unlisted
// or slow to answer for a while.
TEST_CASE("Tasks of a worker that is silent for a while run on") {
  LeaderFixture fixture;
  fixture.run_time = Duration(8'000);
  fixture.Submit(kJob, MakeJob(4, 8, true), "/holds/");
  fixture.Run(Duration(1'000));
  REQUIRE(fixture.workers.running() == 4);
  const std::vector<WorkerEntry> all = fixture.listed;
  SUBCASE("silent") {
    for (const WorkerEntry& it : all)
      fixture.workers.faults(it.id).silent = true;
  }
  SUBCASE("unlisted, as after an outage of the store") {
    fixture.listed.clear();
  }
  SUBCASE("silent and unlisted") {
    for (const WorkerEntry& it : all)
      fixture.workers.faults(it.id).silent = true;
    fixture.listed.clear();
  }
  fixture.Run(Duration(3'000));
  for (const WorkerEntry& it : all)
    fixture.workers.faults(it.id).silent = false;
  fixture.listed = all;
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  for (int n = 0; n < 4; ++n)
    CHECK(fixture.workers.starts(Task(kJob, n)) == 1);
  CHECK(fixture.workers.violations().empty());
}

// Guards against workers that are never synced again once their runs are taken
// for lost: they stay idle, and tasks that had ended there run again.
TEST_CASE("A worker that returns after a cut is heard and used again") {
  LeaderFixture fixture(1, 1);
  fixture.run_time = Duration(3'000);
  fixture.Submit(kJob, MakeJob(1, 8, false));
  fixture.Run(Duration(300));
  REQUIRE(fixture.workers.running() == 1);
  fixture.nodes[0].workers->set_cut({WorkerId("w00")});
  fixture.Run(Duration(4'000));
  // The platform no longer lists it either.
  const std::vector<WorkerEntry> all = std::exchange(fixture.listed, {});
  fixture.Run(Duration(4'000));
  fixture.nodes[0].workers->set_cut({});
  fixture.listed = all;
  fixture.Run(Duration(1'000));
  CHECK(fixture.State(kJob).phase == JobPhase::kComplete);
  fixture.Submit(kOtherJob, MakeJob(1, 8, false), "/holds/");
  fixture.Run(Duration(300));
  CHECK(fixture.workers.starts(Task(kOtherJob, 0)) == 1);
  CHECK(fixture.workers.starts(Task(kJob, 0)) == 1);
  CHECK(fixture.workers.violations().empty());
}

// Guards against a process that acts after a pause on a permission that has run
// out meanwhile.
TEST_CASE("A leader that was paused starts nothing that its successor runs") {
  LeaderFixture fixture;
  fixture.AddNode("n2");
  fixture.Run(Duration(1'000));
  REQUIRE(fixture.Leader() == 0);
  fixture.run_time = Duration(4'000);
  // The pause begins at any moment between the acceptance and the start.
  for (int delay = 0; delay <= 60; delay += 10) {
    CAPTURE(delay);
    const int leader = fixture.Leader();
    REQUIRE(leader >= 0);
    const std::string id = "00000000000000" + std::to_string(10 + delay);
    fixture.Submit(id, MakeJob(4, 8, true), "/holds/");
    fixture.Run(Duration(delay));
    fixture.nodes[static_cast<size_t>(leader)].paused = true;
    fixture.Run(Duration(3'000));
    fixture.nodes[static_cast<size_t>(leader)].paused = false;
    CHECK(fixture.RunUntilFinal(id, kLong) == JobPhase::kComplete);
    for (int n = 0; n < 4; ++n)
      CHECK(fixture.workers.starts(Task(id, n)) == 1);
  }
  CHECK(fixture.workers.violations().empty());
}

// Guards against a successor that learns of workers from its predecessor, and
// starts work on one that has left.
TEST_CASE("A new leader does not use a worker that has left") {
  LeaderFixture fixture(2, 2);
  fixture.AddNode("n2");
  fixture.Run(Duration(1'000));
  const WorkerId gone = fixture.listed.front().id;
  fixture.listed.erase(fixture.listed.begin());
  fixture.Kill(0);
  fixture.Submit(kJob, MakeJob(4, 8, false), "/holds/");
  fixture.run_time = Duration(20'000);
  fixture.Run(Duration(4'000));
  CHECK(fixture.workers.running() == 3);
  for (int n = 0; n < 4; ++n)
    CHECK(fixture.workers.HolderOf(Task(kJob, n)) != gone);
}

// Guards against decisions that depend on the time of day, which may jump by
// seconds and differ between VMs.
TEST_CASE("A jump of the time of day neither delays nor repeats a job") {
  LeaderFixture fixture;
  fixture.AddNode("n2");
  fixture.Run(Duration(1'000));
  Duration jump{0};
  SUBCASE("ahead") {
    jump = Duration(9'000);
  }
  SUBCASE("back") {
    jump = Duration(-9'000);
  }
  fixture.Submit(kJob, MakeJob(2, 8, true), "/holds/");
  fixture.runner.StepWallClock(jump);
  fixture.Run(Duration(200));
  CHECK(fixture.workers.running() == 2);
  fixture.Kill(static_cast<size_t>(fixture.Leader()));
  fixture.Submit(kOtherJob, MakeJob(2, 8, true), "/holds/");
  fixture.runner.StepWallClock(-jump);
  fixture.Run(Duration(2'000));
  CHECK(fixture.workers.first_start(Task(kOtherJob, 0)) != TimePoint());
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  CHECK(fixture.RunUntilFinal(kOtherJob, kLong) == JobPhase::kComplete);
  for (int n = 0; n < 2; ++n)
    CHECK(fixture.workers.starts(Task(kJob, n)) == 1);
  CHECK(fixture.workers.violations().empty());
}

// Guards against new empty workers that stay idle while queued jobs wait for
// the old ones.
TEST_CASE("Queued tasks start on new workers as soon as they join") {
  LeaderFixture fixture(1, 2);
  fixture.run_time = Duration(30'000);
  fixture.Submit(kJob, MakeJob(6, 8, false), "/holds/");
  fixture.Run(Duration(2'000));
  REQUIRE(fixture.workers.running() == 2);
  for (int n = 0; n < 4; ++n) {
    fixture.listed.push_back(MakeWorker("x" + std::to_string(n), "r1-7"));
    fixture.workers.Add(fixture.listed.back());
  }
  fixture.Run(Duration(200));
  CHECK(fixture.workers.running() == 6);
}

// Guards against a new leader that keeps runs from the store forever, because
// their worker is not listed and cannot be synced.
TEST_CASE("Recovered runs on workers that are gone are started again") {
  LeaderFixture fixture;
  fixture.run_time = Duration(4'000);
  fixture.Submit(kJob, MakeJob(4, 8, true), "/holds/");
  fixture.Run(Duration(300));
  REQUIRE(fixture.workers.running() == 4);
  fixture.Kill(0);
  const std::vector<WorkerEntry> all = fixture.listed;
  for (const WorkerEntry& it : all)
    fixture.workers.faults(it.id).silent = true;
  fixture.listed.clear();
  for (int n = 0; n < 4; ++n) {
    fixture.listed.push_back(MakeWorker("x" + std::to_string(n), "r1-7"));
    fixture.workers.Add(fixture.listed.back());
  }
  fixture.AddNode("n2");
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  for (int n = 0; n < 4; ++n)
    CHECK(fixture.workers.starts(Task(kJob, n)) == 2);
  CHECK(fixture.workers.violations().empty());
}

// Guards against a second run of a task when the first start order is delivered
// after its time-out.
TEST_CASE("A start without an answer runs once") {
  LeaderFixture fixture;
  for (const WorkerEntry& it : fixture.listed)
    fixture.workers.faults(it.id).late_orders = 1;
  fixture.Submit(kJob, MakeJob(3, 8, true));
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  fixture.Run(Duration(8'000));
  for (int n = 0; n < 3; ++n)
    CHECK(fixture.workers.starts(Task(kJob, n)) == 1);
  CHECK(fixture.workers.violations().empty());
}

// Guards against a task that runs twice because a late order reaches the next
// incarnation of its worker.
TEST_CASE(
    "An order that arrives after a restart of its worker starts nothing") {
  LeaderFixture fixture(1, 2);
  fixture.run_time = Duration(4'000);
  ModelWorkerFaults& faults = fixture.workers.faults(fixture.listed[0].id);
  faults.late_orders = 1;
  faults.lateness = Duration(1'500);
  faults.orders_outlive_restart = true;
  fixture.Submit(kJob, MakeJob(2, 8, false), "/holds/");
  fixture.Run(Duration(700));
  REQUIRE(fixture.workers.running() == 2);
  fixture.workers.Restart(fixture.listed[0].id, 2);
  fixture.listed[0].incarnation_start_wall_ms = 2;
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  fixture.Run(Duration(2'000));
  CHECK(fixture.workers.violations().empty());
}

// Guards against a task that crashes one worker after the other.
TEST_CASE("A task that crashes its workers is given up after a few starts") {
  LeaderFixture fixture;
  fixture.run_time = Duration(4'000);
  bool gang = false;
  SUBCASE("a single task") {}
  SUBCASE("a member of a gang") {
    gang = true;
  }
  fixture.workers.set_gang_size([gang](const StartOrder& it) {
    return gang && it.task.job == JobId(kJob) ? 3 : 0;
  });
  fixture.workers.set_deadly_tasks(
      [](const TaskId& it) { return it == Task(kJob, 0); });
  fixture.Submit(kJob, MakeJob(3, 4, gang));
  CHECK(fixture.RunUntilFinal(kJob, Duration(40'000)) == JobPhase::kFailed);
  CHECK(fixture.workers.starts(Task(kJob, 0)) == 3);
  fixture.Run(Duration(10'000));
  CHECK(fixture.workers.starts(Task(kJob, 0)) == 3);
  CHECK(fixture.workers.crashes_under(Task(kJob, 0)) == 3);
  CHECK(fixture.workers.running() == 0);
}

// Guards against a count of crashes that is lost with the leader.
TEST_CASE("A new leader goes on counting the crashes under a task") {
  LeaderFixture fixture;
  fixture.AddNode("n2");
  fixture.workers.set_deadly_tasks(
      [](const TaskId& it) { return it == Task(kJob, 0); });
  fixture.Submit(kJob, MakeJob(1, 8, false));
  for (int n = 0; n < 600 && fixture.workers.starts(Task(kJob, 0)) < 3; ++n)
    fixture.Run(Duration(100));
  REQUIRE(fixture.workers.starts(Task(kJob, 0)) == 3);
  fixture.Kill(static_cast<size_t>(fixture.Leader()));
  CHECK(fixture.RunUntilFinal(kJob, Duration(40'000)) == JobPhase::kFailed);
  CHECK(fixture.workers.starts(Task(kJob, 0)) <= 5);
}

// Guards against giving up tasks that only ran beside one that crashes workers.
TEST_CASE("Tasks beside one that crashes its workers are completed") {
  LeaderFixture fixture(2, 3);
  fixture.run_time = Duration(3'000);
  fixture.workers.set_deadly_tasks(
      [](const TaskId& it) { return it == Task(kJob, 0); });
  // Placed in the same pass, on the same worker.
  fixture.Submit(kJob, MakeJob(1, 1, false));
  fixture.Submit(kOtherJob, MakeJob(2, 1, false));
  CHECK(fixture.RunUntilFinal(kOtherJob, Duration(40'000)) ==
        JobPhase::kComplete);
  CHECK(fixture.RunUntilFinal(kJob, Duration(40'000)) == JobPhase::kFailed);
  CHECK(fixture.workers.starts(Task(kOtherJob, 0)) <= 2);
  CHECK(fixture.workers.violations().empty());
}

// Guards against giving up the tasks of workers that often go down.
TEST_CASE("Tasks of workers that crash in the course of their work go on") {
  LeaderFixture fixture;
  fixture.run_time = Duration(4'000);
  fixture.Submit(kJob, MakeJob(1, 8, false));
  for (int n = 0; n < 4; ++n) {
    while (!fixture.workers.IsRunning(Task(kJob, 0)))
      fixture.Run(Duration(100));
    fixture.Run(Duration(2'500));
    REQUIRE(fixture.workers.IsRunning(Task(kJob, 0)));
    fixture.workers.Crash(fixture.workers.HolderOf(Task(kJob, 0)));
  }
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
}

// Guards against a job that stands still on an idle cluster, since it has been
// preempted several times in a row.
TEST_CASE("A preempted job restarts soon where there is ample room") {
  LeaderFixture fixture(2, 4);
  fixture.Submit(kJob, MakeJob(1, 4, false), "/sketches/");
  const TaskId task = Task(kJob, 0);
  for (int n = 0; n < 4; ++n) {
    fixture.run_time = kLong;
    for (int tick = 0; tick < 800 && !fixture.workers.IsRunning(task); ++tick)
      fixture.Run(Duration(10));
    REQUIRE(fixture.workers.IsRunning(task));
    fixture.run_time = Duration(100);
    const std::string urgent = "00000000000001a" + std::to_string(n);
    fixture.Submit(urgent, MakeJob(8, 8, true), "/holds/");
    for (int tick = 0; tick < 100 && fixture.workers.IsRunning(task); ++tick)
      fixture.Run(Duration(10));
    REQUIRE_FALSE(fixture.workers.IsRunning(task));
    REQUIRE(fixture.RunUntilFinal(urgent, kLong) == JobPhase::kComplete);
  }
  REQUIRE(fixture.workers.running() == 0);
  fixture.run_time = kLong;
  fixture.Run(Duration(3'000));
  CHECK(fixture.workers.IsRunning(task));
}

// Guards against runs of a cancelled job that go on or start again.
TEST_CASE("A cancelled job is stopped and reported as cancelled") {
  LeaderFixture fixture;
  fixture.run_time = Duration(20'000);
  fixture.Submit(kJob, MakeJob(2, 8, true));
  fixture.Run(Duration(300));
  REQUIRE(fixture.workers.running() == 2);
  CHECK(fixture.Cancel(kJob).outcome == CallOutcome::kAccepted);
  fixture.Run(Duration(800));
  CHECK(fixture.workers.running() == 0);
  CHECK(fixture.State(kJob).phase == JobPhase::kCancelled);
  fixture.Run(Duration(3'000));
  CHECK(fixture.workers.total_starts() == 2);
}

// Guards against a job that is lost or runs twice because the outcome of a
// commit is unknown.
TEST_CASE("Lost answers of the store neither lose nor repeat a job") {
  LeaderFixture fixture;
  SUBCASE("written, not answered") {
    fixture.store.faults().lose_commit_answers = 6;
  }
  SUBCASE("written seconds late") {
    fixture.store.faults().late_commits = 6;
  }
  CallAnswer answer = fixture.Submit(kJob, MakeJob(2, 8, true));
  while (answer.outcome == CallOutcome::kOutcomeUnknown)
    answer = fixture.Submit(kJob, MakeJob(2, 8, true));
  REQUIRE(answer.outcome == CallOutcome::kAccepted);
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  fixture.Run(Duration(6'000));
  CHECK(fixture.workers.total_starts() == 2);
  CHECK(fixture.workers.violations().empty());
}

// Guards against runs that expire, and starts without a stored run, when the
// store refuses calls.
TEST_CASE(
    "Leases are renewed while the store is unavailable, and nothing starts") {
  LeaderFixture fixture;
  fixture.run_time = Duration(9'000);
  fixture.Submit(kJob, MakeJob(2, 8, true));
  fixture.Run(Duration(300));
  fixture.store.faults().refuse = true;
  fixture.Run(Duration(7'000));
  CHECK(fixture.workers.running() == 2);
  CHECK(fixture.workers.total_starts() == 2);
  fixture.store.faults().refuse = false;
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  CHECK(fixture.workers.total_starts() == 2);
}

// Guards against two runs of one task after a failure domain was cut off: the
// former leader still reaches the worker, but not the store, and its successor
// the other way round.
TEST_CASE("A leader without the store lets leases expire for its successor") {
  LeaderFixture fixture(2, 1);
  fixture.AddNode("n2");
  fixture.Run(Duration(1'000));
  REQUIRE(fixture.Leader() == 0);
  SUBCASE("a long task is started again once its lease has expired") {
    fixture.run_time = Duration(40'000);
  }
  SUBCASE("a task that ended during the cut is not started again") {
    fixture.run_time = Duration(3'000);
  }
  const bool ends = fixture.run_time < Duration(10'000);
  fixture.Submit(kJob, MakeJob(1, 8, false));
  fixture.Run(Duration(300));
  const WorkerId holder = fixture.workers.HolderOf(Task(kJob, 0));
  fixture.nodes[0].store->set_cut(true);
  fixture.nodes[1].workers->set_cut({holder});
  fixture.Run(ends ? Duration(8'000) : Duration(20'000));
  REQUIRE(fixture.DispatcherOf(1));
  fixture.nodes[0].store->set_cut(false);
  fixture.nodes[1].workers->set_cut({});
  CHECK(fixture.RunUntilFinal(kJob, Duration(60'000)) == JobPhase::kComplete);
  fixture.Run(Duration(2'000));
  CHECK(fixture.workers.starts(Task(kJob, 0)) == (ends ? 1 : 2));
  CHECK(fixture.workers.violations().empty());
}

// Guards against waiting for a feed that delivers nothing, as happens before
// the store drops its history.
TEST_CASE("A job starts soon although the feeds are silent") {
  LeaderFixture fixture;
  fixture.store.faults().silence_feeds = true;
  fixture.Run(Duration(1'000));
  REQUIRE(fixture.Submit(kJob, MakeJob(1, 1, false)).outcome ==
          CallOutcome::kAccepted);
  fixture.Run(Duration(600));
  CHECK(fixture.workers.running() == 1);
}

// Guards against choosing the same failing worker until a job has used all its
// attempts.
TEST_CASE("A failing worker does not fail the jobs that follow") {
  LeaderFixture fixture(2, 3);
  fixture.workers.faults(fixture.listed[0].id).fails_tasks = true;
  for (int n = 0; n < 12; ++n) {
    const std::string id =
        "00000000000000b" + std::string(1, "0123456789ab"[n]);
    REQUIRE(fixture.Submit(id, MakeJob(2, 8, true)).outcome ==
            CallOutcome::kAccepted);
    CHECK(fixture.RunUntilFinal(id, kLong) == JobPhase::kComplete);
  }
  // Without failures, 12 jobs of two tasks each need 24 starts.
  CHECK(fixture.workers.total_starts() <= 24 + 6);
}

// Guards against stopping the members of a gang that have started because one
// worker refused its member.
TEST_CASE("A refused member of a gang starts on another worker") {
  LeaderFixture fixture(1, 4);
  fixture.workers.faults(fixture.listed[0].id).refuses = true;
  fixture.Submit(kJob, MakeJob(3, 8, true), "/holds/");
  fixture.Run(Duration(150));
  CHECK(fixture.workers.running() == 3);
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  for (int n = 0; n < 3; ++n)
    CHECK(fixture.workers.starts(Task(kJob, n)) == 1);
  CHECK(fixture.workers.violations().empty());
}

// Guards against waiting for stalled tasks on a worker that seems healthy.
TEST_CASE("Stalled tasks are started on another worker") {
  LeaderFixture fixture(2, 3);
  fixture.workers.faults(fixture.listed[0].id).stands_still = true;
  for (int n = 0; n < 4; ++n) {
    const std::string id = "00000000000000c" + std::to_string(n);
    fixture.Submit(id, MakeJob(6, 8, false), "/holds/");
    CHECK(fixture.RunUntilFinal(id, Duration(12'000)) == JobPhase::kComplete);
  }
  // The worker is retried after a while, at most once per job.
  CHECK(fixture.workers.total_starts() <= 4 * (6 + 1));
  CHECK(fixture.workers.violations().empty());
}

// Guards against urgent gangs that lose most of their time to a member that
// hangs. One poll of its worker, 0.75 s after the start, has to suffice; the
// stop takes 0.3 s more.
TEST_CASE("Urgent gangs leave workers that hang after one poll") {
  LeaderFixture fixture(5, 4);
  std::set<WorkerId> hanging;
  for (const WorkerEntry& it : fixture.listed) {
    if (it.id.value().ends_with('0') && it.rack < RackId("r1-2"))
      hanging.insert(it.id);
  }
  for (const WorkerId& it : hanging)
    fixture.workers.faults(it).stands_still = true;
  // Each gang fills a rack, so that two of them have a member that hangs.
  std::vector<std::string> jobs;
  for (int n = 0; n < 3; ++n) {
    jobs.push_back("00000000000000c" + std::to_string(n));
    fixture.Submit(jobs.back(), MakeJob(4, 8, true), "/holds/");
  }
  fixture.Run(Duration(1'300));
  CHECK(fixture.workers.running() == 3 * 4);
  for (const std::string& id : jobs) {
    for (int n = 0; n < 4; ++n)
      CHECK_FALSE(hanging.contains(fixture.workers.HolderOf(Task(id, n))));
  }
  for (const std::string& id : jobs)
    CHECK(fixture.RunUntilFinal(id, kLong) == JobPhase::kComplete);
  CHECK(fixture.workers.total_starts() == 5 * 4);
  CHECK(fixture.workers.violations().empty());
}

// Load: urgent gangs that fill the only rack come one after the other, with
// gaps in which a long gang finds room. Guards against starting it in each gap,
// only to stop it again while the next urgent gang waits.
TEST_CASE("A preempted gang stays out of the way of a burst of urgent work") {
  LeaderFixture fixture(1, 4);
  fixture.run_time = Duration(20'000);
  fixture.Submit(kJob, MakeJob(4, 8, true));
  fixture.Run(Duration(4'000));
  REQUIRE(fixture.workers.IsRunning(Task(kJob, 0)));
  fixture.run_time = Duration(500);
  int at_once = 0;
  std::vector<std::string> urgent;
  for (int n = 0; n < 8; ++n) {
    urgent.push_back("00000000000000b" + std::to_string(n));
    fixture.Submit(urgent.back(), MakeJob(4, 8, true), "/holds/");
    fixture.Run(Duration(200));
    const bool started =
        fixture.workers.first_start(Task(urgent.back(), 0)) != TimePoint();
    at_once += started ? 1 : 0;
    fixture.Run(Duration(700));
  }
  // The first one stops the long gang; few later ones find it again.
  CHECK(at_once >= 5);
  CHECK(fixture.workers.starts(Task(kJob, 0)) <= 3);
  for (const std::string& it : urgent)
    CHECK(fixture.RunUntilFinal(it, kLong) == JobPhase::kComplete);
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
}

// Guards against starts in a failure domain that is out of service.
TEST_CASE("No task starts in an evacuated failure domain") {
  LeaderFixture fixture;
  fixture.site.SetEvacuated(DomainId("cartago"), true);
  fixture.Submit(kJob, MakeJob(1, 1, false));
  fixture.Run(Duration(3'000));
  CHECK(fixture.workers.total_starts() == 0);
  fixture.site.SetEvacuated(DomainId("cartago"), false);
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
}

// Guards against a task that is lost with its worker because it was not moved
// in time.
TEST_CASE("A draining worker gets no tasks and loses those it cannot finish") {
  LeaderFixture fixture;
  fixture.run_time = Duration(8'000);
  fixture.Submit(kJob, MakeJob(1, 8, false));
  fixture.Run(Duration(300));
  REQUIRE(fixture.workers.running() == 1);
  const WorkerId holder = fixture.workers.HolderOf(Task(kJob, 0));
  for (WorkerEntry& it : fixture.listed) {
    it.draining = it.id == holder;
    it.remaining = Duration(1'000);
  }
  fixture.Run(Duration(2'000));
  CHECK(fixture.workers.starts(Task(kJob, 0)) == 2);
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
}

// Guards against a guaranteed workspace that waits too long for accelerators
// that other jobs use.
TEST_CASE("A guaranteed urgent gang begins within three seconds") {
  LeaderFixture fixture;
  fixture.run_time = Duration(60'000);
  fixture.Submit(kJob, MakeJob(32, 1, false), "/sketches/");
  // Some tasks are deferred, since deferrable work stays out of the emptiest
  // rack.
  fixture.Run(Duration(4'000));
  REQUIRE(fixture.workers.running() == 32);
  fixture.Submit(kOtherJob, MakeJob(2, 8, true), "/holds/");
  fixture.Run(Duration(2'600));
  CHECK(fixture.workers.IsRunning(Task(kOtherJob, 0)));
  CHECK(fixture.workers.IsRunning(Task(kOtherJob, 1)));
  // Only as many as needed were stopped.
  CHECK(fixture.workers.running() >= 2 + 16);
}

// Guards against guaranteed tasks outside of gangs that wait until workers
// become free by themselves.
TEST_CASE("Guaranteed urgent tasks of no gang begin within three seconds") {
  LeaderFixture fixture;
  fixture.run_time = Duration(60'000);
  fixture.Submit(kJob, MakeJob(32, 1, false), "/sketches/");
  fixture.Run(Duration(4'000));
  REQUIRE(fixture.workers.running() == 32);
  int tasks = 1;
  SUBCASE("a single task") {}
  SUBCASE("several tasks") {
    tasks = 2;
  }
  fixture.Submit(kOtherJob, MakeJob(tasks, 8, false), "/holds/");
  fixture.Run(Duration(2'600));
  for (int n = 0; n < tasks; ++n)
    CHECK(fixture.workers.IsRunning(Task(kOtherJob, n)));
  CHECK(fixture.workers.running() >= tasks + 32 - 8 * tasks);
  CHECK(fixture.workers.violations().empty());
}

// Guards against reclaimed workers on which more tasks of a step start than it
// allows on one.
TEST_CASE("Reserved workers count towards a step's limit per worker") {
  LeaderFixture fixture(1, 3);
  fixture.run_time = Duration(60'000);
  fixture.Submit(kJob, MakeJob(24, 1, false), "/sketches/");
  fixture.Run(Duration(4'000));
  REQUIRE(fixture.workers.running() == 24);
  JobSpec spec = MakeJob(3, 2, false);
  spec.steps[0].max_per_worker = 1;
  fixture.Submit(kOtherJob, spec, "/holds/");
  fixture.Run(Duration(2'600));
  std::set<WorkerId> holders;
  for (int n = 0; n < 3; ++n)
    holders.insert(fixture.workers.HolderOf(Task(kOtherJob, n)));
  CHECK(holders.size() == 3);
  CHECK_FALSE(holders.contains(WorkerId()));
}

// Guards against stopping runs for an urgent job that could use the capacity of
// a run that is about to end.
TEST_CASE("An urgent job waits for a run that is about to end") {
  LeaderFixture fixture(1, 2);
  fixture.run_time = Duration(20'000);
  const std::string ending = "00000000000000d0";
  const std::string lasting = "00000000000000d1";
  fixture.Submit(ending, MakeJob(1, 8, false), "/sketches/");
  fixture.Run(Duration(10'000));
  REQUIRE(fixture.workers.running() == 1);
  fixture.Submit(lasting, MakeJob(1, 8, false), "/sketches/");
  fixture.Run(fixture.workers.first_start(Task(ending, 0)) + Duration(19'800) -
              fixture.runner.Now());
  REQUIRE(fixture.workers.running() == 2);
  fixture.Submit(kJob, MakeJob(1, 8, true), "/holds/");
  fixture.Run(Duration(900));
  CHECK(fixture.workers.IsRunning(Task(kJob, 0)));
  CHECK(fixture.workers.starts(Task(lasting, 0)) == 1);
  CHECK(fixture.workers.starts(Task(ending, 0)) == 1);
  CHECK(fixture.RunUntilFinal(ending, kLong) == JobPhase::kComplete);
}

// Guards against a reservation that is given up, and made again in the place of
// other runs, before the stops for it have taken effect.
TEST_CASE("Slow stops do not make a guaranteed gang stop others") {
  LeaderFixture fixture(1, 4);
  for (const WorkerEntry& it : fixture.listed)
    fixture.workers.faults(it.id).stop_time = Duration(900);
  fixture.run_time = Duration(20'000);
  const std::string ending = "00000000000000d0";
  fixture.Submit(ending, MakeJob(1, 8, false), "/sketches/");
  fixture.Run(Duration(14'000));
  fixture.Submit(kJob, MakeJob(3, 8, false), "/sketches/");
  fixture.Run(fixture.workers.first_start(Task(ending, 0)) + Duration(19'850) -
              fixture.runner.Now());
  REQUIRE(fixture.workers.running() == 4);
  fixture.Submit(kOtherJob, MakeJob(2, 8, true), "/holds/");
  fixture.Run(Duration(1'100));
  int stopped = 0;
  CHECK(fixture.workers.IsRunning(Task(kOtherJob, 0)));
  CHECK(fixture.workers.IsRunning(Task(kOtherJob, 1)));
  // One run has ended, one was stopped; the others go on.
  for (int n = 0; n < 3; ++n)
    stopped += fixture.workers.IsRunning(Task(kJob, n)) ? 0 : 1;
  CHECK(stopped == 1);
  CHECK(fixture.workers.IsDone(Task(ending, 0)));
}

// Guards against starvation of a gang: it needs several whole workers, while
// small tasks of the same queue take all capacity that becomes free.
TEST_CASE("A large gang gets its turn among many small jobs") {
  LeaderFixture fixture(1, 3);
  int jobs = 0;
  const auto submit_small = [&] {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0x1000 + jobs++);
    fixture.Submit(id, MakeJob(4, 1, false));
  };
  for (int n = 0; n < 6; ++n) {
    submit_small();
    fixture.Run(Duration(400));
  }
  fixture.Submit(kJob, MakeJob(2, 8, true));
  for (int n = 0; n < 100; ++n) {
    submit_small();
    fixture.Run(Duration(400));
  }
  CHECK(fixture.workers.first_start(Task(kJob, 0)) != TimePoint());
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
}

// Guards against a gang that waits for room within one rack while most of the
// workers are idle.
TEST_CASE("A rack-local gang is spread when most workers stay idle") {
  LeaderFixture fixture(4, 3);
  fixture.run_time = Duration(60'000);
  int jobs = 0;
  for (const char* rack : {"r1-0", "r1-1", "r1-2", "r1-3"}) {
    JobSpec spec = MakeJob(1, 8, false);
    spec.steps[0].data_rack = RackId(rack);
    fixture.Submit("00000000000000e" + std::to_string(jobs++), spec, "/holds/");
  }
  fixture.Run(Duration(500));
  REQUIRE(fixture.workers.running() == 4);
  JobSpec gang = MakeJob(3, 8, true);
  gang.steps[0].rack_local = true;
  SUBCASE("work that may be deferred") {
    gang.steps[0].estimate = Duration(20'000);
  }
  SUBCASE("work that is short of time") {}
  fixture.Submit(kJob, gang);
  fixture.Run(Duration(1'000));
  CHECK(fixture.workers.running() == 4);
  fixture.Run(Duration(1'800));
  for (int n = 0; n < 3; ++n)
    CHECK(fixture.workers.IsRunning(Task(kJob, n)));
}

// Guards against a cold start of a large fleet in which the leader's VM cannot
// make all connections in time and repeats them.
TEST_CASE("A new leader contacts a large fleet a part at a time") {
  constexpr int kRacks = 9;
  constexpr int kWorkersARack = 60;
  LeaderFixture fixture(kRacks, kWorkersARack);
  CHECK(fixture.nodes[0].workers->most_syncs() <= 100);
  fixture.Submit(kJob, MakeJob(kRacks * kWorkersARack, 8, false), "/holds/");
  fixture.Run(Duration(500));
  CHECK(fixture.workers.running() == kRacks * kWorkersARack);
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
}

// Guards against polls that take all descriptors of a VM when many workers run
// tasks: orders then find none, and gangs start without some of their members.
TEST_CASE("Workers beyond the limit of polls are synced without waiting") {
  constexpr int kWorkers = 60;
  BatchFixture fixture(2, kWorkers / 2);
  fixture.dispatcher_options.max_polls = 10;
  fixture.AddNode("n1");
  fixture.Run(Duration(1'500));
  fixture.run_time = Duration(9'000);
  fixture.Submit(kJob, MakeJob(kWorkers, 8, false), "/holds/");
  fixture.Run(Duration(8'500));
  CHECK(fixture.workers.running() == kWorkers);
  fixture.Run(Duration(1'400));
  CHECK(fixture.State(kJob).phase == JobPhase::kComplete);
  CHECK(fixture.workers.total_starts() == kWorkers);
  CHECK(fixture.nodes[0].workers->most_polls() <= 10);
}

// Guards against leases that expire while a new leader waits for workers that
// do not answer.
TEST_CASE("A new leader first contacts the workers that run tasks") {
  LeaderFixture fixture(9, 60);
  fixture.AddNode("n2");
  fixture.run_time = Duration(12'000);
  fixture.Submit(kJob, MakeJob(4, 8, true), "/holds/");
  fixture.Run(Duration(200));
  REQUIRE(fixture.workers.running() == 4);
  std::set<WorkerId> holders;
  for (int n = 0; n < 4; ++n)
    holders.insert(fixture.workers.HolderOf(Task(kJob, n)));
  for (const WorkerEntry& it : fixture.listed)
    fixture.workers.faults(it.id).silent = !holders.contains(it.id);
  fixture.Kill(0);
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  for (int n = 0; n < 4; ++n)
    CHECK(fixture.workers.starts(Task(kJob, n)) == 1);
}

// Guards against lost or repeated tasks under random series of kills, silent
// workers, late orders, lost or late commits and dropped store history.
TEST_CASE("Series of faults neither lose nor repeat a task") {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    BatchFixture fixture(2, 3);
    fixture.AddNode("n1");
    fixture.AddNode("n2");
    fixture.Run(Duration(2'500));
    std::vector<std::string> jobs;
    for (int round = 0; round < 12; ++round) {
      const std::string id = "00000000000000" + std::to_string(10 + round);
      CallAnswer answer;
      do {
        answer = fixture.Submit(
            id, MakeJob(static_cast<int>(random.Between(1, 4)),
                        random.Chance(0.5) ? 8 : 2, random.Chance(0.5)));
      } while (answer.outcome != CallOutcome::kAccepted);
      jobs.push_back(id);
      const auto victim =
          fixture.listed[random.Below(fixture.listed.size())].id;
      ModelWorkerFaults& faults = fixture.workers.faults(victim);
      switch (random.Below(6)) {
        case 0:
          faults.silent = true;
          break;
        case 1:
          faults.late_orders = static_cast<int>(random.Between(1, 3));
          break;
        case 2:
          if (const int leader = fixture.Leader(); leader >= 0) {
            fixture.Kill(static_cast<size_t>(leader));
            fixture.AddNode("n" + std::to_string(10 + round));
          }
          break;
        case 3:
          fixture.store.faults().lose_commit_answers = 2;
          break;
        case 4:
          fixture.store.faults().late_commits = 2;
          break;
        default:
          fixture.store.DropHistory();
          break;
      }
      fixture.Run(Duration(random.Between(100, 3'000)));
      faults.silent = false;
    }
    fixture.store.faults() = {};
    for (const std::string& id : jobs)
      CHECK(fixture.RunUntilFinal(id, kLong) == JobPhase::kComplete);
    for (const std::string& it : fixture.workers.violations())
      FAIL_CHECK(it);
  }
}

}  // namespace quetzalshelf::batch
