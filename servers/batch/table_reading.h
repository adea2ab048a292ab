// Reads all rows of a table page by page.
//
// Answers a leader that takes over behind a narrow link: what it has to read
// grows with the number of jobs, while the time for one answer does not. Pages
// are as large as the link carries soon, and each failure costs one page.

#ifndef SERVERS_BATCH_TABLE_READING_H_
#define SERVERS_BATCH_TABLE_READING_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/backoff.h"
#include "core/platform/versioned_store.h"
#include "core/time.h"

namespace quetzalshelf::batch {

struct TableReadingOptions {
  std::string table;
  std::vector<std::string> partitions;
  // Longest pause before a page is asked for again after a failure.
  Duration longest_retry{400};
};

struct TableReadingStatistics {
  size_t pages = 0;
  size_t bytes = 0;  // Of the values.
  int copies = 0;    // Of calls without an answer.
  int failures = 0;
  std::string error;  // The latest; empty without one.
};

// For logs.
std::string ToString(const TableReadingStatistics& statistics);

// All rows, and what follows from when they were read.
struct TableContent {
  std::vector<StoreRow> rows;
  // A feed that goes on from here misses no change of the rows.
  RowVersion version;
  // No row is from a later version.
  RowVersion last_version;
  // All rows were current at this time or later.
  TimePoint current_at;
  // Estimate of the store's own part in the time of a page.
  Duration answer_time = Duration::max();
};

class TableReading {
 public:
  using DoneHandler = std::function<void(const TableContent&)>;
  using FailureHandler = std::function<void(const absl::Status&)>;

  // `on_done` is called once; `on_failure` for each failed call, which is
  // repeated.
  TableReading(VersionedStore& store,
               const Clock& clock,
               TableReadingOptions options,
               DoneHandler on_done,
               FailureHandler on_failure,
               uint64_t seed);
  // No handler runs afterwards.
  ~TableReading();

  // Sends the calls that are due.
  void Tick(TimePoint now);

  // Whether calls were without an answer for so long that copies were sent.
  bool was_interrupted() const;
  size_t row_count() const;
  const TableReadingStatistics& statistics() const;

 private:
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_TABLE_READING_H_
