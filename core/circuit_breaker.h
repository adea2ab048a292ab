// Stops calls to a service that keeps failing and probes it from time to time.

#ifndef CORE_CIRCUIT_BREAKER_H_
#define CORE_CIRCUIT_BREAKER_H_

#include "core/backoff.h"
#include "core/time.h"

namespace quetzalshelf {

struct CircuitBreakerOptions {
  int failures_to_open = 5;  // In a row.
  BackoffOptions probe{Duration(500), Duration(5'000)};
};

// Closed: every call is allowed. Open: none until the probe time. Half open:
// one call is allowed, and its outcome closes or opens the breaker.
class CircuitBreaker {
 public:
  enum class State { kClosed, kOpen, kHalfOpen };

  CircuitBreaker(CircuitBreakerOptions options, uint64_t seed);

  // Whether a call may be made now. A true answer must be followed by
  // RecordSuccess or RecordFailure.
  bool Allow(TimePoint now);
  void RecordSuccess();
  void RecordFailure(TimePoint now);

  State state() const { return state_; }
  // Earliest time of the next probe; meaningful while open.
  TimePoint probe_time() const { return probe_time_; }

 private:
  void Open(TimePoint now);

  CircuitBreakerOptions options_;
  Backoff probe_backoff_;
  State state_ = State::kClosed;
  int failures_ = 0;
  TimePoint probe_time_;
};

}  // namespace quetzalshelf

#endif  // CORE_CIRCUIT_BREAKER_H_
