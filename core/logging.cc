#include "core/logging.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

namespace quetzalshelf {

namespace {

std::string& ProcessName() {
  static std::string process;
  return process;
}

std::string BaseName(const std::string& path) {
  return path.substr(path.rfind('/') + 1);
}

std::string LevelName(el::Level level) {
  return el::LevelHelper::convertToString(level);
}

int64_t WallMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// Writes lines to a descriptor within a budget a second.
class LineSink {
 public:
  void Configure(int fd, int lines_per_second) {
    fd_ = fd;
    lines_per_second_ = lines_per_second;
  }

  // Whether a line of this level is within the budget.
  bool Admit(el::Level level, int64_t now_ms) {
    const std::lock_guard lock(mutex_);
    if (lines_per_second_ == 0 || level != el::Level::Info)
      return true;
    constexpr int64_t kWindowMs = 1'000;
    if (now_ms - window_start_ms_ >= kWindowMs) {
      window_start_ms_ = now_ms;
      lines_in_window_ = 0;
    }
    if (++lines_in_window_ <= lines_per_second_)
      return true;
    ++dropped_;
    return false;
  }

  // The number of lines that were dropped since the last call.
  int64_t TakeDropped() {
    const std::lock_guard lock(mutex_);
    return std::exchange(dropped_, 0);
  }

  void Write(const std::string& line) {
    const std::lock_guard lock(mutex_);
    const ssize_t n = ::write(fd_, line.data(), line.size());
    if (n != static_cast<ssize_t>(line.size()))
      ++dropped_;
  }

 private:
  std::mutex mutex_;
  int fd_ = STDERR_FILENO;
  int lines_per_second_ = 0;
  int64_t window_start_ms_ = 0;
  int lines_in_window_ = 0;
  int64_t dropped_ = 0;
};

LineSink& Sink() {
  static LineSink sink;
  return sink;
}

// Writes one JSON object a line to standard error.
class JsonLogCallback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage& message = *data->logMessage();
    const int64_t now_ms = WallMillis();
    if (!Sink().Admit(message.level(), now_ms))
      return;
    nlohmann::json line = {{"time_ms", now_ms},
                           {"level", LevelName(message.level())},
                           {"process", ProcessName()},
                           {"place", BaseName(message.file()) + ":" +
                                         std::to_string(message.line())},
                           {"message", message.message()}};
    if (const int64_t dropped = Sink().TakeDropped(); dropped > 0)
      line["dropped_before"] = dropped;
    using ErrorHandler = nlohmann::json::error_handler_t;
    Sink().Write(line.dump(-1, ' ', false, ErrorHandler::replace) + "\n");
  }
};

// Writes one line of text to standard error.
class TextLogCallback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage& message = *data->logMessage();
    if (!Sink().Admit(message.level(), WallMillis()))
      return;
    Sink().Write(LevelName(message.level()) + " " + ProcessName() + ": " +
                 message.message() + "\n");
  }
};

void EnableFrom(el::Configurations& config, LogLevel level) {
  const std::pair<el::Level, LogLevel> levels[] = {
      {el::Level::Debug, LogLevel::kDebug},
      {el::Level::Info, LogLevel::kInfo},
      {el::Level::Warning, LogLevel::kWarning},
      {el::Level::Error, LogLevel::kError}};
  for (const auto& [library_level, own_level] : levels) {
    config.set(library_level, el::ConfigurationType::Enabled,
               own_level >= level ? "true" : "false");
  }
}

}  // namespace

void InitLogging(const LoggingOptions& options) {
  ProcessName() = options.process;
  const bool to_stdout = options.target == LogTarget::kStdout;
  const int fd = to_stdout ? STDOUT_FILENO : STDERR_FILENO;
  // A reader that does not keep up must not hold the process.
  if (const int flags = ::fcntl(fd, F_GETFL); to_stdout && flags >= 0)
    ::fcntl(fd, F_SETFL, flags | O_NONBLOCK);
  Sink().Configure(fd, options.info_lines_per_second);
  el::Configurations config;
  config.setToDefault();
  config.setGlobally(el::ConfigurationType::ToFile, "false");
  config.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  EnableFrom(config, options.level);
  el::Loggers::reconfigureAllLoggers(config);
  // The default callback writes to standard output, which belongs to results.
  el::Helpers::uninstallLogDispatchCallback<
      el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
  if (options.format == LogFormat::kJson)
    el::Helpers::installLogDispatchCallback<JsonLogCallback>("json");
  else
    el::Helpers::installLogDispatchCallback<TextLogCallback>("text");
}

}  // namespace quetzalshelf
