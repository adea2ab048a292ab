// The two executors of a gang fail all that they start. One of them is cut off
// when the gang's first run fails, and the leader is killed before the cut
// ends.

#include "../6/peers/world.hpp"

namespace {

using peers::Executor;
using peers::JobSpec;
using peers::World;

constexpr int kExecutors = 24;
constexpr int kAttempts = 2;
constexpr int64_t kFailAfterMs = 300;
constexpr int64_t kGreyMs = 6'500;
constexpr int64_t kCutMs = 3'000;
constexpr int64_t kKillAfterMs = 1'000;
constexpr int64_t kDarkMs = 3'500;

bool Play(World& world, bool trouble) {
  world.Configure(11,
                  peers::json::array({World::Route("temporada", 1, kAttempts)}),
                  peers::json::array({World::kKey}));
  world.AddExecutors(kExecutors);
  for (const char* zone : {"cartago", "heredia", "alajuela", "san-jose"})
    world.AddNode(zone);
  world.AwaitReady();

  const JobSpec job{.id = "7e3904ada0000001",
                    .queue = "temporada",
                    .steps = {{.count = 2,
                               .task = {.work_ms = 6'800,
                                        .cpu = 26'000,
                                        .mem_mb = 68'000,
                                        .gpu = 8},
                               .estimate_ms = 6'800,
                               .gang = true}}};
  std::vector<Executor*> grey;
  std::set<int64_t> failed_runs;
  world.on_event = [&](const std::string& what, const Executor& executor,
                       const std::string& task, int64_t attempt,
                       const std::string& how) {
    if (!task.starts_with(job.id))
      return;
    if (what == "end" && how == "failed")
      failed_runs.insert(attempt);
    if (!trouble || what != "start" || grey.size() == 2)
      return;
    for (const auto& it : world.fleet.executors) {
      if (it.get() == &executor) {
        it->faults.fail_after_ms = kFailAfterMs;
        grey.push_back(it.get());
        world.Note("executor " + it->id() + " fails all that it starts");
      }
    }
  };
  if (!world.Submit(job))
    throw peers::CannotRun("the job was not accepted");
  if (trouble) {
    if (!world.Await(20'000, [&] { return grey.size() == 2; }))
      throw peers::CannotRun("the gang does not start");
    world.After(kGreyMs, [&] {
      for (Executor* it : grey)
        it->faults.fail_after_ms = -1;
      world.Note("all executors are sound");
    });
    world.Sleep(100);
    grey[1]->CutOff();
    world.Note("executor " + grey[1]->id() + " is cut off");
    world.After(kCutMs, [&] {
      grey[1]->Reconnect();
      world.Note("executor " + grey[1]->id() + " is reachable again");
    });
    world.Sleep(kKillAfterMs);
    const auto leader = static_cast<size_t>(world.Leader());
    world.nodes[leader]->Kill();
    world.Note("the leader " + world.nodes[leader]->name() + " is killed");
    world.After(kDarkMs, [&, leader] { world.nodes[leader]->Start(); });
  }
  std::string state;
  for (int n = 0; n < 60; ++n) {
    world.Sleep(1'000);
    for (size_t node = 0; node < world.nodes.size(); ++node) {
      state = world.State(job, node);
      if (state == "complete" || state == "failed")
        break;
    }
    if (state == "complete" || state == "failed")
      break;
  }
  world.Note("the job is " + state + "; runs of the gang that failed: " +
             std::to_string(failed_runs.size()) + " of " +
             std::to_string(kAttempts) + " attempts");
  return state != "failed" || failed_runs.size() >= kAttempts;
}

}  // namespace

int main(int argc, char** argv) {
  return peers::RunCase(argc, argv, &Play);
}
