#include "standins/fleet/memory_versioned_store.h"

#include <algorithm>
#include <utility>

namespace quetzalshelf {

namespace {

// The platform's limits of one answer.
constexpr size_t kMaxRowsRead = 500;
constexpr size_t kMaxBytesRead = 1'000'000;
constexpr Duration kClockOrigin{7'000'000};

bool IsTooLarge(const StoreTransaction& transaction) {
  return std::ranges::any_of(transaction.writes, [](const StoreWrite& it) {
    return it.value.size() > kMaxRowBytes;
  });
}

}  // namespace

MemoryVersionedStore::MemoryVersionedStore(TaskRunner& runner,
                                           Duration answer_time,
                                           const Clock* clock)
    : runner_(runner), answer_time_(answer_time), clock_(clock) {}

std::optional<StoreTime> MemoryVersionedStore::Shown() const {
  if (!clock_)
    return std::nullopt;
  return StoreTime(clock_->Now().time_since_epoch() + kClockOrigin);
}

void MemoryVersionedStore::Commit(const StoreTransaction& transaction,
                                  Duration timeout,
                                  CommitCallback done) {
  if (faults_.refuse) {
    runner_.PostAfter(answer_time_, [done = std::move(done)] {
      done(absl::UnavailableError("refused"));
    });
    return;
  }
  if (IsTooLarge(transaction)) {
    runner_.PostAfter(answer_time_, [done = std::move(done)] {
      done(absl::UnknownError("a row is too large"));
    });
    return;
  }
  if (faults_.late_commits > 0) {
    --faults_.late_commits;
    runner_.PostAfter(timeout, [done = std::move(done)] {
      done(absl::DeadlineExceededError("no answer"));
    });
    runner_.PostAfter(faults_.lateness,
                      [this, transaction] { Apply(transaction); });
    return;
  }
  runner_.PostAfter(answer_time_,
                    [this, transaction, timeout, done = std::move(done)] {
                      CommitOutcome outcome = Apply(transaction);
                      if (faults_.lose_commit_answers > 0) {
                        --faults_.lose_commit_answers;
                        runner_.PostAfter(timeout, [done] {
                          done(absl::DeadlineExceededError("no answer"));
                        });
                        return;
                      }
                      done(std::move(outcome));
                    });
}

CommitOutcome MemoryVersionedStore::Apply(const StoreTransaction& transaction) {
  CommitOutcome outcome;
  outcome.committed = true;
  for (const StoreCondition& it : transaction.conditions) {
    const auto row = rows_.find(it.id);
    const RowVersion present =
        row == rows_.end() ? RowVersion(0) : row->second.version;
    outcome.committed = outcome.committed && present == it.version;
    if (row != rows_.end())
      outcome.current.push_back(row->second);
  }
  if (outcome.committed) {
    version_ = version_.Next();
    for (const StoreWrite& it : transaction.writes) {
      rows_[it.id] = {it.id, it.value, version_};
      history_.push_back(rows_[it.id]);
    }
    for (const StoreKey& it : transaction.deletes) {
      if (rows_.erase(it) > 0)
        history_.push_back({it, "", version_, true});
    }
    WakeWaiters();
  }
  outcome.version = version_;
  outcome.shown = Shown();
  return outcome;
}

void MemoryVersionedStore::Put(const StoreKey& id, const std::string& value) {
  StoreTransaction transaction;
  transaction.writes = {{id, value}};
  Apply(transaction);
}

void MemoryVersionedStore::Delete(const StoreKey& id) {
  StoreTransaction transaction;
  transaction.deletes = {id};
  Apply(transaction);
}

std::optional<StoreRow> MemoryVersionedStore::Find(const StoreKey& id) const {
  const auto it = rows_.find(id);
  if (it == rows_.end())
    return std::nullopt;
  return it->second;
}

void MemoryVersionedStore::DropHistory() {
  history_.clear();
  version_ = version_.Next();
  history_start_ = version_;
}

void MemoryVersionedStore::Answer(ReadCallback done, StoreSnapshot snapshot) {
  runner_.PostAfter(answer_time_, [this, done = std::move(done),
                                   snapshot = std::move(snapshot)]() mutable {
    snapshot.shown = Shown();
    done(snapshot);
  });
}

void MemoryVersionedStore::Read(const ReadRange& range,
                                Duration timeout,
                                ReadCallback done) {
  ++reads_;
  if (answer_time_ > timeout) {
    runner_.PostAfter(timeout, [done = std::move(done)] {
      done(absl::DeadlineExceededError("no answer"));
    });
    return;
  }
  if (faults_.refuse) {
    runner_.PostAfter(answer_time_, [done = std::move(done)] {
      done(absl::UnavailableError("refused"));
    });
    return;
  }
  const size_t most =
      range.limit == 0 ? kMaxRowsRead : std::min(range.limit, kMaxRowsRead);
  size_t bytes = 0;
  StoreSnapshot snapshot;
  snapshot.version = version_;
  for (const auto& [id, row] : rows_) {
    if (id.table != range.table || id.partition != range.partition ||
        id.key < range.from || (!range.to.empty() && id.key >= range.to))
      continue;
    bytes += row.value.size();
    if (snapshot.rows.size() == most ||
        (bytes > kMaxBytesRead && !snapshot.rows.empty())) {
      snapshot.complete = false;
      break;
    }
    snapshot.rows.push_back(row);
  }
  Answer(std::move(done), std::move(snapshot));
}

std::vector<StoreRow> MemoryVersionedStore::ChangesOf(const std::string& table,
                                                      RowVersion after) const {
  std::vector<StoreRow> changes;
  for (const StoreRow& it : history_) {
    if (it.id.table == table && it.version > after)
      changes.push_back(it);
  }
  return changes;
}

void MemoryVersionedStore::Feed(const std::string& table,
                                RowVersion after,
                                Duration wait,
                                Duration timeout,
                                ReadCallback done) {
  if (faults_.refuse) {
    runner_.PostAfter(answer_time_, [done = std::move(done)] {
      done(absl::UnavailableError("refused"));
    });
    return;
  }
  if (faults_.silence_feeds) {
    runner_.PostAfter(timeout, [done = std::move(done)] {
      done(absl::DeadlineExceededError("no answer"));
    });
    return;
  }
  if (after < history_start_) {
    runner_.PostAfter(answer_time_, [done = std::move(done)] {
      done(absl::OutOfRangeError("history is gone"));
    });
    return;
  }
  auto waiter = std::make_shared<Waiter>();
  *waiter = {table, after, std::move(done)};
  waiters_.push_back(waiter);
  runner_.PostAfter(wait, [this, waiter] {
    if (std::exchange(waiter->answered, true))
      return;
    std::erase(waiters_, waiter);
    Answer(waiter->done, {{}, version_});
  });
  WakeWaiters();
}

void MemoryVersionedStore::WakeWaiters() {
  std::vector<std::shared_ptr<Waiter>> waiting;
  for (const auto& it : std::exchange(waiters_, {})) {
    std::vector<StoreRow> changes = ChangesOf(it->table, it->after);
    if (changes.empty() || faults_.silence_feeds) {
      waiting.push_back(it);
      continue;
    }
    it->answered = true;
    Answer(it->done, {std::move(changes), version_});
  }
  waiters_.insert(waiters_.end(), waiting.begin(), waiting.end());
}

}  // namespace quetzalshelf
