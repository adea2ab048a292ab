#include "drivers/worker/worker_codec.h"

#include <array>
#include <limits>
#include <string>
#include <utility>

namespace quetzalshelf {

namespace {

constexpr int64_t kMaxNumber = std::numeric_limits<int64_t>::max();
constexpr int64_t kMinNumber = std::numeric_limits<int64_t>::min();
constexpr int64_t kMaxMillis = int64_t{366} * 24 * 3'600'000;
constexpr int kMaxTaskIndex = 1'000'000;
constexpr int kMaxThrottlePercent = 100;

constexpr std::array kStateNames = {"prepared", "running", "checkpointing",
                                    "finished", "failed",  "stopped"};
constexpr std::array kActionNames = {"checkpoint", "throttle", "stop"};

template <typename Enum, size_t N>
Enum RequireEnum(JsonReader& reader,
                 std::string_view field,
                 const std::array<const char*, N>& names) {
  const std::string text = reader.RequireString(field);
  for (size_t i = 0; i < N; ++i) {
    if (text == names[i])
      return static_cast<Enum>(i);
  }
  if (!text.empty())
    reader.AddFinding(field, "has the unknown value " + text);
  return Enum{};
}

uint64_t RequireNumber(JsonReader& reader, std::string_view field) {
  return static_cast<uint64_t>(reader.RequireInt(field, 0, kMaxNumber));
}

Duration RequireMillis(JsonReader& reader, std::string_view field) {
  return Duration(reader.RequireInt(field, 0, kMaxMillis));
}

Duration OptionalMillis(JsonReader& reader, std::string_view field) {
  return Duration(reader.OptionalInt(field, 0, kMaxMillis, 0));
}

TimePoint RequireClock(JsonReader& reader, std::string_view field) {
  return FromMillis(reader.RequireInt(field, kMinNumber, kMaxNumber));
}

GangKey ReadGang(JsonReader& reader) {
  GangKey gang;
  gang.job = reader.RequireId<JobId>("job");
  gang.attempt = Attempt(RequireNumber(reader, "attempt"));
  return gang;
}

void WriteGang(const GangKey& gang, Json& json) {
  json["job"] = gang.job.value();
  json["attempt"] = gang.attempt.value();
}

std::string Indexed(const char* field, size_t i) {
  return std::string(field) + "[" + std::to_string(i) + "]";
}

// Parses `body` and reads the fields of its object by `read`.
template <typename Read>
auto Decode(std::string_view body, Findings& findings, Read read)
    -> std::optional<decltype(read(std::declval<JsonReader&>()))> {
  const std::optional<Json> json = ParseJson(body, findings);
  if (!json)
    return std::nullopt;
  JsonReader reader(*json, "", findings);
  auto message = read(reader);
  reader.Finish();
  if (!findings.empty())
    return std::nullopt;
  return message;
}

// Fields with their default value are left out, since reports make up most of
// the bytes between nodes and workers.
Json EncodeReport(const TaskReport& report) {
  Json json = {{"task", report.task},
               {"state", kStateNames.at(static_cast<size_t>(report.state))}};
  WriteGang(report.gang, json);
  if (report.progress != Duration{0})
    json["progress_ms"] = report.progress.count();
  if (report.checkpointed != Duration{0})
    json["checkpointed_ms"] = report.checkpointed.count();
  if (report.accelerators_used != Accelerators())
    json["accelerators_used"] = report.accelerators_used.value();
  if (!report.result.empty())
    json["result"] = report.result;
  if (!report.error.empty())
    json["error"] = report.error;
  return json;
}

TaskReport ReadReport(const Json& json,
                      const std::string& path,
                      Findings& findings) {
  JsonReader reader(json, path, findings);
  TaskReport report;
  report.gang = ReadGang(reader);
  report.task = static_cast<int>(reader.RequireInt("task", 0, kMaxTaskIndex));
  report.state = RequireEnum<TaskState>(reader, "state", kStateNames);
  report.progress = OptionalMillis(reader, "progress_ms");
  report.checkpointed = OptionalMillis(reader, "checkpointed_ms");
  report.accelerators_used =
      Accelerators(reader.OptionalInt("accelerators_used", 0, kMaxNumber, 0));
  report.result = reader.OptionalString("result", "", kMaxTaskResultBytes);
  report.error = reader.OptionalString("error", "", kMaxTaskResultBytes);
  reader.Finish();
  return report;
}

TaskAssignment ReadAssignment(const Json& json,
                              const std::string& path,
                              Findings& findings) {
  JsonReader reader(json, path, findings);
  TaskAssignment assignment;
  assignment.task =
      static_cast<int>(reader.RequireInt("task", 0, kMaxTaskIndex));
  assignment.resources = ReadResources(reader);
  reader.Finish();
  return assignment;
}

}  // namespace

Json EncodeSyncRequest(const SyncRequest& request) {
  return {{"region", request.region.value()},
          {"epoch", request.epoch.value()},
          {"lease_ms", request.lease.count()},
          {"incarnation", request.incarnation.value()},
          {"acknowledged", request.acknowledged}};
}

std::optional<SyncRequest> DecodeSyncRequest(std::string_view body,
                                             Findings& findings) {
  return Decode(body, findings, [](JsonReader& reader) {
    SyncRequest request;
    request.region = reader.RequireId<RegionId>("region");
    request.epoch = Epoch(RequireNumber(reader, "epoch"));
    request.lease = RequireMillis(reader, "lease_ms");
    request.incarnation = IncarnationId(reader.OptionalString("incarnation"));
    request.acknowledged = RequireNumber(reader, "acknowledged");
    return request;
  });
}

Json EncodeSyncReply(const SyncReply& reply) {
  Json json = {{"incarnation", reply.incarnation.value()},
               {"clock_ms", ToMillis(reply.clock)},
               {"sequence", reply.sequence}};
  for (const TaskReport& it : reply.reports)
    json["reports"].push_back(EncodeReport(it));
  for (const GangKey& it : reply.held) {
    Json gang;
    WriteGang(it, gang);
    json["held"].push_back(std::move(gang));
  }
  return json;
}

std::optional<SyncReply> DecodeSyncReply(std::string_view body,
                                         Findings& findings) {
  return Decode(body, findings, [&](JsonReader& reader) {
    SyncReply reply;
    reply.incarnation = reader.RequireId<IncarnationId>("incarnation");
    reply.clock = RequireClock(reader, "clock_ms");
    reply.sequence = RequireNumber(reader, "sequence");
    for (const Json& it : reader.OptionalArray("reports")) {
      reply.reports.push_back(
          ReadReport(it, Indexed("reports", reply.reports.size()), findings));
    }
    for (const Json& it : reader.OptionalArray("held")) {
      JsonReader gang(it, Indexed("held", reply.held.size()), findings);
      reply.held.push_back(ReadGang(gang));
      gang.Finish();
    }
    return reply;
  });
}

Json EncodePrepareRequest(const PrepareRequest& request) {
  Json json = {{"region", request.region.value()},
               {"epoch", request.epoch.value()},
               {"incarnation", request.incarnation.value()},
               {"deadline_ms", ToMillis(request.deadline)},
               {"kind", request.kind},
               {"payload", request.payload},
               {"run_time_ms", request.run_time.count()},
               {"resume_from_ms", request.resume_from.count()},
               {"tasks", Json::array()}};
  WriteGang(request.gang, json);
  for (const TaskAssignment& it : request.tasks) {
    Json task = {{"task", it.task}};
    WriteResources(it.resources, task);
    json["tasks"].push_back(std::move(task));
  }
  return json;
}

std::optional<PrepareRequest> DecodePrepareRequest(std::string_view body,
                                                   Findings& findings) {
  return Decode(body, findings, [&](JsonReader& reader) {
    PrepareRequest request;
    request.region = reader.RequireId<RegionId>("region");
    request.epoch = Epoch(RequireNumber(reader, "epoch"));
    request.incarnation = reader.RequireId<IncarnationId>("incarnation");
    request.deadline = RequireClock(reader, "deadline_ms");
    request.gang = ReadGang(reader);
    request.kind = reader.OptionalString("kind");
    request.payload =
        reader.OptionalString("payload", "", kMaxTaskPayloadBytes);
    request.run_time = OptionalMillis(reader, "run_time_ms");
    request.resume_from = OptionalMillis(reader, "resume_from_ms");
    for (const Json& it : reader.RequireArray("tasks")) {
      request.tasks.push_back(
          ReadAssignment(it, Indexed("tasks", request.tasks.size()), findings));
    }
    return request;
  });
}

Json EncodeRunRequest(const RunRequest& request) {
  Json json = {{"region", request.region.value()},
               {"epoch", request.epoch.value()},
               {"incarnation", request.incarnation.value()},
               {"deadline_ms", ToMillis(request.deadline)}};
  WriteGang(request.gang, json);
  return json;
}

std::optional<RunRequest> DecodeRunRequest(std::string_view body,
                                           Findings& findings) {
  return Decode(body, findings, [](JsonReader& reader) {
    RunRequest request;
    request.region = reader.RequireId<RegionId>("region");
    request.epoch = Epoch(RequireNumber(reader, "epoch"));
    request.incarnation = reader.RequireId<IncarnationId>("incarnation");
    request.deadline = RequireClock(reader, "deadline_ms");
    request.gang = ReadGang(reader);
    return request;
  });
}

Json EncodeGangRequest(const GangRequest& request) {
  Json json = {
      {"region", request.region.value()},
      {"epoch", request.epoch.value()},
      {"action", kActionNames.at(static_cast<size_t>(request.action))}};
  WriteGang(request.gang, json);
  if (request.action == GangAction::kThrottle)
    json["throttle_percent"] = request.throttle_percent;
  return json;
}

std::optional<GangRequest> DecodeGangRequest(std::string_view body,
                                             Findings& findings) {
  return Decode(body, findings, [](JsonReader& reader) {
    GangRequest request;
    request.region = reader.RequireId<RegionId>("region");
    request.epoch = Epoch(RequireNumber(reader, "epoch"));
    request.gang = ReadGang(reader);
    request.action = RequireEnum<GangAction>(reader, "action", kActionNames);
    request.throttle_percent = static_cast<int>(reader.OptionalInt(
        "throttle_percent", 0, kMaxThrottlePercent, kMaxThrottlePercent));
    return request;
  });
}

}  // namespace quetzalshelf
