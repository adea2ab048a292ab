// The nodes of the cluster: who is live, where, and what they say.

#ifndef SERVERS_CLUSTER_MEMBERSHIP_H_
#define SERVERS_CLUSTER_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/platform/peer_port.h"
#include "core/platform/table.h"
#include "core/random.h"
#include "core/time.h"
#include "servers/cluster/committer.h"

namespace quetzalshelf::cluster {

// One row `member/<node>`.
struct MemberRow {
  PeerAddress address;
  IncarnationId incarnation;
  RegionId region;
  DomainId domain;
  bool leaving = false;
  uint64_t beat = 0;  // Grows with each write.
};

std::string EncodeMemberRow(const MemberRow& row);
// Errors: kFailedPrecondition (a newer format), kInvalidArgument.
absl::StatusOr<MemberRow> DecodeMemberRow(const std::string& text);

struct MembershipOptions {
  Duration beat_period{5'000};
  // A row that stays unchanged this long under observation is dead.
  Duration dead_after{15'000};
  // An unchanged row is deleted after this time.
  Duration forget_after{600'000};
  Duration heartbeat_period{2'000};
  int heartbeat_fanout = 2;  // Peers that get each heartbeat.
  // Age up to which a peer's heartbeat counts.
  Duration heartbeat_lifetime{10'000};
  // Reads become rarer so that they stay below this rate on average.
  int64_t read_bytes_per_second = 1'500;
  int max_members = 2'000;
};

struct MembershipCounters {
  int64_t beats = 0;
  int64_t reads = 0;
  int64_t bytes_read = 0;
  int64_t bytes_written = 0;
  int64_t heartbeats_sent = 0;
  int64_t heartbeats_received = 0;
};

// Liveness is judged by watching the beat counter on the own clock; no wall
// clocks are compared. Only times at which the store could be read count, so
// that an outage of the store kills nobody.
class Membership {
 public:
  // `table`, `committer`, `peers` and `clock` must outlive the membership.
  Membership(Table& table,
             Committer& committer,
             PeerPort& peers,
             const Clock& clock,
             MemberRow self,
             MembershipOptions options,
             uint64_t seed);

  void Tick(TimePoint now);
  // Announces the departure with the next beat, which is sent at once.
  void Leave(TimePoint now);

  // The port that other nodes reach this one at, when it was chosen late.
  void SetPort(int port) { self_.address.port = port; }
  // What the own heartbeats carry.
  void SetSettings(SettingsVersion version) { settings_ = version; }
  void SetStoreReachable(bool reachable) { store_reachable_ = reachable; }
  // Keeps the largest epoch of each shard.
  void NoteEpoch(const RegionId& region, Epoch epoch);

  // Takes a peer's heartbeat and gives the own one as the answer.
  PeerHeartbeat OnHeartbeat(const PeerHeartbeat& heartbeat, TimePoint now);

  const MemberRow& self() const { return self_; }
  // Whether the rows of the nodes have been read.
  bool observed() const { return last_read_.has_value(); }
  // Live nodes that are not leaving, with this one unless it is.
  std::vector<NodeId> Candidates(TimePoint now) const;
  // All live nodes, with this one.
  std::vector<MemberRow> Live(TimePoint now) const;
  std::optional<PeerAddress> AddressOf(const NodeId& node) const;
  // What a peer said last, if it was heard within the heartbeat lifetime.
  std::optional<PeerHeartbeat> LastHeard(const NodeId& node,
                                         TimePoint now) const;
  // The largest epoch of the shard that any node told of.
  Epoch HighestEpoch(const RegionId& region) const;
  // The largest settings version that a peer told of.
  SettingsVersion HighestSettings() const;
  // Whether some peer was heard lately, and every such peer said that it does
  // not reach the store; true when no other node is known.
  bool PeersConfirmOutage(TimePoint now) const;

  const MembershipCounters& counters() const { return counters_; }

 private:
  struct Member {
    MemberRow row;
    RowVersion version;
    TimePoint unchanged_since;
  };
  struct Heard {
    PeerHeartbeat heartbeat;
    TimePoint at;
  };

  void Beat(TimePoint now);
  void OnBeat(const CommitResult& result);
  void ReadOwnRow();
  void ReadMembers(TimePoint now);
  void OnMembers(const std::vector<Row>& rows);
  void Observe(const Row& row, TimePoint now, bool gap);
  void Forget(TimePoint now);
  void SendHeartbeats(TimePoint now);
  void Hear(const PeerHeartbeat& heartbeat, TimePoint now);
  bool IsLive(const Member& member) const;
  PeerHeartbeat OwnHeartbeat() const;

  Table& table_;
  Committer& committer_;
  PeerPort& peers_;
  const Clock& clock_;
  const MembershipOptions options_;
  Random random_;

  MemberRow self_;
  std::optional<RowVersion> own_version_;  // Unknown until the row was read.
  bool beat_in_flight_ = false;
  TimePoint next_beat_;
  bool read_in_flight_ = false;
  TimePoint next_read_;
  std::optional<TimePoint> last_read_;
  Duration read_interval_;
  TimePoint next_heartbeat_;
  std::map<NodeId, Member> members_;  // Without this node.
  std::map<NodeId, Heard> heard_;
  std::map<RegionId, Epoch> epochs_;
  SettingsVersion settings_;
  bool store_reachable_ = true;
  MembershipCounters counters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf::cluster

#endif  // SERVERS_CLUSTER_MEMBERSHIP_H_
