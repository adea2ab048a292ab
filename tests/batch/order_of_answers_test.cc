// Answers of a worker that arrive out of order within one tick of the clock.

#include <doctest/doctest.h>

#include <deque>

#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

namespace {

// Keeps every order until the test answers it.
class ScriptedPort : public WorkerPort {
 public:
  void Start(const WorkerEntry&,
             const StartOrder& order,
             Duration,
             OrderCallback done) override {
    starts.emplace_back(order, std::move(done));
  }
  void Stop(const WorkerEntry&,
            const StopOrder&,
            Duration,
            OrderCallback done) override {
    stops.push_back(std::move(done));
  }
  void Sync(const WorkerEntry&,
            const SyncRequest& request,
            Duration,
            SyncCallback done) override {
    syncs.emplace_back(request, std::move(done));
  }

  // Answers the oldest sync with the given runs.
  void AnswerSync(std::vector<ListedRun> runs, int64_t clock_ms) {
    const SyncCallback done = std::move(syncs.front().second);
    syncs.pop_front();
    SyncReply reply;
    reply.clock_ms = clock_ms;
    reply.runs = std::move(runs);
    done(reply);
  }

  std::deque<std::pair<StartOrder, OrderCallback>> starts;
  std::deque<OrderCallback> stops;
  std::deque<std::pair<SyncRequest, SyncCallback>> syncs;
};

}  // namespace

// Guards against taking a run for lost because a sync that was sent before the
// start was confirmed, but in the same millisecond, does not list it.
TEST_CASE("A sync sent before a start was confirmed does not end its run") {
  ManualTaskRunner runner;
  MemoryVersionedStore store(runner, Duration(1));
  ScriptedPort port;
  SiteView site;
  MetricsRegistry metrics;
  site.SetConfig(MakeSite());
  store.Put(EpochRowKey(), "{}");
  const FencingToken fencing_token{Epoch(1),
                                   store.Find(EpochRowKey())->version};
  Dispatcher dispatcher(
      store, port, runner, site, metrics, fencing_token,
      [](const std::string&) {}, [] { return std::nullopt; }, {}, 1);
  const auto run = [&](Duration duration) {
    for (Duration passed{0}; passed < duration; passed += Duration(1)) {
      site.Confirm(runner.Now());
      dispatcher.ConfirmWorkers(runner.Now());
      dispatcher.Tick(runner.Now());
      runner.Advance(Duration(1));
    }
  };
  run(Duration(20));
  dispatcher.OnWorkers({MakeWorker("w1", "r1-0")}, runner.Now());
  run(Duration(5));
  REQUIRE(port.syncs.size() == 1);
  port.AnswerSync({}, ToMillis(runner.Now()));

  const StoreClock store_clock;
  LoadView load(store_clock);
  JobFrontend frontend(store, runner, runner, site, load, {});
  frontend.Submit({"desk.example", "/plans/00000000000000a1", "key-plaza",
                   runner.Now() + Duration(3'000)},
                  MakeJob(1, 1, false), [](const CallAnswer&) {});
  run(Duration(50));
  REQUIRE(port.starts.size() == 1);
  run(Duration(5));
  REQUIRE(port.syncs.size() == 1);  // Sent before the start is confirmed.

  const auto [order, confirm] = std::move(port.starts.front());
  port.starts.clear();
  confirm(OrderReply{.clock_ms = ToMillis(runner.Now())});
  port.AnswerSync({}, ToMillis(runner.Now()));
  run(Duration(100));
  CHECK(port.starts.empty());

  // A sync that was sent afterwards counts.
  REQUIRE_FALSE(port.syncs.empty());
  port.AnswerSync({}, ToMillis(runner.Now()));
  run(Duration(100));
  REQUIRE(port.starts.size() == 1);
  CHECK(port.starts.front().first.attempt == Attempt(2));
}

}  // namespace quetzalshelf::batch
