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
constexpr cluster::CommitterOptions kCommitterOptions{
    {Duration(100), Duration(2'000)}};

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

  // Set while the outcome of a transaction is open.
  std::optional<TimePoint> settle_end;
};

SettingsCommitter::SettingsCommitter(Table& table,
                                     SettingsFetcher& fetcher,
                                     const IncarnationId& incarnation,
                                     uint64_t seed)
    : table_(table),
      fetcher_(fetcher),
      // Another committer of the process may use the incarnation itself.
      committer_(table,
                 clock_,
                 IncarnationId("settings-" + incarnation.value()),
                 kCommitterOptions,
                 seed) {}

SettingsCommitter::~SettingsCommitter() = default;

void SettingsCommitter::Submit(ChangeRequest request,
                               TimePoint now,
                               ChangeCallback done) {
  clock_.set_now(now);
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
  clock_.set_now(now);
  committer_.Tick(now);
  if (active_ == nullptr || !active_->settle_end || now < *active_->settle_end)
    return;
  Finish(ChangeOutcome::kUnknown,
         "the table service did not say whether the change took effect; see "
         "the history entry of version " +
             std::to_string(active_->next.version().value()));
}

void SettingsCommitter::StartNext() {
  if (queue_.empty())
    return;
  active_ = std::move(queue_.front());
  queue_.pop_front();
  Prepare();
}

void SettingsCommitter::Prepare() {
  active_->settle_end.reset();
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
  const SettingsVersion version = change.base.version().Next();
  change.next.set_version(version);
  for (const std::string& it : change.subtrees)
    change.next.SetChanged(it, version);
  change.result.version = version;
  std::vector<Condition> conditions;
  for (const Row& it : change.rows)
    conditions.push_back({it.key, it.version});
  conditions.push_back({HistoryKey(version), RowVersion()});
  change.settle_end = clock_.Now() + kSettleTime;
  std::vector<Write> writes = MakeWrites();
  // A late outcome finds another change, or none, active; the tree that it has
  // committed still comes into force.
  const auto on_result = [this, sent = ++last_sent_, tree = change.next](
                             const cluster::CommitResult& result) {
    if (active_ != nullptr && active_->settle_end && sent == last_sent_)
      OnCommit(result);
    else if (result.outcome == cluster::CommitOutcome::kCommitted)
      fetcher_.Adopt(tree);
  };
  committer_.Commit(std::move(conditions), std::move(writes), on_result,
                    HistoryKey(version));
}

std::vector<Write> SettingsCommitter::MakeWrites() {
  Change& change = *active_;
  const ChangeRequest& request = change.request;
  const SettingsVersion version = change.next.version();
  std::vector<Write> writes = {{kHeadKey, EncodeHead(version)}};
  for (const std::string& it : change.subtrees) {
    const auto path = SettingsPath::Parse(it);
    const Json value = path.ok() ? change.next.Get(*path) : Json();
    writes.push_back({SubtreeKey(it), EncodeSubtree({version, value})});
  }
  for (const DomainState& it : change.moved)
    writes.push_back(
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
  writes.push_back({HistoryKey(version), EncodeHistory(entry)});
  return writes;
}

void SettingsCommitter::OnCommit(const cluster::CommitResult& result) {
  switch (result.outcome) {
    case cluster::CommitOutcome::kCommitted:
      Accept();
      return;
    case cluster::CommitOutcome::kConflict:
      Prepare();
      return;
    case cluster::CommitOutcome::kNotWritten:
    case cluster::CommitOutcome::kInvalid:
      Finish(ChangeOutcome::kNotRun,
             "the table service refused the change: " + result.detail);
      return;
    case cluster::CommitOutcome::kOverwritten:
      Finish(ChangeOutcome::kUnknown, result.detail);
      return;
  }
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
