// The commands of quetzalshelfctl against a daemon, with their exit codes.

#include "tests/main/daemon_fixture.h"

#include <fstream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <asio/ip/tcp.hpp>

#include "main/ctl/cluster_commands.h"
#include "main/ctl/command_line.h"
#include "main/ctl/http_transport.h"
#include "servers/settings/schema.h"

namespace quetzalshelf::ctl {
namespace {

struct Outcome {
  Exit exit = Exit::kOk;
  std::string out;
  std::string err;
};

// Runs commands with files and variables in memory.
class Shell {
 public:
  explicit Shell(MakeTransport make_transport)
      : make_transport_(std::move(make_transport)) {}

  std::map<std::string, std::string> files;
  std::map<std::string, std::string> variables;
  std::optional<bool> answer;

  Outcome Run(const std::vector<std::string>& args) {
    const Environment environment{
        [this](const std::string& name) -> absl::StatusOr<std::string> {
          auto it = files.find(name);
          if (it == files.end())
            return absl::NotFoundError("cannot open the file");
          return it->second;
        },
        [this](const std::string& name, const std::string& text) {
          if (name.starts_with("/read-only/"))
            return absl::UnavailableError("cannot write the file");
          files[name] = text;
          return absl::OkStatus();
        },
        [this](const std::string& name) { return variables[name]; },
        [this](const std::string&) { return answer; }, [] { return "job-1"; }};
    std::ostringstream out;
    std::ostringstream err;
    Outcome outcome;
    outcome.exit = RunCommandLine(args, environment, make_transport_, out, err);
    outcome.out = out.str();
    outcome.err = err.str();
    return outcome;
  }

 private:
  MakeTransport make_transport_;
};

Shell ShellFor(DaemonFixture& daemon) {
  return Shell([&daemon](std::string token) {
    return std::make_unique<FixtureTransport>(daemon, std::move(token));
  });
}

// A command line, its exit code, and a part of what it prints.
struct Expected {
  std::vector<std::string> args;
  Exit exit = Exit::kOk;
  std::string part;
};

void CheckAll(Shell& shell, const std::vector<Expected>& commands) {
  for (const Expected& it : commands) {
    std::string line;
    for (const std::string& arg : it.args)
      line += arg + " ";
    CAPTURE(line);
    const Outcome outcome = shell.Run(it.args);
    CAPTURE(outcome.out);
    CAPTURE(outcome.err);
    CHECK(outcome.exit == it.exit);
    const std::string& text = it.exit == Exit::kOk ? outcome.out : outcome.err;
    CHECK(text.find(it.part) != std::string::npos);
  }
}

constexpr Exit kOk = Exit::kOk;
constexpr Exit kUsage = Exit::kUsage;

// Guards against commands that expect other fields than the daemon delivers.
TEST_CASE("Each command that reads or changes settings works") {
  DaemonFixture daemon;
  Shell shell = ShellFor(daemon);
  shell.variables["QUETZALSHELF_TOKEN"] = kOpsToken;
  shell.files["plaza.yaml"] = "teams: {plaza: {weight: 7}}\n";
  shell.files["bad.yaml"] = "teams:\n  plaza:\n    wieght: 7\n";
  shell.files["old.yaml"] = "base_version: 1\nteams: {plaza: {weight: 8}}\n";
  const std::string why = "--reason=test";
  CheckAll(
      shell,
      {{{"settings", "get", "teams/plaza/weight"}, kOk, "# version 1\n1\n"},
       {{"settings", "set", "teams/plaza/weight", "4", why},
        kOk,
        "(not set) -> 4"},
       {{"settings", "set", "teams/plaza/weight", "4", why}, kOk, "unchanged"},
       {{"settings", "set", "teams/plaza/weight", "x", why}, kUsage, "weight"},
       {{"settings", "set", "teams/plaza/colour", "4", why}, kUsage, "colour"},
       {{"settings", "set", "teams/plaza/weight", "4"}, kUsage, "--reason"},
       {{"settings", "set", "teams/plaza/weight", "9", why, "--base-version=1"},
        Exit::kConflict,
        "your change is based on version 1; version 2 is in force\n"
        "your value:\n9\ncurrent value:\n4\n"},
       {{"settings", "get", "teams/plaza/weight", "--version=1"}, kOk, "1\n1"},
       {{"settings", "get", "teams/plaza", "--version=9"},
        Exit::kRefused,
        "version 2"},
       {{"settings", "get", "colour"}, kUsage, "colour"},
       {{"settings", "check", "plaza.yaml"}, kOk, "no faults"},
       {{"settings", "check", "bad.yaml"}, kUsage, "bad.yaml:3"},
       {{"settings", "check", "none.yaml"}, kUsage, "none.yaml"},
       {{"settings", "diff", "plaza.yaml"}, kOk, "4 -> 7"},
       {{"settings", "diff", "--from=1"}, kOk, "teams/plaza/weight"},
       {{"settings", "diff"}, kUsage, "--from"},
       {{"settings", "apply", "old.yaml", why}, Exit::kConflict, "version 2"},
       {{"settings", "apply", "plaza.yaml", why}, kOk, "accepted as version 3"},
       {{"settings", "revert", "3", why}, kOk, "7 -> 4"},
       {{"settings", "revert", "3", why}, Exit::kConflict, "was changed after"},
       {{"settings", "history"}, kOk, "by ops (access token ops): test"},
       {{"settings", "history", "colour"}, kUsage, "colour"},
       {{"settings", "edit", "teams/plaza", "--file=e.yaml"}, kOk, "e.yaml"},
       {{"settings", "apply", "e.yaml", why}, kOk, "unchanged"},
       {{"settings", "help", "teams"}, kOk, "weight"},
       {{"settings", "help", "colour"}, kUsage, "colour"},
       {{"workspace", "create", "patio", "--guarantee=2x4:rack", why},
        kOk,
        "accepted"},
       {{"workspace", "create", "patio", why}, Exit::kConflict, "exists"},
       {{"workspace", "create", "p", "--guarantee=2", why}, kUsage, "2"},
       {{"workspace", "list"}, kOk, "patio"},
       {{"workspace", "show", "patio"}, kOk, "adjacency: rack"},
       {{"workspace", "show", "none"}, Exit::kRefused, "none"}});
}

// Guards against commands that expect other fields than the daemon delivers.
TEST_CASE("Each command on jobs, requests, domains and nodes works") {
  DaemonFixture daemon;
  Shell shell = ShellFor(daemon);
  shell.variables["QUETZALSHELF_TOKEN"] = kOpsToken;
  const std::string why = "--reason=test";
  CheckAll(
      shell,
      {{{"nodes"}, kOk, "reachable  central@1"},
       {{"status"}, kOk, "node n1: ready; settings version 1; store reachable"},
       {{"status"}, kOk, "central  n1     1      6        0             1\n"},
       {{"job", "submit", "--id=j1", "--workspace=plaza", "--tasks=2",
         "--accelerators=1"},
        Exit::kConflict,
        "j1"},
       {{"job", "submit", "--workspace=plaza", "--tasks=1", "--accelerators=1"},
        kOk,
        "job-1\n"},
       {{"job", "submit", "--workspace=none", "--tasks=1", "--accelerators=1"},
        kUsage,
        "workspace"},
       {{"job", "submit", "--workspace=plaza", "--accelerators=1"},
        kUsage,
        "tasks"},
       {{"job", "list", "--state=running", "--limit=1"}, kOk, "j1"},
       {{"job", "list", "--state=odd"}, kUsage, "state"},
       {{"job", "status", "j1"}, kOk, "running"},
       {{"job", "status", "none"}, Exit::kRefused, "none"},
       {{"job", "why", "j1"}, kOk, "It runs on borrowed capacity"},
       {{"job", "result", "j1"}, Exit::kRefused, "result"},
       {{"failure-domain", "status"}, kOk, "cartago-2       central  in"},
       {{"failure-domain", "out", "cartago-2", why}, kUsage, "--yes"},
       {{"failure-domain", "out", "cartago-2", why, "--yes"}, kOk, "false"},
       {{"failure-domain", "status"}, kOk, "cartago-2       central  out"},
       {{"failure-domain", "in", "cartago-2", why, "--yes"}, kOk, "true"},
       {{"failure-domain", "in", "a/b", why, "--yes"}, kUsage, "a/b"},
       {{"job", "cancel", "j1"}, kOk, "cancelled"},
       {{"job", "cancel", "none"}, Exit::kRefused, "none"},
       {{"request", "--workspace=plaza", "--kind=k", "--payload=hello"},
        kOk,
        "hello\n"},
       {{"request", "--workspace=none", "--kind=k"}, kUsage, "workspace"},
       {{"timeline", "--job=j1"}, kOk, "job.running"},
       {{"timeline", "--html=t.html"}, kOk, "wrote"},
       {{"timeline", "--html=/read-only/t"}, kUsage, "cannot write"},
       {{"completion"}, kOk, "failure-domain"},
       {{"nonsense"}, kUsage, ""}});
  CHECK(shell.files["t.html"].find("job.running") != std::string::npos);
}

// Guards against an explanation that ends with the scheduler's memory of a job.
TEST_CASE("A refused job tells why it will not run") {
  DaemonFixture daemon;
  Shell shell = ShellFor(daemon);
  shell.variables["QUETZALSHELF_TOKEN"] = kOpsToken;
  const std::vector<std::string> submit = {"job", "submit", "--workspace=plaza",
                                           "--tasks=99", "--accelerators=8"};
  CheckAll(shell, {{submit, kOk, "job-1"}});
  daemon.WaitUntil("/v1/jobs/job-1", {{"state", "refused"}});
  CheckAll(shell, {{{"job", "why", "job-1"}, kOk, "It will not run: "},
                   {{"job", "status", "job-1"}, kOk, "It will not run: "}});
}

// Guards against a published result that the operator cannot read.
TEST_CASE("The result of a finished job is printed and written to a file") {
  DaemonFixture daemon;
  Shell shell = ShellFor(daemon);
  shell.variables["QUETZALSHELF_TOKEN"] = kOpsToken;
  CheckAll(shell, {{{"job", "submit", "--workspace=plaza", "--tasks=1",
                     "--accelerators=1", "--declared-run-ms=1"},
                    kOk,
                    "job-1"}});
  Outcome result;
  do {
    result = shell.Run({"job", "result", "job-1", "--file=r.json"});
  } while (result.exit == Exit::kRefused);
  CHECK(result.exit == kOk);
  const Json json = Json::parse(shell.files["r.json"]);
  CHECK(json.at("job") == "job-1");
  CHECK(shell.Run({"job", "result", "job-1"}).out ==
        json.at("tasks").at(0).get<std::string>() + "\n");
}

// Guards against a scope that is checked for some commands only.
TEST_CASE("Commands with a wrong or narrow token end with 5") {
  DaemonFixture daemon;
  Shell shell = ShellFor(daemon);
  const std::string before = daemon.State();
  const std::vector<std::vector<std::string>> reads = {
      {"nodes"},
      {"status"},
      {"timeline"},
      {"job", "list"},
      {"settings", "get"},
      {"settings", "history"},
      {"workspace", "list"},
      {"failure-domain", "status"},
      {"job", "status", "j1"}};
  const std::vector<std::vector<std::string>> changes = {
      {"settings", "set", "teams/plaza/weight", "4", "--reason=r"},
      {"workspace", "create", "patio", "--reason=r"},
      {"failure-domain", "out", "cartago", "--reason=r", "--yes"},
      {"job", "submit", "--workspace=plaza", "--tasks=1", "--accelerators=1"},
      {"job", "cancel", "j1"},
      {"request", "--workspace=plaza", "--kind=k"}};
  for (const char* token : {"", kWrongToken, kCalleToken}) {
    shell.variables["QUETZALSHELF_TOKEN"] = token;
    const Exit of_reads =
        token == kCalleToken ? Exit::kOk : Exit::kNotAuthorised;
    for (const auto& it : reads)
      CHECK(shell.Run(it).exit == of_reads);
    for (const auto& it : changes)
      CHECK(shell.Run(it).exit == Exit::kNotAuthorised);
  }
  CHECK(daemon.State() == before);
}

// Guards against a command that reports success, or an unknown outcome, when
// nothing was reached.
TEST_CASE("Without a server every command ends with 3") {
  asio::io_context io;
  // Bound and not listening, so that connections are refused.
  asio::ip::tcp::socket closed(
      io, {asio::ip::make_address("127.0.0.1"), asio::ip::port_type{0}});
  const std::string server =
      "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
  Shell shell([](std::string token) {
    return std::make_unique<HttpTransport>(
        HttpTransportOptions{.token = std::move(token)});
  });
  for (std::vector<std::string> args : std::vector<std::vector<std::string>>{
           {"nodes"},
           {"status"},
           {"timeline"},
           {"settings", "set", "teams/plaza/weight", "4", "--reason=r"},
           {"job", "cancel", "j1"},
           {"request", "--workspace=plaza", "--kind=k"}}) {
    args.push_back("--server=" + server);
    CHECK(shell.Run(args).exit == Exit::kNoServer);
  }
}

// Answers reads and tickets; the connection of any other call breaks.
class BreakingTransport : public Transport {
 public:
  explicit BreakingTransport(int& changes) : changes_(changes) {}

  HttpReply Send(const Server&, const HttpCall& call) override {
    if (call.method == "GET" || call.target == "/v1/tickets")
      return {.delivery = Delivery::kAnswered,
              .status = 200,
              .body = R"({"version":1,"value":1,"ticket":"t"})"};
    ++changes_;
    return {.delivery = Delivery::kMaybeSent, .error = "no whole answer"};
  }

 private:
  int& changes_;
};

// Guards against a change or a non-idempotent request that is sent to a second
// server after the first may have carried it out.
TEST_CASE("A call that may have taken effect is sent once and ends with 6") {
  int sent = 0;
  Shell shell([&sent](const auto&) {
    return std::make_unique<BreakingTransport>(sent);
  });
  const std::string servers = "--server=127.0.0.1:1,127.0.0.1:2";
  for (const std::vector<std::string>& args :
       std::vector<std::vector<std::string>>{
           {"settings", "set", "teams/plaza/weight", "4", "--reason=r",
            servers},
           {"request", "--workspace=plaza", "--kind=k", servers}}) {
    sent = 0;
    CHECK(shell.Run(args).exit == Exit::kUnknown);
    CHECK(sent == 1);
  }
}

// A node that does not own the shard, and its owner at port 2, which may be
// out of reach.
class TwoNodeTransport : public Transport {
 public:
  explicit TwoNodeTransport(bool owner_reachable)
      : owner_reachable_(owner_reachable) {}

  HttpReply Send(const Server& server, const HttpCall&) override {
    const bool owner = server.port == 2;
    if (owner && !owner_reachable_)
      return {.delivery = Delivery::kNotSent, .error = "refused"};
    Json shard = {{"region", "central"},
                  {"owner", "n2"},
                  {"owner_address", "127.0.0.1:2"},
                  {"owned_here", owner},
                  {"jobs_waiting", nullptr}};
    Json body = {{"node", owner ? "n2" : "n1"}, {"guarantees", nullptr}};
    if (owner) {
      shard["jobs_waiting"] = 41;
      body["guarantees"] = Json::array(
          {{{"workspace", "plaza"}, {"guarantee", 3}, {"reason", "full"}}});
    }
    body["shards"] = Json::array({shard});
    return {
        .delivery = Delivery::kAnswered, .status = 200, .body = body.dump()};
  }

 private:
  const bool owner_reachable_;
};

// Guards against "all guarantees are held" from a node that does not know.
TEST_CASE("The status comes from the owner of the shard if it is reachable") {
  for (const bool reachable : {true, false}) {
    Shell shell([reachable](const auto&) {
      return std::make_unique<TwoNodeTransport>(reachable);
    });
    const Outcome outcome = shell.Run({"status", "--server=127.0.0.1:1"});
    CHECK(outcome.exit == kOk);
    const auto holds = [&outcome](const std::string& part) {
      return outcome.out.find(part) != std::string::npos;
    };
    CHECK(holds(reachable ? "node n2" : "node n1"));
    CHECK(holds("41") == reachable);
    CHECK(holds("guarantee 3 of plaza is not held: full") == reachable);
    CHECK((outcome.err.find("is not known") != std::string::npos) != reachable);
  }
}

// Guards against a page that needs a network, that mixes up the nodes, or that
// runs texts of callers as markup.
TEST_CASE("The page of the timeline has a column for each node") {
  const std::vector<Json> events = {
      {{"hlc", "1.0"}, {"time_ms", 1}, {"node", "n2"}, {"kind", "a"}},
      {{"hlc", "2.0"},
       {"time_ms", 2},
       {"node", "n1"},
       {"kind", "b"},
       {"job", "<script>"},
       {"text", "t"}}};
  const std::string page = TimelinePage(events, {"n3"});
  const auto holds = [&page](const std::string& part) {
    return page.find(part) != std::string::npos;
  };
  CHECK(holds("<th>Time (UTC)</th><th>n1</th><th>n2</th></tr>"));
  CHECK(holds("00.001</td><td></td><td class=\"event\"><b>a</b>"));
  CHECK(
      holds("00.002</td><td class=\"event\"><b>b</b> job=&lt;script&gt;"
            "<br>t</td><td></td></tr>"));
  CHECK(holds("The events of n3 are missing"));
  for (const char* part :
       {"http:", "https:", "src=", "href=", "@import", "url("})
    CHECK_FALSE(holds(part));
}

// Answers every change as a node does that could not answer in time.
class LateTransport : public Transport {
 public:
  HttpReply Send(const Server&, const HttpCall& call) override {
    if (call.method == "GET")
      return {.delivery = Delivery::kAnswered,
              .status = 200,
              .body = R"({"version":1,"value":1})"};
    return {.delivery = Delivery::kAnswered,
            .status = 503,
            .body = R"({"error":{"code":"deadline_exceeded","message":"late",)"
                    R"("findings":[]}})"};
  }
};

// Guards against a change that is called refused although it may be accepted.
TEST_CASE("A change that was not answered in time ends with 6") {
  Shell shell([](const auto&) { return std::make_unique<LateTransport>(); });
  CHECK(shell.Run({"settings", "set", "teams/plaza/weight", "4", "--reason=r"})
            .exit == Exit::kUnknown);
}

// Guards against a page that tells other settings than the schema checks.
TEST_CASE("docs/SETTINGS.md is the page that the schema gives") {
  std::ifstream file(QUETZALSHELF_SETTINGS_PAGE);
  std::ostringstream page;
  page << file.rdbuf();
  CHECK(page.str() == settings::ReferencePage());
}

}  // namespace
}  // namespace quetzalshelf::ctl
