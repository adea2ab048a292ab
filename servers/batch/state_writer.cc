#include "servers/batch/state_writer.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"
#include "servers/batch/job_desk.h"

namespace quetzalshelf::batch {

namespace {

// A transaction holds 100 entries; each job takes a condition and a write, and
// the epoch one condition more.
constexpr size_t kMaxBatch = 45;
// Bounds the bytes of a transaction, which the store limits to 1 MB.
constexpr size_t kMaxBatchBytes = 400'000;
// Overlaps the store's answer time without using its rate up.
constexpr int kMaxInFlight = 3;
constexpr Duration kCommitTimeout{900};
constexpr BackoffOptions kRetry{Duration(50), Duration(400)};

}  // namespace

StoreKey StateRowKey(const JobId& id) {
  return {kStateTable, kLeaderPartition, id.value()};
}

StateWriter::StateWriter(VersionedStore& store,
                         const Clock& clock,
                         EpochProof proof,
                         Source source,
                         CommittedHandler on_committed,
                         FencedHandler on_fenced,
                         uint64_t seed)
    : store_(store),
      clock_(clock),
      proof_(proof),
      source_(std::move(source)),
      on_committed_(std::move(on_committed)),
      on_fenced_(std::move(on_fenced)),
      retry_(kRetry, seed) {}

StateWriter::~StateWriter() {
  *alive_ = false;
}

void StateWriter::MarkDirty(const JobId& id) {
  dirty_.insert(id);
}

void StateWriter::Pump(TimePoint now) {
  if (now < retry_at_)
    return;
  // A batch without an answer is sent again unchanged: when the first copy
  // took effect, the conflict shows its values.
  while (!failed_.empty() && in_flight_ < kMaxInFlight) {
    const auto batch = failed_.back();
    failed_.pop_back();
    Send(batch);
  }
  while (in_flight_ < kMaxInFlight) {
    auto batch = std::make_shared<Batch>();
    size_t bytes = 0;
    for (auto it = dirty_.begin(); it != dirty_.end() &&
                                   batch->items.size() < kMaxBatch &&
                                   bytes < kMaxBatchBytes;) {
      if (writing_.contains(*it)) {
        ++it;
        continue;
      }
      if (std::optional<StateRow> row = source_(*it)) {
        bytes += row->value.size();
        writing_.insert(*it);
        batch->items.push_back({*it, *std::move(row)});
      }
      it = dirty_.erase(it);
    }
    if (batch->items.empty())
      return;
    Send(std::move(batch));
  }
}

void StateWriter::Send(std::shared_ptr<Batch> batch) {
  StoreTransaction transaction;
  transaction.conditions.push_back({EpochRowKey(), proof_.version});
  for (const Batch::Item& it : batch->items) {
    transaction.conditions.push_back({StateRowKey(it.id), it.row.expected});
    transaction.writes.push_back({StateRowKey(it.id), it.row.value});
  }
  ++in_flight_;
  store_.Commit(transaction, kCommitTimeout,
                [this, alive = alive_, batch = std::move(batch)](
                    const absl::StatusOr<CommitOutcome>& result) {
                  if (*alive)
                    OnCommitted(batch, result);
                });
}

void StateWriter::OnCommitted(const std::shared_ptr<Batch>& batch,
                              const absl::StatusOr<CommitOutcome>& result) {
  --in_flight_;
  if (!result.ok()) {
    if (!failing_) {
      LOG(WARNING) << "states not written, retrying: jobs="
                   << batch->items.size() << ": " << result.status().message();
    }
    failing_ = true;
    failed_.push_back(batch);
    retry_at_ = clock_.Now() + retry_.Next();
    return;
  }
  if (failing_)
    LOG(INFO) << "states are written again";
  failing_ = false;
  retry_.Reset();
  if (!result->committed) {
    OnConflict(batch, *result);
    return;
  }
  for (const Batch::Item& it : batch->items)
    Finish(it, result->version);
}

void StateWriter::OnConflict(const std::shared_ptr<Batch>& batch,
                             const CommitOutcome& outcome) {
  std::map<StoreKey, const StoreRow*> current;
  for (const StoreRow& it : outcome.current)
    current[it.id] = &it;
  const auto epoch = current.find(EpochRowKey());
  if (epoch == current.end() || epoch->second->version != proof_.version) {
    on_fenced_();
    return;
  }
  // The epoch still holds, so only this writer's own late copies can have
  // changed the rows.
  for (Batch::Item& it : batch->items) {
    const auto row = current.find(StateRowKey(it.id));
    const bool absent =
        row == current.end() || row->second->version == RowVersion(0);
    const RowVersion version = absent ? RowVersion(0) : row->second->version;
    if (!absent && row->second->value == it.row.value) {
      Finish(it, version);
      continue;
    }
    LOG(WARNING) << "state of job " << it.id
                 << " has another version than expected: expected="
                 << it.row.expected << " found=" << version;
    it.row.expected = version;
    auto again = std::make_shared<Batch>();
    again->items.push_back(it);
    failed_.push_back(std::move(again));
  }
}

void StateWriter::Finish(const Batch::Item& item, RowVersion version) {
  writing_.erase(item.id);
  on_committed_(item.id, item.row.revision, version);
}

}  // namespace quetzalshelf::batch
