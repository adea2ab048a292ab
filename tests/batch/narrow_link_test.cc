// Tests of nodes whose link to the store is narrow.

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

// 10 Mbit/s, as the smallest VMs have.
constexpr int64_t kNarrowLink = 1'250'000;
constexpr size_t kLargestPayload = 4'000;
constexpr char kUrgentJob[] = "00000000000000a0";
constexpr Duration kLong{60'000};

std::string JobName(int n) {
  return std::to_string(1'000'000'000'000'000 + n);
}

// A leader, killed after it has accepted as many waiting jobs.
struct BacklogFixture : LeaderFixture {
  explicit BacklogFixture(int jobs) {
    run_time = kLong;
    for (int n = 0; n < jobs; ++n) {
      JobSpec spec = MakeJob(1, 8, false);
      spec.payload = std::string(kLargestPayload, 'x');
      Submit(JobName(n), spec);
    }
    Kill(0);
  }

  // Time from the take-over by a new node until it may start tasks; `limit` if
  // it may not by then.
  Duration TimeToStart(Duration limit) {
    Run(Duration(4'000));
    AddNode("n2");
    const int node = static_cast<int>(nodes.size()) - 1;
    while (Leader() != node)
      Run(Duration(10));
    // Takes over if heartbeats come late.
    AddNode("n3");
    const TimePoint led = runner.Now();
    while (runner.Now() < led + limit &&
           !(DispatcherOf(node) &&
             DispatcherOf(node)->Status(runner.Now()).may_start))
      Run(Duration(10));
    return runner.Now() - led;
  }
};

// Follows one table of a store over a link.
struct FollowerFixture {
  explicit FollowerFixture(int64_t link_bytes_per_second = kNarrowLink)
      : store(runner, Duration(2)),
        link(store, runner, runner, link_bytes_per_second),
        follower(
            link,
            runner,
            {.table = "jobs", .poll = Duration(200)},
            [this](const std::vector<StoreRow>& rows) {
              values.clear();
              Apply(rows);
            },
            [this](const std::vector<StoreRow>& rows) { Apply(rows); },
            1) {}

  void Apply(const std::vector<StoreRow>& rows) {
    for (const StoreRow& it : rows) {
      is_ordered = is_ordered && versions[it.id.key] < it.version;
      versions[it.id.key] = it.version;
      if (it.deleted)
        values.erase(it.id.key);
      else
        values[it.id.key] = it.value;
    }
  }

  void Put(int row, const std::string& value) {
    store.Put({"jobs", "", JobName(row)}, value);
  }

  void Run(Duration duration) {
    for (Duration passed{0}; passed < duration; passed += Duration(10)) {
      follower.Tick(runner.Now());
      runner.Advance(Duration(10));
    }
  }

  ManualTaskRunner runner;
  MemoryVersionedStore store;
  NarrowStore link;
  std::map<std::string, std::string> values;
  std::map<std::string, RowVersion> versions;
  bool is_ordered = true;  // No row was handed over again, or an older one.
  TableFollower follower;
};

}  // namespace

TEST_CASE("A leader behind a narrow link reads hundreds of jobs") {
  BacklogFixture fixture(600);
  fixture.link_bytes_per_second = kNarrowLink;
  // 600 rows of 5.6 kB take 2.7 s.
  CHECK(fixture.TimeToStart(Duration(20'000)) < Duration(4'000));
  const Epoch epoch = fixture.nodes[1].lease->fencing_token().epoch;
  fixture.run_time = Duration(500);
  fixture.Submit(kUrgentJob, MakeJob(1, 8, false), "/holds/");
  fixture.Run(Duration(3'000));
  CHECK(fixture.workers.starts(Task(kUrgentJob, 0)) == 1);
  CHECK(fixture.nodes[1].lease->fencing_token().epoch == epoch);
}

TEST_CASE(
    "Rows that change while a table is read are neither old nor missing") {
  FollowerFixture fixture;
  const std::string large(kLargestPayload, 'x');
  for (int n = 0; n < 400; ++n)
    fixture.Put(n, large);
  fixture.Run(Duration(700));
  REQUIRE_FALSE(fixture.follower.ready());
  // Some of these have been read already, the others follow.
  for (int n = 0; n < 400; n += 40) {
    fixture.Put(n, "new");
    fixture.store.Delete({"jobs", "", JobName(n + 1)});
  }
  fixture.Put(1'000, "new");
  fixture.Run(Duration(5'000));
  CHECK(fixture.follower.ready());
  CHECK(fixture.is_ordered);
  CHECK(fixture.values.size() == 391);
  CHECK(fixture.values[JobName(0)] == "new");
  CHECK(fixture.values[JobName(360)] == "new");
  CHECK(fixture.values[JobName(1'000)] == "new");
  CHECK_FALSE(fixture.values.contains(JobName(361)));
}

TEST_CASE("A large table is read soon from a slow store and during outages") {
  FollowerFixture fixture(100 * kNarrowLink);
  for (int n = 0; n < 1'000; ++n)
    fixture.Put(n, "{}");
  SUBCASE("that answers slowly") {
    fixture.store.set_answer_time(Duration(300));
    fixture.Run(Duration(4'000));
  }
  SUBCASE("that answers more slowly after a while") {
    fixture.store.set_answer_time(Duration(100));
    fixture.Run(Duration(250));
    fixture.store.set_answer_time(Duration(600));
    fixture.Run(Duration(6'000));
  }
  SUBCASE("that refuses for a while") {
    fixture.Run(Duration(10));
    fixture.store.faults().refuse = true;
    fixture.Run(Duration(2'000));
    fixture.store.faults().refuse = false;
    fixture.Run(Duration(1'000));
  }
  SUBCASE("that drops its history") {
    fixture.Run(Duration(10));
    REQUIRE_FALSE(fixture.follower.ready());
    fixture.store.DropHistory();
    fixture.Run(Duration(1'000));
  }
  CHECK(fixture.values.size() == 1'000);
  CHECK(fixture.runner.Now() - fixture.follower.confirmed_at() <
        Duration(1'800));
}

TEST_CASE("New rows are known soon though a crowded link silences the feed") {
  FollowerFixture fixture;
  const std::string large(kLargestPayload, 'x');
  for (int n = 0; n < 900; ++n)
    fixture.Put(n, large);
  fixture.Run(Duration(8'000));
  REQUIRE(fixture.follower.ready());
  // Answers come after the feed has been asked again without one.
  fixture.store.set_answer_time(Duration(1'200));
  fixture.Put(1'000, "new");
  fixture.Run(Duration(3'000));
  CHECK(fixture.values.contains(JobName(1'000)));
}

TEST_CASE("Many changes at once do not make a follower read its table again") {
  FollowerFixture fixture;
  fixture.Run(Duration(1'000));
  REQUIRE(fixture.follower.ready());
  const int reads = fixture.store.reads();
  const std::string large(kLargestPayload, 'x');
  for (int n = 0; n < 300; ++n)
    fixture.Put(n, large);
  fixture.Run(Duration(2'500));
  CHECK(fixture.values.size() == 300);
  CHECK(fixture.store.reads() == reads);
  CHECK(fixture.runner.Now() - fixture.follower.confirmed_at() <
        Duration(1'000));
}

}  // namespace quetzalshelf::batch
