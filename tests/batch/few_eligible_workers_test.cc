// Tests of tasks that only few workers may run. What keeps tasks away from a
// worker is a preference: where it leaves none, the task starts all the same.

#include <doctest/doctest.h>

#include <set>
#include <string>

#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

constexpr char kJob[] = "00000000000000b8";
constexpr char kOtherJob[] = "00000000000000b9";
constexpr char kLabel[] = "b";
// A failing worker is on probation for some seconds, and a step waits for
// others than those on which it failed.
constexpr Duration kStartBound{15'000};
constexpr Duration kShortRun{2'500};
constexpr Duration kLongRun{60'000};

// Four racks of two workers, of which the last `labelled` have the label.
struct LabelFixture : LeaderFixture {
  explicit LabelFixture(size_t labelled) : LeaderFixture(4, 2) {
    for (size_t n = listed.size() - labelled; n < listed.size(); ++n) {
      listed[n].labels = {kLabel, listed[n].rack.value()};
      ids.push_back(listed[n].id);
    }
    Run(Duration(100));
  }

  static JobSpec Spec(int tasks, bool gang) {
    JobSpec spec = MakeJob(tasks, 8, gang);
    spec.steps[0].required_label = kLabel;
    return spec;
  }
  void SetFailing(bool fails) {
    for (const WorkerId& it : ids)
      workers.faults(it).fails_tasks = fails;
  }
  // Runs until the first task of the job has started so often.
  void AwaitStarts(const char* job, int starts, Duration limit) {
    const TimePoint end = runner.Now() + limit;
    while (workers.starts(Task(job, 0)) < starts && runner.Now() < end)
      Run(Duration(10));
    REQUIRE(workers.starts(Task(job, 0)) == starts);
  }

  std::vector<WorkerId> ids;  // Of the workers with the label.
};

}  // namespace

// Guards against a task that is never started again since it has failed on each
// worker that it may use.
TEST_CASE("A task that failed on its only workers starts again") {
  size_t labelled = 1;
  SUBCASE("one worker") {}
  SUBCASE("two workers") {
    labelled = 2;
  }
  LabelFixture fixture(labelled);
  fixture.SetFailing(true);
  fixture.Submit(kJob, LabelFixture::Spec(1, false), "/holds/");
  fixture.AwaitStarts(kJob, static_cast<int>(labelled), kStartBound);
  fixture.Run(Duration(300));
  fixture.SetFailing(false);
  CHECK(fixture.RunUntilFinal(kJob, kStartBound) == JobPhase::kComplete);
}

TEST_CASE("A task that failed on the only worker of its size starts again") {
  LeaderFixture fixture(2, 2);
  WorkerEntry& large = fixture.listed[1];
  large.capacity.accelerators = Accelerators(16);
  fixture.Run(Duration(100));
  fixture.workers.faults(large.id).fails_tasks = true;
  fixture.Submit(kJob, MakeJob(1, 16, false), "/holds/");
  fixture.Run(Duration(500));
  REQUIRE(fixture.workers.failures(Task(kJob, 0)) == 1);
  fixture.workers.faults(large.id).fails_tasks = false;
  CHECK(fixture.RunUntilFinal(kJob, kStartBound) == JobPhase::kComplete);
}

TEST_CASE("A gang that failed on its only workers starts again") {
  LabelFixture fixture(2);
  fixture.workers.set_gang_size([](const StartOrder&) { return 2; });
  fixture.SetFailing(true);
  fixture.Submit(kJob, LabelFixture::Spec(2, true), "/holds/");
  fixture.AwaitStarts(kJob, 1, kStartBound);
  fixture.Run(Duration(300));
  fixture.SetFailing(false);
  CHECK(fixture.RunUntilFinal(kJob, kStartBound) == JobPhase::kComplete);
}

// Guards against a step that waits for a worker that is in use for good, though
// another one, on which it failed once, is idle.
TEST_CASE("A task does not wait for ever for a worker without failures") {
  LabelFixture fixture(2);
  fixture.run_time = kLongRun;
  fixture.Submit(kOtherJob, LabelFixture::Spec(1, false), "/holds/");
  fixture.AwaitStarts(kOtherJob, 1, kStartBound);
  const WorkerId taken = fixture.workers.HolderOf(Task(kOtherJob, 0));
  fixture.run_time = kShortRun;
  for (const WorkerId& it : fixture.ids)
    fixture.workers.faults(it).fails_tasks = it != taken;
  fixture.Submit(kJob, LabelFixture::Spec(1, false), "/holds/");
  fixture.AwaitStarts(kJob, 1, kStartBound);
  fixture.Run(Duration(300));
  fixture.SetFailing(false);
  CHECK(fixture.RunUntilFinal(kJob, kStartBound) == JobPhase::kComplete);
  CHECK(fixture.workers.IsRunning(Task(kOtherJob, 0)));
}

// Guards against a gang that is kept from its only workers by the failures of
// other jobs there.
TEST_CASE("A gang starts on its only workers after others failed there") {
  LabelFixture fixture(2);
  fixture.SetFailing(true);
  fixture.Submit(kOtherJob, LabelFixture::Spec(2, false), "/holds/");
  fixture.AwaitStarts(kOtherJob, 1, kStartBound);
  fixture.Run(Duration(300));
  fixture.SetFailing(false);
  fixture.Submit(kJob, LabelFixture::Spec(2, true), "/holds/");
  fixture.AwaitStarts(kJob, 1, kStartBound);
}

// Guards against a suspect task that waits for a worker without its own step.
TEST_CASE("A task under which its only worker crashed starts again") {
  LabelFixture fixture(1);
  fixture.run_time = Duration(20'000);
  JobSpec spec = LabelFixture::Spec(2, false);
  spec.steps[0].resources.accelerators = Accelerators(1);
  fixture.workers.set_deadly_tasks([&](const TaskId& it) {
    return it == Task(kJob, 0) && fixture.workers.crashes() == 0;
  });
  fixture.Submit(kJob, spec, "/holds/");
  fixture.AwaitStarts(kJob, 2, kStartBound);
  // Tasks under which a worker has crashed start apart for some seconds.
  fixture.Run(Duration(5'000));
  CHECK(fixture.workers.IsRunning(Task(kJob, 0)));
  CHECK(fixture.workers.IsRunning(Task(kJob, 1)));
}

// Guards against work that is deferred although no urgent work needs the racks
// that are kept free: no other rack has its label.
TEST_CASE("A task for a rack of the headroom starts at once") {
  LeaderFixture fixture(4, 2);
  for (const WorkerEntry& it : std::vector<WorkerEntry>(fixture.listed)) {
    const std::string id = "00000000000001" + it.id.value().substr(1);
    JobSpec spec = MakeJob(1, 1, false);
    spec.steps[0].required_label = it.rack.value();
    spec.steps[0].estimate = Duration(60'000);
    fixture.run_time = kLongRun;
    fixture.Submit(id, spec, "/sketches/");
    fixture.Run(Duration(500));
    CHECK(fixture.workers.IsRunning(Task(id.c_str(), 0)));
  }
}

// Guards against a gang that is never started again since each worker that it
// may use has failed it or refuses to start anything.
TEST_CASE("A gang starts on workers that failed it where the others refuse") {
  LabelFixture fixture(3);
  fixture.workers.set_gang_size([](const StartOrder&) { return 2; });
  fixture.SetFailing(true);
  fixture.Submit(kJob, LabelFixture::Spec(2, true), "/holds/");
  fixture.AwaitStarts(kJob, 1, kStartBound);
  fixture.Run(Duration(20));
  const std::set<WorkerId> failed_on = {
      fixture.workers.HolderOf(Task(kJob, 0)),
      fixture.workers.HolderOf(Task(kJob, 1))};
  REQUIRE(failed_on.size() == 2);
  fixture.Run(Duration(300));
  fixture.SetFailing(false);
  // Each worker has failed the step or refuses to start anything.
  for (const WorkerId& it : fixture.ids)
    fixture.workers.faults(it).refuses = !failed_on.contains(it);
  CHECK(fixture.RunUntilFinal(kJob, kStartBound) == JobPhase::kComplete);
}

}  // namespace quetzalshelf::batch
