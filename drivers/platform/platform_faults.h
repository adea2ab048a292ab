// Faults that the platform stand-ins can be told to have.

#ifndef DRIVERS_PLATFORM_PLATFORM_FAULTS_H_
#define DRIVERS_PLATFORM_PLATFORM_FAULTS_H_

#include "core/time.h"

namespace quetzalshelf {

// A service that is down refuses every call; calls that are already delayed
// are refused as well.
struct StoreFaults {
  bool down = false;
  // Delay before each call takes effect.
  Duration slow{0};
  // The next commits or puts take effect, but answer kDeadlineExceeded.
  int lose_answers = 0;
  // The next commits or puts answer kDeadlineExceeded at once and are carried
  // out `late_by` later.
  int late_commits = 0;
  Duration late_by{1'000};
};

}  // namespace quetzalshelf

#endif  // DRIVERS_PLATFORM_PLATFORM_FAULTS_H_
