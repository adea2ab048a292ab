#include <doctest/doctest.h>

#include "bench/oracle.h"

namespace quetzalshelf::bench {
namespace {

using scheduling::Adjacency;
using scheduling::Job;
using scheduling::RefusalReason;
using scheduling::StartGang;
using scheduling::StopGang;
using scheduling::StopReason;

Resources Make(int64_t accelerators) {
  return {Accelerators(accelerators), MilliCores(accelerators * 1'000),
          Mebibytes(accelerators * 1'024)};
}

Job MakeJob(const std::string& id, int tasks) {
  Job out;
  out.id = JobId(id);
  out.workspace = WorkspaceId("team");
  out.gang = {tasks, Make(8), Adjacency::kRack};
  return out;
}

StartGang Start(const std::string& job,
                uint64_t attempt,
                const std::vector<std::string>& workers,
                bool guaranteed = false) {
  StartGang out{JobId(job), Attempt(attempt), {}, guaranteed};
  for (const std::string& it : workers) {
    out.placement.emplace_back(it);
  }
  return out;
}

// Workers a, b and c of 8 accelerators: a and b share a rack, c is in another
// domain. The workspace is guaranteed two whole adjacent workers.
struct Fixture {
  Fixture() : oracle({MakeWorkspace()}, {}) {
    AddWorker("a", "north", "north-1");
    AddWorker("b", "north", "north-1");
    AddWorker("c", "south", "south-1");
  }

  static scheduling::Workspace MakeWorkspace() {
    scheduling::Workspace out;
    out.id = WorkspaceId("team");
    out.guarantees = {{{2, Make(8), Adjacency::kRack}, 1}};
    return out;
  }

  void AddWorker(const std::string& id,
                 const std::string& domain,
                 const std::string& rack) {
    oracle.WorkerUp({WorkerId(id), DomainId(domain), RackId(rack), Make(8)},
                    FromMillis(0));
  }

  void Submit(const std::string& job, int tasks) {
    oracle.Submitted(MakeJob(job, tasks), true, FromMillis(0));
  }

  // Checks once a second until the given time.
  void CheckUntil(int64_t seconds) {
    for (int64_t n = 1; n <= seconds; ++n) {
      oracle.Check(FromMillis(n * 1'000));
    }
  }

  const FaultCounts& counts() const { return oracle.counts(); }

  Oracle oracle;
};

// Guards against an oracle that reports faults of a correct run.
TEST_CASE("Oracle finds nothing in a correct run") {
  Fixture it;
  it.Submit("job", 2);
  it.oracle.Commanded(Start("job", 1, {"a", "b"}, true), FromMillis(10));
  it.oracle.Started(JobId("job"), Attempt(1), FromMillis(900));
  it.oracle.WorkerDown(WorkerId("b"), FromMillis(5'000));
  it.oracle.Commanded(
      StopGang{JobId("job"), Attempt(1), StopReason::kWorkerLost},
      FromMillis(5'000));
  it.oracle.Stopped(JobId("job"), Attempt(1), FromMillis(6'000));
  it.AddWorker("b", "north", "north-1");
  it.oracle.Commanded(Start("job", 2, {"a", "b"}, true), FromMillis(7'000));
  it.oracle.Started(JobId("job"), Attempt(2), FromMillis(8'000));
  it.CheckUntil(100);
  it.oracle.Finished(JobId("job"), Attempt(2), FromMillis(200'000));
  it.oracle.End(FromMillis(300'000));
  CHECK(it.counts().Total() == 0);
}

// Guards against a covered gang that waits beyond its deadline unnoticed.
TEST_CASE("Oracle counts a covered gang that waits too long once") {
  Fixture it;
  it.Submit("job", 2);
  it.CheckUntil(32);
  CHECK(it.counts().guarantee_violations == 0);
  it.CheckUntil(90);
  CHECK(it.counts().guarantee_violations == 1);
}

// Guards against a late start that hides between two checks.
TEST_CASE("Oracle counts a covered gang that starts too late") {
  Fixture it;
  it.Submit("job", 2);
  it.oracle.Check(FromMillis(1'000));
  it.oracle.Commanded(Start("job", 1, {"a", "b"}, true), FromMillis(31'500));
  it.oracle.Started(JobId("job"), Attempt(1), FromMillis(32'100));
  CHECK(it.counts().guarantee_violations == 1);
}

// Guards against violations where the promise does not hold: the guarantee is
// in use, or the workers in service cannot hold it.
TEST_CASE("Oracle counts no violation without a free guarantee") {
  Fixture used;
  used.Submit("first", 2);
  used.oracle.Commanded(Start("first", 1, {"a", "b"}, true), FromMillis(0));
  used.oracle.Started(JobId("first"), Attempt(1), FromMillis(500));
  used.Submit("second", 1);
  used.CheckUntil(90);
  CHECK(used.counts().guarantee_violations == 0);

  Fixture out;
  out.Submit("job", 2);
  out.oracle.DomainInService(DomainId("north"), false, FromMillis(0));
  out.CheckUntil(90);
  CHECK(out.counts().guarantee_violations == 0);
}

// Guards against a borrowed gang counting as use of the guarantee, and against
// a claim that the guarantees cannot cover.
TEST_CASE("Oracle checks what a scheduler claims to be charged") {
  bool claim = false;
  Oracle oracle({Fixture::MakeWorkspace()}, {},
                [&claim](const JobId&) { return claim; });
  for (const char* id : {"a", "b", "c", "d"}) {
    oracle.WorkerUp(
        {WorkerId(id), DomainId("north"), RackId("north-1"), Make(8)},
        FromMillis(0));
  }
  oracle.Submitted(MakeJob("first", 1), true, FromMillis(0));
  oracle.Submitted(MakeJob("second", 2), true, FromMillis(0));
  oracle.Commanded(Start("first", 1, {"a"}), FromMillis(0));
  oracle.Started(JobId("first"), Attempt(1), FromMillis(500));
  SUBCASE("charged") {
    claim = true;
    for (int64_t n = 1; n <= 60; ++n) {
      oracle.Check(FromMillis(n * 1'000));
    }
    CHECK(oracle.counts().guarantee_violations == 0);
  }
  SUBCASE("borrowed") {
    for (int64_t n = 1; n <= 60; ++n) {
      oracle.Check(FromMillis(n * 1'000));
    }
    CHECK(oracle.counts().guarantee_violations == 1);
  }
}

// Guards against a gang that starts without all of its tasks, without its
// adjacency, or where it does not fit.
TEST_CASE("Oracle counts partial gangs") {
  Fixture it;
  it.Submit("job", 2);
  SUBCASE("a task is missing") {
    it.oracle.Commanded(Start("job", 1, {"a"}), FromMillis(10));
  }
  SUBCASE("a worker is down") {
    it.oracle.WorkerDown(WorkerId("b"), FromMillis(5));
    it.oracle.Commanded(Start("job", 1, {"a", "b"}), FromMillis(10));
  }
  SUBCASE("not adjacent") {
    it.oracle.Commanded(Start("job", 1, {"a", "c"}), FromMillis(10));
  }
  SUBCASE("more than the worker holds") {
    it.oracle.Commanded(Start("job", 1, {"a", "a"}), FromMillis(10));
  }
  SUBCASE("the rest runs on after a worker is lost") {
    it.oracle.Commanded(Start("job", 1, {"a", "b"}), FromMillis(10));
    it.oracle.Started(JobId("job"), Attempt(1), FromMillis(500));
    it.oracle.WorkerDown(WorkerId("b"), FromMillis(1'000));
    it.oracle.Check(FromMillis(3'000));
    CHECK(it.counts().partial_gangs == 0);
    it.oracle.Check(FromMillis(4'000));
  }
  SUBCASE("the rest runs on after a task has failed") {
    it.oracle.Commanded(Start("job", 1, {"a", "b"}), FromMillis(10));
    it.oracle.Started(JobId("job"), Attempt(1), FromMillis(500));
    it.oracle.TaskFailed(JobId("job"), Attempt(1), WorkerId("b"),
                         FromMillis(1'000));
    it.oracle.Check(FromMillis(4'000));
  }
  CHECK(it.counts().partial_gangs == 1);
}

// Guards against starts that the operators have ruled out, at once and by a
// start that takes too long.
TEST_CASE("Oracle counts starts in a domain out of service") {
  Fixture it;
  it.Submit("job", 2);
  SUBCASE("commanded after the exit") {
    it.oracle.DomainInService(DomainId("north"), false, FromMillis(10));
    it.oracle.Commanded(Start("job", 1, {"a", "b"}), FromMillis(10));
    CHECK(it.counts().starts_in_out_domain == 1);
  }
  SUBCASE("commanded before, started within the limit") {
    it.oracle.Commanded(Start("job", 1, {"a", "b"}), FromMillis(10));
    it.oracle.DomainInService(DomainId("north"), false, FromMillis(10));
    it.oracle.Started(JobId("job"), Attempt(1), FromMillis(5'010));
    CHECK(it.counts().starts_in_out_domain == 0);
  }
  SUBCASE("commanded before, started too late") {
    it.oracle.Commanded(Start("job", 1, {"a", "b"}), FromMillis(10));
    it.oracle.DomainInService(DomainId("north"), false, FromMillis(10));
    it.oracle.Started(JobId("job"), Attempt(1), FromMillis(5'011));
    CHECK(it.counts().starts_in_out_domain == 1);
  }
}

// Guards against a job that runs twice, again after its end, or after it was
// cancelled.
TEST_CASE("Oracle counts duplicate runs") {
  Fixture it;
  it.Submit("job", 1);
  SUBCASE("while another attempt is held") {
    it.oracle.Commanded(Start("job", 1, {"a"}), FromMillis(10));
    it.oracle.Commanded(Start("job", 2, {"b"}), FromMillis(20));
  }
  SUBCASE("while it stops") {
    it.oracle.Commanded(Start("job", 1, {"a"}), FromMillis(10));
    it.oracle.Commanded(
        StopGang{JobId("job"), Attempt(1), StopReason::kReclaimed},
        FromMillis(15));
    it.oracle.Commanded(Start("job", 2, {"b"}), FromMillis(20));
  }
  SUBCASE("after its end") {
    it.oracle.Commanded(Start("job", 1, {"a"}), FromMillis(10));
    it.oracle.Started(JobId("job"), Attempt(1), FromMillis(500));
    it.oracle.Finished(JobId("job"), Attempt(1), FromMillis(900));
    it.oracle.Commanded(Start("job", 2, {"b"}), FromMillis(1'000));
  }
  SUBCASE("after it was cancelled") {
    it.oracle.Cancelled(JobId("job"), FromMillis(10));
    it.oracle.Commanded(Start("job", 1, {"a"}), FromMillis(20));
  }
  SUBCASE("with an attempt number of before") {
    it.oracle.Commanded(Start("job", 1, {"a"}), FromMillis(10));
    it.oracle.StartFailed(JobId("job"), Attempt(1), FromMillis(20));
    it.oracle.Commanded(Start("job", 1, {"a"}), FromMillis(30));
  }
  SUBCASE("without a submission") {
    it.oracle.Commanded(Start("other", 1, {"a"}), FromMillis(10));
  }
  CHECK(it.counts().duplicate_runs == 1);
}

// Guards against jobs that wait for ever or are refused without cause.
TEST_CASE("Oracle counts lost jobs") {
  Fixture it;
  it.Submit("job", 1);
  const auto refuse = [&](RefusalReason reason) {
    it.oracle.Commanded(scheduling::RefuseJob{JobId("job"), reason, ""},
                        FromMillis(100));
  };
  SUBCASE("never started") {}
  SUBCASE("stopped for good") {
    it.oracle.Commanded(Start("job", 1, {"a"}), FromMillis(10));
    it.oracle.Commanded(
        StopGang{JobId("job"), Attempt(1), StopReason::kReclaimed},
        FromMillis(15));
    it.oracle.Stopped(JobId("job"), Attempt(1), FromMillis(20));
  }
  SUBCASE("refused although it fits") {
    refuse(RefusalReason::kNeverFits);
  }
  SUBCASE("refused with room in the queue") {
    refuse(RefusalReason::kQueueFull);
  }
  SUBCASE("failed because of one bad worker") {
    for (uint64_t n = 1; n <= 3; ++n) {
      it.oracle.Commanded(Start("job", n, {"a"}), FromMillis(10));
      it.oracle.TaskFailed(JobId("job"), Attempt(n), WorkerId("a"),
                           FromMillis(20));
      it.oracle.Stopped(JobId("job"), Attempt(n), FromMillis(30));
    }
    refuse(RefusalReason::kTooManyFailures);
  }
  it.oracle.End(FromMillis(100'000));
  CHECK(it.counts().lost_jobs == 1);
}

}  // namespace
}  // namespace quetzalshelf::bench
