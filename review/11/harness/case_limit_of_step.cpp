// Urgent work with a limit for each executor comes while all are full.

#include <algorithm>
#include <map>
#include <set>

#include "cases.hpp"

namespace review {

namespace {

constexpr char kUrgent[] = "5c0e7a21d94b36f8";
constexpr char kWide[] = "5c0e7a21d94b4001";
constexpr char kSmall[] = "5c0e7a21d94b4002";
constexpr int kLimit = 2;

}  // namespace

CaseResult PlayLimitOfStep(FleetOptions options, bool trouble) {
  Fleet fleet(options);
  fleet.Start();
  if (trouble) {
    fleet.Submit(kWide, fleet.bulk(), "ms=40000 cpu=30000 mem=64",
                 {{{"count", options.executors - 1},
                   {"cpu", 30'000},
                   {"mem_mb", 64},
                   {"gpu", 8},
                   {"estimate_ms", 1'000}}});
    const auto runs = [&] {
      size_t sum = 0;
      for (const auto& it : fleet.executors())
        sum += it->runs();
      return sum;
    };
    const auto wide = static_cast<size_t>(options.executors - 1);
    if (!fleet.RunUntil(Millis(20'000), [&] { return runs() == wide; }))
      throw CannotRun("the executors are not full");
    fleet.Submit(kSmall, fleet.bulk(), "ms=40000 cpu=1000 mem=64",
                 {{{"count", 3},
                   {"cpu", 1'000},
                   {"mem_mb", 64},
                   {"gpu", 2},
                   {"estimate_ms", 1'000}}});
    if (!fleet.RunUntil(Millis(20'000), [&] { return runs() == wide + 3; }))
      throw CannotRun("the last executor is not full");
    fleet.RunFor(Millis(1'000));
  }
  fleet.Submit(kUrgent, fleet.urgent(), "ms=4000 cpu=1000 mem=64",
               {{{"count", 3},
                 {"cpu", 1'000},
                 {"mem_mb", 64},
                 {"gpu", 2},
                 {"estimate_ms", 4'000},
                 {"max_per_server", kLimit}}});
  fleet.RunFor(Millis(12'000));
  std::map<std::string, std::set<std::string>> at_work;
  size_t most = 0;
  size_t started = 0;
  for (const Executor::Event& it : fleet.events()) {
    if (!it.task.starts_with(kUrgent))
      continue;
    if (it.what == "start") {
      at_work[it.executor].insert(it.task);
      ++started;
    } else {
      at_work[it.executor].erase(it.task);
    }
    most = std::max(most, at_work[it.executor].size());
  }
  if (started == 0)
    throw CannotRun("no task of the urgent job was started");
  return {.broken = most > kLimit,
          .what = std::to_string(most) +
                  " tasks of a step with max_per_server " +
                  std::to_string(kLimit) + " ran on one executor"};
}

}  // namespace review
