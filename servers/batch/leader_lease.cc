#include "servers/batch/leader_lease.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/json_reader.h"
#include "core/logging.h"

namespace quetzalshelf::batch {

namespace {

using nlohmann::json;

constexpr Duration kCommitTimeout{800};
constexpr int64_t kMaxEpoch = std::numeric_limits<int64_t>::max();
// Pause after a failed heartbeat or a lost race.
constexpr Duration kRetry{150};
// Weight of the newest gap between heartbeats in their mean, as a divisor.
constexpr int kGapWeight = 4;
// A VM with less than this fraction of the leader's share of a core is small.
constexpr double kSmallVmRatio = 0.6;
constexpr Duration kSmallVmDelay{400};
// While no leader is known, VMs with less than this share of a core are small.
constexpr double kDefaultLeaderCpuShare = 0.25;
// Longer gaps come from a store that was unavailable, not from a slow one.
constexpr Duration kLongestGap{1'200};

}  // namespace

StoreKey EpochRowKey() {
  return {kControlTable, kLeaderPartition, "epoch"};
}

StoreKey HeartbeatRowKey() {
  return {kControlTable, kLeaderPartition, "heartbeat"};
}

std::optional<Heartbeat> DecodeHeartbeat(const StoreRow& row,
                                         Findings& findings) {
  const std::optional<json> value = ParseJson(row.value, findings);
  if (!value)
    return std::nullopt;
  JsonReader reader(*value, row.id.key, findings);
  Heartbeat heartbeat;
  heartbeat.released = reader.OptionalBool("released", false);
  if (value->is_object() && value->contains("report"))
    heartbeat.report = reader.OptionalString("report", "", kMaxRowBytes);
  if (!findings.empty())
    return std::nullopt;
  return heartbeat;
}

LeaderLease::LeaderLease(VersionedStore& store,
                         const Clock& clock,
                         LeaderLeaseOptions options,
                         uint64_t seed)
    : store_(store),
      clock_(clock),
      options_(std::move(options)),
      random_(seed),
      jitter_(random_.Between(0, options_.takeover_jitter.count())) {}

LeaderLease::~LeaderLease() {
  *alive_ = false;
}

void LeaderLease::set_report_source(ReportSource source) {
  report_source_ = std::move(source);
}

void LeaderLease::OnRows(const std::vector<StoreRow>& rows, TimePoint now) {
  for (const StoreRow& it : rows) {
    if (it.id == EpochRowKey() && it.version > epoch_row_.version)
      OnEpochRow(it, now);
    if (it.id == HeartbeatRowKey() && it.version > heartbeat_version_)
      OnHeartbeatRow(it, now);
  }
  if (leading_ && epoch_row_.epoch > fencing_token_.epoch)
    StepDown("a newer epoch was written");
  // A late write of this incarnation counts as well.
  const bool own = epoch_holder_ == options_.incarnation;
  if (!leading_ && own && !released_ &&
      epoch_row_.epoch > fencing_token_.epoch) {
    confirmed_at_ = acquire_sent_;
    Lead(epoch_row_);
  }
}

void LeaderLease::OnEpochRow(const StoreRow& row, TimePoint now) {
  Findings findings;
  const std::optional<json> value = ParseJson(row.value, findings);
  if (value) {
    JsonReader reader(*value, row.id.key, findings);
    const auto epoch =
        static_cast<uint64_t>(reader.RequireInt("epoch", 0, kMaxEpoch));
    const std::string incarnation = reader.RequireString("incarnation");
    const std::string node = reader.RequireString("node");
    const double cpu_share = reader.RequireDouble("cpu_share");
    const double largest_share =
        reader.OptionalDouble("largest_cpu_share", cpu_share);
    if (findings.empty()) {
      epoch_row_.epoch = Epoch(epoch);
      epoch_holder_ = IncarnationId(incarnation);
      epoch_node_ = NodeId(node);
      leader_share_ = cpu_share;
      largest_leader_share_ = std::max(largest_share, cpu_share);
    }
  }
  // The version is that of a take-over all the same: it fences former leaders.
  epoch_row_.version = row.version;
  released_ = false;
  heartbeat_at_ = now;
  heartbeat_gap_ = options_.heartbeat;
  if (!findings.empty()) {
    LOG(ERROR) << "epoch row cannot be read: " << findings.ToString();
    StepDown("the epoch row cannot be read");
  }
}

void LeaderLease::OnHeartbeatRow(const StoreRow& row, TimePoint now) {
  heartbeat_version_ = row.version;
  ObserveHeartbeat(now);
  Findings findings;
  const std::optional<Heartbeat> heartbeat = DecodeHeartbeat(row, findings);
  if (!heartbeat) {
    LOG(WARNING) << "heartbeat cannot be read: " << findings.ToString();
    return;
  }
  released_ = heartbeat->released;
  if (heartbeat->report)
    report_ = *heartbeat->report;
}

void LeaderLease::Tick(TimePoint now,
                       TimePoint answering_since,
                       TimePoint answered_at) {
  const bool rows_known = answered_at != TimePoint();
  if (busy_ || now < next_try_ || !rows_known)
    return;
  if (leading_) {
    if (now >= next_heartbeat_)
      SendHeartbeat(now);
    return;
  }
  if (retired_)
    return;
  if (rows_known_since_ == TimePoint())
    rows_known_since_ = now;
  const Duration delay = CandidateDelay();
  if (released_) {
    if (now >= heartbeat_at_ + delay / 3)
      Acquire(now);
    return;
  }
  if (epoch_row_.version == RowVersion(0)) {
    if (now >= rows_known_since_ + delay)
      Acquire(now);
    return;
  }
  if (WasLedByThisNode()) {
    if (KnowsLargerVm())
      ReleaseFormer(now);
    else
      Acquire(now);
    return;
  }
  // The store must have answered without a heartbeat during the silence,
  // otherwise the store may be unavailable rather than the leader.
  const TimePoint silent_since = std::max(heartbeat_at_, answering_since);
  const bool store_answers =
      answered_at >= silent_since + TakeoverTimeout() / 2;
  if (store_answers && now >= silent_since + TakeoverTimeout() + delay)
    Acquire(now);
}

void LeaderLease::ObserveHeartbeat(TimePoint now) {
  // A small VM sees several heartbeats at once, so gaps tell nothing.
  if (is_small_vm()) {
    heartbeat_at_ = now;
    return;
  }
  const Duration gap = std::min(Duration(now - heartbeat_at_), kLongestGap);
  heartbeat_gap_ += (gap - heartbeat_gap_) / kGapWeight;
  heartbeat_at_ = now;
}

Duration LeaderLease::TakeoverTimeout() const {
  // A slow store delays both the heartbeats and their delivery.
  const Duration excess =
      std::max(Duration(0), heartbeat_gap_ - options_.heartbeat);
  const Duration lag = is_small_vm() ? kSmallVmPollSpacing : Duration(0);
  return options_.takeover + lag + 2 * excess;
}

Duration LeaderLease::CandidateDelay() const {
  return jitter_ +
         (is_small_vm() || KnowsLargerVm() ? kSmallVmDelay : Duration(0));
}

bool LeaderLease::KnowsLargerVm() const {
  return options_.cpu_share < largest_leader_share_ * kSmallVmRatio;
}

bool LeaderLease::is_small_vm() const {
  const double ample = leader_share_ > 0 ? leader_share_ * kSmallVmRatio
                                         : kDefaultLeaderCpuShare;
  return options_.cpu_share < ample;
}

bool LeaderLease::WasLedByThisNode() const {
  return epoch_node_ == options_.node && epoch_holder_ != options_.incarnation;
}

void LeaderLease::Acquire(TimePoint now) {
  busy_ = true;
  acquire_sent_ = now;
  next_try_ = now + kRetry;
  const Epoch epoch = epoch_row_.epoch.Next();
  const json value = {{"epoch", epoch.value()},
                      {"node", options_.node.value()},
                      {"incarnation", options_.incarnation.value()},
                      {"cpu_share", options_.cpu_share},
                      {"largest_cpu_share",
                       std::max(largest_leader_share_, options_.cpu_share)}};
  StoreTransaction transaction;
  transaction.conditions = {{EpochRowKey(), epoch_row_.version},
                            {HeartbeatRowKey(), heartbeat_version_}};
  transaction.writes = {{EpochRowKey(), value.dump()},
                        {HeartbeatRowKey(), HeartbeatValue(false)}};
  LOG(INFO) << "taking over as leader: epoch=" << epoch
            << " released=" << released_ << " led_before=" << WasLedByThisNode()
            << " heartbeat_gap_ms=" << heartbeat_gap_.count() << " silence_ms="
            << (heartbeat_at_ == TimePoint() ? Duration(0)
                                             : Duration(now - heartbeat_at_))
                   .count();
  store_.Commit(transaction, kCommitTimeout,
                [this, alive = alive_, epoch,
                 now](const absl::StatusOr<CommitOutcome>& result) {
                  if (*alive)
                    OnAcquired(result, epoch, now);
                });
}

void LeaderLease::ReleaseFormer(TimePoint now) {
  busy_ = true;
  next_try_ = now + kRetry;
  LOG(INFO) << "releasing the leadership of the former process of this node: "
               "epoch="
            << epoch_row_.epoch << " cpu_share=" << options_.cpu_share
            << " largest_leader_share=" << largest_leader_share_;
  StoreTransaction transaction;
  transaction.conditions = {{EpochRowKey(), epoch_row_.version}};
  transaction.writes = {{HeartbeatRowKey(), HeartbeatValue(true)}};
  store_.Commit(
      transaction, kCommitTimeout,
      [this, alive = alive_](const absl::StatusOr<CommitOutcome>& result) {
        if (*alive)
          OnFormerReleased(result);
      });
}

void LeaderLease::OnFormerReleased(
    const absl::StatusOr<CommitOutcome>& result) {
  busy_ = false;
  const TimePoint now = clock_.Now();
  if (!result.ok()) {
    LOG(WARNING) << "releasing a former leadership has no known outcome: "
                 << result.status().message();
    return;
  }
  if (!result->committed) {
    OnRows(result->current, now);
    return;
  }
  heartbeat_version_ = std::max(heartbeat_version_, result->version);
  heartbeat_at_ = now;
  released_ = true;
}

void LeaderLease::OnAcquired(const absl::StatusOr<CommitOutcome>& result,
                             Epoch epoch,
                             TimePoint sent) {
  busy_ = false;
  jitter_ = Duration(random_.Between(0, options_.takeover_jitter.count()));
  if (!result.ok()) {
    // The feed of the control table tells whether the write took effect.
    LOG(WARNING) << "take-over has no known outcome: epoch=" << epoch << ": "
                 << result.status().message();
    return;
  }
  if (!result->committed) {
    LOG(INFO) << "another node took over first: epoch=" << epoch;
    OnRows(result->current, clock_.Now());
    return;
  }
  heartbeat_version_ = std::max(heartbeat_version_, result->version);
  heartbeat_at_ = clock_.Now();
  epoch_row_ = {epoch, result->version};
  epoch_holder_ = options_.incarnation;
  epoch_node_ = options_.node;
  leader_share_ = options_.cpu_share;
  largest_leader_share_ = std::max(largest_leader_share_, options_.cpu_share);
  released_ = false;
  confirmed_at_ = std::max(confirmed_at_, sent);
  if (!leading_)
    Lead(epoch_row_);
}

void LeaderLease::Lead(const FencingToken& fencing_token) {
  if (retired_)
    return;
  leading_ = true;
  fencing_token_ = fencing_token;
  next_heartbeat_ = TimePoint();
  LOG(INFO) << "leading: epoch=" << fencing_token.epoch;
}

void LeaderLease::SendHeartbeat(TimePoint now) {
  busy_ = true;
  next_heartbeat_ = now + options_.heartbeat;
  StoreTransaction transaction;
  transaction.conditions = {{EpochRowKey(), fencing_token_.version}};
  transaction.writes = {{HeartbeatRowKey(), HeartbeatValue(false)}};
  store_.Commit(
      transaction, kCommitTimeout,
      [this, alive = alive_, now](const absl::StatusOr<CommitOutcome>& result) {
        if (*alive)
          OnHeartbeat(result, now);
      });
}

std::optional<StoreWrite> LeaderLease::TakeHeartbeat(TimePoint now) {
  if (!leading_ || busy_ || now + options_.heartbeat / 2 < next_heartbeat_)
    return std::nullopt;
  next_heartbeat_ = now + options_.heartbeat;
  return StoreWrite{HeartbeatRowKey(), HeartbeatValue(false)};
}

void LeaderLease::OnHeartbeat(const absl::StatusOr<CommitOutcome>& result,
                              TimePoint sent) {
  busy_ = false;
  if (!result.ok()) {
    next_try_ = clock_.Now() + kRetry;
    next_heartbeat_ = next_try_;
    LOG(WARNING) << "heartbeat failed: " << result.status().message();
    return;
  }
  if (!result->committed) {
    OnRows(result->current, clock_.Now());
    return;
  }
  confirmed_at_ = std::max(confirmed_at_, sent);
}

void LeaderLease::Release(TimePoint now) {
  retired_ = true;
  if (!leading_)
    return;
  LOG(INFO) << "giving up leadership: epoch=" << fencing_token_.epoch;
  leading_ = false;
  next_heartbeat_ = now;
  StoreTransaction transaction;
  transaction.conditions = {{EpochRowKey(), fencing_token_.version}};
  transaction.writes = {{HeartbeatRowKey(), HeartbeatValue(true)}};
  store_.Commit(transaction, kCommitTimeout,
                [](const absl::StatusOr<CommitOutcome>& result) {
                  if (!result.ok())
                    LOG(WARNING) << "giving up leadership was not recorded: "
                                 << result.status().message();
                });
}

void LeaderLease::StepDown(const std::string& reason) {
  if (!leading_)
    return;
  LOG(WARNING) << "no longer leading: epoch=" << fencing_token_.epoch << ": "
               << reason;
  leading_ = false;
}

std::string LeaderLease::HeartbeatValue(bool released) {
  json value = {{"node", options_.node.value()}};
  if (released)
    value["released"] = true;
  // A report tells how old it is, so that a former one does no harm.
  const auto report = report_source_ ? report_source_() : std::nullopt;
  if (const std::string& text = report ? *report : report_; !text.empty())
    value["report"] = text;
  std::string row = value.dump();
  const bool too_large = row.size() > kMaxRowBytes;
  if (std::exchange(report_too_large_, too_large) != too_large) {
    LOG(WARNING) << "load report " << (too_large ? "exceeds" : "fits")
                 << " the limit of a row: heartbeat_bytes=" << row.size()
                 << " limit=" << kMaxRowBytes;
  }
  if (!too_large)
    return row;
  value.erase("report");
  return value.dump();
}

}  // namespace quetzalshelf::batch
