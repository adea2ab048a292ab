#include "drivers/worker/http_worker_port.h"

#include <utility>

#include "drivers/http/api_error.h"
#include "drivers/http/json_body.h"
#include "drivers/worker/worker_codec.h"

namespace quetzalshelf {

namespace {

absl::Status WorkerStatus(const absl::StatusOr<HttpResponse>& response) {
  absl::Status status = response.ok() ? StatusOf(*response) : response.status();
  switch (status.code()) {
    case absl::StatusCode::kOk:
    case absl::StatusCode::kFailedPrecondition:
    case absl::StatusCode::kResourceExhausted:
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kDeadlineExceeded:
      return status;
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kNotFound:
      return absl::FailedPreconditionError(status.message());
    default:
      return absl::DeadlineExceededError(status.message());
  }
}

absl::StatusOr<SyncReply> ToSyncReply(
    const absl::StatusOr<HttpResponse>& response) {
  if (absl::Status status = WorkerStatus(response); !status.ok())
    return status;
  Findings findings;
  std::optional<SyncReply> reply = DecodeSyncReply(response->body, findings);
  if (!reply) {
    return absl::DeadlineExceededError("the worker's answer cannot be read: " +
                                       findings.ToString());
  }
  return *std::move(reply);
}

}  // namespace

HttpWorkerPort::HttpWorkerPort(HttpCaller& caller,
                               TaskRunner& runner,
                               Duration timeout)
    : caller_(caller), runner_(runner), timeout_(timeout) {}

void HttpWorkerPort::Sync(const WorkerAddress& worker,
                          const SyncRequest& request,
                          SyncCallback done) {
  Send(worker, kWorkerSyncPath, EncodeJson(EncodeSyncRequest(request)),
       [done = std::move(done)](const absl::StatusOr<HttpResponse>& reply) {
         done(ToSyncReply(reply));
       });
}

void HttpWorkerPort::Prepare(const WorkerAddress& worker,
                             const PrepareRequest& request,
                             Callback done) {
  Command(worker, kWorkerPreparePath, EncodeJson(EncodePrepareRequest(request)),
          std::move(done));
}

void HttpWorkerPort::Run(const WorkerAddress& worker,
                         const RunRequest& request,
                         Callback done) {
  Command(worker, kWorkerRunPath, EncodeJson(EncodeRunRequest(request)),
          std::move(done));
}

void HttpWorkerPort::Act(const WorkerAddress& worker,
                         const GangRequest& request,
                         Callback done) {
  Command(worker, kWorkerActPath, EncodeJson(EncodeGangRequest(request)),
          std::move(done));
}

void HttpWorkerPort::Send(const WorkerAddress& worker,
                          const std::string& path,
                          absl::StatusOr<std::string> body,
                          HttpCaller::Callback done) {
  if (!body.ok()) {
    runner_.Post(
        [status = body.status(), done = std::move(done)] { done(status); });
    return;
  }
  HttpCall call;
  call.host = worker.host;
  call.port = worker.port;
  call.method = "POST";
  call.target = path;
  call.body = *std::move(body);
  call.timeout = timeout_;
  caller_.Call(std::move(call), std::move(done));
}

void HttpWorkerPort::Command(const WorkerAddress& worker,
                             const std::string& path,
                             absl::StatusOr<std::string> body,
                             Callback done) {
  Send(worker, path, std::move(body),
       [done = std::move(done)](const absl::StatusOr<HttpResponse>& reply) {
         done(WorkerStatus(reply));
       });
}

}  // namespace quetzalshelf
