// One attempt of a gang on its workers: prepare, run, act, stop with proof.

#ifndef SERVERS_JOBS_GANG_RUN_H_
#define SERVERS_JOBS_GANG_RUN_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/platform/worker_port.h"
#include "core/time.h"
#include "servers/cluster/shard_ownership.h"
#include "servers/jobs/job_record.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::jobs {

class WorkerSession;

struct GangRunOptions {
  // No task starts later than this after the transaction was sent.
  Duration start_window{3'000};
  // All workers must have agreed and started within this time.
  Duration start_timeout{2'000};
  // Pause before a Stop that was not answered is sent again.
  Duration stop_retry{1'000};
};

// Drives the workers of one attempt. An attempt that cannot start whole is
// stopped everywhere, and its end is reported only after every worker has
// confirmed the stop or is known to run nothing.
class GangRun {
 public:
  enum class Phase {
    kRecovering,
    kPreparing,
    kLaunching,
    kRunning,
    kStopping,
    kEnded
  };
  enum class End {
    kFinished,     // All tasks ended with success.
    kStopped,      // Stopped by command.
    kStartFailed,  // Never ran whole.
  };

  class Delegate {
   public:
    virtual ~Delegate() = default;
    virtual WorkerSession* FindSession(const WorkerId& worker) = 0;
    // Whether no task of this shard can run on the worker any more.
    virtual bool IsGone(const WorkerId& worker, TimePoint now) = 0;
    virtual void OnGangRunning(const GangKey& gang) = 0;
    // Every task has stopped. Called once. The run must not be destroyed
    // within the call.
    virtual void OnGangEnded(const GangKey& gang, End end) = 0;
    virtual void OnTaskFailed(const GangKey& gang, const WorkerId& worker) = 0;
    virtual void OnCheckpoint(const GangKey& gang, Duration progress) = 0;
    virtual void OnUsage(const GangKey& gang, Accelerators used) = 0;
    // A worker has seen a higher epoch.
    virtual void OnFenced(const WorkerId& worker) = 0;
  };

  // All arguments but the spec, the start and the options must outlive the
  // run.
  GangRun(JobSpec spec,
          scheduling::StartGang start,
          Duration resume_from,
          WorkerPort& port,
          const Clock& clock,
          const cluster::ShardOwnership& ownership,
          Delegate& delegate,
          GangRunOptions options);

  // Starts the attempt whose transaction was sent at `committed`.
  void Start(TimePoint committed, TimePoint now);
  // Collects the reports on an attempt of an earlier owner, until Adopt, when
  // it runs whole, or Stop.
  void Recover();
  void Adopt();
  // Stops every task. `commanded` decides between the ends kStopped and
  // kStartFailed.
  void Stop(bool commanded, TimePoint now);
  // Checkpoints or throttles a running gang.
  void Act(GangAction action, int throttle_percent);
  void Tick(TimePoint now);

  // The worker holds nothing of this gang any more.
  void OnWorkerGone(const WorkerId& worker, TimePoint now);
  void OnReport(const WorkerId& worker, const TaskReport& report);
  // Draws the conclusions of the reports of one answer.
  void OnReportsDone(TimePoint now);

  const GangKey& key() const { return key_; }
  const scheduling::StartGang& start() const { return start_; }
  const JobSpec& spec() const { return spec_; }
  Phase phase() const { return phase_; }
  bool HasWorker(const WorkerId& worker) const {
    return parts_.contains(worker);
  }
  // The worker that refused, did not answer or was lost during the start.
  const WorkerId& refused_by() const { return refused_by_; }
  Duration checkpointed() const { return checkpointed_; }
  // Results by task, complete after the end kFinished.
  std::vector<std::string> TakeResults() { return std::move(results_); }
  // Whether every task was reported as running or finished.
  bool AllTasksRun() const;

 private:
  struct Part {
    std::vector<int> tasks;
    bool agreed = false;    // To Prepare.
    bool launched = false;  // Answered Run.
    bool gone = false;      // Proved to run nothing.
    bool stopping = false;  // A Stop is under way.
    TimePoint next_stop;
  };
  struct Task {
    TaskState state = TaskState::kPrepared;
    bool reported = false;
    Duration checkpointed{0};
    Accelerators used;
    bool failure_told = false;
  };

  void SendPrepare(const WorkerId& worker, TimePoint committed);
  void SendRun(const WorkerId& worker);
  void SendStop(const WorkerId& worker, TimePoint now);
  void OnPrepared(const WorkerId& worker, const absl::Status& status);
  void OnLaunched(const WorkerId& worker, const absl::Status& status);
  void OnStopped(const WorkerId& worker, const absl::Status& status);
  void Launch();
  void GiveUp(const WorkerId& refused_by, TimePoint now);
  void EndIfGone();
  bool AllFinished() const;
  void TellProgress();
  template <typename Handler>
  WorkerPort::Callback Guard(Handler handler);

  const JobSpec spec_;
  const scheduling::StartGang start_;
  const GangKey key_;
  const Duration resume_from_;
  WorkerPort& port_;
  const Clock& clock_;
  const cluster::ShardOwnership& ownership_;
  Delegate& delegate_;
  const GangRunOptions options_;

  Phase phase_ = Phase::kPreparing;
  bool commanded_stop_ = false;
  TimePoint started_;
  std::map<WorkerId, Part> parts_;
  std::map<WorkerId, RunRequest> run_requests_;
  std::vector<Task> tasks_;
  std::vector<std::string> results_;
  WorkerId refused_by_;
  Duration checkpointed_;
  Accelerators used_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf::jobs

#endif  // SERVERS_JOBS_GANG_RUN_H_
