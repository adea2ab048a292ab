// JSON bodies of requests and responses.

#ifndef DRIVERS_HTTP_JSON_BODY_H_
#define DRIVERS_HTTP_JSON_BODY_H_

#include <string>

#include <absl/status/statusor.h>

#include "core/json_reader.h"
#include "drivers/http/http_message.h"

namespace quetzalshelf {

// kInvalidArgument when a string of `json` is not UTF-8.
absl::StatusOr<std::string> EncodeJson(const Json& json);

// 200 with `json`; bytes that are not UTF-8 are replaced.
HttpResponse JsonResponse(const Json& json);

// `status` as an error response, or 200 with an empty object.
HttpResponse StatusResponse(const absl::Status& status);

}  // namespace quetzalshelf

#endif  // DRIVERS_HTTP_JSON_BODY_H_
