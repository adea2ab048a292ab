#include "servers/jobs/job_rows.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"

namespace quetzalshelf::jobs {

using cluster::CommitOutcome;
using cluster::CommitResult;

JobRows::JobRows(Table& table,
                 cluster::Committer& committer,
                 const cluster::ShardOwnership& ownership,
                 std::function<void()> on_fenced,
                 JobRowsOptions options)
    : table_(table),
      committer_(committer),
      ownership_(ownership),
      on_fenced_(std::move(on_fenced)),
      options_(options) {}

void JobRows::Load(std::function<void(absl::Status)> done) {
  records_.clear();
  entries_.clear();
  LoadPage("", std::move(done));
}

void JobRows::LoadPage(const std::string& after,
                       std::function<void(absl::Status)> done) {
  table_.ReadPrefix(
      JobPrefix(ownership_.region()), after, options_.page_rows,
      [this, done = std::move(done), alive = std::weak_ptr(alive_)](
          const absl::StatusOr<std::vector<Row>>& rows) {
        if (alive.expired())
          return;
        if (!rows.ok()) {
          done(rows.status());
          return;
        }
        if (absl::Status status = TakePage(*rows); !status.ok()) {
          done(status);
          return;
        }
        if (rows->size() < static_cast<size_t>(options_.page_rows))
          done(absl::OkStatus());
        else
          LoadPage(rows->back().key, done);
      });
}

absl::Status JobRows::TakePage(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    absl::StatusOr<JobRecord> record = DecodeJobRecord(row.value);
    if (!record.ok()) {
      return {record.status().code(),
              "row " + row.key + ": " + std::string(record.status().message())};
    }
    const JobId job = record->spec.job.id;
    records_[job] = *std::move(record);
    entries_[job].version = row.version;
  }
  return absl::OkStatus();
}

const JobRecord* JobRows::Find(const JobId& job) const {
  auto it = records_.find(job);
  return it == records_.end() ? nullptr : &it->second;
}

void JobRows::Insert(JobRecord record, Done done) {
  queued_inserts_.push_back({std::move(record), std::move(done)});
}

void JobRows::Update(const JobId& job, Change change, Done done) {
  auto it = entries_.find(job);
  if (it == entries_.end())
    return;
  it->second.ops.push_back(
      {.change = std::move(change), .done = std::move(done)});
  dirty_.insert(job);
}

void JobRows::UpdateOnce(const JobId& job,
                         Change change,
                         Conditions conditions,
                         Done done) {
  auto it = entries_.find(job);
  if (it == entries_.end()) {
    done(Outcome::kVoid);
    return;
  }
  it->second.ops.push_back({.change = std::move(change),
                            .conditions = std::move(conditions),
                            .once = true,
                            .done = std::move(done)});
  dirty_.insert(job);
}

void JobRows::Erase(const JobId& job) {
  if (entries_.contains(job))
    erasures_.insert(job);
}

void JobRows::Flush(bool may_act) {
  if (!may_act) {
    RefuseUnsent();
    return;
  }
  FlushInserts();
  FlushUpdates();
  FlushErasures();
}

void JobRows::RefuseUnsent() {
  std::deque<InsertOp> inserts = std::exchange(queued_inserts_, {});
  for (InsertOp& op : inserts)
    op.done(Outcome::kNotWritten);
  const std::vector<JobId> dirty(dirty_.begin(), dirty_.end());
  for (const JobId& job : dirty) {
    Entry& entry = entries_.at(job);
    std::deque<UpdateOp> ops = std::exchange(entry.ops, {});
    for (UpdateOp& op : ops) {
      if (op.once)
        op.done(Outcome::kNotWritten);
      else
        entries_.at(job).ops.push_back(std::move(op));
    }
    if (entries_.at(job).ops.empty())
      dirty_.erase(job);
  }
}

void JobRows::FlushInserts() {
  while (!queued_inserts_.empty()) {
    const size_t limit = queued_inserts_.front().alone
                             ? 1
                             : static_cast<size_t>(options_.batch_rows);
    const size_t n = std::min(queued_inserts_.size(), limit);
    auto inserts = std::make_shared<std::vector<InsertOp>>();
    std::move(queued_inserts_.begin(),
              queued_inserts_.begin() + static_cast<std::ptrdiff_t>(n),
              std::back_inserter(*inserts));
    queued_inserts_.erase(
        queued_inserts_.begin(),
        queued_inserts_.begin() + static_cast<std::ptrdiff_t>(n));
    SendInserts(inserts);
  }
}

void JobRows::SendInserts(
    const std::shared_ptr<std::vector<InsertOp>>& inserts) {
  const Condition fence = ownership_.Fence();
  std::vector<Condition> conditions{fence};
  std::vector<Write> writes;
  for (const InsertOp& op : *inserts) {
    std::string key = JobKey(ownership_.region(), op.record.spec.job.id);
    std::string value = EncodeJobRecord(op.record);
    written_bytes_ += static_cast<int64_t>(key.size() + value.size());
    conditions.push_back({key, RowVersion(0)});
    writes.push_back({std::move(key), std::move(value)});
  }
  sent_inserts_ += inserts->size();
  ++transactions_;
  committer_.Commit(
      std::move(conditions), std::move(writes),
      [this, inserts, version = fence.version,
       alive = std::weak_ptr(alive_)](const CommitResult& result) {
        if (!alive.expired())
          OnInserted(*inserts, version, result);
      });
}

void JobRows::OnInserted(std::vector<InsertOp>& inserts,
                         RowVersion fence,
                         const CommitResult& result) {
  sent_inserts_ -= inserts.size();
  if (result.outcome == CommitOutcome::kOverwritten) {
    on_fenced_();
    return;
  }
  // A renewal of the lease that is not answered yet looks like a conflict, too.
  const bool again = result.outcome == CommitOutcome::kConflict;
  for (InsertOp& op : inserts) {
    if (result.outcome == CommitOutcome::kCommitted) {
      const JobId job = op.record.spec.job.id;
      records_[job] = std::move(op.record);
      // A row that was deleted before has a larger version; the first update
      // finds out.
      entries_[job].version = RowVersion(1);
      op.done(Outcome::kCommitted);
    } else if (again && ++op.tries < options_.max_conflict_retries) {
      op.alone = ownership_.Fence().version == fence;
      queued_inserts_.push_back(std::move(op));
    } else {
      op.done(Outcome::kNotWritten);
    }
  }
}

void JobRows::FlushUpdates() {
  auto batch = std::make_shared<std::vector<BatchItem>>();
  const std::vector<JobId> dirty(dirty_.begin(), dirty_.end());
  for (const JobId& job : dirty) {
    Entry& entry = entries_.at(job);
    if (entry.in_flight)
      continue;
    BatchItem item{.job = job, .record = records_.at(job)};
    if (!TakeOps(job, entry, item))
      continue;
    if (item.ops.front().conditions) {
      std::vector<Condition> conditions = item.ops.front().conditions();
      auto single = std::make_shared<std::vector<BatchItem>>();
      single->push_back(std::move(item));
      SendUpdates(single, std::move(conditions));
      continue;
    }
    batch->push_back(std::move(item));
    if (batch->size() >= static_cast<size_t>(options_.batch_rows)) {
      SendUpdates(batch, {});
      batch = std::make_shared<std::vector<BatchItem>>();
    }
  }
  if (!batch->empty())
    SendUpdates(batch, {});
}

// Moves the operations that one transaction can carry from the entry to the
// item; false when there are none.
bool JobRows::TakeOps(const JobId& job, Entry& entry, BatchItem& item) {
  while (!entry.ops.empty()) {
    const bool alone = static_cast<bool>(entry.ops.front().conditions);
    if (alone && !item.ops.empty())
      break;
    UpdateOp op = std::move(entry.ops.front());
    entry.ops.pop_front();
    JobRecord changed = item.record;
    if (!op.change(changed)) {
      if (op.done)
        op.done(Outcome::kVoid);
      continue;
    }
    item.record = std::move(changed);
    item.ops.push_back(std::move(op));
    if (alone)
      break;
  }
  if (entry.ops.empty())
    dirty_.erase(job);
  return !item.ops.empty();
}

void JobRows::SendUpdates(const Batch& batch,
                          std::vector<Condition> conditions) {
  const Condition fence = ownership_.Fence();
  conditions.push_back(fence);
  std::vector<Write> writes;
  for (const BatchItem& item : *batch) {
    Entry& entry = entries_.at(item.job);
    entry.in_flight = true;
    std::string key = JobKey(ownership_.region(), item.job);
    std::string value = EncodeJobRecord(item.record);
    written_bytes_ += static_cast<int64_t>(key.size() + value.size());
    conditions.push_back({key, entry.version});
    writes.push_back({std::move(key), std::move(value)});
  }
  ++transactions_;
  committer_.Commit(
      std::move(conditions), std::move(writes),
      [this, batch, version = fence.version,
       alive = std::weak_ptr(alive_)](const CommitResult& result) {
        if (!alive.expired())
          OnUpdated(*batch, version, result);
      });
}

void JobRows::OnUpdated(std::vector<BatchItem>& batch,
                        RowVersion fence,
                        const CommitResult& result) {
  if (result.outcome == CommitOutcome::kOverwritten) {
    on_fenced_();
    return;
  }
  const bool committed = result.outcome == CommitOutcome::kCommitted;
  const bool conflict = result.outcome == CommitOutcome::kConflict;
  const bool refresh = conflict && ownership_.Fence().version == fence;
  for (BatchItem& item : batch) {
    Entry& entry = entries_.at(item.job);
    entry.in_flight = false;
    if (!committed) {
      ReturnOps(item, conflict);
      if (refresh)
        RefreshVersion(item.job);
      continue;
    }
    entry.version = entry.version.Next();
    records_.at(item.job) = std::move(item.record);
    for (UpdateOp& op : item.ops) {
      if (op.done)
        op.done(Outcome::kCommitted);
    }
  }
}

// Puts operations that may be tried again back in front of later ones.
void JobRows::ReturnOps(BatchItem& item, bool conflict) {
  std::vector<Done> refused;
  for (auto it = item.ops.rbegin(); it != item.ops.rend(); ++it) {
    const bool again =
        !it->once || (conflict && ++it->tries < options_.max_conflict_retries);
    if (again) {
      entries_.at(item.job).ops.push_front(std::move(*it));
      dirty_.insert(item.job);
    } else {
      refused.push_back(std::move(it->done));
    }
  }
  for (Done& done : refused)
    done(Outcome::kNotWritten);
}

// Only this owner writes the row while the fence holds, so a version read now
// is the one of its own last write.
void JobRows::RefreshVersion(const JobId& job) {
  entries_.at(job).in_flight = true;
  table_.Read(JobKey(ownership_.region(), job),
              [this, job,
               alive = std::weak_ptr(alive_)](const absl::StatusOr<Row>& row) {
                if (alive.expired())
                  return;
                Entry& entry = entries_.at(job);
                entry.in_flight = false;
                if (row.ok())
                  entry.version = row->version;
              });
}

void JobRows::FlushErasures() {
  std::vector<Condition> conditions{ownership_.Fence()};
  std::vector<Write> writes;
  std::vector<JobId> jobs;
  for (const JobId& job : erasures_) {
    const Entry& entry = entries_.at(job);
    if (entry.in_flight || !entry.ops.empty())
      continue;
    const std::string key = JobKey(ownership_.region(), job);
    conditions.push_back({key, entry.version});
    writes.push_back({key, std::nullopt});
    jobs.push_back(job);
    if (jobs.size() >= static_cast<size_t>(options_.batch_rows))
      break;
  }
  if (jobs.empty())
    return;
  for (const JobId& job : jobs) {
    entries_.erase(job);
    records_.erase(job);
    erasures_.erase(job);
  }
  // A lost deletion is repeated by the next owner that reads the row.
  ++transactions_;
  table_.Commit(
      {committer_.NewToken(), std::move(conditions), std::move(writes)},
      [](const absl::Status& status) {
        if (!status.ok())
          LOG(DEBUG) << "deletion of job rows: " << status.message();
      });
}

}  // namespace quetzalshelf::jobs
