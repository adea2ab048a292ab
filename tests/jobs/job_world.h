// One shard with a store, workers and owners, in virtual time.

#ifndef TESTS_JOBS_JOB_WORLD_H_
#define TESTS_JOBS_JOB_WORLD_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "drivers/clock/manual_task_runner.h"
#include "drivers/platform/memory_object_store.h"
#include "drivers/platform/memory_table.h"
#include "servers/jobs/job_service.h"
#include "tests/jobs/fake_workers.h"

namespace quetzalshelf::jobs {

// Ownership that a test grants; the shard row is written by Owner.
class GrantedOwnership : public cluster::ShardOwnership {
 public:
  explicit GrantedOwnership(Epoch epoch, RowVersion version)
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

// One process that owns the shard.
struct Owner {
  Owner(MemoryTable& table,
        MemoryObjectStore& objects,
        FakeWorkers& workers,
        ManualTaskRunner& runner,
        Epoch epoch);

  cluster::Committer committer;
  GrantedOwnership ownership;
  JobService service;
  bool paused = false;
};

class JobWorld {
 public:
  // Two workers in each of the domains d0 and d1, with 8 accelerators each.
  explicit JobWorld(uint64_t seed);

  // Takes the shard with the next epoch. The earlier owner, if any, stays as
  // `previous`.
  void TakeOver();
  void KillOwner() { owner.reset(); }
  // Lets time pass in ticks of 100 ms.
  void Run(Duration time);

  JobSpec Spec(const std::string& id, int tasks, Duration run_time) const;
  // Submits and waits up to 3 s for the reply.
  SubmitOutcome Submit(const JobSpec& spec);
  std::optional<JobState> State(const std::string& id);
  void SetDomain(const std::string& domain, bool in_service);
  // The record in the table, whoever wrote it.
  std::optional<JobRecord> StoredRecord(const std::string& id);
  std::vector<WorkerEntry> Entries() const;

  ManualTaskRunner runner;
  MemoryTable table;
  MemoryObjectStore objects;
  FakeWorkers workers;
  std::unique_ptr<Owner> owner;
  std::unique_ptr<Owner> previous;

 private:
  void CommitRow(const std::string& key, const std::string& value);

  uint64_t epoch_ = 0;
  uint64_t tokens_ = 0;
};

}  // namespace quetzalshelf::jobs

#endif  // TESTS_JOBS_JOB_WORLD_H_
