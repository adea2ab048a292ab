// Seeded traces: workers, workspaces, jobs and faults of one deployment.

#ifndef BENCH_TRACE_H_
#define BENCH_TRACE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::bench {

using scheduling::Adjacency;
using scheduling::Job;
using scheduling::Shape;
using scheduling::Urgency;
using scheduling::Worker;
using scheduling::Workspace;

// A job with what only the trace knows about it.
struct TraceJob {
  Job job;
  TimePoint submit;
  Duration run_time{0};  // Actual, with the declared size.
  bool runnable = true;  // False: it never fits or fails in every attempt.
  bool fails_always = false;
  bool fails_once = false;  // One task fails once, after `fail_after`.
  Duration fail_after{0};
  double use_factor = 1;  // Reported use relative to the declared size.
};

enum class FaultKind {
  kWorkerDown,
  kWorkerUp,
  kWorkerBad,  // Fails every task from now on.
  kWorkerGood,
  kDomainOut,
  kDomainIn,
  kCancel,
};

struct Fault {
  TimePoint at;
  FaultKind kind = FaultKind::kCancel;
  size_t index = 0;  // Of the worker or the job.
  DomainId domain;   // For kDomainOut and kDomainIn.
};

// The workers and jobs that one scheduler instance serves.
struct Trace {
  std::string name;
  uint64_t seed = 0;
  std::vector<Workspace> workspaces;
  std::vector<Worker> workers;
  std::vector<TraceJob> jobs;  // Ascending by `submit`.
  std::vector<Fault> faults;   // Ascending by `at`.
  double offered_load = 0;     // Relative to all workers while jobs arrive.
  TimePoint last_arrival;
  TimePoint drain_end;  // A job without an outcome by then is lost.
  // Workers of a domain stop so long after it was taken out.
  Duration domain_notice{0};
  // A start that was commanded before a domain went out may complete so much
  // later.
  Duration domain_out_limit{5'000};
};

// One kind of work within a deployment.
struct JobKind {
  std::string name;
  double share = 0;  // Of the offered accelerator-seconds.
  Urgency urgency = Urgency::kNormal;
  double urgent_chance = 0;  // Share of jobs that are urgent instead.
  bool can_checkpoint = true;
  Duration min_run_time{0};  // Run times are log-uniform in between.
  Duration max_run_time{0};
  std::vector<Shape> shapes;            // Chosen with equal chance.
  std::vector<WorkspaceId> workspaces;  // Chosen with equal chance.
};

// From what a trace is drawn.
struct TraceSpec {
  std::string name;
  std::vector<Workspace> workspaces;
  std::vector<Worker> workers;
  std::vector<DomainId> domains;
  std::vector<JobKind> kinds;  // The first one has the large gangs.
  Duration arrivals{0};        // Length of the period of arrivals.
  Duration drain{0};
  // Run times are scaled so that the whole trace offers that load; 0 leaves
  // them.
  double offered_load = 0;
  double base_load = 0.8;   // Offered relative to all accelerators.
  double burst_load = 1.1;  // In bursts.
  Duration burst_every{0};
  Duration burst_length{0};
  int burst_jobs = 0;  // Arrive at the same moment when a burst begins.
  double burst_large_share = 0.1;  // Of them, of the first kind.
  Duration domain_out_length{0};
  // Workers of a domain stop that long after it was taken out.
  Duration domain_notice{0};
  Duration worker_failure_every{0};
  Duration domain_out_limit{5'000};
  // Share of all accelerators that gangs occupy from the start.
  double initial_load = 0;
};

Trace MakeTrace(const TraceSpec& spec, uint64_t seed, bool with_faults);

// Total accelerators of a gang.
int64_t GangAccelerators(const Job& job);

}  // namespace quetzalshelf::bench

#endif  // BENCH_TRACE_H_
