// The row of one job in the table service.

#ifndef SERVERS_JOBS_JOB_RECORD_H_
#define SERVERS_JOBS_JOB_RECORD_H_

#include <cstdint>
#include <string>

#include <absl/status/statusor.h>

#include "core/finding.h"
#include "core/ids.h"
#include "core/json_reader.h"
#include "core/time.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::jobs {

// Format written by this version. A row with a larger number was written by a
// newer version and is refused.
inline constexpr int kJobRecordFormat = 1;

// Most tasks in one gang.
inline constexpr int kMaxGangTasks = 4'096;

enum class JobState {
  kWaiting,
  kStarting,  // An attempt was committed and may hold slots or run.
  kRunning,
  kFinished,
  kCancelled,
  kRefused,  // Will never run.
  kFailed,   // Too many failed attempts.
};

const char* ToString(JobState state);
bool IsFinal(JobState state);

// What the caller asks for; never changes after acceptance.
struct JobSpec {
  scheduling::Job job;
  std::string payload;

  friend bool operator==(const JobSpec& a, const JobSpec& b);
};

struct JobRecord {
  JobSpec spec;
  // Order of acceptance within the shard, across owners.
  uint64_t order = 0;
  JobState state = JobState::kWaiting;
  Attempt attempt;
  scheduling::Placement placement;  // Of the last attempt.
  bool guaranteed = false;
  Duration checkpoint{0};  // Run time that a restart need not repeat.
  std::string result;      // Name in the object store, when finished.
  std::string detail;      // Why the job was refused or failed.
};

// Reads the fields of a specification, as in a submission.
JobSpec ReadJobSpec(const Json& json, const std::string& path, Findings& out);
Json WriteJobSpec(const JobSpec& spec);

std::string EncodeJobRecord(const JobRecord& record);
// Errors: kFailedPrecondition (a newer format), kInvalidArgument.
absl::StatusOr<JobRecord> DecodeJobRecord(const std::string& text);

// `job/<region>/<id>`.
std::string JobKey(const RegionId& region, const JobId& job);
std::string JobPrefix(const RegionId& region);
// `result/<job>/<attempt>`.
std::string ResultName(const JobId& job, Attempt attempt);

}  // namespace quetzalshelf::jobs

#endif  // SERVERS_JOBS_JOB_RECORD_H_
