// Writes the states of jobs to the store in batches. Only the leader does so:
// every transaction is conditional on the epoch row, which fences it.

#ifndef SERVERS_BATCH_STATE_WRITER_H_
#define SERVERS_BATCH_STATE_WRITER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/answer_time.h"
#include "core/backoff.h"
#include "core/platform/versioned_store.h"
#include "core/time.h"
#include "servers/batch/leader_lease.h"

namespace quetzalshelf::batch {

// The present state of a job.
struct StateRow {
  std::string value;
  RowVersion expected;  // Version of the row as last seen; 0 when absent.
  uint64_t revision = 0;
};

// How long a change may wait for others to be written with it.
enum class WriteUrgency {
  kNow,   // A start or a caller waits for it.
  kSoon,  // Nobody waits for it.
};

class StateWriter {
 public:
  // nullopt for a job that is not to be written any more.
  using Source = std::function<std::optional<StateRow>(const JobId&)>;
  // The state of that revision is in the store, in the row's new version.
  using CommittedHandler =
      std::function<void(const JobId&, uint64_t revision, RowVersion)>;
  // Another leader has taken over.
  using FencedHandler = std::function<void()>;
  // The heartbeat if one is due, written in the same transaction.
  using HeartbeatSource = std::function<std::optional<StoreWrite>()>;

  StateWriter(VersionedStore& store,
              const Clock& clock,
              FencingToken fencing_token,
              Source source,
              CommittedHandler on_committed,
              FencedHandler on_fenced,
              HeartbeatSource heartbeat,
              uint64_t seed);
  // No handler runs afterwards.
  ~StateWriter();

  void MarkDirty(const JobId& id, WriteUrgency urgency, TimePoint now);
  // Sends the batches that are due.
  void Pump(TimePoint now);
  // Whether the last transaction failed for lack of an answer.
  bool failing() const { return failing_; }
  // When the last transaction was sent that the epoch row let pass.
  TimePoint confirmed_at() const { return confirmed_at_; }

 private:
  struct Batch {
    struct Item {
      JobId id;
      StateRow row;
    };
    std::vector<Item> items;
    int copies = 0;  // Times it was sent; several may be under way.
    TimePoint first_sent;
    // Of the last copy.
    TimePoint sent;
    Duration timeout{0};
    TimePoint next_look;     // In the feed, while its answer is overdue.
    int looks = 0;           // Under way.
    bool seen_slow = false;  // The store answered meanwhile.
    bool settled = false;    // Its outcome is known.
  };

  Duration OverdueAfter() const;
  bool MaySend(TimePoint now) const;
  std::shared_ptr<Batch> TakeBatch();
  void Send(const std::shared_ptr<Batch>& batch, TimePoint now);
  void OnCommitted(const std::shared_ptr<Batch>& batch,
                   int copy,
                   TimePoint sent,
                   const absl::StatusOr<CommitOutcome>& result);
  // Checks in the feed whether transactions with an overdue answer took effect.
  // Sending them again at once would lengthen the queue of a slow store.
  void LookForOverdue(TimePoint now);
  void OnLook(const std::shared_ptr<Batch>& batch,
              int copy,
              TimePoint looked_at,
              const absl::StatusOr<StoreSnapshot>& result);
  void OnConflict(const std::shared_ptr<Batch>& batch,
                  const CommitOutcome& outcome);
  // The transaction of the batch has taken effect; it was sent at `sent` or
  // later.
  void Settle(const std::shared_ptr<Batch>& batch,
              TimePoint sent,
              RowVersion version);
  void Finish(const Batch::Item& item, RowVersion version);

  VersionedStore& store_;
  const Clock& clock_;
  FencingToken fencing_token_;
  Source source_;
  CommittedHandler on_committed_;
  FencedHandler on_fenced_;
  HeartbeatSource heartbeat_;
  Backoff retry_;
  TimePoint retry_at_;
  AnswerTime answer_time_;
  TimePoint last_sent_;
  std::set<JobId> dirty_;
  TimePoint due_at_ = TimePoint::max();  // Of the oldest change in `dirty_`.
  std::set<JobId> writing_;
  std::vector<std::shared_ptr<Batch>> failed_;
  std::vector<std::shared_ptr<Batch>> in_flight_;
  TimePoint confirmed_at_;
  RowVersion seen_version_;  // Of the store, as of the last answer.
  bool failing_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

StoreKey StateRowKey(const JobId& id);

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_STATE_WRITER_H_
