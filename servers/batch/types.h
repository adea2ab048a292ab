// Data types of batch jobs: what a caller submits and what the site's
// configuration says about queues and workspaces.

#ifndef SERVERS_BATCH_TYPES_H_
#define SERVERS_BATCH_TYPES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "core/units.h"

namespace quetzalshelf::batch {

using QueueName = StringId<struct QueueNameTag>;
using ServiceName = StringId<struct ServiceNameTag>;

// Names one task of one occurrence of a job.
struct TaskId {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

// `JOB.OCCURRENCE.STEP.INDEX`, for logs and for workers.
std::string ToString(const TaskId& task);
// False when `text` has another form.
bool ParseTaskId(const std::string& text, TaskId& task);

// Tasks of one kind that become ready together.
struct StepSpec {
  int tasks = 0;
  Resources resources;          // Of each task.
  Duration estimate{0};         // Rough run time of a task.
  std::vector<int> depends_on;  // Earlier steps, counted from 0.
  bool gang = false;            // The tasks run together or not at all.
  bool rack_local = false;      // Slower when spread over several racks.
  bool checkpointing = false;
  bool speculative = false;   // Copies of a task may run at the same time.
  bool long_running = false;  // Runs until the job is cancelled.
  bool fills = false;  // Uses only processor time that other tasks leave idle.
  std::string required_label;
  RackId data_rack;        // Slower on any other rack.
  int max_per_worker = 0;  // 0: no limit.
  std::string image;
  Duration latency_target{0};  // Of a long-running task's own users.
  // Tasks that the scheduler's own actions may make unavailable at once.
  int max_unavailable = 0;
};

// Times at which the steps of a job are run again.
struct Recurrence {
  int occurrences = 0;        // 0: run once, at once.
  int64_t first_wall_ms = 0;  // Milliseconds since the Unix epoch.
  Duration period{0};
};

struct JobSpec {
  std::string payload;
  std::vector<StepSpec> steps;
  Recurrence recurrence;
};

// A queue of jobs, found by host and path of a request.
struct QueueConfig {
  QueueName name;
  std::string host;
  std::string prefix;
  ServiceName service;
  int priority = 0;  // 0 comes first and may preempt others.
  int attempts = 1;  // Failed runs of a task after which its job has failed.
  double slack_factor = 1.0;
  Duration target_latency{0};
  bool anonymous = false;  // Calls need no key.
  bool needs_advice = false;
};

// Tasks of this size that fit into `room` by the amounts that `cap` limits;
// kUnlimitedTasks when none does, never negative.
inline constexpr int kUnlimitedTasks = 1'000'000'000;
int CountTasksIn(const Resources& room,
                 const Resources& cap,
                 const Resources& each);
// How often tasks of this size must start one after the other under the cap. At
// least 1.
int CountWaves(int tasks, const Resources& cap, const Resources& each);

struct ServiceConfig {
  ServiceName name;
  bool standby = false;  // Its machines are switched off.
};

struct WorkspaceConfig {
  WorkspaceId name;
  std::vector<std::string> keys;
  Accelerators guaranteed;
  // Its part of a service that is short of room, relative to those of other
  // workspaces; 0 where the configuration has none.
  double weight = 0;
  // What may run at once, over all workers; an amount of 0 is not limited. Goes
  // before the guarantee where that is greater.
  Resources cap;

  // Whether one task of the step, or the whole gang, can run under the cap.
  bool CanRun(const StepSpec& step) const;
};

struct SiteLimits {
  int64_t max_body_bytes = 0;
};

// One version of the configuration of the site.
struct SiteConfig {
  uint64_t version = 0;
  std::vector<QueueConfig> queues;
  std::vector<ServiceConfig> services;
  std::vector<WorkspaceConfig> workspaces;
  SiteLimits limits;

  // The queue with the longest prefix of `path` on `host`; null if none.
  const QueueConfig* FindQueue(const std::string& host,
                               const std::string& path) const;
  const QueueConfig* FindQueue(const QueueName& name) const;
  // The workspace that owns `key`; null if none.
  const WorkspaceConfig* FindWorkspaceByKey(const std::string& key) const;
  const WorkspaceConfig* FindWorkspace(const WorkspaceId& name) const;
};

// An accepted job with the settings of its queue at that time.
struct JobRecord {
  JobId id;
  WorkspaceId workspace;
  QueueName queue;
  ServiceName service;
  int priority = 0;
  int attempts = 1;
  double slack_factor = 1.0;
  Duration target_latency{0};
  int64_t accepted_wall_ms = 0;
  JobSpec spec;
};

// Where a worker is and what it can hold.
struct WorkerEntry {
  WorkerId id;
  ServiceName service;
  std::string host;
  int port = 0;
  DomainId domain;
  RackId rack;
  std::vector<std::string> labels;  // Its kind and its rack.
  Resources capacity;
  bool draining = false;
  Duration remaining{0};  // While draining: the least time that is left.
  int64_t incarnation_start_wall_ms = 0;  // Start of this incarnation.
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_TYPES_H_
