// Ownership of the shard of one region: taking, renewing, handing over.

#ifndef SERVERS_CLUSTER_SHARD_LEASE_H_
#define SERVERS_CLUSTER_SHARD_LEASE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/ids.h"
#include "core/platform/table.h"
#include "core/time.h"
#include "servers/cluster/committer.h"
#include "servers/cluster/membership.h"
#include "servers/cluster/shard_ownership.h"

namespace quetzalshelf::cluster {

// The row `shard/<region>`.
struct ShardRow {
  NodeId owner;
  IncarnationId incarnation;
  Epoch epoch;
  uint64_t renewals = 0;  // Grows with each renewal.
  // The last owner handed the shard to `owner`, which has not taken it yet.
  bool handed_over = false;
};

std::string ShardKey(const RegionId& region);
std::string EncodeShardRow(const ShardRow& row);
// Errors: kFailedPrecondition (a newer format), kInvalidArgument.
absl::StatusOr<ShardRow> DecodeShardRow(const std::string& text);

struct ShardLeaseOptions {
  Duration lease{10'000};
  Duration renew_period{3'000};
  // Pause before a refused renewal is tried again.
  Duration renew_retry{1'000};
  // How long a row must stay unchanged before it is taken: the lease and a
  // margin for clocks that run at different speeds.
  Duration take_after{12'000};
  // How long an absent row is left to the other nodes that start up.
  Duration create_after{2'000};
  Duration read_period{2'000};
};

// One node's part in the ownership of one shard. The holder counts its lease
// from before a renewal was sent; a taker counts from after it has read the
// row. So the lease has ended before the row can be taken, whatever the clocks
// show.
class ShardLease : public ShardOwnership {
 public:
  // `table`, `committer`, `membership` and `clock` must outlive the lease.
  // `store_reachable` tells whether this node reaches the store.
  ShardLease(RegionId region,
             Table& table,
             Committer& committer,
             Membership& membership,
             const Clock& clock,
             std::function<bool()> store_reachable,
             ShardLeaseOptions options);

  void Tick(TimePoint now);
  // Gives the shard to the node that the other candidates would name. MayAct is
  // false from this call on. `done` tells whether the row was handed over.
  void HandOver(std::function<void(bool)> done, TimePoint now);
  // Gives up the shard, as after a worker has shown a higher epoch.
  void StepDown();
  // Reads the row with the next Tick, as after a peer announced its departure.
  void ReadSoon() { next_read_ = TimePoint(); }

  // Whether this node took the shard and has not given it up. Its lease may
  // have run out; see MayAct.
  bool held() const { return held_; }
  // The owner in the row as last seen; nullopt when none is known.
  std::optional<NodeId> owner() const;

  // ShardOwnership:
  const RegionId& region() const override { return region_; }
  Epoch epoch() const override { return row_.epoch; }
  Condition Fence() const override { return {ShardKey(region_), version_}; }
  bool MayAct(TimePoint now) const override;
  bool MayRenewTasks(TimePoint now) const override;

 private:
  void Watch(TimePoint now);
  void OnRow(const absl::StatusOr<Row>& row);
  void MaybeTake(TimePoint now);
  bool MayTake(TimePoint now) const;
  void Renew(TimePoint now);
  void Write(ShardRow row, std::function<void(const CommitResult&)> done);
  void OnTaken(TimePoint sent, const CommitResult& result);
  void OnRenewed(TimePoint sent, const CommitResult& result);
  void WriteHandOver(TimePoint now);
  void EndHandOver(bool handed_over);
  void Drop(const char* reason);

  const RegionId region_;
  Table& table_;
  Committer& committer_;
  Membership& membership_;
  const Clock& clock_;
  const std::function<bool()> store_reachable_;
  const ShardLeaseOptions options_;

  bool held_ = false;
  bool handing_over_ = false;
  std::function<void(bool)> on_handed_over_;
  TimePoint lease_end_;
  TimePoint next_renewal_;
  bool write_in_flight_ = false;

  // The row as last read or written. Version 0 when absent.
  ShardRow row_;
  RowVersion version_;
  bool seen_ = false;
  TimePoint unchanged_since_;
  bool read_in_flight_ = false;
  TimePoint next_read_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf::cluster

#endif  // SERVERS_CLUSTER_SHARD_LEASE_H_
