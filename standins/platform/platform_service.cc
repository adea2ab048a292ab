#include "standins/platform/platform_service.h"

#include <charconv>
#include <optional>
#include <string>
#include <utility>

#include <xxhash.h>

#include "drivers/http/api_error.h"
#include "drivers/http/json_body.h"
#include "drivers/platform/platform_codec.h"

namespace quetzalshelf {

namespace {

constexpr int kMaxScanRows = 10'000;
constexpr int64_t kMaxMillis = int64_t{24} * 3'600'000;
constexpr int64_t kMaxFaultCount = 1'000'000;

// The fields of `POST /control/faults`; absent ones keep their value.
struct FaultChange {
  std::string service;
  std::optional<bool> down;
  std::optional<int64_t> slow_ms;
  std::optional<int64_t> lose_answers;
  std::optional<int64_t> late_commits;
  std::optional<int64_t> late_ms;
  std::optional<int64_t> list_lag_ms;
};

std::optional<int64_t> ReadOptional(JsonReader& reader,
                                    const char* field,
                                    int64_t max) {
  if (!reader.Has(field))
    return std::nullopt;
  return reader.RequireInt(field, 0, max);
}

FaultChange ReadFaultChange(const Json& json, Findings& findings) {
  JsonReader reader(json, "", findings);
  FaultChange change;
  change.service = reader.OptionalString("service", "store");
  if (change.service != "store" && change.service != "table" &&
      change.service != "objects" && change.service != "vms") {
    reader.AddFinding("service", "must be one of: store, table, objects, vms");
  }
  if (reader.Has("down"))
    change.down = reader.RequireBool("down");
  change.slow_ms = ReadOptional(reader, "slow_ms", kMaxMillis);
  change.lose_answers = ReadOptional(reader, "lose_answers", kMaxFaultCount);
  change.late_commits = ReadOptional(reader, "late_commits", kMaxFaultCount);
  change.late_ms = ReadOptional(reader, "late_ms", kMaxMillis);
  change.list_lag_ms = ReadOptional(reader, "list_lag_ms", kMaxMillis);
  reader.Finish();
  return change;
}

void ApplyTo(StoreFaults& faults, const FaultChange& change) {
  faults.down = change.down.value_or(faults.down);
  faults.slow = Duration(change.slow_ms.value_or(faults.slow.count()));
  faults.lose_answers =
      static_cast<int>(change.lose_answers.value_or(faults.lose_answers));
  faults.late_commits =
      static_cast<int>(change.late_commits.value_or(faults.late_commits));
  faults.late_by = Duration(change.late_ms.value_or(faults.late_by.count()));
}

void ApplyTo(VmListFaults& faults, const FaultChange& change) {
  faults.down = change.down.value_or(faults.down);
  faults.slow = Duration(change.slow_ms.value_or(faults.slow.count()));
}

HttpResponse ParameterError(const char* name, const char* message) {
  Findings findings;
  findings.Add({"", 0, name}, message);
  return ErrorResponse(findings);
}

std::optional<int> ParseLimit(const std::string& text) {
  int limit = 0;
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, limit);
  if (ec != std::errc() || rest != end || limit < 1 || limit > kMaxScanRows)
    return std::nullopt;
  return limit;
}

// `json` with an entity tag, or 304 when the caller knows that tag.
HttpResponse TaggedResponse(const Json& json, const std::string& known_tag) {
  HttpResponse response = JsonResponse(json);
  const std::string tag =
      std::to_string(XXH3_64bits(response.body.data(), response.body.size()));
  if (tag == known_tag) {
    response = HttpResponse();
    response.status = 304;
  }
  response.headers.push_back({"ETag", tag});
  return response;
}

}  // namespace

PlatformService::PlatformService(TaskRunner& runner, const Clock& clock)
    : table_(runner), objects_(runner), vms_(runner, clock) {}

void PlatformService::Install(HttpServer& server) {
  InstallTable(server);
  InstallObjects(server);
  InstallVms(server);
  server.Handle("POST", "/control/faults",
                [this](const HttpRequest& request, const Responder& respond) {
                  SetFaults(request, respond);
                });
  server.Handle("GET", "/control/counts",
                [this](const HttpRequest&, const Responder& respond) {
                  respond(Counts());
                });
}

void PlatformService::InstallTable(HttpServer& server) {
  server.Handle("POST", "/table/commit",
                [this](const HttpRequest& request, const Responder& respond) {
                  Commit(request, respond);
                });
  server.Handle("GET", "/table/read",
                [this](const HttpRequest& request, const Responder& respond) {
                  table_.Read(request.Query("key"),
                              [respond](const absl::StatusOr<Row>& row) {
                                respond(row.ok() ? JsonResponse(EncodeRow(*row))
                                                 : ErrorResponse(row.status()));
                              });
                });
  server.Handle("GET", "/table/scan",
                [this](const HttpRequest& request, const Responder& respond) {
                  Scan(request, respond);
                });
}

void PlatformService::InstallObjects(HttpServer& server) {
  server.Handle("GET", "/objects/*name",
                [this](const HttpRequest& request, const Responder& respond) {
                  objects_.Get(
                      request.Param("name"),
                      [respond](absl::StatusOr<std::string> content) {
                        if (!content.ok()) {
                          respond(ErrorResponse(content.status()));
                          return;
                        }
                        respond({.body = *std::move(content),
                                 .content_type = "application/octet-stream"});
                      });
                });
  server.Handle("PUT", "/objects/*name",
                [this](HttpRequest request, const Responder& respond) {
                  const std::string name = request.Param("name");
                  if (name.empty()) {
                    respond(ParameterError("name", "must not be empty"));
                    return;
                  }
                  objects_.Put(name, std::move(request.body),
                               [respond](const absl::Status& status) {
                                 respond(StatusResponse(status));
                               });
                });
}

void PlatformService::InstallVms(HttpServer& server) {
  server.Handle(
      "GET", "/vms",
      [this](const HttpRequest& request, const Responder& respond) {
        const std::string known = request.Header("If-None-Match");
        vms_.List([known, respond](const absl::StatusOr<std::vector<Vm>>& vms) {
          respond(vms.ok() ? TaggedResponse(EncodeVms(*vms), known)
                           : ErrorResponse(vms.status()));
        });
      });
  server.Handle("POST", "/vms",
                [this](const HttpRequest& request, const Responder& respond) {
                  PutVm(request, respond);
                });
  server.Handle("POST", "/vms/:name/state",
                [this](const HttpRequest& request, const Responder& respond) {
                  SetVmState(request, respond);
                });
  server.Handle("DELETE", "/vms/:name",
                [this](const HttpRequest& request, const Responder& respond) {
                  respond(StatusResponse(vms_.Remove(request.Param("name"))));
                });
}

void PlatformService::Commit(const HttpRequest& request,
                             const Responder& respond) {
  Findings findings;
  auto transaction = DecodeTransaction(request.body, findings);
  if (!transaction) {
    respond(ErrorResponse(findings));
    return;
  }
  table_.Commit(*std::move(transaction), [respond](const absl::Status& status) {
    respond(StatusResponse(status));
  });
}

void PlatformService::Scan(const HttpRequest& request,
                           const Responder& respond) {
  const std::optional<int> limit = ParseLimit(request.Query("limit"));
  if (!limit) {
    respond(ParameterError("limit", "must be from 1 to 10000"));
    return;
  }
  table_.ReadPrefix(request.Query("prefix"), request.Query("after"), *limit,
                    [respond](const absl::StatusOr<std::vector<Row>>& rows) {
                      respond(rows.ok() ? JsonResponse(EncodeRows(*rows))
                                        : ErrorResponse(rows.status()));
                    });
}

void PlatformService::PutVm(const HttpRequest& request,
                            const Responder& respond) {
  Findings findings;
  const std::optional<Vm> vm = DecodeVm(request.body, findings);
  if (!vm) {
    respond(ErrorResponse(findings));
    return;
  }
  vms_.Put(*vm);
  respond(StatusResponse(absl::OkStatus()));
}

void PlatformService::SetVmState(const HttpRequest& request,
                                 const Responder& respond) {
  Findings findings;
  VmState state = VmState::kLive;
  if (const auto json = ParseJson(request.body, findings)) {
    JsonReader reader(*json, "", findings);
    if (!reader.Has("state"))
      reader.AddFinding("state", "is missing");
    state = ReadVmState(reader, "state");
    reader.Finish();
  }
  if (!findings.empty()) {
    respond(ErrorResponse(findings));
    return;
  }
  respond(StatusResponse(vms_.SetState(request.Param("name"), state)));
}

void PlatformService::SetFaults(const HttpRequest& request,
                                const Responder& respond) {
  Findings findings;
  FaultChange change;
  if (const auto json = ParseJson(request.body, findings))
    change = ReadFaultChange(*json, findings);
  if (!findings.empty()) {
    respond(ErrorResponse(findings));
    return;
  }
  if (change.service == "store" || change.service == "table")
    ApplyTo(table_.faults(), change);
  if (change.service == "store" || change.service == "objects")
    ApplyTo(objects_.faults(), change);
  if (change.service == "vms")
    ApplyTo(vms_.faults(), change);
  VmListFaults& list = vms_.faults();
  list.lag = Duration(change.list_lag_ms.value_or(list.lag.count()));
  respond(StatusResponse(absl::OkStatus()));
}

HttpResponse PlatformService::Counts() const {
  return JsonResponse(
      {{"commits", table_.commits()}, {"reads", table_.reads()}});
}

}  // namespace quetzalshelf
