#include "servers/jobs/job_record.h"

#include <array>
#include <utility>

#include "core/row_codec.h"

namespace quetzalshelf::jobs {

namespace {

constexpr size_t kMaxPayload = 65'536;  // Bytes.

template <typename Enum>
struct Name {
  Enum value;
  const char* text;
};

using scheduling::Adjacency;
using scheduling::Urgency;

constexpr std::array<Name<Adjacency>, 4> kAdjacencies = {{
    {Adjacency::kWorker, "worker"},
    {Adjacency::kRack, "rack"},
    {Adjacency::kDomain, "domain"},
    {Adjacency::kRegion, "region"},
}};

constexpr std::array<Name<Urgency>, 3> kUrgencies = {{
    {Urgency::kUrgent, "urgent"},
    {Urgency::kNormal, "normal"},
    {Urgency::kPatient, "patient"},
}};

constexpr std::array<Name<JobState>, 7> kStates = {{
    {JobState::kWaiting, "waiting"},
    {JobState::kStarting, "starting"},
    {JobState::kRunning, "running"},
    {JobState::kFinished, "finished"},
    {JobState::kCancelled, "cancelled"},
    {JobState::kRefused, "refused"},
    {JobState::kFailed, "failed"},
}};

template <typename Enum, size_t kCount>
const char* NameOf(const std::array<Name<Enum>, kCount>& names, Enum value) {
  for (const auto& name : names) {
    if (name.value == value)
      return name.text;
  }
  return "?";
}

template <typename Enum, size_t kCount>
Enum ReadName(const std::array<Name<Enum>, kCount>& names,
              JsonReader& reader,
              std::string_view field,
              const std::string& text) {
  std::string known;
  for (const auto& name : names) {
    if (text == name.text)
      return name.value;
    known += (known.empty() ? "" : ", ") + std::string(name.text);
  }
  reader.AddFinding(field, "has no known value", "use one of " + known);
  return names[0].value;
}

// Runs of equal workers: [["w1", 8], ["w2", 8]].
Json WritePlacement(const scheduling::Placement& placement) {
  Json runs = Json::array();
  for (const WorkerId& worker : placement) {
    if (!runs.empty() && runs.back()[0] == worker.value())
      runs.back()[1] = runs.back()[1].get<int>() + 1;
    else
      runs.push_back({worker.value(), 1});
  }
  return runs;
}

scheduling::Placement ReadPlacement(JsonReader& reader) {
  scheduling::Placement placement;
  for (const Json& run : reader.OptionalArray("placement")) {
    if (!run.is_array() || run.size() != 2 || !run[0].is_string() ||
        !run[1].is_number_integer() || run[1] < 1 || run[1] > kMaxGangTasks) {
      reader.AddFinding("placement", "must hold pairs of worker and count");
      return {};
    }
    placement.insert(placement.end(), run[1].get<size_t>(),
                     WorkerId(run[0].get<std::string>()));
  }
  return placement;
}

}  // namespace

const char* ToString(JobState state) {
  return NameOf(kStates, state);
}

bool IsFinal(JobState state) {
  return state == JobState::kFinished || state == JobState::kCancelled ||
         state == JobState::kRefused || state == JobState::kFailed;
}

bool operator==(const JobSpec& a, const JobSpec& b) {
  return WriteJobSpec(a) == WriteJobSpec(b);
}

JobSpec ReadJobSpec(const Json& json, const std::string& path, Findings& out) {
  JsonReader reader(json, path, out);
  JobSpec spec;
  scheduling::Job& job = spec.job;
  job.id = reader.RequireId<JobId>("id");
  job.workspace = reader.RequireId<WorkspaceId>("workspace");
  job.kind = reader.OptionalString("kind");
  job.gang.tasks = static_cast<int>(
      reader.RequireInt("tasks", 1, static_cast<int64_t>(kMaxGangTasks)));
  job.gang.adjacency = ReadName(kAdjacencies, reader, "adjacency",
                                reader.OptionalString("adjacency", "region"));
  job.urgency = ReadName(kUrgencies, reader, "urgency",
                         reader.OptionalString("urgency", "normal"));
  job.declared_run_time =
      Duration(reader.OptionalInt("declared_run_ms", 0, kMaxRowNumber, 0));
  job.can_checkpoint = reader.OptionalBool("can_checkpoint", true);
  job.max_failures =
      static_cast<int>(reader.OptionalInt("max_failures", 1, 100, 3));
  spec.payload = reader.OptionalString("payload", "", kMaxPayload);
  if (job.id.value().find('/') != std::string::npos)
    reader.AddFinding("id", "must not contain a slash");
  const Json& resources = reader.RequireObject("resources");
  JsonReader nested(resources, reader.PathOf("resources"), out);
  job.gang.per_task = ReadResources(nested);
  nested.Finish();
  reader.Finish();
  return spec;
}

Json WriteJobSpec(const JobSpec& spec) {
  const scheduling::Job& job = spec.job;
  Json resources = Json::object();
  WriteResources(job.gang.per_task, resources);
  return {{"id", job.id.value()},
          {"workspace", job.workspace.value()},
          {"kind", job.kind},
          {"tasks", job.gang.tasks},
          {"resources", std::move(resources)},
          {"adjacency", NameOf(kAdjacencies, job.gang.adjacency)},
          {"urgency", NameOf(kUrgencies, job.urgency)},
          {"declared_run_ms", job.declared_run_time.count()},
          {"can_checkpoint", job.can_checkpoint},
          {"max_failures", job.max_failures},
          {"payload", spec.payload}};
}

std::string EncodeJobRecord(const JobRecord& record) {
  Json json = {{"format", kJobRecordFormat},
               {"spec", WriteJobSpec(record.spec)},
               {"order", record.order},
               {"state", ToString(record.state)},
               {"attempt", record.attempt.value()}};
  if (!record.placement.empty())
    json["placement"] = WritePlacement(record.placement);
  if (record.guaranteed)
    json["guaranteed"] = true;
  if (record.checkpoint > Duration(0))
    json["checkpoint_ms"] = record.checkpoint.count();
  if (!record.result.empty())
    json["result"] = record.result;
  if (!record.detail.empty())
    json["detail"] = record.detail;
  return json.dump();
}

absl::StatusOr<JobRecord> DecodeJobRecord(const std::string& text) {
  return DecodeVersionedRow<JobRecord>(
      "job row", text, kJobRecordFormat,
      [](JsonReader& reader, Findings& findings) {
        JobRecord record;
        record.spec = ReadJobSpec(reader.RequireObject("spec"),
                                  reader.PathOf("spec"), findings);
        record.order =
            static_cast<uint64_t>(reader.RequireInt("order", 0, kMaxRowNumber));
        record.state =
            ReadName(kStates, reader, "state", reader.RequireString("state"));
        record.attempt = Attempt(static_cast<uint64_t>(
            reader.RequireInt("attempt", 0, kMaxRowNumber)));
        record.placement = ReadPlacement(reader);
        record.guaranteed = reader.OptionalBool("guaranteed", false);
        record.checkpoint =
            Duration(reader.OptionalInt("checkpoint_ms", 0, kMaxRowNumber, 0));
        record.result = reader.OptionalString("result", "", 1'024);
        record.detail = reader.OptionalString("detail", "", 4'096);
        return record;
      });
}

std::string JobKey(const RegionId& region, const JobId& job) {
  return JobPrefix(region) + job.value();
}

std::string JobPrefix(const RegionId& region) {
  return "job/" + region.value() + "/";
}

std::string ResultName(const JobId& job, Attempt attempt) {
  return "result/" + job.value() + "/" + std::to_string(attempt.value());
}

}  // namespace quetzalshelf::jobs
