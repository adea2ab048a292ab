#include "main/daemon/api/settings_api.h"

#include <array>
#include <limits>
#include <optional>
#include <utility>

#include "drivers/http/api_error.h"
#include "drivers/http/json_body.h"
#include "main/daemon/api/access.h"
#include "main/daemon/api/query_reader.h"
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

// Reading an older version takes one read for each later one.
constexpr uint64_t kMaxVersionsBack = 1'000;

Findings FindingAt(const std::string& place, const std::string& message) {
  Findings findings;
  findings.Add({"", 0, place}, message);
  return findings;
}

std::string MessageOf(const absl::Status& status) {
  return std::string(status.message());
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
  // The name of the access token stands in for a missing author.
  change.author = reader.OptionalString("author");
  change.reason = reader.RequireString("reason", 1'024);
  if (reader.Has("reason") && change.reason.empty())
    reader.AddFinding("reason", "must not be empty", "say why");
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

HttpResponse EncodeValue(const settings::SettingsTree& tree,
                         const SettingsPath& path) {
  return JsonResponse({{"version", tree.version().value()},
                       {"path", path.text()},
                       {"value", tree.GetOrDefault(path)}});
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
  QueryReader query(request);
  const auto version = query.Number("version", 0, kMaxVersion);
  const auto path = SettingsPath::Parse(request.Param("path"));
  if (!path.ok())
    query.AddFinding(request.Param("path"), MessageOf(path.status()));
  const uint64_t current = service_.version().value();
  const uint64_t wanted = version ? static_cast<uint64_t>(*version) : current;
  if (wanted + kMaxVersionsBack < current) {
    query.AddFinding(
        "version",
        "is more than " + std::to_string(kMaxVersionsBack) + " versions old",
        "read the history instead");
  }
  if (const Findings& findings = query.Finish(); !findings.empty()) {
    respond(ErrorResponse(findings));
    return;
  }
  const auto respond_with = [respond, path = *path](const auto& tree) {
    respond(tree.ok() ? EncodeValue(*tree, path)
                      : ErrorResponse(tree.status()));
  };
  if (wanted == current)
    respond_with(absl::StatusOr<settings::SettingsTree>(service_.tree()));
  else
    service_.TreeAt(SettingsVersion(wanted), respond_with);
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
  if (change->author.empty())
    change->author = access->name;
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
  QueryReader query(request);
  const std::string path_text = query.Text("path");
  const auto path = SettingsPath::Parse(path_text);
  if (!path.ok())
    query.AddFinding("path", MessageOf(path.status()));
  const int64_t limit = query.Number("limit", 1, kMaxHistoryEntries)
                            .value_or(kDefaultHistoryEntries);
  if (const Findings& findings = query.Finish(); !findings.empty()) {
    respond(ErrorResponse(findings));
    return;
  }
  service_.History(*path, static_cast<int>(limit), [respond](auto entries) {
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
    respond(ErrorResponse(FindingAt("version", "must be a whole number")));
    return;
  }
  service_.HistoryAt(
      SettingsVersion(static_cast<uint64_t>(*version)), [respond](auto entry) {
        respond(entry.ok() ? JsonResponse(settings::ToJson(*entry))
                           : ErrorResponse(entry.status()));
      });
}

}  // namespace quetzalshelf
