// One shard with a store, workers and owners, in virtual time.

#ifndef TESTS_JOBS_JOB_WORLD_H_
#define TESTS_JOBS_JOB_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "drivers/clock/manual_task_runner.h"
#include "drivers/platform/memory_object_store.h"
#include "drivers/platform/memory_table.h"
#include "drivers/worker/in_process_workers.h"
#include "servers/cluster/store_gate.h"
#include "servers/jobs/job_service.h"
#include "tests/jobs/recording_port.h"

namespace quetzalshelf::jobs {

// Ownership that a test grants.
class GrantedOwnership : public cluster::ShardOwnership {
 public:
  GrantedOwnership(Epoch epoch, RowVersion version)
      : epoch_(epoch), version_(version) {}

  const RegionId& region() const override { return region_; }
  Epoch epoch() const override { return epoch_; }
  Condition Fence() const override { return {"shard/r", version_}; }
  bool MayAct(TimePoint /*now*/) const override { return may_act; }
  bool MayRenewTasks(TimePoint /*now*/) const override { return may_renew; }

  bool may_act = true;
  bool may_renew = true;

 private:
  const RegionId region_{"r"};
  const Epoch epoch_;
  const RowVersion version_;
};

// A table whose domain rows can become unreadable.
class BlindTable : public MemoryTable {
 public:
  using MemoryTable::MemoryTable;

  void ReadPrefix(const std::string& prefix,
                  const std::string& after,
                  int limit,
                  ScanCallback done) override {
    const bool drop = drop_domain_reads && prefix == "domain/";
    // A read without an answer ends at the time limit of the gate.
    if (!drop)
      MemoryTable::ReadPrefix(prefix, after, limit, std::move(done));
  }

  bool drop_domain_reads = false;
};

class JobWorld;

// One process that owns the shard.
struct Owner {
  Owner(JobWorld& world, Epoch epoch);

  cluster::StoreGate gate;
  cluster::Committer committer;
  GrantedOwnership ownership;
  std::shared_ptr<RecordingPort> port;
  JobService service;
  bool paused = false;

  void Pause() {
    paused = true;
    port->Pause();
  }
  // A paused process finds its lease expired when it wakes.
  void WakeWithoutLease() {
    ownership.may_act = false;
    ownership.may_renew = false;
    paused = false;
    port->Wake();
  }
};

// What was seen of one attempt.
struct SeenAttempt {
  std::map<int, TimePoint> started;  // By task.
  std::map<int, WorkerId> workers;
  std::optional<TimePoint> partial_since;
  Duration longest_partial{0};
};

class JobWorld {
 public:
  // Two workers in each of the domains d0 and d1, with 8 accelerators each.
  explicit JobWorld(uint64_t seed);

  // Takes the shard with the next epoch. The earlier owner, if any, stays as
  // `previous` and goes on until it finds out.
  void TakeOver();
  void KillOwner() { owner.reset(); }
  // The next owner comes when the row has stayed unchanged for 12 s.
  void KillAndReplaceOwner();
  // Lets time pass in ticks of 100 ms and watches the workers.
  void Run(Duration time);
  // Runs until `done`, at most `limit`; whether it came true.
  bool RunUntil(const std::function<bool()>& done, Duration limit);

  JobSpec Spec(const std::string& id, int tasks, Duration run_time) const;
  // Submits and waits up to 3 s for the reply.
  SubmitOutcome Submit(const JobSpec& spec);
  CancelOutcome Cancel(const std::string& id);
  std::optional<JobState> State(const std::string& id);
  // The record in the table, whoever wrote it.
  std::optional<JobRecord> StoredRecord(const std::string& id);
  std::optional<std::string> Result(const std::string& id);
  // Writes a row without conditions.
  void CommitRow(const std::string& key, const std::string& value);
  void SetDomain(const std::string& domain, bool in_service);
  std::vector<WorkerEntry> Entries() const;
  void AddWorker(int index);
  // Tasks of the job that run now.
  int Running(const std::string& id);

  ManualTaskRunner runner;
  BlindTable table;
  MemoryObjectStore objects;
  InProcessWorkers workers;
  EpochOracle epochs;
  std::unique_ptr<Owner> owner;
  std::unique_ptr<Owner> previous;
  std::map<GangKey, SeenAttempt> seen;
  // When each domain last left; absent while in service.
  std::map<DomainId, TimePoint> exits;
  int late_starts = 0;  // Later than 3 s after the exit of the domain.
  // Jobs whose rows are watched, with the result that they named first.
  std::map<std::string, std::string> watched;
  int republished = 0;  // Visible results that changed or vanished.
  uint64_t seed;
  JobServiceOptions options;  // Of owners to come.

 private:
  void Tick(Owner& it);
  void Watch();
  void WatchRows();

  uint64_t epoch_ = 0;
  uint64_t tokens_ = 0;
  int incarnations_ = 0;
  // Ports must outlive the answers that are under way.
  std::vector<std::shared_ptr<RecordingPort>> ports_;
  friend struct Owner;
};

}  // namespace quetzalshelf::jobs

#endif  // TESTS_JOBS_JOB_WORLD_H_
