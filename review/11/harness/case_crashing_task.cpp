// A task crashes each executor that starts it; the leader changes once.

#include <set>
#include <string>

#include "cases.hpp"

namespace review {

namespace {

constexpr char kJob[] = "5c0e7a21d94b36f8";
// Crashed executors after which a task may be started twice more.
constexpr size_t kFreeCrashes = 3;
constexpr int kAllowedStarts = 2;
// Before the crashed executor is back, after 3 s.
constexpr Millis kKillAfterCrash{2'400};
constexpr Millis kKilled{3'500};
constexpr Millis kLength{60'000};
// After so long without a start or a crash the task is given up.
constexpr Millis kQuiet{15'000};

struct Crashes {
  int crashes = 0;
  std::set<std::string> executors;
  // Starts by nodes in touch after different executors, kFreeCrashes of them,
  // have crashed under the task.
  int starts = 0;
};

Crashes Count(const Fleet& fleet) {
  Crashes result;
  for (const Executor::Event& it : fleet.events()) {
    if (!it.task.starts_with(kJob))
      continue;
    if (it.what == "crash") {
      ++result.crashes;
      result.executors.insert(it.executor);
    }
    if (it.what == "start" && it.in_touch &&
        result.executors.size() >= kFreeCrashes)
      ++result.starts;
  }
  return result;
}

// After each of the first crashes a job of one task comes that needs another
// rack. Work is packed into the fullest rack, so that the crashing task starts
// on an executor there next.
class RackDrawer {
 public:
  explicit RackDrawer(Fleet& fleet) : fleet_(fleet) {}

  void Draw() {
    const auto crashed = Count(fleet_).executors.size();
    if (crashed <= drawn_ || drawn_ + 1 == kFreeCrashes)
      return;
    ++drawn_;
    fleet_.Submit("5c0e7a21d94b400" + std::to_string(drawn_), fleet_.urgent(),
                  "ms=100000 cpu=64000 mem=64",
                  {{{"count", 1},
                    {"cpu", 64'000},
                    {"mem_mb", 64},
                    {"gpu", 4 * drawn_},
                    {"estimate_ms", 100'000},
                    {"required_label", "r1-" + std::to_string(drawn_ + 1)}}});
  }

 private:
  Fleet& fleet_;
  size_t drawn_ = 0;
};

}  // namespace

CaseResult PlayCrashingTask(FleetOptions options, bool trouble) {
  Fleet fleet(options);
  fleet.Start();
  fleet.Submit(
      kJob, fleet.urgent(), "ms=8000 cpu=1000 mem=64 crash=2500",
      {{{"count", 1}, {"cpu", 1'000}, {"mem_mb", 64}, {"estimate_ms", 8'000}}});
  if (!fleet.RunUntil(Millis(20'000), [&] { return Count(fleet).crashes > 0; }))
    throw CannotRun("the task has not crashed an executor");
  RackDrawer drawer(fleet);
  drawer.Draw();
  if (trouble) {
    fleet.RunFor(kKillAfterCrash);
    Entry& leader = fleet.Leader();
    fleet.Kill(leader);
    fleet.At(kKilled, [&fleet, &leader] { fleet.Restart(leader); });
  }
  int64_t last_ms = fleet.record().Elapsed();
  int last_crashes = 0;
  fleet.RunUntil(kLength, [&] {
    drawer.Draw();
    const Crashes now = Count(fleet);
    if (now.crashes != last_crashes) {
      last_crashes = now.crashes;
      last_ms = fleet.record().Elapsed();
    }
    return now.starts > kAllowedStarts ||
           fleet.record().Elapsed() - last_ms > kQuiet.count();
  });
  fleet.Ask(kJob);
  fleet.RunFor(Millis(2'000));
  const Crashes all = Count(fleet);
  if (all.crashes < static_cast<int>(kFreeCrashes))
    throw CannotRun("fewer than three executors have crashed");
  return {.broken = all.starts > kAllowedStarts,
          .what = std::to_string(all.crashes) + " crashes under the task, of " +
                  std::to_string(all.executors.size()) +
                  " executors; starts by nodes in touch after three had "
                  "crashed: " +
                  std::to_string(all.starts) + "; the job is shown as " +
                  fleet.jobs().at(kJob).state};
}

}  // namespace review
