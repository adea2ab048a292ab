#include "servers/settings/settings_tree.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/yaml_reader.h"
#include "servers/settings/schema.h"

namespace quetzalshelf::settings {

namespace {

constexpr size_t kMaxPathSize = 512;
constexpr int64_t kMaxVersion = int64_t{1} << 53;  // Exact in JSON numbers.

const Json& Child(const Json& parent, const std::string& name) {
  static const Json kNull;
  if (!parent.is_object())
    return kNull;
  auto it = parent.find(name);
  return it == parent.end() ? kNull : *it;
}

// Segments of the path of a subtree: `site` or `teams/<workspace>`.
size_t SubtreeDepth(const std::vector<std::string>& segments) {
  return segments[0] == "site" ? 1 : 2;
}

// Removes the value below `parent` and the parents that it leaves empty, but
// for the subtree itself: a team without settings still exists.
void Remove(Json& parent, const std::vector<std::string>& segments, size_t at) {
  auto it = parent.is_object() ? parent.find(segments[at]) : parent.end();
  if (it == parent.end())
    return;
  if (at + 1 < segments.size()) {
    Remove(*it, segments, at + 1);
    const bool prune = at + 1 > SubtreeDepth(segments) && it->empty();
    if (!prune)
      return;
  }
  parent.erase(it);
}

// Whether a whole team appears or disappears.
bool IsTeamChange(const Json& before,
                  const Json& after,
                  const std::string& path) {
  return before.is_null() != after.is_null() && path.starts_with("teams/") &&
         SubtreeOf(path) == path;
}

void DiffInto(const Json& before,
              const Json& after,
              const std::string& path,
              std::vector<ValueChange>& changes) {
  if (before == after)
    return;
  const bool descend = (before.is_object() || before.is_null()) &&
                       (after.is_object() || after.is_null()) &&
                       FindEntry(path) == nullptr &&
                       !IsTeamChange(before, after, path);
  if (!descend) {
    changes.push_back({path, before, after});
    return;
  }
  std::set<std::string> names;
  for (const auto& [name, value] : before.items())
    names.insert(name);
  for (const auto& [name, value] : after.items())
    names.insert(name);
  for (const std::string& it : names)
    DiffInto(Child(before, it), Child(after, it), JoinPath(path, it), changes);
}

int ReadInt(const Json& parent, const std::string& path, const char* name) {
  return static_cast<int>(IntOr(parent, path, name));
}

scheduling::Guarantee ReadGuarantee(const Json& json, const std::string& path) {
  scheduling::Guarantee guarantee;
  guarantee.count = ReadInt(json, path, "count");
  scheduling::Shape& shape = guarantee.shape;
  shape.tasks = ReadInt(json, path, "tasks");
  shape.per_task.accelerators = Accelerators(IntOr(json, path, "accelerators"));
  shape.per_task.cpu = MilliCores(IntOr(json, path, "cpu_milli"));
  shape.per_task.memory = Mebibytes(IntOr(json, path, "memory_mib"));
  const Json& adjacency = Child(json, "adjacency");
  shape.adjacency = ParseAdjacency(
      adjacency.is_string() ? adjacency.get<std::string>() : "region");
  return guarantee;
}

}  // namespace

absl::StatusOr<SettingsPath> SettingsPath::Parse(const std::string& text) {
  if (text.size() > kMaxPathSize)
    return absl::InvalidArgumentError("the settings path is too long");
  SettingsPath path;
  path.text_ = text;
  size_t start = 0;
  while (start < text.size()) {
    const size_t end = std::min(text.find('/', start), text.size());
    path.segments_.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  if (!IsKnownPath(text))
    return absl::InvalidArgumentError("no setting has the path \"" + text +
                                      "\"");
  return path;
}

bool SettingsPath::Covers(const std::string& other) const {
  return IsAtOrBelow(other, text_);
}

bool IsAtOrBelow(const std::string& path, const std::string& prefix) {
  if (prefix.empty() || path == prefix)
    return true;
  return path.size() > prefix.size() && path.starts_with(prefix) &&
         path[prefix.size()] == '/';
}

std::vector<ValueChange> DiffValues(const Json& before,
                                    const Json& after,
                                    const std::string& path) {
  std::vector<ValueChange> changes;
  DiffInto(before, after, path, changes);
  return changes;
}

Json SettingsTree::Get(const SettingsPath& path) const {
  const Json* value = &root_;
  for (const std::string& it : path.segments())
    value = &Child(*value, it);
  return *value;
}

Json SettingsTree::GetOrDefault(const SettingsPath& path) const {
  Json value = Get(path);
  const SchemaEntry* entry = FindEntry(path.text());
  if (value.is_null() && entry != nullptr && entry->default_value != nullptr)
    return Json::parse(entry->default_value);
  return value;
}

void SettingsTree::Set(const SettingsPath& path, Json value) {
  if (value.is_null() && path.segments().empty()) {
    root_ = Json::object();
  } else if (value.is_null()) {
    Remove(root_, path.segments(), 0);
  } else {
    Json* target = &root_;
    for (const std::string& it : path.segments())
      target = &(*target)[it];
    *target = std::move(value);
  }
  for (const char* name : {"site", "teams"}) {
    if (root_.is_object() && !root_.contains(name))
      root_[name] = Json::object();
  }
}

std::vector<std::string> SettingsTree::Subtrees() const {
  std::vector<std::string> subtrees = {"site"};
  for (const auto& [name, value] : Child(root_, "teams").items())
    subtrees.push_back("teams/" + name);
  return subtrees;
}

void SettingsTree::SetSubtree(const std::string& subtree,
                              Json value,
                              SettingsVersion changed) {
  if (auto path = SettingsPath::Parse(subtree); path.ok())
    Set(*path, std::move(value));
  SetChanged(subtree, changed);
}

SettingsVersion SettingsTree::ChangedIn(const std::string& subtree) const {
  auto it = changed_.find(subtree);
  return it == changed_.end() ? SettingsVersion() : it->second;
}

SettingsVersion SettingsTree::ChangedAround(const SettingsPath& path) const {
  SettingsVersion latest;
  for (const auto& [subtree, version] : changed_) {
    if (path.Covers(subtree) || IsAtOrBelow(path.text(), subtree))
      latest = std::max(latest, version);
  }
  return latest;
}

void SettingsTree::SetChanged(const std::string& subtree,
                              SettingsVersion version) {
  changed_[subtree] = version;
}

scheduling::Workspace SettingsTree::WorkspaceOf(const std::string& team) const {
  const std::string path = "teams/" + team;
  const Json& json = Child(Child(root_, "teams"), team);
  scheduling::Workspace workspace;
  workspace.id = WorkspaceId(team);
  workspace.weight = ReadInt(json, path, "weight");
  workspace.max_queued_jobs = ReadInt(json, path, "max_queued_jobs");
  workspace.quota = Accelerators(IntOr(json, path, "quota_accelerators"));
  workspace.reclaim_deadline =
      Duration(IntOr(json, path, "reclaim_deadline_ms"));
  for (const Json& it : Child(json, "guarantees"))
    workspace.guarantees.push_back(ReadGuarantee(it, path + "/guarantees"));
  return workspace;
}

std::vector<scheduling::Workspace> SettingsTree::Workspaces() const {
  std::vector<scheduling::Workspace> workspaces;
  for (const auto& [name, value] : Child(root_, "teams").items())
    workspaces.push_back(WorkspaceOf(name));
  return workspaces;
}

RequestLimits SettingsTree::RequestLimitsOf(
    const WorkspaceId& workspace) const {
  const std::string path = "teams/" + workspace.value() + "/requests";
  const Json& team = Child(Child(root_, "teams"), workspace.value());
  const Json& json = Child(team, "requests");
  RequestLimits limits;
  limits.max_in_flight = ReadInt(json, path, "max_in_flight");
  limits.max_queued = ReadInt(json, path, "max_queued");
  limits.default_deadline = Duration(IntOr(json, path, "default_deadline_ms"));
  return limits;
}

SiteLimits SettingsTree::Limits() const {
  const std::string path = "site/limits";
  const Json& json = Child(Child(root_, "site"), "limits");
  SiteLimits limits;
  limits.max_body_bytes = IntOr(json, path, "max_body_bytes");
  limits.max_requests_in_flight = ReadInt(json, path, "max_requests_in_flight");
  limits.max_requests_queued = ReadInt(json, path, "max_requests_queued");
  limits.max_request_deadline =
      Duration(IntOr(json, path, "max_request_deadline_ms"));
  limits.max_gang_tasks = ReadInt(json, path, "max_gang_tasks");
  return limits;
}

std::vector<DomainState> SettingsTree::Domains() const {
  std::vector<DomainState> domains;
  for (const auto& [name, value] :
       Child(Child(root_, "site"), "domains").items())
    domains.push_back({DomainId(name), IsInService(DomainId(name))});
  return domains;
}

bool SettingsTree::IsInService(const DomainId& domain) const {
  const Json& domains = Child(Child(root_, "site"), "domains");
  const Json& state = Child(Child(domains, domain.value()), "in_service");
  return !state.is_boolean() || state.get<bool>();
}

std::string SettingsTree::Export() const {
  Json changed = Json::object();
  for (const auto& [subtree, version] : changed_)
    changed[subtree] = version.value();
  const Json json = {{"format", kFormat},
                     {"version", version_.value()},
                     {"changed", changed},
                     {"root", root_}};
  return json.dump();
}

absl::StatusOr<SettingsTree> SettingsTree::Import(const std::string& text) {
  Findings findings;
  const std::optional<Json> json = ParseJson(text, findings);
  if (!json)
    return findings.ToStatus();
  JsonReader reader(*json, "", findings);
  reader.RequireInt("format", kFormat, kFormat);
  SettingsTree tree;
  tree.version_ = SettingsVersion(
      static_cast<uint64_t>(reader.RequireInt("version", 0, kMaxVersion)));
  const Json& changed = reader.RequireObject("changed");
  JsonReader versions(changed, "changed", findings);
  for (const auto& [subtree, value] : changed.items())
    tree.changed_[subtree] = SettingsVersion(
        static_cast<uint64_t>(versions.RequireInt(subtree, 0, kMaxVersion)));
  tree.root_ = reader.RequireObject("root");
  CheckSchema(tree.root_, "", findings);
  if (!findings.empty())
    return findings.ToStatus();
  tree.Set(SettingsPath(), tree.root_);
  return tree;
}

std::string SubtreeOf(const std::string& path) {
  if (IsAtOrBelow(path, "site"))
    return "site";
  if (!path.starts_with("teams/"))
    return "";
  return path.substr(0, path.find('/', std::string("teams/").size()));
}

scheduling::Adjacency ParseAdjacency(const std::string& text) {
  if (text == "worker")
    return scheduling::Adjacency::kWorker;
  if (text == "rack")
    return scheduling::Adjacency::kRack;
  if (text == "domain")
    return scheduling::Adjacency::kDomain;
  return scheduling::Adjacency::kRegion;
}

}  // namespace quetzalshelf::settings
