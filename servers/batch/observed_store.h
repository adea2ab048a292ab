// A path to the store that reads the store's clock from each answer.

#ifndef SERVERS_BATCH_OBSERVED_STORE_H_
#define SERVERS_BATCH_OBSERVED_STORE_H_

#include <memory>
#include <string>

#include "core/platform/versioned_store.h"
#include "core/time.h"
#include "servers/batch/store_clock.h"

namespace quetzalshelf::batch {

class ObservedStore : public VersionedStore {
 public:
  ObservedStore(VersionedStore& store, const Clock& clock)
      : store_(store), clock_(clock) {}

  const StoreClock& store_clock() const { return *store_clock_; }

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
  VersionedStore& store_;
  const Clock& clock_;
  // Shared with calls under way, whose answers may outlive this object.
  std::shared_ptr<StoreClock> store_clock_ = std::make_shared<StoreClock>();
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_OBSERVED_STORE_H_
