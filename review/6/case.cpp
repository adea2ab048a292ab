// An idle executor crashes and starts again under its id. It gets a task right
// after that, and is cut off a moment later; it runs on.

#include "peers/world.hpp"

namespace {

using peers::Executor;
using peers::JobSpec;
using peers::World;

constexpr int kExecutors = 24;
constexpr int64_t kDownMs = 4'500;
// From its start to its first report.
constexpr int64_t kReportMs = 500;
// From the start of the task to the cut.
constexpr int64_t kCutAfterMs = 300;
constexpr int64_t kCutMs = 5'500;

JobSpec Plan(int n, int64_t work_ms) {
  char id[17];
  std::snprintf(id, sizeof id, "3a7e49140000%04x", static_cast<unsigned>(n));
  return {.id = id,
          .queue = "water-plan",
          .steps = {{.count = 1,
                     .task = {.work_ms = work_ms,
                              .cpu = 15'000,
                              .mem_mb = 11'000,
                              .gpu = 8},
                     .estimate_ms = work_ms}}};
}

bool Play(World& world, bool trouble) {
  world.Configure(11, peers::json::array({World::Route("water-plan", 0, 3)}),
                  peers::json::array({World::kKey}));
  world.AddExecutors(kExecutors);
  for (const char* zone : {"recife-a", "recife-b", "caruaru-a", "caruaru-b"})
    world.AddNode(zone);
  world.AwaitReady();

  // Which executor gets a task while all are idle.
  const JobSpec probe = Plan(1, 1'000);
  const JobSpec job = Plan(2, 8'000);
  Executor* chosen = nullptr;
  bool twice = false;
  world.on_event = [&](const std::string& what, const Executor& executor,
                       const std::string& task, int64_t, const std::string&) {
    if (what != "start")
      return;
    for (const auto& it : world.fleet.executors) {
      if (it.get() == &executor) {
        chosen = it.get();
      } else if (it->up() && it->runs().contains(task)) {
        twice = true;
        world.Note("task " + task + " starts on " + executor.id() +
                   " while it runs on " + it->id());
      }
    }
  };
  if (!world.Submit(probe) || !world.Await(10'000, [&] {
        return world.tasks[probe.id + ".0.0.0"].done;
      }))
    throw peers::CannotRun("the first job was not run");
  world.Sleep(3'000);
  Executor* const first = chosen;
  if (trouble) {
    first->Crash();
    world.Note("executor " + first->id() + " crashes, idle");
    world.Sleep(kDownMs);
    first->Restart();
    world.Note("executor " + first->id() + " is back");
    world.After(kReportMs, [&, first] {
      world.Report(*first);
      world.Note("executor " + first->id() + " reports itself");
    });
  }
  chosen = nullptr;
  if (!world.Submit(job))
    throw peers::CannotRun("the job was not accepted");
  if (!world.Await(5'000, [&] { return chosen != nullptr; }))
    throw peers::CannotRun("the job does not start");
  if (trouble) {
    Executor* const cut = chosen;
    world.Sleep(kCutAfterMs);
    cut->CutOff();
    world.Note("executor " + cut->id() + " is cut off");
    world.Sleep(kCutMs);
    cut->Reconnect();
    world.Note("executor " + cut->id() + " is reachable again");
  }
  std::string state;
  for (int n = 0; n < 30 && state != "complete" && state != "failed"; ++n) {
    world.Sleep(1'000);
    state = world.State(job, 1);
  }
  world.Note("the job is " + state);
  return !twice;
}

}  // namespace

int main(int argc, char** argv) {
  return peers::RunCase(argc, argv, &Play);
}
