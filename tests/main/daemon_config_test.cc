#include "main/daemon/daemon_config.h"

#include <doctest/doctest.h>

namespace quetzalshelf {
namespace {

DaemonCommandLine Parse(const std::string& file,
                        std::vector<std::string> args = {}) {
  args.insert(args.end(), {"--config", "d.yaml"});
  return ParseDaemonCommandLine(
      args, [&file](const std::string&) -> absl::StatusOr<std::string> {
        return file;
      });
}

constexpr char kGood[] =
    "node: {id: n1, region: r1, failure_domain: cartago}\n"
    "listen: {host: 127.0.0.1, port: 8080}\n"
    "platform: {host: 127.0.0.1, port: 9000}\n"
    "access:\n"
    "  tokens:\n"
    "    - {name: ops, token: 0123456789abcdef-x, scopes: [/]}\n";

// Guards against defaults that the checks themselves refuse.
TEST_CASE("A small file gives a whole configuration") {
  const auto result =
      Parse(kGood, {"--listen-port", "81", "--log-level=debug"});
  CHECK(result.errors == "");
  REQUIRE(result.config.has_value());
  CHECK(result.config->node == NodeId("n1"));
  CHECK(result.config->listen.port == 81);
  CHECK(result.config->platform.port == 9000);
  CHECK(result.config->log_level == LogLevel::kDebug);
  CHECK(result.config->timings.shard_lease == Duration(10'000));
  CHECK(result.config->tokens.size() == 1);
  CHECK_FALSE(result.config->allow_anonymous);
}

// Guards against an operator who has to correct a file one fault at a time.
TEST_CASE("Every fault of a file is listed with its line") {
  const auto result = Parse(
      "node: {id: n1, region: r1}\n"
      "listen:\n"
      "  host: 127.0.0.1\n"
      "  port: 99999\n"
      "timings:\n"
      "  shard_renew_ms: 9000\n"
      "log: {format: xml}\n"
      "acces: {}\n",
      {"--platform-port", "many"});
  CHECK_FALSE(result.config.has_value());
  CHECK(result.exit_code == 2);
  CHECK(result.errors ==
        "d.yaml:1: node/failure_domain: is missing\n"
        "d.yaml:4: listen/port: must be from 0 to 65535\n"
        "d.yaml:1: platform/host: is missing\n"
        "command line: --platform-port: must be a whole number\n"
        "d.yaml:6: timings/shard_renew_ms: leaves no time for a second try "
        "within shard_lease_ms (use at most half of shard_lease_ms)\n"
        "d.yaml:7: log/format: is not a known value (use one of: text, json)\n"
        "d.yaml:1: access/tokens: is missing, so that nobody has access (add "
        "a token, or set allow_anonymous to true)\n"
        "d.yaml:8: acces: is not a known field (remove it)\n");
}

// Guards against a daemon that starts on a wrong command line.
TEST_CASE("Flags alone make a standalone daemon and unknown flags end with 2") {
  const ReadFile none = [](const std::string&) {
    return absl::NotFoundError("cannot open the file");
  };
  const std::vector<std::string> args = {
      "--standalone",       "--node-id=n",     "--region=r",
      "--failure-domain=d", "--listen-port=0", "--listen-host=127.0.0.1"};
  const auto result = ParseDaemonCommandLine(args, none);
  CHECK(result.errors == "");
  REQUIRE(result.config.has_value());
  CHECK(result.config->allow_anonymous);
  CHECK(ParseDaemonCommandLine({"--nope"}, none).exit_code == 2);
  CHECK(ParseDaemonCommandLine({"--config=x"}, none).errors ==
        "x: cannot open the file (name a readable file)\n");
  CHECK(ParseDaemonCommandLine({"--help"}, none).exit_code == 0);
}

}  // namespace
}  // namespace quetzalshelf
