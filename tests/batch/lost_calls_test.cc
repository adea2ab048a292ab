// Tests of a follower whose calls to the store do not end.

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

constexpr int kRows = 100;

// Drops the callback of one call.
class ForgetfulStore : public VersionedStore {
 public:
  ForgetfulStore(VersionedStore& store, int lost_call)
      : store_(store), lost_call_(lost_call) {}

  void Commit(const StoreTransaction& transaction,
              Duration timeout,
              CommitCallback done) override {
    store_.Commit(transaction, timeout, std::move(done));
  }
  void Read(const ReadRange& range,
            Duration timeout,
            ReadCallback done) override {
    store_.Read(range, timeout, KeepOrDrop(std::move(done)));
  }
  void Feed(const std::string& table,
            RowVersion after,
            Duration wait,
            Duration timeout,
            ReadCallback done) override {
    store_.Feed(table, after, wait, timeout, KeepOrDrop(std::move(done)));
  }

 private:
  ReadCallback KeepOrDrop(ReadCallback done) {
    if (calls_++ != lost_call_)
      return done;
    return [](const absl::StatusOr<StoreSnapshot>&) {};
  }

  VersionedStore& store_;
  const int lost_call_;
  int calls_ = 0;
};

}  // namespace

TEST_CASE("A follower goes on after any call that never ends") {
  for (int lost = 0; lost < 12; ++lost) {
    CAPTURE(lost);
    ManualTaskRunner runner;
    MemoryVersionedStore store(runner, Duration(2));
    ForgetfulStore path(store, lost);
    std::set<std::string> known;
    const auto note = [&](const std::vector<StoreRow>& rows) {
      for (const StoreRow& it : rows)
        known.insert(it.id.key);
    };
    TableFollower follower(
        path, runner,
        {.table = "jobs", .partitions = {"a", "b"}, .poll = Duration(200)},
        note, note, 1);
    for (int n = 0; n < kRows; ++n)
      store.Put({"jobs", n % 2 == 0 ? "a" : "b", std::to_string(n)}, "{}");
    const auto run = [&](Duration duration) {
      for (Duration passed{0}; passed < duration; passed += Duration(10)) {
        follower.Tick(runner.Now());
        runner.Advance(Duration(10));
      }
    };
    run(Duration(2'000));
    store.Put({"jobs", "a", "late"}, "{}");
    run(Duration(7'000));
    CHECK(known.size() == kRows + 1);
    CHECK(runner.Now() - follower.confirmed_at() < Duration(500));
  }
}

}  // namespace quetzalshelf::batch
