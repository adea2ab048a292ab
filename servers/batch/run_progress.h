// Progress of one run as its worker lists it: how fast it goes, when it will
// end, and whether it stands still.

#ifndef SERVERS_BATCH_RUN_PROGRESS_H_
#define SERVERS_BATCH_RUN_PROGRESS_H_

#include <optional>

#include "core/time.h"

namespace quetzalshelf::batch {

class RunProgress {
 public:
  // The run started from nothing at `now`.
  void Begin(TimePoint now);
  // The run goes on from work that was done before `now`; how much is told by
  // the first observation.
  void Resume(TimePoint now);
  // Returns whether the percentage has changed.
  bool Observe(int percent, TimePoint now);

  int percent() const { return percent_; }
  // When the percentage last changed, or the begin.
  TimePoint changed_at() const { return changed_at_; }
  // When the worker last listed the run.
  TimePoint observed_at() const { return observed_at_; }

  // Percent a second; nullopt before enough was seen. The members of a gang
  // work only from `began` on, when the last of them had started.
  std::optional<double> Rate(TimePoint began) const;
  // Time until the end at that rate; never negative.
  std::optional<Duration> TimeLeft(TimePoint began, TimePoint now) const;
  // Whether the percentage had stood still for long when the run was last
  // observed. `usual_rate` is that of other runs of the step, for a run that
  // has not shown its own; without both, the run is given more time.
  bool IsStalled(TimePoint began, std::optional<double> usual_rate) const;

 private:
  int percent_ = 0;
  std::optional<int> base_percent_;
  TimePoint base_at_;
  TimePoint changed_at_;
  TimePoint observed_at_;
  // It goes on from a checkpoint and has not shown any progress since.
  bool restoring_ = false;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_RUN_PROGRESS_H_
