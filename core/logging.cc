#include "core/logging.h"

#include <cstdio>

#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace quetzalshelf {

namespace {

std::string& ProcessName() {
  static std::string process;
  return process;
}

std::string LevelName(el::Level level) {
  return el::LevelHelper::convertToString(level);
}

void WriteLine(const std::string& line) {
  std::fwrite(line.data(), 1, line.size(), stderr);
}

// Writes one JSON object a line to standard error.
class JsonLogCallback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage& message = *data->logMessage();
    const nlohmann::json line = {
        {"level", LevelName(message.level())},
        {"process", ProcessName()},
        {"place", message.file() + ":" + std::to_string(message.line())},
        {"message", message.message()}};
    using ErrorHandler = nlohmann::json::error_handler_t;
    WriteLine(line.dump(-1, ' ', false, ErrorHandler::replace) + "\n");
  }
};

// Writes one line of text to standard error.
class TextLogCallback : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    const el::LogMessage& message = *data->logMessage();
    WriteLine(LevelName(message.level()) + " " + ProcessName() + ": " +
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
