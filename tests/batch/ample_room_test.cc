// Tests that no reason to wait holds a job back for long while most workers are
// idle.

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "tests/batch/batch_fixture.h"
#include "tests/batch/stand_watch.h"

namespace quetzalshelf::batch {

namespace {

constexpr Duration kLookInterval{100};
constexpr Duration kForGood{300'000};
// After a fault the users let jobs stand for this long before time counts.
constexpr Duration kCalmBefore{4'000};

// A leader with jobs that are watched.
struct RoomFixture : LeaderFixture {
  RoomFixture(int racks, int workers_a_rack)
      : LeaderFixture(racks, workers_a_rack) {
    workers.set_gang_size([](const StartOrder& order) {
      return std::atoi(order.payload.c_str());
    });
  }

  // Submits a job of which each task runs for `duration`.
  JobId Add(JobSpec spec, Duration duration, const char* queue = "/plans/") {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", 0xb0000 + ++jobs);
    const StepSpec& step = spec.steps.front();
    spec.payload = std::to_string(step.gang ? step.tasks : 0);
    run_times[JobId(id)] = duration;
    if (Submit(id, spec, queue).outcome == CallOutcome::kAccepted)
      watch.Add(JobId(id), spec);
    return JobId(id);
  }
  // Occupies one worker of the rack.
  JobId Fill(const std::string& rack, Duration duration) {
    JobSpec spec = MakeJob(1, 8, false);
    spec.steps[0].resources.cpu = MilliCores(64'000);
    spec.steps[0].estimate = duration;
    spec.steps[0].required_label = rack;
    return Add(std::move(spec), duration, "/holds/");
  }
  JobSpec Gang(int tasks, bool rack_local = true) const {
    JobSpec spec = MakeJob(tasks, 8, true);
    spec.steps[0].rack_local = rack_local;
    return spec;
  }
  static std::string Rack(int n) { return "r1-" + std::to_string(n); }
  // Runs and looks at the jobs, for at most `limit` or until the job runs.
  void Watch(Duration limit, const JobId& until = JobId()) {
    const TimePoint end = runner.Now() + limit;
    while (runner.Now() < end &&
           (until.empty() || !workers.IsRunning({until, 0, 0, 0}))) {
      Run(kLookInterval);
      watch.Observe();
    }
  }
  void CheckWatch() {
    for (const std::string& it : watch.violations())
      FAIL_CHECK(it);
  }

  StandWatch watch{*this};
  int jobs = 0;
};

}  // namespace

// Guards against a gang that waits for a rack and then for the runs of a
// reservation, each for its own time.
TEST_CASE("A gang with a reservation starts soon beside idle workers") {
  constexpr int kRacks = 8;
  constexpr int kWorkers = 6;
  RoomFixture fixture(kRacks, kWorkers);
  // When the runs of the first rack end, after most of the others.
  int later_ms = 0;
  SUBCASE("1.4 s after the reservation could be made") {
    later_ms = 3'400;
  }
  SUBCASE("at once") {
    later_ms = 2'000;
  }
  SUBCASE("1.8 s after") {
    later_ms = 3'800;
  }
  const TimePoint idle_at = fixture.runner.Now() + Duration(30'000);
  for (int rack = 0; rack < kRacks; ++rack) {
    for (int n = 0; n < kWorkers; ++n) {
      const Duration left = idle_at - fixture.runner.Now();
      if (n >= 2)
        fixture.Fill(RoomFixture::Rack(rack), left);
      else if (rack == 0)
        fixture.Fill(RoomFixture::Rack(rack), left + Duration(later_ms));
      else
        fixture.Fill(RoomFixture::Rack(rack), kForGood);
    }
  }
  fixture.Run(Duration(500));
  REQUIRE(fixture.workers.running() == kRacks * kWorkers);
  const JobId gang = fixture.Add(fixture.Gang(5), Duration(2'500));
  fixture.Watch(Duration(60'000), gang);
  CHECK(fixture.workers.IsRunning({gang, 0, 0, 0}));
  fixture.CheckWatch();
}

// Guards against workers with old failures that are kept from a gang although
// no others could hold it.
TEST_CASE("Old failures keep no gang from idle workers") {
  constexpr int kRacks = 10;
  constexpr int kWorkers = 7;
  RoomFixture fixture(kRacks, kWorkers);
  for (int rack = 0; rack < kRacks; ++rack) {
    for (int n = 0; n < 3; ++n)
      fixture.Fill(RoomFixture::Rack(rack), kForGood);
  }
  fixture.Run(Duration(500));
  REQUIRE(fixture.workers.running() == kRacks * 3);
  // Tasks fail on the idle workers of eight racks.
  for (const WorkerEntry& it : fixture.listed) {
    const bool spared = it.rack == RackId(RoomFixture::Rack(0)) ||
                        it.rack == RackId(RoomFixture::Rack(1));
    fixture.workers.faults(it.id).fails_tasks = !spared;
  }
  std::vector<JobId> failing;
  for (int rack = 2; rack < kRacks; ++rack) {
    for (int n = 0; n < kWorkers - 3; ++n) {
      JobSpec spec = MakeJob(1, 8, false);
      spec.steps[0].required_label = RoomFixture::Rack(rack);
      failing.push_back(fixture.Add(spec, Duration(100)));
    }
  }
  fixture.Run(Duration(400));
  // They would succeed later and clear the workers.
  for (const JobId& it : failing)
    fixture.Cancel(it.value());
  for (const WorkerEntry& it : fixture.listed)
    fixture.workers.faults(it.id) = ModelWorkerFaults();
  fixture.Run(kCalmBefore);
  const JobId gang = fixture.Add(fixture.Gang(5), Duration(2'500));
  fixture.Watch(Duration(20'000), gang);
  CHECK(fixture.workers.IsRunning({gang, 0, 0, 0}));
  fixture.CheckWatch();
}

namespace {

// A random job, and the time that its tasks take.
std::pair<JobSpec, Duration> RandomJob(Random& random, int workers_a_rack) {
  constexpr std::array kSizes = {1, 1, 2, 4, 8};
  const bool gang = random.Chance(0.6);
  const auto tasks = static_cast<int>(random.Between(1, workers_a_rack));
  JobSpec spec = MakeJob(tasks, kSizes[random.Below(kSizes.size())], gang);
  StepSpec& step = spec.steps[0];
  step.rack_local = gang && random.Chance(0.6);
  step.checkpointing = random.Chance(0.3);
  step.estimate = Duration(random.Between(500, 5'000));
  if (random.Chance(0.2))
    step.required_label = "b";
  if (random.Chance(0.1))
    step.data_rack = RackId(RoomFixture::Rack(0));
  if (random.Chance(0.1))
    step.max_per_worker = 1;
  // Estimates are far off.
  const int64_t tenths = random.Between(3, 40);
  return {spec, step.estimate * tenths / 10};
}

// Faults of workers that end before the jobs are watched.
void DisturbWorkers(RoomFixture& fixture, Random& random) {
  ModelWorkerFaults& faults = fixture.workers.faults(
      fixture.listed[random.Below(fixture.listed.size())].id);
  switch (random.Below(4)) {
    case 0:
      faults.fails_tasks = true;
      break;
    case 1:
      faults.refuses = true;
      break;
    case 2:
      faults.stands_still = true;
      break;
    default:
      faults.fails_tasks = faults.refuses = faults.stands_still = false;
  }
}

void PlayRandomDay(uint64_t seed) {
  CAPTURE(seed);
  Random random(seed);
  const auto racks = static_cast<int>(random.Between(3, 5));
  const auto workers_a_rack = static_cast<int>(random.Between(3, 5));
  RoomFixture fixture(racks, workers_a_rack);
  for (WorkerEntry& it : fixture.listed) {
    if (random.Chance(0.4))
      it.labels.emplace_back("b");
  }
  fixture.Run(Duration(100));
  constexpr std::array kQueueNames = {"/holds/", "/plans/", "/sketches/"};
  std::set<JobId> hopeless;
  fixture.workers.set_failing_tasks(
      [&](const TaskId& it) { return hopeless.contains(it.job); });
  const auto add = [&] {
    auto [spec, duration] = RandomJob(random, workers_a_rack);
    fixture.key = random.Chance(0.5) ? "key-plaza" : "key-parque";
    const JobId id =
        fixture.Add(std::move(spec), duration, kQueueNames[random.Below(3)]);
    if (random.Chance(0.15))
      hopeless.insert(id);
  };
  // Long runs that leave each rack partly used.
  for (int rack = 0; rack < racks; ++rack) {
    const auto filled = random.Below(static_cast<uint64_t>(workers_a_rack) / 2);
    for (uint64_t n = 0; n <= filled; ++n) {
      const int64_t ms = random.Between(20'000, 60'000);
      fixture.Fill(RoomFixture::Rack(rack), Duration(ms));
    }
  }
  for (int n = 0; n < 60; ++n) {
    if (random.Chance(0.7))
      add();
    if (random.Chance(0.3))
      DisturbWorkers(fixture, random);
    fixture.Run(Duration(random.Between(50, 600)));
  }
  for (const WorkerEntry& it : fixture.listed)
    fixture.workers.faults(it.id) = ModelWorkerFaults();
  fixture.Run(kCalmBefore);
  for (int n = 0; n < 40; ++n) {
    if (random.Chance(0.3))
      add();
    fixture.Watch(Duration(random.Between(100, 1'000)));
  }
  fixture.CheckWatch();
}

}  // namespace

// Guards against jobs that stand still in states that nobody thought of.
TEST_CASE("No job stands still beside idle workers on random days") {
  constexpr uint64_t kDays = 40;
  for (uint64_t seed = 1; seed <= kDays; ++seed)
    PlayRandomDay(seed);
}

}  // namespace quetzalshelf::batch
