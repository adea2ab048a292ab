#include "servers/settings/schema.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <optional>

#include "core/yaml_reader.h"

namespace quetzalshelf::settings {

namespace {

constexpr size_t kMaxNameSize = 64;
constexpr int64_t kMaxAccelerators = 1'000'000;
constexpr int64_t kMaxMilliseconds = 86'400'000;  // One day.

constexpr std::array kSchema = {
    SchemaEntry{"site/domains/<domain>/in_service", ValueType::kBool, 0, 1,
                "true", "",
                "Whether tasks may start in the failure domain. When it goes "
                "out of service, gangs there checkpoint and move."},
    SchemaEntry{"site/limits/max_body_bytes", ValueType::kInt, 4'096,
                67'108'864, "1048576", "bytes",
                "Largest body of a message that a node accepts."},
    SchemaEntry{"site/limits/max_requests_in_flight", ValueType::kInt, 1,
                100'000, "2048", "requests",
                "Requests of all workspaces that one node has at backend "
                "servers at the same time."},
    SchemaEntry{"site/limits/max_requests_queued", ValueType::kInt, 0, 100'000,
                "4096", "requests",
                "Requests of all workspaces that wait in one node."},
    SchemaEntry{"site/limits/max_request_deadline_ms", ValueType::kInt, 100,
                kMaxMilliseconds, "600000", "ms",
                "Longest deadline that a request may ask for."},
    SchemaEntry{"site/limits/max_gang_tasks", ValueType::kInt, 1, 1'024, "1024",
                "tasks", "Most tasks of one job."},
    SchemaEntry{"teams/<workspace>/weight", ValueType::kInt, 1, 1'000, "1", "",
                "Share of borrowed capacity, relative to other workspaces."},
    SchemaEntry{"teams/<workspace>/quota_accelerators", ValueType::kInt, 0,
                kMaxAccelerators, "0", "accelerators",
                "Most accelerators in use; 0 means no limit."},
    SchemaEntry{"teams/<workspace>/max_queued_jobs", ValueType::kInt, 1,
                1'000'000, "10000", "jobs",
                "Waiting jobs; a submission beyond it is refused."},
    SchemaEntry{"teams/<workspace>/reclaim_deadline_ms", ValueType::kInt, 1'000,
                kMaxMilliseconds, "30000", "ms",
                "From the moment that a guaranteed gang waits until it must "
                "have started."},
    SchemaEntry{"teams/<workspace>/guarantees[]/tasks", ValueType::kInt, 1,
                1'024, nullptr, "tasks", "Tasks of the guaranteed shape."},
    SchemaEntry{"teams/<workspace>/guarantees[]/accelerators", ValueType::kInt,
                0, kMaxAccelerators, nullptr, "accelerators",
                "Accelerators of each task."},
    SchemaEntry{"teams/<workspace>/guarantees[]/cpu_milli", ValueType::kInt, 0,
                100'000'000, "0", "thousandths of a core",
                "Processor share of each task."},
    SchemaEntry{"teams/<workspace>/guarantees[]/memory_mib", ValueType::kInt, 0,
                1'000'000'000, "0", "MiB", "Memory of each task."},
    SchemaEntry{"teams/<workspace>/guarantees[]/adjacency",
                ValueType::kAdjacency, 0, 0, "\"region\"", "",
                "How close together the tasks must be."},
    SchemaEntry{"teams/<workspace>/guarantees[]/count", ValueType::kInt, 1,
                10'000, "1", "shapes",
                "Shapes that the workspace can reclaim at the same time."},
    SchemaEntry{"teams/<workspace>/requests/max_in_flight", ValueType::kInt, 1,
                100'000, "256", "requests",
                "Requests of the workspace that one node has at backend "
                "servers at the same time."},
    SchemaEntry{"teams/<workspace>/requests/max_queued", ValueType::kInt, 0,
                100'000, "1024", "requests",
                "Requests of the workspace that wait in one node."},
    SchemaEntry{"teams/<workspace>/requests/default_deadline_ms",
                ValueType::kInt, 100, kMaxMilliseconds, "30000", "ms",
                "Deadline of a request that names none."},
};

constexpr std::array kAdjacencies = {"worker", "rack", "domain", "region"};

// One segment of a schema path.
struct Segment {
  std::string name;
  bool any_name = false;
  bool array = false;
};

std::vector<Segment> SplitPattern(const std::string& pattern) {
  std::vector<Segment> segments;
  size_t start = 0;
  while (start < pattern.size()) {
    const size_t end = std::min(pattern.find('/', start), pattern.size());
    Segment segment{.name = pattern.substr(start, end - start)};
    segment.any_name = segment.name.front() == '<';
    if (const size_t bracket = segment.name.find('[');
        bracket != std::string::npos) {
      segment.array = true;
      segment.name.resize(bracket);
    }
    segments.push_back(std::move(segment));
    start = end + 1;
  }
  return segments;
}

// One entry with its split path.
struct Rule {
  const SchemaEntry* entry;
  std::vector<Segment> segments;
};

const std::vector<Rule>& Rules() {
  static const std::vector<Rule> kRules = [] {
    std::vector<Rule> rules;
    rules.reserve(kSchema.size());
    for (const SchemaEntry& it : kSchema)
      rules.push_back({&it, SplitPattern(it.path)});
    return rules;
  }();
  return kRules;
}

using RuleSet = std::vector<const Rule*>;

RuleSet AllRules() {
  RuleSet rules;
  rules.reserve(Rules().size());
  for (const Rule& it : Rules())
    rules.push_back(&it);
  return rules;
}

// The rules whose segment at `depth` admits `name`.
RuleSet Descend(const RuleSet& rules, size_t depth, const std::string& name) {
  RuleSet below;
  for (const Rule* it : rules) {
    if (it->segments.size() <= depth)
      continue;
    const Segment& segment = it->segments[depth];
    if (segment.any_name ? IsValidName(name) : segment.name == name)
      below.push_back(it);
  }
  return below;
}

std::string AllowedNames(const RuleSet& rules, size_t depth) {
  std::vector<std::string> names;
  for (const Rule* it : rules) {
    const std::string& name = it->segments[depth].name;
    if (std::find(names.begin(), names.end(), name) == names.end())
      names.push_back(name);
  }
  std::string text;
  for (const std::string& it : names)
    text += (text.empty() ? "" : ", ") + it;
  return text;
}

void CheckLeaf(const SchemaEntry& entry,
               const Json& value,
               const std::string& path,
               Findings& findings) {
  const Json holder = {{"value", value}};
  const Place place{"", 0, path};
  const std::string unit =
      entry.unit[0] == '\0' ? "" : std::string(" ") + entry.unit;
  switch (entry.type) {
    case ValueType::kBool:
      if (!value.is_boolean())
        findings.Add(place, "must be true or false", "write true or false");
      return;
    case ValueType::kInt: {
      const std::string range = "from " + std::to_string(entry.min) + " to " +
                                std::to_string(entry.max) + unit;
      Findings own;
      if (!value.is_number_integer()) {
        findings.Add(place, "must be a whole number",
                     "write a number " + range + ", without a unit");
        return;
      }
      JsonReader(holder, "", own).RequireInt("value", entry.min, entry.max);
      if (!own.empty())
        findings.Add(place, "is out of range: " + value.dump(),
                     "use a value " + range);
      return;
    }
    case ValueType::kAdjacency:
      if (!value.is_string() ||
          std::find(kAdjacencies.begin(), kAdjacencies.end(),
                    value.get<std::string>()) == kAdjacencies.end())
        findings.Add(place, "is not a known adjacency",
                     "use worker, rack, domain or region");
      return;
  }
}

void Check(const RuleSet& rules,
           size_t depth,
           const Json& value,
           const std::string& path,
           Findings& findings);

void CheckRequired(const RuleSet& rules,
                   size_t depth,
                   const Json& value,
                   const std::string& path,
                   Findings& findings) {
  for (const Rule* it : rules) {
    if (it->segments.size() != depth + 1 || it->entry->default_value != nullptr)
      continue;
    const std::string& name = it->segments[depth].name;
    if (!value.contains(name))
      findings.Add({"", 0, JoinPath(path, name)}, "is missing",
                   "add it; it has no default");
  }
}

void CheckObject(const RuleSet& rules,
                 size_t depth,
                 const Json& value,
                 const std::string& path,
                 Findings& findings) {
  if (!value.is_object()) {
    findings.Add({"", 0, path}, "must hold named settings",
                 "expected: " + AllowedNames(rules, depth));
    return;
  }
  for (const auto& [name, child] : value.items()) {
    const std::string child_path = JoinPath(path, name);
    const RuleSet below = Descend(rules, depth, name);
    if (!below.empty()) {
      Check(below, depth + 1, child, child_path, findings);
    } else if (rules.front()->segments[depth].any_name) {
      findings.Add({"", 0, child_path}, "is not a valid name",
                   "use 1 to 64 letters, digits, '.', '_' or '-', starting "
                   "with a letter or digit");
    } else {
      findings.Add({"", 0, child_path}, "is not a known setting",
                   "expected: " + AllowedNames(rules, depth));
    }
  }
  CheckRequired(rules, depth, value, path, findings);
}

// `depth` segments of the path of `value` have been matched.
void Check(const RuleSet& rules,
           size_t depth,
           const Json& value,
           const std::string& path,
           Findings& findings) {
  if (depth > 0 && rules.front()->segments[depth - 1].array) {
    if (!value.is_array()) {
      findings.Add({"", 0, path}, "must be a list", "write a list of entries");
      return;
    }
    for (size_t i = 0; i < value.size(); ++i)
      CheckObject(rules, depth, value[i], IndexPath(path, i), findings);
  } else if (rules.front()->segments.size() == depth) {
    CheckLeaf(*rules.front()->entry, value, path, findings);
  } else {
    CheckObject(rules, depth, value, path, findings);
  }
}

// The rules at or below a path without indices, and the number of its segments.
std::optional<std::pair<RuleSet, size_t>> Match(const std::string& path) {
  if (path.ends_with('/'))
    return std::nullopt;
  RuleSet rules = AllRules();
  size_t depth = 0;
  size_t start = 0;
  while (start < path.size()) {
    const size_t end = std::min(path.find('/', start), path.size());
    rules = Descend(rules, depth, path.substr(start, end - start));
    if (rules.empty())
      return std::nullopt;
    ++depth;
    start = end + 1;
  }
  return std::pair(rules, depth);
}

const char* TypeName(ValueType type) {
  switch (type) {
    case ValueType::kBool:
      return "true or false";
    case ValueType::kInt:
      return "whole number";
    case ValueType::kAdjacency:
      return "worker, rack, domain or region";
  }
  return "";
}

std::string RangeText(const SchemaEntry& entry) {
  if (entry.type != ValueType::kInt)
    return "";
  return std::to_string(entry.min) + " to " + std::to_string(entry.max);
}

}  // namespace

std::span<const SchemaEntry> Schema() {
  return kSchema;
}

void CheckSchema(const Json& value,
                 const std::string& path,
                 Findings& findings) {
  const auto match = Match(path);
  if (!match) {
    findings.Add({"", 0, path}, "is not a known setting",
                 "see `quetzalshelfctl settings help`");
    return;
  }
  Check(match->first, match->second, value, path, findings);
}

const SchemaEntry* FindEntry(const std::string& path) {
  const auto match = Match(path);
  if (!match || match->first.front()->segments.size() != match->second)
    return nullptr;
  return match->first.front()->entry;
}

bool IsKnownPath(const std::string& path) {
  return Match(path).has_value();
}

int64_t IntOr(const Json& parent,
              const std::string& parent_path,
              const std::string& name) {
  if (auto it = parent.find(name);
      it != parent.end() && it->is_number_integer())
    return it->get<int64_t>();
  const SchemaEntry* entry = FindEntry(JoinPath(parent_path, name));
  if (entry == nullptr || entry->default_value == nullptr)
    return 0;
  return Json::parse(entry->default_value).get<int64_t>();
}

std::string ReferencePage() {
  std::string page =
      "# Settings\n\n"
      "Generated by `quetzalshelfctl settings reference`; do not edit by "
      "hand.\n\n"
      "| path | type | range | unit | default | meaning |\n"
      "|---|---|---|---|---|---|\n";
  for (const SchemaEntry& it : kSchema) {
    page += "| `" + std::string(it.path) + "` | " + TypeName(it.type) + " | " +
            RangeText(it) + " | " + it.unit + " | " +
            (it.default_value == nullptr ? "required" : it.default_value) +
            " | " + it.help + " |\n";
  }
  return page;
}

std::string HelpText(const std::string& path) {
  std::string text;
  const auto match = Match(path);
  for (const Rule& rule : Rules()) {
    const SchemaEntry& it = *rule.entry;
    const bool matched =
        match && std::find(match->first.begin(), match->first.end(), &rule) !=
                     match->first.end();
    if (!matched && !std::string(it.path).starts_with(path))
      continue;
    text += std::string(it.path) + ": " + it.help;
    if (const std::string range = RangeText(it); !range.empty())
      text +=
          " From " + range + (it.unit[0] == '\0' ? "" : " ") + it.unit + ".";
    text += it.default_value == nullptr
                ? " Required."
                : std::string(" Default: ") + it.default_value + ".";
    text += "\n";
  }
  return text;
}

bool IsValidName(const std::string& name) {
  const auto is_allowed = [](unsigned char ch) {
    return std::isalnum(ch) != 0 || ch == '.' || ch == '_' || ch == '-';
  };
  return !name.empty() && name.size() <= kMaxNameSize &&
         std::isalnum(static_cast<unsigned char>(name.front())) != 0 &&
         std::all_of(name.begin(), name.end(), is_allowed);
}

}  // namespace quetzalshelf::settings
