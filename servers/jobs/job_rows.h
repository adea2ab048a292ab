// The job rows of one shard: a copy in memory and batched, fenced writes.

#ifndef SERVERS_JOBS_JOB_ROWS_H_
#define SERVERS_JOBS_JOB_ROWS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/platform/table.h"
#include "core/time.h"
#include "servers/cluster/committer.h"
#include "servers/cluster/shard_ownership.h"
#include "servers/jobs/job_record.h"

namespace quetzalshelf::jobs {

struct JobRowsOptions {
  int page_rows = 500;   // Rows of one read during recovery.
  int batch_rows = 100;  // Rows of one transaction.
  // Tries of a write that failed a condition, mostly because the lease was
  // renewed meanwhile.
  int max_conflict_retries = 3;
};

// Every write is conditional on the shard row and on the row itself, so that
// writes of an earlier owner fail. One write of a row is in flight at a time.
class JobRows {
 public:
  enum class Outcome {
    kCommitted,
    kVoid,        // The change no longer applies to the record.
    kNotWritten,  // Nothing was or will be written.
  };
  using Done = std::function<void(Outcome)>;
  // Changes the record; false when the change no longer applies. Called when
  // the transaction is sent.
  using Change = std::function<bool(JobRecord&)>;
  // Further conditions, evaluated when the transaction is sent.
  using Conditions = std::function<std::vector<Condition>()>;

  // Arguments but options must outlive the rows. `on_fenced` is called when
  // another owner has written a row; it must not destroy the rows.
  JobRows(Table& table,
          cluster::Committer& committer,
          const cluster::ShardOwnership& ownership,
          std::function<void()> on_fenced,
          JobRowsOptions options);

  // Reads all rows by pages. Errors: those of the table, and the ones of
  // DecodeJobRecord with the key of the row.
  void Load(std::function<void(absl::Status)> done);

  // The committed record; null when unknown.
  const JobRecord* Find(const JobId& job) const;
  const std::map<JobId, JobRecord>& records() const { return records_; }

  // Adds a job, once; a refusal is final.
  void Insert(JobRecord record, Done done);
  // Writes a change with the next batch and retries until it is written.
  void Update(const JobId& job, Change change, Done done = nullptr);
  // Writes a change in its own transaction, once; a refusal is final.
  void UpdateOnce(const JobId& job,
                  Change change,
                  Conditions conditions,
                  Done done);
  // Deletes the row of a job with the next batch, if the store allows it.
  void Erase(const JobId& job);

  // Sends what is due. Without `may_act`, refuses what has not been sent and
  // may not be retried.
  void Flush(bool may_act);

  size_t inserting() const { return queued_inserts_.size() + sent_inserts_; }
  int64_t transactions() const { return transactions_; }
  int64_t written_bytes() const { return written_bytes_; }

 private:
  struct InsertOp {
    JobRecord record;
    Done done;
    int tries = 0;
    bool alone = false;  // Its batch met a row that exists.
  };
  struct UpdateOp {
    Change change;
    Conditions conditions;
    bool once = false;
    Done done;
    int tries = 0;
  };
  struct Entry {
    RowVersion version;
    bool in_flight = false;
    std::deque<UpdateOp> ops;
  };
  struct BatchItem {
    JobId job;
    JobRecord record;
    std::vector<UpdateOp> ops;
  };
  using Batch = std::shared_ptr<std::vector<BatchItem>>;

  void LoadPage(const std::string& after,
                std::function<void(absl::Status)> done);
  absl::Status TakePage(const std::vector<Row>& rows);
  void FlushInserts();
  void SendInserts(const std::shared_ptr<std::vector<InsertOp>>& inserts);
  void OnInserted(std::vector<InsertOp>& inserts,
                  RowVersion fence,
                  const cluster::CommitResult& result);
  void FlushUpdates();
  bool TakeOps(const JobId& job, Entry& entry, BatchItem& item);
  void SendUpdates(const Batch& batch, std::vector<Condition> conditions);
  void OnUpdated(std::vector<BatchItem>& batch,
                 RowVersion fence,
                 const cluster::CommitResult& result);
  void ReturnOps(BatchItem& item, bool conflict);
  void RefreshVersion(const JobId& job);
  void FlushErasures();
  void RefuseUnsent();

  Table& table_;
  cluster::Committer& committer_;
  const cluster::ShardOwnership& ownership_;
  const std::function<void()> on_fenced_;
  const JobRowsOptions options_;

  std::map<JobId, JobRecord> records_;
  std::map<JobId, Entry> entries_;
  std::set<JobId> dirty_;
  std::set<JobId> erasures_;
  std::deque<InsertOp> queued_inserts_;
  size_t sent_inserts_ = 0;
  int64_t transactions_ = 0;
  int64_t written_bytes_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf::jobs

#endif  // SERVERS_JOBS_JOB_ROWS_H_
