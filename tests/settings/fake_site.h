// A table and peers in memory, with faults, for tests of the settings.

#ifndef TESTS_SETTINGS_FAKE_SITE_H_
#define TESTS_SETTINGS_FAKE_SITE_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/platform/peer_port.h"
#include "core/platform/table.h"
#include "servers/settings/settings_service.h"

namespace quetzalshelf::settings {

// What happens to a commit and to its answer.
enum class CommitFault {
  kNone,
  kLoseAnswer,   // Takes effect; the answer is lost.
  kLoseRequest,  // Has no effect; the outcome is reported as unknown.
  kLate,         // Unknown outcome; takes effect at DeliverLate().
};

class FakeTable : public Table {
 public:
  void Read(const std::string& key, ReadCallback done) override {
    absl::StatusOr<Row> result = absl::NotFoundError("no row");
    if (down)
      result = absl::UnavailableError("down");
    else if (auto it = rows.find(key); it != rows.end())
      result = it->second;
    calls.emplace_back([result, done = std::move(done)] { done(result); });
  }

  void ReadPrefix(const std::string& prefix,
                  const std::string& after,
                  int limit,
                  ScanCallback done) override {
    std::vector<Row> found;
    for (const auto& [key, row] : rows) {
      if (key.starts_with(prefix) && key > after &&
          found.size() < static_cast<size_t>(limit))
        found.push_back(row);
    }
    absl::StatusOr<std::vector<Row>> result = found;
    if (down)
      result = absl::UnavailableError("down");
    calls.emplace_back([result, done = std::move(done)] { done(result); });
  }

  void Commit(Transaction transaction, CommitCallback done) override {
    const CommitFault fault = std::exchange(next_fault, CommitFault::kNone);
    absl::Status status = absl::DeadlineExceededError("no answer");
    if (down)
      status = absl::UnavailableError("down");
    else if (fault == CommitFault::kLate)
      late.push_back(std::move(transaction));
    else if (fault == CommitFault::kLoseAnswer)
      (void)Apply(transaction);
    else if (fault == CommitFault::kNone)
      status = Apply(transaction);
    calls.emplace_back([status, done = std::move(done)] { done(status); });
  }

  void DeliverLate() {
    for (const Transaction& it : late)
      (void)Apply(it);
    late.clear();
  }

  // Runs callbacks until none is left.
  void Run() {
    while (!calls.empty()) {
      auto call = std::move(calls.front());
      calls.pop_front();
      call();
    }
  }

  bool down = false;
  CommitFault next_fault = CommitFault::kNone;
  std::map<std::string, Row> rows;
  std::vector<Transaction> late;
  std::deque<std::function<void()>> calls;
  int commits = 0;  // That took effect.

 private:
  absl::Status Apply(const Transaction& transaction) {
    for (const Condition& it : transaction.conditions) {
      auto row = rows.find(it.key);
      const RowVersion version =
          row == rows.end() ? RowVersion() : row->second.version;
      if (version != it.version)
        return absl::AbortedError("condition on " + it.key);
    }
    for (const Write& it : transaction.writes) {
      Row& row = rows[it.key];
      row = {it.key, it.value.value_or(""), row.version.Next(),
             transaction.token};
    }
    ++commits;
    return absl::OkStatus();
  }
};

// Reaches the services that the test has put in. Uses the table's queue.
class FakePeers : public PeerPort {
 public:
  explicit FakePeers(FakeTable& table) : table_(table) {}

  void Heartbeat(const PeerAddress&,
                 const PeerHeartbeat&,
                 HeartbeatCallback) override {}
  void Forward(const PeerAddress&,
               const ForwardedCall&,
               ForwardCallback) override {}
  void FetchSettings(const PeerAddress& peer, SettingsCallback done) override {
    absl::StatusOr<std::string> result = absl::UnavailableError("not reached");
    if (auto it = nodes.find(peer.node); it != nodes.end())
      result = it->second->ExportForPeer();
    table_.calls.emplace_back(
        [result, done = std::move(done)] { done(result); });
  }

  std::map<NodeId, SettingsService*> nodes;

 private:
  FakeTable& table_;
};

inline PeerAddress Address(const std::string& node) {
  return {NodeId(node), "127.0.0.1", 1};
}

inline SettingsPath Path(const std::string& text) {
  return SettingsPath::Parse(text).value();
}

}  // namespace quetzalshelf::settings

#endif  // TESTS_SETTINGS_FAKE_SITE_H_
