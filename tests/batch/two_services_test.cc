// Tests of two services whose urgent work reclaims workers at the same time.

#include <doctest/doctest.h>

#include <string>

#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

constexpr int kDeskWorkers = 4;
constexpr int kWalkWorkers = 2;
constexpr int kTasksPerWorker = 8;
constexpr char kDeskPlans[] = "00000000000000e1";
constexpr char kWalkPlans[] = "00000000000000e2";
constexpr char kDeskHold[] = "00000000000000e3";
constexpr char kWalkHold[] = "00000000000000e4";

// Each service has deferrable work on all its workers, and no node leads.
struct TwoServices : LeaderFixture {
  TwoServices() {
    SiteConfig config = MakeSite();
    config.version = 2;
    for (const char* const name : {"holds", "plans"}) {
      QueueConfig queue = config.queues[name == std::string("holds") ? 0 : 1];
      queue.name = QueueName(std::string("walk-") + name);
      queue.prefix = std::string("/walk-") + name + "/";
      queue.service = ServiceName("walk");
      config.queues.push_back(queue);
    }
    site.SetConfig(config);
    for (int n = 0; n < kWalkWorkers; ++n) {
      WorkerEntry worker = MakeWorker("x" + std::to_string(n), "r2-0");
      worker.service = ServiceName("walk");
      workers.Add(worker);
      listed.push_back(worker);
    }
    Run(Duration(500));
    run_time = Duration(60'000);
    Submit(kDeskPlans, MakeJob(kDeskWorkers * kTasksPerWorker, 1, false));
    Submit(kWalkPlans, MakeJob(kWalkWorkers * kTasksPerWorker, 1, false),
           "/walk-plans/");
    // Longer than workers are kept free of work that can be deferred.
    Run(Duration(4'000));
    REQUIRE(workers.running() ==
            (kDeskWorkers + kWalkWorkers) * kTasksPerWorker);
    Kill(0);
  }
};

}  // namespace

// Guards against a leader that plans the reclaims of one service with the runs
// of another: it ends with a memory error, or stops work of the wrong service.
TEST_CASE("Urgent jobs of two services reclaim workers in one pass") {
  TwoServices fixture;
  const auto submit_desk = [&] {
    fixture.Submit(kDeskHold, MakeJob(1, 8, false), "/holds/");
  };
  const auto submit_walk = [&] {
    fixture.Submit(kWalkHold, MakeJob(1, 8, false), "/walk-holds/");
  };
  SUBCASE("the larger service first") {
    submit_desk();
    submit_walk();
  }
  SUBCASE("the smaller service first") {
    submit_walk();
    submit_desk();
  }
  // The new leader finds both jobs in its first pass.
  fixture.AddNode("n2");
  fixture.Run(Duration(3'500));
  CHECK(fixture.workers.IsRunning(Task(kDeskHold, 0)));
  CHECK(fixture.workers.IsRunning(Task(kWalkHold, 0)));
  CHECK(fixture.workers.HolderOf(Task(kWalkHold, 0)).value().front() == 'x');
  // Each reclaimed one worker.
  CHECK(fixture.workers.running() ==
        (kDeskWorkers + kWalkWorkers - 2) * kTasksPerWorker + 2);
  CHECK(fixture.workers.violations().empty());
}

}  // namespace quetzalshelf::batch
