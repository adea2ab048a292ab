// A small deployment: entry nodes as processes, a store, executors, an operator
// and clients, all on loopback addresses.

#ifndef REVIEW_6_PEERS_WORLD_HPP_
#define REVIEW_6_PEERS_WORLD_HPP_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "executor.hpp"
#include "store.hpp"

namespace peers {

// The case could not run.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// An entry node, started with the command and the template of the deploy file.
class Node {
 public:
  Node(std::string repository,
       std::string folder,
       std::string name,
       std::string zone,
       int store_port)
      : repository_(std::move(repository)),
        folder_(std::move(folder)),
        name_(std::move(name)),
        zone_(std::move(zone)),
        store_port_(store_port) {}
  ~Node() { Kill(); }

  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  int caller_port() const { return caller_port_.number(); }
  int readiness_port() const { return readiness_port_.number(); }
  bool started() const { return pid_ > 0; }

  void Start() {
    WriteSettings();
    const std::string program = "target/main/daemon/quetzalshelfd";
    const std::string log = folder_ + "/" + name_ + ".log";
    const std::string boot =
        "QUETZALSHELF_BOOT=" + folder_ + "/" + name_ + ".yaml";
    pid_ = fork();
    if (pid_ < 0)
      throw CannotRun("no process can be started");
    if (pid_ > 0)
      return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    if (chdir(repository_.c_str()) != 0)
      _exit(127);
    for (int fd = 3; fd < 1024; ++fd)
      close(fd);
    const char* const arguments[] = {program.c_str(), "entry", nullptr};
    const char* const environment[] = {boot.c_str(), nullptr};
    execve(program.c_str(), const_cast<char* const*>(arguments),
           const_cast<char* const*>(environment));
    _exit(127);
  }
  void Signal(int number) const {
    if (pid_ > 0)
      kill(pid_, number);
  }
  void Kill() {
    if (pid_ <= 0)
      return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  // Whether it has ended by itself or after a signal.
  bool HasEnded() {
    if (pid_ <= 0)
      return true;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
      return false;
    pid_ = 0;
    return true;
  }

 private:
  static void Replace(std::string& text,
                      const std::string& name,
                      const std::string& value) {
    const std::string hole = "{{" + name + "}}";
    for (size_t at = text.find(hole); at != std::string::npos;
         at = text.find(hole))
      text.replace(at, hole.size(), value);
  }

  void WriteSettings() const {
    std::ifstream in(repository_ + "/deploy/entry.yaml");
    std::stringstream buffer;
    buffer << in.rdbuf();
    std::string text = buffer.str();
    const auto at = [](int port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    Replace(text, "node_name", name_);
    Replace(text, "zone", zone_);
    Replace(text, "listen.frontend", at(caller_port_.number()));
    Replace(text, "listen.readiness", at(readiness_port_.number()));
    Replace(text, "port_range.0", std::to_string(metrics_port_.number()));
    Replace(text, "platform.addr", at(store_port_));
    Replace(text, "limits.max_fds", "4100");
    Replace(text, "limits.cpu_share", "0.25");
    Replace(text, "bounds.grace_s", "6");
    Replace(text, "bounds.revoke_ms", "5000");
    if (text.empty() || text.find("{{") != std::string::npos)
      throw CannotRun("the template of the settings has unknown fields");
    std::ofstream(folder_ + "/" + name_ + ".yaml") << text;
  }

  const std::string repository_;
  const std::string folder_;
  const std::string name_;
  const std::string zone_;
  const int store_port_;
  const ReservedPort caller_port_;
  const ReservedPort readiness_port_;
  const ReservedPort metrics_port_;
  pid_t pid_ = 0;
};

struct Step {
  int count = 1;
  TaskInfo task;
  int64_t estimate_ms = 1'000;
  std::vector<int> depends_on;
  bool gang = false;
  std::string required_label;
  int max_per_server = 0;
  bool long_running = false;
  bool speculative = false;
  bool rack_local = false;
  bool fills = false;
  std::string data_rack;
};

struct JobSpec {
  std::string id;
  std::string queue;
  std::vector<Step> steps;
  int repeats = 0;
  int64_t first_ms = 0;
  int64_t period_ms = 0;
};

class World {
 public:
  static constexpr char kHost[] = "nony24.example";
  static constexpr char kKey[] = "key-of-plaza";
  static constexpr int64_t kHeartbeatMs = 1'500;

  World(std::string repository, std::string folder, const std::string& record)
      : repository_(std::move(repository)),
        folder_(std::move(folder)),
        record_(record, std::ios::trunc),
        store(io),
        fleet(io) {
    NowMs();
    if (access((repository_ + "/target/main/daemon/quetzalshelfd").c_str(),
               X_OK) != 0)
      throw CannotRun("target/main/daemon/quetzalshelfd is not built");
    fleet.info = [this](const std::string& task) { return InfoOf(task); };
    fleet.on_event = [this](const std::string& what, const Executor& executor,
                            const std::string& task, int64_t attempt,
                            const std::string& how) {
      OnEvent(what, executor, task, attempt, how);
    };
  }

  asio::io_context io;

 private:
  const std::string repository_;
  const std::string folder_;
  std::ofstream record_;

 public:
  Store store;
  Fleet fleet;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::shared_ptr<Store::Faults>> store_faults;  // By node.
  std::map<std::string, JobSpec> jobs;
  // A further look at what executors do.
  std::function<void(const std::string& what,
                     const Executor& executor,
                     const std::string& task,
                     int64_t attempt,
                     const std::string& how)>
      on_event;
  bool quiet_events = false;  // Events are not recorded one by one.

  // What was seen of each task.
  struct Seen {
    int starts = 0;
    std::string running_on;  // The executor that runs it; empty: none.
    bool done = false;
    bool done_noted = false;
    std::vector<std::string> ends;
  };
  std::map<std::string, Seen> tasks;
  int64_t last_start_ms = 0;

  void Note(const std::string& line) {
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ",
                  static_cast<double>(NowMs()) / 1000.0);
    record_ << time << line << "\n" << std::flush;
  }

  void Sleep(int64_t ms) {
    io.restart();
    io.run_for(std::chrono::milliseconds(ms));
  }
  // Waits until `what` holds; false after `ms`.
  bool Await(int64_t ms, const std::function<bool()>& what) {
    for (const int64_t end = NowMs() + ms; NowMs() < end; Sleep(5)) {
      if (what())
        return true;
    }
    return what();
  }
  void After(int64_t ms, std::function<void()> what) {
    auto timer = std::make_shared<asio::steady_timer>(io);
    timer->expires_after(std::chrono::milliseconds(ms));
    timer->async_wait(
        [timer, what = std::move(what)](const asio::error_code& ec) {
          if (!ec)
            what();
        });
  }

  void AddExecutors(int count, int racks = 4) {
    static const char* const kZones[] = {"cartago", "heredia", "alajuela",
                                         "san-jose"};
    for (int n = 0; n < count; ++n) {
      char id[16];
      std::snprintf(id, sizeof id, "i-%010x", 0xa1b2c300U + n);
      fleet.executors.push_back(
          std::make_unique<Executor>(fleet, id, kZones[n % 4],
                                     "r" + std::to_string(n % racks + 1) + "-" +
                                         std::to_string(n / 24 + 1)));
      Report(*fleet.executors.back());
    }
    Beat();
  }
  void Report(Executor& it) {
    store.Put("servers", it.id(), it.Entry().dump());
  }

  void AddNode(const std::string& zone) {
    store_faults.push_back(std::make_shared<Store::Faults>());
    nodes.push_back(std::make_unique<Node>(
        repository_, folder_,
        "frontend-" + zone + "-" + std::to_string(nodes.size() + 1), zone,
        store.AddCaller(store_faults.back())));
    nodes.back()->Start();
  }

  static json Route(const std::string& name, int priority, int attempts) {
    return {{"name", name},
            {"host", kHost},
            {"prefix", "/" + name + "/"},
            {"service", "taquilla"},
            {"priority", priority},
            {"attempts", attempts},
            {"slack_factor", 3.0},
            {"target_latency_ms", 1000}};
  }
  void Configure(uint64_t version, const json& routes, const json& keys) {
    const json config = {
        {"version", version},
        {"routes", routes},
        {"services",
         json::array({{{"name", "taquilla"}, {"admission_check", true}}})},
        {"tenants", json::array({{{"name", "plaza"},
                                  {"keys", keys},
                                  {"guaranteed", {{"gpu", 16}}}}})},
        {"limits", json::object()}};
    store.Put("op", "config", config.dump());
    Note("operator: configuration " + std::to_string(version) +
         " acknowledged");
  }

  // The node that leads as the store's row of the leader says; -1: none.
  int Leader() const {
    const json row =
        json::parse(store.Find("control", "leader", "epoch"), nullptr, false);
    if (!row.is_object())
      return -1;
    for (size_t n = 0; n < nodes.size(); ++n) {
      if (row.value("node", "") == nodes[n]->name())
        return static_cast<int>(n);
    }
    return -1;
  }

  // Waits until all nodes are ready and one leads.
  void AwaitReady() {
    for (const auto& it : nodes) {
      if (!Await(20'000, [&] {
            return Call(it->readiness_port(), "GET", "/api/readyz", "", 1'000)
                       .status == 200;
          }))
        throw CannotRun("a node does not get ready");
    }
    if (!Await(10'000, [&] { return Leader() >= 0; }))
      throw CannotRun("no node leads");
    Sleep(1'000);
    Note("ready: " + std::to_string(nodes.size()) + " nodes, " +
         std::to_string(fleet.executors.size()) + " executors, leader " +
         nodes[static_cast<size_t>(Leader())]->name());
  }

  void CallLater(int port,
                 const std::string& method,
                 const std::string& target,
                 const std::string& body,
                 int64_t timeout_ms,
                 HttpCallTask::Done done) {
    HttpCallTask::Start(io, port, method, target,
                        {{"Host", kHost},
                         {"Authorization", std::string("Token ") + kKey},
                         {"X-Deadline-Ms", std::to_string(timeout_ms)}},
                        body, timeout_ms, std::move(done));
  }
  Answer Call(int port,
              const std::string& method,
              const std::string& target,
              const std::string& body,
              int64_t timeout_ms = 3'000) {
    auto answer = std::make_shared<std::optional<Answer>>();
    CallLater(port, method, target, body, timeout_ms,
              [answer](Answer it) { *answer = std::move(it); });
    Await(timeout_ms + 1'000, [&] { return answer->has_value(); });
    return answer->value_or(Answer{});
  }

  static json Encode(const JobSpec& job) {
    json body = {{"spec", "work of " + job.id}, {"phases", json::array()}};
    for (const Step& it : job.steps) {
      json step = {{"count", it.count},
                   {"cpu", it.task.cpu},
                   {"mem_mb", it.task.mem_mb},
                   {"gpu", it.task.gpu},
                   {"estimate_ms", it.estimate_ms}};
      if (!it.depends_on.empty())
        step["depends_on"] = it.depends_on;
      if (it.gang)
        step["gang"] = true;
      if (it.max_per_server > 0)
        step["max_per_server"] = it.max_per_server;
      if (it.rack_local)
        step["rack_local"] = true;
      if (it.fills)
        step["fills"] = true;
      if (!it.data_rack.empty())
        step["data_rack"] = it.data_rack;
      if (it.speculative)
        step["speculative"] = true;
      if (it.long_running)
        step["long_running"] = true;
      if (!it.required_label.empty())
        step["required_label"] = it.required_label;
      if (it.task.checkpointing)
        step["checkpointing"] = true;
      body["phases"].push_back(std::move(step));
    }
    if (job.repeats > 0) {
      body["repeats"] = job.repeats;
      body["first_ms"] = job.first_ms;
      body["period_ms"] = job.period_ms;
    }
    return body;
  }

  // Hands a job in, as a client does: again at another node after no answer, a
  // 502 or a 504, and after a refusal, up to 4 times. Whether it was accepted.
  bool Submit(const JobSpec& job, size_t node = 0) {
    jobs[job.id] = job;
    const std::string body = Encode(job).dump();
    for (int n = 0; n < 5; ++n) {
      const Node& it = *nodes[(node + static_cast<size_t>(n)) % nodes.size()];
      const Answer answer =
          Call(it.caller_port(), "POST", "/" + job.queue + "/" + job.id, body);
      Note("client: POST " + job.id + " at " + it.name() + ": " +
           (answer.status ? std::to_string(answer.status) : "no answer"));
      if (answer.status == 200)
        return true;
      Sleep(500);
    }
    return false;
  }

  // The state that a node tells; the status as text without one.
  std::string State(const JobSpec& job, size_t node = 0) {
    const Answer answer = Call(nodes[node]->caller_port(), "GET",
                               "/" + job.queue + "/" + job.id, "");
    std::string state = answer.status ? std::to_string(answer.status) : "none";
    if (answer.status == 200)
      state = json::parse(answer.body, nullptr, false).value("state", "?");
    Note("client: GET " + job.id + " at " + nodes[node]->name() + ": " + state);
    return state;
  }

  TaskInfo InfoOf(const std::string& task) const {
    const size_t dot = task.find('.');
    const auto it = jobs.find(task.substr(0, dot));
    if (it == jobs.end())
      return {};
    const size_t second = task.find('.', dot + 1);
    const size_t step = std::stoul(task.substr(second + 1));
    if (step >= it->second.steps.size())
      return {};
    TaskInfo info = it->second.steps[step].task;
    if (it->second.steps[step].fills)
      info.cpu = 0;
    info.long_running = it->second.steps[step].long_running;
    info.gang = it->second.steps[step].gang ? it->second.steps[step].count : 0;
    return info;
  }

  int RunningTasks() const {
    int count = 0;
    for (const auto& it : fleet.executors)
      count += static_cast<int>(it->runs().size());
    return count;
  }

 private:
  void Beat() {
    After(kHeartbeatMs, [this] {
      for (const auto& it : fleet.executors) {
        if (it->up())
          Report(*it);
      }
      Beat();
    });
  }

  void OnEvent(const std::string& what,
               const Executor& executor,
               const std::string& task,
               int64_t attempt,
               const std::string& how) {
    if (!quiet_events) {
      Note("executor " + executor.id() + ": " + what + " " + task + " run " +
           std::to_string(attempt) + (how.empty() ? "" : " " + how));
    }
    if (on_event)
      on_event(what, executor, task, attempt, how);
    Seen& seen = tasks[task];
    if (what == "start") {
      ++seen.starts;
      seen.running_on = executor.id();
      last_start_ms = NowMs();
    } else if (what == "end") {
      seen.running_on.clear();
      seen.ends.push_back(how);
      seen.done = seen.done || how == "done";
    } else if (what == "noted" && how == "done") {
      seen.done_noted = true;
    }
  }
};

// Runs a case and returns the exit code of its script.
inline int RunCase(int argc,
                   char** argv,
                   const std::function<bool(World&, bool trouble)>& play) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: CASE REPOSITORY FOLDER RECORD\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char* const text = std::getenv("TROUBLE");
  const bool trouble = !text || std::string(text) != "0";
  try {
    World world(argv[1], argv[2], argv[3]);
    world.Note(trouble ? "with the disruption" : "without the disruption");
    const bool held = play(world, trouble);
    world.Note(held ? "the rule held" : "THE RULE WAS BROKEN");
    return held ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the case cannot run: %s\n", error.what());
    return 2;
  }
}

}  // namespace peers

#endif  // REVIEW_6_PEERS_WORLD_HPP_
