// Tests of nodes whose link to the store is narrow.

#include <doctest/doctest.h>

#include <string>

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
    const TimePoint led = runner.Now();
    while (runner.Now() < led + limit &&
           !(DispatcherOf(node) &&
             DispatcherOf(node)->Status(runner.Now()).may_start))
      Run(Duration(10));
    return runner.Now() - led;
  }
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

}  // namespace quetzalshelf::batch
