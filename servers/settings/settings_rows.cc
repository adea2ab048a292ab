#include "servers/settings/settings_rows.h"

#include <optional>
#include <utility>

namespace quetzalshelf::settings {

namespace {

constexpr size_t kVersionDigits = 12;
constexpr int64_t kMaxVersion = 999'999'999'999;
constexpr size_t kMaxTextSize = 4'096;

SettingsVersion ReadVersion(JsonReader& reader, const char* field) {
  return SettingsVersion(
      static_cast<uint64_t>(reader.RequireInt(field, 0, kMaxVersion)));
}

// Reads one row with `read`, which returns the decoded value.
template <typename Read>
auto Decode(const std::string& text, const char* row, Read read)
    -> absl::StatusOr<decltype(read(std::declval<JsonReader&>(),
                                    std::declval<Findings&>()))> {
  Findings findings;
  const std::optional<Json> json = ParseJson(text, findings);
  if (!json)
    return findings.ToStatus();
  JsonReader reader(*json, row, findings);
  reader.RequireInt("format", kFormat, kFormat);
  auto value = read(reader, findings);
  reader.Finish();
  if (!findings.empty())
    return findings.ToStatus();
  return value;
}

Json OrNull(const Json& json, const char* field) {
  auto it = json.find(field);
  return it == json.end() ? Json() : *it;
}

ValueChange DecodeChange(const Json& json,
                         const std::string& path,
                         Findings& findings) {
  JsonReader reader(json, path, findings);
  ValueChange change;
  change.path = reader.RequireString("path", kMaxTextSize);
  if (json.is_object()) {
    change.before = OrNull(json, "before");
    change.after = OrNull(json, "after");
  }
  return change;
}

HistoryEntry DecodeEntry(JsonReader& reader, Findings& findings) {
  HistoryEntry entry;
  entry.version = ReadVersion(reader, "version");
  entry.base_version = ReadVersion(reader, "base_version");
  entry.path = reader.RequireString("path", kMaxTextSize);
  entry.author = reader.RequireString("author", kMaxTextSize);
  entry.access = reader.OptionalString("access");
  entry.reason = reader.RequireString("reason", kMaxTextSize);
  entry.wall_millis = reader.RequireInt("wall_millis", 0, kMaxVersion * 1'000);
  for (const Json& it : reader.RequireArray("subtrees")) {
    if (it.is_string())
      entry.subtrees.push_back(it.get<std::string>());
    else
      reader.AddFinding("subtrees", "must hold strings");
  }
  for (const Json& it : reader.RequireArray("changes"))
    entry.changes.push_back(
        DecodeChange(it, reader.PathOf("changes"), findings));
  return entry;
}

}  // namespace

std::string SubtreeKey(const std::string& subtree) {
  return kTreePrefix + subtree;
}

std::string HistoryKey(SettingsVersion version) {
  std::string digits = std::to_string(version.value());
  if (digits.size() < kVersionDigits)
    digits.insert(0, kVersionDigits - digits.size(), '0');
  return kHistoryPrefix + digits;
}

std::string DomainKey(const DomainId& domain) {
  return "domain/" + domain.value();
}

std::string EncodeHead(SettingsVersion version) {
  return Json{{"format", kFormat}, {"version", version.value()}}.dump();
}

std::string EncodeSubtree(const SubtreeRow& row) {
  Json json = {{"format", kFormat}, {"version", row.version.value()}};
  if (!row.value.is_null())
    json["value"] = row.value;
  return json.dump();
}

Json ToJson(const HistoryEntry& entry) {
  Json changes = Json::array();
  for (const ValueChange& it : entry.changes) {
    changes.push_back(
        {{"path", it.path}, {"before", it.before}, {"after", it.after}});
  }
  return {{"format", kFormat},
          {"version", entry.version.value()},
          {"base_version", entry.base_version.value()},
          {"path", entry.path},
          {"author", entry.author},
          {"access", entry.access},
          {"reason", entry.reason},
          {"wall_millis", entry.wall_millis},
          {"subtrees", entry.subtrees},
          {"changes", changes}};
}

std::string EncodeHistory(const HistoryEntry& entry) {
  return ToJson(entry).dump();
}

std::string EncodeDomain(bool in_service, SettingsVersion version) {
  return Json{{"format", kFormat},
              {"in_service", in_service},
              {"settings", version.value()}}
      .dump();
}

absl::StatusOr<SettingsVersion> DecodeHead(const std::string& text) {
  return Decode(text, kHeadKey, [](JsonReader& reader, Findings&) {
    return ReadVersion(reader, "version");
  });
}

absl::StatusOr<SubtreeRow> DecodeSubtree(const std::string& text) {
  return Decode(text, kTreePrefix, [](JsonReader& reader, Findings&) {
    SubtreeRow row;
    row.version = ReadVersion(reader, "version");
    if (const Json& value = reader.OptionalObject("value"); reader.Has("value"))
      row.value = value;
    return row;
  });
}

absl::StatusOr<HistoryEntry> DecodeHistory(const std::string& text) {
  return Decode(text, kHistoryPrefix, DecodeEntry);
}

absl::StatusOr<bool> DecodeDomain(const std::string& text) {
  return Decode(text, "domain", [](JsonReader& reader, Findings&) {
    const bool in_service = reader.RequireBool("in_service");
    ReadVersion(reader, "settings");
    return in_service;
  });
}

}  // namespace quetzalshelf::settings
