// Tests of workers whose process restarts under the same id, so that their
// clock starts anew, before the leader knows of it.

#include <doctest/doctest.h>

#include <utility>
#include <vector>

#include "servers/batch/lease_handover.h"
#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

constexpr char kJob[] = "00000000000000e1";
// Far longer than any lease, so that a lease on the clock of the former process
// exceeds the limit on the new one.
constexpr Duration kFormerLife{30'000};

constexpr Duration kLongLease{10'000};

// One leader that has synced all workers, which grant leases of up to 10 s.
struct LongLeaseFixture : BatchFixture {
  LongLeaseFixture() : BatchFixture(1, 2) {
    workers.set_longest_lease(kLongLease);
    dispatcher_options.lease_limits.longest = kLongLease;
    run_time = Duration(60'000);
    AddNode("n1");
    Run(kFormerLife);
  }
};

void RestartUnnoticed(BatchFixture& fixture, const WorkerId& worker) {
  fixture.workers.Restart(worker, 2);
}

// Runs until a worker holds the first task of the job.
WorkerId AwaitHolder(BatchFixture& fixture, const char* job) {
  for (int n = 0; n < 100 && !fixture.workers.IsRunning(Task(job, 0)); ++n)
    fixture.Run(Duration(10));
  REQUIRE(fixture.workers.IsRunning(Task(job, 0)));
  return fixture.workers.HolderOf(Task(job, 0));
}

// Its process was heard at 1,000 ms.
Worker MakeHeardWorker(Duration longest_lease) {
  Worker worker;
  worker.lease_limits.longest = longest_lease;
  worker.ObserveClock(100'000, FromMillis(1'000));
  return worker;
}

// When a lease has ended on a clock at 0.98 of the true speed.
TimePoint EndOnSlowClock(TimePoint from, Duration length) {
  return from + Duration(static_cast<int64_t>(
                    static_cast<double>(length.count()) / 0.98));
}

}  // namespace

// Guards against a task that runs twice because its worker, restarted with a
// new clock, grants itself a longer lease than the leader counts with.
TEST_CASE("A task started on a restarted worker does not run twice") {
  LeaderFixture fixture(1, 2);
  fixture.run_time = Duration(20'000);
  fixture.Run(kFormerLife);
  SUBCASE("cut off after the answer to the start") {}
  SUBCASE("cut off before the answer to the start") {
    for (const WorkerEntry& it : fixture.listed) {
      fixture.workers.faults(it.id).late_orders = 1;
      fixture.workers.faults(it.id).lateness = Duration(2);
    }
  }
  for (const WorkerEntry& it : fixture.listed)
    RestartUnnoticed(fixture, it.id);
  fixture.Submit(kJob, MakeJob(1, 8, false));
  const WorkerId holder = AwaitHolder(fixture, kJob);
  fixture.workers.faults(holder).silent = true;
  fixture.Run(Duration(10'000));
  CHECK(fixture.workers.starts(Task(kJob, 0)) == 2);
  CHECK(fixture.workers.violations().empty());
}

// Guards against a task that runs twice on a platform whose workers grant
// longer leases than the leader, or its successor, counts with.
TEST_CASE("Leases of 10 s on restarted workers let no task run twice") {
  LongLeaseFixture fixture;
  bool answered = false;
  bool killed = false;
  bool resigned = false;
  SUBCASE("cut off after the answer to the start") {
    answered = true;
  }
  SUBCASE("cut off before the answer to the start") {}
  SUBCASE("the leader is killed") {
    killed = true;
  }
  SUBCASE("the leader is killed after the answer to the start") {
    answered = killed = true;
  }
  SUBCASE("the leader resigns") {
    resigned = true;
  }
  for (const WorkerEntry& it : fixture.listed) {
    RestartUnnoticed(fixture, it.id);
    fixture.workers.faults(it.id).late_orders = answered ? 0 : 1;
    fixture.workers.faults(it.id).lateness = Duration(2);
  }
  fixture.Submit(kJob, MakeJob(1, 8, false));
  const WorkerId holder = AwaitHolder(fixture, kJob);
  if (resigned)
    fixture.Resign(0);
  fixture.Run(Duration(20));
  fixture.workers.faults(holder).silent = true;
  if (killed)
    fixture.Kill(0);
  // The platform lists the present processes by now.
  for (WorkerEntry& it : fixture.listed)
    it.incarnation_start_wall_ms = 2;
  if (killed || resigned)
    fixture.AddNode("n2");
  fixture.Run(Duration(25'000));
  CHECK(fixture.workers.starts(Task(kJob, 0)) == 2);
  CHECK(fixture.workers.violations().empty());
}

// Guards against lost runs that wait for the longest lease although the answer
// to their start has shown that their worker granted a shorter one.
TEST_CASE("A confirmed run is given up when its own lease has ended") {
  LongLeaseFixture fixture;
  fixture.Submit(kJob, MakeJob(1, 8, false));
  const WorkerId holder = AwaitHolder(fixture, kJob);
  fixture.Run(Duration(300));
  fixture.workers.faults(holder).silent = true;
  fixture.Run(kLeaseLength + Duration(1'000));
  CHECK(fixture.workers.starts(Task(kJob, 0)) == 2);
  CHECK(fixture.workers.violations().empty());
}

// Guards against a hand-over that prolongs a lease beyond what the successor
// counts with, on a worker whose restarted process may hold a run.
TEST_CASE("A hand-over renews no unanswered start beyond its limit") {
  struct RecordingWorkers : WorkerPort {
    void Start(const WorkerEntry&,
               const StartOrder&,
               Duration,
               OrderCallback) override {}
    void Stop(const WorkerEntry&,
              const StopOrder&,
              Duration,
              OrderCallback) override {}
    void Sync(const WorkerEntry&,
              const SyncRequest& request,
              Duration,
              SyncCallback done) override {
      leases.push_back(request.lease_until_ms.has_value());
      answer = std::move(done);
    }
    std::vector<bool> leases;
    SyncCallback answer;
  };
  RecordingWorkers port;
  ManualTaskRunner runner;
  Worker worker;
  worker.ObserveClock(100'000, runner.Now());
  worker.unanswered_starts = 1;
  Duration left = kDefaultLongestLease - Duration(1);
  bool renews = false;
  SUBCASE("less than the longest lease is left") {}
  SUBCASE("the longest lease is left") {
    left = kDefaultLongestLease;
    renews = true;
  }
  LeaseHandover handover(port, runner, Epoch(2), {worker}, runner.Now() + left);
  handover.Tick(runner.Now());
  REQUIRE(port.leases.size() == 1);
  CHECK(port.leases.back() == renews);
  // The answer shows the clock of the process that may hold the run.
  port.answer(SyncReply{.clock_ms = 50});
  runner.Advance(Duration(2'000));
  handover.Tick(runner.Now());
  REQUIRE(port.leases.size() == 2);
  CHECK(port.leases.back());
}

// Guards against a successor that takes a run for expired although a restarted
// worker carried out the last order of the former leader.
TEST_CASE("A successor waits for a lease that a restarted worker prolonged") {
  LeaderFixture fixture(1, 2);
  fixture.run_time = Duration(60'000);
  fixture.Run(kFormerLife);
  for (const WorkerEntry& it : fixture.listed) {
    RestartUnnoticed(fixture, it.id);
    fixture.workers.faults(it.id).late_orders = 1;
    fixture.workers.faults(it.id).lateness = Duration(2);
  }
  fixture.Submit(kJob, MakeJob(1, 8, false));
  const WorkerId holder = AwaitHolder(fixture, kJob);
  bool planned = false;
  SUBCASE("killed") {}
  SUBCASE("resigned") {
    planned = true;
  }
  if (planned)
    fixture.Resign(0);
  fixture.Run(Duration(20));
  fixture.workers.faults(holder).silent = true;
  if (!planned)
    fixture.Kill(0);
  // The platform lists the present processes by now.
  for (WorkerEntry& it : fixture.listed)
    it.incarnation_start_wall_ms = 2;
  fixture.AddNode("n2");
  fixture.Run(Duration(20'000));
  CHECK(fixture.workers.starts(Task(kJob, 0)) == 2);
  CHECK(fixture.workers.violations().empty());
}

// Guards against tasks on a worker that has lost the label that they need.
TEST_CASE(
    "A worker restarted as another kind gets no tasks of its former one") {
  LeaderFixture fixture(1, 2);
  fixture.run_time = Duration(60'000);
  WorkerEntry& restarted = fixture.listed[0];
  restarted.labels = {"b", restarted.rack.value()};
  fixture.Run(Duration(100));
  JobSpec spec = MakeJob(1, 8, false);
  spec.steps[0].required_label = "b";
  fixture.Submit(kJob, spec);
  REQUIRE(AwaitHolder(fixture, kJob) == restarted.id);
  // Its entry is still that of the former process.
  fixture.workers.Restart(restarted.id, 2);
  fixture.Run(Duration(3'000));
  CHECK(fixture.workers.starts(Task(kJob, 0)) == 1);
  restarted.incarnation_start_wall_ms = 2;
  restarted.labels = {"a", restarted.rack.value()};
  fixture.Run(Duration(3'000));
  CHECK(fixture.workers.starts(Task(kJob, 0)) == 1);
  restarted.labels = {"b", restarted.rack.value()};
  fixture.Run(Duration(3'000));
  CHECK(fixture.workers.starts(Task(kJob, 0)) == 2);
}

// Guards against a bound on a lease that presumes the clock of a process that
// may have ended.
TEST_CASE("A lease counts as the longest one while a start has no answer") {
  for (const Duration longest : {kDefaultLongestLease, kLongLease}) {
    CAPTURE(longest.count());
    Worker worker = MakeHeardWorker(longest);
    CHECK(worker.LongestEffect(kStartLease) == kStartLease);
    worker.unanswered_starts = 1;
    CHECK(worker.LongestEffect(kStartLease) == longest);
    CHECK(worker.LongestEffect(kLeaseLength) == longest);
    worker.GrantLease(FromMillis(2'000), kStartLease, "start");
    CHECK(worker.LeasesEnd() >= EndOnSlowClock(FromMillis(2'000), longest));
  }
}

// Guards against an answer that is taken for less, or for more, than it shows
// of the lease that its call granted.
TEST_CASE("An answer shows what is left of the lease of its call") {
  const TimePoint answered = FromMillis(2'100);
  Worker worker = MakeHeardWorker(kLongLease);
  worker.unanswered_starts = 1;
  const CallLease lease =
      worker.GrantLease(FromMillis(2'000), kStartLease, "start");
  SUBCASE("on the clock of another process") {
    worker.CloseLease(lease, Duration(lease.end_clock_ms - 50), answered);
    CHECK(worker.LeasesEnd() >= EndOnSlowClock(answered, kLongLease));
  }
  SUBCASE("on the clock that was known") {
    worker.CloseLease(lease, Duration(1'880), answered);
    CHECK(worker.LeasesEnd() >= EndOnSlowClock(answered, Duration(1'880)));
    CHECK(worker.LeasesEnd() < answered + kStartLease + Duration(500));
  }
  SUBCASE("while another call has no answer") {
    worker.GrantLease(FromMillis(2'050), kStartLease, "start");
    worker.CloseLease(lease, Duration(1'880), answered);
    CHECK(worker.LeasesEnd() >= EndOnSlowClock(FromMillis(2'050), kLongLease));
  }
}

}  // namespace quetzalshelf::batch
