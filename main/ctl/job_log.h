// The command `job logs`: what the logs of all entry nodes say about one job.

#ifndef MAIN_CTL_JOB_LOG_H_
#define MAIN_CTL_JOB_LOG_H_

#include <string>

#include "main/ctl/context.h"

namespace quetzalshelf::ctl {

// Prints the lines that name the job, and the changes of the leader meanwhile,
// in the order of their times, and then the likely cause of a late end. `file`
// holds the log lines of all nodes, in any order; text before the JSON object
// of a line is passed over.
Exit JobLogs(Context& context, const std::string& id, const std::string& file);

}  // namespace quetzalshelf::ctl

#endif  // MAIN_CTL_JOB_LOG_H_
