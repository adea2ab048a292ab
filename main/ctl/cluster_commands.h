// The commands `nodes`, `status` and `timeline`.

#ifndef MAIN_CTL_CLUSTER_COMMANDS_H_
#define MAIN_CTL_CLUSTER_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "main/ctl/context.h"

namespace quetzalshelf::ctl {

// GET /v1/status of the node that owns the shard, since only it counts jobs and
// guarantees; of any other node when the owner cannot be reached.
ApiReply FetchStatus(Context& context);
// The guarantees of a status that have no home, one a line, or that they are
// not known. With a workspace only those of it.
void PrintUnheldGuarantees(Context& context,
                           const Json& status,
                           const std::string& workspace = "");

// The failure domains of a status as a table.
void PrintDomains(Context& context, const Json& status);

Exit ShowNodes(Context& context);
Exit ShowStatus(Context& context);

// Filters of the timeline; empty or 0 for no filter.
struct TimelineOptions {
  std::string job;
  std::string workspace;
  std::string domain;
  std::string node;
  int64_t from_ms = 0;  // Since the Unix epoch.
  int64_t to_ms = 0;
  std::string html_file;
};

// Merges the timelines of all nodes in the order of their hybrid times. Nodes
// that cannot be reached are named; with none reached the exit is kNoServer.
Exit ShowTimeline(Context& context, const TimelineOptions& options);

// One page that needs nothing from a network: a row for each event, with one
// column for each node. `missing` names nodes whose
// events are not in it.
std::string TimelinePage(const std::vector<Json>& events,
                         const std::vector<std::string>& missing);

// UTC time of milliseconds since the Unix epoch.
std::string FormatTime(int64_t millis);

}  // namespace quetzalshelf::ctl

#endif  // MAIN_CTL_CLUSTER_COMMANDS_H_
