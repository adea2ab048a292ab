#include "main/daemon/api/settings_api.h"

#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

#include "drivers/http/api_error.h"
#include "drivers/http/json_body.h"
#include "main/daemon/api/access.h"
#include "servers/settings/settings_rows.h"

namespace quetzalshelf {

namespace {

using settings::ChangeOutcome;
using settings::ChangeRequest;
using settings::ChangeResult;
using settings::SettingsPath;

constexpr int kDefaultHistoryEntries = 20;
constexpr int kMaxHistoryEntries = 200;
// A change may wait for a slow store; then the outcome is reported as unknown.
constexpr Duration kChangeAnswerLimit{15'000};
constexpr int64_t kMaxVersion = std::numeric_limits<int64_t>::max();

// A decimal number in [min, max], or nullopt.
std::optional<int64_t> ParseNumber(const std::string& text,
                                   int64_t min,
                                   int64_t max) {
  int64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || last != end || n < min || n > max)
    return std::nullopt;
  return n;
}

Json EncodeFindings(const Findings& findings) {
  Json items = Json::array();
  for (const Finding& it : findings.items()) {
    items.push_back({{"place", ToString(it.place)},
                     {"message", it.message},
                     {"remedy", it.remedy}});
  }
  return items;
}

Json EncodeChanges(const std::vector<settings::ValueChange>& changes) {
  Json items = Json::array();
  for (const auto& it : changes) {
    items.push_back(
        {{"path", it.path}, {"before", it.before}, {"after", it.after}});
  }
  return items;
}

std::optional<ChangeRequest> DecodeChange(const HttpRequest& request,
                                          Findings& findings) {
  const auto path = SettingsPath::Parse(request.Param("path"));
  if (!path.ok()) {
    findings.Add({"", 0, request.Param("path")},
                 std::string(path.status().message()));
  }
  const auto json = ParseJson(request.body, findings);
  if (!json)
    return std::nullopt;
  JsonReader reader(*json, "", findings);
  ChangeRequest change;
  change.base_version = SettingsVersion(
      static_cast<uint64_t>(reader.RequireInt("base_version", 0, kMaxVersion)));
  change.author = reader.RequireString("author");
  change.reason = reader.RequireString("reason", 1'024);
  change.dry_run = reader.OptionalBool("dry_run", false);
  if (!reader.Has("value"))
    reader.AddFinding("value", "is missing", "send null to remove the setting");
  // The value is any JSON; a null value counts as present.
  reader.OptionalAny("value", change.value);
  reader.Finish();
  if (!findings.empty())
    return std::nullopt;
  change.path = *path;
  return change;
}

Json EncodeResult(const ChangeResult& result) {
  return {{"outcome", ToString(result.outcome)},
          {"version", result.version.value()},
          {"message", result.message},
          {"warnings", EncodeFindings(result.warnings)},
          {"changes", EncodeChanges(result.changes)}};
}

HttpResponse ConflictResponse(const ChangeResult& result) {
  ApiError error;
  error.code = "conflict";
  error.message = result.message;
  Json json = Json::parse(EncodeApiError(error));
  if (const auto& conflict = result.conflict) {
    json["conflict"] = {{"base_version", conflict->base_version.value()},
                        {"current_version", conflict->current_version.value()},
                        {"your_value", conflict->your_value},
                        {"current_value", conflict->current_value}};
  }
  HttpResponse response = JsonResponse(json);
  response.status = 409;
  return response;
}

HttpResponse EncodeChangeResponse(const ChangeResult& result) {
  switch (result.outcome) {
    case ChangeOutcome::kAccepted:
    case ChangeOutcome::kUnchanged:
    case ChangeOutcome::kChecked:
      return JsonResponse(EncodeResult(result));
    case ChangeOutcome::kInvalid:
      return ErrorResponse(result.findings);
    case ChangeOutcome::kConflict:
      return ConflictResponse(result);
    case ChangeOutcome::kNotRun:
      return ErrorResponse(absl::UnavailableError(result.message));
    case ChangeOutcome::kUnknown:
      return ErrorResponse(absl::DeadlineExceededError(result.message));
  }
  return ErrorResponse(absl::InternalError("unexpected outcome"));
}

}  // namespace

void SettingsApi::Register(HttpServer& server) {
  server.Handle("GET", "/v1/settings/*path",
                [this](auto request, auto respond) { Get(request, respond); });
  server.Handle(
      "PUT", "/v1/settings/*path",
      [this](auto request, auto respond) { Put(request, respond); },
      kChangeAnswerLimit);
  server.Handle(
      "GET", "/v1/settings-history",
      [this](auto request, auto respond) { History(request, respond); });
  server.Handle(
      "GET", "/v1/settings-history/:version",
      [this](auto request, auto respond) { HistoryAt(request, respond); });
}

void SettingsApi::Get(const HttpRequest& request,
                      const Responder& respond) const {
  if (!RequireToken(access_, request, respond))
    return;
  if (!service_.ready()) {
    respond(ErrorResponse(absl::UnavailableError(service_.NotReadyReason())));
    return;
  }
  const auto path = SettingsPath::Parse(request.Param("path"));
  if (!path.ok()) {
    respond(ErrorResponse(path.status()));
    return;
  }
  const Json json = {{"version", service_.version().value()},
                     {"path", path->text()},
                     {"value", service_.tree().GetOrDefault(*path)}};
  respond(JsonResponse(json));
}

void SettingsApi::Put(const HttpRequest& request, const Responder& respond) {
  const auto access = RequireToken(access_, request, respond);
  if (!access)
    return;
  Findings findings;
  auto change = DecodeChange(request, findings);
  if (!change) {
    respond(ErrorResponse(findings));
    return;
  }
  if (!access->MayChange(change->path.text())) {
    respond(ErrorResponse(absl::PermissionDeniedError(
        "the token `" + access->name + "` may not change `" +
        change->path.text() + "`")));
    return;
  }
  change->access = access->name;
  change->wall_millis = clock_.WallMillis();
  service_.Change(*std::move(change), clock_.Now(),
                  [respond](const ChangeResult& result) {
                    respond(EncodeChangeResponse(result));
                  });
}

void SettingsApi::History(const HttpRequest& request,
                          const Responder& respond) {
  if (!RequireToken(access_, request, respond))
    return;
  const auto path = SettingsPath::Parse(request.Query("path"));
  if (!path.ok()) {
    respond(ErrorResponse(path.status()));
    return;
  }
  const std::string limit_text = request.Query("limit");
  const auto limit = limit_text.empty()
                         ? kDefaultHistoryEntries
                         : ParseNumber(limit_text, 1, kMaxHistoryEntries);
  if (!limit) {
    respond(ErrorResponse(absl::InvalidArgumentError(
        "limit: must be from 1 to " + std::to_string(kMaxHistoryEntries))));
    return;
  }
  service_.History(*path, static_cast<int>(*limit), [respond](auto entries) {
    if (!entries.ok()) {
      respond(ErrorResponse(entries.status()));
      return;
    }
    Json items = Json::array();
    for (const auto& it : *entries)
      items.push_back(settings::ToJson(it));
    respond(JsonResponse({{"entries", std::move(items)}}));
  });
}

void SettingsApi::HistoryAt(const HttpRequest& request,
                            const Responder& respond) {
  if (!RequireToken(access_, request, respond))
    return;
  const auto version = ParseNumber(request.Param("version"), 1, kMaxVersion);
  if (!version) {
    respond(ErrorResponse(
        absl::InvalidArgumentError("version: must be a whole number")));
    return;
  }
  service_.HistoryAt(
      SettingsVersion(static_cast<uint64_t>(*version)), [respond](auto entry) {
        respond(entry.ok() ? JsonResponse(settings::ToJson(*entry))
                           : ErrorResponse(entry.status()));
      });
}

}  // namespace quetzalshelf
