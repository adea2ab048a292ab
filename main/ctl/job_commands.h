// The commands `job` and `request`.

#ifndef MAIN_CTL_JOB_COMMANDS_H_
#define MAIN_CTL_JOB_COMMANDS_H_

#include <cstdint>
#include <string>

#include "main/ctl/context.h"

namespace quetzalshelf::ctl {

struct JobOptions {
  std::string file;  // YAML with the fields of POST /v1/jobs; flags override.
  std::string id;
  std::string workspace;
  std::string kind;
  int64_t tasks = 0;
  int64_t accelerators = -1;
  int64_t cpu_milli = -1;
  int64_t memory_mib = -1;
  std::string adjacency;
  std::string urgency;
  int64_t declared_run_ms = -1;
  bool no_checkpoint = false;
  std::string payload;
  std::string payload_file;
};

// The same id with the same specification is the same job, so that a
// submission is repeated safely.
Exit JobSubmit(Context& context, const JobOptions& options);
Exit JobStatus(Context& context, const std::string& id);
Exit JobList(Context& context,
             const std::string& workspace,
             const std::string& state,
             int limit);
Exit JobCancel(Context& context, const std::string& id);
Exit JobWhy(Context& context, const std::string& id);
// Writes the result as JSON to `file`, or prints the result of each task on its
// own line when `file` is empty.
Exit JobResult(Context& context,
               const std::string& id,
               const std::string& file);

struct RequestOptions {
  std::string workspace;
  std::string kind;
  bool idempotent = false;
  int64_t deadline_ms = 0;  // 0 for the workspace's default.
  std::string payload;
  std::string payload_file;
};

// A non-idempotent request gets a ticket first and is sent once.
Exit SendRequest(Context& context, const RequestOptions& options);

}  // namespace quetzalshelf::ctl

#endif  // MAIN_CTL_JOB_COMMANDS_H_
