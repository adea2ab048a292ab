#include "servers/settings/settings_service.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <doctest/doctest.h>

#include "tests/settings/fake_site.h"

namespace quetzalshelf::settings {
namespace {

// Two nodes `a` and `b` on one table, driven by an injected time.
struct Site {
  Site() { Start(a, "a"), Start(b, "b"), Advance(Duration(1'000)); }

  void Start(std::unique_ptr<SettingsService>& node, const std::string& name) {
    node = std::make_unique<SettingsService>(
        SettingsServiceOptions{IncarnationId(name + std::to_string(++starts))},
        table, peers, nullptr);
    node->SetPeers({Address(name == "a" ? "b" : "a")});
    peers.nodes[NodeId(name)] = node.get();
  }

  void Advance(Duration time) {
    for (Duration step{0}; step < time; step += Duration(100)) {
      now += Duration(100);
      a->Tick(now);
      b->Tick(now);
      table.Run();
    }
  }

  // Hands in a change; the result is set once it is known.
  std::shared_ptr<std::optional<ChangeResult>> Change(SettingsService& node,
                                                      const std::string& path,
                                                      Json value,
                                                      uint64_t base) {
    auto result = std::make_shared<std::optional<ChangeResult>>();
    ChangeRequest request{.path = Path(path),
                          .value = std::move(value),
                          .base_version = SettingsVersion(base),
                          .author = "ana",
                          .reason = "test"};
    node.Change(request, now,
                [result](const ChangeResult& done) { *result = done; });
    return result;
  }

  ChangeResult MustChange(const std::string& path, Json value, uint64_t base) {
    const auto result = Change(*a, path, std::move(value), base);
    Advance(Duration(20'000));
    REQUIRE(result->has_value());
    return **result;
  }

  int64_t WeightAt(const SettingsService& node) const {
    return node.tree().GetOrDefault(Path("teams/plaza/weight")).get<int64_t>();
  }

  FakeTable table;
  FakePeers peers{table};
  TimePoint now{};
  int starts = 0;
  std::unique_ptr<SettingsService> a;
  std::unique_ptr<SettingsService> b;
};

// Guards against a change that is in force only where it was made.
TEST_CASE("A change is in force at every node and in the history") {
  Site site;
  const ChangeResult result = site.MustChange("teams/plaza/weight", 3, 0);
  CHECK(result.outcome == ChangeOutcome::kAccepted);
  CHECK(result.version == SettingsVersion(1));
  CHECK(site.WeightAt(*site.b) == 3);
  std::vector<HistoryEntry> entries;
  site.b->History(SettingsPath(), 10,
                  [&entries](auto found) { entries = found.value(); });
  site.table.Run();
  REQUIRE(entries.size() == 1);
  CHECK(entries[0].author == "ana");
  CHECK(entries[0].changes[0].path == "teams/plaza");
  CHECK(entries[0].changes[0].after == Json{{"weight", 3}});
}

// Guards against two racing changes being merged, or the second overwriting
// the first, without either operator knowing.
TEST_CASE("Of two racing changes one is told of the conflict") {
  Site site;
  site.MustChange("teams/plaza/weight", 1, 0);
  const auto first = site.Change(*site.a, "teams/plaza/weight", 3, 1);
  const auto second = site.Change(*site.b, "teams/plaza/weight", 5, 1);
  site.Advance(Duration(3'000));
  REQUIRE(first->has_value());
  REQUIRE(second->has_value());
  CHECK((*first)->outcome == ChangeOutcome::kAccepted);
  REQUIRE((*second)->outcome == ChangeOutcome::kConflict);
  REQUIRE((*second)->conflict.has_value());
  const SettingsConflict& conflict = *(*second)->conflict;
  CHECK(conflict.base_version == SettingsVersion(1));
  CHECK(conflict.current_version == SettingsVersion(2));
  CHECK(conflict.your_value == 5);
  CHECK(conflict.current_value == 3);
  CHECK(site.WeightAt(*site.a) == 3);
  CHECK(site.WeightAt(*site.b) == 3);
}

// Guards against false conflicts between teams, which share only the head.
TEST_CASE("Racing changes of different teams are both accepted") {
  Site site;
  const auto first = site.Change(*site.a, "teams/plaza/weight", 3, 0);
  const auto second = site.Change(*site.b, "teams/harbor/weight", 5, 0);
  site.Advance(Duration(3'000));
  CHECK((*first)->outcome == ChangeOutcome::kAccepted);
  CHECK((*second)->outcome == ChangeOutcome::kAccepted);
  CHECK(site.a->version() == SettingsVersion(2));
}

// Guards against a removed team coming back through a stale change.
TEST_CASE("A change based on a version before a removal is a conflict") {
  Site site;
  site.MustChange("teams/plaza", {{"weight", 2}}, 0);
  CHECK(site.MustChange("teams/plaza", nullptr, 1).outcome ==
        ChangeOutcome::kAccepted);
  site.Start(site.b, "b");
  site.Advance(Duration(1'000));
  const auto late = site.Change(*site.b, "teams/plaza/weight", 4, 1);
  site.Advance(Duration(1'000));
  CHECK((*late)->outcome == ChangeOutcome::kConflict);
  CHECK(site.b->tree().Workspaces().empty());
}

// Guards against telling the operator of a failure, or committing twice, when
// only the answer was lost.
TEST_CASE("A lost answer after the commit is settled by the history row") {
  Site site;
  site.table.next_fault = CommitFault::kLoseAnswer;
  const ChangeResult result = site.MustChange("teams/plaza/weight", 3, 0);
  CHECK(result.outcome == ChangeOutcome::kAccepted);
  CHECK(site.table.commits == 1);
}

// Guards against a blind retry: the same transaction arrives twice here, and
// only one copy may take effect.
TEST_CASE("A request that arrives late takes effect once") {
  Site site;
  site.table.next_fault = CommitFault::kLate;
  const ChangeResult result = site.MustChange("teams/plaza/weight", 3, 0);
  CHECK(result.outcome == ChangeOutcome::kAccepted);
  site.table.DeliverLate();
  CHECK(site.table.commits == 1);
  CHECK(site.table.rows.at(kHeadKey).version == RowVersion(1));
}

// Guards against reporting an outcome that is not known as a failure.
TEST_CASE("An outcome that cannot be settled is reported as unknown") {
  Site site;
  site.table.next_fault = CommitFault::kLate;
  const auto result = site.Change(*site.a, "teams/plaza/weight", 3, 0);
  while (site.table.late.empty()) {
    auto call = std::move(site.table.calls.front());
    site.table.calls.pop_front();
    call();
  }
  site.table.down = true;
  site.Advance(Duration(20'000));
  REQUIRE(result->has_value());
  CHECK((*result)->outcome == ChangeOutcome::kUnknown);
  CHECK((*result)->version == SettingsVersion(1));
  site.table.down = false;
  site.table.DeliverLate();
  site.Advance(Duration(2'000));
  CHECK(site.WeightAt(*site.a) == 3);
}

// Guards against a change that is accepted while nothing can be written.
TEST_CASE("With the table down a change is not run") {
  Site site;
  site.table.down = true;
  const ChangeResult result = site.MustChange("teams/plaza/weight", 3, 0);
  CHECK(result.outcome == ChangeOutcome::kNotRun);
  CHECK(site.WeightAt(*site.a) == 1);
}

// Guards against versions that go back when a node restarts with the table
// down.
TEST_CASE("A restart with the table down takes the highest peer version") {
  Site site;
  site.MustChange("teams/plaza/weight", 3, 0);
  site.table.down = true;
  site.Start(site.b, "b");
  CHECK_FALSE(site.b->ready());
  site.Advance(Duration(3'000));
  CHECK(site.b->ready());
  CHECK(site.b->version() == SettingsVersion(1));
  CHECK(site.WeightAt(*site.b) == 3);
}

// Guards against a node that serves defaults as if they were the settings.
TEST_CASE("Without table and peers a node is not ready and says so") {
  Site site;
  site.MustChange("teams/plaza/weight", 3, 0);
  site.table.down = true;
  site.peers.nodes.clear();
  site.Start(site.b, "b");
  site.Advance(Duration(5'000));
  CHECK_FALSE(site.b->ready());
  CHECK(site.b->NotReadyReason().find("none of 1 peers") != std::string::npos);
  CHECK_FALSE(site.b->ExportForPeer().ok());
}

// Guards against a stale peer, or an outage, taking a node back.
TEST_CASE("A stale peer changes nothing and a newer one is followed") {
  Site site;
  site.MustChange("teams/plaza/weight", 3, 0);
  site.table.down = true;
  SettingsTree newer = site.a->tree();
  newer.Set(Path("teams/plaza/weight"), 9);
  newer.set_version(SettingsVersion(7));
  FakeTable other_table;
  SettingsService peer({IncarnationId("c")}, other_table, site.peers, nullptr);
  site.peers.nodes[NodeId("c")] = &peer;
  peer.Tick(site.now);
  other_table.Run();
  site.a->PeerVersion(Address("c"), SettingsVersion(7), site.now);
  site.Advance(Duration(1'000));
  CHECK(site.a->version() == SettingsVersion(1));
  CHECK(site.WeightAt(*site.a) == 3);
  other_table.rows[kHeadKey] = {kHeadKey, EncodeHead(SettingsVersion(7)),
                                RowVersion(1), TokenId("t")};
  const std::string key = SubtreeKey("teams/plaza");
  other_table.rows[key] = {key,
                           EncodeSubtree({SettingsVersion(7), {{"weight", 9}}}),
                           RowVersion(1), TokenId("t")};
  peer.Tick(site.now + Duration(2'000));
  other_table.Run();
  site.a->PeerVersion(Address("c"), SettingsVersion(7), site.now);
  site.Advance(Duration(1'000));
  CHECK(site.a->version() == SettingsVersion(7));
  CHECK(site.WeightAt(*site.a) == 9);
}

// Guards against older versions that are rebuilt with later changes.
TEST_CASE("The settings can be read as of an older version") {
  Site site;
  site.MustChange("teams/plaza/weight", 3, 0);
  site.MustChange("site/domains/cartago/in_service", false, 1);
  site.MustChange("teams/plaza", nullptr, 2);
  std::optional<absl::StatusOr<SettingsTree>> tree;
  const auto keep = [&tree](auto found) { tree = std::move(found); };
  site.b->TreeAt(SettingsVersion(1), keep);
  site.table.Run();
  REQUIRE(tree->ok());
  CHECK((*tree)->Get(Path("teams/plaza/weight")) == 3);
  CHECK((*tree)->IsInService(DomainId("cartago")));
  site.b->TreeAt(SettingsVersion(0), keep);
  site.table.Run();
  CHECK((*tree)->root() == SettingsTree().root());
  site.b->TreeAt(SettingsVersion(9), keep);
  CHECK(absl::IsNotFound(tree->status()));
}

// Guards against a failure domain that is out in the settings while the rows
// that gang starts depend on still say that it is in service.
TEST_CASE("A failure domain moves in the transaction of its change") {
  Site site;
  site.MustChange("site/domains/cartago/in_service", false, 0);
  CHECK(Json::parse(site.table.rows.at("domain/cartago").value) ==
        Json{{"format", 1}, {"in_service", false}, {"settings", 1}});
  site.MustChange("site/domains/cartago", nullptr, 1);
  CHECK(Json::parse(site.table.rows.at("domain/cartago").value) ==
        Json{{"format", 1}, {"in_service", true}, {"settings", 2}});
  CHECK(site.b->tree().IsInService(DomainId("cartago")));
}

// Guards against a dry run or a refused change that writes.
TEST_CASE("A dry run and a change with findings write nothing") {
  Site site;
  const auto refused = site.MustChange("teams/plaza/weight", 0, 0);
  CHECK(refused.outcome == ChangeOutcome::kInvalid);
  CHECK(refused.findings.items()[0].place.path == "teams/plaza/weight");
  std::optional<ChangeResult> checked;
  site.a->Change(
      {.path = Path("teams/plaza/weight"), .value = 2, .dry_run = true},
      site.now, [&checked](const auto& it) { checked = it; });
  site.Advance(Duration(1'000));
  CHECK(checked->outcome == ChangeOutcome::kChecked);
  CHECK(site.table.commits == 0);
}

}  // namespace
}  // namespace quetzalshelf::settings
