// Tests of runs that a leader takes over from a former one, or that turn out
// later to be obsolete.

#include <doctest/doctest.h>

#include <string>

#include <nlohmann/json.hpp>

#include "servers/batch/job_codec.h"
#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

constexpr char kFinishedJob[] = "00000000000000f9";

using nlohmann::json;

constexpr char kJob[] = "00000000000000c1";
// A new leader leads and has synced all workers by then.
constexpr Duration kTakeover{3'000};

// Replaces the leader while the worker of the job's task is cut off, so that no
// order of the former leader's last second reaches that worker.
template <typename Change>
void ReplaceLeaderDuringCut(LeaderFixture& fixture,
                            const WorkerId& worker,
                            const Change& change) {
  fixture.workers.faults(worker).silent = true;
  change();
  fixture.Run(Duration(800));
  fixture.Kill(0);
  fixture.AddNode("n2");
  fixture.Run(Duration(1'500));
  fixture.workers.faults(worker).silent = false;
  fixture.Run(kTakeover);
}

// Changes the stored state of the job.
template <typename Change>
void EditState(LeaderFixture& fixture, const Change& change) {
  const std::optional<StoreRow> row =
      fixture.store.Find(StateRowKey(JobId(kJob)));
  REQUIRE(row);
  json state = json::parse(row->value);
  change(state);
  fixture.store.Put(row->id, state.dump());
}

}  // namespace

// Guards against starts in a failure domain that is out of service, which a
// former leader had recorded before.
TEST_CASE("A new leader repeats no start in an evacuated failure domain") {
  LeaderFixture fixture(1, 2);
  bool gang = false;
  SUBCASE("tasks") {}
  SUBCASE("a gang") {
    gang = true;
  }
  if (gang)
    fixture.workers.set_gang_size([](const StartOrder&) { return 2; });
  fixture.AddNode("n2");
  fixture.Run(Duration(1'000));
  for (const WorkerEntry& it : fixture.listed)
    fixture.workers.faults(it.id).silent = true;
  fixture.Submit(kJob, MakeJob(2, 8, gang), "/holds/");
  fixture.Run(Duration(200));
  fixture.Kill(static_cast<size_t>(fixture.Leader()));
  fixture.site.SetEvacuated(DomainId("cartago"), true);
  fixture.Run(Duration(2'000));
  for (const WorkerEntry& it : fixture.listed)
    fixture.workers.faults(it.id).silent = false;
  fixture.Run(kTakeover);
  CHECK(fixture.workers.total_starts() == 0);
  fixture.site.SetEvacuated(DomainId("cartago"), false);
  CHECK(fixture.RunUntilFinal(kJob, Duration(20'000)) == JobPhase::kComplete);
  CHECK(fixture.workers.violations().empty());
}

// Guards against starts in a failure domain that is out of service, by a leader
// that cannot know it yet: its view was current when the start was chosen, or
// it has taken the start over before its view is.
TEST_CASE("A leader with an old view of the site sends no recorded start") {
  LeaderFixture fixture(1, 2);
  bool new_leader = false;
  SUBCASE("its own start, stored late") {
    fixture.store.set_answer_time(Duration(1'400));
  }
  SUBCASE("a start of a former leader") {
    new_leader = true;
    for (const WorkerEntry& it : fixture.listed)
      fixture.workers.faults(it.id).silent = true;
  }
  fixture.Submit(kJob, MakeJob(2, 8, false), "/holds/");
  fixture.follows_site = false;
  if (new_leader) {
    fixture.Run(Duration(200));
    fixture.Kill(0);
    fixture.Run(kMaxViewAge);
    fixture.AddNode("n2");
    for (const WorkerEntry& it : fixture.listed)
      fixture.workers.faults(it.id).silent = false;
  }
  fixture.Run(Duration(6'000));
  CHECK(fixture.workers.total_starts() == 0);
  fixture.store.set_answer_time(Duration(2));
  fixture.site.SetEvacuated(DomainId("cartago"), true);
  fixture.follows_site = true;
  fixture.Run(kTakeover);
  CHECK(fixture.workers.total_starts() == 0);
  fixture.site.SetEvacuated(DomainId("cartago"), false);
  CHECK(fixture.RunUntilFinal(kJob, Duration(20'000)) == JobPhase::kComplete);
  CHECK(fixture.workers.violations().empty());
}

// Guards against a cancelled job's task that runs on forever because the stop
// orders of the leader that cancelled it were lost with that leader.
TEST_CASE("A new leader stops the tasks of a cancelled job") {
  LeaderFixture fixture(1, 1);
  fixture.run_time = Duration(600'000);
  JobSpec spec = MakeJob(1, 1, false);
  SUBCASE("lasting") {
    spec.steps[0].long_running = true;
  }
  SUBCASE("with an end") {}
  fixture.Submit(kJob, spec);
  fixture.Run(Duration(300));
  REQUIRE(fixture.workers.running() == 1);
  ReplaceLeaderDuringCut(fixture, fixture.listed[0].id,
                         [&] { fixture.Cancel(kJob); });
  CHECK(fixture.State(kJob).phase == JobPhase::kCancelled);
  CHECK(fixture.workers.running() == 0);
  CHECK(fixture.workers.total_starts() == 1);
}

// Guards against tasks that run on forever after their job has failed, because
// the leader that stopped them died before its orders arrived.
TEST_CASE("A new leader stops the tasks of a failed job") {
  LeaderFixture fixture(1, 1);
  fixture.run_time = Duration(600'000);
  fixture.Submit(kJob, MakeJob(1, 1, false));
  fixture.Run(Duration(300));
  REQUIRE(fixture.workers.running() == 1);
  fixture.Kill(0);
  EditState(fixture, [](json& state) { state["phase"] = "failed"; });
  fixture.AddNode("n2");
  fixture.Run(kTakeover);
  CHECK(fixture.State(kJob).phase == JobPhase::kFailed);
  CHECK(fixture.workers.running() == 0);
}

// Guards against a second run of a task that goes on after a change of leader
// although the first one has ended as done.
TEST_CASE("A new leader stops the runs of tasks that are done") {
  LeaderFixture fixture(1, 1);
  fixture.run_time = Duration(600'000);
  fixture.Submit(kJob, MakeJob(2, 1, false));
  fixture.Run(Duration(300));
  REQUIRE(fixture.workers.running() == 2);
  fixture.Kill(0);
  constexpr size_t kDoneColumn = 3;
  EditState(fixture, [](json& state) { state["tasks"][0][kDoneColumn] = 1; });
  fixture.AddNode("n2");
  fixture.Run(kTakeover);
  CHECK_FALSE(fixture.workers.IsRunning(Task(kJob, 0)));
  CHECK(fixture.workers.IsRunning(Task(kJob, 1)));
  CHECK(fixture.workers.total_starts() == 2);
}

// Guards against a repeated run that goes on for nothing, and outlives the
// cancelling of its job, once its worker's first run is known to be done.
TEST_CASE("A repeated run is stopped when the first one has ended as done") {
  LeaderFixture fixture(1, 2);
  fixture.run_time = Duration(3'000);
  fixture.Submit(kJob, MakeJob(1, 8, false));
  fixture.Run(Duration(300));
  REQUIRE(fixture.workers.running() == 1);
  const WorkerId first = fixture.workers.HolderOf(Task(kJob, 0));
  fixture.nodes[0].workers->set_cut({first});
  fixture.run_time = Duration(600'000);
  fixture.Run(Duration(8'000));
  REQUIRE(fixture.workers.starts(Task(kJob, 0)) == 2);
  fixture.nodes[0].workers->set_cut({});
  fixture.Run(Duration(1'500));
  CHECK(fixture.State(kJob).phase == JobPhase::kComplete);
  CHECK(fixture.workers.running() == 0);
}

// Guards against a job that is shown as failed too early: its gang's members
// list their failed ends to two leaders, one after the other.
TEST_CASE("Ends of a gang that two leaders learn of are one failed attempt") {
  LeaderFixture fixture(1, 2);
  fixture.workers.set_gang_size([](const StartOrder&) { return 2; });
  fixture.workers.set_gang_news_delay(Duration(2));
  for (const WorkerEntry& it : fixture.listed)
    fixture.workers.faults(it.id).fails_tasks = true;
  const auto await_starts = [&](int starts) {
    for (int n = 0; n < 2'000 && fixture.workers.total_starts() < starts; ++n)
      fixture.Run(Duration(10));
    REQUIRE(fixture.workers.total_starts() == starts);
  };
  fixture.Submit(kJob, MakeJob(2, 8, true));
  await_starts(2);
  const WorkerId second = fixture.workers.HolderOf(Task(kJob, 1));
  fixture.workers.faults(second).silent = true;
  fixture.Run(Duration(800));
  REQUIRE(fixture.workers.failures(Task(kJob, 0)) == 1);
  REQUIRE(fixture.workers.failures(Task(kJob, 1)) == 1);
  fixture.Kill(0);
  fixture.AddNode("n2");
  fixture.Run(Duration(1'500));
  fixture.workers.faults(second).silent = false;
  // The job has three attempts. The second one fails as well.
  await_starts(4);
  fixture.Run(Duration(500));
  for (const WorkerEntry& it : fixture.listed)
    fixture.workers.faults(it.id).fails_tasks = false;
  CHECK(fixture.RunUntilFinal(kJob, Duration(60'000)) == JobPhase::kComplete);
  CHECK(fixture.workers.starts(Task(kJob, 0)) == 3);
}

TEST_CASE("A finished job does not run again when its rows outlive it") {
  LeaderFixture fixture;
  fixture.Submit(kFinishedJob, MakeJob(1, 1, false));
  REQUIRE(fixture.RunUntilFinal(kFinishedJob, Duration(10'000)) ==
          JobPhase::kComplete);
  // The leader deletes the rows of a finished job after four minutes.
  fixture.Run(Duration(236'000));
  fixture.store.faults().refuse = true;
  fixture.Run(Duration(12'000));
  fixture.store.faults().refuse = false;
  fixture.store.DropHistory();
  fixture.Run(Duration(3'000));
  CHECK(fixture.workers.total_starts() == 1);
  fixture.Run(Duration(10'000));
  CHECK_FALSE(fixture.store.Find(JobRowKey(JobId(kFinishedJob))));
}

}  // namespace quetzalshelf::batch
