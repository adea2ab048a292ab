#include "bench/seed_range.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace quetzalshelf::bench {
namespace {

bool ParseNumber(const std::string& text, uint64_t& out) {
  const char* end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, out);
  return ec == std::errc() && rest == end && !text.empty();
}

nlohmann::ordered_json Counts(const FaultCounts& it) {
  return {{"guarantee_violations", it.guarantee_violations},
          {"partial_gangs", it.partial_gangs},
          {"starts_in_out_domain", it.starts_in_out_domain},
          {"duplicate_runs", it.duplicate_runs},
          {"lost_jobs", it.lost_jobs}};
}

}  // namespace

bool ParseSeedRange(const std::string& text, SeedRange& out) {
  const size_t dots = text.find("..");
  SeedRange range;
  if (dots == std::string::npos ||
      !ParseNumber(text.substr(0, dots), range.first) ||
      !ParseNumber(text.substr(dots + 2), range.last) ||
      range.first > range.last) {
    return false;
  }
  out = range;
  return true;
}

void Worst::Add(const Comparison& it) {
  Update(mean_, it.completion_mean_s.Ratio(), it.seed, true);
  Update(p99_, it.completion_p99_s.Ratio(), it.seed, true);
  Update(fragmentation_, it.fragmentation.Ratio(), it.seed, true);
  Update(work_, it.work_during_domain_move.Ratio(), it.seed, false);
  ours_ += it.ours;
  naive_ += it.naive;
  ++runs_;
}

std::string Worst::ToText(const std::string& deployment, bool json) const {
  nlohmann::ordered_json out;
  const auto add = [&](const char* name, const Extreme& it) {
    out["worst"][name] = {{"ratio", it.ratio}, {"seed", it.seed}};
  };
  out["deployment"] = deployment;
  out["runs"] = runs_;
  add("job_completion_time_mean_s", mean_);
  add("job_completion_time_p99_s", p99_);
  add("fragmentation", fragmentation_);
  add("work_during_domain_move", work_);
  out["sums"] = Counts(ours_);
  out["naive_sums"] = Counts(naive_);
  return json ? out.dump() : "worst: " + out.dump(2);
}

void Worst::Update(Extreme& extreme,
                   double ratio,
                   uint64_t seed,
                   bool low) const {
  if (runs_ == 0 || (low ? ratio > extreme.ratio : ratio < extreme.ratio)) {
    extreme = {ratio, seed};
  }
}

}  // namespace quetzalshelf::bench
