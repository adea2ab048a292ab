#include <algorithm>
#include <string>

#include <doctest/doctest.h>

#include "bench/deployments.h"
#include "bench/schedulers.h"

namespace quetzalshelf::bench {
namespace {

constexpr uint64_t kSeed = 7;
constexpr int kShorter = 5;  // Two hours of arrivals instead of ten.

Trace ShortTrace(const std::string& deployment) {
  return MakeTrace(Shorten(DeploymentSpecs(deployment).front(), kShorter),
                   kSeed, true);
}

// Guards against a policy that breaks a promise under faults.
TEST_CASE("The shape scheduler breaks no promise in short traces") {
  for (const char* deployment : {"solano", "viveiro"}) {
    CAPTURE(deployment);
    const Trace trace = ShortTrace(deployment);
    const RunResult run = RunTrace(trace, SchedulerKind::kShape);
    for (const std::string& it : run.findings) {
      MESSAGE(it);
    }
    CHECK(run.counts.guarantee_violations == 0);
    CHECK(run.counts.partial_gangs == 0);
    CHECK(run.counts.starts_in_out_domain == 0);
    CHECK(run.counts.duplicate_runs == 0);
    CHECK(run.counts.lost_jobs == 0);
    CHECK(run.moves.size() == 4);
  }
}

// Guards against a baseline that is worse than its policy makes it: it may
// miss shapes, but nothing else.
TEST_CASE("The naive scheduler is correct but for guarantees") {
  for (const char* deployment : {"solano", "viveiro"}) {
    CAPTURE(deployment);
    const RunResult run =
        RunTrace(ShortTrace(deployment), SchedulerKind::kNaive);
    CHECK(run.counts.partial_gangs == 0);
    CHECK(run.counts.starts_in_out_domain == 0);
    CHECK(run.counts.duplicate_runs == 0);
    CHECK(run.counts.lost_jobs == 0);
  }
}

// Guards against traces or runs that depend on anything but the seed.
TEST_CASE("A trace and its run repeat exactly") {
  const Trace a = ShortTrace("solano");
  const Trace b = ShortTrace("solano");
  REQUIRE(a.jobs.size() == b.jobs.size());
  REQUIRE(a.faults.size() == b.faults.size());
  for (size_t n = 0; n < a.jobs.size(); ++n) {
    REQUIRE(a.jobs[n].submit == b.jobs[n].submit);
    REQUIRE(a.jobs[n].run_time == b.jobs[n].run_time);
  }
  const RunResult first = RunTrace(a, SchedulerKind::kNaive);
  const RunResult second = RunTrace(b, SchedulerKind::kNaive);
  CHECK(first.events == second.events);
  CHECK(first.fragmentation.share_seconds() ==
        second.fragmentation.share_seconds());
  for (size_t n = 0; n < first.jobs.size(); ++n) {
    REQUIRE(first.jobs[n].completion_s == second.jobs[n].completion_s);
  }
}

// Guards against a trace without the faults and jobs that it must contain.
TEST_CASE("Traces contain every kind of fault and job") {
  const Trace trace = ShortTrace("viveiro");
  for (const FaultKind kind :
       {FaultKind::kWorkerDown, FaultKind::kWorkerUp, FaultKind::kWorkerBad,
        FaultKind::kDomainOut, FaultKind::kDomainIn, FaultKind::kCancel}) {
    CHECK(std::any_of(trace.faults.begin(), trace.faults.end(),
                      [&](const Fault& it) { return it.kind == kind; }));
  }
  const auto any = [&](auto predicate) {
    return std::any_of(trace.jobs.begin(), trace.jobs.end(), predicate);
  };
  CHECK(any([](const TraceJob& it) { return it.fails_always; }));
  CHECK(any([](const TraceJob& it) { return !it.runnable; }));
  CHECK(any([](const TraceJob& it) { return it.fails_once; }));
  CHECK(any([](const TraceJob& it) {
    return it.job.declared_run_time > 5 * it.run_time;
  }));
  CHECK(any([](const TraceJob& it) {
    return it.job.declared_run_time * 5 < it.run_time;
  }));
}

}  // namespace
}  // namespace quetzalshelf::bench
