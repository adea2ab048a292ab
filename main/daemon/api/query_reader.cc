#include "main/daemon/api/query_reader.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace quetzalshelf {

std::optional<int64_t> ParseNumber(const std::string& text,
                                   int64_t min,
                                   int64_t max) {
  int64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [last, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || last != end || n < min || n > max)
    return std::nullopt;
  return n;
}

std::string QueryReader::Text(std::string_view name) {
  seen_.push_back(name);
  return request_.Query(name);
}

std::optional<int64_t> QueryReader::Number(std::string_view name,
                                           int64_t min,
                                           int64_t max) {
  const std::string text = Text(name);
  if (text.empty())
    return std::nullopt;
  const auto number = ParseNumber(text, min, max);
  if (!number) {
    AddFinding(name, "must be a whole number from " + std::to_string(min) +
                         " to " + std::to_string(max));
  }
  return number;
}

void QueryReader::AddFinding(std::string_view name,
                             std::string message,
                             std::string remedy) {
  findings_.Add({"", 0, std::string(name)}, std::move(message),
                std::move(remedy));
}

const Findings& QueryReader::Finish() {
  for (const auto& it : request_.query) {
    if (std::find(seen_.begin(), seen_.end(), it.name) == seen_.end())
      AddFinding(it.name, "is not a known parameter", "remove it");
  }
  return findings_;
}

}  // namespace quetzalshelf
