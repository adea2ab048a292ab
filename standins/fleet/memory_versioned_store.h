// A VersionedStore in memory, in virtual time, that can be made to fail.

#ifndef STANDINS_FLEET_MEMORY_VERSIONED_STORE_H_
#define STANDINS_FLEET_MEMORY_VERSIONED_STORE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/platform/versioned_store.h"
#include "core/task_runner.h"

namespace quetzalshelf {

struct MemoryStoreFaults {
  bool refuse = false;          // Every call is refused.
  int lose_commit_answers = 0;  // So many commits are done without an answer.
  // So many commits have no answer and are tried this much later.
  int late_commits = 0;
  Duration lateness{3'000};
  bool silence_feeds = false;  // Feeds do not answer before their time-out.
};

class MemoryVersionedStore : public VersionedStore {
 public:
  // Answers show the store's clock, which is `clock` with another origin. They
  // show none without it.
  MemoryVersionedStore(TaskRunner& runner,
                       Duration answer_time,
                       const Clock* clock = nullptr);

  void Commit(const StoreTransaction& transaction,
              Duration timeout,
              CommitCallback done) override;
  void Read(const ReadRange& range,
            Duration timeout,
            ReadCallback done) override;
  void Feed(const std::string& table,
            RowVersion after,
            Duration wait,
            Duration timeout,
            ReadCallback done) override;

  // Writes a row at once, as the operator and the workers do.
  void Put(const StoreKey& id, const std::string& value);
  void Delete(const StoreKey& id);
  std::optional<StoreRow> Find(const StoreKey& id) const;
  // Feeds from earlier versions than the present one fail.
  void DropHistory();

  MemoryStoreFaults& faults() { return faults_; }
  void set_answer_time(Duration time) { answer_time_ = time; }
  int reads() const { return reads_; }

 private:
  struct Waiter {
    std::string table;
    RowVersion after;
    ReadCallback done;
    bool answered = false;
  };

  CommitOutcome Apply(const StoreTransaction& transaction);
  void WakeWaiters();
  std::vector<StoreRow> ChangesOf(const std::string& table,
                                  RowVersion after) const;
  void Answer(ReadCallback done, StoreSnapshot snapshot);

  std::optional<StoreTime> Shown() const;

  TaskRunner& runner_;
  Duration answer_time_;
  const Clock* clock_;
  MemoryStoreFaults faults_;
  std::map<StoreKey, StoreRow> rows_;
  std::vector<StoreRow> history_;
  RowVersion version_;
  RowVersion history_start_;
  std::vector<std::shared_ptr<Waiter>> waiters_;
  int reads_ = 0;
};

}  // namespace quetzalshelf

#endif  // STANDINS_FLEET_MEMORY_VERSIONED_STORE_H_
