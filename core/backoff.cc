#include "core/backoff.h"

#include <algorithm>

namespace quetzalshelf {

namespace {

// Doubling stops here, before the shift could overflow.
constexpr int kMaxDoublings = 20;

}  // namespace

Backoff::Backoff(BackoffOptions options, uint64_t seed)
    : options_(options), random_(seed) {}

Duration Backoff::Next() {
  const int doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  const int64_t limit =
      std::min(options_.initial.count() << doublings, options_.max.count());
  return Duration(random_.Between(limit / 2, limit));
}

void Backoff::Reset() {
  failures_ = 0;
}

}  // namespace quetzalshelf
