#include "drivers/backend/http_backend_port.h"

#include <utility>

#include "drivers/backend/backend_codec.h"
#include "drivers/http/api_error.h"
#include "drivers/http/json_body.h"

namespace quetzalshelf {

namespace {

absl::Status ToRefusal(const RequestId& id, const HttpResponse& response) {
  const std::string text = "the backend server answered HTTP status " +
                           std::to_string(response.status);
  if (FindField(response.headers, kRequestIdHeader) != id.value())
    return absl::UnknownError(text + " without the request id");
  const std::optional<ApiError> error = DecodeApiError(response.body);
  if (!error)
    return absl::UnknownError(text + " without an error body");
  if (error->code == ApiCodeOf(absl::StatusCode::kResourceExhausted))
    return absl::ResourceExhaustedError(error->message);
  const bool refused =
      response.status >= 400 && response.status < 500 &&
      error->code != ApiCodeOf(absl::StatusCode::kDeadlineExceeded);
  if (refused || error->code == ApiCodeOf(absl::StatusCode::kUnavailable))
    return absl::UnavailableError("refused: " + error->message);
  return absl::UnknownError(text + ": " + error->message);
}

absl::StatusOr<BackendReply> ToReply(
    const RequestId& id,
    const absl::StatusOr<HttpResponse>& response) {
  if (!response.ok())
    return response.status();
  if (response->status < 200 || response->status >= 300)
    return ToRefusal(id, *response);
  // Without a length, an answer that was cut off looks like a whole one.
  if (FindField(response->headers, "Content-Length").empty())
    return absl::UnknownError("the answer does not state its length");
  Findings findings;
  std::optional<BackendReply> reply =
      DecodeBackendReply(response->body, findings);
  if (!reply) {
    return absl::UnknownError("the answer cannot be read: " +
                              findings.ToString());
  }
  return *std::move(reply);
}

}  // namespace

HttpBackendPort::HttpBackendPort(HttpCaller& caller, TaskRunner& runner)
    : caller_(caller), runner_(runner) {}

void HttpBackendPort::Send(const BackendAddress& backend,
                           const BackendRequest& request,
                           Callback done) {
  absl::StatusOr<std::string> body = EncodeJson(EncodeBackendRequest(request));
  if (!body.ok()) {
    runner_.Post([status = absl::UnavailableError(body.status().message()),
                  done = std::move(done)] { done(status); });
    return;
  }
  HttpCall call;
  call.host = backend.host;
  call.port = backend.port;
  call.method = "POST";
  call.target = kBackendRunPath;
  call.headers.push_back({kRequestIdHeader, request.id.value()});
  call.body = *std::move(body);
  call.timeout = request.timeout;
  call.connection =
      request.idempotent ? ConnectionUse::kPooled : ConnectionUse::kFresh;
  caller_.Call(std::move(call),
               [id = request.id, done = std::move(done)](
                   const absl::StatusOr<HttpResponse>& response) {
                 done(ToReply(id, response));
               });
}

}  // namespace quetzalshelf
