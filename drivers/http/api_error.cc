#include "drivers/http/api_error.h"

#include <utility>

#include "core/json_reader.h"

namespace quetzalshelf {

namespace {

struct CodeMapping {
  absl::StatusCode code;
  const char* name;
  int http_status;
};

constexpr CodeMapping kCodes[] = {
    {absl::StatusCode::kInvalidArgument, "invalid_argument", 400},
    {absl::StatusCode::kOutOfRange, "out_of_range", 400},
    {absl::StatusCode::kUnauthenticated, "unauthenticated", 401},
    {absl::StatusCode::kPermissionDenied, "permission_denied", 403},
    {absl::StatusCode::kNotFound, "not_found", 404},
    {absl::StatusCode::kAborted, "aborted", 409},
    {absl::StatusCode::kAlreadyExists, "already_exists", 409},
    {absl::StatusCode::kFailedPrecondition, "failed_precondition", 412},
    {absl::StatusCode::kResourceExhausted, "resource_exhausted", 429},
    {absl::StatusCode::kInternal, "internal", 500},
    {absl::StatusCode::kDataLoss, "data_loss", 500},
    {absl::StatusCode::kUnimplemented, "unimplemented", 501},
    {absl::StatusCode::kUnknown, "unknown", 502},
    {absl::StatusCode::kUnavailable, "unavailable", 503},
    {absl::StatusCode::kCancelled, "cancelled", 503},
    {absl::StatusCode::kDeadlineExceeded, "deadline_exceeded", 504},
};

const CodeMapping* FindCode(absl::StatusCode code) {
  for (const CodeMapping& it : kCodes) {
    if (it.code == code)
      return &it;
  }
  return nullptr;
}

const CodeMapping* FindCode(std::string_view name) {
  for (const CodeMapping& it : kCodes) {
    if (name == it.name)
      return &it;
  }
  return nullptr;
}

Json EncodeFinding(const Finding& finding) {
  return {{"place", ToString(finding.place)},
          {"message", finding.message},
          {"remedy", finding.remedy}};
}

}  // namespace

std::string EncodeApiError(const ApiError& error) {
  Json findings = Json::array();
  for (const Finding& it : error.findings.items())
    findings.push_back(EncodeFinding(it));
  const Json body = {{"error",
                      {{"code", error.code},
                       {"message", error.message},
                       {"findings", std::move(findings)}}}};
  // Messages may quote bytes of a rejected input that are not UTF-8.
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<ApiError> DecodeApiError(std::string_view body) {
  Findings faults;
  const std::optional<Json> json = ParseJson(body, faults);
  if (!json)
    return std::nullopt;
  JsonReader root(*json, "", faults);
  JsonReader reader(root.RequireObject("error"), "error", faults);
  constexpr size_t kMaxMessageBytes = size_t{64} * 1024;
  ApiError error;
  error.code = reader.RequireString("code");
  error.message = reader.RequireString("message", kMaxMessageBytes);
  for (const Json& it : reader.OptionalArray("findings")) {
    JsonReader finding(it, "error/findings", faults);
    const std::string place =
        finding.OptionalString("place", "", kMaxMessageBytes);
    error.findings.Add({"", 0, place},
                       finding.RequireString("message", kMaxMessageBytes),
                       finding.OptionalString("remedy", "", kMaxMessageBytes));
  }
  if (!faults.empty())
    return std::nullopt;
  return error;
}

std::string ApiCodeOf(absl::StatusCode code) {
  const CodeMapping* mapping = FindCode(code);
  return mapping == nullptr ? "internal" : mapping->name;
}

int HttpStatusOf(absl::StatusCode code) {
  const CodeMapping* mapping = FindCode(code);
  return mapping == nullptr ? 500 : mapping->http_status;
}

HttpResponse ErrorResponse(const absl::Status& status) {
  HttpResponse response;
  response.status = HttpStatusOf(status.code());
  response.body = EncodeApiError(
      {ApiCodeOf(status.code()), std::string(status.message()), {}});
  return response;
}

HttpResponse ErrorResponse(const Findings& findings) {
  HttpResponse response;
  response.status = HttpStatusOf(absl::StatusCode::kInvalidArgument);
  response.body = EncodeApiError(
      {ApiCodeOf(absl::StatusCode::kInvalidArgument),
       "the message was rejected and changed nothing", findings});
  return response;
}

absl::Status StatusOf(const HttpResponse& response) {
  if (response.status >= 200 && response.status < 300)
    return absl::OkStatus();
  if (const auto error = DecodeApiError(response.body)) {
    std::string message = error->message;
    if (!error->findings.empty())
      message += ": " + error->findings.ToString();
    if (const CodeMapping* mapping = FindCode(error->code))
      return absl::Status(mapping->code, message);
    if (response.status >= 400 && response.status < 500)
      return absl::InvalidArgumentError(message);
  }
  const std::string text = "HTTP status " + std::to_string(response.status);
  if (response.status >= 400 && response.status < 500)
    return absl::InvalidArgumentError(text);
  return absl::UnknownError(text);
}

}  // namespace quetzalshelf
