// Codec of the error body `{"error":{"code","message","findings":[...]}}`.

#ifndef DRIVERS_HTTP_API_ERROR_H_
#define DRIVERS_HTTP_API_ERROR_H_

#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>

#include "core/finding.h"
#include "drivers/http/http_message.h"

namespace quetzalshelf {

// An error as told to the caller of an HTTP interface. `code` is the name of an
// absl::StatusCode in lower case, such as `not_found`, or `too_large` for a
// body over the limit.
struct ApiError {
  std::string code;
  std::string message;
  Findings findings;
};

// `{"error":{"code","message","findings":[{"place","message","remedy"}]}}`.
std::string EncodeApiError(const ApiError& error);
// nullopt when `body` is not an error body.
std::optional<ApiError> DecodeApiError(std::string_view body);

// The lower-case name of a status code and the HTTP status that goes with it.
std::string ApiCodeOf(absl::StatusCode code);
int HttpStatusOf(absl::StatusCode code);

// `status` must not be OK.
HttpResponse ErrorResponse(const absl::Status& status);
// kInvalidArgument (400) with the findings of a message.
HttpResponse ErrorResponse(const Findings& findings);

// OK for a 2xx response. Otherwise the status named by the error body, or,
// without a known one, kInvalidArgument for a 4xx response and kUnknown for
// any other, since an intermediary may have acted before it failed.
absl::Status StatusOf(const HttpResponse& response);

}  // namespace quetzalshelf

#endif  // DRIVERS_HTTP_API_ERROR_H_
