// A large recurring job is handed in beside small jobs. The executors, the
// store and the nodes are sound all the while.

#include "../peers-2/world.h"

namespace {

using peers::JobSpec;
using peers::Step;
using peers::TaskInfo;
using peers::World;

// Of the queue `boceto` of grown/solano-tarima-grown.toml: at most 3.2 steps
// of 230 tasks, 6 times, every 2 s, each task on 5.6 cores and 1 GPU.
constexpr int kSteps = 3;
constexpr int kWidth = 230;
constexpr int kTimes = 6;
constexpr int64_t kPeriodMs = 2'000;
constexpr int kExecutors = 48;
// `finish_s` of that site.
constexpr int64_t kFinishMs = 14'000;
constexpr int64_t kIdleMs = 3'000;
constexpr int64_t kWatchMs = 10'000;

JobSpec Large(bool trouble) {
  JobSpec job{.id = "b0ce700000000001", .queue = "boceto"};
  for (int n = 0; n < kSteps; ++n) {
    Step step{.count = kWidth,
              .task = {.work_ms = 2'000, .cpu = 5'600, .mem_mb = 11'000,
                       .gpu = 1},
              .estimate_ms = 2'000};
    if (n > 0)
      step.depends_on = {n - 1};
    job.steps.push_back(step);
  }
  job.repeats = trouble ? kTimes : 1;
  job.first_ms = peers::WallMs() + 500;
  job.period_ms = kPeriodMs;
  return job;
}

JobSpec Small(int n) {
  char id[17];
  std::snprintf(id, sizeof id, "a9a47ad0%08x", static_cast<unsigned>(n));
  return {.id = id,
          .queue = "apartado",
          .steps = {{.count = 3,
                     .task = {.work_ms = 1'000, .cpu = 7'500, .mem_mb = 11'000,
                              .gpu = 1},
                     .estimate_ms = 1'000}}};
}

bool Play(World& world, bool trouble) {
  world.quiet_events = true;
  world.Configure(11,
                  {World::Route("apartado", 0, 3), World::Route("boceto", 2, 4)},
                  peers::json::array({World::kKey}));
  world.AddExecutors(kExecutors);
  for (const char* zone : {"cartago", "heredia", "alajuela"})
    world.AddNode(zone);
  world.AwaitReady();
  const JobSpec large = Large(trouble);
  if (!world.Submit(large))
    throw peers::CannotRun("the large job was not accepted");
  // A small job every 2 s, until well after all work could be done.
  std::vector<JobSpec> small;
  constexpr int kSmallJobs = 25;
  for (int n = 0; n < kSmallJobs; ++n) {
    small.push_back(Small(n));
    if (!world.Submit(small.back(), static_cast<size_t>(n)))
      world.Note("job " + small.back().id + " was not accepted");
    world.Sleep(1'900);
    int done = 0;
    for (const auto& [task, seen] : world.tasks)
      done += seen.done ? 1 : 0;
    world.Note("tasks done: " + std::to_string(done) +
               ", running: " + std::to_string(world.RunningTasks()) +
               ", last start " +
               std::to_string(peers::NowMs() - world.last_start_ms) +
               " ms ago, rows refused by the store: " +
               std::to_string(world.store.refused) + " (largest " +
               std::to_string(world.store.largest_refused) + " bytes)");
  }
  world.Note("end of the traffic");
  world.Sleep(kFinishMs);
  // The longest time in which nothing runs anywhere.
  int64_t idle_since = peers::NowMs();
  int64_t longest_idle_ms = 0;
  for (const int64_t end = peers::NowMs() + kWatchMs; peers::NowMs() < end;
       world.Sleep(20)) {
    if (world.RunningTasks() > 0)
      idle_since = peers::NowMs();
    longest_idle_ms = std::max(longest_idle_ms, peers::NowMs() - idle_since);
  }
  // LOST: for 3 s a job has nothing running while a task's turn has come, with
  // capacity for it twice over and under half of the capacity in use.
  const int running = world.RunningTasks();
  int not_complete = 0;
  small.push_back(large);
  for (const JobSpec& it : small) {
    int starts = 0;
    int runs = 0;
    for (const auto& [task, seen] : world.tasks) {
      if (!task.starts_with(it.id + "."))
        continue;
      starts += seen.starts;
      runs += seen.running_on.empty() ? 0 : 1;
    }
    const std::string state = world.State(it, 1);
    if (state == "complete")
      continue;
    world.Note("job " + it.id + " is " + state + ": tasks started " +
               std::to_string(starts) + ", running " + std::to_string(runs));
    if (runs == 0)
      ++not_complete;
  }
  world.Note("running on " + std::to_string(kExecutors) +
             " executors: " + std::to_string(running) +
             " tasks; accepted jobs that are not complete and have nothing "
             "running: " +
             std::to_string(not_complete) + "; nothing ran anywhere for " +
             std::to_string(longest_idle_ms) + " ms on end");
  // While nothing runs, all of the capacity is free. The turn of the first
  // tasks of the large job's later times has come: they are all due.
  return not_complete == 0 || longest_idle_ms < kIdleMs;
}

}  // namespace

int main(int argc, char** argv) {
  return peers::RunCase(argc, argv, &Play);
}
