#include "servers/cluster/membership.h"

#include <algorithm>
#include <utility>

#include "core/json_reader.h"
#include "core/logging.h"
#include "core/row_codec.h"

namespace quetzalshelf::cluster {

namespace {

constexpr char kPrefix[] = "member/";
constexpr int kFormat = 1;

std::string MemberKey(const NodeId& node) {
  return kPrefix + node.value();
}

}  // namespace

std::string EncodeMemberRow(const MemberRow& row) {
  return Json{{"format", kFormat},
              {"node", row.address.node.value()},
              {"host", row.address.host},
              {"port", row.address.port},
              {"incarnation", row.incarnation.value()},
              {"region", row.region.value()},
              {"domain", row.domain.value()},
              {"state", row.leaving ? "leaving" : "live"},
              {"beat", row.beat}}
      .dump();
}

absl::StatusOr<MemberRow> DecodeMemberRow(const std::string& text) {
  return DecodeVersionedRow<MemberRow>(
      "member row", text, kFormat, [](JsonReader& reader, Findings&) {
        MemberRow row;
        row.address.node = reader.RequireId<NodeId>("node");
        row.address.host = reader.RequireString("host");
        row.address.port =
            static_cast<int>(reader.RequireInt("port", 0, 65'535));
        row.incarnation = reader.RequireId<IncarnationId>("incarnation");
        row.region = RegionId(reader.RequireString("region"));
        row.domain = DomainId(reader.RequireString("domain"));
        row.leaving = reader.RequireString("state") == "leaving";
        row.beat =
            static_cast<uint64_t>(reader.RequireInt("beat", 0, kMaxRowNumber));
        return row;
      });
}

Membership::Membership(Table& table,
                       Committer& committer,
                       PeerPort& peers,
                       const Clock& clock,
                       MemberRow self,
                       MembershipOptions options,
                       uint64_t seed)
    : table_(table),
      committer_(committer),
      peers_(peers),
      clock_(clock),
      options_(options),
      random_(seed),
      self_(std::move(self)),
      read_interval_(options.beat_period) {}

void Membership::Tick(TimePoint now) {
  if (!beat_in_flight_ && now >= next_beat_)
    Beat(now);
  if (!read_in_flight_ && now >= next_read_)
    ReadMembers(now);
  if (now >= next_heartbeat_)
    SendHeartbeats(now);
}

void Membership::Leave(TimePoint now) {
  self_.leaving = true;
  next_beat_ = now;
  next_heartbeat_ = now;
}

void Membership::Beat(TimePoint now) {
  next_beat_ = now + options_.beat_period;
  beat_in_flight_ = true;
  if (!own_version_) {
    ReadOwnRow();
    return;
  }
  ++self_.beat;
  ++counters_.beats;
  const std::string key = MemberKey(self_.address.node);
  std::string value = EncodeMemberRow(self_);
  counters_.bytes_written += static_cast<int64_t>(key.size() + value.size());
  committer_.Commit(
      {{key, *own_version_}}, {{key, std::move(value)}},
      [this, alive = std::weak_ptr(alive_)](const CommitResult& result) {
        if (!alive.expired())
          OnBeat(result);
      });
}

void Membership::OnBeat(const CommitResult& result) {
  beat_in_flight_ = false;
  if (result.outcome == CommitOutcome::kCommitted) {
    own_version_ = own_version_->Next();
    return;
  }
  if (result.outcome == CommitOutcome::kNotWritten)
    return;
  // An earlier incarnation's late write, a deletion, or a second node of this
  // name.
  LOG(WARNING) << "row of node " << self_.address.node
               << " is not as this process wrote it";
  own_version_.reset();
  next_beat_ = clock_.Now();
}

void Membership::ReadOwnRow() {
  table_.Read(
      MemberKey(self_.address.node),
      [this, alive = std::weak_ptr(alive_)](const absl::StatusOr<Row>& row) {
        if (alive.expired())
          return;
        beat_in_flight_ = false;
        if (!row.ok() && !absl::IsNotFound(row.status()))
          return;
        own_version_ = row.ok() ? row->version : RowVersion(0);
        next_beat_ = clock_.Now();
      });
}

void Membership::ReadMembers(TimePoint now) {
  read_in_flight_ = true;
  ++counters_.reads;
  next_read_ = now + read_interval_;
  table_.ReadPrefix(kPrefix, "", options_.max_members,
                    [this, alive = std::weak_ptr(alive_)](
                        const absl::StatusOr<std::vector<Row>>& rows) {
                      if (alive.expired())
                        return;
                      read_in_flight_ = false;
                      if (rows.ok())
                        OnMembers(*rows);
                    });
}

void Membership::OnMembers(const std::vector<Row>& rows) {
  const TimePoint now = clock_.Now();
  // Nobody can write while the store is down, so the watch starts again.
  const bool gap = !last_read_ || now - *last_read_ > 2 * read_interval_;
  last_read_ = now;
  int64_t bytes = 0;
  for (const Row& row : rows) {
    bytes += static_cast<int64_t>(row.key.size() + row.value.size());
    Observe(row, now, gap);
  }
  counters_.bytes_read += bytes;
  std::erase_if(members_, [&](const auto& item) {
    return std::none_of(rows.begin(), rows.end(), [&](const Row& row) {
      return row.key == MemberKey(item.first);
    });
  });
  read_interval_ =
      std::max(options_.beat_period,
               Duration(1'000 * bytes / options_.read_bytes_per_second));
  Forget(now);
}

void Membership::Observe(const Row& row, TimePoint now, bool gap) {
  const NodeId node(row.key.substr(sizeof(kPrefix) - 1));
  if (node == self_.address.node)
    return;
  Member& member = members_[node];
  if (member.version != row.version) {
    absl::StatusOr<MemberRow> decoded = DecodeMemberRow(row.value);
    if (!decoded.ok()) {
      LOG(ERROR) << "row " << row.key << ": " << decoded.status().message();
      members_.erase(node);
      return;
    }
    member.row = *std::move(decoded);
    member.version = row.version;
    member.unchanged_since = now;
  } else if (gap) {
    member.unchanged_since = now;
  }
}

bool Membership::IsLive(const Member& member) const {
  // Rare reads see each change late.
  const Duration limit = std::max(options_.dead_after, 3 * read_interval_);
  return last_read_ && *last_read_ - member.unchanged_since < limit;
}

void Membership::Forget(TimePoint now) {
  const std::vector<NodeId> candidates = Candidates(now);
  if (candidates.empty() || candidates.front() != self_.address.node)
    return;
  for (const auto& [node, member] : members_) {
    if (now - member.unchanged_since < options_.forget_after)
      continue;
    const std::string key = MemberKey(node);
    table_.Commit(
        {committer_.NewToken(), {{key, member.version}}, {{key, std::nullopt}}},
        [](const absl::Status& status) {
          if (!status.ok())
            LOG(DEBUG) << "deletion of a member row: " << status.message();
        });
  }
}

void Membership::SendHeartbeats(TimePoint now) {
  next_heartbeat_ = now + options_.heartbeat_period;
  std::vector<PeerAddress> targets;
  for (const auto& [node, member] : members_) {
    if (IsLive(member))
      targets.push_back(member.row.address);
  }
  const PeerHeartbeat own = OwnHeartbeat();
  for (int i = 0; i < options_.heartbeat_fanout && !targets.empty(); ++i) {
    const auto pick = targets.begin() + static_cast<std::ptrdiff_t>(
                                            random_.Below(targets.size()));
    ++counters_.heartbeats_sent;
    peers_.Heartbeat(*pick, own,
                     [this, alive = std::weak_ptr(alive_)](
                         const absl::StatusOr<PeerHeartbeat>& reply) {
                       if (!alive.expired() && reply.ok())
                         Hear(*reply, clock_.Now());
                     });
    targets.erase(pick);
  }
}

PeerHeartbeat Membership::OnHeartbeat(const PeerHeartbeat& heartbeat,
                                      TimePoint now) {
  Hear(heartbeat, now);
  return OwnHeartbeat();
}

void Membership::Hear(const PeerHeartbeat& heartbeat, TimePoint now) {
  if (heartbeat.node == self_.address.node)
    return;
  ++counters_.heartbeats_received;
  for (const ShardEpoch& shard : heartbeat.shards)
    NoteEpoch(shard.region, shard.epoch);
  heard_[heartbeat.node] = {heartbeat, now};
  std::erase_if(heard_, [&](const auto& item) {
    return now - item.second.at > options_.forget_after;
  });
}

PeerHeartbeat Membership::OwnHeartbeat() const {
  PeerHeartbeat own{.node = self_.address.node,
                    .incarnation = self_.incarnation,
                    .leaving = self_.leaving,
                    .store_reachable = store_reachable_,
                    .settings = settings_};
  for (const auto& [region, epoch] : epochs_)
    own.shards.push_back({region, epoch});
  return own;
}

void Membership::NoteEpoch(const RegionId& region, Epoch epoch) {
  Epoch& known = epochs_[region];
  known = std::max(known, epoch);
}

std::vector<MemberRow> Membership::Live(TimePoint /*now*/) const {
  std::vector<MemberRow> live{self_};
  for (const auto& [node, member] : members_) {
    if (!IsLive(member))
      continue;
    live.push_back(member.row);
    auto it = heard_.find(node);
    // A heartbeat tells of the departure before the row does.
    if (it != heard_.end() &&
        it->second.heartbeat.incarnation == member.row.incarnation) {
      live.back().leaving |= it->second.heartbeat.leaving;
    }
  }
  return live;
}

std::vector<NodeId> Membership::Candidates(TimePoint now) const {
  std::vector<NodeId> candidates;
  for (const MemberRow& row : Live(now)) {
    if (!row.leaving)
      candidates.push_back(row.address.node);
  }
  std::sort(candidates.begin(), candidates.end());
  return candidates;
}

std::optional<PeerAddress> Membership::AddressOf(const NodeId& node) const {
  if (node == self_.address.node)
    return self_.address;
  auto it = members_.find(node);
  if (it == members_.end())
    return std::nullopt;
  return it->second.row.address;
}

std::optional<PeerHeartbeat> Membership::LastHeard(const NodeId& node,
                                                   TimePoint now) const {
  auto it = heard_.find(node);
  if (it == heard_.end() || now - it->second.at > options_.heartbeat_lifetime)
    return std::nullopt;
  return it->second.heartbeat;
}

Epoch Membership::HighestEpoch(const RegionId& region) const {
  auto it = epochs_.find(region);
  return it == epochs_.end() ? Epoch() : it->second;
}

SettingsVersion Membership::HighestSettings() const {
  SettingsVersion highest;
  for (const auto& [node, heard] : heard_)
    highest = std::max(highest, heard.heartbeat.settings);
  return highest;
}

bool Membership::PeersConfirmOutage(TimePoint now) const {
  if (members_.empty())
    return true;
  int confirmed = 0;
  for (const auto& [node, heard] : heard_) {
    if (now - heard.at > options_.heartbeat_lifetime)
      continue;
    if (heard.heartbeat.store_reachable)
      return false;
    ++confirmed;
  }
  return confirmed > 0;
}

}  // namespace quetzalshelf::cluster
