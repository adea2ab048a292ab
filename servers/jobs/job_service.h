// Durable life of the jobs of one shard: admission, starting, results,
// cancellation, and recovery by the next owner.

#ifndef SERVERS_JOBS_JOB_SERVICE_H_
#define SERVERS_JOBS_JOB_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "core/event_log.h"
#include "core/ids.h"
#include "core/platform/object_store.h"
#include "core/platform/table.h"
#include "core/platform/worker_port.h"
#include "core/time.h"
#include "servers/cluster/committer.h"
#include "servers/cluster/shard_ownership.h"
#include "servers/jobs/domain_watch.h"
#include "servers/jobs/gang_executor.h"
#include "servers/jobs/job_record.h"
#include "servers/jobs/job_rows.h"
#include "servers/jobs/result_publisher.h"
#include "servers/jobs/worker_pool.h"
#include "servers/scheduling/gang_scheduler.h"

namespace quetzalshelf::jobs {

struct JobServiceOptions {
  JobRowsOptions rows;
  WorkerPoolOptions workers;
  GangRunOptions gangs;
  Duration domain_poll_period{1'000};
  Duration scheduler_tick{1'000};
  // Longest wait of a caller for the outcome of a write.
  Duration answer_timeout{2'000};
  // Suggested to a caller whose request did not run.
  Duration retry_after{2'000};
  // Pause before a failed read or result upload is tried again.
  Duration store_retry{1'000};
  // Longest wait of a new owner for the answers of workers that hold gangs.
  Duration recovery_wait{10'000};
  // Shorter wait when only workers without known gangs are missing.
  Duration first_sync_wait{3'000};
  // How long a finished job can be asked for, counted by each owner. Its id
  // stays taken until the next owner.
  Duration retention{24 * 60 * 60 * 1'000};
  size_t max_pending_submissions = 1'000;
};

// Everything but the scheduler must outlive the service.
struct JobServiceDeps {
  Table& table;
  ObjectStore& objects;
  WorkerPort& workers;
  cluster::Committer& committer;
  const Clock& clock;
  const cluster::ShardOwnership& ownership;
  EventLog* log = nullptr;  // May be null.
};

enum class SubmitOutcome {
  kAccepted,  // The job row is committed.
  kExisting,  // The same job was accepted before.
  kConflict,  // The id belongs to a job with another specification.
  kInvalid,
  kNotRun,   // Nothing was or will be stored; try again later.
  kUnknown,  // Ask for the job id again.
};

struct SubmitReply {
  SubmitOutcome outcome = SubmitOutcome::kNotRun;
  JobId job;
  Duration retry_after{0};
  std::string message;
};

enum class CancelOutcome {
  kCancelled,
  kAlreadyEnded,
  kNotFound,
  kNotRun,   // Not cancelled; try again later.
  kUnknown,  // Ask for the job again.
};

struct CancelReply {
  CancelOutcome outcome = CancelOutcome::kNotRun;
  Duration retry_after{0};
};

// What a caller may know about a job.
struct JobView {
  JobRecord record;
  scheduling::JobExplanation explanation;
};

// Acts for one shard at one epoch. It is created when the shard was taken and
// destroyed when it is given up; the next owner rebuilds from the rows and the
// workers.
class JobService : public WorkerPool::Delegate {
 public:
  enum class Phase { kLoading, kSettling, kServing, kStopped };
  using SubmitCallback = std::function<void(SubmitReply)>;
  using CancelCallback = std::function<void(CancelReply)>;
  using ResultCallback = std::function<void(absl::StatusOr<std::string>)>;

  JobService(JobServiceDeps deps,
             std::unique_ptr<scheduling::GangScheduler> scheduler,
             JobServiceOptions options,
             TimePoint now);
  ~JobService() override;

  // Both must be called before the service can leave kSettling.
  void SetWorkspaces(const std::vector<scheduling::Workspace>& workspaces,
                     TimePoint now);
  void SetWorkers(const std::vector<WorkerEntry>& workers, TimePoint now);

  // Drives everything; call at least every 100 ms.
  void Tick(TimePoint now);
  // Ends all decisions, as before a planned transfer.
  void StopDeciding() { phase_ = Phase::kStopped; }

  // Callbacks run within the call or from Tick or a port callback; once each.
  void Submit(const JobSpec& spec, SubmitCallback done, TimePoint now);
  void Cancel(const JobId& job, CancelCallback done, TimePoint now);
  // Errors: kNotFound; kUnavailable while the rows are being read.
  absl::StatusOr<JobView> Status(const JobId& job, TimePoint now) const;
  // Errors: kNotFound, kFailedPrecondition (the job has no result), those of
  // the object store.
  void Result(const JobId& job, ResultCallback done);

  Phase phase() const { return phase_; }
  // Whether another owner has been noticed.
  bool fenced() const { return fenced_; }
  // Why the service does not serve yet; OK when it does.
  const absl::Status& readiness() const { return readiness_; }
  std::vector<scheduling::UnsatisfiedGuarantee> UnsatisfiedGuarantees() const;
  const JobRows& rows() const { return rows_; }

  // WorkerPool::Delegate:
  bool Accounts(const GangKey& gang, const WorkerId& worker) override;
  void OnWorkerUsable(const scheduling::Worker& worker) override;
  void OnWorkerDown(const WorkerId& worker) override;
  void OnReport(const WorkerId& worker, const TaskReport& report) override;
  void OnReportsDone(const WorkerId& worker) override;
  void OnFenced(const WorkerId& worker) override;

 private:
  struct Waiter {
    SubmitCallback done;
    TimePoint deadline;
    SubmitOutcome outcome = SubmitOutcome::kAccepted;  // When committed.
  };
  struct PendingSubmit {
    JobSpec spec;
    std::vector<Waiter> waiters;
  };
  struct PendingCancel {
    CancelCallback done;
    TimePoint deadline;
  };

  void StartLoading();
  void OnLoaded(const absl::Status& status);
  bool ReadyToSettle(TimePoint now) const;
  void Settle(TimePoint now);
  void AddWorker(const scheduling::Worker& worker, TimePoint now);
  void OnInserted(const JobId& job, JobRows::Outcome outcome);
  void OnCancelled(uint64_t call, const JobId& job, JobRows::Outcome outcome);
  void ExpireWaiters(TimePoint now);
  void ExpireRetention(TimePoint now);
  SubmitReply Reply(SubmitOutcome outcome,
                    const JobId& job,
                    std::string message) const;
  void Fence();
  void Log(const char* kind, const JobId& job);

  JobServiceDeps deps_;
  const JobServiceOptions options_;
  const TimePoint created_;
  std::unique_ptr<scheduling::GangScheduler> scheduler_;
  Phase phase_ = Phase::kLoading;
  bool fenced_ = false;
  absl::Status readiness_;

  JobRows rows_;
  WorkerPool pool_;
  DomainWatch domains_;
  ResultPublisher publisher_;
  GangExecutor executor_;

  bool load_in_flight_ = false;
  TimePoint next_load_;
  TimePoint loaded_;
  bool workers_known_ = false;
  bool workspaces_known_ = false;
  std::vector<scheduling::Workspace> workspaces_;
  // Workers that the scheduler knows.
  std::set<WorkerId> added_;
  TimePoint next_scheduler_tick_;
  uint64_t next_order_ = 0;
  std::map<JobId, PendingSubmit> submits_;
  uint64_t last_cancel_ = 0;
  std::map<uint64_t, PendingCancel> cancels_;
  // When this owner learned of the end of a job.
  std::map<JobId, TimePoint> ended_;
  TimePoint next_retention_;
  // Ids of deleted rows. The scheduler remembers ended jobs and would refuse a
  // new job under such an id.
  std::set<JobId> used_ids_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf::jobs

#endif  // SERVERS_JOBS_JOB_SERVICE_H_
