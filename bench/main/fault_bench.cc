// Steady load of holds on real processes while nodes are killed, paused and
// stopped, the store is down, and backend servers answer wrongly. Compares what
// every caller was told with what the backend servers executed.

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "bench/processes/hold_load.h"
#include "bench/processes/local_cluster.h"

namespace quetzalshelf::bench {
namespace {

using std::chrono::milliseconds;

struct Options {
  std::string build_dir = "build/release";
  uint64_t seed = 1;
  int callers = 16;
  int rounds = 1;
  bool json = false;
};

struct Stage {
  std::string name;
  std::function<absl::Status()> faults;
};

struct StageResult {
  std::string name;
  int holds = 0;
  int answered = 0;
  int not_run = 0;
  int unknown = 0;
  double p50_ms = 0;
  double p99_ms = 0;
};

// Faults found by comparing callers with backend servers.
struct Verdict {
  int ran_twice = 0;
  int not_run_but_ran = 0;
  int answered_but_not_run = 0;
  int wrong_answers = 0;
  bool Holds() const {
    return ran_twice + not_run_but_ran + answered_but_not_run + wrong_answers ==
           0;
  }
};

void Pause(milliseconds time) {
  std::this_thread::sleep_for(time);
}

double Quantile(std::vector<double>& values, double quantile) {
  if (values.empty())
    return 0;
  const auto n =
      static_cast<size_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(n),
                   values.end());
  return values[n];
}

StageResult Summarize(const std::string& name,
                      const std::vector<HoldRecord>& records) {
  StageResult result;
  result.name = name;
  std::vector<double> millis;
  for (const HoldRecord& it : records) {
    ++result.holds;
    result.answered += it.outcome == HoldOutcome::kAnswered ? 1 : 0;
    result.not_run += it.outcome == HoldOutcome::kNotRun ? 1 : 0;
    result.unknown += it.outcome == HoldOutcome::kUnknown ? 1 : 0;
    millis.push_back(it.seconds * 1'000);
  }
  result.p50_ms = Quantile(millis, 0.5);
  result.p99_ms = Quantile(millis, 0.99);
  return result;
}

absl::Status KillAndRestart(LocalCluster& cluster, size_t n) {
  cluster.node(n).Signal(SIGKILL);
  Pause(milliseconds(1'500));
  absl::Status status = cluster.RestartNode(n);
  Pause(milliseconds(2'000));
  return status;
}

absl::Status PauseAndResume(LocalCluster& cluster, size_t n) {
  cluster.node(n).Signal(SIGSTOP);
  Pause(milliseconds(3'000));
  cluster.node(n).Signal(SIGCONT);
  Pause(milliseconds(2'000));
  return absl::OkStatus();
}

absl::Status StopAndRestart(LocalCluster& cluster, size_t n) {
  cluster.node(n).Signal(SIGTERM);
  if (const int code = cluster.node(n).Wait(); code != 0) {
    return absl::InternalError("a planned stop ended with exit code " +
                               std::to_string(code));
  }
  absl::Status status = cluster.RestartNode(n);
  Pause(milliseconds(2'000));
  return status;
}

absl::Status StoreOutage(LocalCluster& cluster,
                         const std::function<void()>& meanwhile) {
  if (absl::Status status = cluster.SetStoreDown(true); !status.ok())
    return status;
  Pause(milliseconds(2'000));
  meanwhile();
  Pause(milliseconds(2'000));
  return cluster.SetStoreDown(false);
}

absl::Status BackendFaults(LocalCluster& cluster) {
  absl::Status status = cluster.SetBackendFaults(
      0, R"({"crossed":5,"cut":5,"no_answer":5,"refuse":20})");
  status.Update(cluster.SetBackendFaults(1, R"({"late":5,"late_ms":3500})"));
  status.Update(cluster.SetBackendFaults(3, R"({"leaving":true})"));
  Pause(milliseconds(5'000));
  status.Update(cluster.SetBackendFaults(3, R"({"leaving":false})"));
  return status;
}

void AddNodeStages(LocalCluster& cluster, std::vector<Stage>& stages) {
  for (size_t n = 0; n < cluster.node_ports().size(); ++n) {
    const std::string name = "n" + std::to_string(n + 1);
    stages.push_back({"kill -9 " + name,
                      [&cluster, n] { return KillAndRestart(cluster, n); }});
    stages.push_back({"pause " + name,
                      [&cluster, n] { return PauseAndResume(cluster, n); }});
    stages.push_back({"planned stop " + name,
                      [&cluster, n] { return StopAndRestart(cluster, n); }});
  }
}

std::vector<Stage> MakeStages(LocalCluster& cluster) {
  std::vector<Stage> stages;
  stages.push_back({"no fault", [] {
                      Pause(milliseconds(5'000));
                      return absl::OkStatus();
                    }});
  AddNodeStages(cluster, stages);
  stages.push_back(
      {"store down", [&cluster] { return StoreOutage(cluster, [] {}); }});
  stages.push_back({"store down and kill -9 n1", [&cluster] {
                      absl::Status status = StoreOutage(cluster, [&cluster] {
                        cluster.node(0).Signal(SIGKILL);
                      });
                      status.Update(cluster.RestartNode(0));
                      Pause(milliseconds(2'000));
                      return status;
                    }});
  stages.push_back({"pause n2 and kill -9 n3", [&cluster] {
                      cluster.node(1).Signal(SIGSTOP);
                      absl::Status status = KillAndRestart(cluster, 2);
                      cluster.node(1).Signal(SIGCONT);
                      Pause(milliseconds(2'000));
                      return status;
                    }});
  stages.push_back({"backend servers answer wrongly",
                    [&cluster] { return BackendFaults(cluster); }});
  return stages;
}

Verdict Compare(const std::vector<HoldRecord>& records,
                const std::map<std::string, int>& runs) {
  Verdict verdict;
  for (const auto& [payload, count] : runs)
    verdict.ran_twice += count > 1 ? 1 : 0;
  for (const HoldRecord& it : records) {
    const auto found = runs.find(it.payload);
    const bool ran = found != runs.end();
    if (it.outcome == HoldOutcome::kNotRun && ran)
      ++verdict.not_run_but_ran;
    if (it.outcome == HoldOutcome::kAnswered && !ran)
      ++verdict.answered_but_not_run;
    verdict.wrong_answers += it.wrong_answer ? 1 : 0;
  }
  return verdict;
}

void PrintText(const std::vector<StageResult>& results, const Verdict& v) {
  std::printf("%-34s %7s %9s %8s %8s %9s %9s\n", "fault", "holds", "answered",
              "not run", "unknown", "p50 ms", "p99 ms");
  for (const StageResult& it : results) {
    std::printf("%-34s %7d %9d %8d %8d %9.1f %9.1f\n", it.name.c_str(),
                it.holds, it.answered, it.not_run, it.unknown, it.p50_ms,
                it.p99_ms);
  }
  std::printf(
      "run twice: %d, told \"not run\" but ran: %d, answered but not run: %d, "
      "wrong answers: %d\n",
      v.ran_twice, v.not_run_but_ran, v.answered_but_not_run, v.wrong_answers);
}

void PrintJson(const std::vector<StageResult>& results, const Verdict& v) {
  for (const StageResult& it : results) {
    const nlohmann::json line = {
        {"fault", it.name},        {"holds", it.holds},
        {"answered", it.answered}, {"not_run", it.not_run},
        {"unknown", it.unknown},   {"p50_ms", it.p50_ms},
        {"p99_ms", it.p99_ms}};
    std::printf("%s\n", line.dump().c_str());
  }
  const nlohmann::json line = {{"ran_twice", v.ran_twice},
                               {"not_run_but_ran", v.not_run_but_ran},
                               {"answered_but_not_run", v.answered_but_not_run},
                               {"wrong_answers", v.wrong_answers}};
  std::printf("%s\n", line.dump().c_str());
}

int RunBench(const Options& options, const std::string& work_dir) {
  LocalClusterOptions cluster_options;
  cluster_options.build_dir = options.build_dir;
  cluster_options.work_dir = work_dir;
  LocalCluster cluster(cluster_options);
  if (absl::Status status = cluster.Start(); !status.ok()) {
    std::fprintf(stderr, "%s\n", status.ToString().c_str());
    return 1;
  }
  HoldLoad load(cluster.node_ports(), options.callers, options.seed);
  std::vector<StageResult> results;
  std::vector<HoldRecord> all;
  for (int round = 0; round < options.rounds; ++round) {
    for (const Stage& it : MakeStages(cluster)) {
      load.Start();
      const absl::Status status = it.faults();
      load.Stop();
      const std::vector<HoldRecord> records = load.TakeRecords();
      results.push_back(Summarize(it.name, records));
      all.insert(all.end(), records.begin(), records.end());
      if (!status.ok()) {
        std::fprintf(stderr, "%s: %s\n", it.name.c_str(),
                     status.ToString().c_str());
        return 1;
      }
    }
  }
  const auto runs = cluster.CountRuns();
  if (!runs.ok()) {
    std::fprintf(stderr, "%s\n", runs.status().ToString().c_str());
    return 1;
  }
  const Verdict verdict = Compare(all, *runs);
  if (options.json)
    PrintJson(results, verdict);
  else
    PrintText(results, verdict);
  return verdict.Holds() ? 0 : 1;
}

int Main(int argc, char** argv) {
  Options options;
  CLI::App app("Holds on real processes under faults");
  app.add_option("--build-dir", options.build_dir, "Where the programs are");
  app.add_option("--seed", options.seed, "Seed of the callers");
  app.add_option("--callers", options.callers, "Callers at once")
      ->check(CLI::Range(1, 256));
  app.add_option("--rounds", options.rounds, "Times each fault is made")
      ->check(CLI::Range(1, 100));
  app.add_flag("--json", options.json, "One JSON object a line");
  CLI11_PARSE(app, argc, argv);
  const std::filesystem::path work_dir =
      std::filesystem::temp_directory_path() /
      ("fault-bench-" + std::to_string(getpid()));
  std::filesystem::create_directories(work_dir);
  const int code = RunBench(options, work_dir.string());
  if (code == 0)
    std::filesystem::remove_all(work_dir);
  else
    std::fprintf(stderr, "logs: %s\n", work_dir.c_str());
  return code;
}

}  // namespace
}  // namespace quetzalshelf::bench

int main(int argc, char** argv) {
  return quetzalshelf::bench::Main(argc, argv);
}
