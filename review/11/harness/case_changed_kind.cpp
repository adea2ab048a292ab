// An executor crashes and starts again under its id, as one of another kind,
// while tasks wait that need its former kind.

#include "cases.hpp"

namespace review {

namespace {

constexpr char kJob[] = "5c0e7a21d94b36f8";
constexpr char kKind[] = "b";
// As the crashing of executors in the site file: up to 17% of them.
constexpr int kCrashed = 2;
constexpr Millis kDown{3'000};
// About half of `heartbeat_ms`.
constexpr Millis kFirstBeat{700};

}  // namespace

CaseResult PlayChangedKind(FleetOptions options, bool trouble) {
  options.executors_of_kind_b = 4;
  options.first_beat = kFirstBeat;
  Fleet fleet(options);
  fleet.Start();
  // Three rounds on the executors of this kind.
  fleet.Submit(kJob, fleet.bulk(), "ms=6000 cpu=16000 mem=64",
               {{{"count", 48},
                 {"cpu", 16'000},
                 {"mem_mb", 64},
                 {"estimate_ms", 6'000},
                 {"required_label", kKind}}});
  fleet.RunFor(Millis(4'000));
  if (trouble) {
    const size_t last = fleet.executors().size();
    for (size_t n = last - kCrashed; n < last; ++n)
      fleet.executors()[n]->Crash(kDown, "a");
  }
  fleet.RunFor(Millis(30'000));
  int wrong = 0;
  for (const Executor::Event& it : fleet.events())
    wrong += it.what == "start" && it.kind != kKind ? 1 : 0;
  return {.broken = wrong > 0,
          .what = std::to_string(wrong) +
                  " tasks that need the label b started on executors that are "
                  "of kind a"};
}

}  // namespace review
