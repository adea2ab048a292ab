// One node's path to a VersionedStore, which can be cut.

#ifndef STANDINS_FLEET_SEVERABLE_STORE_H_
#define STANDINS_FLEET_SEVERABLE_STORE_H_

#include <string>

#include "core/platform/versioned_store.h"
#include "core/task_runner.h"

namespace quetzalshelf {

class SeverableStore : public VersionedStore {
 public:
  SeverableStore(VersionedStore& store, TaskRunner& runner)
      : store_(store), runner_(runner) {}

  // While cut, calls never arrive and have no answer.
  void set_cut(bool cut) { cut_ = cut; }
  // Reads and feeds of this table have no answer; empty: none.
  void set_cut_table(const std::string& table) { cut_table_ = table; }

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
  TaskRunner& runner_;
  bool cut_ = false;
  std::string cut_table_;
};

}  // namespace quetzalshelf

#endif  // STANDINS_FLEET_SEVERABLE_STORE_H_
