#include "servers/cluster/committer.h"

#include <doctest/doctest.h>

#include "drivers/clock/manual_task_runner.h"
#include "drivers/platform/memory_table.h"
#include "servers/cluster/store_gate.h"

namespace quetzalshelf::cluster {

namespace {

struct CommitWorld {
  void Run(Duration time) {
    for (Duration passed{0}; passed < time; passed += Duration(100)) {
      gate.Tick(runner.Now());
      committer.Tick(runner.Now());
      runner.Advance(Duration(100));
    }
  }
  void Commit(uint64_t version, const std::string& value) {
    outcome.reset();
    committer.Commit(
        {{"a", RowVersion(version)}}, {{"a", value}},
        [this](const CommitResult& result) { outcome = result.outcome; });
  }
  absl::StatusOr<Row> Read() {
    absl::StatusOr<Row> found;
    table.Read("a", [&](absl::StatusOr<Row> row) { found = std::move(row); });
    runner.RunReady();
    return found;
  }

  ManualTaskRunner runner;
  MemoryTable table{runner};
  StoreGate gate{table, runner, {}, 1};
  Committer committer{gate, runner, IncarnationId("n"), {}, 1};
  std::optional<CommitOutcome> outcome;
};

}  // namespace

TEST_CASE("a commit whose answer is lost is found by its token") {
  CommitWorld world;
  world.table.faults().lose_answers = 1;
  world.Commit(0, "1");
  world.Run(Duration(1'000));
  CHECK(world.outcome == CommitOutcome::kCommitted);
  CHECK(world.table.commits() == 1);
  CHECK(world.committer.counters().resends == 0);
}

TEST_CASE("a commit that arrives late takes effect once") {
  for (int late_by : {50, 400, 3'000}) {
    CommitWorld world;
    world.table.faults().late_commits = 1;
    world.table.faults().late_by = Duration(late_by);
    world.Commit(0, "1");
    world.Run(Duration(10'000));
    CHECK(world.outcome == CommitOutcome::kCommitted);
    CHECK(world.table.commits() == 1);
    CHECK(world.Read()->version == RowVersion(1));
  }
}

TEST_CASE("refused, conflicting and malformed commits are told apart") {
  CommitWorld world;
  world.table.faults().down = true;
  world.Commit(0, "1");
  world.Run(Duration(500));
  CHECK(world.outcome == CommitOutcome::kNotWritten);
  world.table.faults().down = false;
  world.Commit(7, "1");
  world.Run(Duration(500));
  CHECK(world.outcome == CommitOutcome::kConflict);
  world.committer.Commit(
      {{"b", RowVersion(0)}}, {{"a", "1"}},
      [&](const CommitResult& result) { world.outcome = result.outcome; });
  CHECK(world.outcome == CommitOutcome::kInvalid);
  CHECK(world.table.commits() == 0);
}

TEST_CASE("an outcome stays open while the store is down, then settles") {
  CommitWorld world;
  world.table.faults().lose_answers = 1;
  world.Commit(0, "1");
  world.runner.Advance(Duration(1));
  world.table.faults().down = true;
  world.Run(Duration(120'000));
  CHECK_FALSE(world.outcome.has_value());
  world.table.faults().down = false;
  world.Run(Duration(20'000));
  CHECK(world.outcome == CommitOutcome::kCommitted);
  CHECK(world.table.commits() == 1);
}

TEST_CASE("a row that another writer replaced is told, and a witness decides") {
  for (bool took_effect : {true, false}) {
    CommitWorld world;
    auto& faults = world.table.faults();
    (took_effect ? faults.lose_answers : faults.late_commits) = 1;
    faults.late_by = Duration(60'000);
    world.committer.Commit(
        {{"a", RowVersion(0)}}, {{"a", "1"}, {"w", "1"}},
        [&](const CommitResult& result) { world.outcome = result.outcome; },
        "w");
    world.runner.Advance(Duration(1));
    world.table.Commit({TokenId("other"), {}, {{"a", "2"}}},
                       [](const absl::Status&) {});
    world.Run(Duration(5'000));
    CHECK(world.outcome ==
          (took_effect ? CommitOutcome::kCommitted : CommitOutcome::kConflict));
  }
}

TEST_CASE("the gate suspends calls to a dead store and probes it") {
  CommitWorld world;
  world.table.faults().down = true;
  for (int i = 0; i < 200; ++i) {
    world.gate.Read("a", [](const absl::StatusOr<Row>&) {});
    world.Run(Duration(100));
  }
  CHECK_FALSE(world.gate.reachable());
  // 5 failures open it; probes come at most twice a second for 20 s.
  CHECK(world.gate.counters().reads < 50);
  world.table.faults().down = false;
  world.Run(Duration(6'000));
  world.gate.Read("a", [](const absl::StatusOr<Row>&) {});
  world.Run(Duration(1'000));
  CHECK(world.gate.reachable());
}

TEST_CASE("a call to a hanging store ends at the time limit, as unknown") {
  CommitWorld world;
  world.table.faults().slow = Duration(10'000);
  absl::Status status;
  world.gate.Commit({TokenId("t"), {}, {{"a", "1"}}},
                    [&](const absl::Status& answer) { status = answer; });
  world.Run(Duration(2'500));
  CHECK(absl::IsDeadlineExceeded(status));
  CHECK(world.gate.in_flight() == 0);
}

}  // namespace quetzalshelf::cluster
