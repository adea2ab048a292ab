// Caps and weights of workspaces, without a network.

#include <doctest/doctest.h>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "core/random.h"
#include "servers/batch/planning/cap_ledger.h"
#include "servers/batch/planning/fair_shares.h"
#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

const WorkspaceId kPlaza("plaza");
const WorkspaceId kParque("parque");
constexpr Duration kReclaimLimit{2'900};

std::string JobName(int n) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016x", 0xca0000 + n);
  return text;
}

Resources Gpus(int64_t n) {
  return {.accelerators = Accelerators(n)};
}

// One leader, 64 accelerators, and a cap of the workspace that calls.
struct CapFixture : LeaderFixture {
  explicit CapFixture(int64_t cap, int64_t guaranteed = 8)
      : LeaderFixture(2, 4) {
    SetCap(cap, guaranteed);
  }

  void SetCap(int64_t cap, int64_t guaranteed = 8) {
    SiteConfig config = MakeSite();
    config.version = ++version;
    config.workspaces[0].cap = Gpus(cap);
    config.workspaces[0].guaranteed = Accelerators(guaranteed);
    site.SetConfig(config);
  }

  void Add(int tasks, int gpus, bool gang, const char* queue = "/plans/") {
    const std::string id = JobName(static_cast<int>(sizes.size()));
    const JobSpec spec = MakeJob(tasks, gpus, gang);
    if (Submit(id, spec, queue).outcome == CallOutcome::kAccepted)
      sizes[JobId(id)] = gpus;
  }

  // What really runs, counted on the workers.
  int64_t Running() const {
    int64_t sum = 0;
    for (const TaskId& it : workers.RunningTasks())
      sum += sizes.at(it.job);
    return sum;
  }

  // Runs and notes the most that ran at once.
  int64_t RunAndWatch(Duration duration) {
    int64_t most = 0;
    for (Duration passed{0}; passed < duration; passed += Duration(50)) {
      Run(Duration(50));
      most = std::max(most, Running());
    }
    return most;
  }

  uint64_t version = 1;
  std::map<JobId, int> sizes;  // Accelerators of each task.
};

}  // namespace

TEST_CASE("A ledger counts by each amount that is limited") {
  WorkspaceConfig workspace{.name = kPlaza};
  workspace.cap = {Accelerators(10), MilliCores(4'000), Mebibytes(0)};
  CapLedger caps({workspace});
  const Resources each{Accelerators(2), MilliCores(1'000), Mebibytes(1 << 30)};
  CHECK(caps.CountFits(kPlaza, each) == 4);
  CHECK(caps.CountFits(kPlaza, Gpus(2)) == 5);
  CHECK(caps.CountFits(kParque, each) == kUnlimitedTasks);
  caps.Charge(kPlaza, each * 4);
  CHECK(caps.CountFits(kPlaza, each) == 0);
  CHECK(caps.CountFits(kPlaza, Gpus(2)) == 1);
  CHECK(caps.CountFits(kPlaza, Gpus(2), 0.28) == 0);
  CHECK(caps.Describe(kPlaza, each) == "4000 of 4000 millicores");
  CHECK(caps.Excess(kPlaza, each) == Resources{.cpu = MilliCores(1'000)});
  caps.ExpectEnd(kPlaza, each);
  CHECK(caps.Excess(kPlaza, each) == Resources());
  caps.Hold(kPlaza, Gpus(2));
  CHECK(caps.CountFits(kPlaza, Gpus(2)) == 0);
  CHECK(caps.used(kPlaza) == each * 4);
  // What was told to stop counts until it has ended.
  CHECK(caps.CountFits(kPlaza, each) == 0);
  caps.Release(kPlaza, each * 2);
  CHECK(caps.CountFits(kPlaza, each) == 2);
}

TEST_CASE("Steps wider than their workspace may run are expected in waves") {
  CHECK(CountWaves(39, Gpus(10), Gpus(1)) == 4);
  CHECK(CountWaves(39, Gpus(0), Gpus(1)) == 1);
  CHECK(CountWaves(1, Gpus(10), Gpus(8)) == 1);
}

TEST_CASE("A workspace runs no more than its cap, and all of it in time") {
  CapFixture fixture(20);
  fixture.Add(39, 1, false, "/sketches/");
  fixture.Add(4, 8, false);
  CHECK(fixture.RunAndWatch(Duration(9'000)) <= 20);
  const int64_t later = fixture.RunAndWatch(Duration(16'000));
  CHECK(later <= 20);
  CHECK(later > 0);
  for (const auto& [id, size] : fixture.sizes)
    CHECK(fixture.State(id.value()).phase == JobPhase::kComplete);
}

TEST_CASE("Guaranteed work takes the place of other work of its workspace") {
  // The cap is full of patient work that goes on for long.
  CapFixture fixture(16);
  fixture.run_time = Duration(60'000);
  fixture.Add(16, 1, false, "/sketches/");
  fixture.Run(Duration(8'000));
  REQUIRE(fixture.Running() == 16);
  fixture.Add(1, 8, true, "/holds/");
  CHECK(fixture.RunAndWatch(kReclaimLimit) <= 16);
  CHECK(fixture.workers.IsRunning(Task(JobName(1), 0)));
  // No more was stopped than had to be.
  CHECK(fixture.Running() == 16);
}

TEST_CASE("Smaller work behind a gang does not keep it under the cap") {
  CapFixture fixture(16);
  fixture.Add(12, 1, false, "/sketches/");
  fixture.Run(Duration(3'000));
  fixture.Add(2, 8, true);
  for (int n = 0; n < 20; ++n) {
    fixture.Add(4, 1, false, "/sketches/");
    fixture.Run(Duration(400));
  }
  CHECK(fixture.State(JobName(1)).phase == JobPhase::kComplete);
}

TEST_CASE("A lowered cap stops nothing and binds starts; a raised one counts") {
  CapFixture fixture(32);
  fixture.run_time = Duration(6'000);
  fixture.Add(32, 1, false);
  fixture.Run(Duration(4'500));
  REQUIRE(fixture.Running() == 32);
  fixture.SetCap(8);
  fixture.Add(16, 1, false);
  fixture.Run(Duration(1'000));
  CHECK(fixture.Running() == 32);
  fixture.Run(Duration(4'000));
  CHECK(fixture.RunAndWatch(Duration(3'000)) == 8);
  fixture.SetCap(32);
  fixture.Run(Duration(1'000));
  CHECK(fixture.Running() > 8);
}

TEST_CASE("A new leader counts the runs of its predecessor under the cap") {
  CapFixture fixture(20);
  fixture.run_time = Duration(5'000);
  fixture.AddNode("n2");
  fixture.Add(60, 1, false);
  fixture.Run(Duration(2'500));
  fixture.Kill(static_cast<size_t>(fixture.Leader()));
  CHECK(fixture.RunAndWatch(Duration(25'000)) <= 20);
  CHECK(fixture.State(JobName(0)).phase == JobPhase::kComplete);
}

TEST_CASE("Work that can never run under the cap is refused at once") {
  CapFixture fixture(16);
  const auto submit = [&](int n, int tasks, int gpus, bool gang) {
    return fixture.Submit(JobName(n), MakeJob(tasks, gpus, gang)).outcome;
  };
  CHECK(submit(1, 3, 8, true) == CallOutcome::kBadRequest);
  CHECK(submit(2, 3, 8, false) == CallOutcome::kAccepted);
  CHECK(submit(3, 2, 8, true) == CallOutcome::kAccepted);
  // A copy of an accepted call is answered like the first.
  fixture.SetCap(8);
  CHECK(submit(3, 2, 8, true) == CallOutcome::kAccepted);
  CHECK(submit(4, 2, 8, true) == CallOutcome::kBadRequest);
  // What waits for a raise runs after it.
  fixture.run_time = Duration(500);
  fixture.Run(Duration(4'000));
  CHECK(fixture.State(JobName(3)).phase == JobPhase::kQueued);
  fixture.SetCap(16);
  CHECK(fixture.RunUntilFinal(JobName(3), Duration(8'000)) ==
        JobPhase::kComplete);
}

TEST_CASE("Processes that end at the same moment bring nobody over a cap") {
  CapFixture fixture(20);
  fixture.AddNode("n2");
  fixture.AddNode("n3");
  fixture.Add(60, 1, false);
  fixture.Run(Duration(2'200));
  for (size_t n = 0; n < 3; ++n)
    fixture.Kill(n);
  CHECK(fixture.RunAndWatch(Duration(500)) <= 20);
  for (const char* const name : {"n4", "n5", "n6"})
    fixture.AddNode(name);
  CHECK(fixture.RunAndWatch(Duration(30'000)) <= 20);
  CHECK(fixture.State(JobName(0)).phase == JobPhase::kComplete);
}

TEST_CASE("A workspace below half of its cap does not stand beside room") {
  CapFixture fixture(32);
  fixture.run_time = Duration(60'000);
  fixture.Add(12, 1, false);
  fixture.Run(Duration(3'000));
  REQUIRE(fixture.Running() == 12);
  fixture.Add(4, 1, false, "/sketches/");
  fixture.Add(2, 8, true, "/sketches/");
  fixture.Run(Duration(3'000));
  CHECK(fixture.Running() == 32);
}

TEST_CASE("A time of day that jumps moves due times only") {
  constexpr Duration kJump{5'000};
  constexpr Duration kEarliest{250};
  for (const Duration jump : {kJump, Duration(0) - kJump}) {
    CAPTURE(jump.count());
    CapFixture fixture(16);
    JobSpec timed = MakeJob(1, 1, false);
    timed.recurrence = {.occurrences = 1,
                        .first_wall_ms = fixture.runner.WallMillis() + 8'000,
                        .period = Duration(1'000)};
    const TimePoint due = fixture.runner.Now() + Duration(8'000);
    fixture.Submit(JobName(1), timed);
    fixture.Submit(JobName(2), MakeJob(2, 1, false));
    fixture.Run(Duration(1'000));
    fixture.runner.StepWallClock(jump);
    CHECK(fixture.RunUntilFinal(JobName(2), Duration(6'000)) ==
          JobPhase::kComplete);
    CHECK(fixture.RunUntilFinal(JobName(1), Duration(20'000)) ==
          JobPhase::kComplete);
    CHECK(fixture.workers.first_start(Task(JobName(1), 0)) >=
          due - kJump - kEarliest);
    CHECK(fixture.workers.starts(Task(JobName(1), 0)) == 1);
    CHECK(fixture.workers.starts(Task(JobName(2), 0)) == 1);
    CHECK(fixture.workers.violations().empty());
  }
}

// Random jobs, cuts, late orders, restarts, leaders and caps against a count of
// what really runs.
TEST_CASE("Random trouble brings no workspace over its cap") {
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    CapFixture fixture(24);
    fixture.AddNode("n2");
    fixture.run_time = Duration(1'500);
    for (int round = 0; round < 40; ++round) {
      const char* const queue = random.Below(3) == 0 ? "/holds/" : "/plans/";
      const bool gang = random.Below(2) == 0;
      fixture.Add(1 + static_cast<int>(random.Below(6)),
                  1 + static_cast<int>(random.Below(4)), gang, queue);
      const WorkerId worker =
          fixture.listed[random.Below(fixture.listed.size())].id;
      switch (random.Below(6)) {
        case 0:
          fixture.workers.CutOff(worker);
          break;
        case 1:
          fixture.workers.faults(worker).late_orders = 1;
          break;
        case 2:
          fixture.workers.faults(worker).stop_time = Duration(600);
          break;
        case 3:
          if (const int leader = fixture.Leader(); leader >= 0)
            fixture.Resign(static_cast<size_t>(leader));
          fixture.AddNode("n" + std::to_string(round + 3));
          break;
        default:
          fixture.workers.Reconnect(worker);
      }
      CHECK(fixture.RunAndWatch(Duration(300)) <= 24);
    }
    for (const WorkerEntry& it : fixture.listed)
      fixture.workers.Reconnect(it.id);
    CHECK(fixture.RunAndWatch(Duration(60'000)) <= 24);
    for (const auto& [id, size] : fixture.sizes)
      CHECK(IsFinalPhase(fixture.State(id.value()).phase));
  }
}

TEST_CASE("Shares follow the weights of the workspaces with work") {
  const Resources total = Gpus(100);
  FairShares none({{.name = kPlaza}, {.name = kParque}}, total);
  none.AddActive(kPlaza);
  CHECK_FALSE(none.IsBeyond(kPlaza, Gpus(100)));
  FairShares shares(
      {{.name = kPlaza, .weight = 3}, {.name = kParque, .weight = 1}}, total);
  shares.AddActive(kPlaza);
  CHECK_FALSE(shares.IsBeyond(kPlaza, Gpus(99)));
  shares.AddActive(kParque);
  CHECK(shares.IsBeyond(kPlaza, Gpus(75)));
  CHECK_FALSE(shares.IsBeyond(kPlaza, Gpus(74)));
  CHECK(shares.IsBeyond(kParque, Gpus(25)));
}

// Load: one workspace sends far more than there is room for, and another then
// sends little.
TEST_CASE(
    "A workspace that sends little does not wait behind one that sends "
    "much, where there are weights") {
  const auto play = [](double weight) {
    LeaderFixture fixture(2, 4);
    SiteConfig config = MakeSite();
    config.version = 2;
    for (WorkspaceConfig& it : config.workspaces) {
      it.weight = weight;
      it.guaranteed = Accelerators(0);
    }
    // No job comes late, so that those accepted first go first.
    for (QueueConfig& it : config.queues)
      it.slack_factor = 30;
    fixture.site.SetConfig(config);
    fixture.run_time = Duration(2'500);
    for (int n = 0; n < 12; ++n)
      fixture.Submit(JobName(n), MakeJob(32, 1, false), "/holds/");
    fixture.Run(Duration(3'000));
    fixture.key = "key-parque";
    const TimePoint sent = fixture.runner.Now();
    fixture.Submit(JobName(100), MakeJob(16, 1, false), "/holds/");
    fixture.Run(Duration(30'000));
    fixture.key = "key-plaza";
    for (int n = 0; n < 12; ++n)
      CHECK(fixture.State(JobName(n)).phase == JobPhase::kComplete);
    return fixture.workers.first_start(Task(JobName(100), 15)) - sent;
  };
  const Duration unweighted = play(0);
  const Duration weighted = play(1);
  CHECK(weighted < Duration(3'500));
  CHECK(unweighted > Duration(7'500));
}

}  // namespace quetzalshelf::batch
