#include "servers/settings/settings_service.h"

#include <algorithm>
#include <utility>

namespace quetzalshelf::settings {

namespace {

// Versions that one read of the history covers.
constexpr uint64_t kHistoryWindow = 100;
// Windows that one question may read when few entries match its path.
constexpr int kMaxHistoryWindows = 50;

bool Touches(const HistoryEntry& entry, const SettingsPath& path) {
  return std::any_of(entry.changes.begin(), entry.changes.end(),
                     [&path](const ValueChange& it) {
                       return path.Covers(it.path) ||
                              IsAtOrBelow(path.text(), it.path);
                     });
}

}  // namespace

struct SettingsService::HistoryScan {
  SettingsPath path;
  size_t limit = 0;
  uint64_t upto = 0;  // The newest version that was not read yet.
  int windows = 0;
  std::vector<HistoryEntry> entries;
  HistoryCallback done;
};

SettingsService::SettingsService(const SettingsServiceOptions& options,
                                 Table& table,
                                 PeerPort& peers,
                                 EventLog* events)
    : table_(table),
      events_(events),
      fetcher_(table, peers),
      committer_(table, fetcher_, options.incarnation, options.seed) {
  fetcher_.set_on_adopt([this](const SettingsTree& tree) { OnInForce(tree); });
}

void SettingsService::set_on_in_force(InForceCallback on_in_force) {
  on_in_force_ = std::move(on_in_force);
}

void SettingsService::SetPeers(std::vector<PeerAddress> peers) {
  fetcher_.SetPeers(std::move(peers));
}

void SettingsService::PeerVersion(const PeerAddress& peer,
                                  SettingsVersion version,
                                  TimePoint /*now*/) {
  fetcher_.PeerVersion(peer, version);
}

void SettingsService::SetSite(KnownSite site) {
  committer_.SetSite(std::move(site));
}

void SettingsService::Tick(TimePoint now) {
  fetcher_.Tick(now);
  committer_.Tick(now);
}

absl::StatusOr<std::string> SettingsService::ExportForPeer() const {
  if (!ready())
    return absl::UnavailableError(NotReadyReason());
  return tree().Export();
}

void SettingsService::Change(ChangeRequest request,
                             TimePoint now,
                             ChangeCallback done) {
  committer_.Submit(std::move(request), now, std::move(done));
}

void SettingsService::History(const SettingsPath& path,
                              int limit,
                              HistoryCallback done) {
  auto scan = std::make_shared<HistoryScan>();
  scan->path = path;
  scan->limit = static_cast<size_t>(std::max(limit, 0));
  scan->upto = version().value();
  scan->done = std::move(done);
  ScanHistory(scan);
}

void SettingsService::ScanHistory(const std::shared_ptr<HistoryScan>& scan) {
  if (scan->upto == 0 || scan->entries.size() >= scan->limit ||
      ++scan->windows > kMaxHistoryWindows) {
    scan->done(std::move(scan->entries));
    return;
  }
  const uint64_t size = std::min(scan->upto, kHistoryWindow);
  const std::string after = HistoryKey(SettingsVersion(scan->upto - size));
  const auto on_rows = [this, scan, size, alive = std::weak_ptr(alive_)](
                           const absl::StatusOr<std::vector<Row>>& rows) {
    if (alive.expired())
      return;
    if (!rows.ok()) {
      scan->done(rows.status());
      return;
    }
    for (auto it = rows->rbegin(); it != rows->rend(); ++it) {
      auto entry = DecodeHistory(it->value);
      if (!entry.ok()) {
        scan->done(entry.status());
        return;
      }
      if (scan->entries.size() < scan->limit && Touches(*entry, scan->path))
        scan->entries.push_back(*std::move(entry));
    }
    scan->upto -= size;
    ScanHistory(scan);
  };
  table_.ReadPrefix(kHistoryPrefix, after, static_cast<int>(size), on_rows);
}

void SettingsService::HistoryAt(SettingsVersion version, EntryCallback done) {
  table_.Read(HistoryKey(version),
              [done = std::move(done)](const absl::StatusOr<Row>& row) {
                if (row.ok())
                  done(DecodeHistory(row->value));
                else
                  done(row.status());
              });
}

void SettingsService::TreeAt(SettingsVersion version, TreeCallback done) {
  if (version > this->version()) {
    done(absl::NotFoundError("this node holds settings version " +
                             std::to_string(this->version().value())));
    return;
  }
  UndoChanges(std::make_shared<SettingsTree>(tree()), version, std::move(done));
}

void SettingsService::UndoChanges(const std::shared_ptr<SettingsTree>& tree,
                                  SettingsVersion version,
                                  TreeCallback done) {
  if (tree->version() == version) {
    done(std::move(*tree));
    return;
  }
  HistoryAt(tree->version(), [this, tree, version, done = std::move(done),
                              alive = std::weak_ptr(alive_)](
                                 const absl::StatusOr<HistoryEntry>& entry) {
    if (alive.expired())
      return;
    if (!entry.ok()) {
      done(entry.status());
      return;
    }
    for (const ValueChange& it : entry->changes) {
      if (auto path = SettingsPath::Parse(it.path); path.ok())
        tree->Set(*path, it.before);
    }
    tree->set_version(SettingsVersion(tree->version().value() - 1));
    UndoChanges(tree, version, done);
  });
}

void SettingsService::OnInForce(const SettingsTree& tree) {
  if (events_ != nullptr) {
    events_->Add({.kind = "settings.in_force",
                  .settings = tree.version(),
                  .text = "version " + std::to_string(tree.version().value())});
  }
  if (on_in_force_)
    on_in_force_(tree);
}

}  // namespace quetzalshelf::settings
