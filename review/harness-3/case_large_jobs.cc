// Two large scheduled jobs come at once, among small jobs.

#include <algorithm>
#include <cstdio>

#include "cases.h"

namespace review {

namespace {

// The largest job of `boceto` in grown/solano-tarima-grown.toml: width,
// steps, times, and the seconds between two of them.
constexpr int kWidth = 230;
constexpr int kSteps = 3;
constexpr int kTimes = 6;
constexpr int64_t kPeriodMs = 2'000;
constexpr int kLargeJobs = 2;
constexpr int kTasks = kWidth * kSteps * kTimes;

constexpr int kSmallJobs = 40;
constexpr int kSmallJobsBefore = 5;
constexpr int kTasksOfSmallJob = 2;
constexpr Millis kJobSpacing{1'000};
// `finish_s`; a job must not stand for longer than the second figure then.
constexpr Millis kFinish{14'000};
constexpr Millis kStanding{3'000};

std::string LargeJobId(int n) {
  return "5c0e7a21d94bf00" + std::to_string(n);
}

}  // namespace

CaseResult PlayLargeScheduledJobs(FleetOptions options, bool trouble) {
  Fleet fleet(options);
  fleet.Start();
  for (int n = 0; n < kSmallJobs; ++n) {
    if (trouble && n == kSmallJobsBefore) {
      Json phases = Json::array();
      for (int step = 0; step < kSteps; ++step) {
        phases.push_back({{"count", kWidth}, {"cpu", 500}, {"mem_mb", 64},
                          {"estimate_ms", 600}, {"checkpointing", true}});
        if (step > 0)
          phases.back()["depends_on"] = {step - 1};
      }
      for (int job = 0; job < kLargeJobs; ++job) {
        fleet.Submit(LargeJobId(job), fleet.bulk(),
                     "ms=600 cpu=500 mem=64 saves=500", phases,
                     {.repeats = kTimes,
                      .first_ms = WallMillis() + kPeriodMs,
                      .period_ms = kPeriodMs});
      }
    }
    char id[17];
    std::snprintf(id, sizeof(id), "5c0e7a21d94b%04x", 0x4000 + n);
    fleet.Submit(id, n % 2 == 0 ? fleet.urgent() : fleet.bulk(),
                 "ms=1000 cpu=1000 mem=64",
                 {{{"count", kTasksOfSmallJob}, {"cpu", 1'000},
                   {"mem_mb", 64}, {"estimate_ms", 1'000}}});
    fleet.RunFor(kJobSpacing);
  }
  const int64_t traffic_end = fleet.record().Elapsed();
  fleet.record().Line("the traffic has ended");
  fleet.RunFor(kFinish);
  const int64_t judged_from = fleet.record().Elapsed();
  const int64_t end = judged_from + kStanding.count();
  // At most this many cores are in use while a job stands.
  size_t most_runs = 0;
  while (fleet.record().Elapsed() < end) {
    size_t runs = 0;
    for (const auto& it : fleet.executors())
      runs += it->runs();
    most_runs = std::max(most_runs, runs);
    fleet.RunFor(Millis(50));
  }
  for (const auto& [id, job] : fleet.jobs())
    fleet.Ask(id);
  fleet.RunFor(Millis(3'000));

  std::map<std::string, int> done;
  std::map<std::string, int64_t> last_seen;
  for (const Executor::Event& it : fleet.events()) {
    const std::string job = it.task.substr(0, it.task.find('.'));
    done[job] += it.what == "done" ? 1 : 0;
    last_seen[job] = it.at_ms;
  }
  int standing = 0;
  int incomplete = 0;
  std::string large;
  for (const auto& [id, job] : fleet.jobs()) {
    if (!job.accepted)
      throw CannotRun("job " + id + " was not accepted");
    const bool is_large = id.starts_with("5c0e7a21d94bf00");
    const int tasks = is_large ? kTasks : kTasksOfSmallJob;
    incomplete += job.state == "complete" ? 0 : 1;
    // Nothing of it ran for the whole span, and tasks have not run.
    if (done[id] < tasks && last_seen[id] < judged_from)
      ++standing;
    if (is_large) {
      large += "; large job " + id + ": " + std::to_string(done[id]) + " of " +
               std::to_string(tasks) + " tasks done, the last event at " +
               std::to_string(last_seen[id]) + ", shown as " + job.state;
    }
  }
  return {.broken = standing > 0,
          .what = std::to_string(standing) + " of " +
                  std::to_string(fleet.jobs().size()) +
                  " accepted jobs had tasks to run and nothing running from " +
                  std::to_string(judged_from) + " to " + std::to_string(end) +
                  " (the traffic ended at " + std::to_string(traffic_end) +
                  "), runs at work then: at most " + std::to_string(most_runs) +
                  "; not shown as complete: " + std::to_string(incomplete) +
                  large + "; transactions refused for the size of a row: " +
                  std::to_string(fleet.store().refused_for_size())};
}

}  // namespace review
