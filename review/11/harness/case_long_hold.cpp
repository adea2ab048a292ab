// Where leases last up to 10 s, an executor that has just started again gets a
// task and answers no call for some seconds.

#include "cases.hpp"

namespace review {

namespace {

constexpr char kJob[] = "5c0e7a21d94b36f8";
// `hold_max_ms` of demands/deskdhara-kol-grown.toml.
constexpr int64_t kHoldMaxMs = 10'000;
// As `srv_flap` there: half of a period of 1.4 s.
constexpr Millis kDown{700};
constexpr Millis kFirstBeat{1'000};
// As `srv_grey` there: all calls, for 6.5 s.
constexpr Millis kMute{6'500};
constexpr Millis kMuteAfterStart{500};

}  // namespace

CaseResult PlayLongHold(FleetOptions options, bool trouble) {
  options.hold_max_ms = kHoldMaxMs;
  options.first_beat = kFirstBeat;
  options.executors_of_kind_b = 2;
  Fleet fleet(options);
  fleet.Start();
  fleet.RunFor(Millis(12'000));
  if (trouble) {
    for (const auto& it : fleet.executors()) {
      if (it->kind() == "b")
        it->Crash(kDown);
    }
    fleet.RunFor(kDown + Millis(100));
  }
  fleet.Submit(kJob, fleet.urgent(), "ms=12000 cpu=4000 mem=64",
               {{{"count", 1},
                 {"cpu", 4'000},
                 {"mem_mb", 64},
                 {"estimate_ms", 12'000},
                 {"required_label", "b"}}});
  Executor* runner = nullptr;
  const bool started = fleet.RunUntil(Millis(10'000), [&] {
    for (const auto& it : fleet.executors()) {
      if (it->runs() > 0)
        runner = it.get();
    }
    return runner != nullptr;
  });
  if (!started)
    throw CannotRun("the task was not started");
  if (trouble) {
    fleet.RunFor(kMuteAfterStart);
    runner->GoMute();
    fleet.At(kMute, [runner] { runner->ServeAgain(); });
  }
  fleet.RunFor(Millis(20'000));
  const int second = fleet.CountSecondRuns();
  return {.broken = second > 0,
          .what = std::to_string(second) +
                  " starts of a task that was running or had ended done"};
}

}  // namespace review
