// State tests: random sequences of commands by rapidcheck against the
// simulation, whose accounts share nothing with the scheduler's.

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "servers/scheduling/shape_scheduler.h"
#include "tests/scheduling/simulation.h"

namespace quetzalshelf::scheduling {
namespace {

struct World {
  ShapeScheduler scheduler;
  Simulation cluster{scheduler};
  int submitted = 0;

  World() {
    const Shape rack = MakeJob("", "", 3, 8, Adjacency::kRack).gang;
    const Shape single = MakeJob("", "", 1, 4, Adjacency::kWorker).gang;
    cluster.Execute(scheduler.SetWorkspaces(
        {MakeWorkspace("w0", {{rack, 2}}), MakeWorkspace("w1", {{single, 6}}),
         MakeWorkspace("w2")},
        cluster.now()));
    cluster.AddWorkers(3, 2, 3);
    cluster.Run(Duration(1'000));
  }
};

// What a sequence may do next; the real state is in World.
struct Model {
  int jobs = 0;
};

using Step = rc::state::Command<Model, World>;

void CheckRules(const World& world) {
  for (const std::string& it : world.cluster.violations())
    RC_FAIL(it);
  // No job is lost: what the simulation knows as waiting, running or ended is
  // the same for the scheduler.
  for (const auto& [id, job] : world.cluster.jobs()) {
    const JobPhase phase =
        world.scheduler.Explain(id, world.cluster.now()).phase;
    using State = SimulatedJob::State;
    switch (job.state) {
      case State::kWaiting:
        RC_ASSERT(phase == JobPhase::kWaiting);
        break;
      case State::kStarting:
        RC_ASSERT(phase == JobPhase::kStarting);
        break;
      case State::kRunning:
        RC_ASSERT(phase == JobPhase::kRunning);
        break;
      case State::kStopping:
        RC_ASSERT(phase == JobPhase::kStopping);
        break;
      case State::kDone:
        RC_ASSERT(phase == JobPhase::kFinished);
        break;
      case State::kCancelled:
        RC_ASSERT(phase == JobPhase::kCancelled);
        break;
      case State::kRefused:
        RC_ASSERT(phase == JobPhase::kRefused || phase == JobPhase::kFailed);
        break;
    }
  }
}

struct SubmitStep : Step {
  int workspace = *rc::gen::inRange(0, 3);
  int tasks = *rc::gen::element(1, 1, 1, 2, 3, 5);
  int accelerators = *rc::gen::element(1, 2, 4, 8);
  Adjacency adjacency = *rc::gen::element(Adjacency::kWorker,
                                          Adjacency::kRack,
                                          Adjacency::kDomain,
                                          Adjacency::kRegion);
  Urgency urgency =
      *rc::gen::element(Urgency::kUrgent, Urgency::kNormal, Urgency::kPatient);
  bool can_checkpoint = *rc::gen::arbitrary<bool>();
  int run_seconds = *rc::gen::inRange(1, 400);

  void apply(Model& model) const override { ++model.jobs; }
  void run(const Model& /*model*/, World& world) const override {
    Job job = MakeJob(absl::StrCat("j", world.submitted++),
                      absl::StrCat("w", workspace), tasks, accelerators,
                      adjacency, urgency);
    job.can_checkpoint = can_checkpoint;
    world.cluster.Submit(job, Duration(run_seconds * 1'000));
    CheckRules(world);
  }
  void show(std::ostream& os) const override {
    os << "Submit(w" << workspace << ", " << tasks << "x" << accelerators
       << ", adjacency " << static_cast<int>(adjacency) << ", urgency "
       << static_cast<int>(urgency) << ", " << run_seconds << " s)";
  }
};

struct CancelStep : Step {
  int position = *rc::gen::inRange(0, 100);

  void checkPreconditions(const Model& model) const override {
    RC_PRE(model.jobs > 0);
  }
  void run(const Model& model, World& world) const override {
    world.cluster.Cancel(absl::StrCat("j", position % model.jobs));
    CheckRules(world);
  }
  void show(std::ostream& os) const override {
    os << "Cancel(" << position << ")";
  }
};

struct WorkerStep : Step {
  int position = *rc::gen::inRange(0, 18);
  bool lose = *rc::gen::arbitrary<bool>();

  void run(const Model& /*model*/, World& world) const override {
    const auto at = static_cast<size_t>(position);
    const WorkerId id = world.cluster.workers()[at].id;
    if (lose)
      world.cluster.LoseWorker(id);
    else
      world.cluster.ReturnWorker(id);
    CheckRules(world);
  }
  void show(std::ostream& os) const override {
    os << (lose ? "Lose(" : "Return(") << position << ")";
  }
};

struct DomainStep : Step {
  int domain = *rc::gen::inRange(0, 3);
  bool in_service = *rc::gen::arbitrary<bool>();

  void run(const Model& /*model*/, World& world) const override {
    world.cluster.SetDomain(absl::StrCat("d", domain), in_service);
    CheckRules(world);
  }
  void show(std::ostream& os) const override {
    os << "SetDomain(" << domain << ", " << in_service << ")";
  }
};

struct WaitStep : Step {
  int seconds = *rc::gen::element(1, 1, 5, 30, 200);

  void run(const Model& /*model*/, World& world) const override {
    world.cluster.Run(Duration(seconds * 1'000));
    CheckRules(world);
  }
  void show(std::ostream& os) const override {
    os << "Wait(" << seconds << " s)";
  }
};

// Events that are late, repeated or about things nobody knows.
struct NoiseStep : Step {
  int position = *rc::gen::inRange(0, 100);
  int kind = *rc::gen::inRange(0, 10);
  int back = *rc::gen::inRange(1, 3);

  void run(const Model& model, World& world) const override {
    GangScheduler& it = world.scheduler;
    Simulation& cluster = world.cluster;
    const TimePoint now = cluster.now();
    const JobId id(absl::StrCat("j", position % (model.jobs + 2)));
    Attempt attempt(0);
    if (const auto job = cluster.jobs().find(id); job != cluster.jobs().end()) {
      const uint64_t n = job->second.attempt.value();
      attempt = Attempt(n - std::min<uint64_t>(n, static_cast<uint64_t>(back)));
    }
    const WorkerId worker(position % 2 == 0 ? "nobody" : "d0r0w0");
    switch (kind) {
      case 0:
        cluster.Execute(it.GangStarted(id, attempt, now));
        break;
      case 1:
        cluster.Execute(it.GangFinished(id, attempt, now));
        break;
      case 2:
        cluster.Execute(it.GangStopped(id, attempt, now));
        break;
      case 3:
        cluster.Execute(it.TaskFailed(id, attempt, worker, now));
        break;
      case 4:
        cluster.Execute(it.StartFailed(id, attempt, worker, now));
        break;
      case 5:
        cluster.Execute(it.CheckpointSaved(id, attempt, Duration(1), now));
        break;
      case 6:
        cluster.Execute(it.UsageReported(id, attempt, Accelerators(3), now));
        break;
      case 7:
        cluster.Execute(it.WorkerLost(WorkerId("nobody"), now));
        break;
      case 8:
        cluster.Execute(it.Cancel(JobId("nobody"), now));
        break;
      default:
        if (const auto job = cluster.jobs().find(id);
            job != cluster.jobs().end())
          cluster.Execute(it.Submit(job->second.job, now));
        break;
    }
    CheckRules(world);
  }
  void show(std::ostream& os) const override {
    os << "Noise(" << kind << ", j" << position << ", -" << back << ")";
  }
};

// Guards against overcommitted workers, partial gangs, broken adjacency, starts
// in a domain that is out, lost or duplicated jobs, under any order of events.
TEST_CASE("No rule is broken under random sequences of events") {
  const bool holds = rc::check([] {
    World world;
    Model model;
    rc::state::check(
        model, world,
        rc::state::gen::execOneOfWithArgs<SubmitStep, SubmitStep, SubmitStep,
                                          CancelStep, WorkerStep, DomainStep,
                                          WaitStep, WaitStep, NoiseStep>());
  });
  CHECK(holds);
}

// Guards against a queue that stops moving after violations: once everything is
// back, every job that was accepted ends.
TEST_CASE("Every accepted job ends after the faults are over") {
  const bool holds = rc::check([] {
    World world;
    const auto seeds = *rc::gen::container<std::vector<int>>(
        40, rc::gen::inRange(0, 1'000'000));
    for (const int seed : seeds) {
      const int tasks = 1 + seed % 4;
      const int accelerators = 1 << (seed / 10 % 4);
      const auto adjacency = static_cast<Adjacency>(seed / 100 % 4);
      const auto urgency = static_cast<Urgency>(seed / 1'000 % 3);
      world.cluster.Submit(MakeJob(absl::StrCat("j", world.submitted++),
                                   absl::StrCat("w", seed % 3), tasks,
                                   accelerators, adjacency, urgency),
                           Duration(1'000 * (1 + seed % 300)));
      if (seed % 5 == 0) {
        world.cluster.LoseWorker(
            world.cluster.workers()[static_cast<size_t>(seed % 18)].id);
      }
      if (seed % 7 == 0)
        world.cluster.SetDomain(absl::StrCat("d", seed % 3), seed % 2 == 0);
      world.cluster.Run(Duration(1'000 * (seed % 20)));
    }
    for (const Worker& it : world.cluster.workers())
      world.cluster.ReturnWorker(it.id);
    for (int d = 0; d < 3; ++d)
      world.cluster.SetDomain(absl::StrCat("d", d), true);
    world.cluster.Run(Duration(3'600'000));
    CheckRules(world);
    for (const auto& [id, job] : world.cluster.jobs()) {
      RC_ASSERT(job.state == SimulatedJob::State::kDone ||
                job.state == SimulatedJob::State::kRefused);
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace quetzalshelf::scheduling
