// Keeps a node's settings current from the table service and from its peers.

#ifndef SERVERS_SETTINGS_SETTINGS_FETCHER_H_
#define SERVERS_SETTINGS_SETTINGS_FETCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "core/ids.h"
#include "core/platform/peer_port.h"
#include "core/platform/table.h"
#include "core/time.h"
#include "servers/settings/settings_rows.h"
#include "servers/settings/settings_tree.h"

namespace quetzalshelf::settings {

// Single-threaded. The version of the tree never decreases.
class SettingsFetcher {
 public:
  using RefreshCallback = std::function<void(absl::Status)>;
  using AdoptCallback = std::function<void(const SettingsTree&)>;

  // `table` and `peers` must outlive the fetcher; callbacks that arrive after
  // its end are ignored.
  SettingsFetcher(Table& table, PeerPort& peers);

  // Called with each tree that comes into force.
  void set_on_adopt(AdoptCallback on_adopt) { on_adopt_ = std::move(on_adopt); }
  void SetPeers(std::vector<PeerAddress> peers) {
    addresses_ = std::move(peers);
  }

  // Polls the head once a second; call more often than that.
  void Tick(TimePoint now);
  // A peer said that it holds this version.
  void PeerVersion(const PeerAddress& peer, SettingsVersion version);
  // Brings the tree to the head of the table as of a read that starts after
  // this call. Errors: those of the table.
  void Refresh(RefreshCallback done);
  // Puts the tree in force if it is newer than the one held.
  void Adopt(SettingsTree tree);

  const SettingsTree& tree() const { return tree_; }
  // Whether any source has been found since the start.
  bool ready() const { return ready_; }
  // Why the node is not ready; empty when it is.
  std::string NotReadyReason() const;
  // The error of the last poll of the table; OK when it answered.
  const absl::Status& table_status() const { return table_status_; }

 private:
  struct Fetch;
  using FetchPtr = std::shared_ptr<Fetch>;

  // Wraps a callback so that it is dropped after the end of the fetcher.
  template <typename Callback>
  auto Guard(Callback callback) {
    return [alive = std::weak_ptr<bool>(alive_),
            callback = std::move(callback)](auto&&... args) {
      if (!alive.expired())
        callback(std::forward<decltype(args)>(args)...);
    };
  }

  void StartRefresh();
  void ReadHead(const FetchPtr& fetch);
  void OnHead(const FetchPtr& fetch, SettingsVersion head);
  void LoadAll(const FetchPtr& fetch, const std::string& after);
  void LoadChanged(const FetchPtr& fetch);
  void OnHistory(const FetchPtr& fetch, const std::vector<Row>& rows);
  void ReadNextSubtree(const FetchPtr& fetch);
  void Finish(const absl::Status& status);

  void AskAllPeers(TimePoint now);
  // `round` is 0 outside a cold start.
  void AskPeer(const PeerAddress& peer, int round);
  void OnPeerTree(const PeerAddress& peer,
                  int round,
                  const absl::StatusOr<std::string>& text);
  void EndRound();

  Table& table_;
  PeerPort& peers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  AdoptCallback on_adopt_;

  SettingsTree tree_;
  bool ready_ = false;
  absl::Status table_status_;
  TimePoint next_poll_{};
  bool polled_ = false;

  bool refreshing_ = false;
  std::vector<RefreshCallback> waiting_;  // For the refresh that runs.
  std::vector<RefreshCallback> next_;     // For the one after it.

  std::vector<PeerAddress> addresses_;
  std::set<NodeId> asked_;  // Peers that have not answered yet.
  // A round of questions to all peers at a start without the table.
  int round_ = 0;       // Number of the latest round.
  int round_open_ = 0;  // Answers that the round still waits for.
  TimePoint round_end_{};
  bool round_found_ = false;
  SettingsTree round_best_;
};

}  // namespace quetzalshelf::settings

#endif  // SERVERS_SETTINGS_SETTINGS_FETCHER_H_
