// Tests of what shows that a worker has crashed under a task. A connection that
// breaks or is refused does not; a new process of the worker does, also when it
// is seen after the run was given up.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "servers/batch/job_state.h"
#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

constexpr char kJob[] = "00000000000000d7";
// Leases expire within this time of a cut.
constexpr Duration kCut{7'000};
constexpr Duration kTakeover{3'000};
constexpr Duration kShortOutage{4'500};
constexpr Duration kLongOutage{9'000};

// Runs until the first task of the job is at work.
WorkerId AwaitRun(LeaderFixture& fixture) {
  for (int n = 0; n < 300 && !fixture.workers.IsRunning(Task(kJob, 0)); ++n)
    fixture.Run(Duration(100));
  REQUIRE(fixture.workers.IsRunning(Task(kJob, 0)));
  return fixture.workers.HolderOf(Task(kJob, 0));
}

void MakeDeadly(LeaderFixture& fixture,
                ModelWorkers::CrashStyle style,
                Duration outage) {
  fixture.workers.set_crash_style(style, outage);
  fixture.workers.set_deadly_tasks(
      [](const TaskId& it) { return it == Task(kJob, 0); });
}

}  // namespace

// Guards against a job that is shown as failed because its worker was cut off
// again and again: connections were reset, and no process ended.
TEST_CASE("Cuts that reset connections are no crashes of workers") {
  LeaderFixture fixture(1, 1);
  fixture.run_time = Duration(600'000);
  Duration before_cut{2'500};
  bool replace_leader = false;
  SUBCASE("in the course of the run") {}
  SUBCASE("right after the start") {
    before_cut = Duration(200);
  }
  SUBCASE("with a change of leader before the worker is heard again") {
    before_cut = Duration(200);
    replace_leader = true;
  }
  fixture.Submit(kJob, MakeJob(1, 8, false));
  for (int n = 0; n < 6; ++n) {
    const WorkerId worker = AwaitRun(fixture);
    fixture.Run(before_cut);
    fixture.workers.CutOff(worker);
    fixture.Run(kCut);
    if (replace_leader) {
      fixture.Kill(fixture.nodes.size() - 1);
      fixture.AddNode("n" + std::to_string(n + 2));
      fixture.Run(kTakeover);
    }
    REQUIRE_FALSE(fixture.workers.IsRunning(Task(kJob, 0)));
    fixture.workers.Reconnect(worker);
  }
  AwaitRun(fixture);
  CHECK(fixture.State(kJob).phase == JobPhase::kRunning);
  CHECK(fixture.workers.violations().empty());
}

// Guards against a task that takes down one worker after the other because a
// worker without power shows nothing until it is back.
TEST_CASE("A task whose workers go dark is given up") {
  LeaderFixture fixture(2, 3);
  fixture.run_time = Duration(600'000);
  bool replace_leader = false;
  SUBCASE("and come back before their leases have expired") {
    MakeDeadly(fixture, ModelWorkers::CrashStyle::kSilent, kShortOutage);
  }
  SUBCASE("and come back after their leases have expired") {
    MakeDeadly(fixture, ModelWorkers::CrashStyle::kSilent, kLongOutage);
  }
  SUBCASE("and come back after a change of leader") {
    MakeDeadly(fixture, ModelWorkers::CrashStyle::kSilent, kLongOutage);
    replace_leader = true;
  }
  SUBCASE("for good") {
    MakeDeadly(fixture, ModelWorkers::CrashStyle::kForGood, Duration(0));
  }
  fixture.Submit(kJob, MakeJob(1, 8, false));
  JobPhase phase = JobPhase::kQueued;
  for (int n = 0; n < 1'000 && phase != JobPhase::kFailed; ++n) {
    fixture.Run(Duration(100));
    // A worker that is down is not listed.
    std::erase_if(fixture.listed, [&](const WorkerEntry& it) {
      return !fixture.workers.IsUp(it.id);
    });
    for (const std::string name : {"w00", "w01", "w02", "w10", "w11", "w12"}) {
      const WorkerId id(name);
      const bool listed =
          std::ranges::find(fixture.listed, id, &WorkerEntry::id) !=
          fixture.listed.end();
      if (!listed && fixture.workers.IsUp(id))
        fixture.listed.push_back(fixture.workers.entry(id));
    }
    if (replace_leader && fixture.workers.starts(Task(kJob, 0)) > 0) {
      // The run is lost, and its worker not yet back.
      replace_leader = false;
      fixture.Run(kCut);
      fixture.Kill(0);
      fixture.AddNode("n2");
    }
    phase = fixture.State(kJob).phase;
  }
  CHECK(phase == JobPhase::kFailed);
  // At most two more starts after three crashes.
  CHECK(fixture.workers.starts(Task(kJob, 0)) <= 5);
  fixture.Run(Duration(20'000));
  CHECK(fixture.workers.starts(Task(kJob, 0)) <= 5);
}

// Guards against a task that takes down more workers because the leader that
// knew of a crash was gone before it had noted it.
TEST_CASE("A crash counts although the leader changes before it is noted") {
  Duration before_change{2'400};
  SUBCASE("while the worker is down") {}
  SUBCASE("once the worker is back") {
    before_change = Duration(3'020);
  }
  for (const int changes : {1, 2, 3, 100}) {
    CAPTURE(changes);
    LeaderFixture fixture(2, 3);
    fixture.run_time = Duration(600'000);
    MakeDeadly(fixture, ModelWorkers::CrashStyle::kRefusing, Duration(3'000));
    fixture.Submit(kJob, MakeJob(1, 8, false));
    JobPhase phase = JobPhase::kQueued;
    int crashes = 0;
    for (int n = 0; n < 1'500 && phase != JobPhase::kFailed; ++n) {
      fixture.Run(Duration(20));
      if (fixture.workers.crashes() > crashes && crashes < changes) {
        crashes = fixture.workers.crashes();
        fixture.Run(before_change);
        fixture.Kill(fixture.nodes.size() - 1);
        fixture.AddNode("n" + std::to_string(crashes + 1));
      }
      phase = fixture.State(kJob).phase;
    }
    CHECK(phase == JobPhase::kFailed);
    // At most two more starts after three crashes.
    CHECK(fixture.workers.starts(Task(kJob, 0)) <= 5);
  }
}

// Guards against sound tasks that are blamed for the end of a process which had
// held them for an unknown time, or for one that goes on.
TEST_CASE("A recovered run says little of its worker's crash") {
  const TimePoint now = FromMillis(10'000);
  Worker worker;
  worker.counted_leases_end = FromMillis(60'000);
  Run run{.worker = WorkerId("w1"),
          .attempt = Attempt(1),
          .incarnation_start_wall_ms = 70,
          .phase = RunPhase::kRecovered,
          .ordered = true,
          .ordered_at = now,
          .started_at = now};
  const auto judge = [&](int64_t present) {
    worker.entry.incarnation_start_wall_ms = present;
    return worker.JudgeLoss(run, now);
  };
  CHECK(judge(80).has_crashed);
  CHECK(judge(80).evidence == CrashEvidence::kWeak);
  CHECK(judge(70).evidence == CrashEvidence::kNone);
  // The platform may still list a process from before.
  CHECK(judge(60).evidence == CrashEvidence::kNone);
  run.incarnation_start_wall_ms = 0;
  CHECK(judge(80).evidence == CrashEvidence::kNone);
  // Out of reach: settled against the process that held the run.
  run.incarnation_start_wall_ms = 70;
  worker.counted_leases_end = FromMillis(9'000);
  for (const int64_t present : {0, 60, 70}) {
    CHECK_FALSE(judge(present).has_crashed);
    CHECK(judge(present).incarnation_start_wall_ms == 70);
  }
}

// Guards against a successor that cannot tell which process held a run.
TEST_CASE("The row of a job keeps the processes of its runs") {
  JobRecord record;
  record.id = JobId(kJob);
  record.attempts = 3;
  record.spec = MakeJob(3, 1, false);
  const TimePoint now = FromMillis(10'000);
  Job job(record, now, Duration(0));
  const int64_t processes[] = {1'796'544'315'510, 0, 1'796'544'315'710};
  for (int n = 0; n < 3; ++n) {
    TaskProgress& task = *job.Find(Task(kJob, n));
    task.attempt = Attempt(1);
    task.run = Run{.worker = WorkerId("w" + std::to_string(n)),
                   .attempt = task.attempt,
                   .incarnation_start_wall_ms = processes[n]};
  }
  Job restored(record, now, Duration(0));
  REQUIRE(restored.RestoreState(job.EncodeState(), now));
  for (int n = 0; n < 3; ++n) {
    REQUIRE(restored.Find(Task(kJob, n))->run);
    CHECK(restored.Find(Task(kJob, n))->run->incarnation_start_wall_ms ==
          processes[n]);
  }
  // As a former version has written it.
  Job former(record, now, Duration(0));
  REQUIRE(former.RestoreState(
      R"({"workspace":"plaza","phase":"running","begun":true,)"
      R"("tasks":[[0,0,0,0,4,1,"cp","w0"]]})",
      now));
  REQUIRE(former.Find(Task(kJob, 0))->run);
  CHECK(former.Find(Task(kJob, 0))->run->incarnation_start_wall_ms == 0);
}

// Guards against a job that stands because the processes of its runs make its
// state larger than a row.
TEST_CASE("Processes are left out of a state that is too large with them") {
  constexpr int kTasks = 1'300;
  constexpr int kSuspect = 7;
  JobRecord record;
  record.id = JobId(kJob);
  record.attempts = 3;
  record.spec = MakeJob(kTasks, 1, false);
  const TimePoint now = FromMillis(10'000);
  Job job(record, now, Duration(0));
  for (int n = 0; n < kTasks; ++n) {
    TaskProgress& task = *job.Find(Task(kJob, n));
    task.attempt = Attempt(1);
    task.checkpoint = "00000bb87a21d9";
    task.run = Run{.worker = WorkerId("i-b613" + std::to_string(1'000 + n)),
                   .attempt = task.attempt,
                   .incarnation_start_wall_ms = 1'796'544'315'510 + n};
  }
  job.Find(Task(kJob, kSuspect))->crash_points = 1;
  const std::string value = job.EncodeState();
  CHECK(value.size() <= kMaxRowBytes);
  Job restored(record, now, Duration(0));
  REQUIRE(restored.RestoreState(value, now));
  for (int n = 0; n < kTasks; ++n) {
    CAPTURE(n);
    REQUIRE(restored.Find(Task(kJob, n))->run);
    CHECK(restored.Find(Task(kJob, n))->run->incarnation_start_wall_ms ==
          (n == kSuspect ? 1'796'544'315'510 + n : 0));
  }
}

// Guards against losses that are forgotten, or counted, at a change of leader.
TEST_CASE("The row of a job keeps its unclear losses") {
  JobRecord record;
  record.id = JobId(kJob);
  record.attempts = 3;
  record.spec = MakeJob(1, 8, false);
  const TimePoint now = FromMillis(10'000);
  Job job(record, now, Duration(0));
  const TaskId task = Task(kJob, 0);
  for (int n = 0; n < 3; ++n) {
    job.Find(task)->attempt = Attempt(static_cast<uint64_t>(n + 1));
    job.Find(task)->run = Run{.worker = WorkerId("w" + std::to_string(n)),
                              .attempt = job.Find(task)->attempt};
    CHECK(job.ApplyLoss(task, job.Find(task)->attempt,
                        {.evidence = CrashEvidence::kStrong,
                         .incarnation_start_wall_ms = 70 + n},
                        now));
  }
  Job restored(record, now, Duration(0));
  REQUIRE(restored.RestoreState(job.EncodeState(), now));
  for (Job* const it : {&job, &restored}) {
    CHECK(it->Find(task)->crash_points == 0);
    CHECK(Job::AwaitsUnclearLosses(*it->Find(task)));
    CHECK_FALSE(it->IsFinal());
    const auto settle = [&](int n, bool has_crashed) {
      return it->SettleLosses(task, has_crashed, [n](const UnclearLoss& loss) {
        return loss.worker == WorkerId("w" + std::to_string(n)) &&
               loss.incarnation_start_wall_ms == 70 + n;
      });
    };
    CHECK(settle(0, true) == CrashEvidence::kStrong);
    CHECK(settle(0, true) == std::nullopt);
    CHECK(settle(1, true) == CrashEvidence::kStrong);
    CHECK_FALSE(it->IsFinal());
    SUBCASE("the third worker was out of reach") {
      CHECK(settle(2, false) == CrashEvidence::kNone);
      CHECK_FALSE(it->IsFinal());
      CHECK_FALSE(Job::AwaitsUnclearLosses(*it->Find(task)));
    }
    SUBCASE("the third worker has crashed") {
      CHECK(settle(2, true) == CrashEvidence::kStrong);
      CHECK(it->phase() == JobPhase::kFailed);
    }
  }
}

// Guards against states of former versions that cannot be read.
TEST_CASE("A state row without unclear losses is read as before") {
  JobRecord record;
  record.id = JobId(kJob);
  record.attempts = 3;
  record.spec = MakeJob(1, 8, false);
  Job job(record, FromMillis(10'000), Duration(0));
  const char* const row =
      R"({"workspace":"plaza","phase":"running","begun":true,)"
      R"("tasks":[[0,0,0,0,4,1,"cp","",3]]})";
  REQUIRE(job.RestoreState(row, FromMillis(10'000)));
  CHECK(job.Find(Task(kJob, 0))->crash_points == 3);
  CHECK(job.Find(Task(kJob, 0))->unclear_losses.empty());
}

}  // namespace quetzalshelf::batch
