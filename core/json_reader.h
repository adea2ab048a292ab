// Typed reading of JSON objects. Every fault becomes a finding that names the
// field; reading goes on, so that all faults of a message are reported at once.

#ifndef CORE_JSON_READER_H_
#define CORE_JSON_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/finding.h"
#include "core/ids.h"
#include "core/units.h"

namespace quetzalshelf {

using Json = nlohmann::json;

// Parses `text`; a syntax error becomes a finding and gives nullopt.
std::optional<Json> ParseJson(std::string_view text, Findings& findings);

// Reads the fields of one JSON object. Fields that were neither read nor
// allowed are reported by Finish().
class JsonReader {
 public:
  // `path` is the place of `json` within the message, empty for the root.
  JsonReader(const Json& json, std::string path, Findings& findings);

  // Each reads one field. A missing required field and a wrong type are
  // findings and give a default value.
  bool RequireBool(std::string_view field);
  int64_t RequireInt(std::string_view field, int64_t min, int64_t max);
  double RequireDouble(std::string_view field);
  std::string RequireString(std::string_view field, size_t max_size = 256);
  // An array (or object); an empty value of that type when missing or wrong.
  const Json& RequireArray(std::string_view field);
  const Json& RequireObject(std::string_view field);

  bool OptionalBool(std::string_view field, bool fallback);
  int64_t OptionalInt(std::string_view field,
                      int64_t min,
                      int64_t max,
                      int64_t fallback);
  double OptionalDouble(std::string_view field, double fallback);
  std::string OptionalString(std::string_view field,
                             std::string fallback = "",
                             size_t max_size = 256);
  const Json& OptionalArray(std::string_view field);
  const Json& OptionalObject(std::string_view field);
  // Any value, null included; `value` stays as it is when the field is missing.
  void OptionalAny(std::string_view field, Json& value);
  bool Has(std::string_view field) const;

  // Reads a non-empty string as an id.
  template <typename Id>
  Id RequireId(std::string_view field) {
    std::string text = RequireString(field);
    if (text.empty() && HasString(field))
      AddFinding(field, "must not be empty");
    return Id(std::move(text));
  }

  // Reports every field that was not read.
  void Finish();

  void AddFinding(std::string_view field,
                  std::string message,
                  std::string remedy = "");
  // The place of a field, for nested readers: `path/field`.
  std::string PathOf(std::string_view field) const;

 private:
  const Json* Find(std::string_view field, bool required);
  bool HasString(std::string_view field) const;

  const Json& json_;
  std::string path_;
  Findings& findings_;
  std::vector<std::string> seen_;
};

// `resources` fields accelerators, cpu_milli and memory_mib.
Resources ReadResources(JsonReader& reader);
void WriteResources(const Resources& resources, Json& json);

}  // namespace quetzalshelf

#endif  // CORE_JSON_READER_H_
