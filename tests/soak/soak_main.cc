// fleet_soak: entry nodes as processes under random faults. Exits with 0 when
// every promise was kept for every seed.

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "bench/seed_range.h"
#include "tests/soak/entry_process.h"
#include "tests/soak/soak_callers.h"
#include "tests/soak/soak_faults.h"
#include "tests/soak/soak_fleet.h"

namespace quetzalshelf::soak {

namespace {

// Nodes beyond these have the share of a core of the smallest VMs.
constexpr size_t kLargeNodes = 2;
constexpr double kLargeCpuShare = 0.5;
constexpr double kSmallCpuShare = 0.12;
constexpr int kWorkersPerRack = 4;  // As of SoakFleet.
constexpr Duration kStandGap{200};
constexpr Duration kTick{20};
constexpr Duration kStartTime{1'500};  // For a leader to be found.
// About two thirds of what the workers can run.
constexpr Duration kShortestJobGap{80};
constexpr Duration kLongestJobGap{300};
// Jobs that come at once, more than the workers can run in five seconds.
constexpr Duration kShortestSurgeGap{4'000};
constexpr Duration kLongestSurgeGap{8'000};
constexpr int64_t kLeastSurgeJobs = 40;
constexpr int64_t kMostSurgeJobs = 100;
constexpr Duration kCountGap{100};
constexpr Duration kShortestFaultGap{50};
constexpr Duration kLongestFaultGap{900};
// Jobs that are open this long after the last fault hang. Several times the
// bound of the site files, for slow machines.
constexpr Duration kHangLimit{120'000};
// After the last job, orders that were delayed may still start a run, which
// has to be found and stopped.
constexpr Duration kLastOrders{10'000};

struct SoakOptions {
  std::string daemon;
  std::string work_dir;
  std::string seeds = "1..2";
  int seconds = 12;
  int recovery_limit_s = 0;
  std::vector<std::string> kinds;
  size_t nodes = 3;
  int racks = 2;
  int64_t link_bytes_per_second = 0;
  size_t payload_bytes = 0;
  // Least time between two faults; 0: less than a second, by chance.
  int calm_s = 0;
  bool keep = false;
};

// A loopback address that no other process of this machine uses: it is made
// of this process's id.
std::string NodeHost(size_t n) {
  const auto id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + (id >> 8) % 254) + "." +
         std::to_string(id % 256) + "." + std::to_string(n + 1);
}

class Soak {
 public:
  Soak(const SoakOptions& options, uint64_t seed)
      : options_(options),
        seed_(seed),
        dir_(options.work_dir + "/seed-" + std::to_string(seed)),
        random_(seed),
        surge_random_(seed + 2),
        timer_(io_),
        fleet_(io_, options.racks, seed) {}

  // Whether every promise was kept.
  bool Run() {
    std::filesystem::create_directories(dir_);
    fault_log_.open(dir_ + "/faults.log", std::ios::trunc);
    if (absl::Status status = Start(); !status.ok()) {
      violations_.emplace_back(status.message());
    } else {
      Tick();
      io_.run();
    }
    return Report();
  }

 private:
  absl::Status Start() {
    if (absl::Status status = fleet_.Start(); !status.ok())
      return status;
    std::vector<int> ports;
    for (size_t n = 0; n < options_.nodes; ++n) {
      EntryProcessOptions options{
          .daemon = options_.daemon,
          .work_dir = dir_,
          .name = "n" + std::to_string(n),
          .domain = n % 2 == 0 ? "cartago" : "heredia",
          .host = NodeHost(n),
          .store_port = fleet_.store_port(),
          .cpu_share = n < kLargeNodes ? kLargeCpuShare : kSmallCpuShare,
          .link_bytes_per_second = options_.link_bytes_per_second};
      nodes_.push_back(std::make_unique<EntryProcess>(io_, std::move(options)));
      if (absl::Status status = nodes_.back()->Start(); !status.ok())
        return status;
      ports.push_back(nodes_.back()->caller_port());
    }
    callers_ = std::make_unique<SoakCallers>(
        io_, fleet_.workers(), std::move(ports), options_.payload_bytes, seed_);
    faults_ = std::make_unique<SoakFaults>(io_, fleet_, nodes_, options_.kinds,
                                           seed_, fault_log_);
    began_ = clock_.Now();
    next_job_ = began_ + kStartTime;
    next_surge_ = began_ + kStartTime + kShortestSurgeGap / 2;
    next_count_ = began_ + kStartTime;
    next_fault_ = began_ + kStartTime + kLongestFaultGap;
    return absl::OkStatus();
  }

  void Tick() {
    const TimePoint now = clock_.Now();
    for (const auto& it : nodes_) {
      if (const std::string problem = it->Tick(now); !problem.empty())
        violations_.push_back(problem);
    }
    if (now >= next_count_) {
      callers_->AskCounts();
      next_count_ = now + kCountGap;
    }
    if (now >= next_stand_check_) {
      callers_->CheckCap(fleet_.cap());
      CheckStandingJobs();
      next_stand_check_ = now + kStandGap;
    }
    const bool all_up =
        std::ranges::all_of(nodes_, [](const auto& it) { return it->is_up(); });
    if (faults_->HasOpenFaults() || !all_up)
      disturbed_at_ = now;
    const bool faulty = now < began_ + Duration(options_.seconds * 1'000);
    if (faulty)
      Disturb(now);
    else if (!healed_at_)
      Heal(now);
    else if (Settle(now))
      return;
    timer_.expires_after(kTick);
    timer_.async_wait([this](const asio::error_code& ec) {
      if (!ec)
        Tick();
    });
  }

  void CheckStandingJobs() {
    std::vector<batch::WorkerEntry> workers;
    for (size_t n = 0; n < fleet_.worker_count(); ++n)
      workers.push_back(fleet_.worker(n));
    callers_->CheckStandingJobs(workers, fleet_.cap(), disturbed_at_);
  }

  void Disturb(TimePoint now) {
    const auto gap = [this](Duration least, Duration most) {
      return Duration(random_.Between(least.count(), most.count()));
    };
    while (now >= next_job_) {
      callers_->SubmitJob();
      next_job_ += gap(kShortestJobGap, kLongestJobGap);
    }
    while (now >= next_surge_) {
      callers_->SubmitSurge(static_cast<int>(
          surge_random_.Between(kLeastSurgeJobs, kMostSurgeJobs)));
      next_surge_ += Duration(surge_random_.Between(kShortestSurgeGap.count(),
                                                    kLongestSurgeGap.count()));
    }
    while (now >= next_fault_) {
      faults_->InjectOne(now);
      disturbed_at_ = now;
      next_fault_ += Duration(options_.calm_s * 1'000) +
                     gap(kShortestFaultGap, kLongestFaultGap);
    }
  }

  void Heal(TimePoint now) {
    faults_->EndAll();
    healed_at_ = disturbed_at_ = now;
  }

  // Whether all is settled, or never will be.
  bool Settle(TimePoint now) {
    if (now - *healed_at_ > kHangLimit) {
      for (const std::string& it : callers_->OpenJobs())
        violations_.push_back(it + ": not settled");
      for (const batch::TaskId& it : fleet_.workers().RunningTasks())
        violations_.push_back(batch::ToString(it) + ": still runs");
      io_.stop();
      return true;
    }
    if (callers_->open_jobs() > 0)
      return false;
    if (!settled_at_)
      settled_at_ = now;
    if (fleet_.workers().running() > 0 || now - *settled_at_ < kLastOrders)
      return false;
    callers_->CheckRefusedJobs();
    io_.stop();
    return true;
  }

  bool Report() {
    if (callers_) {
      violations_.insert(violations_.end(), callers_->violations().begin(),
                         callers_->violations().end());
    }
    violations_.insert(violations_.end(), fleet_.workers().violations().begin(),
                       fleet_.workers().violations().end());
    const Duration recovery =
        healed_at_ && settled_at_ ? *settled_at_ - *healed_at_ : Duration(0);
    if (options_.recovery_limit_s > 0 &&
        recovery > Duration(options_.recovery_limit_s * 1'000))
      violations_.emplace_back("jobs were settled too late");
    const CallerCounts counts = callers_ ? callers_->counts() : CallerCounts();
    std::printf(
        "seed=%llu submitted=%d accepted=%d refused=%d unknown=%d complete=%d "
        "cancelled=%d failed=%d starts=%d counts=%d told=%d refused=%d "
        "most_owed=%lld settled_ms=%lld violations=%zu\n",
        static_cast<unsigned long long>(seed_), counts.submitted,
        counts.accepted, counts.refused, counts.unknown, counts.complete,
        counts.cancelled, counts.failed, fleet_.workers().total_starts(),
        counts.counts_asked, counts.counts_told, counts.counts_refused,
        static_cast<long long>(counts.most_owed),
        static_cast<long long>(recovery.count()), violations_.size());
    for (const std::string& it : violations_)
      std::printf("  %s\n", it.c_str());
    std::fflush(stdout);
    nodes_.clear();
    if (violations_.empty() && !options_.keep)
      std::filesystem::remove_all(dir_);
    else
      std::printf("  logs are in %s\n", dir_.c_str());
    return violations_.empty();
  }

  const SoakOptions options_;
  const uint64_t seed_;
  const std::string dir_;
  Random random_;
  Random surge_random_;
  SystemClock clock_;
  asio::io_context io_;
  asio::steady_timer timer_;
  SoakFleet fleet_;
  SoakFaults::Nodes nodes_;
  std::unique_ptr<SoakCallers> callers_;
  std::ofstream fault_log_;
  std::unique_ptr<SoakFaults> faults_;
  TimePoint began_;
  TimePoint next_job_;
  TimePoint next_surge_;
  TimePoint next_count_;
  TimePoint next_fault_;
  TimePoint disturbed_at_;  // The last time with a fault or a node down.
  TimePoint next_stand_check_;
  std::optional<TimePoint> healed_at_;
  std::optional<TimePoint> settled_at_;
  std::vector<std::string> violations_;
};

}  // namespace

int Main(int argc, char** argv) {
  CLI::App app("Entry nodes under random faults from outside");
  SoakOptions options;
  app.add_option("--daemon", options.daemon, "Path of quetzalshelfd")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--work-dir", options.work_dir, "Folder for logs")->required();
  app.add_option("--seeds", options.seeds, "Seeds, as 1..50");
  app.add_option("--seconds", options.seconds, "Time with faults, a seed")
      ->check(CLI::Range(3, 600));
  app.add_option("--recovery-limit-s", options.recovery_limit_s,
                 "Time for all jobs to be settled after the last fault; 0 for "
                 "no bound")
      ->check(CLI::NonNegativeNumber);
  app.add_option("--kinds", options.kinds,
                 "Kinds of fault to inject, as 'kill a node,pause a node'; "
                 "all without it")
      ->delimiter(',')
      ->check([](const std::string& name) {
        return SoakFaults::IsKind(name) ? "" : "unknown kind: " + name;
      });
  app.add_option("--nodes", options.nodes, "Entry nodes")
      ->check(CLI::Range(1, 200));
  app.add_option("--racks", options.racks,
                 "Racks of " + std::to_string(kWorkersPerRack) + " workers")
      ->check(CLI::Range(1, 200));
  app.add_option("--link-bytes-per-s", options.link_bytes_per_second,
                 "Bandwidth of each node from the store; 0 for no limit")
      ->check(CLI::NonNegativeNumber);
  app.add_option("--payload-bytes", options.payload_bytes,
                 "Least size of a job's payload")
      ->check(CLI::Range(0, 4'000));
  app.add_option("--calm-s", options.calm_s,
                 "Least time between two faults, in which jobs are checked for "
                 "standing still; 0 for less than a second")
      ->check(CLI::NonNegativeNumber);
  app.add_flag("--keep", options.keep, "Keep the logs of good seeds too");
  CLI11_PARSE(app, argc, argv);
  bench::SeedRange seeds;
  if (!bench::ParseSeedRange(options.seeds, seeds)) {
    std::fprintf(stderr, "--seeds must be A..B\n");
    return 2;
  }
  bool kept = true;
  for (uint64_t seed = seeds.first; seed <= seeds.last; ++seed)
    kept = Soak(options, seed).Run() && kept;
  return kept ? 0 : 1;
}

}  // namespace quetzalshelf::soak

int main(int argc, char** argv) {
  return quetzalshelf::soak::Main(argc, argv);
}
