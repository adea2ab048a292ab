#include "servers/settings/settings_fetcher.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"

namespace quetzalshelf::settings {

namespace {

constexpr Duration kPollInterval{1'000};
// A peer that has not answered by then is left out of a cold start.
constexpr Duration kPeerRoundTime{2'000};
constexpr int kPageSize = 100;
// Beyond that many versions the whole tree is read instead of its changes.
constexpr uint64_t kMaxIncremental = 64;
// Bounds the rounds of one refresh while others keep changing the settings.
constexpr int kMaxRounds = 20;

}  // namespace

// The state of one refresh.
struct SettingsFetcher::Fetch {
  SettingsTree tree;     // Not in force yet.
  bool loaded = false;   // `tree` holds a whole tree.
  bool fetched = false;  // Something was read since the last look at the head.
  int rounds = 0;
  SettingsVersion target;
  std::set<std::string> subtrees;  // Still to be read.
};

SettingsFetcher::SettingsFetcher(Table& table, PeerPort& peers)
    : table_(table),
      peers_(peers),
      table_status_(absl::UnavailableError("not asked yet")) {}

std::string SettingsFetcher::NotReadyReason() const {
  if (ready_)
    return "";
  std::string reason = "no settings: the table service did not answer (";
  reason += std::string(table_status_.message()) + ") and ";
  reason += addresses_.empty()
                ? "no peer is known"
                : "none of " + std::to_string(addresses_.size()) +
                      " peers has settings";
  return reason;
}

void SettingsFetcher::Tick(TimePoint now) {
  if (now >= next_poll_) {
    next_poll_ = now + kPollInterval;
    // The table has had one interval to answer before the peers are asked.
    if (polled_ && !ready_ && round_open_ == 0)
      AskAllPeers(now);
    polled_ = true;
    if (!refreshing_)
      Refresh([](const absl::Status&) {});
  }
  if (round_open_ > 0 && now >= round_end_)
    EndRound();
}

void SettingsFetcher::Refresh(RefreshCallback done) {
  if (refreshing_) {
    next_.push_back(std::move(done));
    return;
  }
  waiting_.push_back(std::move(done));
  StartRefresh();
}

void SettingsFetcher::StartRefresh() {
  refreshing_ = true;
  auto fetch = std::make_shared<Fetch>();
  fetch->tree = tree_;
  fetch->loaded = ready_;
  ReadHead(fetch);
}

void SettingsFetcher::ReadHead(const FetchPtr& fetch) {
  if (++fetch->rounds > kMaxRounds) {
    Finish(absl::UnavailableError("the settings change too fast to read"));
    return;
  }
  table_.Read(kHeadKey, Guard([this, fetch](const absl::StatusOr<Row>& row) {
                if (absl::IsNotFound(row.status())) {
                  OnHead(fetch, SettingsVersion());
                  return;
                }
                if (!row.ok()) {
                  Finish(row.status());
                  return;
                }
                const auto head = DecodeHead(row->value);
                if (!head.ok())
                  Finish(head.status());
                else
                  OnHead(fetch, *head);
              }));
}

void SettingsFetcher::OnHead(const FetchPtr& fetch, SettingsVersion head) {
  const SettingsVersion have = fetch->tree.version();
  if (head <= have || head.value() == 0) {
    if (head < have)
      LOG(ERROR) << "the table service holds settings version " << head
                 << ", older than version " << have
                 << " in force here; keeping the newer one";
    if (fetch->fetched || !ready_)
      Adopt(std::move(fetch->tree));
    ready_ = true;
    Finish(absl::OkStatus());
    return;
  }
  fetch->target = head;
  fetch->fetched = true;
  if (!fetch->loaded || head.value() - have.value() > kMaxIncremental) {
    fetch->tree = SettingsTree();
    LoadAll(fetch, "");
  } else {
    LoadChanged(fetch);
  }
}

void SettingsFetcher::LoadAll(const FetchPtr& fetch, const std::string& after) {
  const auto on_rows = [this,
                        fetch](const absl::StatusOr<std::vector<Row>>& rows) {
    if (!rows.ok()) {
      Finish(rows.status());
      return;
    }
    for (const Row& it : *rows) {
      const auto row = DecodeSubtree(it.value);
      if (!row.ok()) {
        Finish(row.status());
        return;
      }
      fetch->tree.SetSubtree(it.key.substr(std::string(kTreePrefix).size()),
                             row->value, row->version);
    }
    if (rows->size() == kPageSize) {
      LoadAll(fetch, rows->back().key);
      return;
    }
    // Rows newer than the target mean that the head has moved, which the next
    // look at it finds.
    fetch->loaded = true;
    fetch->tree.set_version(fetch->target);
    ReadHead(fetch);
  };
  table_.ReadPrefix(kTreePrefix, after, kPageSize, Guard(on_rows));
}

void SettingsFetcher::LoadChanged(const FetchPtr& fetch) {
  const auto on_rows = [this,
                        fetch](const absl::StatusOr<std::vector<Row>>& rows) {
    if (!rows.ok())
      Finish(rows.status());
    else
      OnHistory(fetch, *rows);
  };
  table_.ReadPrefix(kHistoryPrefix, HistoryKey(fetch->tree.version()),
                    static_cast<int>(2 * kMaxIncremental), Guard(on_rows));
}

void SettingsFetcher::OnHistory(const FetchPtr& fetch,
                                const std::vector<Row>& rows) {
  for (const Row& it : rows) {
    const auto entry = DecodeHistory(it.value);
    if (!entry.ok()) {
      Finish(entry.status());
      return;
    }
    fetch->subtrees.insert(entry->subtrees.begin(), entry->subtrees.end());
  }
  const uint64_t expected =
      fetch->target.value() - fetch->tree.version().value();
  if (rows.size() < expected) {
    LOG(WARNING) << "the history of the settings has gaps before version "
                 << fetch->target << "; reading the whole tree";
    fetch->subtrees.clear();
    fetch->tree = SettingsTree();
    LoadAll(fetch, "");
    return;
  }
  ReadNextSubtree(fetch);
}

void SettingsFetcher::ReadNextSubtree(const FetchPtr& fetch) {
  if (fetch->subtrees.empty()) {
    fetch->tree.set_version(fetch->target);
    ReadHead(fetch);
    return;
  }
  const std::string subtree = *fetch->subtrees.begin();
  fetch->subtrees.erase(fetch->subtrees.begin());
  const auto on_row = [this, fetch, subtree](const absl::StatusOr<Row>& found) {
    if (!found.ok()) {
      Finish(found.status());
      return;
    }
    const auto row = DecodeSubtree(found->value);
    if (!row.ok()) {
      Finish(row.status());
      return;
    }
    fetch->tree.SetSubtree(subtree, row->value, row->version);
    ReadNextSubtree(fetch);
  };
  table_.Read(SubtreeKey(subtree), Guard(on_row));
}

void SettingsFetcher::Finish(const absl::Status& status) {
  if (!status.ok() && table_status_.ok())
    LOG(WARNING) << "cannot read the settings from the table service: "
                 << status.message();
  table_status_ = status;
  refreshing_ = false;
  std::vector<RefreshCallback> done;
  done.swap(waiting_);
  waiting_.swap(next_);
  if (!waiting_.empty())
    StartRefresh();
  for (const RefreshCallback& it : done)
    it(status);
}

void SettingsFetcher::Adopt(SettingsTree tree) {
  if (ready_ && tree.version() <= tree_.version())
    return;
  tree_ = std::move(tree);
  ready_ = true;
  LOG(INFO) << "settings version " << tree_.version() << " is in force";
  if (on_adopt_)
    on_adopt_(tree_);
}

void SettingsFetcher::PeerVersion(const PeerAddress& peer,
                                  SettingsVersion version) {
  if (ready_ && version > tree_.version())
    AskPeer(peer, /*round=*/0);
}

void SettingsFetcher::AskAllPeers(TimePoint now) {
  if (addresses_.empty())
    return;
  round_end_ = now + kPeerRoundTime;
  round_found_ = false;
  round_best_ = SettingsTree();
  asked_.clear();
  ++round_;
  round_open_ = static_cast<int>(addresses_.size());
  const std::vector<PeerAddress> peers = addresses_;
  for (const PeerAddress& it : peers)
    AskPeer(it, round_);
}

void SettingsFetcher::AskPeer(const PeerAddress& peer, int round) {
  if (!asked_.insert(peer.node).second)
    return;
  peers_.FetchSettings(
      peer, Guard([this, peer, round](const absl::StatusOr<std::string>& text) {
        OnPeerTree(peer, round, text);
      }));
}

void SettingsFetcher::OnPeerTree(const PeerAddress& peer,
                                 int round,
                                 const absl::StatusOr<std::string>& text) {
  asked_.erase(peer.node);
  const bool in_round = round_open_ > 0 && round == round_;
  absl::StatusOr<SettingsTree> tree =
      text.ok() ? SettingsTree::Import(*text)
                : absl::StatusOr<SettingsTree>(text.status());
  if (!tree.ok()) {
    LOG(WARNING) << "no settings from peer " << peer.node << ": "
                 << tree.status().message();
  } else if (in_round) {
    if (!round_found_ || tree->version() > round_best_.version())
      round_best_ = *std::move(tree);
    round_found_ = true;
  } else {
    Adopt(*std::move(tree));
  }
  if (in_round && --round_open_ == 0)
    EndRound();
}

void SettingsFetcher::EndRound() {
  round_open_ = 0;
  if (round_found_)
    Adopt(std::move(round_best_));
}

}  // namespace quetzalshelf::settings
