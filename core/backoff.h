// Exponential back-off with full jitter.

#ifndef CORE_BACKOFF_H_
#define CORE_BACKOFF_H_

#include "core/random.h"
#include "core/time.h"

namespace quetzalshelf {

struct BackoffOptions {
  Duration initial{100};
  Duration max{10'000};
};

// Delays between tries of one operation. Each delay is uniform between half
// and the whole of a limit that doubles with each failure.
class Backoff {
 public:
  Backoff(BackoffOptions options, uint64_t seed);

  Duration Next();
  void Reset();
  int failures() const { return failures_; }

 private:
  BackoffOptions options_;
  Random random_;
  int failures_ = 0;
};

}  // namespace quetzalshelf

#endif  // CORE_BACKOFF_H_
