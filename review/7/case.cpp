// The switch of a rack flaps: its executors are cut off for some seconds, five
// times. They run on; none crashes, and no run fails.

#include "../6/peers/world.hpp"

namespace {

using peers::Executor;
using peers::JobSpec;
using peers::World;

constexpr int kExecutors = 24;
constexpr int kRacks = 6;
// One rack, 0.167 of the executors.
constexpr char kRack[] = "r4-1";
constexpr int64_t kCutMs = 5'500;
// The rack works so long after its task has been started again.
constexpr int64_t kUpMs = 2'500;
constexpr int kCuts = 5;
constexpr int kAttempts = 4;

bool Play(World& world, bool trouble) {
  world.Configure(11,
                  peers::json::array({World::Route("boceto", 2, kAttempts)}),
                  peers::json::array({World::kKey}));
  world.AddExecutors(kExecutors, kRacks);
  for (const char* zone : {"cartago", "heredia", "alajuela"})
    world.AddNode(zone);
  world.AwaitReady();

  const JobSpec job{
      .id = "b0ce700000000004",
      .queue = "boceto",
      .steps = {
          {.count = 1,
           .task = {.work_ms = 7'600, .cpu = 5'600, .mem_mb = 11'000, .gpu = 1},
           .estimate_ms = 7'600,
           .required_label = kRack}}};
  const std::string task = job.id + ".0.0.0";
  if (!world.Submit(job))
    throw peers::CannotRun("the job was not accepted");
  std::string state = "queued";
  const auto look = [&] {
    state = world.State(job, 1);
    return state == "complete" || state == "failed";
  };
  for (int n = 0; trouble && n < kCuts; ++n) {
    if (!world.Await(20'000,
                     [&] { return !world.tasks[task].running_on.empty(); }))
      break;
    world.Sleep(kUpMs);
    if (look())
      break;
    world.Note("cut " + std::to_string(n + 1) + " of rack " + kRack);
    for (const auto& it : world.fleet.executors) {
      if (it->rack() == kRack)
        it->CutOff();
    }
    world.Sleep(kCutMs);
    for (const auto& it : world.fleet.executors) {
      if (it->rack() == kRack)
        it->Reconnect();
    }
    world.Note("rack " + std::string(kRack) + " is reachable again");
  }
  for (int n = 0; n < 40 && !look(); ++n)
    world.Sleep(500);
  const auto& ends = world.tasks[task].ends;
  const auto count = [&](const char* how) {
    return static_cast<int>(std::ranges::count(ends, how));
  };
  world.Note("the job is " + state +
             "; runs: " + std::to_string(world.tasks[task].starts) +
             ", failed " + std::to_string(count("failed")) + ", lapsed " +
             std::to_string(count("lapsed")) + ", crashed executors " +
             std::to_string(count("crash")));
  return state != "failed" || count("failed") >= kAttempts;
}

}  // namespace

int main(int argc, char** argv) {
  return peers::RunCase(argc, argv, &Play);
}
