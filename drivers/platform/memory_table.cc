#include "drivers/platform/memory_table.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace quetzalshelf {

namespace {

absl::Status Down() {
  return absl::UnavailableError("the table service is down");
}

absl::Status Lost() {
  return absl::DeadlineExceededError("no answer from the table service");
}

absl::Status CheckShape(const Transaction& transaction) {
  if (transaction.token.empty())
    return absl::InvalidArgumentError("the transaction has no token");
  std::set<std::string> keys;
  for (const Write& it : transaction.writes) {
    if (it.key.empty())
      return absl::InvalidArgumentError("a write has an empty key");
    if (!keys.insert(it.key).second)
      return absl::InvalidArgumentError("key " + it.key + " is written twice");
  }
  return absl::OkStatus();
}

}  // namespace

// Outlives the table while delayed calls hold it.
struct MemoryTable::State {
  explicit State(TaskRunner& the_runner) : runner(the_runner) {}

  // Runs `task` on the runner after the present delay.
  void Later(std::function<void()> task) {
    if (faults.slow > Duration{0})
      runner.PostAfter(faults.slow, std::move(task));
    else
      runner.Post(std::move(task));
  }

  absl::StatusOr<Row> Get(const std::string& key) {
    if (faults.down)
      return Down();
    ++reads;
    const auto it = rows.find(key);
    if (it == rows.end())
      return absl::NotFoundError("no row " + key);
    return it->second;
  }

  absl::StatusOr<std::vector<Row>> Scan(const std::string& prefix,
                                        const std::string& after,
                                        int limit) {
    if (faults.down)
      return Down();
    ++reads;
    std::vector<Row> found;
    auto it =
        after < prefix ? rows.lower_bound(prefix) : rows.upper_bound(after);
    while (it != rows.end() && it->first.starts_with(prefix) &&
           found.size() < static_cast<size_t>(std::max(limit, 0))) {
      found.push_back(it->second);
      ++it;
    }
    return found;
  }

  RowVersion VersionOf(const std::string& key) const {
    const auto it = rows.find(key);
    return it == rows.end() ? RowVersion() : it->second.version;
  }

  absl::Status Apply(const Transaction& transaction) {
    for (const Condition& it : transaction.conditions) {
      const RowVersion present = VersionOf(it.key);
      if (present != it.version) {
        return absl::AbortedError("row " + it.key + " has version " +
                                  std::to_string(present.value()) + ", not " +
                                  std::to_string(it.version.value()));
      }
    }
    for (const Write& it : transaction.writes)
      Put(it, transaction.token);
    ++commits;
    return absl::OkStatus();
  }

  void Put(const Write& write, const TokenId& token) {
    RowVersion& last = last_versions[write.key];
    if (!write.value) {
      rows.erase(write.key);
      return;
    }
    last = last.Next();
    rows[write.key] = {write.key, *write.value, last, token};
  }

  TaskRunner& runner;
  StoreFaults faults;
  std::map<std::string, Row> rows;
  // Kept for deleted rows, whose versions must not come back.
  std::map<std::string, RowVersion> last_versions;
  int64_t commits = 0;
  int64_t reads = 0;
};

MemoryTable::MemoryTable(TaskRunner& runner)
    : state_(std::make_shared<State>(runner)) {}

MemoryTable::~MemoryTable() = default;

void MemoryTable::Read(const std::string& key, ReadCallback done) {
  state_->Later(
      [state = state_, key, done = std::move(done)] { done(state->Get(key)); });
}

void MemoryTable::ReadPrefix(const std::string& prefix,
                             const std::string& after,
                             int limit,
                             ScanCallback done) {
  state_->Later([state = state_, prefix, after, limit, done = std::move(done)] {
    done(state->Scan(prefix, after, limit));
  });
}

void MemoryTable::Commit(Transaction transaction, CommitCallback done) {
  if (absl::Status status = CheckShape(transaction); !status.ok()) {
    state_->runner.Post([status, done = std::move(done)] { done(status); });
    return;
  }
  state_->Later([state = state_, transaction = std::move(transaction),
                 done = std::move(done)] {
    if (state->faults.down) {
      done(Down());
    } else if (state->faults.late_commits > 0) {
      --state->faults.late_commits;
      state->runner.PostAfter(state->faults.late_by, [state, transaction] {
        state->Apply(transaction).IgnoreError();
      });
      done(Lost());
    } else {
      const absl::Status status = state->Apply(transaction);
      const bool lose = status.ok() && state->faults.lose_answers > 0;
      state->faults.lose_answers -= lose ? 1 : 0;
      done(lose ? Lost() : status);
    }
  });
}

StoreFaults& MemoryTable::faults() {
  return state_->faults;
}

int64_t MemoryTable::commits() const {
  return state_->commits;
}

int64_t MemoryTable::reads() const {
  return state_->reads;
}

}  // namespace quetzalshelf
