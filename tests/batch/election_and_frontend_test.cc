// Leader election, and the answers of the job frontend to callers.

#include <doctest/doctest.h>

#include "servers/batch/state_writer.h"
#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

constexpr char kJob[] = "00000000000000a1";

int CountLeaders(const BatchFixture& fixture) {
  int leaders = 0;
  for (const BatchFixture::Node& it : fixture.nodes)
    leaders += it.lease && it.lease->is_leader() ? 1 : 0;
  return leaders;
}

CallerContext Caller(const BatchFixture& fixture,
                     const std::string& path,
                     const std::string& key) {
  return {"desk.example", path, key, fixture.runner.Now() + Duration(3'000)};
}

}  // namespace

TEST_CASE("One of several nodes leads") {
  BatchFixture fixture;
  for (const char* name : {"n1", "n2", "n3", "n4"})
    fixture.AddNode(name);
  fixture.Run(Duration(2'000));
  CHECK(CountLeaders(fixture) == 1);
}

TEST_CASE("A take-over that is written seconds late still makes one leader") {
  BatchFixture fixture;
  fixture.AddNode("n1");
  fixture.AddNode("n2");
  fixture.store.faults().late_commits = 2;
  fixture.Run(Duration(8'000));
  CHECK(CountLeaders(fixture) == 1);
}

// Guards against a takeover after a store outage, during which the leader could
// not send heartbeats either.
TEST_CASE("A store outage does not depose the leader") {
  BatchFixture fixture;
  fixture.AddNode("n1");
  fixture.AddNode("n2");
  fixture.Run(Duration(2'000));
  const int leader = fixture.Leader();
  const auto index = static_cast<size_t>(leader);
  const Epoch epoch = fixture.nodes[index].leadership->epoch();
  fixture.store.faults().refuse = true;
  fixture.Run(Duration(6'000));
  fixture.store.faults().refuse = false;
  fixture.Run(Duration(3'000));
  CHECK(fixture.Leader() == leader);
  CHECK(fixture.nodes[index].leadership->epoch() == epoch);
}

// Guards against repeated takeovers when a slow store delivers heartbeats late.
TEST_CASE("A slow store does not depose the leader") {
  BatchFixture fixture;
  fixture.AddNode("n1");
  fixture.AddNode("n2");
  fixture.Run(Duration(2'000));
  const int leader = fixture.Leader();
  fixture.store.set_answer_time(Duration(320));
  fixture.Run(Duration(8'000));
  CHECK(fixture.Leader() == leader);
}

TEST_CASE(
    "A small VM that led before its restart leaves that to a larger one") {
  BatchFixture fixture;
  fixture.AddNode("n1", 0.5);
  fixture.Run(Duration(1'500));
  fixture.AddNode("n2", 0.12);
  fixture.Run(Duration(500));
  fixture.Kill(0);
  fixture.Run(Duration(4'000));
  REQUIRE(fixture.Leader() == 1);
  SUBCASE("with a larger VM") {
    fixture.AddNode("n3", 0.5);
    fixture.Run(Duration(500));
    fixture.Kill(1);
    fixture.AddNode("n2", 0.12);
    fixture.Run(Duration(150));
    CHECK(fixture.Leader() == 2);
  }
  SUBCASE("alone") {
    fixture.Kill(1);
    fixture.AddNode("n2", 0.12);
    fixture.Run(Duration(300));
    CHECK(fixture.Leader() == 2);
  }
}

// Guards against waiting for the silence of a leader whose own node has
// started again, as after a loss of power of all nodes.
TEST_CASE("A node that led before its restart leads again at once") {
  BatchFixture fixture;
  fixture.AddNode("n1");
  fixture.Run(Duration(1'000));
  REQUIRE(fixture.Leader() == 0);
  fixture.Kill(0);
  fixture.AddNode("n2");
  fixture.AddNode("n1");
  fixture.Run(Duration(200));
  CHECK(fixture.Leader() == 2);
}

// Guards against a process that ends because of one row of another writer, and
// then again at each start.
TEST_CASE("Control rows with wrong types end neither node nor election") {
  BatchFixture fixture;
  fixture.AddNode("n1");
  fixture.AddNode("n2");
  fixture.Run(Duration(1'000));
  SUBCASE("epoch row") {
    fixture.store.Put(EpochRowKey(), R"({"epoch":"seven","node":3})");
  }
  SUBCASE("epoch row without structure") {
    fixture.store.Put(EpochRowKey(), "[1,");
  }
  SUBCASE("heartbeat row") {
    fixture.store.Put(HeartbeatRowKey(), R"({"released":"no","report":[1]})");
  }
  fixture.Run(Duration(4'000));
  CHECK(CountLeaders(fixture) == 1);
  fixture.Submit(kJob, MakeJob(1, 1, false));
  CHECK(fixture.RunUntilFinal(kJob, Duration(30'000)) == JobPhase::kComplete);
}

// Guards against a process that ends because of such a report, and against a
// count that it does not hold.
TEST_CASE("A load report with wrong types is not used") {
  const TimePoint now{Duration(1'000)};
  StoreClock store_clock;
  store_clock.Observe(StoreTime(Duration(7)), now, now);
  LoadView load(store_clock);
  for (const char* const text :
       {"", "not json", "[1,",
        R"({"as_of_ms":7,"queues":{"plans":{"pending":"many"},"holds":4}})",
        R"({"as_of_ms":7,"queues":{"plans":{}}})", R"({"as_of_ms":7})",
        R"({"as_of_ms":"7","queues":{"plans":{"pending":1}}})",
        R"({"queues":{"plans":{"pending":1}}})",
        R"({"plans":{"pending":1}})"}) {
    CAPTURE(text);
    load.Update(text, now);
    CHECK_FALSE(load.Find(QueueName("plans"), now));
    CHECK_FALSE(load.Find(QueueName("holds"), now));
  }
}

// Guards against a job that is accepted although the leader can never run it.
TEST_CASE("Jobs that could never run are rejected at once") {
  BatchFixture fixture;
  JobSpec spec = MakeJob(1, 1, false);
  SUBCASE("negative estimate") {
    spec.steps[0].estimate = Duration(-5);
  }
  SUBCASE("estimate beyond the range of a row") {
    spec.steps[0].estimate = Duration(int64_t{1} << 50);
  }
  SUBCASE("more tasks than a state row holds") {
    spec.steps[0].tasks = 5'000;
  }
  SUBCASE("more occurrences than the leader keeps") {
    spec.recurrence.occurrences = 90'000;
  }
  SUBCASE("payload beyond the limit") {
    spec.payload = std::string(70'000, 'x');
  }
  const CallAnswer answer = fixture.Submit(kJob, spec);
  CHECK(answer.outcome == CallOutcome::kBadRequest);
  CHECK_FALSE(answer.detail.empty());
  CHECK_FALSE(fixture.store.Find(JobRowKey(JobId(kJob))));
}

TEST_CASE("A job sent again is one job") {
  BatchFixture fixture;
  CHECK(fixture.Submit(kJob, MakeJob(1, 1, false)).outcome ==
        CallOutcome::kAccepted);
  CHECK(fixture.Submit(kJob, MakeJob(1, 1, false)).outcome ==
        CallOutcome::kAccepted);
  CHECK(fixture.State(kJob).phase == JobPhase::kQueued);
}

TEST_CASE("Another workspace neither sees nor takes the id of a job") {
  BatchFixture fixture;
  fixture.Submit(kJob, MakeJob(1, 1, false));
  const CallerContext other =
      Caller(fixture, std::string("/plans/") + kJob, "key-parque");
  std::vector<CallOutcome> outcomes;
  const auto note = [&](const CallAnswer& it) {
    outcomes.push_back(it.outcome);
  };
  fixture.frontend.Submit(other, MakeJob(1, 1, false), note);
  fixture.frontend.State(other, note);
  fixture.frontend.Cancel(other, note);
  fixture.Run(Duration(100));
  CHECK(outcomes == std::vector<CallOutcome>{CallOutcome::kConflict,
                                             CallOutcome::kNoSuchJob,
                                             CallOutcome::kNoSuchJob});
}

TEST_CASE("Calls are refused for the first reason that applies") {
  BatchFixture fixture;
  const TimePoint now = fixture.runner.Now();
  const auto refusal = [&](const std::string& path, const std::string& key) {
    const auto route =
        fixture.frontend.FindRoute(Caller(fixture, path, key), now);
    CHECK(route.queue == nullptr);
    return route.refusal.outcome;
  };
  CHECK(refusal("/nowhere/x", "key-plaza") == CallOutcome::kNoSuchQueue);
  CHECK(refusal("/plans/x", "") == CallOutcome::kUnknownKey);
  CHECK(refusal("/plans/x", "key-old") == CallOutcome::kUnknownKey);
  CHECK(fixture.Submit("not-an-id", MakeJob(1, 1, false)).outcome ==
        CallOutcome::kBadRequest);
  CHECK(fixture.State("00000000000000ff").outcome == CallOutcome::kNoSuchJob);
}

// Guards against accepting a key that was revoked while the node was
// partitioned from the store.
TEST_CASE("A node that cannot confirm its configuration refuses keys") {
  BatchFixture fixture;
  fixture.store.faults().refuse = true;
  fixture.runner.Advance(Duration(2'900));
  CHECK_FALSE(fixture.frontend.IsReady(fixture.runner.Now()));
  const auto route = fixture.frontend.FindRoute(
      Caller(fixture, "/plans/x", "key-plaza"), fixture.runner.Now());
  CHECK(route.refusal.outcome == CallOutcome::kNotReady);
  CHECK(route.refusal.retry_after > Duration(0));
}

// Guards against refusing a submission whose write may still take effect.
TEST_CASE("A write without an answer is never called refused") {
  BatchFixture fixture;
  fixture.store.faults().late_commits = 1;
  fixture.store.faults().lateness = Duration(5'000);
  std::optional<CallAnswer> answer;
  fixture.frontend.Submit(
      Caller(fixture, std::string("/plans/") + kJob, "key-plaza"),
      MakeJob(1, 1, false), [&](const CallAnswer& it) { answer = it; });
  // Before the write is tried again.
  fixture.Run(Duration(200));
  fixture.store.faults().refuse = true;
  fixture.Run(Duration(3'000));
  REQUIRE(answer);
  CHECK(answer->outcome == CallOutcome::kOutcomeUnknown);
}

TEST_CASE("A refusal by the store is final and quick") {
  BatchFixture fixture;
  fixture.store.faults().refuse = true;
  std::optional<CallAnswer> answer;
  fixture.frontend.Submit(
      Caller(fixture, std::string("/plans/") + kJob, "key-plaza"),
      MakeJob(1, 1, false), [&](const CallAnswer& it) { answer = it; });
  fixture.Run(Duration(20));
  REQUIRE(answer);
  CHECK(answer->outcome == CallOutcome::kNotReady);
  CHECK_FALSE(fixture.store.Find(JobRowKey(JobId(kJob))));
}

// Guards against reporting a job as running to a caller that asks right after
// its last task has ended; the caller may not ask again for a long time.
TEST_CASE("A state that becomes final while it is read is told as final") {
  BatchFixture fixture;
  fixture.Submit(kJob, MakeJob(1, 1, false));
  const auto state = [](const char* phase) {
    return std::string(R"({"workspace":"plaza","tasks":[],"phase":")") + phase +
           "\"}";
  };
  fixture.store.Put(StateRowKey(JobId(kJob)), state("running"));
  std::optional<CallAnswer> answer;
  fixture.frontend.State(
      Caller(fixture, std::string("/plans/") + kJob, "key-plaza"),
      [&](const CallAnswer& it) { answer = it; });
  fixture.Run(Duration(20));
  CHECK_FALSE(answer);
  fixture.store.Put(StateRowKey(JobId(kJob)), state("complete"));
  fixture.Run(Duration(60));
  REQUIRE(answer);
  CHECK(answer->phase == JobPhase::kComplete);
}

TEST_CASE("A job that goes on running is told so within a tenth of a second") {
  BatchFixture fixture;
  fixture.AddNode("n1");
  fixture.Run(Duration(1'000));
  fixture.Submit(kJob, MakeJob(1, 1, false));
  fixture.Run(Duration(100));
  std::optional<CallAnswer> answer;
  fixture.frontend.State(
      Caller(fixture, std::string("/plans/") + kJob, "key-plaza"),
      [&](const CallAnswer& it) { answer = it; });
  fixture.Run(Duration(100));
  REQUIRE(answer);
  CHECK(answer->phase == JobPhase::kRunning);
}

TEST_CASE("An older configuration never replaces a newer one") {
  BatchFixture fixture;
  SiteConfig config = MakeSite();
  config.version = 9;
  fixture.site.SetConfig(config);
  config.version = 5;
  config.queues.clear();
  fixture.site.SetConfig(config);
  CHECK(fixture.site.config()->version == 9);
  CHECK(fixture.site.config()->queues.size() == 3);
}

TEST_CASE("Pending counts are those of jobs without a started task") {
  BatchFixture fixture;
  fixture.AddNode("n1");
  fixture.Run(Duration(2'000));
  fixture.site.SetEvacuated(DomainId("cartago"), true);
  fixture.Submit(kJob, MakeJob(1, 1, false));
  fixture.Run(Duration(1'000));
  const TimePoint now = fixture.runner.Now();
  std::optional<LoadReport> report = fixture.DispatcherOf(0)->Report(now);
  REQUIRE(report);
  report->as_of = StoreTime(Duration(7));
  fixture.store_clock.Observe(report->as_of, now, now);
  fixture.load.Update(EncodeLoadReport(*report), now);
  CHECK(fixture.load.Find(QueueName("plans"), now)->pending == 1);
  CHECK(fixture.load.Find(QueueName("holds"), now)->pending == 0);
}

// A deposed leader's writes must not change what its successor relies on.
TEST_CASE("States of a deposed leader are refused by the store") {
  ManualTaskRunner runner;
  MemoryVersionedStore store(runner, Duration(1));
  store.Put(EpochRowKey(), "{}");
  const FencingToken fencing_token{Epoch(1),
                                   store.Find(EpochRowKey())->version};
  bool fenced = false;
  StateWriter writer(
      store, runner, fencing_token,
      [](const JobId&) {
        return StateRow{"state", RowVersion(0), 1};
      },
      [](const JobId&, uint64_t, RowVersion) {}, [&] { fenced = true; },
      [] { return std::nullopt; }, 1);
  store.Put(EpochRowKey(), "{\"epoch\":2}");
  writer.MarkDirty(JobId(kJob), WriteUrgency::kNow, runner.Now());
  writer.Pump(runner.Now());
  runner.Advance(Duration(10));
  CHECK(fenced);
  CHECK_FALSE(store.Find(StateRowKey(JobId(kJob))));
}

}  // namespace quetzalshelf::batch
