// Follows the rows of one table: reads a snapshot, then the feed of changes,
// and reads a new snapshot when the feed's history no longer reaches back far
// enough.

#ifndef SERVERS_BATCH_TABLE_FOLLOWER_H_
#define SERVERS_BATCH_TABLE_FOLLOWER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/backoff.h"
#include "core/platform/versioned_store.h"
#include "core/time.h"

namespace quetzalshelf::batch {

struct TableFollowerOptions {
  std::string table;
  // Partitions read for a snapshot; the feed covers the whole table.
  std::vector<std::string> partitions{""};
  // Longest wait of a feed call. A feed that is silent for longer than this and
  // the store's usual answer time is not trusted and asked again; the table is
  // read if that is silent as well.
  Duration poll{800};
  // Least time between two feed calls, so that the changes of a busy table
  // are delivered together.
  Duration spacing{0};
  // Longest pause between two tries while the store fails; well below the time
  // in which a configuration must be in force.
  Duration longest_retry{400};
};

class TableFollower {
 public:
  // All rows of the table. Rows known before and absent now are deleted.
  using SnapshotHandler = std::function<void(const std::vector<StoreRow>&)>;
  // Rows that changed since the last call, in order.
  using ChangeHandler = std::function<void(const std::vector<StoreRow>&)>;

  TableFollower(VersionedStore& store,
                const Clock& clock,
                TableFollowerOptions options,
                SnapshotHandler on_snapshot,
                ChangeHandler on_change,
                uint64_t seed);
  // No handler runs afterwards.
  ~TableFollower();

  // Starts and retries calls whose time has come.
  void Tick(TimePoint now);

  void set_spacing(Duration spacing);

  // Whether a snapshot was delivered.
  bool ready() const;
  // The rows handed over were current at this time or later.
  TimePoint confirmed_at() const;
  // When the last answer came.
  TimePoint answered_at() const;
  // Start of the present series of answered calls; a failed call ends it.
  TimePoint answering_since() const;

 private:
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_TABLE_FOLLOWER_H_
