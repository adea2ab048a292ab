#include "drivers/http/json_body.h"

#include "drivers/http/api_error.h"

namespace quetzalshelf {

absl::StatusOr<std::string> EncodeJson(const Json& json) {
  try {
    return json.dump();
  } catch (const Json::type_error&) {
    return absl::InvalidArgumentError("a text of the message is not UTF-8");
  }
}

HttpResponse JsonResponse(const Json& json) {
  HttpResponse response;
  response.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  return response;
}

HttpResponse StatusResponse(const absl::Status& status) {
  return status.ok() ? JsonResponse(Json::object()) : ErrorResponse(status);
}

}  // namespace quetzalshelf
