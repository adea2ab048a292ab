#include "main/ctl/job_commands.h"

#include <map>
#include <optional>
#include <utility>

#include "core/yaml_reader.h"

namespace quetzalshelf::ctl {

namespace {

std::string JobTarget(const std::string& id, const std::string& below = "") {
  return "/v1/jobs/" + UrlEncode(id) + below;
}

// Sets a field that a flag gives.
void SetText(Json& json, const char* field, const std::string& value) {
  if (!value.empty())
    json[field] = value;
}

void SetNumber(Json& json, const char* field, int64_t value) {
  if (value >= 0)
    json[field] = value;
}

// The payload of the flags; nullopt when its file cannot be read.
std::optional<std::string> ReadPayload(Context& context,
                                       const std::string& payload,
                                       const std::string& file) {
  if (file.empty())
    return payload;
  auto text = context.environment.read_file(file);
  if (text.ok())
    return *std::move(text);
  ReportUsage(context, file + ": " + std::string(text.status().message()));
  return std::nullopt;
}

std::optional<Json> ReadJobFile(Context& context, const std::string& file) {
  if (file.empty())
    return Json::object();
  const auto text = context.environment.read_file(file);
  if (!text.ok()) {
    ReportUsage(context, file + ": " + std::string(text.status().message()));
    return std::nullopt;
  }
  Findings findings;
  const auto document = YamlDocument::Parse(*text, file, findings);
  if (!document) {
    ReportFindings(context, findings);
    return std::nullopt;
  }
  if (!document->json().is_object()) {
    ReportUsage(context, file + ": must hold named fields");
    return std::nullopt;
  }
  return document->json();
}

// Faults that need no server to be seen.
Findings CheckJob(const Json& job) {
  Findings findings;
  JsonReader reader(job, "", findings);
  reader.RequireString("id");
  reader.RequireString("workspace");
  reader.OptionalString("kind");
  reader.RequireInt("tasks", 1, 1'024);
  JsonReader resources(reader.RequireObject("resources"), "resources",
                       findings);
  ReadResources(resources);
  resources.Finish();
  reader.OptionalString("adjacency");
  reader.OptionalString("urgency");
  reader.OptionalInt("declared_run_ms", 0, int64_t{1} << 40, 0);
  reader.OptionalBool("can_checkpoint", true);
  reader.OptionalInt("max_failures", 1, 100, 3);
  reader.OptionalString("payload", "", size_t{1} << 26);
  reader.Finish();
  return findings;
}

void OverlayFlags(const JobOptions& options, Json& job) {
  SetText(job, "id", options.id);
  SetText(job, "workspace", options.workspace);
  SetText(job, "kind", options.kind);
  if (options.tasks > 0)
    job["tasks"] = options.tasks;
  if (!job.contains("resources"))
    job["resources"] = Json::object();
  if (Json& resources = job["resources"]; resources.is_object()) {
    SetNumber(resources, "accelerators", options.accelerators);
    SetNumber(resources, "cpu_milli", options.cpu_milli);
    SetNumber(resources, "memory_mib", options.memory_mib);
  }
  SetText(job, "adjacency", options.adjacency);
  SetText(job, "urgency", options.urgency);
  SetNumber(job, "declared_run_ms", options.declared_run_ms);
  if (options.no_checkpoint)
    job["can_checkpoint"] = false;
}

// Prints every field of one object as `name: value`.
void PrintFields(Context& context, const Json& json) {
  for (const auto& [name, value] : json.items())
    context.out << name << ": "
                << (value.is_string() ? value.get<std::string>() : value.dump())
                << "\n";
}

Exit PrintReply(Context& context, const ApiReply& reply) {
  if (!reply.ok())
    return ReportFailure(context, reply);
  if (context.json)
    PrintJson(context, reply.body);
  else
    PrintFields(context, reply.body);
  return Exit::kOk;
}

// The workers of a gang, each with the number of its tasks there.
std::string PlacementText(const Json& job) {
  std::map<std::string, int> tasks;
  for (const Json& it : List(job, "placement"))
    ++tasks[it.is_string() ? it.get<std::string>() : it.dump()];
  std::string text;
  for (const auto& [worker, n] : tasks) {
    if (!text.empty())
      text += ", ";
    text += worker + " (" + std::to_string(n) + ")";
  }
  return text;
}

std::string ShapeText(const Json& job) {
  const Json& resources = Object(job, "resources");
  return Text(job, "tasks") + " tasks of " +
         std::to_string(Number(resources, "accelerators")) + " accelerators, " +
         std::to_string(Number(resources, "cpu_milli")) +
         " thousandths of a core and " +
         std::to_string(Number(resources, "memory_mib")) +
         " MiB each, in one " + Text(job, "adjacency");
}

std::string CountedSeconds(const Json& job, const char* field) {
  const uint64_t millis = Number(job, field);
  return millis == 0 ? "" : std::to_string(millis / 1'000) + " s";
}

void PrintJob(Context& context, const Json& job) {
  const bool guaranteed = Text(job, "guaranteed") == "true";
  const Json& why = Object(job, "why");
  TextTable table({"JOB", Text(job, "id")});
  const auto add = [&table](const char* name, const std::string& value) {
    if (!value.empty())
      table.AddRow({name, value});
  };
  add("workspace", Text(job, "workspace"));
  add("kind", Text(job, "kind"));
  add("state",
      Text(job, "state") + (guaranteed ? ", charged to a guarantee" : ""));
  add("attempt", Text(job, "attempt"));
  add("urgency", Text(job, "urgency"));
  add("shape", ShapeText(job));
  add("workers (tasks)", PlacementText(job));
  add("declared run time", CountedSeconds(job, "declared_run_ms"));
  add("saved by checkpoint", CountedSeconds(job, "checkpoint_ms"));
  add("detail", Text(job, "detail"));
  add("why", Text(why, "sentence"));
  add("remedy", Text(why, "remedy"));
  table.Print(context.out);
}

Exit ReportOutcome(Context& context, const ApiReply& reply) {
  const std::string outcome = Text(reply.body, "outcome");
  // An outcome comes with the statuses 200, 503 and 504; other answers are
  // errors.
  if (outcome.empty() && !reply.ok())
    return ReportFailure(context, reply);
  if (context.json) {
    PrintJson(context, reply.body);
  } else if (outcome == "answered") {
    context.out << Text(reply.body, "payload") << "\n";
  } else {
    context.err << (outcome == "not_run" ? "not run" : "outcome unknown")
                << ": " << Text(reply.body, "reason") << "\n";
    if (const uint64_t retry = Number(reply.body, "retry_after_ms"); retry > 0)
      context.err << "try again in " << retry << " ms\n";
  }
  if (outcome == "answered")
    return Exit::kOk;
  return outcome == "not_run" ? Exit::kRefused : Exit::kUnknown;
}

}  // namespace

Exit JobSubmit(Context& context, const JobOptions& options) {
  auto job = ReadJobFile(context, options.file);
  if (!job)
    return Exit::kUsage;
  OverlayFlags(options, *job);
  if (!job->contains("id"))
    (*job)["id"] = context.environment.new_id();
  const auto payload =
      ReadPayload(context, options.payload, options.payload_file);
  if (!payload)
    return Exit::kUsage;
  SetText(*job, "payload", *payload);
  if (const Findings findings = CheckJob(*job); !findings.empty())
    return ReportFindings(context, findings);
  const ApiReply reply =
      context.client.CallIdempotent({"POST", "/v1/jobs", job->dump()});
  if (reply.exit == Exit::kNoServer || reply.exit == Exit::kUnknown)
    context.err << "job " << Text(*job, "id")
                << " may have been accepted; submitting it again with the same "
                   "id and specification is safe\n";
  if (reply.ok() && !context.json) {
    context.out << Text(reply.body, "id") << "\n";
    return Exit::kOk;
  }
  return PrintReply(context, reply);
}

Exit JobStatus(Context& context, const std::string& id) {
  const ApiReply reply = context.client.Get(JobTarget(id));
  if (!reply.ok() || context.json)
    return PrintReply(context, reply);
  PrintJob(context, reply.body);
  return Exit::kOk;
}

Exit JobList(Context& context,
             const std::string& workspace,
             const std::string& state,
             int limit) {
  std::string target = "/v1/jobs?limit=" + std::to_string(limit);
  if (!workspace.empty())
    target += "&workspace=" + UrlEncode(workspace);
  if (!state.empty())
    target += "&state=" + UrlEncode(state);
  const ApiReply reply = context.client.Get(target);
  if (!reply.ok() || context.json)
    return PrintReply(context, reply);
  TextTable table({"JOB", "WORKSPACE", "KIND", "STATE", "ATTEMPT", "TASKS",
                   "ACCELERATORS", "URGENCY"});
  for (const Json& it : List(reply.body, "jobs"))
    table.AddRow({Cell(it, "id"), Cell(it, "workspace"), Cell(it, "kind"),
                  Cell(it, "state"), Cell(it, "attempt"), Cell(it, "tasks"),
                  Cell(Object(it, "resources"), "accelerators"),
                  Cell(it, "urgency")});
  table.Print(context.out);
  if (Text(reply.body, "truncated") == "true")
    context.err << "there are more jobs; raise --limit or filter\n";
  return Exit::kOk;
}

Exit JobCancel(Context& context, const std::string& id) {
  return PrintReply(
      context, context.client.CallIdempotent({"DELETE", JobTarget(id), ""}));
}

Exit JobWhy(Context& context, const std::string& id) {
  const ApiReply reply = context.client.Get(JobTarget(id, "/why"));
  if (!reply.ok() || context.json)
    return PrintReply(context, reply);
  context.out << Text(reply.body, "sentence") << "\n";
  if (const std::string remedy = Text(reply.body, "remedy"); !remedy.empty())
    context.out << "What could be done: " << remedy << "\n";
  return Exit::kOk;
}

Exit JobResult(Context& context,
               const std::string& id,
               const std::string& file) {
  const ApiReply reply = context.client.Get(JobTarget(id, "/result"));
  if (!reply.ok())
    return ReportFailure(context, reply);
  const std::string result = reply.body.dump() + "\n";
  if (file.empty() && context.json) {
    context.out << result;
    return Exit::kOk;
  }
  if (file.empty()) {
    for (const Json& it : List(reply.body, "tasks"))
      context.out << (it.is_string() ? it.get<std::string>() : it.dump())
                  << "\n";
    return Exit::kOk;
  }
  if (const auto status = context.environment.write_file(file, result);
      !status.ok())
    return ReportUsage(context, file + ": " + std::string(status.message()));
  return Exit::kOk;
}

Exit SendRequest(Context& context, const RequestOptions& options) {
  const auto payload =
      ReadPayload(context, options.payload, options.payload_file);
  if (!payload)
    return Exit::kUsage;
  Json body = {{"workspace", options.workspace},
               {"kind", options.kind},
               {"idempotent", options.idempotent},
               {"payload", *payload}};
  if (options.deadline_ms > 0)
    body["deadline_ms"] = options.deadline_ms;
  HttpCall call{"POST", "/v1/requests", ""};
  if (options.idempotent) {
    call.body = body.dump();
    return ReportOutcome(context, context.client.CallIdempotent(call));
  }
  body["ticket"] = "";
  (void)body.dump();  // Faults of the text come to light before the ticket.
  const ApiReply ticket =
      context.client.CallIdempotent({"POST", "/v1/tickets", "{}"});
  if (!ticket.ok()) {
    context.err << "not run: no ticket\n";
    const Exit exit = ReportFailure(context, ticket);
    return exit == Exit::kUnknown ? Exit::kRefused : exit;
  }
  body["ticket"] = Text(ticket.body, "ticket");
  call.body = body.dump();
  return ReportOutcome(context, context.client.CallOnce(call));
}

}  // namespace quetzalshelf::ctl
