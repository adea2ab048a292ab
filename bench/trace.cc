#include "bench/trace.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "core/random.h"

namespace quetzalshelf::bench {
namespace {

constexpr double kNeverRunnableChance = 0.01;
constexpr double kFailsOnceChance = 0.03;
constexpr double kCancelChance = 0.3;  // Of the recent jobs, in a wave.
constexpr int kCancelWaves = 3;
constexpr int kCancelWindowShare = 20;  // Of the arrivals: one in so many.
constexpr Duration kCancelSpread{5'000};
constexpr Duration kMinOutage{3 * 60'000};
constexpr Duration kMaxOutage{30 * 60'000};
constexpr double kInitialJobsWithin = 30'000;  // Milliseconds.
constexpr int kBadPeriods = 2;  // Periods with a worker that fails all.

Duration Millis(double ms) {
  return Duration(static_cast<int64_t>(ms));
}

// Between a tenth and ten times, log-uniform.
double FactorUpToTen(Random& random) {
  return std::pow(10.0, 2 * random.Unit() - 1);
}

double Exponential(Random& random, double mean) {
  return -mean * std::log(1 - random.Unit());
}

template <typename T>
const T& Pick(Random& random, const std::vector<T>& from) {
  return from[random.Below(from.size())];
}

class Generator {
 public:
  Generator(const TraceSpec& spec, uint64_t seed)
      : spec_(spec), random_(seed ^ 0x7472616365ULL) {
    trace_.name = spec.name;
    trace_.seed = seed;
    trace_.workspaces = spec.workspaces;
    trace_.workers = spec.workers;
    trace_.last_arrival = TimePoint(spec.arrivals);
    trace_.drain_end = TimePoint(spec.arrivals + spec.drain);
    trace_.domain_notice = spec.domain_notice;
    trace_.domain_out_limit = spec.domain_out_limit;
    for (const Worker& worker : spec.workers) {
      capacity_ += static_cast<double>(worker.capacity.accelerators.value());
    }
  }

  Trace Generate(bool with_faults) {
    AddInitialJobs();
    for (const JobKind& kind : spec_.kinds) {
      AddArrivals(kind);
    }
    AddBursts();
    SortJobs();
    ScaleLoad();
    AddCancelWaves();
    if (with_faults) {
      AddWorkerFailures();
      AddBadWorkers();
      AddDomainMoves();
    }
    std::stable_sort(
        trace_.faults.begin(), trace_.faults.end(),
        [](const Fault& a, const Fault& b) { return a.at < b.at; });
    return std::move(trace_);
  }

 private:
  double LoadAt(TimePoint time) const {
    const Duration phase = time.time_since_epoch() % spec_.burst_every;
    return phase < spec_.burst_length ? spec_.burst_load : spec_.base_load;
  }

  // The gang's share of its scarcest resource, in accelerators.
  double Weight(const Job& job) const {
    const Resources& capacity = spec_.workers.front().capacity;
    const auto share = [](int64_t need, int64_t have) {
      return static_cast<double>(need) / static_cast<double>(have);
    };
    const Resources& task = job.gang.per_task;
    return job.gang.tasks * static_cast<double>(capacity.accelerators.value()) *
           std::max(
               {share(task.accelerators.value(), capacity.accelerators.value()),
                share(task.cpu.value(), capacity.cpu.value()),
                share(task.memory.value(), capacity.memory.value())});
  }

  // Work of all jobs that can finish, relative to all workers all the time.
  double OfferedLoad() const {
    double work = 0;
    for (const TraceJob& it : trace_.jobs) {
      work += it.runnable
                  ? Weight(it.job) * static_cast<double>(it.run_time.count())
                  : 0;
    }
    return work / (capacity_ * static_cast<double>(spec_.arrivals.count()));
  }

  // A few large jobs more or less would change the load of a whole trace.
  void ScaleLoad() {
    if (spec_.offered_load > 0) {
      const double factor = spec_.offered_load / OfferedLoad();
      const auto scale = [factor](Duration& it) {
        it = Millis(static_cast<double>(it.count()) * factor);
      };
      for (TraceJob& it : trace_.jobs) {
        scale(it.run_time);
        scale(it.fail_after);
        scale(it.job.declared_run_time);
      }
    }
    trace_.offered_load = OfferedLoad();
  }

  TraceJob DrawJob(const JobKind& kind, TimePoint submit) {
    TraceJob out;
    out.submit = submit;
    const double low = std::log(static_cast<double>(kind.min_run_time.count()));
    const double high =
        std::log(static_cast<double>(kind.max_run_time.count()));
    out.run_time = Millis(std::exp(low + (high - low) * random_.Unit()));
    out.job.workspace = Pick(random_, kind.workspaces);
    out.job.kind = kind.name;
    out.job.gang = Pick(random_, kind.shapes);
    out.job.urgency =
        random_.Chance(kind.urgent_chance) ? Urgency::kUrgent : kind.urgency;
    out.job.can_checkpoint = kind.can_checkpoint;
    out.job.declared_run_time = Millis(
        static_cast<double>(out.run_time.count()) * FactorUpToTen(random_));
    out.use_factor = FactorUpToTen(random_);
    out.fails_once = random_.Chance(kFailsOnceChance);
    out.fail_after =
        Millis(static_cast<double>(out.run_time.count()) * random_.Unit());
    return out;
  }

  void AddJob(TraceJob job) {
    if (random_.Chance(kNeverRunnableChance)) {
      MakeNeverRunnable(job);
    }
    trace_.jobs.push_back(std::move(job));
  }

  void MakeNeverRunnable(TraceJob& job) {
    job.runnable = false;
    switch (random_.Below(3)) {
      case 0:
        job.fails_always = true;
        break;
      case 1:
        job.job.gang.per_task.memory = Mebibytes(int64_t{4} << 20);
        break;
      default:
        job.job.gang.adjacency = Adjacency::kRack;
        job.job.gang.per_task.accelerators = Accelerators(8);
        job.job.gang.tasks = 7;  // A rack has 6 workers.
        break;
    }
  }

  // Each kind's share of the load, submitted within the first half minute.
  void AddInitialJobs() {
    for (const JobKind& kind : spec_.kinds) {
      const double wanted = kind.share * spec_.initial_load * capacity_;
      for (double used = 0; used < wanted;) {
        const double at_ms = kInitialJobsWithin * random_.Unit();
        TraceJob job = DrawJob(kind, TimePoint(Millis(at_ms)));
        used += Weight(job.job);
        AddJob(std::move(job));
      }
    }
  }

  // The gap after a job is proportional to its work, so that the offered work
  // per time is the kind's share of the load whatever sizes are drawn.
  void AddArrivals(const JobKind& kind) {
    double at_ms = 0;
    const auto end = static_cast<double>(spec_.arrivals.count());
    while (true) {
      const TimePoint at{Millis(at_ms)};
      TraceJob job = DrawJob(kind, at);
      const double work =
          Weight(job.job) * static_cast<double>(job.run_time.count());
      at_ms +=
          Exponential(random_, work / (kind.share * LoadAt(at) * capacity_));
      if (at_ms >= end) {
        return;
      }
      job.submit = TimePoint(Millis(at_ms));
      AddJob(std::move(job));
    }
  }

  const JobKind& PickSmall() {
    return spec_.kinds[1 + random_.Below(spec_.kinds.size() - 1)];
  }

  // Small and large jobs at the same moment.
  void AddBursts() {
    for (Duration at{0}; at < spec_.arrivals; at += spec_.burst_every) {
      for (int n = 0; n < spec_.burst_jobs; ++n) {
        const TimePoint submit{at + Duration(random_.Below(1'000))};
        const JobKind& kind = random_.Chance(spec_.burst_large_share)
                                  ? spec_.kinds.front()
                                  : PickSmall();
        AddJob(DrawJob(kind, submit));
      }
    }
  }

  void SortJobs() {
    std::stable_sort(trace_.jobs.begin(), trace_.jobs.end(),
                     [](const TraceJob& a, const TraceJob& b) {
                       return a.submit < b.submit;
                     });
    for (size_t n = 0; n < trace_.jobs.size(); ++n) {
      trace_.jobs[n].job.id = JobId("job-" + std::to_string(n));
    }
  }

  void AddFault(Duration at, FaultKind kind, size_t index) {
    trace_.faults.push_back({TimePoint(at), kind, index, {}});
  }

  void AddCancelWaves() {
    for (int n = 1; n <= kCancelWaves; ++n) {
      const Duration wave = spec_.arrivals * n / (kCancelWaves + 1);
      for (size_t job = 0; job < trace_.jobs.size(); ++job) {
        const Duration submit = trace_.jobs[job].submit.time_since_epoch();
        if (submit <= wave &&
            submit > wave - spec_.arrivals / kCancelWindowShare &&
            random_.Chance(kCancelChance)) {
          const auto spread = static_cast<uint64_t>(kCancelSpread.count());
          AddFault(wave + Duration(random_.Below(spread)), FaultKind::kCancel,
                   job);
        }
      }
    }
  }

  void AddWorkerFailures() {
    std::map<size_t, Duration> up_again;
    Duration at{0};
    while (true) {
      at += Millis(Exponential(
          random_, static_cast<double>(spec_.worker_failure_every.count())));
      if (at >= spec_.arrivals) {
        return;
      }
      const size_t worker = random_.Below(trace_.workers.size());
      if (up_again.contains(worker) && at < up_again[worker] + kMinOutage) {
        continue;
      }
      const Duration back = at + Duration(random_.Between(kMinOutage.count(),
                                                          kMaxOutage.count()));
      up_again[worker] = back;
      AddFault(at, FaultKind::kWorkerDown, worker);
      AddFault(back, FaultKind::kWorkerUp, worker);
    }
  }

  void AddBadWorkers() {
    for (int n = 0; n < kBadPeriods; ++n) {
      const Duration from = Millis(static_cast<double>(spec_.arrivals.count()) *
                                   (n + 0.3 * random_.Unit()) / kBadPeriods);
      const size_t worker = random_.Below(trace_.workers.size());
      AddFault(from, FaultKind::kWorkerBad, worker);
      AddFault(from + spec_.arrivals / 6, FaultKind::kWorkerGood, worker);
    }
  }

  // Each domain in turn and on its own, evenly over the arrivals.
  void AddDomainMoves() {
    const auto count = static_cast<int64_t>(spec_.domains.size());
    for (int64_t n = 0; n < count; ++n) {
      const Duration at = spec_.arrivals * (2 * n + 1) / (2 * count);
      const DomainId& domain = spec_.domains[static_cast<size_t>(n)];
      trace_.faults.push_back(
          {TimePoint(at), FaultKind::kDomainOut, 0, domain});
      trace_.faults.push_back({TimePoint(at + spec_.domain_out_length),
                               FaultKind::kDomainIn, 0, domain});
    }
  }

  const TraceSpec& spec_;
  Random random_;
  Trace trace_;
  double capacity_ = 0;
};

}  // namespace

int64_t GangAccelerators(const Job& job) {
  return job.gang.per_task.accelerators.value() * job.gang.tasks;
}

Trace MakeTrace(const TraceSpec& spec, uint64_t seed, bool with_faults) {
  return Generator(spec, seed).Generate(with_faults);
}

}  // namespace quetzalshelf::bench
