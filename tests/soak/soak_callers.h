// Callers that submit, watch and cancel jobs through any node, and check what
// they are told.

#ifndef TESTS_SOAK_SOAK_CALLERS_H_
#define TESTS_SOAK_SOAK_CALLERS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>

#include "core/random.h"
#include "drivers/clock/system_clock.h"
#include "drivers/http/asio_task_runner.h"
#include "drivers/http/event_http_client.h"
#include "servers/batch/types.h"
#include "standins/fleet/model_workers.h"
#include "tests/soak/stand_check.h"

namespace quetzalshelf::soak {

struct CallerCounts {
  int submitted = 0;
  int accepted = 0;
  int refused = 0;  // Every answer said that the job does not run.
  int unknown = 0;  // No answer told, and no node knows the job.
  int complete = 0;
  int cancelled = 0;
  int failed = 0;
  int counts_asked = 0;
  int counts_told = 0;
  int counts_refused = 0;
  int64_t most_owed = 0;  // Jobs that a count had to include.
};

// Promises checked, each as far as callers and workers can see it: an accepted
// job is known and becomes final; a final state stays; a job is complete only
// when its tasks are done, cancelled only when asked to, and failed only after
// enough failures; a refused job never starts; no accepted job stands still for
// long while there is room for it; a count of waiting jobs is at
// least half of those that it must include.
class SoakCallers {
 public:
  // `ports` are the nodes' on 127.0.0.1.
  SoakCallers(asio::io_context& io,
              const ModelWorkers& workers,
              std::vector<int> ports,
              size_t payload_bytes,
              uint64_t seed);

  // Submits one job and follows it to its end.
  void SubmitJob();
  // Submits so many jobs of one queue at once.
  void SubmitSurge(int jobs);
  // Asks each node how many jobs of one queue wait.
  void AskCounts();
  // Looks for a workspace that runs more than the users let it beyond its cap.
  void CheckCap(Accelerators cap);
  // Looks for accepted jobs that stand still although `workers` have room for
  // them. `calm_since` is when the last fault ended.
  void CheckStandingJobs(const std::vector<batch::WorkerEntry>& workers,
                         Accelerators cap,
                         TimePoint calm_since);
  // Jobs that are not settled yet.
  int open_jobs() const { return open_jobs_; }
  // Checks what has to hold once all jobs are settled.
  void CheckRefusedJobs();

  const CallerCounts& counts() const { return counts_; }
  // One line for each broken promise.
  const std::vector<std::string>& violations() const { return violations_; }
  // The jobs that are not settled, for a report.
  std::vector<std::string> OpenJobs() const;

 private:
  // Accelerators of all tasks that run.
  int64_t CountRunning() const;
  struct Job;
  using JobPointer = std::shared_ptr<Job>;
  using Callback = std::function<void(const absl::StatusOr<HttpResponse>&)>;

  batch::JobSpec MakeSpec(size_t queue);
  void SubmitTo(size_t queue);
  void Call(const char* method,
            const Job& job,
            const std::string& body,
            Callback done);
  HttpCall MakeCall(const char* method,
                    const std::string& target,
                    int port) const;
  void OnCount(size_t node,
               size_t queue,
               TimePoint asked_at,
               const absl::StatusOr<HttpResponse>& response);
  int64_t CountOwedJobs(size_t queue, TimePoint asked_at) const;
  // Whether a task could run now, and none does.
  bool IsIdle(const Job& job) const;
  void After(Duration least, Duration most, std::function<void()> task);
  void SendSubmission(const JobPointer& job);
  void OnSubmission(const JobPointer& job,
                    const absl::StatusOr<HttpResponse>& response);
  void OnAccepted(const JobPointer& job);
  // Sends an accepted job again, as a caller may whose answer got lost.
  void Resubmit(const JobPointer& job);
  void Cancel(const JobPointer& job, int tries);
  void Watch(const JobPointer& job);
  void OnState(const JobPointer& job,
               const absl::StatusOr<HttpResponse>& response);
  void OnFinal(const JobPointer& job, const std::string& state);
  void Settle(const JobPointer& job);
  void CheckFinal(const Job& job, const std::string& state);
  void Report(const Job& job, const std::string& text);

  AsioTaskRunner runner_;
  EventHttpClient client_;
  const ModelWorkers& workers_;
  const std::vector<int> ports_;
  SystemClock clock_;
  TimePoint began_;
  Random random_;
  Random count_random_;
  const size_t payload_bytes_;
  const uint64_t seed_;
  CallerCounts counts_;
  int open_jobs_ = 0;
  std::vector<JobPointer> jobs_;
  StandCheck stand_check_;
  std::vector<std::string> violations_;
};

}  // namespace quetzalshelf::soak

#endif  // TESTS_SOAK_SOAK_CALLERS_H_
