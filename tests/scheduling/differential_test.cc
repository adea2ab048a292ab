// Runs the same jobs under both schedulers.

#include <doctest/doctest.h>

#include <map>
#include <string>

#include <absl/strings/str_cat.h>

#include "core/random.h"
#include "servers/scheduling/naive_scheduler.h"
#include "servers/scheduling/shape_scheduler.h"
#include "tests/scheduling/simulation.h"

namespace quetzalshelf::scheduling {
namespace {

using State = SimulatedJob::State;

std::map<JobId, State> RunJobs(GangScheduler& scheduler, uint64_t seed) {
  Simulation cluster(scheduler);
  const Shape rack = MakeJob("", "", 3, 8, Adjacency::kRack).gang;
  cluster.Execute(
      scheduler.SetWorkspaces({MakeWorkspace("w0", {{rack, 2}}),
                               MakeWorkspace("w1"), MakeWorkspace("w2")},
                              cluster.now()));
  cluster.AddWorkers(2, 2, 3);
  Random random(seed);
  for (int n = 0; n < 120; ++n) {
    const auto adjacency = static_cast<Adjacency>(random.Below(4));
    const auto urgency = static_cast<Urgency>(random.Below(3));
    const auto tasks = static_cast<int>(random.Between(1, 5));
    const int accelerators = 1 << random.Below(4);
    cluster.Submit(
        MakeJob(absl::StrCat("j", n), absl::StrCat("w", random.Below(4)), tasks,
                accelerators, adjacency, urgency),
        Duration(random.Between(1'000, 200'000)));
    cluster.Run(Duration(random.Between(0, 10'000)));
    if (random.Chance(0.1))
      cluster.Cancel(absl::StrCat("j", n));
  }
  cluster.Run(Duration(4 * 3'600'000));
  for (const std::string& it : cluster.violations())
    FAIL_CHECK(it);
  std::map<JobId, State> states;
  for (const auto& [id, job] : cluster.jobs())
    states[id] = job.state;
  return states;
}

// Guards against jobs that only one scheduler refuses or never ends. A job that
// is cancelled while it ends may have either outcome.
TEST_CASE("Both schedulers bring the same jobs to an end") {
  for (const uint64_t seed : {1, 2, 3}) {
    ShapeScheduler shape;
    NaiveScheduler naive;
    const auto ours = RunJobs(shape, seed);
    const auto theirs = RunJobs(naive, seed);
    REQUIRE(ours.size() == theirs.size());
    for (const auto& [id, state] : ours) {
      const std::string name = id.value();
      CAPTURE(name);
      const State other = theirs.at(id);
      const bool has_ended = state == State::kDone ||
                             state == State::kCancelled ||
                             state == State::kRefused;
      CHECK(has_ended);
      CHECK((state == State::kRefused) == (other == State::kRefused));
    }
  }
}

}  // namespace
}  // namespace quetzalshelf::scheduling
