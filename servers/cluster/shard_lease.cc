#include "servers/cluster/shard_lease.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/json_reader.h"
#include "core/logging.h"
#include "core/row_codec.h"
#include "servers/cluster/rendezvous.h"

namespace quetzalshelf::cluster {

namespace {

constexpr int kFormat = 1;

}  // namespace

std::string ShardKey(const RegionId& region) {
  return "shard/" + region.value();
}

std::string EncodeShardRow(const ShardRow& row) {
  return Json{{"format", kFormat},
              {"owner", row.owner.value()},
              {"incarnation", row.incarnation.value()},
              {"epoch", row.epoch.value()},
              {"renewals", row.renewals},
              {"handed_over", row.handed_over}}
      .dump();
}

absl::StatusOr<ShardRow> DecodeShardRow(const std::string& text) {
  return DecodeVersionedRow<ShardRow>(
      "shard row", text, kFormat, [](JsonReader& reader, Findings&) {
        ShardRow row;
        row.owner = reader.RequireId<NodeId>("owner");
        row.incarnation = reader.RequireId<IncarnationId>("incarnation");
        row.epoch = Epoch(static_cast<uint64_t>(
            reader.RequireInt("epoch", 1, kMaxRowNumber)));
        row.renewals = static_cast<uint64_t>(
            reader.RequireInt("renewals", 0, kMaxRowNumber));
        row.handed_over = reader.RequireBool("handed_over");
        return row;
      });
}

ShardLease::ShardLease(RegionId region,
                       Table& table,
                       Committer& committer,
                       Membership& membership,
                       const Clock& clock,
                       std::function<bool()> store_reachable,
                       ShardLeaseOptions options)
    : region_(std::move(region)),
      table_(table),
      committer_(committer),
      membership_(membership),
      clock_(clock),
      store_reachable_(std::move(store_reachable)),
      options_(options) {}

bool ShardLease::MayAct(TimePoint now) const {
  return held_ && !handing_over_ && now < lease_end_;
}

bool ShardLease::MayRenewTasks(TimePoint now) const {
  if (MayAct(now))
    return true;
  return held_ && !handing_over_ && !store_reachable_() &&
         membership_.HighestEpoch(region_) <= row_.epoch &&
         membership_.PeersConfirmOutage(now);
}

std::optional<NodeId> ShardLease::owner() const {
  if (version_ == RowVersion(0))
    return std::nullopt;
  return row_.owner;
}

void ShardLease::Tick(TimePoint now) {
  if (held_ && membership_.HighestEpoch(region_) > row_.epoch)
    Drop("a peer has seen a higher epoch");
  if (!held_) {
    Watch(now);
    MaybeTake(now);
    return;
  }
  if (write_in_flight_)
    return;
  if (handing_over_)
    WriteHandOver(now);
  else if (now >= next_renewal_)
    Renew(now);
}

void ShardLease::Watch(TimePoint now) {
  if (read_in_flight_ || write_in_flight_ || now < next_read_)
    return;
  read_in_flight_ = true;
  next_read_ = now + options_.read_period;
  table_.Read(ShardKey(region_), [this, alive = std::weak_ptr(alive_)](
                                     const absl::StatusOr<Row>& row) {
    if (alive.expired())
      return;
    read_in_flight_ = false;
    OnRow(row);
  });
}

void ShardLease::OnRow(const absl::StatusOr<Row>& row) {
  if (held_ || write_in_flight_)
    return;
  const TimePoint now = clock_.Now();
  if (!row.ok() && !absl::IsNotFound(row.status()))
    return;
  const RowVersion version = row.ok() ? row->version : RowVersion(0);
  if (!seen_ || version != version_) {
    ShardRow decoded_row;
    if (row.ok()) {
      absl::StatusOr<ShardRow> decoded = DecodeShardRow(row->value);
      if (!decoded.ok()) {
        LOG(ERROR) << "row " << row->key << ": " << decoded.status().message();
        return;
      }
      decoded_row = *std::move(decoded);
    }
    row_ = std::move(decoded_row);
    version_ = version;
    seen_ = true;
    unchanged_since_ = now;
    membership_.NoteEpoch(region_, row_.epoch);
  }
  MaybeTake(now);
}

// Whether the row may be taken by somebody, and this node is named for it.
bool ShardLease::MayTake(TimePoint now) const {
  const MemberRow& self = membership_.self();
  if (!seen_ || self.leaving)
    return false;
  if (row_.handed_over && row_.owner == self.address.node &&
      row_.incarnation == self.incarnation) {
    return true;
  }
  const bool absent = version_ == RowVersion(0);
  const Duration wait = absent ? options_.create_after : options_.take_after;
  if (now - unchanged_since_ < wait || !membership_.observed())
    return false;
  std::vector<NodeId> candidates = membership_.Candidates(now);
  // An owner that does not renew may still be live in the membership.
  if (row_.owner != self.address.node)
    std::erase(candidates, row_.owner);
  return RendezvousOwner(ShardKey(region_), candidates) == self.address.node;
}

void ShardLease::MaybeTake(TimePoint now) {
  if (held_ || write_in_flight_ || !MayTake(now))
    return;
  const MemberRow& self = membership_.self();
  const Epoch last = std::max(row_.epoch, membership_.HighestEpoch(region_));
  Write({.owner = self.address.node,
         .incarnation = self.incarnation,
         .epoch = last.Next()},
        [this, now](const CommitResult& result) { OnTaken(now, result); });
}

// Writes the row under the condition that it is unchanged, and keeps what was
// written when that took effect.
void ShardLease::Write(ShardRow row,
                       std::function<void(const CommitResult&)> done) {
  write_in_flight_ = true;
  const std::string key = ShardKey(region_);
  std::string value = EncodeShardRow(row);
  committer_.Commit(
      {{key, version_}}, {{key, std::move(value)}},
      [this, row = std::move(row), done = std::move(done),
       alive = std::weak_ptr(alive_)](const CommitResult& result) {
        if (alive.expired())
          return;
        write_in_flight_ = false;
        if (result.outcome == CommitOutcome::kCommitted) {
          row_ = row;
          version_ = version_.Next();
          unchanged_since_ = clock_.Now();
        }
        done(result);
      });
}

void ShardLease::OnTaken(TimePoint sent, const CommitResult& result) {
  next_read_ = clock_.Now();
  if (result.outcome != CommitOutcome::kCommitted) {
    seen_ = seen_ && result.outcome == CommitOutcome::kNotWritten;
    return;
  }
  held_ = true;
  handing_over_ = false;
  lease_end_ = sent + options_.lease;
  next_renewal_ = sent + options_.renew_period;
  membership_.NoteEpoch(region_, row_.epoch);
  LOG(INFO) << "node " << membership_.self().address.node << " took shard "
            << region_ << " at epoch " << row_.epoch;
}

void ShardLease::Renew(TimePoint now) {
  ShardRow row = row_;
  ++row.renewals;
  next_renewal_ = now + options_.renew_period;
  Write(std::move(row),
        [this, now](const CommitResult& result) { OnRenewed(now, result); });
}

void ShardLease::OnRenewed(TimePoint sent, const CommitResult& result) {
  if (!held_)
    return;
  switch (result.outcome) {
    case CommitOutcome::kCommitted:
      lease_end_ = std::max(lease_end_, sent + options_.lease);
      break;
    case CommitOutcome::kNotWritten:
      next_renewal_ = clock_.Now() + options_.renew_retry;
      break;
    default:
      Drop("another node has written the row");
  }
}

void ShardLease::StepDown() {
  Drop("a worker has seen a higher epoch");
}

void ShardLease::Drop(const char* reason) {
  if (!held_)
    return;
  LOG(WARNING) << "node " << membership_.self().address.node
               << " gives up shard " << region_ << " at epoch " << row_.epoch
               << ": " << reason;
  seen_ = false;
  next_read_ = TimePoint();
  EndHandOver(false);
}

void ShardLease::HandOver(std::function<void(bool)> done, TimePoint now) {
  if (!held_ || handing_over_) {
    done(false);
    return;
  }
  handing_over_ = true;
  on_handed_over_ = std::move(done);
  if (!write_in_flight_)
    WriteHandOver(now);
}

void ShardLease::WriteHandOver(TimePoint now) {
  std::vector<NodeId> candidates = membership_.Candidates(now);
  std::erase(candidates, membership_.self().address.node);
  const std::optional<NodeId> next =
      RendezvousOwner(ShardKey(region_), candidates);
  const std::vector<MemberRow> live = membership_.Live(now);
  const auto target = std::find_if(
      live.begin(), live.end(),
      [&](const MemberRow& row) { return next && row.address.node == *next; });
  if (target == live.end()) {
    EndHandOver(false);
    return;
  }
  ShardRow row = row_;
  row.owner = target->address.node;
  row.incarnation = target->incarnation;
  row.handed_over = true;
  Write(std::move(row), [this](const CommitResult& result) {
    EndHandOver(result.outcome == CommitOutcome::kCommitted);
  });
}

void ShardLease::EndHandOver(bool handed_over) {
  held_ = false;
  handing_over_ = false;
  auto done = std::exchange(on_handed_over_, nullptr);
  if (done)
    done(handed_over);
}

}  // namespace quetzalshelf::cluster
