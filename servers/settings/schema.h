// The schema of the settings. One table drives checking, defaults, help texts
// and the reference page docs/SETTINGS.md.

#ifndef SERVERS_SETTINGS_SCHEMA_H_
#define SERVERS_SETTINGS_SCHEMA_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/finding.h"
#include "core/json_reader.h"

namespace quetzalshelf::settings {

enum class ValueType { kBool, kInt, kAdjacency };

// One setting. In `path`, `<name>` stands for any name and a segment that ends
// in `[]` for every element of an array.
struct SchemaEntry {
  const char* path;
  ValueType type;
  int64_t min;
  int64_t max;
  // JSON text of the value that applies when nothing is set; null when the
  // setting is required in its parent.
  const char* default_value;
  const char* unit;
  const char* help;
};

std::span<const SchemaEntry> Schema();

// Checks names, types and ranges of everything below `path` (concrete, empty
// for the root). An absent optional setting is no finding.
void CheckSchema(const Json& value,
                 const std::string& path,
                 Findings& findings);

// The entry of a concrete path such as `teams/plaza/weight`, or null.
const SchemaEntry* FindEntry(const std::string& path);
// Whether the path is a setting or a parent of settings.
bool IsKnownPath(const std::string& path);
// The value of a setting within its parent object, or its default.
int64_t IntOr(const Json& parent,
              const std::string& parent_path,
              const std::string& name);

// The reference page in Markdown.
std::string ReferencePage();
// Help on the settings at or below a concrete or schema path, one line each.
std::string HelpText(const std::string& path);

// Names of workspaces and failure domains: 1 to 64 letters, digits, `.`, `_`
// or `-`, starting with a letter or a digit.
bool IsValidName(const std::string& name);

}  // namespace quetzalshelf::settings

#endif  // SERVERS_SETTINGS_SCHEMA_H_
