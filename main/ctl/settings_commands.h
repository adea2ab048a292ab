// The commands `settings`, `workspace` and `failure-domain`.

#ifndef MAIN_CTL_SETTINGS_COMMANDS_H_
#define MAIN_CTL_SETTINGS_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "main/ctl/context.h"

namespace quetzalshelf::ctl {

// Options of every command that changes settings.
struct ChangeOptions {
  std::string reason;
  std::string author;
  bool dry_run = false;
  // The version that the author saw; fetched when not given.
  std::optional<uint64_t> base_version;
};

Exit SettingsGet(Context& context,
                 const std::string& path,
                 std::optional<uint64_t> version);
Exit SettingsSet(Context& context,
                 const std::string& path,
                 const std::string& value,
                 const ChangeOptions& options);
// Writes the subtree of the path with its version into a file for `apply`. No
// process starts another, so that the operator opens the editor.
Exit SettingsEdit(Context& context,
                  const std::string& path,
                  const std::string& file);
// Replaces each subtree that the file holds, all in one transaction.
Exit SettingsApply(Context& context,
                   const std::string& file,
                   const ChangeOptions& options);
// Checks a file without changing anything.
Exit SettingsCheck(Context& context, const std::string& file);
// What applying the file would change.
Exit SettingsDiffFile(Context& context, const std::string& file);
// What changed at the path between two versions; `to` 0 is the newest.
Exit SettingsDiffVersions(Context& context,
                          const std::string& path,
                          uint64_t from,
                          uint64_t to);
Exit SettingsHistory(Context& context, const std::string& path, int limit);
// Undoes the change of one version by a new one, if nothing has changed the
// same settings since.
Exit SettingsRevert(Context& context,
                    uint64_t version,
                    const ChangeOptions& options);
// Help on settings, without a server.
Exit SettingsHelp(Context& context, const std::string& path);
Exit SettingsReference(Context& context);

struct WorkspaceOptions {
  std::string name;
  std::optional<int64_t> weight;
  std::optional<int64_t> quota;
  // `<tasks>x<accelerators>[:<adjacency>[:<count>]]`.
  std::vector<std::string> guarantees;
};

Exit WorkspaceList(Context& context);
Exit WorkspaceShow(Context& context, const std::string& name);
Exit WorkspaceCreate(Context& context,
                     const WorkspaceOptions& workspace,
                     const ChangeOptions& options);

// Previews the move, asks unless `yes`, and changes the setting.
Exit DomainMove(Context& context,
                const std::string& domain,
                bool in_service,
                bool yes,
                const ChangeOptions& options);
Exit DomainStatus(Context& context);

}  // namespace quetzalshelf::ctl

#endif  // MAIN_CTL_SETTINGS_COMMANDS_H_
