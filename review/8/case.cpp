// A task needs a label that two executors have. For some seconds these two fail
// all that they start; then they are sound again, and idle.

#include "../6/peers/world.hpp"

namespace {

using peers::JobSpec;
using peers::World;

constexpr int kExecutors = 24;
// Two of them have the label, 0.083 of the executors.
constexpr int64_t kFailMs = 6'500;
constexpr int64_t kFailAfterMs = 300;
constexpr int kAttempts = 3;
constexpr int64_t kWatchMs = 40'000;

bool Play(World& world, bool trouble) {
  world.Configure(11,
                  peers::json::array({World::Route("apartado", 0, kAttempts)}),
                  peers::json::array({World::kKey}));
  world.AddExecutors(kExecutors);
  // Both in one rack.
  for (const size_t n : {3, 7}) {
    world.fleet.executors[n]->kind = "b";
    world.Report(*world.fleet.executors[n]);
  }
  for (const char* zone : {"cartago", "heredia", "alajuela"})
    world.AddNode(zone);
  world.AwaitReady();

  // One task of the queue `apartado`, on all GPUs of an executor.
  const JobSpec job{
      .id = "a9a47ad000000002",
      .queue = "apartado",
      .steps = {
          {.count = 1,
           .task = {.work_ms = 2'500, .cpu = 7'500, .mem_mb = 11'000, .gpu = 8},
           .estimate_ms = 2'500,
           .required_label = "b"}}};
  if (trouble) {
    world.Note("the executors of kind b fail all that they start");
    for (const auto& it : world.fleet.executors)
      it->faults.fail_after_ms = it->kind == "b" ? kFailAfterMs : -1;
    world.After(kFailMs, [&] {
      for (const auto& it : world.fleet.executors)
        it->faults.fail_after_ms = -1;
      world.Note("all executors are sound");
    });
  }
  if (!world.Submit(job))
    throw peers::CannotRun("the job was not accepted");
  std::string state;
  for (int64_t passed = 0; passed < kWatchMs; passed += 1'000) {
    world.Sleep(1'000);
    state = world.State(job, 1);
    if (state != "queued" && state != "running")
      break;
  }
  int failed = 0;
  for (const auto& [task, seen] : world.tasks) {
    failed = std::max(
        failed, static_cast<int>(std::ranges::count(seen.ends, "failed")));
  }
  const int64_t idle_ms = peers::NowMs() - world.last_start_ms;
  world.Note("the job is " + state +
             "; most failed runs of a task: " + std::to_string(failed) +
             " of " + std::to_string(kAttempts) + " attempts; tasks running: " +
             std::to_string(world.RunningTasks()) + "; the last start was " +
             std::to_string(idle_ms) + " ms ago");
  // LOST: for 3 s nothing runs though a task's turn has come and there is
  // capacity for it twice over. The two executors have been sound and idle for
  // over 30 s.
  const bool waits = state == "queued" || state == "running";
  return !(waits && world.RunningTasks() == 0 && idle_ms > 10'000);
}

}  // namespace

int main(int argc, char** argv) {
  return peers::RunCase(argc, argv, &Play);
}
