#include "drivers/clock/system_clock.h"

#include <time.h>

namespace quetzalshelf {

namespace {

int64_t ReadMillis(clockid_t id) {
  timespec time = {};
  clock_gettime(id, &time);
  return time.tv_sec * int64_t{1000} + time.tv_nsec / 1'000'000;
}

}  // namespace

TimePoint SystemClock::Now() const {
  return FromMillis(ReadMillis(CLOCK_BOOTTIME));
}

int64_t SystemClock::WallMillis() const {
  return ReadMillis(CLOCK_REALTIME);
}

}  // namespace quetzalshelf
