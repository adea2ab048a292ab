// Election of the node that schedules. Leadership is a row of the store that
// is replaced under a condition; each new leader has a higher epoch.

#ifndef SERVERS_BATCH_LEADER_LEASE_H_
#define SERVERS_BATCH_LEADER_LEASE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/finding.h"
#include "core/ids.h"
#include "core/platform/versioned_store.h"
#include "core/random.h"
#include "core/time.h"

namespace quetzalshelf::batch {

// Partition of all rows that only the leader writes.
inline constexpr char kLeaderPartition[] = "leader";
inline constexpr char kControlTable[] = "control";
// Wait of the feed of the control table. A little longer than the leader's
// period, so that a feed without news means a missed heartbeat.
inline constexpr Duration kControlPoll{350};
// Least time between two reads of the leader's heartbeats by a small VM, one
// with a small share of a core. Most VMs of a large site are small, and they
// take over late anyway.
inline constexpr Duration kSmallVmPollSpacing{1'200};

struct LeaderLeaseOptions {
  NodeId node;
  IncarnationId incarnation;
  // Between two heartbeats of the leader.
  Duration heartbeat{300};
  // Silence of the leader, while the store answers, after which another node
  // takes over. More than two heartbeats; grows with the gaps between
  // heartbeats when the store is slow.
  Duration takeover{800};
  // Spreads the candidates, so that one of them usually wins alone.
  Duration takeover_jitter{150};
  // Share of a core that this VM has. A leader's work grows with the site, so
  // that VMs with a larger share take over first.
  double cpu_share = 1;
};

// Epoch and version of the epoch row. Writes conditional on this version fence
// a deposed leader.
struct FencingToken {
  Epoch epoch;
  RowVersion version;
};

StoreKey EpochRowKey();
StoreKey HeartbeatRowKey();

struct Heartbeat {
  bool released = false;  // The leader gave its leadership up.
  // The load report; nullopt if the leader left it out.
  std::optional<std::string> report;
};

// nullopt, with findings, for a row that cannot be read.
std::optional<Heartbeat> DecodeHeartbeat(const StoreRow& row,
                                         Findings& findings);

class LeaderLease {
 public:
  // Returns the load report that is sent to all nodes with each heartbeat;
  // nullopt while the leader has not read the jobs. The last report that was
  // read is sent meanwhile.
  using ReportSource = std::function<std::optional<std::string>()>;

  LeaderLease(VersionedStore& store,
              const Clock& clock,
              LeaderLeaseOptions options,
              uint64_t seed);
  ~LeaderLease();

  void set_report_source(ReportSource source);

  // Rows of the control table, as read or changed.
  void OnRows(const std::vector<StoreRow>& rows, TimePoint now);
  // `answering_since` and `answered_at` are those of the follower of the
  // control table: silence counts only while the store answers this node.
  void Tick(TimePoint now, TimePoint answering_since, TimePoint answered_at);
  // The heartbeat if one is due soon, for a transaction of the leader's that is
  // conditional on the epoch row.
  std::optional<StoreWrite> TakeHeartbeat(TimePoint now);
  // Releases leadership, so that another node takes over at once.
  void Release(TimePoint now);
  // Called when another epoch has been seen; the caller has stopped acting.
  void StepDown(const std::string& reason);

  bool is_leader() const { return leading_; }
  // Whether this VM has so much less of a core than the leader's that it polls
  // heartbeats rarely and takes over last.
  bool is_small_vm() const;
  const FencingToken& fencing_token() const { return fencing_token_; }
  // When the last write was sent that showed that this node still led.
  TimePoint confirmed_at() const { return confirmed_at_; }
  // The report of the heartbeat that was read last; it may have been written
  // late. Empty if none has come.
  const std::string& report() const { return report_; }

 private:
  void OnEpochRow(const StoreRow& row, TimePoint now);
  void OnHeartbeatRow(const StoreRow& row, TimePoint now);
  void Acquire(TimePoint now);
  // Releases the leadership that an earlier process of this node had.
  void ReleaseFormer(TimePoint now);
  void OnFormerReleased(const absl::StatusOr<CommitOutcome>& result);
  void SendHeartbeat(TimePoint now);
  void Lead(const FencingToken& fencing_token);
  void OnAcquired(const absl::StatusOr<CommitOutcome>& result,
                  Epoch epoch,
                  TimePoint sent);
  void ObserveHeartbeat(TimePoint now);
  // Time without a heartbeat after which a takeover is attempted.
  Duration TakeoverTimeout() const;
  // Random delay, longer on small VMs, that keeps candidates from racing for
  // the same row.
  Duration CandidateDelay() const;
  // Whether the leader of the epoch row was an earlier process of this node,
  // which is gone since there is only one at a time.
  bool WasLedByThisNode() const;
  // Whether VMs that have led before this one had much more of a core.
  bool KnowsLargerVm() const;
  void OnHeartbeat(const absl::StatusOr<CommitOutcome>& result, TimePoint sent);
  // Without the report if that makes it too large for a row.
  std::string HeartbeatValue(bool released);

  VersionedStore& store_;
  const Clock& clock_;
  LeaderLeaseOptions options_;
  Random random_;
  ReportSource report_source_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  // The rows as last seen.
  FencingToken epoch_row_;
  IncarnationId epoch_holder_;
  NodeId epoch_node_;
  double leader_share_ = 0;  // Share of a core of the leader; 0: unknown.
  // Largest share of a core that any leader had, handed on by each.
  double largest_leader_share_ = 0;
  RowVersion heartbeat_version_;
  TimePoint heartbeat_at_;
  Duration heartbeat_gap_{0};  // Mean time between heartbeats as seen here.
  bool released_ = false;
  std::string report_;
  bool report_too_large_ = false;  // Of the last heartbeat of this node.

  bool leading_ = false;
  bool retired_ = false;  // Released leadership; never acquires it again.
  bool busy_ = false;
  FencingToken fencing_token_;
  TimePoint acquire_sent_;  // Of the last attempt.
  TimePoint confirmed_at_;
  TimePoint next_heartbeat_;
  TimePoint next_try_;
  Duration jitter_{0};
  TimePoint rows_known_since_;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_LEADER_LEASE_H_
