// The settings as a tree of paths: one subtree for the site and one per team
// (`site`, `teams/<workspace>`), each with the version that last changed it.
// The tree is sparse: settings that are not set have their defaults.

#ifndef SERVERS_SETTINGS_SETTINGS_TREE_H_
#define SERVERS_SETTINGS_SETTINGS_TREE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "core/ids.h"
#include "core/json_reader.h"
#include "core/time.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::settings {

// Format version of every row and message of the settings.
inline constexpr int kFormat = 1;

// A path such as `teams/plaza/weight`; empty for the root.
class SettingsPath {
 public:
  SettingsPath() = default;
  // kInvalidArgument for empty segments, array indices and unknown settings.
  static absl::StatusOr<SettingsPath> Parse(const std::string& text);

  const std::string& text() const { return text_; }
  const std::vector<std::string>& segments() const { return segments_; }
  // Whether this path is `other` or a parent of it.
  bool Covers(const std::string& other) const;

 private:
  std::string text_;
  std::vector<std::string> segments_;
};

// Whether `path` is `prefix` or below it, by whole segments.
bool IsAtOrBelow(const std::string& path, const std::string& prefix);

// One changed setting; null where it is not set.
struct ValueChange {
  std::string path;
  Json before;
  Json after;
};

// The differences between two values at `path`, down to single settings. Lists
// are compared whole, and teams that exist on one side only are one change.
std::vector<ValueChange> DiffValues(const Json& before,
                                    const Json& after,
                                    const std::string& path);

// Limits of ordinary requests of one workspace, per node.
struct RequestLimits {
  int max_in_flight = 0;
  int max_queued = 0;
  Duration default_deadline{0};

  friend bool operator==(const RequestLimits&, const RequestLimits&) = default;
};

struct SiteLimits {
  int64_t max_body_bytes = 0;
  int max_requests_in_flight = 0;
  int max_requests_queued = 0;
  Duration max_request_deadline{0};
  int max_gang_tasks = 0;
};

struct DomainState {
  DomainId domain;
  bool in_service = true;
};

class SettingsTree {
 public:
  SettingsTree() = default;

  SettingsVersion version() const { return version_; }
  void set_version(SettingsVersion version) { version_ = version; }

  // The whole tree as one object with `site` and `teams`.
  const Json& root() const { return root_; }
  // The value that is set at the path; null when there is none.
  Json Get(const SettingsPath& path) const;
  // The value at the path, or the default of a single setting.
  Json GetOrDefault(const SettingsPath& path) const;
  // Sets the value; null removes it. Creates parents.
  void Set(const SettingsPath& path, Json value);

  // The subtrees that exist: `site` and `teams/<workspace>`.
  std::vector<std::string> Subtrees() const;
  // Replaces a subtree as of a version; a null value removes it.
  void SetSubtree(const std::string& subtree,
                  Json value,
                  SettingsVersion changed);
  // The version that last changed the subtree. For a removed or unknown team,
  // the version in which it was removed, or 0.
  SettingsVersion ChangedIn(const std::string& subtree) const;
  // The greatest version that changed a subtree at, above or below the path.
  SettingsVersion ChangedAround(const SettingsPath& path) const;
  void SetChanged(const std::string& subtree, SettingsVersion version);

  std::vector<scheduling::Workspace> Workspaces() const;
  scheduling::Workspace WorkspaceOf(const std::string& team) const;
  // Defaults for a workspace without settings.
  RequestLimits RequestLimitsOf(const WorkspaceId& workspace) const;
  SiteLimits Limits() const;
  std::vector<DomainState> Domains() const;
  // True for a domain without settings.
  bool IsInService(const DomainId& domain) const;

  // The whole tree with versions, as nodes send it to each other.
  std::string Export() const;
  // kInvalidArgument when the text is malformed or of an unknown format.
  static absl::StatusOr<SettingsTree> Import(const std::string& text);

 private:
  SettingsVersion version_;
  Json root_ = {{"site", Json::object()}, {"teams", Json::object()}};
  std::map<std::string, SettingsVersion> changed_;
};

// The subtree that holds a path; empty for the root and for `teams`.
std::string SubtreeOf(const std::string& path);

// Text forms of the adjacencies: worker, rack, domain, region.
scheduling::Adjacency ParseAdjacency(const std::string& text);

}  // namespace quetzalshelf::settings

#endif  // SERVERS_SETTINGS_SETTINGS_TREE_H_
