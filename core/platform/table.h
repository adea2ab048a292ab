// Interface to the platform's transactional table service.

#ifndef CORE_PLATFORM_TABLE_H_
#define CORE_PLATFORM_TABLE_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "core/ids.h"

namespace quetzalshelf {

// One row. `version` grows by one with each write of the row and is never used
// again after a deletion. `token` is the token of the last transaction that
// wrote the row, so that a writer can tell whether its transaction took effect.
struct Row {
  std::string key;
  std::string value;
  RowVersion version;
  TokenId token;
};

// The row must have this version; version 0 means that it must be absent.
struct Condition {
  std::string key;
  RowVersion version;
};

// Writes a row, or deletes it when `value` is empty.
struct Write {
  std::string key;
  std::optional<std::string> value;
};

// All writes take effect if every condition holds, else none does.
struct Transaction {
  TokenId token;
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

// Calls return at once; the callback runs later on the caller's executor.
// Errors: kNotFound (Read), kAborted (a condition failed; nothing was written),
// kUnavailable (refused; nothing was written), kDeadlineExceeded (the outcome
// is unknown: the writes may take effect, also later).
class Table {
 public:
  using ReadCallback = std::function<void(absl::StatusOr<Row>)>;
  using ScanCallback = std::function<void(absl::StatusOr<std::vector<Row>>)>;
  using CommitCallback = std::function<void(absl::Status)>;

  virtual ~Table() = default;

  virtual void Read(const std::string& key, ReadCallback done) = 0;
  // Rows whose key starts with `prefix` and is greater than `after`, in key
  // order, at most `limit` of them.
  virtual void ReadPrefix(const std::string& prefix,
                          const std::string& after,
                          int limit,
                          ScanCallback done) = 0;
  virtual void Commit(Transaction transaction, CommitCallback done) = 0;
};

}  // namespace quetzalshelf

#endif  // CORE_PLATFORM_TABLE_H_
