#include <doctest/doctest.h>

#include "bench/measures.h"

namespace quetzalshelf::bench {
namespace {

using scheduling::Adjacency;
using scheduling::Worker;

Resources Make(int64_t accelerators) {
  return {Accelerators(accelerators), MilliCores(0), Mebibytes(0)};
}

Worker MakeWorker(const std::string& id, const std::string& rack) {
  return {WorkerId(id), DomainId("north"), RackId(rack), Make(8)};
}

// Guards against counting free accelerators as usable where only a part of a
// gang fits, or more of them than a gang can take.
TEST_CASE("Free accelerators are usable by whole adjacent gangs only") {
  const Worker a = MakeWorker("a", "1");
  const Worker b = MakeWorker("b", "1");
  const Worker c = MakeWorker("c", "2");
  const std::vector<FreeWorker> workers = {
      {&a, Make(4)}, {&c, Make(7)}, {&b, Make(5)}};
  const auto stranded = [&](int tasks, int64_t each, Adjacency adjacency) {
    return MeasureFreeSpace(workers, {{tasks, Make(each), adjacency}}).stranded;
  };
  CHECK(MeasureFreeSpace(workers, {}).free == 16);
  // Two tasks of 4 fit in rack 1; c has room for one task only.
  CHECK(stranded(2, 4, Adjacency::kRack) == 8);
  // With any adjacency c can hold one of the tasks.
  CHECK(stranded(2, 4, Adjacency::kDomain) == 4);
  CHECK(stranded(4, 4, Adjacency::kRegion) == 16);
  CHECK(stranded(2, 3, Adjacency::kWorker) == 10);
  // The shape that can use most of a worker counts.
  CHECK(MeasureFreeSpace(workers, {{2, Make(3), Adjacency::kWorker},
                                   {1, Make(5), Adjacency::kWorker}})
            .stranded == 5);
}

// Guards against a move that counts work outside its window or work of jobs
// that came to nothing.
TEST_CASE("Work during a move is cut to the window") {
  const std::vector<WorkInterval> work = {
      {0, FromMillis(0), FromMillis(10'000), 100},
      {1, FromMillis(0), FromMillis(10'000), 100}};
  const std::vector<MoveWindow> windows = {
      {FromMillis(8'000), FromMillis(20'000)}};
  CHECK(WorkInWindows(work, windows, {true, false}) == doctest::Approx(20));
  CHECK(WorkInWindows(work, windows, {true, true}) == doctest::Approx(40));
}

// Guards against a percentile that is off by one.
TEST_CASE("Percentile is the smallest value that covers the share") {
  std::vector<double> values;
  for (int n = 1; n <= 100; ++n) {
    values.push_back(n);
  }
  CHECK(Percentile(values, 0.99) == 99);
  CHECK(Percentile(values, 0.5) == 50);
  CHECK(Percentile({5}, 0.99) == 5);
  CHECK(Mean(values) == doctest::Approx(50.5));
}

}  // namespace
}  // namespace quetzalshelf::bench
