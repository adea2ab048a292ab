#include "main/ctl/command_line.h"

#include <map>
#include <optional>
#include <utility>

#include <CLI/CLI.hpp>

#include "main/ctl/cluster_commands.h"
#include "main/ctl/completion.h"
#include "main/ctl/job_commands.h"
#include "main/ctl/job_log.h"
#include "main/ctl/settings_commands.h"

namespace quetzalshelf::ctl {

namespace {

constexpr char kServersVariable[] = "QUETZALSHELF_SERVERS";
constexpr char kTokenVariable[] = "QUETZALSHELF_TOKEN";
constexpr char kTokenFileVariable[] = "QUETZALSHELF_TOKEN_FILE";
constexpr char kDefaultServer[] = "127.0.0.1:8080";

using Command = std::function<Exit(Context&)>;

// The commands with their options, and the one that was chosen.
class CommandLine {
 public:
  explicit CommandLine(const Environment& environment)
      : app_(
            "Operates quetzalshelf through its settings. No command overrides "
            "a placement.",
            "quetzalshelfctl") {
    change_.author = environment.variable("USER");
    if (change_.author.empty())
      change_.author = environment.variable("LOGNAME");
    // Commands inherit it, so that general options may follow them.
    app_.fallthrough();
    AddGlobals();
    AddSettings();
    AddWorkspaces();
    AddDomains();
    AddJobs();
    AddRequest();
    AddCluster();
    app_.require_subcommand(1);
    app_.footer(kExitCodeHelp);
  }

  CLI::App& app() { return app_; }
  const Command& command() const { return command_; }
  const std::vector<std::string>& servers() const { return servers_; }
  const std::string& token_file() const { return token_file_; }
  bool json() const { return output_ == "json"; }

 private:
  // Declares a command that runs `command`.
  CLI::App* Add(CLI::App* parent,
                const std::string& name,
                const std::string& help,
                Command command) {
    CLI::App* app = parent->add_subcommand(name, help);
    app->callback([this, command = std::move(command)] { command_ = command; });
    return app;
  }

  CLI::App* AddGroup(const std::string& name, const std::string& help) {
    CLI::App* app = app_.add_subcommand(name, help);
    app->require_subcommand(1);
    return app;
  }

  void AddGlobals() {
    app_.add_option("--server", servers_,
                    "host:port of a node; may be given several times or as a "
                    "list. Default: $QUETZALSHELF_SERVERS, else "
                    "127.0.0.1:8080")
        ->delimiter(',')
        ->allow_extra_args(false);
    app_.add_option("--token-file", token_file_,
                    "File with the access token. Default: "
                    "$QUETZALSHELF_TOKEN_FILE, else $QUETZALSHELF_TOKEN");
    app_.add_option("--output", output_, "text, or json for programs")
        ->check(CLI::IsMember({"text", "json"}));
  }

  void AddChange(CLI::App* app, bool with_base = true) {
    app->add_option("--reason", change_.reason, "Why; kept in the history")
        ->required();
    app->add_option("--author", change_.author,
                    "Who. Default: $USER, else the access token's name");
    app->add_flag("--dry-run", change_.dry_run,
                  "Check and show, but change "
                  "nothing");
    if (with_base)
      app->add_option("--base-version", change_.base_version,
                      "Version that the change is based on. Default: the one "
                      "in force");
  }

  void AddPath(CLI::App* app, bool required) {
    app->add_option("path", path_, "Path such as teams/plaza/weight")
        ->required(required);
  }

  void AddSettings() {
    CLI::App* group = AddGroup("settings", "Read and change settings");
    CLI::App* get = Add(group, "get", "Show what is set at a path",
                        [this](Context& context) {
                          return SettingsGet(context, path_, version_);
                        });
    AddPath(get, false);
    get->add_option("--version", version_, "Show an older version");
    CLI::App* set =
        Add(group, "set", "Set one value", [this](Context& context) {
          return SettingsSet(context, path_, value_, change_);
        });
    AddPath(set, true);
    set->add_option("value", value_, "YAML value; null removes the setting")
        ->required();
    AddChange(set);
    CLI::App* edit =
        Add(group, "edit", "Write a subtree into a file, to edit and apply",
            [this](Context& context) {
              return SettingsEdit(context, path_, file_);
            });
    AddPath(edit, true);
    edit->add_option("--file", file_, "File to write")->required();
    CLI::App* apply =
        Add(group, "apply", "Replace the subtrees that a file holds",
            [this](Context& context) {
              return SettingsApply(context, file_, change_);
            });
    AddFile(apply);
    AddChange(apply);
    AddFile(Add(
        group, "check", "Check a file and change nothing",
        [this](Context& context) { return SettingsCheck(context, file_); }));
    AddSettingsPast(group);
    AddSettingsHelp(group);
  }

  void AddFile(CLI::App* app) {
    app->add_option("file", file_, "YAML file with `site`, `teams` or both")
        ->required();
  }

  void AddSettingsPast(CLI::App* group) {
    CLI::App* diff =
        Add(group, "diff", "Show what a file, or what versions, would change",
            [this](Context& context) {
              if (!file_.empty())
                return SettingsDiffFile(context, file_);
              if (from_)
                return SettingsDiffVersions(context, path_, *from_, to_);
              return ReportUsage(context, "name a file or give --from");
            });
    diff->add_option("file", file_,
                     "YAML file to compare with what is in "
                     "force");
    diff->add_option("--path", path_, "Path to compare, with --from");
    diff->add_option("--from", from_, "Older version");
    diff->add_option("--to", to_, "Newer version; default: the one in force");
    CLI::App* history = Add(group, "history", "Show who changed what, and why",
                            [this](Context& context) {
                              return SettingsHistory(context, path_, limit_);
                            });
    AddPath(history, false);
    AddLimit(history, 200);
    CLI::App* revert =
        Add(group, "revert", "Undo the change of one version by a new one",
            [this](Context& context) {
              return SettingsRevert(context, *version_, change_);
            });
    revert->add_option("version", version_, "Version to undo")->required();
    AddChange(revert, /*with_base=*/false);
  }

  void AddSettingsHelp(CLI::App* group) {
    AddPath(
        Add(group, "help", "Explain the settings below a path",
            [this](Context& context) { return SettingsHelp(context, path_); }),
        false);
    Add(group, "reference", "Print the page docs/SETTINGS.md",
        [](Context& context) { return SettingsReference(context); });
  }

  // `max` is the most that a node gives.
  void AddLimit(CLI::App* app, int max) {
    app->add_option("--limit", limit_, "Most entries")
        ->check(CLI::Range(1, max));
  }

  void AddWorkspaces() {
    CLI::App* group = AddGroup("workspace", "Workspaces and their guarantees");
    Add(group, "list", "List the workspaces",
        [](Context& context) { return WorkspaceList(context); });
    CLI::App* show =
        Add(group, "show", "Show one workspace", [this](Context& context) {
          return WorkspaceShow(context, workspace_.name);
        });
    show->add_option("name", workspace_.name)->required();
    CLI::App* create =
        Add(group, "create", "Create a workspace", [this](Context& context) {
          return WorkspaceCreate(context, workspace_, change_);
        });
    create->add_option("name", workspace_.name)->required();
    create->add_option("--weight", workspace_.weight,
                       "Share of borrowed capacity");
    create->add_option("--quota", workspace_.quota,
                       "Most accelerators in use; 0 means no limit");
    create
        ->add_option("--guarantee", workspace_.guarantees,
                     "<tasks>x<accelerators>[:<adjacency>[:<count>]], for "
                     "example 4x8:rack:2")
        ->allow_extra_args(false);
    AddChange(create, /*with_base=*/false);
  }

  void AddDomains() {
    CLI::App* group = AddGroup("failure-domain",
                               "Take failure domains out of service and back");
    for (const bool in_service : {false, true}) {
      CLI::App* move =
          Add(group, in_service ? "in" : "out",
              in_service ? "Bring a failure domain back into service"
                         : "Take a failure domain out of service",
              [this, in_service](Context& context) {
                return DomainMove(context, domain_, in_service, yes_, change_);
              });
      move->add_option("name", domain_)->required();
      move->add_flag("--yes", yes_, "Do not ask");
      AddChange(move);
    }
    Add(group, "status", "Show the failure domains",
        [](Context& context) { return DomainStatus(context); });
  }

  void AddJobs() {
    CLI::App* group = AddGroup("job", "Submit and follow jobs");
    AddSubmit(
        Add(group, "submit", "Submit a job and print its id",
            [this](Context& context) { return JobSubmit(context, job_); }));
    CLI::App* list = Add(group, "list", "List jobs", [this](Context& context) {
      return JobList(context, job_.workspace, state_, limit_);
    });
    list->add_option("--workspace", job_.workspace);
    list->add_option("--state", state_, "For example waiting or running");
    AddLimit(list, 1'000);
    const auto add = [this, group](const char* name, const char* help,
                                   auto run) {
      CLI::App* app = Add(group, name, help, [this, run](Context& context) {
        return run(context, job_.id);
      });
      app->add_option("id", job_.id)->required();
      return app;
    };
    add("status", "Show one job", JobStatus);
    add("cancel", "Cancel a job", JobCancel);
    add("why", "Explain why a job is where it is", JobWhy);
    add("result", "Print the result of a finished job",
        [this](Context& context, const std::string& id) {
          return JobResult(context, id, file_);
        })
        ->add_option("--file", file_, "File to write the result to");
    add("logs", "Explain a job of the users' platform from the nodes' logs",
        [this](Context& context, const std::string& id) {
          return JobLogs(context, id, file_);
        })
        ->add_option("--file", file_, "The log lines of all nodes")
        ->required();
  }

  void AddSubmit(CLI::App* app) {
    app->add_option("--file", job_.file,
                    "YAML file; other options override it");
    app->add_option("--id", job_.id,
                    "Identifies the job: submitting the same "
                    "id again is the same job");
    app->add_option("--workspace", job_.workspace);
    app->add_option("--kind", job_.kind, "For measures only");
    app->add_option("--tasks", job_.tasks, "Tasks that run as a whole");
    app->add_option("--accelerators", job_.accelerators, "Of each task");
    app->add_option("--cpu-milli", job_.cpu_milli, "Of each task");
    app->add_option("--memory-mib", job_.memory_mib, "Of each task");
    app->add_option("--adjacency", job_.adjacency)
        ->check(CLI::IsMember({"worker", "rack", "domain", "region"}));
    app->add_option("--urgency", job_.urgency)
        ->check(CLI::IsMember({"urgent", "normal", "patient"}));
    app->add_option("--declared-run-ms", job_.declared_run_ms, "A hint only");
    app->add_flag("--no-checkpoint", job_.no_checkpoint,
                  "The tasks cannot checkpoint");
    app->add_option("--payload", job_.payload);
    app->add_option("--payload-file", job_.payload_file);
  }

  void AddRequest() {
    CLI::App* app = Add(
        &app_, "request", "Send one request to a backend server",
        [this](Context& context) { return SendRequest(context, request_); });
    app->add_option("--workspace", request_.workspace)->required();
    app->add_option("--kind", request_.kind)->required();
    app->add_flag("--idempotent", request_.idempotent,
                  "Running it twice does no harm");
    app->add_option("--deadline-ms", request_.deadline_ms);
    app->add_option("--payload", request_.payload);
    app->add_option("--payload-file", request_.payload_file);
  }

  void AddCluster() {
    Add(&app_, "nodes", "List the nodes",
        [](Context& context) { return ShowNodes(context); });
    Add(&app_, "status", "Show the state of the cluster",
        [](Context& context) { return ShowStatus(context); });
    CLI::App* timeline = Add(
        &app_, "timeline", "Show the merged events of all nodes",
        [this](Context& context) { return ShowTimeline(context, timeline_); });
    timeline->add_option("--job", timeline_.job);
    timeline->add_option("--workspace", timeline_.workspace);
    timeline->add_option("--domain", timeline_.domain);
    timeline->add_option("--node", timeline_.node);
    timeline->add_option("--from-ms", timeline_.from_ms,
                         "Milliseconds since the Unix epoch");
    timeline->add_option("--to-ms", timeline_.to_ms);
    timeline->add_option("--html", timeline_.html_file,
                         "Write one self-contained page");
    Add(&app_, "completion", "Print a completion script for bash",
        [this](Context& context) {
          context.out << BashCompletion(app_);
          return Exit::kOk;
        });
  }

  CLI::App app_;
  Command command_;
  std::vector<std::string> servers_;
  std::string token_file_;
  std::string output_ = "text";
  ChangeOptions change_;
  std::string path_;
  std::string value_;
  std::string file_;
  std::string state_;
  std::string domain_;
  std::optional<uint64_t> version_;
  std::optional<uint64_t> from_;
  uint64_t to_ = 0;
  int limit_ = 50;
  bool yes_ = false;
  WorkspaceOptions workspace_;
  JobOptions job_;
  RequestOptions request_;
  TimelineOptions timeline_;
};

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  size_t start = 0;
  while (start < text.size()) {
    const size_t end = std::min(text.find(',', start), text.size());
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

std::optional<std::vector<Server>> ReadServers(const CommandLine& line,
                                               const Environment& environment,
                                               std::ostream& err) {
  std::vector<std::string> texts = line.servers();
  if (texts.empty())
    texts = SplitList(environment.variable(kServersVariable));
  if (texts.empty())
    texts = {kDefaultServer};
  std::vector<Server> servers;
  for (const std::string& it : texts) {
    const auto server = ParseServer(it);
    if (!server) {
      err << "error: \"" << it << "\" is not a server; write host:port\n";
      return std::nullopt;
    }
    servers.push_back(*server);
  }
  return servers;
}

std::optional<std::string> ReadToken(const CommandLine& line,
                                     const Environment& environment,
                                     std::ostream& err) {
  std::string file = line.token_file();
  if (file.empty())
    file = environment.variable(kTokenFileVariable);
  if (file.empty())
    return environment.variable(kTokenVariable);
  auto text = environment.read_file(file);
  if (!text.ok()) {
    err << "error: " << file << ": " << text.status().message() << "\n";
    return std::nullopt;
  }
  text->erase(text->find_last_not_of(" \r\n\t") + 1);
  return *std::move(text);
}

Exit RunParsed(const CommandLine& line,
               const Environment& environment,
               const MakeTransport& make_transport,
               std::ostream& out,
               std::ostream& err) {
  const auto servers = ReadServers(line, environment, err);
  const auto token = ReadToken(line, environment, err);
  if (!servers || !token)
    return Exit::kUsage;
  const std::unique_ptr<Transport> transport = make_transport(*token);
  ApiClient client(*transport, *servers);
  Context context{client, environment, out, err, line.json()};
  return line.command()(context);
}

}  // namespace

Exit RunCommandLine(const std::vector<std::string>& args,
                    const Environment& environment,
                    const MakeTransport& make_transport,
                    std::ostream& out,
                    std::ostream& err) {
  CommandLine line(environment);
  try {
    // CLI11 takes the arguments in reverse order.
    line.app().parse(std::vector<std::string>(args.rbegin(), args.rend()));
    return RunParsed(line, environment, make_transport, out, err);
  } catch (const CLI::ParseError& error) {
    const bool is_help = error.get_exit_code() == 0;
    line.app().exit(error, out, err);
    return is_help ? Exit::kOk : Exit::kUsage;
  } catch (const Json::exception&) {
    // Texts are checked when they are encoded, before anything is sent.
    err << "error: the input is not valid UTF-8 text\n";
    return Exit::kUsage;
  }
}

}  // namespace quetzalshelf::ctl
