#include "main/ctl/job_log.h"

#include <algorithm>
#include <array>
#include <optional>
#include <regex>
#include <sstream>
#include <utility>
#include <vector>

namespace quetzalshelf::ctl {

namespace {

// A wait below this does not explain a late end.
constexpr int64_t kNotableWaitMs = 300;
// Changes of the leader this long before the first line of a job may delay it.
constexpr uint64_t kLeaderMarginMs = 2'000;

struct LogLine {
  uint64_t time_ms = 0;
  std::string node;
  std::string message;
};

// The numbers of the line that tells a job's end.
struct JobEnd {
  std::string phase;
  int64_t after_ms = 0;
  int64_t objective_ms = 0;
  int64_t loaded_ms = 0;
  int64_t placed_ms = 0;  // -1 when a former leader placed it.
  int64_t attempts = 0;
};

bool StartsWithAny(const std::string& text,
                   std::initializer_list<const char*> beginnings) {
  return std::ranges::any_of(
      beginnings, [&](const char* it) { return text.starts_with(it); });
}

bool IsLeaderChange(const LogLine& line) {
  return StartsWithAny(
      line.message, {"leading:", "giving up leadership", "no longer leading"});
}

std::optional<LogLine> ParseLine(const std::string& text) {
  const size_t begin = text.find('{');
  if (begin == std::string::npos)
    return std::nullopt;
  const Json json = Json::parse(text.substr(begin), nullptr, false);
  if (!json.is_object() || Text(json, "message").empty())
    return std::nullopt;
  return LogLine{Number(json, "time_ms"), Text(json, "process"),
                 Text(json, "message")};
}

std::vector<LogLine> SelectLines(const std::string& log,
                                 const std::string& id) {
  std::vector<LogLine> lines;
  std::vector<LogLine> changes;
  std::istringstream in(log);
  for (std::string text; std::getline(in, text);) {
    auto line = ParseLine(text);
    if (line && line->message.find(id) != std::string::npos)
      lines.push_back(*std::move(line));
    else if (line && IsLeaderChange(*line))
      changes.push_back(*std::move(line));
  }
  if (lines.empty())
    return lines;
  const auto [first, last] = std::ranges::minmax(lines, {}, &LogLine::time_ms);
  for (LogLine& it : changes) {
    if (it.time_ms + kLeaderMarginMs >= first.time_ms &&
        it.time_ms <= last.time_ms)
      lines.push_back(std::move(it));
  }
  std::ranges::stable_sort(lines, {}, &LogLine::time_ms);
  return lines;
}

std::optional<JobEnd> FindEnd(const std::vector<LogLine>& lines) {
  static const std::regex kEnd(
      R"(job \w+ is (\w+): .*after_ms=(\d+) objective_ms=(\d+) )"
      R"(loaded_ms=(-?\d+) placed_ms=(-?\d+) attempts=(\d+))");
  std::optional<JobEnd> end;
  for (const LogLine& it : lines) {
    if (std::smatch match; std::regex_match(it.message, match, kEnd)) {
      end = JobEnd{match[1],
                   std::stoll(match[2]),
                   std::stoll(match[3]),
                   std::stoll(match[4]),
                   std::stoll(match[5]),
                   std::stoll(match[6])};
    }
  }
  return end;
}

// The first line that says why a run of the job did not go on.
std::string FindInterruption(const std::vector<LogLine>& lines) {
  for (const LogLine& it : lines) {
    for (const char* const word : {"is stalled", "is stopped", "lost its run",
                                   "reason=failed", "moves from"}) {
      if (it.message.find(word) != std::string::npos)
        return it.message;
    }
  }
  return "no line of these logs says why";
}

// Time from the placement of the first tasks to the first confirmed start, in
// milliseconds: the writing of the state and the start orders. 0 when these
// logs do not tell.
int64_t StartWaitMs(const std::vector<LogLine>& lines, const JobEnd& end) {
  const auto find = [&](const char* word) {
    return std::ranges::find_if(lines, [&](const LogLine& it) {
      return it.message.find(word) != std::string::npos;
    });
  };
  const auto loaded = find(" loaded: ");
  const auto started = find(" started: ");
  if (loaded == lines.end() || started == lines.end() || end.placed_ms < 0)
    return 0;
  return static_cast<int64_t>(started->time_ms) -
         static_cast<int64_t>(loaded->time_ms) -
         (end.placed_ms - end.loaded_ms);
}

std::string FindRefusal(const std::vector<LogLine>& lines) {
  for (const LogLine& it : std::vector(lines.rbegin(), lines.rend())) {
    if (it.message.starts_with("POST "))
      return "not loaded by a leader; the last answer to its submission: " +
             it.message;
  }
  return "these logs have no end of the job";
}

std::string ExplainEnd(const std::vector<LogLine>& lines) {
  const std::optional<JobEnd> end = FindEnd(lines);
  const bool loaded = std::ranges::any_of(lines, [](const LogLine& it) {
    return it.message.find(" loaded: ") != std::string::npos;
  });
  if (!end)
    return loaded ? "these logs have no end of the job" : FindRefusal(lines);
  const std::string times = end->phase + " after " +
                            std::to_string(end->after_ms) + " ms, objective " +
                            std::to_string(end->objective_ms) + " ms";
  if (end->after_ms <= end->objective_ms)
    return times + ": on time";
  if (end->attempts > 1)
    return times + ": started again: " + FindInterruption(lines);
  const int64_t start_wait_ms = StartWaitMs(lines, *end);
  if (start_wait_ms > std::max(kNotableWaitMs, end->loaded_ms)) {
    return times + ": its start took " + std::to_string(start_wait_ms) +
           " ms after its placement: the store or the workers were slow";
  }
  if (end->placed_ms >= 0 && end->loaded_ms > kNotableWaitMs) {
    const bool changed = std::ranges::any_of(lines, IsLeaderChange);
    return times + ": the leader learned of it after " +
           std::to_string(end->loaded_ms) + " ms: " +
           (changed ? "the leader changed" : "its row or the feed was late");
  }
  if (end->placed_ms < 0)
    return times + ": a former leader started it; see the changes above";
  if (end->placed_ms - end->loaded_ms > kNotableWaitMs) {
    return times + ": it waited " +
           std::to_string(end->placed_ms - end->loaded_ms) +
           " ms for workers with room";
  }
  return times + ": it started at once, and its tasks ran for longer than " +
         "estimated";
}

}  // namespace

Exit JobLogs(Context& context, const std::string& id, const std::string& file) {
  const auto log = context.environment.read_file(file);
  if (!log.ok()) {
    context.err << "error: " << file << ": "
                << std::string(log.status().message()) << "\n";
    return Exit::kUsage;
  }
  const std::vector<LogLine> lines = SelectLines(*log, id);
  if (lines.empty()) {
    context.err << "error: no line of " << file << " names job " << id << "\n";
    return Exit::kRefused;
  }
  const uint64_t begin = lines.front().time_ms;
  const std::string cause = ExplainEnd(lines);
  if (context.json) {
    Json rows = Json::array();
    for (const LogLine& it : lines) {
      rows.push_back({{"time_ms", it.time_ms},
                      {"node", it.node},
                      {"message", it.message}});
    }
    PrintJson(context, {{"job", id}, {"lines", rows}, {"cause", cause}});
    return Exit::kOk;
  }
  TextTable table({"after_ms", "node", "message"});
  for (const LogLine& it : lines)
    table.AddRow({std::to_string(it.time_ms - begin), it.node, it.message});
  table.Print(context.out);
  context.out << "cause: " << cause << "\n";
  return Exit::kOk;
}

}  // namespace quetzalshelf::ctl
