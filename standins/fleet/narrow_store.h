// One node's path to a VersionedStore over a link of limited bandwidth.

#ifndef STANDINS_FLEET_NARROW_STORE_H_
#define STANDINS_FLEET_NARROW_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "core/platform/versioned_store.h"
#include "core/task_runner.h"

namespace quetzalshelf {

// Answers share the link equally, as connections do. A call whose answer has
// not arrived whole at its time-out fails, and its bytes stop.
class NarrowStore : public VersionedStore {
 public:
  NarrowStore(VersionedStore& store,
              TaskRunner& runner,
              const Clock& clock,
              int64_t bytes_per_second);
  ~NarrowStore() override;

  void Commit(const StoreTransaction& transaction,
              Duration timeout,
              CommitCallback done) override;
  void Read(const ReadRange& range,
            Duration timeout,
            ReadCallback done) override;
  void Feed(const std::string& table,
            RowVersion after,
            Duration wait,
            Duration timeout,
            ReadCallback done) override;

 private:
  // An answer on its way.
  struct Transfer {
    double bytes_left = 0;
    TimePoint deadline;
    // Called once: with false when the deadline has passed.
    std::function<void(bool arrived)> finish;
  };

  template <typename Answer>
  std::function<void(absl::StatusOr<Answer>)> Carry(
      TimePoint deadline,
      std::function<void(absl::StatusOr<Answer>)> done);
  void Step();

  VersionedStore& store_;
  TaskRunner& runner_;
  const Clock& clock_;
  int64_t bytes_per_second_;
  std::vector<Transfer> transfers_;
  bool stepping_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf

#endif  // STANDINS_FLEET_NARROW_STORE_H_
