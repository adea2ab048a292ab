// Fixture with entry nodes, a store and workers in virtual time.

#ifndef TESTS_BATCH_BATCH_FIXTURE_H_
#define TESTS_BATCH_BATCH_FIXTURE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "drivers/clock/manual_task_runner.h"
#include "servers/batch/dispatcher.h"
#include "servers/batch/job_frontend.h"
#include "servers/batch/leader_lease.h"
#include "servers/batch/leadership.h"
#include "servers/batch/observed_store.h"
#include "standins/fleet/memory_versioned_store.h"
#include "standins/fleet/model_workers.h"
#include "standins/fleet/narrow_store.h"
#include "standins/fleet/severable_store.h"
#include "standins/fleet/severable_workers.h"

namespace quetzalshelf::batch {

// A 64-core worker with 8 accelerators.
WorkerEntry MakeWorker(const std::string& id, const std::string& rack);
// A gang or independent tasks of one step.
JobSpec MakeJob(int tasks, int accelerators, bool gang);
SiteConfig MakeSite();

class BatchFixture {
 public:
  explicit BatchFixture(int racks = 2, int workers_a_rack = 2);

  struct Node {
    std::unique_ptr<SeverableStore> store;
    std::unique_ptr<NarrowStore> link;  // Null: without a limit.
    std::unique_ptr<ObservedStore> observed;
    std::unique_ptr<SeverableWorkers> workers;
    std::unique_ptr<LoadView> load;
    std::unique_ptr<JobFrontend> frontend;
    std::unique_ptr<LeaderLease> lease;
    std::unique_ptr<TableFollower> control;
    std::unique_ptr<Leadership> leadership;
    bool paused = false;  // Gets no turns; answers still reach it.
  };

  // `cpu_share` is its share of a core.
  void AddNode(const std::string& name, double cpu_share = 1);
  // Ends the process of a node at once.
  void Kill(size_t node);
  // Gives the leadership of a node up, as at a planned stop.
  void Resign(size_t node);
  // Null while the node does not lead.
  Dispatcher* DispatcherOf(size_t node);
  // The index of the node that leads; -1 if none.
  int Leader() const;

  // Advances time in steps of 10 ms and ticks the nodes at each step.
  void Run(Duration duration);
  // Runs until the job is final or `limit` has passed; returns its phase.
  JobPhase RunUntilFinal(const std::string& id, Duration limit);

  CallAnswer Submit(const std::string& id,
                    JobSpec spec,
                    const std::string& queue = "/plans/");
  CallAnswer Cancel(const std::string& id);
  CallAnswer State(const std::string& id);
  // The count of waiting jobs that a node tells; runs until it answers.
  CallAnswer Pending(size_t node, const std::string& queue = "/plans/");

  // The list of workers as the platform gives it to the leader.
  std::vector<WorkerEntry> listed;
  ManualTaskRunner runner;
  MemoryVersionedStore store;
  ModelWorkers workers;
  SiteView site;
  StoreClock store_clock;
  LoadView load;
  MetricsRegistry metrics;
  JobFrontend frontend;
  std::vector<Node> nodes;
  bool follows_site = true;  // The nodes' view of the site stays current.
  Duration run_time{2'500};
  std::map<JobId, Duration> run_times;  // Of single jobs, before `run_time`.
  std::string key = "key-plaza";        // Of calls from now on.
  // Of nodes added from now on, from the store; 0: no limit.
  int64_t link_bytes_per_second = 0;
  DispatcherOptions dispatcher_options;  // Of nodes added from now on.

 private:
  void TickNode(Node& node);
  CallerContext Caller(const std::string& path) const;

  uint64_t seed_ = 1;
};

// A fixture with one leader that has synced all workers.
struct LeaderFixture : BatchFixture {
  explicit LeaderFixture(int racks = 2, int workers_a_rack = 2);
};

// Of the first step of a job.
TaskId Task(const std::string& job, int index);

}  // namespace quetzalshelf::batch

#endif  // TESTS_BATCH_BATCH_FIXTURE_H_
