// State transitions of a job, and encoding of its row.

#include <doctest/doctest.h>

#include "servers/batch/job_codec.h"
#include "servers/batch/job_state.h"
#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

const WorkerId kWorker("w1");

Job MakeGangJob(int tasks) {
  JobRecord record;
  record.id = JobId("00000000000000a1");
  record.workspace = WorkspaceId("plaza");
  record.queue = QueueName("plans");
  record.service = ServiceName("desk");
  record.attempts = 2;
  record.slack_factor = 3;
  record.target_latency = Duration(1'000);
  record.spec = MakeJob(tasks, 8, true);
  return Job(std::move(record), FromMillis(10'000), Duration(500));
}

TaskId Task(const Job& job, int index) {
  return {job.record().id, 0, 0, index};
}

void StartAll(Job& job, uint64_t attempt) {
  for (TaskProgress& it : job.occurrences()[0].steps[0].tasks) {
    it.attempt = Attempt(attempt);
    it.run = Run{.worker = kWorker, .attempt = Attempt(attempt)};
  }
}

}  // namespace

TEST_CASE(
    "One failure of a gang counts once, and enough of them fail the job") {
  Job job = MakeGangJob(2);
  StartAll(job, 1);
  CHECK(
      job.ApplyEnd(Task(job, 0), Attempt(1), EndReason::kFailed, "", kWorker));
  CHECK(
      job.ApplyEnd(Task(job, 1), Attempt(1), EndReason::kBroken, "", kWorker));
  CHECK(job.Find(Task(job, 1))->failures == 1);
  CHECK(job.phase() == JobPhase::kQueued);
  StartAll(job, 2);
  job.ApplyEnd(Task(job, 0), Attempt(2), EndReason::kFailed, "", kWorker);
  job.ApplyEnd(Task(job, 1), Attempt(2), EndReason::kFailed, "", kWorker);
  CHECK(job.Find(Task(job, 0))->failures == 2);
  CHECK(job.phase() == JobPhase::kFailed);
}

// Guards against a job that is shown as failed too early, because a new leader
// counts the attempt again when a second member's end is listed to it.
TEST_CASE("A failed attempt of a gang counts once across a change of leader") {
  Job job = MakeGangJob(3);
  StartAll(job, 1);
  job.ApplyEnd(Task(job, 0), Attempt(1), EndReason::kFailed, "", kWorker);
  Job next = MakeGangJob(3);
  REQUIRE(next.RestoreState(job.EncodeState(), FromMillis(20'000)));
  CHECK(next.ApplyEnd(Task(next, 1), Attempt(1), EndReason::kFailed, "",
                      kWorker));
  CHECK(next.Find(Task(next, 0))->failures == 1);
  CHECK_FALSE(next.IsFinal());
  Job last = MakeGangJob(3);
  REQUIRE(last.RestoreState(next.EncodeState(), FromMillis(30'000)));
  CHECK(last.ApplyEnd(Task(last, 2), Attempt(1), EndReason::kFailed, "",
                      kWorker));
  CHECK(last.Find(Task(last, 0))->failures == 1);
  CHECK_FALSE(last.IsFinal());
  // A second attempt counts.
  StartAll(last, 2);
  last.ApplyEnd(Task(last, 0), Attempt(2), EndReason::kFailed, "", kWorker);
  CHECK(last.phase() == JobPhase::kFailed);
}

// Guards against states of former versions that cannot be read.
TEST_CASE("A state row without failed attempts of gangs is read as before") {
  Job job = MakeGangJob(2);
  const char* const row =
      R"({"workspace":"plaza","phase":"running","begun":true,)"
      R"("tasks":[[0,0,0,0,1,1,"","w1"],[0,0,1,0,1,1,"","w2"]]})";
  REQUIRE(job.RestoreState(row, FromMillis(20'000)));
  CHECK(job.Find(Task(job, 1))->failures == 1);
  CHECK(job.FindStep(Task(job, 0))->failed_attempt == Attempt());
}

// Guards against counting an end again that a worker lists a second time.
TEST_CASE("An end that was applied before changes nothing") {
  Job job = MakeGangJob(1);
  StartAll(job, 1);
  CHECK(
      job.ApplyEnd(Task(job, 0), Attempt(1), EndReason::kFailed, "", kWorker));
  CHECK_FALSE(
      job.ApplyEnd(Task(job, 0), Attempt(1), EndReason::kFailed, "", kWorker));
  CHECK(job.Find(Task(job, 0))->failures == 1);
}

TEST_CASE("A done end stands, whatever was believed of its run") {
  Job job = MakeGangJob(2);
  StartAll(job, 1);
  job.ApplyLoss(Task(job, 0), Attempt(1));
  CHECK(job.ApplyEnd(Task(job, 0), Attempt(1), EndReason::kDone, "", kWorker));
  CHECK(job.phase() == JobPhase::kComplete);
}

// Guards against reporting a different final phase than before: tasks may still
// complete while they are being stopped.
TEST_CASE("A final phase stays when tasks end later") {
  Job cancelled = MakeGangJob(2);
  StartAll(cancelled, 1);
  cancelled.Cancel();
  cancelled.ApplyEnd(Task(cancelled, 0), Attempt(1), EndReason::kDone, "",
                     kWorker);
  CHECK(cancelled.phase() == JobPhase::kCancelled);
  Job restored = MakeGangJob(2);
  REQUIRE(restored.RestoreState(cancelled.EncodeState(), FromMillis(12'000)));
  CHECK(restored.phase() == JobPhase::kCancelled);

  Job failed = MakeGangJob(1);
  StartAll(failed, 1);
  failed.ApplyLoss(Task(failed, 0), Attempt(1));
  for (uint64_t attempt = 2; attempt <= 3; ++attempt) {
    StartAll(failed, attempt);
    failed.ApplyEnd(Task(failed, 0), Attempt(attempt), EndReason::kFailed, "",
                    kWorker);
  }
  REQUIRE(failed.phase() == JobPhase::kFailed);
  failed.ApplyEnd(Task(failed, 0), Attempt(1), EndReason::kDone, "", kWorker);
  CHECK(failed.phase() == JobPhase::kFailed);

  Job complete = MakeGangJob(1);
  StartAll(complete, 1);
  complete.ApplyEnd(Task(complete, 0), Attempt(1), EndReason::kDone, "",
                    kWorker);
  complete.Cancel();
  CHECK(complete.phase() == JobPhase::kComplete);
}

TEST_CASE("A checkpoint of one member is valid for its gang") {
  Job job = MakeGangJob(2);
  StartAll(job, 1);
  job.SaveCheckpoint(Task(job, 1), "c1", FromMillis(11'000));
  CHECK(job.Find(Task(job, 0))->checkpoint == "c1");
}

TEST_CASE("The row of a job restores its progress") {
  Job job = MakeGangJob(2);
  StartAll(job, 3);
  job.set_begun();
  job.SaveCheckpoint(Task(job, 0), "c1", FromMillis(11'000));
  Job restored = MakeGangJob(2);
  REQUIRE(restored.RestoreState(job.EncodeState(), FromMillis(12'000)));
  CHECK(restored.phase() == JobPhase::kRunning);
  const TaskProgress& task = *restored.Find(Task(job, 1));
  REQUIRE(task.run);
  CHECK(task.run->phase == RunPhase::kRecovered);
  CHECK(task.run->worker == kWorker);
  CHECK(task.attempt == Attempt(3));
  CHECK(task.checkpoint == "c1");
  CHECK(DecodeStateSummary(job.EncodeState())->phase == JobPhase::kRunning);
}

// The row of a final job omits its tasks; the job must still never run again.
TEST_CASE("A job that is over stays so when it is restored") {
  Job job = MakeGangJob(2);
  StartAll(job, 1);
  job.ApplyEnd(Task(job, 0), Attempt(1), EndReason::kDone, "", kWorker);
  job.ApplyEnd(Task(job, 1), Attempt(1), EndReason::kDone, "", kWorker);
  Job restored = MakeGangJob(2);
  REQUIRE(restored.RestoreState(job.EncodeState(), FromMillis(12'000)));
  CHECK(restored.phase() == JobPhase::kComplete);
  CHECK(restored.IsFinal());
}

// Guards against an exception for a field of another type.
TEST_CASE("A state row with wrong types is refused") {
  for (const char* row :
       {R"({"phase":7,"workspace":"plaza","tasks":[]})",
        R"({"phase":"running","workspace":["plaza"],"tasks":[]})"}) {
    CAPTURE(row);
    CHECK_FALSE(DecodeStateSummary(row));
  }
  Job job = MakeGangJob(2);
  for (const char* row :
       {R"({"phase":7,"tasks":[]})", R"({"phase":"running","tasks":{"a":1}})",
        R"({"begun":"yes","tasks":[]})"}) {
    CAPTURE(row);
    CHECK_FALSE(job.RestoreState(row, FromMillis(20'000)));
  }
}

TEST_CASE("An unreadable row is refused") {
  Job job = MakeGangJob(1);
  CHECK_FALSE(job.RestoreState("", FromMillis(0)));
  CHECK_FALSE(
      job.RestoreState(R"({"tasks":[[0,0,9,0,1,0,"",""]]})", FromMillis(0)));
  CHECK_FALSE(job.RestoreState(R"({"tasks":[[0]]})", FromMillis(0)));
  CHECK_FALSE(DecodeStateSummary("[]"));
}

TEST_CASE("The record of a job survives its row") {
  Job job = MakeGangJob(3);
  JobRecord record = job.record();
  StepSpec& step = record.spec.steps[0];
  step.depends_on = {};
  step.checkpointing = step.rack_local = true;
  step.required_label = "a";
  step.data_rack = RackId("r1-2");
  step.max_per_worker = 2;
  step.max_unavailable = 3;
  record.spec.recurrence = {4, 1'700'000'000'000, Duration(4'500)};
  Findings findings;
  const auto read =
      DecodeJobRecord(record.id, EncodeJobRecord(record), findings);
  REQUIRE(read);
  CHECK(findings.empty());
  CHECK(EncodeJobRecord(*read) == EncodeJobRecord(record));
  CHECK(read->spec.steps[0].max_unavailable == 3);
  CHECK_FALSE(DecodeJobRecord(record.id, "{}", findings));
  CHECK_FALSE(findings.empty());
}

TEST_CASE("The objective counts from the acceptance") {
  Job job = MakeGangJob(1);
  // Accepted at 9,500 ms; three times 2,500 ms and 1,000 ms more.
  CHECK(job.Objective() == FromMillis(18'000));
}

TEST_CASE("Names of tasks are read back") {
  const TaskId task{JobId("5c0e7a21d94b36f8"), 2, 1, 17};
  TaskId read;
  REQUIRE(ParseTaskId(ToString(task), read));
  CHECK(read == task);
  CHECK_FALSE(ParseTaskId("5c0e7a21d94b36f8", read));
  CHECK_FALSE(ParseTaskId("a.b.c.d", read));
}

}  // namespace quetzalshelf::batch
