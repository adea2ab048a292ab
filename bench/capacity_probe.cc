#include "bench/capacity_probe.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>

#include "bench/cpu_time.h"
#include "bench/measures.h"

namespace quetzalshelf::bench {
namespace {

using scheduling::Commands;
using scheduling::GangScheduler;
using scheduling::StartGang;

constexpr int kDomains = 24;
constexpr int kWorkersPerRack = 6;
constexpr int kAcceleratorsPerWorker = 8;
constexpr int kWorkspaces = 170;
constexpr double kFilled = 0.8;  // Then gangs end until `kBusy` is left.
constexpr double kBusy = 0.7;
constexpr int kLargeGang = 1'024;
constexpr int kSmallGang = 8;
constexpr int kLargeSamples = 300;
constexpr int kSmallSamples = 3'000;
constexpr int kMemoryJobs = 100;
constexpr int kMemoryTasks = 64;
constexpr int kMaxFailures = 1'000;  // While filling.
constexpr Duration kStep{100};
constexpr Duration kSettle{3'600'000};

class Probe {
 public:
  Probe(SchedulerKind kind,
        int workers,
        uint64_t seed,
        const AllocatedBytes& allocated)
      : workers_(workers),
        random_(seed),
        allocated_(allocated),
        scheduler_(MakeScheduler(kind)) {}

  CapacityResult Run() {
    AddWorkers();
    // Limits that hold for a while after workers appear are over by then.
    now_ += kSettle;
    Tick();
    MeasureBytesPerJob();
    Fill();
    const double cpu = MeasureEvents();
    result_.workers = workers_;
    result_.busy = Busy();
    result_.jobs_running = static_cast<int64_t>(running_.size());
    for (const Running& it : running_) {
      result_.tasks_running += it.tasks;
    }
    result_.cpu_us_per_event = cpu;
    result_.gang_of_1024 = MeasurePlacement(kLargeGang, kLargeSamples);
    result_.gang_of_8 = MeasurePlacement(kSmallGang, kSmallSamples);
    return result_;
  }

 private:
  struct Running {
    JobId job;
    Attempt attempt;
    int tasks = 0;
  };

  void AddWorkers() {
    scheduler_->SetWorkspaces(MakeWorkspaces(), now_);
    const int64_t before = allocated_();
    for (int n = 0; n < workers_; ++n) {
      const std::string domain = "domain-" + std::to_string(n % kDomains);
      const std::string rack =
          domain + "-rack-" + std::to_string(n / kDomains / kWorkersPerRack);
      scheduler_->AddWorker(
          {WorkerId("worker-" + std::to_string(n)),
           DomainId(domain),
           RackId(rack),
           {Accelerators(kAcceleratorsPerWorker), MilliCores(64'000),
            Mebibytes(int64_t{256} * 1'024)}},
          now_);
    }
    Tick();
    result_.bytes_per_worker =
        static_cast<double>(allocated_() - before) / workers_;
  }

  static std::vector<scheduling::Workspace> MakeWorkspaces() {
    std::vector<scheduling::Workspace> out;
    for (int n = 0; n < kWorkspaces; ++n) {
      scheduling::Workspace it;
      it.id = WorkspaceId("team-" + std::to_string(n));
      it.guarantees = {{{4, Task(), Adjacency::kRack}, 1}};
      out.push_back(std::move(it));
    }
    return out;
  }

  static Resources Task() {
    return {Accelerators(1), MilliCores(4'000), Mebibytes(int64_t{8} * 1'024)};
  }

  Job MakeJob(int tasks) {
    Job out;
    out.id = JobId("job-" + std::to_string(next_job_++));
    out.workspace =
        WorkspaceId("team-" + std::to_string(random_.Below(kWorkspaces)));
    out.gang = {tasks, Task(), Adjacency::kRegion};
    out.declared_run_time = Duration(3'600'000);
    return out;
  }

  // Carries out starts and stops at once, and what follows from them.
  void Apply(const Commands& commands) {
    for (const scheduling::Command& it : commands) {
      if (const auto* start = std::get_if<StartGang>(&it)) {
        const int tasks = static_cast<int>(start->placement.size());
        running_index_[start->job] = running_.size();
        running_.push_back({start->job, start->attempt, tasks});
        used_ += tasks;
        Apply(scheduler_->GangStarted(start->job, start->attempt, now_));
      } else if (const auto* stop = std::get_if<scheduling::StopGang>(&it)) {
        const scheduling::StopGang copy = *stop;
        Forget(copy.job);
        Apply(scheduler_->GangStopped(copy.job, copy.attempt, now_));
      }
    }
  }

  // Returns whether the gang was running.
  bool Forget(const JobId& job) {
    const auto found = running_index_.find(job);
    if (found == running_index_.end()) {
      return false;
    }
    const size_t index = found->second;
    running_index_.erase(found);
    used_ -= running_[index].tasks;
    if (index + 1 < running_.size()) {
      running_[index] = std::move(running_.back());
      running_index_[running_[index].job] = index;
    }
    running_.pop_back();
    return true;
  }

  void Tick() {
    now_ += kStep;
    Apply(scheduler_->Tick(now_));
  }

  // Whether the commands start the gang.
  static bool Starts(const Commands& commands, const JobId& job) {
    return std::any_of(commands.begin(), commands.end(),
                       [&](const scheduling::Command& it) {
                         const auto* start = std::get_if<StartGang>(&it);
                         return start != nullptr && start->job == job;
                       });
  }

  // Submits a gang and withdraws it when it does not start at once. Returns
  // the time from the submission to the command that starts it.
  std::optional<double> Start(int tasks) {
    const Job job = MakeJob(tasks);
    now_ += kStep;
    const double begin = CpuSeconds();
    Commands commands = scheduler_->Submit(job, now_);
    if (!Starts(commands, job.id)) {
      Commands more = scheduler_->Tick(now_);
      commands.insert(commands.end(), more.begin(), more.end());
    }
    const double elapsed = CpuSeconds() - begin;
    const bool started = Starts(commands, job.id);
    Apply(commands);
    if (!started) {
      Apply(scheduler_->Cancel(job.id, now_));
      return std::nullopt;
    }
    last_started_ = job.id;
    return elapsed * 1e3;
  }

  void Finish(size_t index) {
    const Running gang = running_[index];
    Forget(gang.job);
    Apply(scheduler_->GangFinished(gang.job, gang.attempt, now_));
  }

  double Busy() const {
    return static_cast<double>(used_) /
           (static_cast<double>(workers_) * kAcceleratorsPerWorker);
  }

  void MeasureBytesPerJob() {
    const double small = BytesOf(1);
    const double large = BytesOf(kMemoryTasks + 1);
    result_.bytes_per_task = (large - small) / kMemoryTasks;
    result_.bytes_per_job = small - result_.bytes_per_task;
  }

  // Bytes of a running job with that many tasks.
  double BytesOf(int tasks) {
    running_.reserve(running_.size() + kMemoryJobs);
    running_index_.reserve(running_.size() + kMemoryJobs);
    const int64_t before = allocated_();
    const size_t jobs = running_.size();
    for (int n = 0; n < kMemoryJobs; ++n) {
      Start(tasks);
    }
    const auto started = static_cast<double>(running_.size() - jobs);
    return started > 0 ? static_cast<double>(allocated_() - before) / started
                       : 0;
  }

  void Fill() {
    static constexpr int kSizes[] = {1, 2, 4, 8, 16, 64, 128, 256};
    for (int failures = 0; Busy() < kFilled && failures < kMaxFailures;) {
      const size_t before = running_.size();
      Start(kSizes[random_.Below(std::size(kSizes))]);
      failures += running_.size() == before ? 1 : 0;
    }
    while (Busy() > kBusy) {
      Finish(random_.Below(running_.size()));
    }
  }

  // Ends a gang, submits and starts another one, and ticks now and then.
  double MeasureEvents() {
    static constexpr int kRounds = 1'000;
    const double start = CpuSeconds();
    int64_t events = 0;
    for (int n = 0; n < kRounds; ++n) {
      Replace();
      events += 3;
      if (n % 10 == 0) {
        Tick();
        ++events;
      }
    }
    return (CpuSeconds() - start) * 1e6 / static_cast<double>(events);
  }

  // From the submission to the command that starts the gang.
  Latency MeasurePlacement(int tasks, int samples) {
    std::vector<double> millis;
    for (int n = 0; n < samples; ++n) {
      const std::optional<double> elapsed = Start(tasks);
      if (!elapsed) {
        ++result_.not_placed;
        continue;
      }
      millis.push_back(*elapsed);
      if (const auto it = running_index_.find(last_started_);
          it != running_index_.end()) {
        Finish(it->second);
      }
      Replace();
    }
    return {Percentile(millis, 0.5), Percentile(millis, 0.99),
            static_cast<int64_t>(millis.size())};
  }

  // Another gang of the same size takes the place of a running one, so that
  // placements do not meet the same free space again.
  void Replace() {
    const size_t index = random_.Below(running_.size());
    const int tasks = running_[index].tasks;
    Finish(index);
    Start(tasks);
  }

  const int workers_;
  Random random_;
  const AllocatedBytes& allocated_;
  std::unique_ptr<GangScheduler> scheduler_;
  CapacityResult result_;
  TimePoint now_;
  int64_t next_job_ = 0;
  int64_t used_ = 0;
  std::vector<Running> running_;
  std::unordered_map<JobId, size_t> running_index_;
  JobId last_started_;
};

}  // namespace

CapacityResult ProbeCapacity(SchedulerKind kind,
                             int workers,
                             uint64_t seed,
                             const AllocatedBytes& allocated) {
  return Probe(kind, workers, seed, allocated).Run();
}

double Slope(const std::vector<double>& x, const std::vector<double>& y) {
  const double mean_x = Mean(x);
  const double mean_y = Mean(y);
  double above = 0;
  double below = 0;
  for (size_t n = 0; n < x.size(); ++n) {
    above += (x[n] - mean_x) * (y[n] - mean_y);
    below += (x[n] - mean_x) * (x[n] - mean_x);
  }
  return below > 0 ? above / below : 0;
}

}  // namespace quetzalshelf::bench
