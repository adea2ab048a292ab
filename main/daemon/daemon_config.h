// Configuration of quetzalshelfd: a YAML file, and flags that override it.

#ifndef MAIN_DAEMON_DAEMON_CONFIG_H_
#define MAIN_DAEMON_DAEMON_CONFIG_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "core/finding.h"
#include "core/ids.h"
#include "core/logging.h"
#include "core/time.h"
#include "servers/settings/access_control.h"

namespace quetzalshelf {

// Exit codes of the daemon.
inline constexpr int kExitOk = 0;
inline constexpr int kExitBadConfig = 2;

struct HostPort {
  std::string host;
  int port = 0;
};

// Bounds of one node that must hold before the settings are known.
struct DaemonLimits {
  int max_connections = 0;
  int64_t max_body_bytes = 0;
  int timeline_events = 0;
};

struct DaemonTimings {
  Duration shard_lease{0};
  Duration shard_renew{0};
  // A takeover waits for the lease and this margin.
  Duration takeover_margin{0};
  Duration task_lease{0};
  Duration worker_sync{0};
  Duration start_timeout{0};
  Duration start_deadline{0};
  Duration member_heartbeat{0};
  Duration peer_heartbeat{0};
  Duration keep_alive{0};  // Of an idle HTTP connection.
  Duration drain{0};       // Longest planned stop.
};

struct DaemonConfig {
  NodeId node;
  RegionId region;
  DomainId domain;
  HostPort listen;
  HostPort platform;  // Not set when standalone.
  // Runs with tables and objects in memory and without peers.
  bool standalone = false;
  DaemonLimits limits;
  DaemonTimings timings;
  LogFormat log_format = LogFormat::kText;
  LogLevel log_level = LogLevel::kInfo;
  bool allow_anonymous = false;
  std::vector<settings::AccessToken> tokens;
  // Shared by all nodes; guards the interface between them when it is set.
  settings::Secret node_secret;
};

// What the command line asks for.
struct DaemonCommandLine {
  std::optional<DaemonConfig> config;  // Set when the daemon shall run.
  int exit_code = kExitOk;             // Applies when `config` is not set.
  std::string output;                  // Help or version, for stdout.
  std::string errors;                  // One finding a line, for stderr.
};

using ReadFile = std::function<absl::StatusOr<std::string>(const std::string&)>;

// Reads the flags, without the program's name, and the file that they name.
// All findings of a bad file come together with file, line and path.
DaemonCommandLine ParseDaemonCommandLine(const std::vector<std::string>& args,
                                         const ReadFile& read_file);

// Reads a file of at most 1 MiB.
absl::StatusOr<std::string> ReadConfigFile(const std::string& path);

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_DAEMON_CONFIG_H_
