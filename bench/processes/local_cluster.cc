#include "bench/processes/local_cluster.h"

#include <chrono>
#include <fstream>
#include <thread>
#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace quetzalshelf::bench {

namespace {

using nlohmann::json;

constexpr char kHost[] = "127.0.0.1";
constexpr std::chrono::seconds kReadyLimit{40};
constexpr std::chrono::milliseconds kPollPeriod{50};

absl::Status Send(int port,
                  const std::string& method,
                  const std::string& path,
                  const std::string& body) {
  httplib::Client client(kHost, port);
  client.set_read_timeout(std::chrono::seconds(15));
  const auto result = method == "PUT"
                          ? client.Put(path, body, "application/json")
                          : client.Post(path, body, "application/json");
  if (!result)
    return absl::UnavailableError(path + " was not answered");
  if (result->status >= 300)
    return absl::UnknownError(path + ": " + result->body);
  return absl::OkStatus();
}

json VmOf(const std::string& name, int port, int slots) {
  return {{"name", name},      {"host", kHost},     {"port", port},
          {"role", "backend"}, {"region", "valle"}, {"domain", "cartago"},
          {"slots", slots}};
}

}  // namespace

LocalCluster::LocalCluster(LocalClusterOptions options)
    : options_(std::move(options)),
      nodes_(static_cast<size_t>(options_.nodes)),
      node_ports_(static_cast<size_t>(options_.nodes), 0) {}

absl::Status LocalCluster::Start() {
  auto platform =
      ChildProcess::Start({Program("standins/platform/quetzalshelf-platform")},
                          options_.work_dir + "/platform.log");
  if (!platform.ok())
    return platform.status();
  platform_ = *std::move(platform);
  if (absl::Status status = StartBackends(); !status.ok())
    return status;
  for (size_t n = 0; n < nodes_.size(); ++n) {
    if (absl::Status status = StartNode(n); !status.ok())
      return status;
  }
  const auto end = std::chrono::steady_clock::now() + kReadyLimit;
  for (size_t n = 0; n < nodes_.size(); ++n) {
    while (!IsReady(n)) {
      if (std::chrono::steady_clock::now() > end)
        return absl::DeadlineExceededError("a node does not get ready");
      std::this_thread::sleep_for(kPollPeriod);
    }
  }
  return CreateWorkspace();
}

absl::Status LocalCluster::RestartNode(size_t n) {
  nodes_[n] = ChildProcess();
  return StartNode(n);
}

bool LocalCluster::IsReady(size_t n) const {
  httplib::Client client(kHost, node_ports_[n]);
  client.set_connection_timeout(std::chrono::milliseconds(200));
  client.set_read_timeout(std::chrono::milliseconds(500));
  const auto ready = client.Get("/readyz");
  if (!ready || ready->status != 200)
    return false;
  const auto known = client.Get("/v1/nodes");
  if (!known || known->status != 200)
    return false;
  const json body = json::parse(known->body);
  return body["nodes"].size() == nodes_.size();
}

absl::Status LocalCluster::SetStoreDown(bool down) {
  return SetStoreFault(json{{"service", "store"}, {"down", down}}.dump());
}

absl::Status LocalCluster::SetStoreFault(const std::string& faults_json) {
  return Send(platform_.port(), "POST", "/control/faults", faults_json);
}

absl::Status LocalCluster::SetBackendFaults(size_t n,
                                            const std::string& faults_json) {
  return Send(backends_[n].port(), "POST", "/control/faults", faults_json);
}

absl::StatusOr<std::map<std::string, int>> LocalCluster::CountRuns() const {
  std::map<std::string, int> runs;
  for (const ChildProcess& it : backends_) {
    httplib::Client client(kHost, it.port());
    const auto result = client.Get("/counts");
    if (!result)
      return absl::UnavailableError("a backend server does not tell its runs");
    const json body = json::parse(result->body);
    for (const json& count : body["counts"])
      runs[count["payload"]] += count["runs"].get<int>();
  }
  return runs;
}

std::string LocalCluster::Program(const std::string& path) const {
  return options_.build_dir + "/" + path;
}

absl::Status LocalCluster::StartBackends() {
  for (int n = 0; n < options_.backends; ++n) {
    auto backend =
        ChildProcess::Start({Program("standins/backend/quetzalshelf-backend"),
                             "--slots", std::to_string(options_.slots)},
                            options_.work_dir + "/backends.log");
    if (!backend.ok())
      return backend.status();
    const json vm =
        VmOf("b" + std::to_string(n), backend->port(), options_.slots);
    backends_.push_back(*std::move(backend));
    absl::Status status = Send(platform_.port(), "POST", "/vms", vm.dump());
    if (!status.ok())
      return status;
  }
  return absl::OkStatus();
}

absl::Status LocalCluster::StartNode(size_t n) {
  const std::string name = "n" + std::to_string(n + 1);
  const std::string file = options_.work_dir + "/" + name + ".yaml";
  std::ofstream(file) << "node: {id: " << name
                      << ", region: valle, failure_domain: cartago}\n"
                      << "listen: {host: " << kHost
                      << ", port: " << node_ports_[n] << "}\n"
                      << "platform: {host: " << kHost
                      << ", port: " << platform_.port() << "}\n"
                      << "access: {allow_anonymous: true}\n";
  auto node = ChildProcess::Start(
      {Program("main/daemon/quetzalshelfd"), "--config", file},
      options_.work_dir + "/" + name + ".log");
  if (!node.ok())
    return node.status();
  node_ports_[n] = node->port();
  nodes_[n] = *std::move(node);
  return absl::OkStatus();
}

absl::Status LocalCluster::CreateWorkspace() {
  const json change = {
      {"base_version", 0},
      {"author", "bench"},
      {"reason", "load"},
      {"value",
       {{"weight", 1},
        {"requests", {{"max_in_flight", 64}, {"max_queued", 256}}}}}};
  return Send(node_ports_[0], "PUT", "/v1/settings/teams/plaza", change.dump());
}

}  // namespace quetzalshelf::bench
