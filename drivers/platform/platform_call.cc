#include "drivers/platform/platform_call.h"

#include "drivers/http/api_error.h"

namespace quetzalshelf {

HttpCall MakePlatformCall(const PlatformAddress& address,
                          std::string method,
                          std::string target) {
  HttpCall call;
  call.host = address.host;
  call.port = address.port;
  call.method = std::move(method);
  call.target = std::move(target);
  call.timeout = address.timeout;
  return call;
}

absl::Status PlatformStatus(const absl::StatusOr<HttpResponse>& response) {
  absl::Status status = response.ok() ? StatusOf(*response) : response.status();
  switch (status.code()) {
    case absl::StatusCode::kOk:
    case absl::StatusCode::kNotFound:
    case absl::StatusCode::kAborted:
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kDeadlineExceeded:
      return status;
    default:
      return absl::DeadlineExceededError(status.message());
  }
}

}  // namespace quetzalshelf
