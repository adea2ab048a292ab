// Workers over HTTP.

#ifndef DRIVERS_WORKER_HTTP_WORKER_PORT_H_
#define DRIVERS_WORKER_HTTP_WORKER_PORT_H_

#include <string>

#include "core/platform/worker_port.h"
#include "core/task_runner.h"
#include "drivers/http/http_caller.h"

namespace quetzalshelf {

// Every command is sent once. A message that the worker rejects as malformed
// is kFailedPrecondition, since nothing was done; every failure that leaves the
// outcome open is kDeadlineExceeded.
class HttpWorkerPort : public WorkerPort {
 public:
  // `caller` and `runner`, which share one io_context, must outlive the port.
  HttpWorkerPort(HttpCaller& caller, TaskRunner& runner, Duration timeout);

  void Sync(const WorkerAddress& worker,
            const SyncRequest& request,
            SyncCallback done) override;
  void Prepare(const WorkerAddress& worker,
               const PrepareRequest& request,
               Callback done) override;
  void Run(const WorkerAddress& worker,
           const RunRequest& request,
           Callback done) override;
  void Act(const WorkerAddress& worker,
           const GangRequest& request,
           Callback done) override;

 private:
  void Send(const WorkerAddress& worker,
            const std::string& path,
            absl::StatusOr<std::string> body,
            HttpCaller::Callback done);
  void Command(const WorkerAddress& worker,
               const std::string& path,
               absl::StatusOr<std::string> body,
               Callback done);

  HttpCaller& caller_;
  TaskRunner& runner_;
  const Duration timeout_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_WORKER_HTTP_WORKER_PORT_H_
