// Table service in memory, with faults.

#ifndef DRIVERS_PLATFORM_MEMORY_TABLE_H_
#define DRIVERS_PLATFORM_MEMORY_TABLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "core/platform/table.h"
#include "core/task_runner.h"
#include "drivers/platform/platform_faults.h"

namespace quetzalshelf {

// For tests, the stand-in program and standalone mode. Callbacks run on the
// task runner. Not thread-safe.
class MemoryTable : public Table {
 public:
  explicit MemoryTable(TaskRunner& runner);
  ~MemoryTable() override;

  void Read(const std::string& key, ReadCallback done) override;
  void ReadPrefix(const std::string& prefix,
                  const std::string& after,
                  int limit,
                  ScanCallback done) override;
  // Also kInvalidArgument: no token, an empty key or two writes of one key.
  void Commit(Transaction transaction, CommitCallback done) override;

  StoreFaults& faults();
  // Transactions that took effect, and read calls served, since the start.
  int64_t commits() const;
  int64_t reads() const;

 private:
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_PLATFORM_MEMORY_TABLE_H_
