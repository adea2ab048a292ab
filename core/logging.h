// Set-up of the log. Code logs with the LOG macros of easylogging++.

#ifndef CORE_LOGGING_H_
#define CORE_LOGGING_H_

#include <string>

#include <easylogging++.h>

namespace quetzalshelf {

enum class LogFormat { kText, kJson };
enum class LogTarget { kStderr, kStdout };
enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct LoggingOptions {
  LogFormat format = LogFormat::kText;
  LogLevel level = LogLevel::kInfo;
  std::string process;  // Name of the process in each line.
  LogTarget target = LogTarget::kStderr;
  // Info lines a second beyond which further ones are dropped and counted; 0
  // for no limit. Warnings and errors are never dropped for this.
  int info_lines_per_second = 0;
};

// Directs all log lines to the target. Writing does not block: lines that a
// full pipe does not take are dropped and counted. Call once, before other
// threads start.
void InitLogging(const LoggingOptions& options);

}  // namespace quetzalshelf

#endif  // CORE_LOGGING_H_
