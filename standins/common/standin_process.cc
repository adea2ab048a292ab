#include "standins/common/standin_process.h"

#include <csignal>
#include <cstdio>
#include <map>
#include <utility>

#include <asio/signal_set.hpp>

#include "core/logging.h"

namespace quetzalshelf {

namespace {

constexpr Duration kAnswerLimit{60'000};
constexpr size_t kMaxBodyBytes = size_t{16} << 20;

LogLevel LevelOf(const std::string& name) {
  if (name == "debug")
    return LogLevel::kDebug;
  if (name == "warning")
    return LogLevel::kWarning;
  return name == "error" ? LogLevel::kError : LogLevel::kInfo;
}

HttpResponse MetricsResponse(const MetricsRegistry& metrics) {
  HttpResponse response;
  response.body = metrics.Expose();
  response.content_type = "text/plain; version=0.0.4";
  return response;
}

}  // namespace

StandinProcess::StandinProcess(std::string name, const std::string& description)
    : name_(std::move(name)), app_(description, name_) {
  options_.answer_limit = kAnswerLimit;
  options_.max_body_bytes = kMaxBodyBytes;
  app_.add_option("--host", options_.host, "IP address to listen on");
  app_.add_option("--port", options_.port, "Port; 0 lets the system choose")
      ->check(CLI::Range(0, 65'535));
  app_.add_option("--connections", options_.connection_limit,
                  "Connections served at once")
      ->check(CLI::Range(1, 4'096));
  app_.add_option("--grace-ms", grace_ms_,
                  "Time from SIGTERM to the end of listening, in which callers "
                  "learn that the server is leaving")
      ->check(CLI::NonNegativeNumber);
  app_.add_option("--log-format", log_format_, "text or json")
      ->check(CLI::IsMember({"text", "json"}));
  app_.add_option("--log-level", log_level_, "Least level of the log lines")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
}

int StandinProcess::Run(int argc, const char* const* argv, const Hooks& hooks) {
  try {
    app_.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app_.exit(e) == 0 ? kExitOk : kExitBadInput;
  }
  LoggingOptions logging;
  logging.process = name_;
  logging.format = log_format_ == "json" ? LogFormat::kJson : LogFormat::kText;
  logging.level = LevelOf(log_level_);
  InitLogging(logging);
  return Serve(hooks);
}

int StandinProcess::Serve(const Hooks& hooks) {
  HttpServer server(io_, metrics_, options_);
  server.Handle("GET", "/metrics",
                [this](const HttpRequest&, const Responder& respond) {
                  respond(MetricsResponse(metrics_));
                });
  if (const absl::Status status = hooks.set_up(server); !status.ok()) {
    LOG(ERROR) << std::string(status.message());
    return kExitBadInput;
  }
  if (const absl::Status status = server.Start(); !status.ok()) {
    LOG(ERROR) << std::string(status.message());
    return kExitFailed;
  }
  asio::signal_set signals(io_, SIGTERM, SIGINT);
  signals.async_wait([&](const std::error_code& ec, int) {
    if (ec)
      return;
    LOG(INFO) << "stopping; requests in flight finish first";
    if (hooks.leaving)
      hooks.leaving();
    runner_.PostAfter(Duration(grace_ms_),
                      [this, &server] { server.Stop([this] { io_.stop(); }); });
  });
  std::printf("ready %s:%d\n", options_.host.c_str(), server.port());
  std::fflush(stdout);
  const auto work = asio::make_work_guard(io_);
  io_.run();
  return kExitOk;
}

}  // namespace quetzalshelf
