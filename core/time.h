// Points in time and durations, in milliseconds. Functions that decide take
// the present time as an argument and never read a clock.

#ifndef CORE_TIME_H_
#define CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace quetzalshelf {

using Duration = std::chrono::milliseconds;

// Tag clock of the scheduler. It cannot be read; see Clock.
struct SchedulerClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SchedulerClock>;
  static constexpr bool is_steady = true;
};

using TimePoint = SchedulerClock::time_point;

constexpr TimePoint FromMillis(int64_t millis) {
  return TimePoint(Duration(millis));
}

constexpr int64_t ToMillis(TimePoint time) {
  return time.time_since_epoch().count();
}

// Reads the present time. The driver reads the monotonic clock; tests set it.
class Clock {
 public:
  virtual ~Clock() = default;
  // Monotonic; does not jump with the wall clock.
  virtual TimePoint Now() const = 0;
  // Milliseconds since the Unix epoch, for the time line only.
  virtual int64_t WallMillis() const = 0;
};

}  // namespace quetzalshelf

#endif  // CORE_TIME_H_
