#include "fleet.hpp"

#include <csignal>
#include <cstdio>
#include <set>
#include <utility>

namespace review {

namespace {

constexpr char kHost[] = "nony24.example";
constexpr char kService[] = "huvo11a";
constexpr char kKey[] = "k-3f9a";
constexpr int kRackSize = 6;
constexpr int kMaxTries = 40;
// `contact_ms` of the small deployments.
constexpr int64_t kContactMs = 3'000;

}  // namespace

Fleet::Fleet(FleetOptions options)
    : options_(std::move(options)),
      record_(options_.record_path),
      store_(io_, record_) {}

Fleet::~Fleet() = default;

void Fleet::Start() {
  PutConfig();
  const size_t zones = options_.zones.size();
  for (int n = 0; n < options_.executors; ++n) {
    char id[16];
    std::snprintf(id, sizeof(id), "i-%08x", 0x7f3a9100 + n * 17);
    const size_t zone = static_cast<size_t>(n) * zones /
                        static_cast<size_t>(options_.executors);
    executors_.push_back(std::make_unique<Executor>(
        io_, store_, record_,
        ExecutorOptions{
            .id = id,
            .service = kService,
            .zone = options_.zones[zone],
            .rack = "r1-" + std::to_string(n / kRackSize + 1),
            .kind = n < options_.executors - options_.executors_of_kind_b ? "a"
                                                                          : "b",
            .first_beat = options_.first_beat,
            .hold_max_ms = options_.hold_max_ms},
        [this](const Executor::Event& event) {
          Executor::Event it = event;
          std::string sender;
          if (it.what == "start") {
            it.leader = store_.last_writer();
            it.in_touch = IsInTouch(it.leader);
            sender = ", last conditional write by " + it.leader +
                     (it.in_touch ? "" : ", not in touch");
          }
          record_.Line("executor " + it.executor + " in " + it.zone +
                       " of kind " + it.kind + ": " + it.what + " " + it.task +
                       " attempt " + std::to_string(it.attempt) + sender);
          events_.push_back(it);
        }));
  }
  for (int n = 0; n < options_.nodes; ++n) {
    const std::string zone =
        options_.zones[static_cast<size_t>(n) % options_.zones.size()];
    const std::string name = "frontend-" + zone + "-" + std::to_string(n + 1);
    nodes_.push_back(std::make_unique<Entry>(
        record_, EntryOptions{.root = options_.root,
                              .work_dir = options_.work_dir,
                              .name = name,
                              .zone = zone,
                              .store_port = store_.AddAddress(name),
                              .hold_max_ms = options_.hold_max_ms}));
  }
  for (const auto& it : nodes_)
    it->Start();
  for (const auto& it : nodes_) {
    bool ready = false;
    const bool in_time = RunUntil(Millis(10'000), [&] {
      if (!ready) {
        Send(io_,
             {.port = it->readiness_port(),
              .path = "/api/readyz",
              .timeout = Millis(500)},
             [&ready](int status, const std::string&) {
               ready = ready || status == 200;
             });
        RunFor(Millis(200));
      }
      return ready;
    });
    // A late answer must not write to `ready` any more.
    RunFor(Millis(600));
    if (!in_time)
      throw CannotRun("node " + it->name() + " is not ready");
  }
  record_.Line("all nodes are ready");
  // The nodes need to know the executors before traffic starts.
  RunFor(Millis(3'000));
}

void Fleet::PutConfig() {
  const auto route = [](const char* name, const std::string& prefix,
                        int priority, int attempts) {
    return Json{{"name", name},
                {"host", kHost},
                {"prefix", prefix},
                {"kind", "non_idempotent"},
                {"timeout_ms", 3'000},
                {"target_latency_ms", priority == 0 ? 250 : 3'000},
                {"priority", priority},
                {"service", kService},
                {"attempts", attempts},
                {"slack_factor", 3.0},
                {"anonymous", false}};
  };
  store_.Put(
      "op", "config",
      {{"version", 7},
       {"routes",
        {route("r-bulk", bulk_prefix_, 2, 4),
         route("r-urgent", urgent_prefix_, 0, 3)}},
       {"services",
        {{{"name", kService},
          {"health_path", "/healthz"},
          {"max_conns", 64},
          {"protocol", "h1"},
          {"tls", false},
          {"admission_check", true},
          {"standby", false}}}},
       {"limits", {{"max_header_bytes", 16'384}, {"max_body_bytes", 262'144}}},
       {"tenants",
        {{{"name", "plaza"},
          {"keys", {kKey}},
          {"guaranteed", {{"gpu", 16}}}}}}});
}

void Fleet::RunFor(Millis time) {
  io_.restart();
  io_.run_for(time);
}

bool Fleet::RunUntil(Millis limit, const std::function<bool()>& done) {
  const SteadyTime end = Now() + limit;
  while (!done()) {
    if (Now() >= end)
      return false;
    RunFor(Millis(10));
  }
  return true;
}

void Fleet::At(Millis delay, std::function<void()> what) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait(
      [timer, what = std::move(what)](const asio::error_code& ec) {
        if (!ec)
          what();
      });
}

Call Fleet::MakeCall(const Job& job, const std::string& method, size_t node) {
  return {.port = nodes_[node]->callers_port(),
          .method = method,
          .path = job.prefix + job.id,
          .headers = {{"Host", kHost},
                      {"Authorization", std::string("Token ") + kKey},
                      {"Content-Type", "application/json"},
                      {"X-Deadline-Ms", "3000"}},
          .body = method == "POST" ? job.body : ""};
}

void Fleet::Submit(const std::string& id,
                   const std::string& prefix,
                   const std::string& spec,
                   const Json& phases,
                   const Times& times) {
  Json body = {{"spec", spec}, {"phases", phases}};
  if (times.repeats > 0) {
    body["repeats"] = times.repeats;
    body["first_ms"] = times.first_ms;
    body["period_ms"] = times.period_ms;
  }
  jobs_[id] = {.id = id, .prefix = prefix, .body = body.dump()};
  TrySubmit(id, next_node_++ % nodes_.size(), 0);
}

void Fleet::TrySubmit(const std::string& id, size_t node, int tries) {
  Job& job = jobs_.at(id);
  Send(io_, MakeCall(job, "POST", node),
       [this, id, node, tries](int status, const std::string&) {
         Job& answered = jobs_.at(id);
         record_.Line("client: POST " + id + " at " + nodes_[node]->name() +
                      ": " + std::to_string(status));
         if (status >= 200 && status < 300) {
           answered.accepted = true;
           answered.accepted_ms = record_.Elapsed();
           return;
         }
         const bool again = status == 0 || status == 429 || status == 502 ||
                            status == 503 || status == 504;
         if (again && tries < kMaxTries)
           At(Millis(status == 429 || status == 503 ? 1'000 : 200),
              [this, id, node, tries] {
                TrySubmit(id, (node + 1) % nodes_.size(), tries + 1);
              });
       });
}

void Fleet::Ask(const std::string& id) {
  TryAsk(id, next_node_++ % nodes_.size(), 0);
}

void Fleet::TryAsk(const std::string& id, size_t node, int tries) {
  Send(io_, MakeCall(jobs_.at(id), "GET", node),
       [this, id, node, tries](int status, const std::string& body) {
         std::string state = std::to_string(status);
         if (const Json answer = Json::parse(body, nullptr, false);
             status == 200 && answer.is_object())
           state = answer.value("state", "");
         record_.Line("client: GET " + id + " at " + nodes_[node]->name() +
                      ": " + state);
         jobs_.at(id).state = state;
         if (status != 200 && status != 410 && tries < kMaxTries)
           At(Millis(300), [this, id, node, tries] {
             TryAsk(id, (node + 1) % nodes_.size(), tries + 1);
           });
       });
}

void Fleet::Cancel(const std::string& id) {
  const size_t node = next_node_++ % nodes_.size();
  Send(io_, MakeCall(jobs_.at(id), "DELETE", node),
       [this, id](int status, const std::string&) {
         record_.Line("client: DELETE " + id + ": " + std::to_string(status));
       });
}

int Fleet::CountSecondRuns() {
  std::map<std::string, std::set<std::string>> at_work;
  std::set<std::string> done;
  std::set<std::string> noted;
  int second = 0;
  for (const Executor::Event& it : events_) {
    if (it.what == "noted") {
      if (done.contains(it.task))
        noted.insert(it.task);
      continue;
    }
    if (it.what != "start") {
      at_work[it.task].erase(it.executor);
      if (it.what == "done")
        done.insert(it.task);
      continue;
    }
    if (noted.contains(it.task) || !at_work[it.task].empty()) {
      ++second;
      record_.Line("check: task " + it.task + " is started on " + it.executor +
                   " at " + std::to_string(it.at_ms) +
                   (noted.contains(it.task) ? ", though it has ended done"
                                            : ", while it runs elsewhere"));
    }
    at_work[it.task].insert(it.executor);
  }
  return second;
}

bool Fleet::IsInTouch(const std::string& node) const {
  const auto it = disturbed_.find(node);
  return it == disturbed_.end() || record_.Elapsed() >= it->second + kContactMs;
}

void Fleet::Kill(Entry& node) {
  node.Signal(SIGKILL);
  node.Reap();
  disturbed_[node.name()] = record_.Elapsed();
}

void Fleet::Restart(Entry& node) {
  node.Start();
  disturbed_[node.name()] = record_.Elapsed();
}

Entry* Fleet::Node(const std::string& name) {
  for (const auto& it : nodes_) {
    if (it->name() == name)
      return it.get();
  }
  return nullptr;
}

Entry& Fleet::Leader() {
  Entry* const node = Node(store_.last_writer());
  if (!node)
    throw CannotRun("no node has written under a condition");
  return *node;
}

void Fleet::EvacuateZone(const std::string& zone) {
  record_.Line("operator: zone " + zone + " is to be evacuated");
  store_.Put("op", "evacuate/" + zone, Json::object());
}

}  // namespace review
