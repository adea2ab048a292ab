// The workers of one shard: their sessions, and the stops of gangs that no job
// of the shard accounts for.

#ifndef SERVERS_JOBS_WORKER_POOL_H_
#define SERVERS_JOBS_WORKER_POOL_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/platform/worker_port.h"
#include "core/time.h"
#include "servers/cluster/shard_ownership.h"
#include "servers/jobs/worker_session.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::jobs {

// A worker and where to reach it.
struct WorkerEntry {
  scheduling::Worker worker;
  WorkerAddress address;
};

struct WorkerPoolOptions {
  WorkerSessionOptions session;
  Duration stop_retry{1'000};
};

// A worker is usable once it has answered and holds no unaccounted gang.
class WorkerPool {
 public:
  // Calls come from Tick or from a callback of the port.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    // Whether the gang belongs to a known attempt on that worker.
    virtual bool Accounts(const GangKey& gang, const WorkerId& worker) = 0;
    virtual void OnWorkerUsable(const scheduling::Worker& worker) = 0;
    virtual void OnWorkerDown(const WorkerId& worker) = 0;
    virtual void OnReport(const WorkerId& worker, const TaskReport& report) = 0;
    virtual void OnReportsDone(const WorkerId& worker) = 0;
    virtual void OnFenced(const WorkerId& worker) = 0;
  };

  WorkerPool(WorkerPort& port,
             const Clock& clock,
             const cluster::ShardOwnership& ownership,
             Delegate& delegate,
             WorkerPoolOptions options);
  ~WorkerPool();

  // Replaces the list of workers. A worker that left the list keeps its
  // session until it is lost, since the list lags and its tasks may run.
  void SetWorkers(const std::vector<WorkerEntry>& workers, TimePoint now);
  // With `hold_reports`, only renews leases.
  void Tick(bool hold_reports, TimePoint now);
  // Makes the next Tick sync every worker.
  void SyncSoon();
  // Stops a gang that ended, so that the worker forgets it.
  void Release(const GangKey& gang, const WorkerId& worker, TimePoint now);

  WorkerSession* FindSession(const WorkerId& worker);
  const scheduling::Worker* FindWorker(const WorkerId& worker) const;
  // Whether the worker's last first answer named the gang.
  bool HeldAtStart(const GangKey& gang, const WorkerId& worker) const;
  bool HoldsUnaccounted(const WorkerId& worker) const;
  // Whether every listed worker has answered and holds no unaccounted gang.
  bool AllUpAndClean() const;
  std::vector<scheduling::Worker> ListedWorkers() const;
  size_t size() const { return members_.size(); }

 private:
  struct Member;
  class SessionEvents;

  void OnUp(Member& member, const std::vector<GangKey>& held);
  void OnDown(Member& member);
  void StopUnaccounted(Member& member, TimePoint now);
  void OnUnaccountedStopped(const WorkerId& worker,
                            const GangKey& gang,
                            const absl::Status& status);

  WorkerPort& port_;
  const Clock& clock_;
  const cluster::ShardOwnership& ownership_;
  Delegate& delegate_;
  const WorkerPoolOptions options_;
  std::map<WorkerId, std::unique_ptr<Member>> members_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf::jobs

#endif  // SERVERS_JOBS_WORKER_POOL_H_
