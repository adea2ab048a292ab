// Discrete-event loop that feeds a scheduler one trace. Workers are only
// capacity, latency and failures.

#ifndef BENCH_DRIVER_H_
#define BENCH_DRIVER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/measures.h"
#include "bench/oracle.h"
#include "bench/trace.h"
#include "bench/worker_pool.h"
#include "core/random.h"
#include "servers/scheduling/gang_scheduler.h"

namespace quetzalshelf::bench {

struct DriverOptions {
  // Whether a gang that starts again continues from its last checkpoint.
  bool resume_from_checkpoint = true;
};

enum class Outcome { kNone, kFinished, kCancelled, kRefused };

struct JobResult {
  Outcome outcome = Outcome::kNone;
  double completion_s = 0;  // From acceptance; set when finished.
  int starts = 0;
};

struct RunResult {
  std::vector<JobResult> jobs;  // In the order of the trace.
  FaultCounts counts;
  std::vector<std::string> findings;
  FragmentationMeter fragmentation;
  std::vector<WorkInterval> work;
  std::vector<MoveWindow> moves;
  int64_t events = 0;
  int64_t ticks = 0;
  int64_t most_tasks_running = 0;
  double redone_accelerator_seconds = 0;
  double scheduler_cpu_s = 0;
  TimePoint end;
};

// Range of a latency, uniform.
struct LatencyRange {
  Duration min;
  Duration max;
};

class Driver {
 public:
  Driver(const Trace& trace,
         scheduling::GangScheduler& scheduler,
         const DriverOptions& options);

  RunResult Run();

 private:
  // A start that does not complete fails after that time.
  static constexpr Duration kStartTimeout{2'000};

  enum class EventKind {
    kSubmit,
    kFault,
    kTick,
    kStarted,
    kStartTimeout,
    kTaskFailed,
    kFinished,
    kCheckpointSaved,
    kSelfCheckpoint,
    kStopped,
    kUsage,
    kWorkerLost,
    kDomainDown,
  };
  struct Event {
    TimePoint at;
    uint64_t order = 0;  // Events of the same time come in order of creation.
    EventKind kind = EventKind::kTick;
    size_t index = 0;      // Job, fault or worker.
    Attempt attempt;       // Of gang events.
    uint64_t version = 0;  // Of the gang's speed, or the worker's absence.
    Duration progress{0};  // Of checkpoints.
    size_t worker = 0;     // Of task failures.
  };
  struct Later {
    bool operator()(const Event& a, const Event& b) const {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };
  // kBroken: no progress; the scheduler has not stopped the gang yet.
  enum class Phase { kIdle, kStarting, kRunning, kBroken, kStopping, kEnded };
  struct Gang {
    Phase phase = Phase::kIdle;
    Attempt attempt;
    std::vector<size_t> placement;  // Worker indices.
    uint64_t version = 0;           // Changes with the speed.
    TimePoint since;                // `progress` was valid then.
    Duration progress{0};           // Of this attempt.
    Duration checkpoint{0};         // The last one saved.
    Duration best{0};               // Most progress ever made.
    int throttle = 100;             // Percent, as commanded.
    int speed_percent = 100;        // Of the speed at the declared size.
    size_t refused_by = 0;          // The worker that made a start fail.
    bool failed_once = false;
    Outcome closing = Outcome::kNone;  // Set once the job must end.
  };

  // Adds what the scheduler says about jobs without an outcome.
  void ExplainOpenJobs();
  void Push(Event event);
  void PushGang(EventKind kind, size_t job, Duration delay);
  bool Valid(const Event& event) const;
  void Dispatch(const Event& event);

  void OnSubmit(const Event& event);
  void OnFault(const Event& event);
  void OnTick(const Event& event);
  void OnStarted(const Event& event);
  void OnStartTimeout(const Event& event);
  void OnTaskFailed(const Event& event);
  void OnFinished(const Event& event);
  void OnCheckpointSaved(const Event& event);
  void OnSelfCheckpoint(const Event& event);
  void OnStopped(const Event& event);
  void OnUsage(const Event& event);
  void OnWorkerLost(const Event& event);
  void OnDomainDown(const Event& event);

  // Faults (driver_faults.cc).
  void CancelJob(size_t job);
  void BreakWorker(size_t worker, WorkerPool::Cause cause);
  void RepairWorker(size_t worker, WorkerPool::Cause cause);
  void TellLost(size_t worker);
  void SetBad(size_t worker, bool bad);
  void TakeDomainOut(size_t fault);
  void BringDomainBack(const DomainId& domain);
  void SetDomain(const DomainId& domain, bool in_service);

  // Calls the scheduler and carries out its commands.
  void Tell(const std::function<scheduling::Commands()>& call);
  void Apply(const scheduling::StartGang& start);
  void Apply(const scheduling::StopGang& stop);
  void Apply(const scheduling::CheckpointGang& checkpoint);
  void Apply(const scheduling::ThrottleGang& throttle);
  void Apply(const scheduling::RefuseJob& refuse);

  std::optional<size_t> FindHeld(const JobId& id, Attempt attempt) const;
  void StartCheckpoint(size_t job);
  void SetThrottle(size_t job, int percent);
  void ScheduleEnd(size_t job);
  void ScheduleFailure(size_t job);
  // Brings the progress of a running gang up to now and books its work.
  void Advance(size_t job);
  void Break(size_t job);
  void Release(size_t job);
  void CloseJob(size_t job, Outcome outcome);
  void EndJob(size_t job, Outcome outcome);
  Duration Latency(size_t job, uint64_t salt, const LatencyRange& range);
  void SampleFragmentation();

  const Trace& trace_;
  scheduling::GangScheduler& scheduler_;
  DriverOptions options_;
  Oracle oracle_;
  WorkerPool workers_;
  std::vector<Gang> gangs_;  // By job.
  RunResult result_;
  TimePoint now_;
  uint64_t next_order_ = 1;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::unordered_map<JobId, size_t> job_index_;
  std::set<size_t> waiting_;  // Accepted jobs that hold nothing.
  size_t open_jobs_ = 0;      // Without an outcome.
  int64_t running_tasks_ = 0;
};

}  // namespace quetzalshelf::bench

#endif  // BENCH_DRIVER_H_
