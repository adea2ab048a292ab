// Writes the states of jobs to the store in batches. Only the leader does so:
// every transaction is conditional on the row that proves its epoch.

#ifndef SERVERS_BATCH_STATE_WRITER_H_
#define SERVERS_BATCH_STATE_WRITER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

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

class StateWriter {
 public:
  // nullopt for a job that is not to be written any more.
  using Source = std::function<std::optional<StateRow>(const JobId&)>;
  // The state of that revision is in the store, in the row's new version.
  using CommittedHandler =
      std::function<void(const JobId&, uint64_t revision, RowVersion)>;
  // Another leader has taken over.
  using FencedHandler = std::function<void()>;

  StateWriter(VersionedStore& store,
              const Clock& clock,
              EpochProof proof,
              Source source,
              CommittedHandler on_committed,
              FencedHandler on_fenced,
              uint64_t seed);
  // No handler runs afterwards.
  ~StateWriter();

  void MarkDirty(const JobId& id);
  // Sends what is due.
  void Pump(TimePoint now);
  // Whether the last transaction failed for lack of an answer.
  bool failing() const { return failing_; }

 private:
  struct Batch {
    struct Item {
      JobId id;
      StateRow row;
    };
    std::vector<Item> items;
  };

  void Send(std::shared_ptr<Batch> batch);
  void OnCommitted(const std::shared_ptr<Batch>& batch,
                   const absl::StatusOr<CommitOutcome>& result);
  void OnConflict(const std::shared_ptr<Batch>& batch,
                  const CommitOutcome& outcome);
  void Finish(const Batch::Item& item, RowVersion version);

  VersionedStore& store_;
  const Clock& clock_;
  EpochProof proof_;
  Source source_;
  CommittedHandler on_committed_;
  FencedHandler on_fenced_;
  Backoff retry_;
  TimePoint retry_at_;
  std::set<JobId> dirty_;
  std::set<JobId> writing_;
  std::vector<std::shared_ptr<Batch>> failed_;
  int in_flight_ = 0;
  bool failing_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

StoreKey StateRowKey(const JobId& id);

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_STATE_WRITER_H_
