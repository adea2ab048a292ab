// Serves callers: accepts and cancels jobs and reports their state. Any node
// can do so, since the whole state is in rows of the store.

#ifndef SERVERS_BATCH_JOB_FRONTEND_H_
#define SERVERS_BATCH_JOB_FRONTEND_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/answer_time.h"
#include "core/platform/versioned_store.h"
#include "core/task_runner.h"
#include "core/time.h"
#include "servers/batch/load_report.h"
#include "servers/batch/site_view.h"
#include "servers/batch/types.h"

namespace quetzalshelf::batch {

// Tables of the store.
inline constexpr char kJobTable[] = "jobs";
inline constexpr char kStateTable[] = "states";

// Partitions of the table of jobs. A partition executes transactions one at a
// time, and a slow store takes 0.25 s for each, so jobs are spread over
// several.
std::vector<std::string> JobPartitions();
StoreKey JobRowKey(const JobId& id);
// The row whose presence marks the job as cancelled.
StoreKey CancelRowKey(const JobId& id);
// The job that a row cancels; empty for any other row.
JobId CancelledJob(const StoreKey& id);

enum class JobPhase { kQueued, kRunning, kComplete, kFailed, kCancelled };

const char* ToString(JobPhase phase);
// Complete, failed or cancelled.
bool IsFinalPhase(JobPhase phase);

enum class CallOutcome {
  kAccepted,  // Submitted or cancelled, now or by an earlier call.
  kFound,     // The state or the count is in the answer.
  kNoSuchJob,
  kNoSuchQueue,
  kUnknownKey,
  kBadRequest,
  kConflict,       // Another workspace has a job of that id.
  kOverloaded,     // Not accepted; the job never runs unless sent again.
  kNotReady,       // The call had no effect.
  kOutcomeUnknown  // The change may have taken effect; send it again.
};

struct CallAnswer {
  CallOutcome outcome = CallOutcome::kNotReady;
  JobPhase phase = JobPhase::kQueued;
  int64_t pending = 0;
  Duration retry_after{0};  // 0: no advice.
  std::string detail;
};

// Caller and target queue of a request.
struct CallerContext {
  std::string host;
  std::string path;
  std::string key;     // Empty when the call carries none.
  TimePoint deadline;  // The caller waits until then.
};

struct JobFrontendOptions {
  // Calls are refused when the configuration was last confirmed longer ago than
  // this, so that a revoked key stops working on a node that is partitioned
  // from the store.
  Duration max_config_age{2'800};
};

class JobFrontend {
 public:
  using Callback = std::function<void(CallAnswer)>;

  JobFrontend(VersionedStore& store,
              TaskRunner& runner,
              const Clock& clock,
              const SiteView& site,
              LoadView& load,
              JobFrontendOptions options);

  // The queue of a call and the rest of its path, or the reason to refuse it.
  struct Route {
    const QueueConfig* queue = nullptr;
    WorkspaceId workspace;
    std::string rest;
    CallAnswer refusal;
  };
  Route FindRoute(const CallerContext& caller, TimePoint now) const;

  void Submit(const CallerContext& caller, JobSpec spec, Callback done);
  void Cancel(const CallerContext& caller, Callback done);
  void State(const CallerContext& caller, Callback done);
  // The count of waiting jobs; reads the leader's report if the one that this
  // node knows is too old.
  void Pending(const CallerContext& caller, const Callback& done);

  bool IsReady(TimePoint now) const;

 private:
  struct Write;
  struct RepeatedRead;

  void Commit(const std::shared_ptr<Write>& write);
  // Refuses a job of which the step can never run under the present cap, unless
  // it was accepted before.
  void RefuseOverCap(const std::shared_ptr<Write>& write,
                     const JobRecord& record,
                     int step);
  void Finish(const std::shared_ptr<Write>& write, CallAnswer answer);
  void OnCommitted(const std::shared_ptr<Write>& write,
                   const absl::StatusOr<CommitOutcome>& result);
  void ReadState(const JobId& id,
                 const WorkspaceId& workspace,
                 TimePoint deadline,
                 size_t repeats,
                 Callback done);
  void ReadJob(const JobId& id,
               const WorkspaceId& workspace,
               TimePoint deadline,
               std::function<void(CallAnswer)> done);
  void TellCount(const QueueName& queue,
                 TimePoint deadline,
                 int reads,
                 const Callback& done);
  void OnReport(const QueueName& queue,
                TimePoint deadline,
                int reads,
                const Callback& done,
                const absl::StatusOr<StoreSnapshot>& result);
  void RefuseCount(const QueueName& queue,
                   int reads,
                   const Callback& done) const;
  void ReadRow(const StoreKey& id,
               TimePoint deadline,
               VersionedStore::ReadCallback done);
  void SendRead(const std::shared_ptr<RepeatedRead>& read);

  VersionedStore& store_;
  TaskRunner& runner_;
  const Clock& clock_;
  const SiteView& site_;
  LoadView& load_;
  JobFrontendOptions options_;
  AnswerTime write_time_;
};

// Whether `text` is the id of a job: 16 hexadecimal digits.
bool IsJobId(const std::string& text);

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_JOB_FRONTEND_H_
