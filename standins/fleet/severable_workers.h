// One node's paths to workers, each of which can be cut.

#ifndef STANDINS_FLEET_SEVERABLE_WORKERS_H_
#define STANDINS_FLEET_SEVERABLE_WORKERS_H_

#include <memory>
#include <set>
#include <utility>

#include "core/task_runner.h"
#include "servers/batch/worker_port.h"

namespace quetzalshelf {

class SeverableWorkers : public batch::WorkerPort {
 public:
  SeverableWorkers(batch::WorkerPort& workers, TaskRunner& runner)
      : workers_(workers), runner_(runner) {}

  // Orders to these workers never arrive and have no answer.
  void set_cut(std::set<WorkerId> cut) { cut_ = std::move(cut); }
  // The most syncs that waited for an answer at the same time.
  int most_syncs() const { return most_syncs_; }
  // The same of those that may wait for an end.
  int most_polls() const { return most_polls_; }
  // Syncs that made the worker forget ends, or could do so.
  int acknowledgements() const { return acknowledgements_; }

  void Start(const batch::WorkerEntry& worker,
             const batch::StartOrder& order,
             Duration timeout,
             OrderCallback done) override;
  void Stop(const batch::WorkerEntry& worker,
            const batch::StopOrder& order,
            Duration timeout,
            OrderCallback done) override;
  void Sync(const batch::WorkerEntry& worker,
            const batch::SyncRequest& request,
            Duration timeout,
            SyncCallback done) override;

 private:
  batch::WorkerPort& workers_;
  TaskRunner& runner_;
  std::set<WorkerId> cut_;
  // Shared with the answers, which may outlive this object.
  std::shared_ptr<int> syncs_ = std::make_shared<int>(0);
  std::shared_ptr<int> polls_ = std::make_shared<int>(0);
  int most_syncs_ = 0;
  int most_polls_ = 0;
  int acknowledgements_ = 0;
};

}  // namespace quetzalshelf

#endif  // STANDINS_FLEET_SEVERABLE_WORKERS_H_
