// Decoding of rows and objects that carry the version of their format.

#ifndef CORE_ROW_CODEC_H_
#define CORE_ROW_CODEC_H_

#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "core/finding.h"
#include "core/json_reader.h"

namespace quetzalshelf {

inline constexpr int64_t kMaxRowNumber = std::numeric_limits<int64_t>::max();

namespace detail {

// kFailedPrecondition when the row was written by a newer version.
absl::Status CheckFormat(JsonReader& reader,
                         std::string_view what,
                         int newest_format);

}  // namespace detail

// Decodes a row whose format is at most `newest_format`; `read` takes the other
// fields from the reader. Errors: kFailedPrecondition (a newer format),
// kInvalidArgument (malformed, with every finding).
template <typename Value, typename Read>
absl::StatusOr<Value> DecodeVersionedRow(std::string_view what,
                                         const std::string& text,
                                         int newest_format,
                                         Read read) {
  Findings findings;
  const std::optional<Json> json = ParseJson(text, findings);
  if (!json)
    return findings.ToStatus();
  JsonReader reader(*json, "", findings);
  const absl::Status format = detail::CheckFormat(reader, what, newest_format);
  if (!format.ok())
    return format;
  Value value = read(reader, findings);
  reader.Finish();
  if (!findings.empty())
    return findings.ToStatus();
  return value;
}

}  // namespace quetzalshelf

#endif  // CORE_ROW_CODEC_H_
