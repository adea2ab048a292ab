// A start order gets no answer and is carried out late, by the next life of an
// executor that has crashed meanwhile.

#include <cstdio>

#include "cases.hpp"

namespace review {

namespace {

constexpr char kJob[] = "5c0e7a21d94b36f8";
// Other work, so that the held order is one of many: 24 tasks.
constexpr int kOtherJobs = 12;
constexpr Millis kCrashAfter{3'000};
constexpr Millis kDown{3'000};
// "About every `heartbeat_ms`", which is 1,500.
constexpr Millis kFirstBeat{1'000};

}  // namespace

CaseResult PlayLateStart(FleetOptions options, bool trouble) {
  options.executors_of_kind_b = 2;
  options.first_beat = kFirstBeat;
  Fleet fleet(options);
  fleet.Start();
  Executor* holder = nullptr;
  if (trouble) {
    for (const auto& it : fleet.executors()) {
      it->HoldNextStart([&fleet, &holder, &executor = *it] {
        holder = &executor;
        for (const auto& other : fleet.executors())
          other->HoldNoStart();
        fleet.At(kCrashAfter, [&executor] { executor.Crash(kDown); });
      });
    }
    // Only the executors of this kind may be asked first.
    for (size_t n = 0; n + 2 < fleet.executors().size(); ++n)
      fleet.executors()[n]->HoldNoStart();
  }
  fleet.Submit(kJob, fleet.bulk(), "ms=1500 cpu=4000 mem=64",
               {{{"count", 1},
                 {"cpu", 4'000},
                 {"mem_mb", 64},
                 {"estimate_ms", 1'500},
                 {"required_label", "b"}}});
  for (int n = 0; n < kOtherJobs; ++n) {
    char id[17];
    std::snprintf(id, sizeof(id), "5c0e7a21d94b%04x", 0x4000 + n);
    fleet.Submit(id, fleet.urgent(), "ms=2000 cpu=1000 mem=64",
                 {{{"count", 2},
                   {"cpu", 1'000},
                   {"mem_mb", 64},
                   {"estimate_ms", 2'000},
                   {"required_label", "a"}}});
    fleet.RunFor(Millis(400));
  }
  fleet.RunFor(Millis(20'000));
  if (trouble && !holder)
    throw CannotRun("no start order was held");
  const int second = fleet.CountSecondRuns();
  return {.broken = second > 0,
          .what = std::to_string(second) +
                  " starts of a task that was running or had ended done"};
}

}  // namespace review
