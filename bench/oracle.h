// Independent bookkeeping of every command and event. Counts what must never
// happen; shares no code with any scheduler.

#ifndef BENCH_ORACLE_H_
#define BENCH_ORACLE_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/guarantee_watch.h"
#include "core/ids.h"
#include "core/time.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::bench {

// Each must be 0. The definitions are in docs/MEASUREMENTS.md.
struct FaultCounts {
  int64_t guarantee_violations = 0;
  int64_t partial_gangs = 0;
  int64_t starts_in_out_domain = 0;
  int64_t duplicate_runs = 0;
  int64_t lost_jobs = 0;

  int64_t Total() const;
  FaultCounts& operator+=(const FaultCounts& other);
};

struct OracleLimits {
  Duration start_latency{2'000};     // Longest start of a gang.
  Duration start_timeout{2'000};     // A gang may be incomplete for so long.
  Duration domain_out_limit{5'000};  // From a domain's exit to the last start.
};

// Commands are reported when they are given, events before the scheduler is
// told. `now` never decreases.
class Oracle {
 public:
  // What the scheduler says of a running gang: whether it is charged to its
  // workspace's guarantees now.
  using ChargeClaim = std::function<bool(const JobId&)>;

  // A claim counts only where the guarantees cover the gang. Without `claim`
  // the flag of the start holds.
  Oracle(const std::vector<scheduling::Workspace>& workspaces,
         const OracleLimits& limits,
         ChargeClaim claim = nullptr);

  void WorkerUp(const scheduling::Worker& worker, TimePoint now);
  void WorkerDown(const WorkerId& worker, TimePoint now);
  // A worker that fails every task; it holds no guarantee meanwhile.
  void WorkerBad(const WorkerId& worker, bool bad, TimePoint now);
  void DomainInService(const DomainId& domain, bool in, TimePoint now);

  // Whether a job is runnable is known from the trace.
  void Submitted(const scheduling::Job& job, bool runnable, TimePoint now);
  void Cancelled(const JobId& job, TimePoint now);
  void Commanded(const scheduling::Command& command, TimePoint now);
  void Started(const JobId& job, Attempt attempt, TimePoint now);
  void StartFailed(const JobId& job, Attempt attempt, TimePoint now);
  void Finished(const JobId& job, Attempt attempt, TimePoint now);
  void TaskFailed(const JobId& job,
                  Attempt attempt,
                  const WorkerId& worker,
                  TimePoint now);
  void Stopped(const JobId& job, Attempt attempt, TimePoint now);

  // Checks what is due; call about every second, after the scheduler's tick.
  void Check(TimePoint now);
  // Counts the jobs without an outcome.
  void End(TimePoint now);

  const FaultCounts& counts() const { return counts_; }
  // A sentence for each of the first faults found.
  const std::vector<std::string>& findings() const { return findings_; }

 private:
  enum class Phase { kWaiting, kStarting, kRunning, kStopping, kEnded };
  struct JobState {
    scheduling::Job job;
    Phase phase = Phase::kWaiting;
    bool runnable = true;
    bool closed = false;  // Cancelled or refused: must not start any more.
    Attempt attempt;
    scheduling::Placement placement;
    int failures = 0;
    std::set<WorkerId> failed_on;
    bool guaranteed = false;  // The running attempt is charged so.
    // Set when a worker of the gang is gone and nobody stopped the rest.
    bool incomplete = false;
    TimePoint incomplete_since;
  };
  struct WorkerState {
    scheduling::Worker worker;
    bool up = false;
    bool bad = false;
    Resources used;
    Resources guaranteed_used;
  };

  void OnStart(const scheduling::StartGang& start, TimePoint now);
  void OnStop(const scheduling::StopGang& stop);
  void OnRefuse(const scheduling::RefuseJob& refuse, TimePoint now);
  void CheckMayStart(JobState& state,
                     const scheduling::StartGang& start,
                     TimePoint now);
  // Whether the refusal of a job that could run is wrong.
  bool WrongRefusal(const JobState& state,
                    scheduling::RefusalReason reason) const;
  void CheckPlacement(const JobState& state,
                      const scheduling::StartGang& start,
                      TimePoint now);
  void CheckCapacity(const JobState& state, TimePoint now);
  bool Adjacent(const JobState& state,
                const scheduling::Placement& placement) const;
  void CheckDomains(const JobState& state, TimePoint now, Duration limit);
  void Hold(JobState& state, const scheduling::StartGang& start);
  void Release(JobState& state);
  void EndAttempt(JobState& state, TimePoint now);
  void Wait(JobState& state, TimePoint now);
  void Close(JobState& state);
  void CheckIncomplete(TimePoint now);
  static bool AllGone(const JobState& state);
  JobState* FindHeld(const JobId& job, Attempt attempt);

  // Of every task that is left.
  std::vector<const scheduling::Worker*> WorkersOf(
      const scheduling::Placement& placement) const;
  void SyncCharges(const WorkspaceId& workspace);
  void CountViolation(const GuaranteeViolation& violation, TimePoint now);
  GuaranteeWatch::Space SpaceForGuarantees() const;
  void Report(int64_t& count, TimePoint now, const std::string& text);

  OracleLimits limits_;
  ChargeClaim claim_;
  FaultCounts counts_;
  std::vector<std::string> findings_;
  GuaranteeWatch guarantees_;
  std::map<WorkerId, WorkerState> workers_;
  std::unordered_map<JobId, JobState> jobs_;
  std::map<JobId, JobState*> held_;
  std::map<DomainId, TimePoint> out_domains_;  // With the time of the exit.
};

}  // namespace quetzalshelf::bench

#endif  // BENCH_ORACLE_H_
