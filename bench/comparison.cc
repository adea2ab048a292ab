#include "bench/comparison.h"

#include <cstdio>
#include <utility>

#include "bench/measures.h"

namespace quetzalshelf::bench {
namespace {

constexpr double kSecondsPerHour = 3'600;
constexpr double kP99 = 0.99;

struct Times {
  std::vector<double> ours;
  std::vector<double> naive;
  std::vector<double> run_time;
};

Pair Means(const Times& times) {
  return {Mean(times.ours), Mean(times.naive)};
}

Pair P99s(const Times& times) {
  return {Percentile(times.ours, kP99), Percentile(times.naive, kP99)};
}

// Jobs that finished under both schedulers.
void AddTimes(const Trace& trace,
              const RunResult& ours,
              const RunResult* naive,
              std::map<std::string, Times>& by_kind,
              Times& all) {
  for (size_t n = 0; n < trace.jobs.size(); ++n) {
    if (ours.jobs[n].outcome != Outcome::kFinished ||
        (naive != nullptr && naive->jobs[n].outcome != Outcome::kFinished)) {
      continue;
    }
    Times& kind = by_kind[trace.jobs[n].job.kind];
    for (Times* it : {&all, &kind}) {
      it->ours.push_back(ours.jobs[n].completion_s);
      it->run_time.push_back(
          static_cast<double>(trace.jobs[n].run_time.count()) / 1e3);
      if (naive != nullptr) {
        it->naive.push_back(naive->jobs[n].completion_s);
      }
    }
  }
}

std::vector<bool> Finished(const RunResult& run) {
  std::vector<bool> out;
  for (const JobResult& it : run.jobs) {
    out.push_back(it.outcome == Outcome::kFinished);
  }
  return out;
}

void AddRun(Comparison& out, const RunResult& run, double Pair::*side) {
  const std::vector<bool> finished = Finished(run);
  out.fragmentation.*side += run.fragmentation.share_seconds();
  out.fragmentation_mean_share.*side += run.fragmentation.MeanShare();
  out.stranded_accelerator_hours.*side +=
      run.fragmentation.stranded_accelerator_seconds() / kSecondsPerHour;
  out.work_during_domain_move.*side +=
      WorkInWindows(run.work, run.moves, finished);
  out.redone_accelerator_hours.*side +=
      run.redone_accelerator_seconds / kSecondsPerHour;
  for (const bool it : finished) {
    out.finished_jobs.*side += it ? 1 : 0;
  }
  out.run_hours.*side =
      std::max(out.run_hours.*side,
               static_cast<double>(ToMillis(run.end)) / 1e3 / kSecondsPerHour);
  out.most_tasks_running.*side += static_cast<double>(run.most_tasks_running);
  out.scheduler_cpu_s.*side += run.scheduler_cpu_s;
}

nlohmann::ordered_json ToJson(const Pair& pair) {
  return {{"ours", pair.ours}, {"naive", pair.naive}, {"ratio", pair.Ratio()}};
}

void AddCounts(nlohmann::ordered_json& out,
               const std::string& prefix,
               const FaultCounts& counts) {
  out[prefix + "guarantee_violations"] = counts.guarantee_violations;
  out[prefix + "partial_gangs"] = counts.partial_gangs;
  out[prefix + "starts_in_out_domain"] = counts.starts_in_out_domain;
  out[prefix + "duplicate_runs"] = counts.duplicate_runs;
  out[prefix + "lost_jobs"] = counts.lost_jobs;
}

std::string Row(const std::string& name, const Pair& pair) {
  char buf[160];
  std::snprintf(buf, sizeof(buf), "  %-34s %14.3f %14.3f %8.3f\n", name.c_str(),
                pair.ours, pair.naive, pair.Ratio());
  return buf;
}

std::string CountRow(const std::string& name, int64_t ours, int64_t naive) {
  char buf[160];
  std::snprintf(buf, sizeof(buf), "  %-34s %14lld %14lld\n", name.c_str(),
                static_cast<long long>(ours), static_cast<long long>(naive));
  return buf;
}

}  // namespace

double Pair::Ratio() const {
  if (naive == 0) {
    return ours == 0 ? 1 : 0;
  }
  return ours / naive;
}

Comparison Compare(const std::string& deployment,
                   const std::vector<Trace>& traces,
                   const std::vector<RunResult>& ours,
                   const std::vector<RunResult>& naive) {
  Comparison out;
  out.deployment = deployment;
  Times all;
  std::map<std::string, Times> by_kind;
  for (size_t n = 0; n < traces.size(); ++n) {
    out.seed = n == 0 ? traces[n].seed : out.seed;
    out.workers += traces[n].workers.size();
    out.jobs += traces[n].jobs.size();
    out.traced_hours = static_cast<double>(ToMillis(traces[n].last_arrival)) /
                       1e3 / kSecondsPerHour;
    out.offered_load +=
        traces[n].offered_load / static_cast<double>(traces.size());
    AddTimes(traces[n], ours[n], naive.empty() ? nullptr : &naive[n], by_kind,
             all);
    AddRun(out, ours[n], &Pair::ours);
    out.ours += ours[n].counts;
    out.findings.insert(out.findings.end(), ours[n].findings.begin(),
                        ours[n].findings.end());
    if (!naive.empty()) {
      AddRun(out, naive[n], &Pair::naive);
      out.naive += naive[n].counts;
      out.naive_findings.insert(out.naive_findings.end(),
                                naive[n].findings.begin(),
                                naive[n].findings.end());
    }
  }
  const auto count = static_cast<double>(traces.size());
  out.fragmentation_mean_share.ours /= count;
  out.fragmentation_mean_share.naive /= count;
  out.jobs_compared = static_cast<int64_t>(all.ours.size());
  out.completion_mean_s = Means(all);
  out.completion_p99_s = P99s(all);
  out.completion_floor_ratio =
      Pair{Mean(all.run_time), out.completion_mean_s.naive}.Ratio();
  for (const auto& [kind, times] : by_kind) {
    out.kinds[kind] = {static_cast<int64_t>(times.ours.size()), Means(times),
                       P99s(times)};
  }
  return out;
}

nlohmann::ordered_json ToJson(const Comparison& it) {
  nlohmann::ordered_json out;
  out["deployment"] = it.deployment;
  out["seed"] = it.seed;
  out["workers"] = it.workers;
  out["jobs"] = it.jobs;
  out["jobs_compared"] = it.jobs_compared;
  out["traced_hours"] = it.traced_hours;
  out["offered_load"] = it.offered_load;
  out["job_completion_time_mean_s"] = ToJson(it.completion_mean_s);
  out["job_completion_time_p99_s"] = ToJson(it.completion_p99_s);
  out["job_completion_time_floor_ratio"] = it.completion_floor_ratio;
  out["fragmentation"] = ToJson(it.fragmentation);
  out["work_during_domain_move"] = ToJson(it.work_during_domain_move);
  for (const auto& [kind, result] : it.kinds) {
    out["kinds"][kind] = {{"jobs", result.jobs},
                          {"job_completion_time_mean_s", ToJson(result.mean_s)},
                          {"job_completion_time_p99_s", ToJson(result.p99_s)}};
  }
  out["fragmentation_mean_share"] = ToJson(it.fragmentation_mean_share);
  out["stranded_accelerator_hours"] = ToJson(it.stranded_accelerator_hours);
  out["redone_accelerator_hours"] = ToJson(it.redone_accelerator_hours);
  out["finished_jobs"] = ToJson(it.finished_jobs);
  out["run_hours"] = ToJson(it.run_hours);
  out["most_tasks_running"] = ToJson(it.most_tasks_running);
  out["scheduler_cpu_s"] = ToJson(it.scheduler_cpu_s);
  AddCounts(out, "", it.ours);
  AddCounts(out, "naive_", it.naive);
  return out;
}

std::string ToTable(const Comparison& it) {
  char buf[200];
  std::snprintf(buf, sizeof(buf),
                "%s: seed %llu, %zu workers, %zu jobs in %.1f h of arrivals, "
                "load %.2f, %lld compared\n  %-34s %14s %14s %8s\n",
                it.deployment.c_str(), static_cast<unsigned long long>(it.seed),
                it.workers, it.jobs, it.traced_hours, it.offered_load,
                static_cast<long long>(it.jobs_compared), "", "ours", "naive",
                "ratio");
  std::string out = buf;
  out += Row("completion mean (s)", it.completion_mean_s);
  out += Row("completion p99 (s)", it.completion_p99_s);
  std::snprintf(buf, sizeof(buf), "  %-34s %38.3f\n",
                "lowest possible ratio of the mean", it.completion_floor_ratio);
  out += buf;
  for (const auto& [kind, result] : it.kinds) {
    out += Row("  " + kind + " mean (s)", result.mean_s);
    out += Row("  " + kind + " p99 (s)", result.p99_s);
  }
  out += Row("fragmentation (share x s)", it.fragmentation);
  out += Row("  mean share", it.fragmentation_mean_share);
  out += Row("  stranded accelerator-hours", it.stranded_accelerator_hours);
  out += Row("work during domain moves (acc-s)", it.work_during_domain_move);
  out += Row("redone accelerator-hours", it.redone_accelerator_hours);
  out += Row("finished jobs", it.finished_jobs);
  out += Row("hours until the last outcome", it.run_hours);
  out += Row("most tasks running", it.most_tasks_running);
  out += Row("CPU time of the scheduler (s)", it.scheduler_cpu_s);
  out += CountRow("guarantee violations", it.ours.guarantee_violations,
                  it.naive.guarantee_violations);
  out +=
      CountRow("partial gangs", it.ours.partial_gangs, it.naive.partial_gangs);
  out += CountRow("starts in a domain out of service",
                  it.ours.starts_in_out_domain, it.naive.starts_in_out_domain);
  out += CountRow("duplicate runs", it.ours.duplicate_runs,
                  it.naive.duplicate_runs);
  out += CountRow("lost jobs", it.ours.lost_jobs, it.naive.lost_jobs);
  return out;
}

}  // namespace quetzalshelf::bench
