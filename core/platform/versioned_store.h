// Interface to a store of versioned rows with conditional transactions and a
// change feed.

#ifndef CORE_PLATFORM_VERSIONED_STORE_H_
#define CORE_PLATFORM_VERSIONED_STORE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "core/ids.h"
#include "core/time.h"

namespace quetzalshelf {

// Tag of the store's own steady clock. All nodes read the same one, from the
// store's answers.
struct StoreClockTag {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<StoreClockTag>;
  static constexpr bool is_steady = true;
};

using StoreTime = StoreClockTag::time_point;

// Largest value of a row, in bytes.
inline constexpr size_t kMaxRowBytes = 65'536;

// Names one row. Rows of one partition can be changed in one transaction.
struct StoreKey {
  std::string table;
  std::string partition;
  std::string key;

  friend auto operator<=>(const StoreKey&, const StoreKey&) = default;
};

struct StoreRow {
  StoreKey id;
  std::string value;
  RowVersion version;    // Of the transaction that wrote the row last.
  bool deleted = false;  // Only in a feed.
};

struct StoreCondition {
  StoreKey id;
  RowVersion version;  // 0: the row must be absent.
};

struct StoreWrite {
  StoreKey id;
  std::string value;
};

// All changes take effect if every condition holds, else none does. All rows
// have the same partition.
struct StoreTransaction {
  std::vector<StoreCondition> conditions;
  std::vector<StoreWrite> writes;
  std::vector<StoreKey> deletes;
};

// `committed` tells whether the conditions held; if not, `current` has the rows
// of the conditions as they are.
struct CommitOutcome {
  bool committed = false;
  RowVersion version;
  std::vector<StoreRow> current;
  std::optional<StoreTime> shown;  // By the store's clock when it answered.
};

// Rows as of one version of the store.
struct StoreSnapshot {
  std::vector<StoreRow> rows;
  RowVersion version;
  bool complete = true;            // False when more rows follow the last one.
  std::optional<StoreTime> shown;  // By the store's clock when it answered.
};

struct ReadRange {
  std::string table;
  std::string partition;
  std::string from;  // Empty: from the first key.
  std::string to;    // Exclusive; empty: to the last key.
  size_t limit = 0;  // Rows of one answer; 0: as many as the store gives.
};

// Longest time from the first byte of a feed's answer to its last one. Below
// the shortest history of the platform's stores.
inline constexpr Duration kLongestFeedAnswer{4'000};

// Calls return at once; callbacks run later on the caller's thread.
// Errors: kUnavailable (refused: nothing was done), kUnknown and
// kDeadlineExceeded (no answer: the change may take effect, also later),
// kOutOfRange (Feed: the history from that version on is gone).
class VersionedStore {
 public:
  using CommitCallback = std::function<void(absl::StatusOr<CommitOutcome>)>;
  using ReadCallback = std::function<void(absl::StatusOr<StoreSnapshot>)>;

  virtual ~VersionedStore() = default;

  virtual void Commit(const StoreTransaction& transaction,
                      Duration timeout,
                      CommitCallback done) = 0;
  virtual void Read(const ReadRange& range,
                    Duration timeout,
                    ReadCallback done) = 0;
  // Waits up to `wait` for rows of `table` that changed after `after`.
  // `timeout` is the longest silence, and includes the wait: the answer has no
  // limit of its own and may arrive slowly, within kLongestFeedAnswer.
  virtual void Feed(const std::string& table,
                    RowVersion after,
                    Duration wait,
                    Duration timeout,
                    ReadCallback done) = 0;
};

}  // namespace quetzalshelf

#endif  // CORE_PLATFORM_VERSIONED_STORE_H_
