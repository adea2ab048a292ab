#include "core/circuit_breaker.h"

namespace quetzalshelf {

CircuitBreaker::CircuitBreaker(CircuitBreakerOptions options, uint64_t seed)
    : options_(options), probe_backoff_(options.probe, seed) {}

bool CircuitBreaker::Allow(TimePoint now) {
  if (state_ == State::kClosed)
    return true;
  if (state_ == State::kHalfOpen || now < probe_time_)
    return false;
  state_ = State::kHalfOpen;
  return true;
}

void CircuitBreaker::RecordSuccess() {
  state_ = State::kClosed;
  failures_ = 0;
  probe_backoff_.Reset();
}

void CircuitBreaker::RecordFailure(TimePoint now) {
  ++failures_;
  if (state_ == State::kHalfOpen || failures_ >= options_.failures_to_open)
    Open(now);
}

void CircuitBreaker::Open(TimePoint now) {
  // Late failures of calls made before the breaker opened do not push the
  // probe further away.
  if (state_ == State::kOpen)
    return;
  state_ = State::kOpen;
  probe_time_ = now + probe_backoff_.Next();
}

}  // namespace quetzalshelf
