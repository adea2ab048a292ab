// Typed reading of the query of a call, with findings.

#ifndef MAIN_DAEMON_API_QUERY_READER_H_
#define MAIN_DAEMON_API_QUERY_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/finding.h"
#include "drivers/http/http_message.h"

namespace quetzalshelf {

// A decimal number in [min, max], or nullopt.
std::optional<int64_t> ParseNumber(const std::string& text,
                                   int64_t min,
                                   int64_t max);

// Reads the parameters of one query. The place of a finding is the name of the
// parameter.
class QueryReader {
 public:
  // `request` must outlive the reader.
  explicit QueryReader(const HttpRequest& request) : request_(request) {}

  // Empty when the parameter is missing.
  std::string Text(std::string_view name);
  // Nullopt when the parameter is missing or has a finding.
  std::optional<int64_t> Number(std::string_view name,
                                int64_t min,
                                int64_t max);
  void AddFinding(std::string_view name,
                  std::string message,
                  std::string remedy = "");
  // Adds a finding for each parameter that was not read.
  const Findings& Finish();

 private:
  const HttpRequest& request_;
  std::vector<std::string_view> seen_;
  Findings findings_;
};

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_API_QUERY_READER_H_
