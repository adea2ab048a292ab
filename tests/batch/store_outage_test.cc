// Tests of outages of the store: what goes on meanwhile, and how soon work goes
// on afterwards.

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>

#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

constexpr char kJob[] = "00000000000000b1";
constexpr char kLateJob[] = "00000000000000b9";
constexpr Duration kLong{30'000};
// A caller that was refused during the outage returns after this time.
constexpr Duration kRetryAfter{1'000};

// A store that resets every connection.
class ResettingStore : public VersionedStore {
 public:
  explicit ResettingStore(TaskRunner& runner) : runner_(runner) {}

  void Commit(const StoreTransaction&, Duration, CommitCallback done) override {
    ++commits_;
    runner_.PostAfter(Duration(2), [done = std::move(done)] {
      done(absl::UnknownError("the connection broke"));
    });
  }
  void Read(const ReadRange&, Duration, ReadCallback) override {}
  void Feed(const std::string&,
            RowVersion,
            Duration,
            Duration,
            ReadCallback) override {}

  int commits() const { return commits_; }

 private:
  TaskRunner& runner_;
  int commits_ = 0;
};

}  // namespace

// Guards against state writes that hang in an outage without answers and block
// later ones until their time-outs, which grow, and against reads that do so.
TEST_CASE("Work goes on soon after a silent outage of the store") {
  LeaderFixture fixture;
  Duration outage{0};
  SUBCASE("short") {
    outage = Duration(1'600);
  }
  SUBCASE("as long as a run") {
    outage = Duration(2'900);
  }
  SUBCASE("long") {
    outage = Duration(4'200);
  }
  SUBCASE("longer than a lease") {
    outage = Duration(6'700);
  }
  fixture.Submit(kJob, MakeJob(1, 8, false), "/holds/");
  fixture.Submit("00000000000000b2", MakeJob(1, 8, false), "/holds/");
  fixture.Run(Duration(600));
  fixture.Submit("00000000000000b3", MakeJob(1, 8, false), "/holds/");
  fixture.Run(Duration(600));
  fixture.nodes[0].store->set_cut(true);
  fixture.Run(outage);
  fixture.nodes[0].store->set_cut(false);
  fixture.Submit(kLateJob, MakeJob(1, 8, false), "/holds/");
  fixture.Run(kRetryAfter);
  CHECK(fixture.workers.starts(Task(kLateJob, 0)) == 1);
  if (outage > fixture.run_time)
    CHECK(fixture.State(kJob).phase == JobPhase::kComplete);
  CHECK(fixture.RunUntilFinal("00000000000000b3", kLong) ==
        JobPhase::kComplete);
  CHECK(fixture.workers.total_starts() == 4);
  CHECK(fixture.workers.violations().empty());
}

// Guards against calls that hang until their time-outs, although the store
// answers again.
TEST_CASE("Calls made during a silent outage are answered soon after it") {
  BatchFixture fixture;
  SeverableStore path(fixture.store, fixture.runner);
  JobFrontend frontend(path, fixture.runner, fixture.runner, fixture.site,
                       fixture.load, {});
  const CallerContext caller{"desk.example", std::string("/plans/") + kJob,
                             "key-plaza",
                             fixture.runner.Now() + Duration(3'000)};
  std::optional<CallAnswer> answer;
  const auto keep = [&](const CallAnswer& it) { answer = it; };
  CallOutcome expected = CallOutcome::kAccepted;
  path.set_cut(true);
  SUBCASE("submission") {
    frontend.Submit(caller, MakeJob(1, 1, false), keep);
  }
  SUBCASE("status") {
    fixture.Submit(kJob, MakeJob(1, 1, false));
    frontend.State(caller, keep);
    expected = CallOutcome::kFound;
  }
  fixture.Run(Duration(400));
  REQUIRE_FALSE(answer);
  path.set_cut(false);
  fixture.Run(Duration(300));
  REQUIRE(answer);
  CHECK(answer->outcome == expected);
}

// Guards against an answer so late that the caller has left. 150 ms are kept
// for its way.
TEST_CASE("A write that runs out of time is told before its caller leaves") {
  BatchFixture fixture;
  ResettingStore resetting(fixture.runner);
  SeverableStore silent(fixture.store, fixture.runner);
  silent.set_cut(true);
  VersionedStore* store = &resetting;
  SUBCASE("breaking connections") {}
  SUBCASE("no answers") {
    store = &silent;
  }
  JobFrontend frontend(*store, fixture.runner, fixture.runner, fixture.site,
                       fixture.load, {});
  std::optional<CallAnswer> answer;
  frontend.Submit({"desk.example", std::string("/plans/") + kJob, "key-plaza",
                   fixture.runner.Now() + Duration(3'000)},
                  MakeJob(1, 1, false),
                  [&](const CallAnswer& it) { answer = it; });
  fixture.Run(Duration(2'850));
  REQUIRE(answer);
  CHECK(answer->outcome == CallOutcome::kOutcomeUnknown);
}

// Guards against a call that repeats its write as fast as connections break.
TEST_CASE("Writes on breaking connections are repeated at a bounded rate") {
  BatchFixture fixture;
  ResettingStore store(fixture.runner);
  JobFrontend frontend(store, fixture.runner, fixture.runner, fixture.site,
                       fixture.load, {});
  std::optional<CallAnswer> answer;
  frontend.Submit({"desk.example", std::string("/plans/") + kJob, "key-plaza",
                   fixture.runner.Now() + Duration(3'000)},
                  MakeJob(1, 1, false),
                  [&](const CallAnswer& it) { answer = it; });
  fixture.Run(Duration(3'000));
  REQUIRE(answer);
  CHECK(answer->outcome == CallOutcome::kOutcomeUnknown);
  CHECK(store.commits() <= 40);
}

// Guards against copies of a write that hide one another: a refusal of one says
// nothing about a copy without an answer.
TEST_CASE("A refused copy of a write without an answer is no refusal") {
  BatchFixture fixture;
  fixture.store.faults().late_commits = 1;
  fixture.store.faults().lateness = Duration(5'000);
  std::optional<CallAnswer> answer;
  fixture.frontend.Submit({"desk.example", std::string("/plans/") + kJob,
                           "key-plaza", fixture.runner.Now() + Duration(3'000)},
                          MakeJob(1, 1, false),
                          [&](const CallAnswer& it) { answer = it; });
  fixture.Run(Duration(100));
  fixture.store.faults().refuse = true;
  fixture.Run(Duration(1'000));
  CHECK_FALSE(answer);
  fixture.Run(Duration(2'000));
  REQUIRE(answer);
  CHECK(answer->outcome == CallOutcome::kOutcomeUnknown);
}

// Guards against leases that nobody renews, because the former leader was
// deposed and the new one cannot read what runs where.
TEST_CASE("Tasks outlive an outage of the store right after a hand-over") {
  LeaderFixture fixture;
  fixture.AddNode("n2");
  fixture.run_time = Duration(9'000);
  fixture.Submit(kJob, MakeJob(2, 8, true));
  fixture.Run(Duration(200));
  fixture.run_time = Duration(1'300);
  fixture.Submit(kLateJob, MakeJob(1, 8, false), "/holds/");
  fixture.Run(Duration(1'000));
  REQUIRE(fixture.workers.running() == 3);
  fixture.Resign(0);
  for (int n = 0; n < 100 && fixture.Leader() != 1; ++n)
    fixture.Run(Duration(10));
  REQUIRE(fixture.Leader() == 1);
  fixture.nodes[1].store->set_cut(true);
  // An end, which the former leader may not record any more.
  fixture.Run(Duration(600));
  fixture.store.faults().refuse = true;
  fixture.nodes[1].store->set_cut(false);
  fixture.Run(Duration(5'000));
  CHECK(fixture.workers.running() == 2);
  fixture.store.faults().refuse = false;
  CHECK(fixture.RunUntilFinal(kJob, kLong) == JobPhase::kComplete);
  CHECK(fixture.State(kLateJob).phase == JobPhase::kComplete);
  CHECK(fixture.workers.total_starts() == 3);
  CHECK(fixture.workers.violations().empty());
}

// Guards against a former leader that renews leases beyond the time after which
// its successor takes them for expired.
TEST_CASE("A former leader renews no lease that its successor cannot know") {
  LeaderFixture fixture(2, 1);
  fixture.AddNode("n2");
  fixture.run_time = Duration(40'000);
  fixture.Submit(kJob, MakeJob(1, 8, false));
  fixture.Run(Duration(1'000));
  const WorkerId holder = fixture.workers.HolderOf(Task(kJob, 0));
  fixture.nodes[1].workers->set_cut({holder});
  fixture.Resign(0);
  fixture.Run(Duration(20'000));
  REQUIRE(fixture.Leader() == 1);
  CHECK(fixture.workers.starts(Task(kJob, 0)) == 2);
  CHECK(fixture.workers.HolderOf(Task(kJob, 0)) != holder);
  CHECK(fixture.workers.violations().empty());
}

}  // namespace quetzalshelf::batch
