#include "standins/fleet/severable_store.h"

#include <utility>

namespace quetzalshelf {

namespace {

absl::Status NoAnswer() {
  return absl::DeadlineExceededError("no answer in time");
}

}  // namespace

void SeverableStore::Commit(const StoreTransaction& transaction,
                            Duration timeout,
                            CommitCallback done) {
  if (cut_)
    runner_.PostAfter(timeout, [done = std::move(done)] { done(NoAnswer()); });
  else
    store_.Commit(transaction, timeout, std::move(done));
}

void SeverableStore::Read(const ReadRange& range,
                          Duration timeout,
                          ReadCallback done) {
  if (cut_ || range.table == cut_table_)
    runner_.PostAfter(timeout, [done = std::move(done)] { done(NoAnswer()); });
  else
    store_.Read(range, timeout, std::move(done));
}

void SeverableStore::Feed(const std::string& table,
                          RowVersion after,
                          Duration wait,
                          Duration timeout,
                          ReadCallback done) {
  if (cut_ || table == cut_table_)
    runner_.PostAfter(timeout, [done = std::move(done)] { done(NoAnswer()); });
  else
    store_.Feed(table, after, wait, timeout, std::move(done));
}

}  // namespace quetzalshelf
