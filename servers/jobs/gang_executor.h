// Carries out the commands of the decision core and tells it what happened.

#ifndef SERVERS_JOBS_GANG_EXECUTOR_H_
#define SERVERS_JOBS_GANG_EXECUTOR_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/event_log.h"
#include "core/ids.h"
#include "core/platform/worker_port.h"
#include "core/time.h"
#include "servers/cluster/shard_ownership.h"
#include "servers/jobs/domain_watch.h"
#include "servers/jobs/gang_run.h"
#include "servers/jobs/job_rows.h"
#include "servers/jobs/result_publisher.h"
#include "servers/jobs/worker_pool.h"
#include "servers/scheduling/gang_scheduler.h"

namespace quetzalshelf::jobs {

// What the executor works on; everything must outlive it.
struct GangExecutorDeps {
  scheduling::GangScheduler& scheduler;
  JobRows& rows;
  WorkerPool& pool;
  DomainWatch& domains;
  ResultPublisher& publisher;
  WorkerPort& port;
  const Clock& clock;
  const cluster::ShardOwnership& ownership;
  EventLog* log = nullptr;  // May be null.
};

// Owns the attempts under way. Attempts are numbered by the job row; the
// numbers of the decision core, which start again with each owner, are kept
// next to them.
class GangExecutor : public GangRun::Delegate {
 public:
  // `on_fenced` is called when a worker has seen a higher epoch. Workers
  // without a session count as gone from `unlisted_gone` on.
  GangExecutor(GangExecutorDeps deps,
               std::function<void()> on_fenced,
               TimePoint unlisted_gone,
               GangRunOptions options);
  ~GangExecutor() override;

  void Apply(scheduling::Commands commands, TimePoint now);
  void Tick(TimePoint now);

  // Recovery: collects reports on the attempt that the row names.
  void Recover(const JobRecord& record);
  // Whether every worker of a recovered attempt has answered.
  bool AnsweredEverywhere(const JobId& job) const;
  // Ends the recovery: adopts what runs whole, stops the rest, and submits the
  // waiting jobs in the order of their acceptance. `commands` are those that
  // the scheduler gave before.
  void Settle(scheduling::Commands commands, TimePoint now);

  // Hands a committed job to the decision core.
  void Submit(const JobId& job, TimePoint now);
  void Cancel(const JobId& job, TimePoint now);

  bool Accounts(const GangKey& gang, const WorkerId& worker) const;
  void OnWorkerDown(const WorkerId& worker, TimePoint now);
  void OnReport(const WorkerId& worker, const TaskReport& report);
  void OnReportsDone(TimePoint now);

  size_t runs() const { return runs_.size(); }

  // GangRun::Delegate:
  WorkerSession* FindSession(const WorkerId& worker) override;
  bool IsGone(const WorkerId& worker, TimePoint now) override;
  void OnGangRunning(const GangKey& gang) override;
  void OnGangEnded(const GangKey& gang, GangRun::End end) override;
  void OnTaskFailed(const GangKey& gang, const WorkerId& worker) override;
  void OnCheckpoint(const GangKey& gang, Duration progress) override;
  void OnUsage(const GangKey& gang, Accelerators used) override;
  void OnFenced(const WorkerId& worker) override;

 private:
  // A start whose transaction is not settled.
  struct PendingStart {
    scheduling::StartGang command;
    bool stop_requested = false;
    TimePoint sent;
  };
  struct Attempted {
    std::unique_ptr<GangRun> run;
    Attempt scheduled;          // Number of the decision core.
    bool known_to_core = true;  // False for a recovered attempt.
  };

  void Execute(const scheduling::StartGang& command, TimePoint now);
  void Execute(const scheduling::CheckpointGang& command, TimePoint now);
  void Execute(const scheduling::ThrottleGang& command, TimePoint now);
  void Execute(const scheduling::StopGang& command, TimePoint now);
  void Execute(const scheduling::RefuseJob& command, TimePoint now);

  bool PrepareRecord(const JobId& job, JobRecord& record);
  std::vector<Condition> StartConditions(const JobId& job) const;
  void OnStartSettled(const JobId& job, JobRows::Outcome outcome);
  std::unique_ptr<GangRun> MakeRun(const JobRecord& record,
                                   const scheduling::StartGang& start);
  bool RunsWhole(const GangRun& run) const;
  Attempted* FindRun(const GangKey& gang);
  Attempted* FindScheduled(const JobId& job, Attempt attempt);
  void SetState(const GangKey& gang, JobState state);
  void Log(const char* kind, const GangKey& gang, std::string text);

  GangExecutorDeps deps_;
  const std::function<void()> on_fenced_;
  const TimePoint unlisted_gone_;
  const GangRunOptions options_;
  std::map<JobId, PendingStart> starts_;
  std::map<JobId, Attempted> runs_;
  std::set<JobId> touched_;
  // Ended runs, kept until no call into them can be on the stack.
  std::vector<std::unique_ptr<GangRun>> ended_;
  std::deque<scheduling::Command> commands_;
  bool executing_ = false;
};

}  // namespace quetzalshelf::jobs

#endif  // SERVERS_JOBS_GANG_EXECUTOR_H_
