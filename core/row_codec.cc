#include "core/row_codec.h"

namespace quetzalshelf::detail {

absl::Status CheckFormat(JsonReader& reader,
                         std::string_view what,
                         int newest_format) {
  const int64_t format = reader.RequireInt("format", 1, kMaxRowNumber);
  if (format <= newest_format)
    return absl::OkStatus();
  return absl::FailedPreconditionError(
      std::string(what) + " has format " + std::to_string(format) +
      ", but this version reads formats up to " +
      std::to_string(newest_format) + "; upgrade this node");
}

}  // namespace quetzalshelf::detail
