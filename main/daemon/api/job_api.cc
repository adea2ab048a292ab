#include "main/daemon/api/job_api.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "drivers/http/api_error.h"
#include "drivers/http/json_body.h"
#include "main/daemon/api/access.h"
#include "main/daemon/api/job_codec.h"
#include "main/daemon/api/query_reader.h"

namespace quetzalshelf {

namespace {

constexpr int64_t kMaxListedJobs = 1'000;

absl::Status NoOwnerStatus() {
  return absl::UnavailableError(
      "the call had no effect: the shard has no owner at the moment; "
      "try again");
}

constexpr std::array kJobStates = {
    jobs::JobState::kWaiting,   jobs::JobState::kStarting,
    jobs::JobState::kRunning,   jobs::JobState::kFinished,
    jobs::JobState::kCancelled, jobs::JobState::kRefused,
    jobs::JobState::kFailed};

// What a list is limited to.
struct JobFilter {
  std::string workspace;
  std::string state;
  size_t limit = 0;
};

JobFilter ReadFilter(QueryReader& query) {
  JobFilter filter;
  filter.workspace = query.Text("workspace");
  filter.state = query.Text("state");
  filter.limit = static_cast<size_t>(
      query.Number("limit", 1, kMaxListedJobs).value_or(kMaxListedJobs));
  const bool known = std::any_of(
      kJobStates.begin(), kJobStates.end(),
      [&filter](auto it) { return jobs::ToString(it) == filter.state; });
  if (!filter.state.empty() && !known) {
    query.AddFinding("state", "is not a state of a job",
                     "use one of: waiting, starting, running, finished, "
                     "cancelled, refused, failed");
  }
  return filter;
}

bool Matches(const JobFilter& filter, const jobs::JobRecord& record) {
  const std::string& workspace = filter.workspace;
  const bool workspace_matches =
      workspace.empty() || record.spec.job.workspace.value() == workspace;
  return workspace_matches &&
         (filter.state.empty() || jobs::ToString(record.state) == filter.state);
}

// A job without its payload and placement, which may be large.
Json EncodeListEntry(const jobs::JobRecord& record) {
  Json json = jobs::WriteJobSpec(record.spec);
  json.erase("payload");
  json["state"] = jobs::ToString(record.state);
  json["attempt"] = record.attempt.value();
  return json;
}

}  // namespace

struct JobApi::Route {
  const char* http_method;
  const char* pattern;
  Method method;
};

void JobApi::Register(HttpServer& server) {
  static constexpr Route kRoutes[] = {
      {"POST", "/v1/jobs", &JobApi::Submit},
      {"GET", "/v1/jobs", &JobApi::List},
      {"GET", "/v1/jobs/:job", &JobApi::Get},
      {"GET", "/v1/jobs/:job/why", &JobApi::Why},
      {"GET", "/v1/jobs/:job/result", &JobApi::Result},
      {"DELETE", "/v1/jobs/:job", &JobApi::Cancel},
  };
  for (const Route& it : kRoutes) {
    server.Handle(it.http_method, it.pattern,
                  [this, method = it.method](auto request, auto respond) {
                    Dispatch(method, request, respond);
                  });
  }
}

void JobApi::Dispatch(Method method,
                      const HttpRequest& request,
                      const Responder& respond) {
  if (!RequireToken(access_, request, respond))
    return;
  if (jobs::JobService* service = shard_.service()) {
    (this->*method)(*service, request, respond);
    return;
  }
  const auto owner = shard_.Owner();
  // A call is passed on once only, since two nodes that disagree about the
  // owner would otherwise send it back and forth.
  if (!owner || IsForwarded(request)) {
    respond(ErrorResponse(NoOwnerStatus()));
    return;
  }
  forwarder_.Forward(*owner, request, respond);
}

void JobApi::Submit(jobs::JobService& service,
                    const HttpRequest& request,
                    const Responder& respond) {
  Findings findings;
  const auto json = ParseJson(request.body, findings);
  jobs::JobSpec spec;
  if (json)
    spec = jobs::ReadJobSpec(*json, "", findings);
  if (!findings.empty()) {
    respond(ErrorResponse(findings));
    return;
  }
  const WorkspaceId& workspace = spec.job.workspace;
  if (!RequireUse(access_, request, workspace, respond))
    return;
  CheckAgainstSettings(spec, findings);
  if (!findings.empty()) {
    respond(ErrorResponse(findings));
    return;
  }
  service.Submit(
      spec,
      [respond](const jobs::SubmitReply& reply) {
        respond(EncodeSubmitReply(reply));
      },
      clock_.Now());
}

void JobApi::CheckAgainstSettings(const jobs::JobSpec& spec,
                                  Findings& findings) const {
  const std::string& workspace = spec.job.workspace.value();
  if (!shard_.HasWorkspace(spec.job.workspace)) {
    findings.Add({"", 0, "workspace"},
                 "workspace `" + workspace + "` does not exist",
                 "create it under `teams/" + workspace + "`");
  }
  const int max_tasks = settings_.tree().Limits().max_gang_tasks;
  if (spec.job.gang.tasks > max_tasks) {
    findings.Add({"", 0, "tasks"},
                 "must be at most " + std::to_string(max_tasks),
                 "split the job, or raise `site/limits/max_gang_tasks`");
  }
}

void JobApi::List(jobs::JobService& service,
                  const HttpRequest& request,
                  const Responder& respond) {
  QueryReader query(request);
  const JobFilter filter = ReadFilter(query);
  if (const Findings& findings = query.Finish(); !findings.empty()) {
    respond(ErrorResponse(findings));
    return;
  }
  if (service.phase() == jobs::JobService::Phase::kLoading) {
    respond(ErrorResponse(
        absl::UnavailableError("the jobs are still being read; try again")));
    return;
  }
  Json items = Json::array();
  bool truncated = false;
  for (const auto& [id, record] : service.rows().records()) {
    if (!Matches(filter, record))
      continue;
    truncated = items.size() >= filter.limit;
    if (truncated)
      break;
    items.push_back(EncodeListEntry(record));
  }
  respond(JsonResponse({{"jobs", std::move(items)}, {"truncated", truncated}}));
}

void JobApi::Get(jobs::JobService& service,
                 const HttpRequest& request,
                 const Responder& respond) {
  if (const auto view = Find(service, request, respond))
    respond(JsonResponse(EncodeJob(*view)));
}

void JobApi::Why(jobs::JobService& service,
                 const HttpRequest& request,
                 const Responder& respond) {
  if (const auto view = Find(service, request, respond)) {
    respond(JsonResponse(EncodeExplanation(*view)));
  }
}

void JobApi::Result(jobs::JobService& service,
                    const HttpRequest& request,
                    const Responder& respond) {
  const auto view = Find(service, request, respond);
  if (!view ||
      !RequireUse(access_, request, view->record.spec.job.workspace, respond)) {
    return;
  }
  service.Result(JobId(request.Param("job")), [respond](auto result) {
    if (!result.ok()) {
      respond(ErrorResponse(result.status()));
      return;
    }
    HttpResponse response;
    response.body = *std::move(result);
    respond(std::move(response));
  });
}

void JobApi::Cancel(jobs::JobService& service,
                    const HttpRequest& request,
                    const Responder& respond) {
  const auto view = Find(service, request, respond);
  if (!view ||
      !RequireUse(access_, request, view->record.spec.job.workspace, respond)) {
    return;
  }
  const JobId job(request.Param("job"));
  service.Cancel(
      job,
      [job, respond](const jobs::CancelReply& reply) {
        respond(EncodeCancelReply(job, reply));
      },
      clock_.Now());
}

std::optional<jobs::JobView> JobApi::Find(jobs::JobService& service,
                                          const HttpRequest& request,
                                          const Responder& respond) {
  auto view = service.Status(JobId(request.Param("job")), clock_.Now());
  if (!view.ok()) {
    respond(ErrorResponse(view.status()));
    return std::nullopt;
  }
  return *std::move(view);
}

}  // namespace quetzalshelf
