#include "servers/batch/job_codec.h"

#include <limits>

#include "core/json_reader.h"

namespace quetzalshelf::batch {

namespace {

constexpr int64_t kMaxNumber = std::numeric_limits<int32_t>::max();
constexpr int64_t kMaxWallMs = std::numeric_limits<int64_t>::max() / 2;
constexpr size_t kMaxPayloadBytes = 65'536;

void PutIf(Json& json, const char* field, bool value) {
  if (value)
    json[field] = true;
}

void PutIf(Json& json, const char* field, const std::string& value) {
  if (!value.empty())
    json[field] = value;
}

void PutIf(Json& json, const char* field, int64_t value) {
  if (value != 0)
    json[field] = value;
}

Json EncodeStep(const StepSpec& step) {
  Json json = {{"tasks", step.tasks}};
  WriteResources(step.resources, json);
  PutIf(json, "estimate_ms", step.estimate.count());
  if (!step.depends_on.empty())
    json["depends_on"] = step.depends_on;
  PutIf(json, "gang", step.gang);
  PutIf(json, "rack_local", step.rack_local);
  PutIf(json, "checkpointing", step.checkpointing);
  PutIf(json, "speculative", step.speculative);
  PutIf(json, "long_running", step.long_running);
  PutIf(json, "fills", step.fills);
  PutIf(json, "required_label", step.required_label);
  PutIf(json, "data_rack", step.data_rack.value());
  PutIf(json, "max_per_worker", int64_t{step.max_per_worker});
  PutIf(json, "image", step.image);
  PutIf(json, "latency_target_ms", step.latency_target.count());
  PutIf(json, "max_unavailable", int64_t{step.max_unavailable});
  return json;
}

int ReadInt(JsonReader& reader, const char* field) {
  return static_cast<int>(reader.OptionalInt(field, 0, kMaxNumber, 0));
}

StepSpec DecodeStep(const Json& json,
                    const std::string& path,
                    Findings& findings) {
  JsonReader reader(json, path, findings);
  StepSpec step;
  step.tasks = static_cast<int>(reader.RequireInt("tasks", 1, kMaxNumber));
  step.resources = ReadResources(reader);
  step.estimate = Duration(ReadInt(reader, "estimate_ms"));
  for (const Json& it : reader.OptionalArray("depends_on")) {
    if (it.is_number_integer())
      step.depends_on.push_back(it.get<int>());
  }
  step.gang = reader.OptionalBool("gang", false);
  step.rack_local = reader.OptionalBool("rack_local", false);
  step.checkpointing = reader.OptionalBool("checkpointing", false);
  step.speculative = reader.OptionalBool("speculative", false);
  step.long_running = reader.OptionalBool("long_running", false);
  step.fills = reader.OptionalBool("fills", false);
  step.required_label = reader.OptionalString("required_label");
  step.data_rack = RackId(reader.OptionalString("data_rack"));
  step.max_per_worker = ReadInt(reader, "max_per_worker");
  step.image = reader.OptionalString("image");
  step.latency_target = Duration(ReadInt(reader, "latency_target_ms"));
  step.max_unavailable = ReadInt(reader, "max_unavailable");
  return step;
}

}  // namespace

std::string EncodeJobRecord(const JobRecord& record) {
  Json json = {{"workspace", record.workspace.value()},
               {"queue", record.queue.value()},
               {"service", record.service.value()},
               {"priority", record.priority},
               {"attempts", record.attempts},
               {"slack_factor", record.slack_factor},
               {"target_latency_ms", record.target_latency.count()},
               {"accepted_wall_ms", record.accepted_wall_ms},
               {"payload", record.spec.payload}};
  for (const StepSpec& it : record.spec.steps)
    json["steps"].push_back(EncodeStep(it));
  const Recurrence& recurrence = record.spec.recurrence;
  PutIf(json, "occurrences", int64_t{recurrence.occurrences});
  PutIf(json, "first_wall_ms", recurrence.first_wall_ms);
  PutIf(json, "period_ms", recurrence.period.count());
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<JobRecord> DecodeJobRecord(const JobId& id,
                                         const std::string& value,
                                         Findings& findings) {
  const std::optional<Json> json = ParseJson(value, findings);
  if (!json)
    return std::nullopt;
  JsonReader reader(*json, "", findings);
  JobRecord record;
  record.id = id;
  record.workspace = WorkspaceId(reader.RequireString("workspace"));
  record.queue = reader.RequireId<QueueName>("queue");
  record.service = reader.RequireId<ServiceName>("service");
  record.priority = ReadInt(reader, "priority");
  record.attempts =
      static_cast<int>(reader.RequireInt("attempts", 1, kMaxNumber));
  record.slack_factor = reader.RequireDouble("slack_factor");
  record.target_latency = Duration(ReadInt(reader, "target_latency_ms"));
  record.accepted_wall_ms =
      reader.RequireInt("accepted_wall_ms", 0, kMaxWallMs);
  record.spec.payload = reader.OptionalString("payload", "", kMaxPayloadBytes);
  const Json& steps = reader.RequireArray("steps");
  for (size_t n = 0; n < steps.size(); ++n) {
    record.spec.steps.push_back(
        DecodeStep(steps[n], "steps[" + std::to_string(n) + "]", findings));
  }
  Recurrence& recurrence = record.spec.recurrence;
  recurrence.occurrences = ReadInt(reader, "occurrences");
  recurrence.first_wall_ms =
      reader.OptionalInt("first_wall_ms", 0, kMaxWallMs, 0);
  recurrence.period = Duration(ReadInt(reader, "period_ms"));
  if (!findings.empty())
    return std::nullopt;
  return record;
}

}  // namespace quetzalshelf::batch
