#include "drivers/worker/worker_model.h"

#include <doctest/doctest.h>

#include "drivers/clock/manual_task_runner.h"
#include "drivers/worker/in_process_workers.h"

namespace quetzalshelf {
namespace {

constexpr Duration kLease{30'000};
constexpr Duration kClockOffset{5'000'000};
const RegionId kRegion("r");
const IncarnationId kIncarnation("i1");

WorkerModelOptions TestOptions() {
  WorkerModelOptions options;
  options.worker = WorkerId("w");
  options.incarnation = kIncarnation;
  options.capacity = {Accelerators(8), MilliCores(64'000), Mebibytes(1'000)};
  options.checkpoint_time = Duration(500);
  options.usage_lag = Duration(2'000);
  options.clock_offset = kClockOffset;
  return options;
}

GangKey Key(const char* job, uint64_t attempt) {
  return {JobId(job), Attempt(attempt)};
}

// One worker whose time starts at 1000 s; commands have epoch 5 and a deadline
// 3 s ahead unless a test changes them.
struct ModelHarness {
  WorkerModel model{TestOptions()};
  TimePoint now = FromMillis(1'000'000);
  Epoch epoch{5};

  ModelHarness() { REQUIRE(Sync().ok()); }

  TimePoint Deadline() const { return now + kClockOffset + Duration(3'000); }

  absl::StatusOr<SyncReply> Sync(uint64_t acknowledged = 0) {
    return model.Sync({kRegion, epoch, kLease, kIncarnation, acknowledged},
                      now);
  }
  PrepareRequest PrepareMessage(const GangKey& gang, int tasks = 2) const {
    PrepareRequest request{kRegion, epoch, kIncarnation, Deadline(), gang};
    request.payload = R"({"run_ms":10000,"result":"r"})";
    for (int i = 0; i < tasks; ++i) {
      request.tasks.push_back(
          {i, {Accelerators(2), MilliCores(1'000), Mebibytes(10)}});
    }
    return request;
  }
  absl::Status Prepare(const GangKey& gang, int tasks = 2) {
    return model.Prepare(PrepareMessage(gang, tasks), now);
  }
  absl::Status Run(const GangKey& gang) {
    return model.Run({kRegion, epoch, kIncarnation, Deadline(), gang}, now);
  }
  absl::Status Act(const GangKey& gang, GangAction action, int percent = 100) {
    return model.Act({kRegion, epoch, gang, action, percent}, now);
  }
  void Start(const GangKey& gang) {
    REQUIRE(Prepare(gang).ok());
    REQUIRE(Run(gang).ok());
  }
  TaskReport First() { return model.Tasks(now).at(0); }
};

// Guards against a fenced owner that still starts or stops tasks.
TEST_CASE("WorkerModel refuses an epoch below the largest seen in the region") {
  ModelHarness harness;
  harness.Start(Key("j", 1));
  harness.epoch = Epoch(4);
  CHECK(absl::IsFailedPrecondition(harness.Sync().status()));
  CHECK(absl::IsFailedPrecondition(harness.Prepare(Key("k", 1))));
  CHECK(absl::IsFailedPrecondition(harness.Run(Key("j", 1))));
  CHECK(
      absl::IsFailedPrecondition(harness.Act(Key("j", 1), GangAction::kStop)));
  CHECK(harness.First().state == TaskState::kRunning);
  const SyncRequest other{RegionId("other"), Epoch(1), kLease, kIncarnation, 0};
  CHECK(harness.model.Sync(other, harness.now).ok());
  harness.epoch = Epoch(6);
  CHECK(harness.Sync().ok());
  harness.epoch = Epoch(5);
  CHECK(absl::IsFailedPrecondition(harness.Sync().status()));
}

// Guards against a start that was meant for the worker before its restart.
TEST_CASE("WorkerModel refuses another incarnation") {
  ModelHarness harness;
  PrepareRequest prepare = harness.PrepareMessage(Key("j", 1));
  prepare.incarnation = IncarnationId("i0");
  CHECK(
      absl::IsFailedPrecondition(harness.model.Prepare(prepare, harness.now)));
  REQUIRE(harness.Prepare(Key("j", 1)).ok());
  const RunRequest run{kRegion, harness.epoch, IncarnationId("i0"),
                       harness.Deadline(), Key("j", 1)};
  CHECK(absl::IsFailedPrecondition(harness.model.Run(run, harness.now)));
  CHECK(harness.First().state == TaskState::kPrepared);
}

// Guards against a start in a failure domain that has been out of service for
// longer than the deadline allows.
TEST_CASE("WorkerModel refuses starts after the deadline on its own clock") {
  ModelHarness harness;
  const PrepareRequest prepare = harness.PrepareMessage(Key("j", 1));
  const RunRequest run{kRegion, harness.epoch, kIncarnation, harness.Deadline(),
                       Key("j", 1)};
  harness.now += Duration(3'000);
  CHECK(harness.model.Prepare(prepare, harness.now).ok());
  CHECK(absl::IsFailedPrecondition(
      harness.model.Run(run, harness.now + Duration(1))));
  CHECK(absl::IsFailedPrecondition(harness.model.Prepare(
      harness.PrepareMessage(Key("k", 1)), harness.now + Duration(3'001))));
  CHECK(harness.Sync()->clock == harness.now + kClockOffset);
}

// Guards against tasks that run on after their owner has given them up.
TEST_CASE("WorkerModel stops tasks when their lease lapses") {
  ModelHarness harness;
  PrepareRequest prepare = harness.PrepareMessage(Key("j", 1));
  prepare.payload = R"({"run_ms":100000})";
  REQUIRE(harness.model.Prepare(prepare, harness.now).ok());
  REQUIRE(harness.Run(Key("j", 1)).ok());
  harness.now += kLease - Duration(1);
  CHECK(harness.First().state == TaskState::kRunning);
  harness.now += Duration(1'000);
  CHECK(harness.First().state == TaskState::kStopped);
  CHECK(harness.First().progress == kLease);
  CHECK(harness.model.used() == Resources());
  CHECK(absl::IsFailedPrecondition(harness.Prepare(Key("k", 1))));
  CHECK(harness.Sync().ok());
  CHECK(harness.Prepare(Key("k", 1)).ok());
  CHECK(absl::IsFailedPrecondition(harness.Prepare(Key("j", 1))));
}

// Guards against a renewal that comes just in time being counted from the
// lapse of the lease before.
TEST_CASE("WorkerModel counts a lease from its last renewal") {
  ModelHarness harness;
  PrepareRequest prepare = harness.PrepareMessage(Key("j", 1));
  prepare.payload = R"({"run_ms":100000})";
  REQUIRE(harness.model.Prepare(prepare, harness.now).ok());
  REQUIRE(harness.Run(Key("j", 1)).ok());
  for (int i = 0; i < 3; ++i) {
    harness.now += kLease - Duration(1);
    REQUIRE(harness.Sync().ok());
  }
  CHECK(harness.First().state == TaskState::kRunning);
}

// Guards against a delayed Prepare or Run that revives an abandoned attempt.
TEST_CASE("WorkerModel refuses a stopped attempt for good") {
  ModelHarness harness;
  CHECK(harness.Act(Key("j", 2), GangAction::kStop).ok());
  CHECK(absl::IsFailedPrecondition(harness.Prepare(Key("j", 2))));
  CHECK(absl::IsFailedPrecondition(harness.Prepare(Key("j", 1))));
  harness.Start(Key("j", 3));
  CHECK(harness.Act(Key("j", 3), GangAction::kStop).ok());
  CHECK(harness.Act(Key("j", 3), GangAction::kStop).ok());
  CHECK(absl::IsFailedPrecondition(harness.Run(Key("j", 3))));
  CHECK(harness.First().state == TaskState::kStopped);
  REQUIRE(harness.Sync(1'000).ok());
  CHECK(harness.model.Tasks(harness.now).empty());
  CHECK(absl::IsFailedPrecondition(harness.Prepare(Key("j", 3))));
}

// Guards against duplicated messages that start a task twice or fail a start.
TEST_CASE("WorkerModel takes repeated commands as one") {
  ModelHarness harness;
  CHECK(harness.Prepare(Key("j", 1)).ok());
  CHECK(harness.Prepare(Key("j", 1)).ok());
  CHECK(harness.model.used().accelerators == Accelerators(4));
  CHECK(absl::IsFailedPrecondition(harness.Prepare(Key("j", 1), 3)));
  CHECK(harness.Run(Key("j", 1)).ok());
  harness.now += Duration(1'000);
  CHECK(harness.Run(Key("j", 1)).ok());
  CHECK(harness.First().progress == Duration(1'000));
  CHECK(absl::IsFailedPrecondition(harness.Run(Key("k", 1))));
}

// Guards against two attempts of one job that run at once.
TEST_CASE("WorkerModel lets a newer attempt replace an older one") {
  ModelHarness harness;
  harness.Start(Key("j", 1));
  harness.Start(Key("j", 2));
  CHECK(harness.First().state == TaskState::kStopped);
  CHECK(absl::IsFailedPrecondition(harness.Prepare(Key("j", 1))));
}

// Guards against more tasks than the worker has capacity for.
TEST_CASE("WorkerModel refuses what does not fit") {
  ModelHarness harness;
  CHECK(harness.Prepare(Key("j", 1), 3).ok());
  CHECK(absl::IsResourceExhausted(harness.Prepare(Key("k", 1), 2)));
  CHECK(harness.Prepare(Key("k", 1), 1).ok());
  harness.now += Duration(3'000) + WorkerModel::kPreparedGrace;
  CHECK(harness.model.Tasks(harness.now).at(0).state == TaskState::kStopped);
  CHECK(harness.Prepare(Key("l", 1), 4).ok());
}

// Guards against reports that are lost when an answer is lost, or repeated
// after they were processed.
TEST_CASE("WorkerModel reports changes until they are acknowledged") {
  ModelHarness harness;
  harness.Start(Key("j", 1));
  const SyncReply first = *harness.Sync();
  CHECK(first.reports.size() == 2);
  CHECK(first.held == std::vector{Key("j", 1)});
  CHECK(harness.Sync(first.sequence)->reports.empty());
  CHECK(harness.Sync(first.sequence)->held.empty());
  harness.now += Duration(10'000);
  const SyncReply second = *harness.Sync(first.sequence);
  REQUIRE(second.reports.size() == 2);
  CHECK(second.reports[0].state == TaskState::kFinished);
  CHECK(second.reports[0].result == "r");
  CHECK(harness.Sync(first.sequence)->reports.size() == 2);
  CHECK(harness.Sync(second.sequence)->reports.empty());
  // A new owner still finds the result.
  CHECK(harness.Sync()->reports.size() == 2);
  CHECK(harness.Act(Key("j", 1), GangAction::kStop).ok());
  CHECK(harness.Sync(second.sequence)->reports.empty());
  CHECK(harness.Sync()->held.empty());
}

// Guards against a checkpoint counted before it is complete.
TEST_CASE("WorkerModel completes a checkpoint only after its time") {
  ModelHarness harness;
  harness.Start(Key("j", 1));
  harness.now += Duration(1'000);
  REQUIRE(harness.Act(Key("j", 1), GangAction::kCheckpoint).ok());
  harness.now += Duration(499);
  CHECK(harness.First().state == TaskState::kCheckpointing);
  CHECK(harness.First().checkpointed == Duration(0));
  harness.now += Duration(1);
  CHECK(harness.First().state == TaskState::kRunning);
  CHECK(harness.First().checkpointed == Duration(1'000));
  harness.now += Duration(100);
  REQUIRE(harness.Act(Key("j", 1), GangAction::kCheckpoint).ok());
  harness.now += Duration(100);
  REQUIRE(harness.Act(Key("j", 1), GangAction::kStop).ok());
  CHECK(harness.First().checkpointed == Duration(1'000));
  CHECK(harness.First().progress == Duration(1'100));
}

// Guards against work that is counted at full speed while throttled.
TEST_CASE("WorkerModel slows down, resumes and measures use") {
  ModelHarness harness;
  PrepareRequest prepare = harness.PrepareMessage(Key("j", 1));
  prepare.resume_from = Duration(4'000);
  REQUIRE(harness.model.Prepare(prepare, harness.now).ok());
  REQUIRE(harness.Run(Key("j", 1)).ok());
  harness.now += Duration(1'000);
  REQUIRE(harness.Act(Key("j", 1), GangAction::kThrottle, 50).ok());
  harness.now += Duration(2'000);
  CHECK(harness.First().progress == Duration(6'000));
  CHECK(harness.First().accelerators_used == Accelerators(2));
  harness.now += Duration(7'999);
  CHECK(harness.First().state == TaskState::kRunning);
  harness.now += Duration(1);
  CHECK(harness.First().state == TaskState::kFinished);
}

// Guards against faulty workers and faulty tasks that look healthy.
TEST_CASE("WorkerModel fails tasks by its faults and by their payload") {
  ModelHarness harness;
  PrepareRequest prepare = harness.PrepareMessage(Key("j", 1), 1);
  prepare.payload = R"({"run_ms":100,"fail":true})";
  REQUIRE(harness.model.Prepare(prepare, harness.now).ok());
  REQUIRE(harness.Run(Key("j", 1)).ok());
  harness.now += Duration(100);
  CHECK(harness.First().state == TaskState::kFailed);
  CHECK_FALSE(harness.First().error.empty());
  harness.model.faults().fail_tasks = true;
  harness.Start(Key("a", 1));
  CHECK(harness.First().state == TaskState::kFailed);
  harness.model.faults().refuse_starts = true;
  CHECK(absl::IsResourceExhausted(harness.Prepare(Key("b", 1))));
}

// An InProcessWorkers port with one synced worker.
struct PortHarness {
  ManualTaskRunner runner;
  InProcessWorkers port{runner, runner, Duration(1'000)};
  WorkerModel& model = port.AddWorker(TestOptions());
  WorkerAddress address{WorkerId("w"), "", 0};

  PortHarness() {
    port.Sync(address, {kRegion, Epoch(1), kLease, kIncarnation, 0},
              [](const auto&) {});
    runner.RunReady();
  }

  PrepareRequest Message() const {
    PrepareRequest request{kRegion, Epoch(1), kIncarnation,
                           runner.Now() + kClockOffset + Duration(3'000),
                           Key("j", 1)};
    request.tasks.push_back({0, {Accelerators(1)}});
    return request;
  }
};

// Guards against a simulated network whose faults do not reach the worker or
// the caller as described.
TEST_CASE("InProcessWorkers loses, delays and duplicates messages") {
  PortHarness harness;
  WorkerDelivery delivery;
  harness.port.SetFaultHook([&](const WorkerMessage&) { return delivery; });
  std::optional<absl::Status> status;
  int answers = 0;
  const auto prepare = [&] {
    status.reset();
    harness.port.Prepare(harness.address, harness.Message(),
                         [&](absl::Status it) {
                           status = std::move(it);
                           ++answers;
                         });
    harness.runner.RunReady();
  };
  SUBCASE("a lost request does nothing") {
    delivery.lose_request = true;
    prepare();
    harness.runner.Advance(Duration(1'000));
    CHECK(absl::IsDeadlineExceeded(*status));
    CHECK(harness.model.Tasks(harness.runner.Now()).empty());
  }
  SUBCASE("a lost reply leaves the effect") {
    delivery.lose_reply = true;
    prepare();
    harness.runner.Advance(Duration(1'000));
    CHECK(absl::IsDeadlineExceeded(*status));
    CHECK(harness.model.Tasks(harness.runner.Now()).size() == 1);
  }
  SUBCASE("a request delayed beyond its deadline is refused") {
    delivery.request_delay = Duration(3'001);
    prepare();
    harness.runner.Advance(Duration(4'000));
    CHECK(absl::IsDeadlineExceeded(*status));
    CHECK(harness.model.Tasks(harness.runner.Now()).empty());
  }
  SUBCASE("a duplicate gives one answer") {
    delivery.duplicate_after = Duration(10);
    prepare();
    harness.runner.Advance(Duration(2'000));
    CHECK(status->ok());
    CHECK(answers == 1);
    CHECK(harness.model.Tasks(harness.runner.Now()).size() == 1);
  }
  SUBCASE("a worker that is gone is not reached") {
    harness.port.RemoveWorker(WorkerId("w"));
    prepare();
    CHECK(absl::IsUnavailable(*status));
  }
}

// Guards against a Stop that is overtaken by the Prepare which it follows.
TEST_CASE("InProcessWorkers reorders messages and the stop still holds") {
  PortHarness harness;
  harness.port.SetFaultHook([](const WorkerMessage& message) {
    WorkerDelivery delivery;
    if (message.kind == WorkerMessageKind::kPrepare)
      delivery.request_delay = Duration(200);
    return delivery;
  });
  std::optional<absl::Status> prepared;
  harness.port.Prepare(harness.address, harness.Message(),
                       [&](absl::Status it) { prepared = std::move(it); });
  harness.port.Act(harness.address,
                   {kRegion, Epoch(1), Key("j", 1), GangAction::kStop},
                   [](const absl::Status&) {});
  harness.runner.Advance(Duration(500));
  CHECK(absl::IsFailedPrecondition(*prepared));
  CHECK(harness.model.Tasks(harness.runner.Now()).empty());
}

}  // namespace
}  // namespace quetzalshelf
