// Time of one scheduling pass over a full site with 170 workspaces: without
// limits, with caps, with weights, and with both. Prints one JSON object a
// line.

#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "core/logging.h"
#include "servers/batch/planning/scheduling_pass.h"

namespace quetzalshelf {

namespace {

using batch::Job;
using batch::WorkspaceConfig;

constexpr int kWorkspaces = 170;
constexpr int kAcceleratorsPerWorker = 8;
constexpr int kWorkersPerRack = 8;
constexpr int kTasks = 8;  // Of each job.

struct BenchOptions {
  int workers = 350;
  int waiting = 1'000;  // Jobs.
  int passes = 50;
};

class IgnoredActions : public batch::PassActions {
 public:
  void RecordAssignment(Job&) override {}
  void StopRun(Job&, const batch::TaskId&, const char*) override {}
};

WorkspaceId WorkspaceName(int n) {
  return WorkspaceId("w" + std::to_string(n % kWorkspaces));
}

// All workers are full, and further jobs wait.
class Site {
 public:
  explicit Site(const BenchOptions& options) {
    const Resources each{Accelerators(1), MilliCores(1'000), Mebibytes(1'000)};
    for (int n = 0; n < options.workers; ++n) {
      batch::WorkerEntry entry;
      entry.id = WorkerId("worker-" + std::to_string(n));
      entry.service = batch::ServiceName("desk");
      entry.rack = RackId("r1-" + std::to_string(n / kWorkersPerRack));
      entry.capacity = each * kAcceleratorsPerWorker;
      registry_.Update(entry, now_).synced = true;
    }
    for (int n = 0; n < options.workers + options.waiting; ++n) {
      batch::JobRecord record;
      char id[17];
      std::snprintf(id, sizeof(id), "%016x", n);
      record.id = JobId(id);
      record.workspace = WorkspaceName(n);
      record.service = batch::ServiceName("desk");
      record.priority = 1;
      record.slack_factor = 3;
      batch::StepSpec step;
      step.tasks = kTasks;
      step.resources = each;
      step.estimate = Duration(5'000);
      record.spec.steps = {step};
      jobs_.push_back(
          std::make_unique<Job>(std::move(record), now_, Duration(0)));
      if (n >= options.workers)
        continue;
      for (batch::TaskProgress& it :
           jobs_.back()->occurrences().front().steps.front().tasks) {
        it.run = batch::Run{.worker = WorkerId("worker-" + std::to_string(n)),
                            .phase = batch::RunPhase::kRunning,
                            .started_at = now_};
      }
    }
  }

  // Mean time of a pass in microseconds.
  double Measure(bool caps, bool weights, int passes) {
    batch::SiteConfig config;
    config.version = ++version_;
    config.services = {{batch::ServiceName("desk"), false}};
    for (int n = 0; n < kWorkspaces; ++n) {
      WorkspaceConfig workspace{.name = WorkspaceName(n)};
      if (caps)
        workspace.cap.accelerators = Accelerators(int64_t{kTasks} * 3);
      if (weights)
        workspace.weight = 1 + n % 3;
      config.workspaces.push_back(workspace);
    }
    site_.SetConfig(config);
    batch::PassInputs inputs{.now = now_,
                             .registry = registry_,
                             .site = site_,
                             .speeds = speeds_,
                             .failure_bursts = bursts_,
                             .find_job = [](const JobId&) { return nullptr; }};
    for (const auto& it : jobs_)
      inputs.jobs.push_back(it.get());
    IgnoredActions actions;
    const auto began = std::chrono::steady_clock::now();
    for (int n = 0; n < passes; ++n)
      batch::SchedulingPass(inputs, actions).Decide();
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - began;
    return took.count() / passes;
  }

 private:
  const TimePoint now_ = TimePoint() + Duration(60'000);
  uint64_t version_ = 0;
  batch::WorkerRegistry registry_;
  batch::SiteView site_;
  batch::WorkerSpeeds speeds_;
  batch::FailureBurstDetector bursts_;
  std::vector<std::unique_ptr<Job>> jobs_;
};

int Main(int argc, char** argv) {
  BenchOptions options;
  CLI::App app(
      "Measures the time of a scheduling pass with limits of workspaces.");
  app.add_option("--workers", options.workers, "Workers, all of them full");
  app.add_option("--waiting", options.waiting, "Jobs that wait");
  app.add_option("--passes", options.passes, "Passes of each measure");
  CLI11_PARSE(app, argc, argv);
  for (const bool caps : {false, true}) {
    for (const bool weights : {false, true}) {
      // A site of its own, since a pass leaves marks on the jobs.
      std::printf(
          "{\"workers\":%d,\"waiting\":%d,\"caps\":%s,\"weights\":%s,"
          "\"pass_us\":%.0f}\n",
          options.workers, options.waiting, caps ? "true" : "false",
          weights ? "true" : "false",
          Site(options).Measure(caps, weights, options.passes));
    }
  }
  return 0;
}

}  // namespace

}  // namespace quetzalshelf

int main(int argc, char** argv) {
  return quetzalshelf::Main(argc, argv);
}
