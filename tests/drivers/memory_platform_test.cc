#include <optional>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "drivers/clock/manual_task_runner.h"
#include "drivers/platform/memory_object_store.h"
#include "drivers/platform/memory_table.h"
#include "drivers/platform/memory_vm_list.h"

namespace quetzalshelf {
namespace {

Transaction Put(const std::string& key, uint64_t version, std::string value) {
  return {TokenId("t-" + value),
          {{key, RowVersion(version)}},
          {{key, std::move(value)}}};
}

Transaction Delete(const std::string& key, uint64_t version) {
  return {TokenId("t-delete"), {{key, RowVersion(version)}}, {{key, {}}}};
}

// A table in virtual time; calls run until their callback.
struct TableHarness {
  ManualTaskRunner runner;
  MemoryTable table{runner};

  absl::Status Commit(Transaction transaction) {
    std::optional<absl::Status> result;
    table.Commit(std::move(transaction),
                 [&](const absl::Status& status) { result = status; });
    CHECK_FALSE(result.has_value());
    runner.RunReady();
    REQUIRE(result.has_value());
    return *result;
  }

  absl::StatusOr<Row> Read(const std::string& key) {
    std::optional<absl::StatusOr<Row>> result;
    table.Read(key, [&](absl::StatusOr<Row> row) { result = std::move(row); });
    runner.RunReady();
    REQUIRE(result.has_value());
    return *result;
  }

  std::string Scan(const std::string& prefix,
                   const std::string& after,
                   int limit) {
    std::string keys;
    table.ReadPrefix(prefix, after, limit,
                     [&](const absl::StatusOr<std::vector<Row>>& rows) {
                       for (const Row& it : *rows)
                         keys += it.key + " ";
                     });
    runner.RunReady();
    return keys;
  }
};

// Guards against a writer that overwrites what it has not seen.
TEST_CASE("MemoryTable commits only when every condition holds") {
  TableHarness harness;
  CHECK(harness.Commit(Put("a", 0, "1")).ok());
  CHECK(absl::IsAborted(harness.Commit(Put("a", 0, "2"))));
  Transaction both = Put("a", 1, "3");
  both.conditions.push_back({"b", RowVersion(1)});
  CHECK(absl::IsAborted(harness.Commit(both)));
  CHECK(harness.Read("a")->value == "1");
  CHECK(harness.Commit(Put("a", 1, "4")).ok());
  CHECK(harness.Read("a")->version == RowVersion(2));
  CHECK(harness.Read("a")->token == TokenId("t-4"));
}

// Guards against a delayed transaction that matches the version of a row that
// was deleted and written again.
TEST_CASE("MemoryTable never uses a version of a deleted row again") {
  TableHarness harness;
  CHECK(harness.Commit(Put("a", 0, "1")).ok());
  CHECK(harness.Commit(Delete("a", 1)).ok());
  CHECK(absl::IsNotFound(harness.Read("a").status()));
  CHECK(harness.Commit(Put("a", 0, "2")).ok());
  CHECK(harness.Read("a")->version == RowVersion(2));
  CHECK(absl::IsAborted(harness.Commit(Put("a", 1, "3"))));
}

// Guards against transactions that no reader could attribute.
TEST_CASE("MemoryTable rejects malformed transactions") {
  TableHarness harness;
  Transaction no_token = Put("a", 0, "1");
  no_token.token = TokenId();
  CHECK(absl::IsInvalidArgument(harness.Commit(no_token)));
  Transaction twice = Put("a", 0, "1");
  twice.writes.push_back({"a", "2"});
  CHECK(absl::IsInvalidArgument(harness.Commit(twice)));
  CHECK(absl::IsNotFound(harness.Read("a").status()));
}

// Guards against pages that overlap or leave rows out.
TEST_CASE("MemoryTable scans a prefix in pages") {
  TableHarness harness;
  for (const char* key : {"a", "job/1", "job/2", "job/3", "k"})
    REQUIRE(harness.Commit(Put(key, 0, "v")).ok());
  CHECK(harness.Scan("job/", "", 2) == "job/1 job/2 ");
  CHECK(harness.Scan("job/", "job/2", 2) == "job/3 ");
  CHECK(harness.Scan("job/", "job/3", 2).empty());
  CHECK(harness.Scan("", "", 10) == "a job/1 job/2 job/3 k ");
}

// Guards against faults that change what was written.
TEST_CASE("MemoryTable has each fault as described") {
  TableHarness harness;
  StoreFaults& faults = harness.table.faults();
  SUBCASE("down writes nothing") {
    faults.down = true;
    CHECK(absl::IsUnavailable(harness.Commit(Put("a", 0, "1"))));
    CHECK(absl::IsUnavailable(harness.Read("a").status()));
    faults.down = false;
    CHECK(absl::IsNotFound(harness.Read("a").status()));
  }
  SUBCASE("a lost answer took effect") {
    faults.lose_answers = 1;
    CHECK(absl::IsDeadlineExceeded(harness.Commit(Put("a", 0, "1"))));
    CHECK(harness.Read("a")->token == TokenId("t-1"));
    CHECK(harness.Commit(Put("a", 1, "2")).ok());
  }
  SUBCASE("a failed condition does not use up a lost answer") {
    faults.lose_answers = 1;
    CHECK(absl::IsAborted(harness.Commit(Put("a", 7, "1"))));
    CHECK(faults.lose_answers == 1);
  }
  SUBCASE("a late commit takes effect after its answer") {
    faults.late_commits = 1;
    faults.late_by = Duration(500);
    CHECK(absl::IsDeadlineExceeded(harness.Commit(Put("a", 0, "1"))));
    CHECK(absl::IsNotFound(harness.Read("a").status()));
    harness.runner.Advance(Duration(500));
    CHECK(harness.Read("a")->value == "1");
  }
  SUBCASE("a late commit whose condition no longer holds has no effect") {
    faults.late_commits = 1;
    CHECK(absl::IsDeadlineExceeded(harness.Commit(Put("a", 0, "1"))));
    CHECK(harness.Commit(Put("a", 0, "2")).ok());
    harness.runner.Advance(faults.late_by);
    CHECK(harness.Read("a")->value == "2");
  }
  SUBCASE("slow delays the effect") {
    faults.slow = Duration(100);
    bool done = false;
    harness.table.Commit(Put("a", 0, "1"),
                         [&](const absl::Status&) { done = true; });
    harness.runner.Advance(Duration(99));
    CHECK_FALSE(done);
    harness.runner.Advance(Duration(1));
    CHECK(done);
  }
}

// Guards against lost updates under any mix of lost answers and late commits:
// a counter that is only written under its version never skips or repeats.
TEST_CASE("MemoryTable keeps a counter exact under faults") {
  CHECK(rc::check("counter", [] {
    TableHarness harness;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    for (const int step : steps) {
      harness.table.faults().lose_answers = step == 1 ? 1 : 0;
      harness.table.faults().late_commits = step == 2 ? 1 : 0;
      if (step == 3)
        harness.runner.Advance(harness.table.faults().late_by);
      const auto row = harness.Read("n");
      const uint64_t n = row.ok() ? row->version.value() : 0;
      harness.Commit(Put("n", n, std::to_string(n + 1))).IgnoreError();
    }
    harness.runner.Advance(Duration(10'000));
    if (const auto row = harness.Read("n"); row.ok())
      RC_ASSERT(row->value == std::to_string(row->version.value()));
  }));
}

// Guards against an object that is partly written or lost after its Put.
TEST_CASE("MemoryObjectStore keeps the last object and has its faults") {
  ManualTaskRunner runner;
  MemoryObjectStore store(runner);
  const auto put = [&](const std::string& content) {
    absl::Status result;
    store.Put("o", content,
              [&](const absl::Status& status) { result = status; });
    runner.RunReady();
    return result;
  };
  const auto get = [&] {
    absl::StatusOr<std::string> result;
    store.Get("o",
              [&](absl::StatusOr<std::string> it) { result = std::move(it); });
    runner.RunReady();
    return result;
  };
  CHECK(absl::IsNotFound(get().status()));
  CHECK(put("1").ok());
  store.faults().lose_answers = 1;
  CHECK(absl::IsDeadlineExceeded(put("2")));
  CHECK(get().value() == "2");
  store.faults().down = true;
  CHECK(absl::IsUnavailable(put("3")));
  CHECK(absl::IsUnavailable(get().status()));
  store.faults().down = false;
  CHECK(get().value() == "2");
}

// Guards against a list that shows changes before their lag or out of order.
TEST_CASE("MemoryVmList shows changes after the lag and in their order") {
  ManualTaskRunner runner;
  MemoryVmList list(runner, runner);
  const auto names = [&] {
    std::string text;
    list.List([&](const absl::StatusOr<std::vector<Vm>>& vms) {
      for (const Vm& it : *vms)
        text += it.name + (it.state == VmState::kLeaving ? "- " : " ");
    });
    runner.RunReady();
    return text;
  };
  Vm vm;
  vm.name = "a";
  list.Put(vm);
  CHECK(names() == "a ");
  list.faults().lag = Duration(1'000);
  CHECK(list.SetState("a", VmState::kLeaving).ok());
  CHECK(absl::IsNotFound(list.SetState("b", VmState::kLeaving)));
  runner.Advance(Duration(999));
  CHECK(names() == "a ");
  list.faults().lag = Duration(0);
  CHECK(list.Remove("a").ok());
  CHECK(names() == "a ");
  runner.Advance(Duration(1));
  CHECK(names().empty());
}

}  // namespace
}  // namespace quetzalshelf
