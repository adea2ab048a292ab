#include "servers/settings/settings_committer.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"

namespace quetzalshelf::settings {

namespace {

constexpr size_t kMaxQueued = 64;
// Tries after a lost race with a change of another subtree.
constexpr int kMaxAttempts = 10;
// How long an unknown outcome is pursued before the author is told so.
constexpr Duration kSettleTime{10'000};
constexpr BackoffOptions kSettleBackoff{Duration(100), Duration(2'000)};

}  // namespace

std::string_view ToString(ChangeOutcome outcome) {
  switch (outcome) {
    case ChangeOutcome::kAccepted:
      return "accepted";
    case ChangeOutcome::kUnchanged:
      return "unchanged";
    case ChangeOutcome::kChecked:
      return "checked";
    case ChangeOutcome::kInvalid:
      return "invalid";
    case ChangeOutcome::kConflict:
      return "conflict";
    case ChangeOutcome::kNotRun:
      return "not_run";
    case ChangeOutcome::kUnknown:
      return "unknown";
  }
  return "";
}

struct SettingsCommitter::Change {
  ChangeRequest request;
  ChangeCallback done;
  ChangeResult result;
  int attempts = 0;

  SettingsTree base;
  SettingsTree next;
  std::vector<std::string> subtrees;
  std::vector<DomainState> moved;
  std::vector<std::string> keys;  // Rows whose versions are conditions.
  std::vector<Row> rows;

  Transaction transaction;
  bool outcome_unknown = false;
  std::optional<TimePoint> settle_at;
  TimePoint settle_end{};
};

SettingsCommitter::SettingsCommitter(Table& table,
                                     SettingsFetcher& fetcher,
                                     std::string token_prefix,
                                     uint64_t seed)
    : table_(table),
      fetcher_(fetcher),
      token_prefix_(std::move(token_prefix)),
      backoff_(kSettleBackoff, seed) {}

SettingsCommitter::~SettingsCommitter() = default;

void SettingsCommitter::Submit(ChangeRequest request,
                               TimePoint now,
                               ChangeCallback done) {
  now_ = now;
  if (queue_.size() >= kMaxQueued) {
    ChangeResult result;
    result.version = fetcher_.tree().version();
    result.message = "too many changes wait at this node; try again later";
    done(result);
    return;
  }
  auto change = std::make_unique<Change>();
  change->request = std::move(request);
  change->done = std::move(done);
  queue_.push_back(std::move(change));
  if (active_ == nullptr)
    StartNext();
}

void SettingsCommitter::Tick(TimePoint now) {
  now_ = now;
  if (active_ == nullptr || !active_->settle_at || now < *active_->settle_at)
    return;
  active_->settle_at.reset();
  Settle();
}

void SettingsCommitter::StartNext() {
  if (queue_.empty())
    return;
  active_ = std::move(queue_.front());
  queue_.pop_front();
  backoff_.Reset();
  Prepare();
}

void SettingsCommitter::Prepare() {
  active_->outcome_unknown = false;
  if (++active_->attempts > kMaxAttempts) {
    Finish(ChangeOutcome::kNotRun,
           "other changes kept coming first; try again");
    return;
  }
  fetcher_.Refresh(Guard([this](const absl::Status& status) {
    if (status.ok())
      Plan();
    else
      Finish(ChangeOutcome::kNotRun, "the table service is not available: " +
                                         std::string(status.message()));
  }));
}

void SettingsCommitter::Plan() {
  Change& change = *active_;
  const ChangeRequest& request = change.request;
  change.base = fetcher_.tree();
  change.result.version = change.base.version();
  if (HasConflict(change.base)) {
    Finish(ChangeOutcome::kConflict,
           "the settings were changed since version " +
               std::to_string(request.base_version.value()));
    return;
  }
  change.next = change.base;
  change.next.Set(request.path, request.value);
  ValidationResult checked = ValidateSettings(change.base, change.next, site_);
  change.result.findings = std::move(checked.findings);
  change.result.warnings = std::move(checked.warnings);
  change.result.changes =
      DiffValues(change.base.root(), change.next.root(), "");
  if (!change.result.findings.empty()) {
    Finish(ChangeOutcome::kInvalid, "the settings have faults");
  } else if (request.dry_run) {
    Finish(ChangeOutcome::kChecked);
  } else if (change.result.changes.empty()) {
    Finish(ChangeOutcome::kUnchanged, "the value is in force already");
  } else {
    PlanWrites();
    ReadRow(0);
  }
}

bool SettingsCommitter::HasConflict(const SettingsTree& base) {
  const ChangeRequest& request = active_->request;
  if (request.base_version <= base.version() &&
      base.ChangedAround(request.path) <= request.base_version)
    return false;
  active_->result.conflict =
      SettingsConflict{request.base_version, base.version(), request.value,
                       base.Get(request.path)};
  return true;
}

void SettingsCommitter::PlanWrites() {
  Change& change = *active_;
  change.subtrees.clear();
  for (const ValueChange& it : change.result.changes) {
    const std::string subtree = SubtreeOf(it.path);
    if (std::find(change.subtrees.begin(), change.subtrees.end(), subtree) ==
        change.subtrees.end())
      change.subtrees.push_back(subtree);
  }
  change.moved.clear();
  std::vector<DomainState> domains = change.base.Domains();
  const std::vector<DomainState> added = change.next.Domains();
  domains.insert(domains.end(), added.begin(), added.end());
  for (const DomainState& it : domains) {
    const bool in_service = change.next.IsInService(it.domain);
    const bool known = std::any_of(
        change.moved.begin(), change.moved.end(),
        [&it](const DomainState& other) { return other.domain == it.domain; });
    if (in_service != change.base.IsInService(it.domain) && !known)
      change.moved.push_back({it.domain, in_service});
  }
  change.keys = {kHeadKey};
  for (const std::string& it : change.subtrees)
    change.keys.push_back(SubtreeKey(it));
  change.rows.clear();
}

void SettingsCommitter::ReadRow(size_t index) {
  Change& change = *active_;
  if (index == change.keys.size()) {
    if (RowsMatchPlan(change.rows))
      Send();
    else
      Prepare();
    return;
  }
  const std::string key = change.keys[index];
  table_.Read(key, Guard([this, key, index](const absl::StatusOr<Row>& row) {
                if (!row.ok() && !absl::IsNotFound(row.status())) {
                  Finish(ChangeOutcome::kNotRun,
                         "the table service is not available: " +
                             std::string(row.status().message()));
                  return;
                }
                active_->rows.push_back(row.ok() ? *row : Row{.key = key});
                ReadRow(index + 1);
              }));
}

bool SettingsCommitter::RowsMatchPlan(const std::vector<Row>& rows) const {
  const Change& change = *active_;
  SettingsVersion head;
  if (rows[0].version.value() > 0) {
    const auto decoded = DecodeHead(rows[0].value);
    if (!decoded.ok())
      return false;
    head = *decoded;
  }
  if (head != change.base.version())
    return false;
  for (size_t i = 0; i < change.subtrees.size(); ++i) {
    SettingsVersion version;
    if (rows[i + 1].version.value() > 0) {
      const auto decoded = DecodeSubtree(rows[i + 1].value);
      if (!decoded.ok())
        return false;
      version = decoded->version;
    }
    if (version != change.base.ChangedIn(change.subtrees[i]))
      return false;
  }
  return true;
}

void SettingsCommitter::Send() {
  Change& change = *active_;
  const ChangeRequest& request = change.request;
  const SettingsVersion version = change.base.version().Next();
  change.next.set_version(version);
  change.result.version = version;
  Transaction& transaction = change.transaction;
  transaction = Transaction();
  transaction.token = TokenId(token_prefix_ + std::to_string(next_token_++));
  for (const Row& it : change.rows)
    transaction.conditions.push_back({it.key, it.version});
  transaction.conditions.push_back({HistoryKey(version), RowVersion()});
  transaction.writes.push_back({kHeadKey, EncodeHead(version)});
  for (const std::string& it : change.subtrees) {
    change.next.SetChanged(it, version);
    const auto path = SettingsPath::Parse(it);
    const Json value = path.ok() ? change.next.Get(*path) : Json();
    transaction.writes.push_back(
        {SubtreeKey(it), EncodeSubtree({version, value})});
  }
  for (const DomainState& it : change.moved)
    transaction.writes.push_back(
        {DomainKey(it.domain), EncodeDomain(it.in_service, version)});
  const HistoryEntry entry{version,
                           request.base_version,
                           request.path.text(),
                           request.author,
                           request.access,
                           request.reason,
                           request.wall_millis,
                           change.subtrees,
                           change.result.changes};
  transaction.writes.push_back({HistoryKey(version), EncodeHistory(entry)});
  change.settle_end = now_ + kSettleTime;
  table_.Commit(transaction, Guard([this](const absl::Status& status) {
                  OnCommit(status);
                }));
}

void SettingsCommitter::OnCommit(const absl::Status& status) {
  if (status.ok()) {
    Accept();
    return;
  }
  if (!active_->outcome_unknown && absl::IsAborted(status)) {
    Prepare();
    return;
  }
  if (!active_->outcome_unknown && absl::IsUnavailable(status)) {
    Finish(ChangeOutcome::kNotRun, "the table service refused the change: " +
                                       std::string(status.message()));
    return;
  }
  // An earlier try with the same token may still take effect, so that from now
  // on only the history row settles the outcome.
  active_->outcome_unknown = true;
  if (absl::IsUnavailable(status))
    WaitToSettle();
  else
    Settle();
}

void SettingsCommitter::Settle() {
  const std::string key = HistoryKey(active_->next.version());
  table_.Read(key, Guard([this](const absl::StatusOr<Row>& row) {
                if (row.ok()) {
                  // Any other token means that another change took this
                  // version; this one can never take effect.
                  if (row->token == active_->transaction.token)
                    Accept();
                  else
                    Prepare();
                  return;
                }
                if (now_ >= active_->settle_end) {
                  Finish(ChangeOutcome::kUnknown,
                         "the table service did not say whether the change "
                         "took effect; see the history entry of version " +
                             std::to_string(active_->next.version().value()));
                } else if (absl::IsNotFound(row.status())) {
                  // The same transaction again: its conditions make it take
                  // effect once at most.
                  table_.Commit(active_->transaction,
                                Guard([this](const absl::Status& status) {
                                  if (status.ok())
                                    Accept();
                                  else
                                    WaitToSettle();
                                }));
                } else {
                  WaitToSettle();
                }
              }));
}

void SettingsCommitter::WaitToSettle() {
  active_->settle_at = now_ + backoff_.Next();
}

void SettingsCommitter::Accept() {
  fetcher_.Adopt(active_->next);
  Finish(ChangeOutcome::kAccepted);
}

void SettingsCommitter::Finish(ChangeOutcome outcome, std::string message) {
  const std::unique_ptr<Change> change = std::move(active_);
  change->result.outcome = outcome;
  change->result.message = std::move(message);
  LOG(INFO) << "change of settings \"" << change->request.path.text()
            << "\" by " << change->request.author << ": "
            << std::string(ToString(outcome)) << ", version "
            << change->result.version << " " << change->result.message;
  StartNext();
  change->done(change->result);
}

}  // namespace quetzalshelf::settings
