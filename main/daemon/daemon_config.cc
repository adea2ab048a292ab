#include "main/daemon/daemon_config.h"

#include <fstream>
#include <iterator>
#include <map>
#include <utility>

#include <CLI/CLI.hpp>

#include "core/yaml_reader.h"
#include "servers/settings/schema.h"

namespace quetzalshelf {

namespace {

constexpr size_t kMaxFileSize = size_t{1} << 20;
constexpr size_t kMinSecretBytes = 16;
constexpr int64_t kMaxPort = 65'535;

// A duration of the `timings` section.
struct TimingField {
  const char* name;
  Duration DaemonTimings::*member;
  int64_t fallback;
  int64_t min;
  int64_t max;
};

constexpr TimingField kTimings[] = {
    {"shard_lease_ms", &DaemonTimings::shard_lease, 10'000, 500, 600'000},
    {"shard_renew_ms", &DaemonTimings::shard_renew, 3'000, 100, 300'000},
    {"takeover_margin_ms", &DaemonTimings::takeover_margin, 2'000, 100,
     600'000},
    {"task_lease_ms", &DaemonTimings::task_lease, 30'000, 1'000, 3'600'000},
    {"worker_sync_ms", &DaemonTimings::worker_sync, 5'000, 100, 600'000},
    {"start_timeout_ms", &DaemonTimings::start_timeout, 2'000, 100, 60'000},
    {"start_deadline_ms", &DaemonTimings::start_deadline, 3'000, 100, 60'000},
    {"member_heartbeat_ms", &DaemonTimings::member_heartbeat, 5'000, 100,
     600'000},
    {"peer_heartbeat_ms", &DaemonTimings::peer_heartbeat, 1'000, 100, 60'000},
    {"keep_alive_ms", &DaemonTimings::keep_alive, 5'000, 100, 600'000},
    {"drain_ms", &DaemonTimings::drain, 30'000, 100, 600'000},
};

// A flag that sets a field of the file.
struct FlagField {
  const char* flag;
  const char* section;  // Empty for a field at the top.
  const char* field;
  const char* help;
  bool number = false;
};

constexpr FlagField kFlags[] = {
    {"--node-id", "node", "id", "Name of this node"},
    {"--region", "node", "region", "Region of this node"},
    {"--failure-domain", "node", "failure_domain",
     "Failure domain of this node"},
    {"--listen-host", "listen", "host", "IP number to listen on"},
    {"--listen-port", "listen", "port", "Port to listen on", true},
    {"--platform-host", "platform", "host", "IP number of the platform"},
    {"--platform-port", "platform", "port", "Port of the platform", true},
    {"--log-format", "log", "format", "text or json"},
    {"--log-level", "log", "level", "debug, info, warning or error"},
};

// Reads one configuration.
class ConfigParser {
 public:
  explicit ConfigParser(Findings& findings) : findings_(findings) {}

  DaemonConfig Parse(const Json& json) {
    JsonReader reader(json, "", findings_);
    config_.standalone = reader.OptionalBool("standalone", false);
    ReadNode(reader.RequireObject("node"));
    ReadListen(reader.RequireObject("listen"));
    ReadPlatform(reader);
    ReadLimits(reader.OptionalObject("limits"));
    ReadTimings(reader.OptionalObject("timings"));
    ReadLog(reader.OptionalObject("log"));
    ReadAccess(reader.OptionalObject("access"));
    reader.Finish();
    return std::move(config_);
  }

 private:
  template <typename Id>
  Id ReadName(JsonReader& reader, const char* field) {
    Id id = reader.RequireId<Id>(field);
    if (!id.empty() && !settings::IsValidName(id.value()))
      reader.AddFinding(field, "is not a valid name",
                        "use 1 to 64 letters, digits, '.', '_' or '-'");
    return id;
  }

  void ReadNode(const Json& json) {
    JsonReader reader(json, "node", findings_);
    config_.node = ReadName<NodeId>(reader, "id");
    config_.region = ReadName<RegionId>(reader, "region");
    config_.domain = ReadName<DomainId>(reader, "failure_domain");
    reader.Finish();
  }

  HostPort ReadHostPort(const Json& json, const char* path, int64_t min_port) {
    JsonReader reader(json, path, findings_);
    HostPort address;
    address.host = reader.RequireString("host");
    address.port =
        static_cast<int>(reader.RequireInt("port", min_port, kMaxPort));
    reader.Finish();
    return address;
  }

  void ReadListen(const Json& json) {
    // Port 0 lets the system choose, for tests.
    config_.listen = ReadHostPort(json, "listen", 0);
  }

  void ReadPlatform(JsonReader& reader) {
    if (!config_.standalone) {
      config_.platform =
          ReadHostPort(reader.RequireObject("platform"), "platform", 1);
      return;
    }
    reader.OptionalObject("platform");
    if (reader.Has("platform"))
      reader.AddFinding("platform", "cannot be set with standalone",
                        "remove it or set standalone to false");
  }

  void ReadLimits(const Json& json) {
    JsonReader reader(json, "limits", findings_);
    DaemonLimits& limits = config_.limits;
    limits.max_connections =
        static_cast<int>(reader.OptionalInt("max_connections", 1, 10'000, 256));
    limits.max_body_bytes =
        reader.OptionalInt("max_body_bytes", 4'096, 67'108'864, 67'108'864);
    limits.timeline_events = static_cast<int>(
        reader.OptionalInt("timeline_events", 16, 1'000'000, 4'096));
    reader.Finish();
  }

  void ReadTimings(const Json& json) {
    JsonReader reader(json, "timings", findings_);
    DaemonTimings& timings = config_.timings;
    for (const TimingField& it : kTimings)
      timings.*it.member =
          Duration(reader.OptionalInt(it.name, it.min, it.max, it.fallback));
    reader.Finish();
    if (timings.shard_renew * 2 > timings.shard_lease)
      reader.AddFinding("shard_renew_ms",
                        "leaves no time for a second try within shard_lease_ms",
                        "use at most half of shard_lease_ms");
    if (timings.worker_sync * 2 > timings.task_lease)
      reader.AddFinding("worker_sync_ms",
                        "leaves no time for a second try within task_lease_ms",
                        "use at most half of task_lease_ms");
  }

  template <typename Value, size_t kSize>
  Value ReadChoice(JsonReader& reader,
                   const char* field,
                   const std::pair<const char*, Value> (&choices)[kSize],
                   Value fallback) {
    const std::string text = reader.OptionalString(field);
    std::string allowed;
    for (const auto& [name, value] : choices) {
      if (text == name)
        return value;
      allowed += (allowed.empty() ? "" : ", ") + std::string(name);
    }
    if (!text.empty())
      reader.AddFinding(field, "is not a known value",
                        "use one of: " + allowed);
    return fallback;
  }

  void ReadLog(const Json& json) {
    static constexpr std::pair<const char*, LogFormat> kFormats[] = {
        {"text", LogFormat::kText}, {"json", LogFormat::kJson}};
    static constexpr std::pair<const char*, LogLevel> kLevels[] = {
        {"debug", LogLevel::kDebug},
        {"info", LogLevel::kInfo},
        {"warning", LogLevel::kWarning},
        {"error", LogLevel::kError}};
    JsonReader reader(json, "log", findings_);
    config_.log_format =
        ReadChoice(reader, "format", kFormats, LogFormat::kText);
    config_.log_level = ReadChoice(reader, "level", kLevels, LogLevel::kInfo);
    reader.Finish();
  }

  void ReadAccess(const Json& json) {
    JsonReader reader(json, "access", findings_);
    config_.allow_anonymous =
        reader.OptionalBool("allow_anonymous", config_.standalone);
    config_.tokens = settings::ReadAccessTokens(
        reader.OptionalArray("tokens"), reader.PathOf("tokens"), findings_);
    config_.node_secret =
        settings::Secret(reader.OptionalString("node_secret"));
    if (reader.Has("node_secret") &&
        config_.node_secret.size() < kMinSecretBytes) {
      reader.AddFinding("node_secret", "is too short",
                        "use at least 16 characters, the same on all nodes");
    }
    reader.Finish();
    if (config_.tokens.empty() && !config_.allow_anonymous)
      reader.AddFinding("tokens", "is missing, so that nobody has access",
                        "add a token, or set allow_anonymous to true");
  }

  Findings& findings_;
  DaemonConfig config_;
};

// The flags of one command line.
struct Flags {
  std::string config_file;
  bool standalone = false;
  std::map<std::string, std::string> values;  // By flag.
};

void AddFlags(CLI::App& app, Flags& flags) {
  app.add_option("-c,--config", flags.config_file,
                 "YAML file; see docs/SETTINGS.md for the settings that "
                 "operators change while it runs");
  app.add_flag("--standalone", flags.standalone,
               "Keep tables in memory and run without platform and peers");
  for (const FlagField& it : kFlags)
    app.add_option(it.flag, flags.values[it.flag], it.help);
}

// Puts the flags into the values of the file. Returns the flag of each path.
std::map<std::string, std::string> Overlay(const CLI::App& app,
                                           const Flags& flags,
                                           Json& json) {
  std::map<std::string, std::string> origins;
  if (flags.standalone) {
    json["standalone"] = true;
    origins["standalone"] = "--standalone";
  }
  for (const FlagField& it : kFlags) {
    if (app.count(it.flag) == 0)
      continue;
    const std::string& text = flags.values.at(it.flag);
    Json value = text;
    if (it.number) {
      Json number = Json::parse(text, nullptr, /*allow_exceptions=*/false);
      if (number.is_number_integer())
        value = std::move(number);
    }
    Json& section = json[it.section];
    if (section.is_null() || section.is_object())
      section[it.field] = std::move(value);
    origins[JoinPath(it.section, it.field)] = it.flag;
  }
  return origins;
}

Findings LocateAll(const Findings& findings,
                   const YamlDocument& document,
                   const std::map<std::string, std::string>& origins) {
  Findings located;
  const Findings in_file = document.Locate(findings);
  for (const Finding& it : in_file.items()) {
    const auto origin = origins.find(it.place.path);
    Place place = it.place;
    if (origin != origins.end())
      place = {"command line", 0, origin->second};
    located.Add(place, it.message, it.remedy);
  }
  return located;
}

std::optional<DaemonConfig> Load(const CLI::App& app,
                                 const Flags& flags,
                                 const ReadFile& read_file,
                                 Findings& findings) {
  std::string text;
  if (!flags.config_file.empty()) {
    auto read = read_file(flags.config_file);
    if (!read.ok()) {
      findings.Add({flags.config_file, 0, ""},
                   std::string(read.status().message()),
                   "name a readable file");
      return std::nullopt;
    }
    text = *std::move(read);
  }
  const std::string name =
      flags.config_file.empty() ? "command line" : flags.config_file;
  const auto document = YamlDocument::Parse(text, name, findings);
  if (!document)
    return std::nullopt;
  Json json = document->json();
  if (!json.is_object()) {
    findings.Add({name, 1, ""}, "must hold named fields", "see --help");
    return std::nullopt;
  }
  const auto origins = Overlay(app, flags, json);
  Findings own;
  DaemonConfig config = ConfigParser(own).Parse(json);
  findings.Append(LocateAll(own, *document, origins));
  if (!own.empty())
    return std::nullopt;
  return config;
}

}  // namespace

DaemonCommandLine ParseDaemonCommandLine(const std::vector<std::string>& args,
                                         const ReadFile& read_file) {
  CLI::App app("Schedules jobs and routes requests; one of several equal nodes",
               "quetzalshelfd");
  Flags flags;
  AddFlags(app, flags);
  DaemonCommandLine result;
  try {
    // CLI11 takes the arguments in reverse order.
    app.parse(std::vector<std::string>(args.rbegin(), args.rend()));
  } catch (const CLI::CallForHelp&) {
    result.output = app.help();
    return result;
  } catch (const CLI::ParseError& error) {
    result.exit_code = kExitBadConfig;
    result.errors = std::string(error.what()) + "\n";
    return result;
  }
  Findings findings;
  result.config = Load(app, flags, read_file, findings);
  if (!result.config) {
    result.exit_code = kExitBadConfig;
    result.errors = findings.ToString() + "\n";
  }
  return result;
}

absl::StatusOr<std::string> ReadConfigFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return absl::NotFoundError("cannot open the file");
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  if (file.bad())
    return absl::UnavailableError("cannot read the file");
  if (text.size() > kMaxFileSize)
    return absl::InvalidArgumentError("the file is larger than 1 MiB");
  return text;
}

}  // namespace quetzalshelf
