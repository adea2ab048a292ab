#include "servers/batch/state_writer.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"
#include "servers/batch/job_frontend.h"

namespace quetzalshelf::batch {

namespace {

// A transaction holds 100 entries. Each job takes a condition and a write; the
// epoch takes one more condition.
constexpr size_t kMaxBatch = 45;
// Bounds the bytes of a transaction, which the store limits to 1 MB.
constexpr size_t kMaxBatchBytes = 400'000;
// A partition executes transactions one at a time, so a second one is sent only
// when the first is overdue or lost.
constexpr size_t kMaxInFlight = 2;
constexpr int kOverdueFactor = 4;
constexpr Duration kShortestOverdue{100};
// A timeout below the answer time of a slow store would fill its queue with
// retries.
constexpr Duration kShortestTimeout{1'500};
constexpr Duration kLongestTimeout{3'000};
constexpr Duration kLookTimeout{600};
// Looks for one batch at the same time. The answer of a look may arrive slowly.
constexpr int kMaxLooks = 3;
// Interval of the looks for one transaction. A silent store answers no look
// either, so this bounds how late its return is noticed.
constexpr Duration kLookInterval{200};
// Changes that nobody waits for are batched for this long, since the tasks of a
// job end one by one.
constexpr Duration kLinger{30};
constexpr BackoffOptions kRetry{Duration(50), Duration(400)};

}  // namespace

StoreKey StateRowKey(const JobId& id) {
  return {kStateTable, kLeaderPartition, id.value()};
}

StateWriter::StateWriter(VersionedStore& store,
                         const Clock& clock,
                         FencingToken fencing_token,
                         Source source,
                         CommittedHandler on_committed,
                         FencedHandler on_fenced,
                         HeartbeatSource heartbeat,
                         uint64_t seed)
    : store_(store),
      clock_(clock),
      fencing_token_(fencing_token),
      source_(std::move(source)),
      on_committed_(std::move(on_committed)),
      on_fenced_(std::move(on_fenced)),
      heartbeat_(std::move(heartbeat)),
      retry_(kRetry, seed) {}

StateWriter::~StateWriter() {
  *alive_ = false;
}

void StateWriter::MarkDirty(const JobId& id,
                            WriteUrgency urgency,
                            TimePoint now) {
  dirty_.insert(id);
  const TimePoint due = urgency == WriteUrgency::kNow ? now : now + kLinger;
  due_at_ = std::min(due_at_, due);
}

Duration StateWriter::OverdueAfter() const {
  return std::max(kShortestOverdue, answer_time_.mean() * kOverdueFactor);
}

bool StateWriter::MaySend(TimePoint now) const {
  return in_flight_.empty() || (in_flight_.size() < kMaxInFlight &&
                                now - last_sent_ >= OverdueAfter());
}

void StateWriter::Pump(TimePoint now) {
  LookForOverdue(now);
  if (now < retry_at_)
    return;
  // A batch without an answer is sent again unchanged: when the first copy
  // took effect, the conflict shows its values.
  while (!failed_.empty() && MaySend(now)) {
    const auto batch = failed_.back();
    failed_.pop_back();
    Send(batch, now);
  }
  while (now >= due_at_ && MaySend(now)) {
    const auto batch = TakeBatch();
    // Jobs whose last change is still being written are marked again then.
    if (batch->items.empty())
      return;
    Send(batch, now);
  }
}

std::shared_ptr<StateWriter::Batch> StateWriter::TakeBatch() {
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
  if (dirty_.empty())
    due_at_ = TimePoint::max();
  return batch;
}

void StateWriter::Send(const std::shared_ptr<Batch>& batch, TimePoint now) {
  StoreTransaction transaction;
  transaction.conditions.push_back({EpochRowKey(), fencing_token_.version});
  for (const Batch::Item& it : batch->items) {
    transaction.conditions.push_back({StateRowKey(it.id), it.row.expected});
    transaction.writes.push_back({StateRowKey(it.id), it.row.value});
  }
  if (std::optional<StoreWrite> heartbeat = heartbeat_())
    transaction.writes.push_back(*std::move(heartbeat));
  last_sent_ = now;
  if (++batch->copies == 1)
    batch->first_sent = now;
  batch->sent = now;
  batch->timeout = answer_time_.Timeout(kShortestTimeout, kLongestTimeout);
  batch->next_look = TimePoint();
  batch->seen_slow = false;
  in_flight_.push_back(batch);
  store_.Commit(transaction, batch->timeout,
                [this, alive = alive_, batch, copy = batch->copies,
                 now](const absl::StatusOr<CommitOutcome>& it) {
                  if (*alive)
                    OnCommitted(batch, copy, now, it);
                });
}

void StateWriter::LookForOverdue(TimePoint now) {
  for (const std::shared_ptr<Batch>& it : in_flight_) {
    if (now - it->sent < OverdueAfter() || now < it->next_look ||
        it->looks >= kMaxLooks)
      continue;
    it->next_look = now + kLookInterval;
    ++it->looks;
    store_.Feed(kStateTable, seen_version_, Duration(0), kLookTimeout,
                [this, alive = alive_, batch = it, copy = it->copies,
                 now](const absl::StatusOr<StoreSnapshot>& result) {
                  if (*alive)
                    OnLook(batch, copy, now, result);
                });
  }
}

void StateWriter::OnLook(const std::shared_ptr<Batch>& batch,
                         int copy,
                         TimePoint looked_at,
                         const absl::StatusOr<StoreSnapshot>& result) {
  --batch->looks;
  if (batch->settled || !result.ok())
    return;
  const Batch::Item& first = batch->items.front();
  const auto row = std::ranges::find_if(result->rows, [&](const StoreRow& it) {
    return it.id == StateRowKey(first.id) && it.value == first.row.value &&
           it.version > first.row.expected;
  });
  if (row != result->rows.end()) {
    LOG(INFO) << "states found written without an answer: jobs="
              << batch->items.size() << " version=" << row->version;
    std::erase(in_flight_, batch);
    // Any copy may have been the one that took effect.
    Settle(batch, batch->first_sent, row->version);
    return;
  }
  if (copy != batch->copies ||
      std::ranges::find(in_flight_, batch) == in_flight_.end())
    return;
  // A transaction takes about as long as a look. One that had much more time
  // was lost on the way, as when the store was silent; otherwise its own answer
  // or its time-out decides.
  const TimePoint now = clock_.Now();
  if (looked_at - batch->sent < kOverdueFactor * (now - looked_at)) {
    batch->seen_slow = true;
    return;
  }
  LOG(INFO) << "states not found written, sent again: jobs="
            << batch->items.size()
            << " after_ms=" << (now - batch->sent).count();
  std::erase(in_flight_, batch);
  failed_.push_back(batch);
  retry_at_ = now;
}

void StateWriter::OnCommitted(const std::shared_ptr<Batch>& batch,
                              int copy,
                              TimePoint sent,
                              const absl::StatusOr<CommitOutcome>& result) {
  if (result.ok()) {
    answer_time_.Observe(clock_.Now() - sent);
    seen_version_ = std::max(seen_version_, result->version);
  } else if (absl::IsDeadlineExceeded(result.status()) && batch->seen_slow) {
    // A silent store says nothing about the time that a transaction takes.
    answer_time_.ObserveTimeout(batch->timeout);
  }
  // A newer copy is under way or due when an older one fails.
  if (batch->settled || (!result.ok() && copy != batch->copies))
    return;
  const bool under_way = std::erase(in_flight_, batch) > 0;
  if (!result.ok()) {
    if (!failing_) {
      LOG(WARNING) << "states not written, retrying: jobs="
                   << batch->items.size() << ": " << result.status().message();
    }
    failing_ = true;
    if (under_way)
      failed_.push_back(batch);
    retry_at_ = clock_.Now() + retry_.Next();
    return;
  }
  std::erase(failed_, batch);
  if (failing_)
    LOG(INFO) << "states are written again";
  failing_ = false;
  retry_.Reset();
  if (!result->committed) {
    batch->settled = true;
    OnConflict(batch, *result);
    return;
  }
  Settle(batch, sent, result->version);
}

void StateWriter::OnConflict(const std::shared_ptr<Batch>& batch,
                             const CommitOutcome& outcome) {
  std::map<StoreKey, const StoreRow*> current;
  for (const StoreRow& it : outcome.current)
    current[it.id] = &it;
  const auto epoch = current.find(EpochRowKey());
  if (epoch == current.end() ||
      epoch->second->version != fencing_token_.version) {
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

void StateWriter::Settle(const std::shared_ptr<Batch>& batch,
                         TimePoint sent,
                         RowVersion version) {
  batch->settled = true;
  std::erase(failed_, batch);
  confirmed_at_ = std::max(confirmed_at_, sent);
  for (const Batch::Item& it : batch->items)
    Finish(it, version);
}

void StateWriter::Finish(const Batch::Item& item, RowVersion version) {
  writing_.erase(item.id);
  on_committed_(item.id, item.row.revision, version);
}

}  // namespace quetzalshelf::batch
