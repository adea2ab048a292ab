// What the code that acts for a shard may know about its ownership.

#ifndef SERVERS_CLUSTER_SHARD_OWNERSHIP_H_
#define SERVERS_CLUSTER_SHARD_OWNERSHIP_H_

#include "core/ids.h"
#include "core/platform/table.h"
#include "core/time.h"

namespace quetzalshelf::cluster {

// Ownership of the shard of one region by this node.
class ShardOwnership {
 public:
  virtual ~ShardOwnership() = default;

  virtual const RegionId& region() const = 0;
  // The epoch of the last taking by this node.
  virtual Epoch epoch() const = 0;
  // The shard row as this node last wrote it. A transaction that carries this
  // condition takes effect only while this node owns the shard.
  virtual Condition Fence() const = 0;
  // Whether the lease is valid at `now`. Nothing is decided or started
  // otherwise.
  virtual bool MayAct(TimePoint now) const = 0;
  // Whether leases of running tasks may be renewed; also true during an outage
  // of the store that every reached peer confirms.
  virtual bool MayRenewTasks(TimePoint now) const = 0;
};

}  // namespace quetzalshelf::cluster

#endif  // SERVERS_CLUSTER_SHARD_OWNERSHIP_H_
