// The clock of the operating system.

#ifndef DRIVERS_CLOCK_SYSTEM_CLOCK_H_
#define DRIVERS_CLOCK_SYSTEM_CLOCK_H_

#include "core/time.h"

namespace quetzalshelf {

// Counts suspended time as well, so that a lease held by a paused VM lapses.
class SystemClock : public Clock {
 public:
  TimePoint Now() const override;
  int64_t WallMillis() const override;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_CLOCK_SYSTEM_CLOCK_H_
