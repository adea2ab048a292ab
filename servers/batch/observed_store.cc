#include "servers/batch/observed_store.h"

#include <utility>

namespace quetzalshelf::batch {

namespace {

// Reads the clock from an answer before it is handed on.
template <typename Answer>
std::function<void(absl::StatusOr<Answer>)> Observe(
    std::shared_ptr<StoreClock> store_clock,
    const Clock& clock,
    std::function<void(absl::StatusOr<Answer>)> done) {
  return [store_clock = std::move(store_clock), &clock, sent = clock.Now(),
          done = std::move(done)](absl::StatusOr<Answer> answer) {
    if (answer.ok() && answer->shown)
      store_clock->Observe(*answer->shown, sent, clock.Now());
    done(std::move(answer));
  };
}

}  // namespace

void ObservedStore::Commit(const StoreTransaction& transaction,
                           Duration timeout,
                           CommitCallback done) {
  store_.Commit(transaction, timeout,
                Observe(store_clock_, clock_, std::move(done)));
}

void ObservedStore::Read(const ReadRange& range,
                         Duration timeout,
                         ReadCallback done) {
  store_.Read(range, timeout, Observe(store_clock_, clock_, std::move(done)));
}

void ObservedStore::Feed(const std::string& table,
                         RowVersion after,
                         Duration wait,
                         Duration timeout,
                         ReadCallback done) {
  store_.Feed(table, after, wait, timeout,
              Observe(store_clock_, clock_, std::move(done)));
}

}  // namespace quetzalshelf::batch
