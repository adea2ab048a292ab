#include "main/ctl/cluster_commands.h"

#include <time.h>

#include <algorithm>
#include <ctime>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "core/event_log.h"

namespace quetzalshelf::ctl {

namespace {

constexpr int kTimelinePage = 1'000;
// A node keeps 4,096 events by default; this bounds one that misbehaves.
constexpr int kMaxTimelinePages = 1'000;

// The timelines as far as they could be read.
struct Merged {
  std::vector<Json> events;
  std::vector<std::string> missing;
  int reached = 0;
};

std::string ShardText(const Json& node) {
  std::string text;
  for (const Json& it : List(node, "shards")) {
    if (!text.empty())
      text += ", ";
    text += Text(it, "region");
    text += "@";
    text += Text(it, "epoch");
  }
  return text.empty() ? "-" : text;
}

// Null when the node was not heard lately.
std::string StoreText(const Json& node) {
  const std::string reachable = Text(node, "store_reachable");
  if (reachable.empty())
    return "not known";
  return reachable == "true" ? "reachable" : "not reachable";
}

bool Passes(const Json& event, const TimelineOptions& options) {
  const auto differs = [&event](const char* field, const std::string& wanted) {
    return !wanted.empty() && Text(event, field) != wanted;
  };
  const auto time = static_cast<int64_t>(Number(event, "time_ms"));
  return !differs("job", options.job) &&
         !differs("workspace", options.workspace) &&
         !differs("domain", options.domain) && !differs("node", options.node) &&
         time >= options.from_ms &&
         (options.to_ms == 0 || time <= options.to_ms);
}

// Reads the timeline of one node; false when it cannot be read whole.
bool ReadNode(Context& context,
              const Server& server,
              const TimelineOptions& options,
              Merged& merged) {
  std::string after = "0.0";
  for (int page = 0; page < kMaxTimelinePages; ++page) {
    const ApiReply reply = context.client.GetFrom(
        server, "/v1/timeline?after=" + after +
                    "&limit=" + std::to_string(kTimelinePage));
    if (!reply.ok()) {
      context.err << "warning: " << reply.message << "\n";
      return false;
    }
    const Json& events = List(reply.body, "events");
    for (const Json& it : events) {
      if (Passes(it, options))
        merged.events.push_back(it);
    }
    if (events.size() < kTimelinePage)
      return true;
    const std::string last = Text(events.back(), "hlc");
    if (ParseHybridTime(last) <= ParseHybridTime(after))
      return false;
    after = last;
  }
  return false;
}

void Sort(std::vector<Json>& events) {
  const auto key = [](const Json& it) {
    return std::tuple(ParseHybridTime(Text(it, "hlc")), Text(it, "node"));
  };
  std::stable_sort(
      events.begin(), events.end(),
      [&key](const Json& a, const Json& b) { return key(a) < key(b); });
}

std::string Subject(const Json& event) {
  std::string text;
  for (const char* field : {"job", "workspace", "domain", "request"}) {
    const std::string value = Text(event, field);
    if (value.empty())
      continue;
    if (!text.empty())
      text += " ";
    text += field;
    text += "=";
    text += value;
  }
  return text;
}

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char it : text) {
    switch (it) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += it;
    }
  }
  return escaped;
}

// The nodes that have events, in the order of their names.
std::vector<std::string> NodesOf(const std::vector<Json>& events) {
  std::set<std::string> nodes;
  for (const Json& it : events)
    nodes.insert(Text(it, "node"));
  return {nodes.begin(), nodes.end()};
}

// What an event is about, with its epoch and settings version.
std::string Details(const Json& event) {
  std::string text = Subject(event);
  for (const char* field : {"epoch", "settings"}) {
    const std::string value = Text(event, field);
    if (value.empty())
      continue;
    if (!text.empty())
      text += " ";
    text += std::string(field) + "=" + value;
  }
  return text;
}

// A row of the page: the time, and the event in the column of its node.
std::string EventRow(const Json& event, const std::vector<std::string>& nodes) {
  const auto time = static_cast<int64_t>(Number(event, "time_ms"));
  std::string row = "<tr title=\"" + EscapeHtml(Text(event, "node")) + ", " +
                    EscapeHtml(Text(event, "hlc")) + "\"><td>" +
                    FormatTime(time) + "</td>";
  for (const std::string& it : nodes) {
    if (it != Text(event, "node")) {
      row += "<td></td>";
      continue;
    }
    row += "<td class=\"event\"><b>" + EscapeHtml(Text(event, "kind")) +
           "</b> " + EscapeHtml(Details(event)) + "<br>" +
           EscapeHtml(Text(event, "text")) + "</td>";
  }
  return row + "</tr>\n";
}

constexpr char kPageHead[] = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Timeline</title>
<style>
body { font: 14px sans-serif; margin: 1em; }
input { width: 30em; padding: 4px; margin: 0 0 1em; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: left; padding: 2px 8px; vertical-align: top;
  border-bottom: 1px solid #ddd; }
th { position: sticky; top: 0; background: #f4f4f4; }
td:first-child { white-space: nowrap; font-family: monospace; }
td + td { border-left: 2px solid #bbb; }
td.event { background: #eef4fb; }
.missing { color: #a00; }
</style></head><body>
<h1>Timeline</h1>
)";

constexpr char kPageTail[] = R"(</tbody></table>
<script>
const rows = Array.from(document.querySelectorAll("tbody tr"));
document.getElementById("filter").addEventListener("input", (e) => {
  const words = e.target.value.toLowerCase().split(/\s+/).filter(Boolean);
  for (const row of rows) {
    const text = row.textContent.toLowerCase();
    row.hidden = !words.every((word) => text.includes(word));
  }
});
</script></body></html>
)";

Exit PrintEvents(Context& context, const std::vector<Json>& events) {
  if (context.json) {
    for (const Json& it : events)
      PrintJson(context, it);
    return Exit::kOk;
  }
  TextTable table({"TIME", "NODE", "EVENT", "ABOUT", "TEXT"});
  for (const Json& it : events)
    table.AddRow({FormatTime(static_cast<int64_t>(Number(it, "time_ms"))),
                  Text(it, "node"), Text(it, "kind"), Subject(it),
                  Text(it, "text")});
  table.Print(context.out);
  return Exit::kOk;
}

}  // namespace

std::string FormatTime(int64_t millis) {
  const std::time_t seconds = millis / 1'000;
  std::tm utc = {};
  gmtime_r(&seconds, &utc);
  char buf[32];
  const size_t n = std::strftime(buf, sizeof(buf), "%Y-%m-%d %H:%M:%S.", &utc);
  std::string text(buf, n);
  for (int64_t unit = 100, rest = millis % 1'000; unit > 0; unit /= 10)
    text += static_cast<char>('0' + rest / unit % 10);
  return text;
}

std::string TimelinePage(const std::vector<Json>& events,
                         const std::vector<std::string>& missing) {
  std::string page = kPageHead;
  for (const std::string& it : missing)
    page += "<p class=\"missing\">The events of " + EscapeHtml(it) +
            " are missing.</p>\n";
  const std::vector<std::string> nodes = NodesOf(events);
  page +=
      "<input id=\"filter\" placeholder=\"Filter by words\">\n"
      "<table><thead><tr><th>Time (UTC)</th>";
  for (const std::string& it : nodes)
    page += "<th>" + EscapeHtml(it) + "</th>";
  page += "</tr></thead><tbody>\n";
  for (const Json& it : events)
    page += EventRow(it, nodes);
  return page + kPageTail;
}

void PrintDomains(Context& context, const Json& status) {
  TextTable table({"FAILURE DOMAIN", "REGION", "SERVICE", "WORKERS",
                   "ACCELERATORS", "USED", "GANGS"});
  for (const Json& it : List(status, "domains"))
    table.AddRow({Cell(it, "domain"), Cell(it, "region"),
                  Text(it, "in_service") == "true" ? "in" : "out",
                  Cell(it, "workers"), Cell(it, "accelerators"),
                  Cell(it, "accelerators_used"), Cell(it, "gangs")});
  table.Print(context.out);
}

Exit ShowNodes(Context& context) {
  const ApiReply reply = context.client.Get("/v1/nodes");
  if (!reply.ok())
    return ReportFailure(context, reply);
  if (context.json) {
    PrintJson(context, reply.body);
    return Exit::kOk;
  }
  TextTable table({"NODE", "ADDRESS", "REGION", "FAILURE DOMAIN", "STATE",
                   "SETTINGS", "STORE", "SHARDS"});
  for (const Json& it : List(reply.body, "nodes")) {
    table.AddRow({Cell(it, "node"), Cell(it, "address"), Cell(it, "region"),
                  Cell(it, "domain"), Cell(it, "state"),
                  Cell(it, "settings_version"), StoreText(it), ShardText(it)});
  }
  table.Print(context.out);
  return Exit::kOk;
}

ApiReply FetchStatus(Context& context) {
  ApiReply reply = context.client.Get("/v1/status");
  if (!reply.ok())
    return reply;
  const Json& shards = List(reply.body, "shards");
  if (shards.empty() || Text(shards.front(), "owned_here") == "true")
    return reply;
  const auto owner = ParseServer(Text(shards.front(), "owner_address"));
  if (owner) {
    ApiReply from_owner = context.client.GetFrom(*owner, "/v1/status");
    if (from_owner.ok())
      return from_owner;
    context.err << "warning: the owner of the shard: " << from_owner.message
                << "\n";
  } else {
    context.err << "warning: the shard has no known owner\n";
  }
  return reply;
}

void PrintUnheldGuarantees(Context& context,
                           const Json& status,
                           const std::string& workspace) {
  auto it = status.find("guarantees");
  if (it == status.end() || !it->is_array()) {
    context.err << "whether the guarantees are held is not known\n";
    return;
  }
  for (const Json& guarantee : *it) {
    const std::string name = Text(guarantee, "workspace");
    if (!workspace.empty() && name != workspace)
      continue;
    context.out << "guarantee " << Number(guarantee, "guarantee") << " of "
                << name << " is not held: " << Text(guarantee, "reason")
                << "\n";
  }
}

Exit ShowStatus(Context& context) {
  const ApiReply reply = FetchStatus(context);
  if (!reply.ok())
    return ReportFailure(context, reply);
  if (context.json) {
    PrintJson(context, reply.body);
    return Exit::kOk;
  }
  const bool ready = Text(reply.body, "ready") == "true";
  context.out << "node " << Text(reply.body, "node") << ": "
              << (ready ? "ready" : "not ready: " + Text(reply.body, "reason"))
              << "; settings version " << Number(reply.body, "settings_version")
              << "; store "
              << (Text(reply.body, "store_reachable") == "true"
                      ? "reachable"
                      : "not reachable")
              << "\n";
  TextTable shards(
      {"REGION", "OWNER", "EPOCH", "WORKERS", "WAITING JOBS", "RUNNING JOBS"});
  for (const Json& it : List(reply.body, "shards"))
    shards.AddRow({Cell(it, "region"), Cell(it, "owner"), Cell(it, "epoch"),
                   Cell(it, "workers"), Cell(it, "jobs_waiting"),
                   Cell(it, "jobs_running")});
  shards.Print(context.out);
  PrintDomains(context, reply.body);
  PrintUnheldGuarantees(context, reply.body);
  return Exit::kOk;
}

Exit ShowTimeline(Context& context, const TimelineOptions& options) {
  const ApiReply nodes = context.client.Get("/v1/nodes");
  if (!nodes.ok())
    return ReportFailure(context, nodes);
  Merged merged;
  for (const Json& it : List(nodes.body, "nodes")) {
    const std::string name = Text(it, "node");
    if (!options.node.empty() && name != options.node)
      continue;
    const auto server = ParseServer(Text(it, "address"));
    if (server && ReadNode(context, *server, options, merged))
      ++merged.reached;
    else
      merged.missing.push_back(name);
  }
  Sort(merged.events);
  for (const std::string& it : merged.missing)
    context.err << "warning: not all events of node " << it << " are here\n";
  if (merged.reached == 0 && !merged.missing.empty())
    return Exit::kNoServer;
  if (options.html_file.empty())
    return PrintEvents(context, merged.events);
  const auto status = context.environment.write_file(
      options.html_file, TimelinePage(merged.events, merged.missing));
  if (!status.ok())
    return ReportUsage(
        context, options.html_file + ": " + std::string(status.message()));
  context.out << "wrote " << merged.events.size() << " events to "
              << options.html_file << "\n";
  return Exit::kOk;
}

}  // namespace quetzalshelf::ctl
