// Set-up of the log. Code logs with the LOG macros of easylogging++.

#ifndef CORE_LOGGING_H_
#define CORE_LOGGING_H_

#include <string>

#include <easylogging++.h>

namespace quetzalshelf {

enum class LogFormat { kText, kJson };
enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct LoggingOptions {
  LogFormat format = LogFormat::kText;
  LogLevel level = LogLevel::kInfo;
  std::string process;  // Name of the process in each line.
};

// Directs all log lines to standard error. Call once, before other threads
// start.
void InitLogging(const LoggingOptions& options);

}  // namespace quetzalshelf

#endif  // CORE_LOGGING_H_
