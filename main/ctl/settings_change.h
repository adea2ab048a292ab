// Reading and changing settings over the API.

#ifndef MAIN_CTL_SETTINGS_CHANGE_H_
#define MAIN_CTL_SETTINGS_CHANGE_H_

#include <optional>
#include <string>
#include <vector>

#include "core/yaml_reader.h"
#include "main/ctl/context.h"
#include "main/ctl/settings_commands.h"

namespace quetzalshelf::ctl {

std::string SettingsTarget(const std::string& path);
ApiReply FetchSettings(Context& context, const std::string& path);

// The PUT of a change; the base version is the one given in the options, else
// `fetched_version`.
ApiReply PutSettings(Context& context,
                     const std::string& path,
                     const Json& value,
                     uint64_t fetched_version,
                     const ChangeOptions& options);
// Prints the answer to a change: version, changes and warnings.
Exit ReportChange(Context& context, const ApiReply& reply);
void PrintChanges(Context& context, const Json& changes);
void PrintWarnings(Context& context, const Json& reply);
// Changes as the JSON of the API.
Json ChangesBetween(const Json& before,
                    const Json& after,
                    const std::string& path);

// A settings file: subtrees, and the version that it is based on.
struct SettingsFile {
  YamlDocument document;
  Json tree;  // Holds `site`, `teams` or both.
  std::vector<std::string> subtrees;
  std::optional<uint64_t> base_version;
};

// Reads and checks a file; reports findings to `context`.
std::optional<SettingsFile> ReadSettingsFile(Context& context,
                                             const std::string& name);

// Where and what a file changes, against the settings in force.
struct FilePlan {
  std::string path;
  Json before;
  Json after;
  uint64_t version = 0;
  ApiReply reply;  // Of the fetch.
};

FilePlan PlanFile(Context& context, const SettingsFile& file);

}  // namespace quetzalshelf::ctl

#endif  // MAIN_CTL_SETTINGS_CHANGE_H_
