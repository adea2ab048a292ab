// Bounds of the store's clock, which is the one clock that all nodes can read.

#ifndef SERVERS_BATCH_STORE_CLOCK_H_
#define SERVERS_BATCH_STORE_CLOCK_H_

#include <optional>

#include "core/platform/versioned_store.h"
#include "core/time.h"

namespace quetzalshelf::batch {

class StoreClock {
 public:
  // A call that was sent at `sent` was answered by `received`; the store's
  // clock showed `shown` at some time in between.
  void Observe(StoreTime shown, TimePoint sent, TimePoint received);

  // What the store's clock showed at `time` at least and at most; nullopt
  // before the first answer.
  std::optional<StoreTime> Earliest(TimePoint time) const;
  std::optional<StoreTime> Latest(TimePoint time) const;

 private:
  // A bound of the difference between the two clocks. It grows less certain
  // with the time since the answer that it comes from.
  struct Bound {
    Duration offset{0};
    TimePoint observed_at;
  };

  Duration LeastOffset(TimePoint time) const;
  Duration MostOffset(TimePoint time) const;

  bool known_ = false;
  Bound least_;
  Bound most_;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_STORE_CLOCK_H_
