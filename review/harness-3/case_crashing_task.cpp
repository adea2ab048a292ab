// A task crashes each executor that starts it; the leader changes once.

#include <csignal>

#include "cases.hpp"

namespace review {

namespace {

constexpr char kJob[] = "5c0e7a21d94b36f8";
// Crashed executors after which a task may be started twice more.
constexpr int kFreeCrashes = 3;
constexpr int kAllowedStarts = 2;
constexpr Millis kLength{60'000};
// After so long without a start or a crash the task is given up.
constexpr Millis kQuiet{15'000};

}  // namespace

CaseResult PlayCrashingTask(FleetOptions options, bool trouble) {
  Fleet fleet(options);
  fleet.Start();
  fleet.Submit(
      kJob, fleet.urgent(), "ms=8000 cpu=1000 mem=64 crash=2500",
      {{{"count", 1}, {"cpu", 1'000}, {"mem_mb", 64}, {"estimate_ms", 8'000}}});
  const auto count = [&](const std::string& what) {
    int sum = 0;
    for (const Executor::Event& it : fleet.events())
      sum += it.what == what ? 1 : 0;
    return sum;
  };
  if (!fleet.RunUntil(Millis(20'000), [&] { return count("crash") > 0; }))
    throw CannotRun("the task has not crashed an executor");
  if (trouble) {
    // Before the executor is back, after 3 s.
    fleet.RunFor(Millis(2'400));
    Entry& leader = fleet.Leader();
    leader.Signal(SIGKILL);
    leader.Reap();
    fleet.RunFor(Millis(3'500));
    leader.Start();
  }
  fleet.RunUntil(kLength, [&] {
    const int64_t quiet =
        fleet.record().Elapsed() - fleet.events().back().at_ms;
    return count("crash") > kFreeCrashes + kAllowedStarts ||
           quiet > kQuiet.count();
  });
  fleet.Ask(kJob);
  fleet.RunFor(Millis(2'000));
  int crashes = 0;
  int starts = 0;
  for (const Executor::Event& it : fleet.events()) {
    if (it.what == "crash")
      ++crashes;
    if (it.what == "start" && crashes >= kFreeCrashes)
      ++starts;
  }
  return {.broken = starts > kAllowedStarts,
          .what = std::to_string(crashes) +
                  " executors crashed under the task; " +
                  "starts after the third crash: " + std::to_string(starts) +
                  "; the job is shown as " + fleet.jobs().at(kJob).state};
}

}  // namespace review
