// This node's part in the shard of its region: the lease, and the job service
// for as long as the node holds the shard.

#ifndef MAIN_DAEMON_SHARD_HOST_H_
#define MAIN_DAEMON_SHARD_HOST_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/event_log.h"
#include "core/ids.h"
#include "core/platform/object_store.h"
#include "core/platform/peer_port.h"
#include "core/platform/table.h"
#include "core/platform/worker_port.h"
#include "core/time.h"
#include "main/daemon/node_directory.h"
#include "servers/cluster/committer.h"
#include "servers/cluster/membership.h"
#include "servers/cluster/shard_lease.h"
#include "servers/jobs/job_service.h"

namespace quetzalshelf {

// Everything must outlive the host.
struct ShardHostDeps {
  Table& table;
  ObjectStore& objects;
  WorkerPort& workers;
  cluster::Committer& committer;
  cluster::Membership& membership;
  const NodeDirectory& nodes;
  const Clock& clock;
  EventLog& events;
  std::function<bool()> store_reachable;
};

struct ShardHostOptions {
  RegionId region;
  cluster::ShardLeaseOptions lease;
  jobs::JobServiceOptions jobs;
};

// Single-threaded.
class ShardHost {
 public:
  ShardHost(ShardHostDeps deps, ShardHostOptions options);

  void Tick(TimePoint now);
  void SetWorkspaces(std::vector<scheduling::Workspace> workspaces,
                     TimePoint now);
  void SetWorkers(std::vector<jobs::WorkerEntry> workers, TimePoint now);
  // Hands the shard to another node; `done` runs when this node decides nothing
  // any more, at once when it does not hold the shard.
  void HandOver(std::function<void()> done, TimePoint now);

  const RegionId& region() const { return options_.region; }
  Epoch epoch() const { return lease_.epoch(); }
  bool IsOwner() const { return service_ != nullptr; }
  // Null when this node does not hold the shard.
  jobs::JobService* service() { return service_.get(); }
  // The node that holds the shard, if it is known and live.
  std::optional<PeerAddress> Owner() const;
  bool HasWorkspace(const WorkspaceId& workspace) const;
  std::vector<scheduling::UnsatisfiedGuarantee> UnsatisfiedGuarantees() const;
  // The workers of the region as last listed, usable or not.
  std::vector<scheduling::Worker> Workers() const;
  // Null when this node does not hold the shard.
  const jobs::JobRows* Rows() const;

 private:
  void StartService(TimePoint now);
  void EndService(const char* reason);
  void Log(const char* kind, const std::string& text);

  ShardHostDeps deps_;
  const ShardHostOptions options_;
  cluster::ShardLease lease_;
  std::unique_ptr<jobs::JobService> service_;
  Epoch service_epoch_;
  std::vector<scheduling::Workspace> workspaces_;
  std::set<WorkspaceId> workspace_ids_;
  std::optional<std::vector<jobs::WorkerEntry>> workers_;
};

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_SHARD_HOST_H_
