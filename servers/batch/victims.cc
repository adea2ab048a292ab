#include "servers/batch/victims.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace quetzalshelf::batch {

namespace {

// A guaranteed job must begin within about 3 s; stopping and starting takes up
// to 1 s of that.
constexpr Duration kGuaranteedPatience{1'300};
// Work that may be thrown away for an urgent job however small, and besides
// for each core-second of its own. An urgent job that is late loses most of
// its value, while stopped work has to be done again.
constexpr double kBaseAllowance = 600;
constexpr double kAllowancePerWork = 2.5;
// Part of this allowance for a job that is late anyway: most of its value is
// lost already, and in an overload its victims would become late as well.
constexpr double kLateAllowance = 0.2;
constexpr Duration kFirstRestartDelay{1'000};
constexpr Duration kLongestRestartDelay{6'000};

// Greedy search within one set of candidates: task by task, takes the worker
// where making room for one more task costs least.
class Search {
 public:
  Search(const std::vector<Candidate>& candidates,
         const std::vector<VictimGroup>& groups,
         const Demand& demand)
      : candidates_(candidates),
        groups_(groups),
        demand_(demand),
        free_(candidates.size()),
        taken_(candidates.size(), 0),
        stopped_(groups.size(), false),
        on_worker_(candidates.size()) {
    for (size_t n = 0; n < candidates.size(); ++n)
      free_[n] = candidates[n].free;
    for (size_t group = 0; group < groups.size(); ++group) {
      for (const VictimGroup::Member& it : groups[group].members) {
        std::vector<size_t>& here = on_worker_[it.candidate];
        if (here.empty() || here.back() != group)
          here.push_back(group);
      }
    }
    for (std::vector<size_t>& here : on_worker_) {
      std::ranges::sort(here, {}, [&](size_t n) { return groups_[n].cost; });
    }
  }

  std::optional<ReclaimPlan> Run(const std::vector<size_t>& within) {
    Reset();
    while (static_cast<int>(plan_.placement.size()) < demand_.tasks) {
      double best_cost = std::numeric_limits<double>::infinity();
      size_t best = 0;
      std::vector<size_t> best_victims;
      for (const size_t n : within) {
        std::vector<size_t> victims;
        const double cost = CostOfOneMore(n, victims);
        if (cost < best_cost) {
          best_cost = cost;
          best = n;
          best_victims = std::move(victims);
        }
        if (best_cost == 0)
          break;
      }
      if (best_cost == std::numeric_limits<double>::infinity()) {
        if (demand_.all_or_none || plan_.placement.empty())
          return std::nullopt;
        break;
      }
      Apply(best, best_victims);
    }
    return std::move(plan_);
  }

 private:
  // Forgets the last plan.
  void Reset() {
    plan_ = ReclaimPlan();
    for (const size_t n : touched_) {
      free_[n] = candidates_[n].free;
      taken_[n] = 0;
    }
    touched_.clear();
    for (const size_t group : stopped_groups_)
      stopped_[group] = false;
    stopped_groups_.clear();
  }

  bool HasRoom(size_t n, const Resources& free) const {
    const bool below_limit =
        demand_.max_per_worker == 0 || taken_[n] < demand_.max_per_worker;
    return below_limit && CountFits(*candidates_[n].worker, free, demand_) > 0;
  }

  // Cost of the groups to stop for one more task on candidate `n`.
  double CostOfOneMore(size_t n, std::vector<size_t>& victims) const {
    Resources free = free_[n];
    double cost = 0;
    if (HasRoom(n, free))
      return cost;
    for (const size_t group : on_worker_[n]) {
      if (stopped_[group])
        continue;
      for (const VictimGroup::Member& it : groups_[group].members) {
        if (it.candidate == n)
          free += it.resources;
      }
      victims.push_back(group);
      cost += groups_[group].cost;
      if (HasRoom(n, free))
        return cost;
    }
    return std::numeric_limits<double>::infinity();
  }

  void Apply(size_t n, const std::vector<size_t>& victims) {
    for (const size_t group : victims) {
      stopped_[group] = true;
      stopped_groups_.push_back(group);
      plan_.victims.push_back(group);
      plan_.cost += groups_[group].cost;
      plan_.lost_work += groups_[group].lost_work;
      for (const VictimGroup::Member& it : groups_[group].members) {
        free_[it.candidate] += it.resources;
        touched_.push_back(it.candidate);
      }
    }
    free_[n] -= demand_.each;
    touched_.push_back(n);
    ++taken_[n];
    plan_.placement.push_back(n);
  }

  const std::vector<Candidate>& candidates_;
  const std::vector<VictimGroup>& groups_;
  const Demand& demand_;
  std::vector<Resources> free_;
  std::vector<int> taken_;
  std::vector<bool> stopped_;
  std::vector<std::vector<size_t>> on_worker_;
  std::vector<size_t> touched_;
  std::vector<size_t> stopped_groups_;
  ReclaimPlan plan_;
};

}  // namespace

std::optional<ReclaimPlan> PlanReclaim(const std::vector<Candidate>& candidates,
                                       const std::vector<VictimGroup>& groups,
                                       const Demand& demand,
                                       bool allow_spread) {
  std::map<RackId, std::vector<size_t>> racks;
  std::vector<size_t> all;
  for (size_t n = 0; n < candidates.size(); ++n) {
    if (!IsEligible(*candidates[n].worker, demand))
      continue;
    racks[candidates[n].worker->rack].push_back(n);
    all.push_back(n);
  }
  Search search(candidates, groups, demand);
  if (!demand.all_or_none)
    return search.Run(all);
  std::optional<ReclaimPlan> best;
  for (const auto& [rack, within] : racks) {
    auto plan = search.Run(within);
    if (plan && (!best || plan->cost < best->cost))
      best = std::move(plan);
  }
  if (!best && (allow_spread || !demand.rack_local))
    best = search.Run(all);
  return best;
}

Duration RestartDelay(int preemptions) {
  Duration delay = kFirstRestartDelay;
  for (int n = 1; n < preemptions; ++n)
    delay = std::min(delay * 2, kLongestRestartDelay);
  return delay;
}

bool IsReclaimWorthwhile(const ReclaimPlan& plan, const ReclaimClaim& claim) {
  if (claim.guaranteed && claim.waited >= kGuaranteedPatience)
    return true;
  const double allowance = kBaseAllowance + kAllowancePerWork * claim.job_size;
  return plan.lost_work <= (claim.late ? kLateAllowance : 1) * allowance;
}

}  // namespace quetzalshelf::batch
