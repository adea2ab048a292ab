// The measures of one run: completion times, fragmentation and the work done
// while failure domains move.

#ifndef BENCH_MEASURES_H_
#define BENCH_MEASURES_H_

#include <map>
#include <string>
#include <vector>

#include "core/time.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::bench {

// Waiting gangs of one shape count once.
using WaitingShapes = std::vector<scheduling::Shape>;

// Free space of one worker in service.
struct FreeWorker {
  const scheduling::Worker* worker = nullptr;
  Resources free;
};

// Free accelerators, and those among them that no waiting shape can use.
struct FreeSpace {
  int64_t free = 0;
  int64_t stranded = 0;
};

// A worker's accelerators are usable up to the number that one waiting gang
// can take there in a placement of the whole gang; the largest such number
// over all shapes counts.
FreeSpace MeasureFreeSpace(const std::vector<FreeWorker>& workers,
                           const WaitingShapes& shapes);

// Integrates the stranded share while gangs wait.
class FragmentationMeter {
 public:
  // `space` held since the last call.
  void Add(const FreeSpace& space, Duration time);

  // Integral of the stranded share of the free accelerators, in seconds.
  double share_seconds() const { return share_seconds_; }
  double stranded_accelerator_seconds() const { return stranded_; }
  // Stranded over free accelerator-seconds.
  double MeanShare() const;

 private:
  double share_seconds_ = 0;
  double stranded_ = 0;
  double free_ = 0;
};

// Work of a gang that was not done before, by a constant speed.
struct WorkInterval {
  size_t job = 0;
  TimePoint from;
  TimePoint to;
  double accelerator_seconds = 0;
};

// From a failure domain's exit until it has been back for as long.
struct MoveWindow {
  TimePoint from;
  TimePoint to;
};

// Accelerator-seconds of the intervals within the windows; `finished` says by
// job whether the work was of use.
double WorkInWindows(const std::vector<WorkInterval>& work,
                     const std::vector<MoveWindow>& windows,
                     const std::vector<bool>& finished);

double Mean(const std::vector<double>& values);
// The smallest value that at least the given share of values do not exceed.
double Percentile(std::vector<double> values, double share);

}  // namespace quetzalshelf::bench

#endif  // BENCH_MEASURES_H_
