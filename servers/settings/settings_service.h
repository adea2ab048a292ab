// The settings of one node: reads, changes, history, and what comes into force.

#ifndef SERVERS_SETTINGS_SETTINGS_SERVICE_H_
#define SERVERS_SETTINGS_SETTINGS_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "core/event_log.h"
#include "core/ids.h"
#include "core/platform/peer_port.h"
#include "core/platform/table.h"
#include "core/time.h"
#include "servers/settings/settings_committer.h"
#include "servers/settings/settings_fetcher.h"
#include "servers/settings/settings_rows.h"
#include "servers/settings/settings_tree.h"
#include "servers/settings/settings_validator.h"

namespace quetzalshelf::settings {

struct SettingsServiceOptions {
  IncarnationId incarnation;  // Unique to this run of the process.
  uint64_t seed = 1;
};

// Single-threaded: the table's and the peers' callbacks, and all calls, come on
// one executor. Never reads a clock.
class SettingsService {
 public:
  using ChangeCallback = SettingsCommitter::ChangeCallback;
  using HistoryCallback =
      std::function<void(absl::StatusOr<std::vector<HistoryEntry>>)>;
  using EntryCallback = std::function<void(absl::StatusOr<HistoryEntry>)>;
  using TreeCallback = std::function<void(absl::StatusOr<SettingsTree>)>;
  using InForceCallback = std::function<void(const SettingsTree&)>;

  // `table`, `peers` and `events` must outlive the service; `events` may be
  // null.
  SettingsService(const SettingsServiceOptions& options,
                  Table& table,
                  PeerPort& peers,
                  EventLog* events);

  // Called with each tree that comes into force, with growing versions.
  void set_on_in_force(InForceCallback on_in_force);
  void SetPeers(std::vector<PeerAddress> peers);
  // The version that a peer's heartbeat carried.
  void PeerVersion(const PeerAddress& peer,
                   SettingsVersion version,
                   TimePoint now);
  // What guarantees and failure domains are checked against.
  void SetSite(KnownSite site);
  // Polls the table once a second; call several times a second.
  void Tick(TimePoint now);

  // Whether settings have been found since the start. Until then, tree() holds
  // the defaults and no change is accepted.
  bool ready() const { return fetcher_.ready(); }
  std::string NotReadyReason() const { return fetcher_.NotReadyReason(); }
  const SettingsTree& tree() const { return fetcher_.tree(); }
  SettingsVersion version() const { return tree().version(); }
  // The reply to PeerPort::FetchSettings. Error: kUnavailable when not ready.
  absl::StatusOr<std::string> ExportForPeer() const;

  void Change(ChangeRequest request, TimePoint now, ChangeCallback done);
  // The newest entries that changed settings at or below the path, newest
  // first. Errors: those of the table.
  void History(const SettingsPath& path, int limit, HistoryCallback done);
  // kNotFound when there is no such version.
  void HistoryAt(SettingsVersion version, EntryCallback done);
  // The settings as they were at an older version, without the versions of
  // subtrees. kNotFound when the version is not in the history.
  void TreeAt(SettingsVersion version, TreeCallback done);

 private:
  struct HistoryScan;

  void ScanHistory(const std::shared_ptr<HistoryScan>& scan);
  void UndoChanges(const std::shared_ptr<SettingsTree>& tree,
                   SettingsVersion version,
                   TreeCallback done);
  void OnInForce(const SettingsTree& tree);

  Table& table_;
  EventLog* events_;
  InForceCallback on_in_force_;
  SettingsFetcher fetcher_;
  SettingsCommitter committer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf::settings

#endif  // SERVERS_SETTINGS_SETTINGS_SERVICE_H_
