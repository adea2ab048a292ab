// A platform, backend servers and nodes as processes on loopback.

#ifndef BENCH_PROCESSES_LOCAL_CLUSTER_H_
#define BENCH_PROCESSES_LOCAL_CLUSTER_H_

#include <map>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "bench/processes/child_process.h"

namespace quetzalshelf::bench {

struct LocalClusterOptions {
  std::string build_dir;  // Where the programs were built.
  std::string work_dir;   // For settings files and logs; must exist.
  int nodes = 3;
  int backends = 4;
  int slots = 8;
};

// Not thread-safe.
class LocalCluster {
 public:
  explicit LocalCluster(LocalClusterOptions options);

  // Starts everything and creates the workspace `plaza`.
  absl::Status Start();

  // Each node keeps its port, so that callers find it again.
  const std::vector<int>& node_ports() const { return node_ports_; }
  ChildProcess& node(size_t n) { return nodes_[n]; }
  absl::Status RestartNode(size_t n);
  // Whether the node is ready and knows all others.
  bool IsReady(size_t n) const;

  absl::Status SetStoreDown(bool down);
  absl::Status SetStoreFault(const std::string& faults_json);
  absl::Status SetBackendFaults(size_t n, const std::string& faults_json);
  // How often each payload was executed, over all backend servers.
  absl::StatusOr<std::map<std::string, int>> CountRuns() const;

 private:
  std::string Program(const std::string& path) const;
  absl::Status StartBackends();
  absl::Status StartNode(size_t n);
  absl::Status CreateWorkspace();

  const LocalClusterOptions options_;
  ChildProcess platform_;
  std::vector<ChildProcess> backends_;
  std::vector<ChildProcess> nodes_;
  std::vector<int> node_ports_;
};

}  // namespace quetzalshelf::bench

#endif  // BENCH_PROCESSES_LOCAL_CLUSTER_H_
