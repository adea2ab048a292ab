// Keys and codecs of the rows that hold the settings in the table service.

#ifndef SERVERS_SETTINGS_SETTINGS_ROWS_H_
#define SERVERS_SETTINGS_SETTINGS_ROWS_H_

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "core/ids.h"
#include "core/json_reader.h"
#include "servers/settings/settings_tree.h"

namespace quetzalshelf::settings {

inline constexpr char kHeadKey[] = "settings/head";
inline constexpr char kTreePrefix[] = "settings/tree/";
inline constexpr char kHistoryPrefix[] = "settings/history/";

// `settings/tree/site` and `settings/tree/teams/<workspace>`.
std::string SubtreeKey(const std::string& subtree);
// The version has twelve digits, so that keys sort by version.
std::string HistoryKey(SettingsVersion version);
std::string DomainKey(const DomainId& domain);

// A subtree and the version that changed it last. A removed team keeps its row
// without a value, so that a change based on an older version is a conflict.
struct SubtreeRow {
  SettingsVersion version;
  Json value;
};

// One committed change; never rewritten.
struct HistoryEntry {
  SettingsVersion version;
  SettingsVersion base_version;  // The version that the author saw.
  std::string path;
  std::string author;
  std::string access;  // Name of the access token, never the token.
  std::string reason;
  int64_t wall_millis = 0;
  std::vector<std::string> subtrees;
  std::vector<ValueChange> changes;
};

std::string EncodeHead(SettingsVersion version);
std::string EncodeSubtree(const SubtreeRow& row);
std::string EncodeHistory(const HistoryEntry& entry);
std::string EncodeDomain(bool in_service, SettingsVersion version);

// Errors: kInvalidArgument for malformed rows and unknown formats.
absl::StatusOr<SettingsVersion> DecodeHead(const std::string& text);
absl::StatusOr<SubtreeRow> DecodeSubtree(const std::string& text);
absl::StatusOr<HistoryEntry> DecodeHistory(const std::string& text);
absl::StatusOr<bool> DecodeDomain(const std::string& text);

Json ToJson(const HistoryEntry& entry);

}  // namespace quetzalshelf::settings

#endif  // SERVERS_SETTINGS_SETTINGS_ROWS_H_
