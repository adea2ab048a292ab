// SchedulingPass: caps of workspaces.

#include <algorithm>
#include <utility>
#include <vector>

#include "core/logging.h"
#include "servers/batch/planning/run_costs.h"
#include "servers/batch/planning/scheduling_pass.h"

namespace quetzalshelf::batch {

namespace {

// Share of a cap that is kept free for urgent work of the same workspace while
// its other work can be deferred.
constexpr double kCapHeadroomShare = 0.28;

// Runs that are stopped together: one, or those of a gang.
struct StopGroup {
  Job* job = nullptr;
  TaskId id;  // The index is not used for a gang.
  Resources amount;
  double lost_work = 0;
  double cost = 0;
};

// How much of `excess` the amount takes away, in parts of it.
double ReliefOf(const Resources& amount, const Resources& excess) {
  const auto part = [](int64_t freed, int64_t wanted) {
    return wanted <= 0 ? 0.0
                       : static_cast<double>(std::min(freed, wanted)) /
                             static_cast<double>(wanted);
  };
  return part(amount.accelerators.value(), excess.accelerators.value()) +
         part(amount.cpu.value(), excess.cpu.value()) +
         part(amount.memory.value(), excess.memory.value());
}

Resources Remaining(const Resources& excess, const Resources& freed) {
  const Resources zero;
  const Resources rest = excess - freed;
  return {std::max(rest.accelerators, zero.accelerators),
          std::max(rest.cpu, zero.cpu), std::max(rest.memory, zero.memory)};
}

// Cheapest groups for what they free, until all of `excess` is covered; empty
// when all together do not cover it.
std::vector<StopGroup> ChooseStops(std::vector<StopGroup> groups,
                                   Resources excess) {
  std::vector<StopGroup> chosen;
  while (excess != Resources()) {
    const auto price = [&excess](const StopGroup& it) {
      const double relief = ReliefOf(it.amount, excess);
      return std::pair(relief <= 0, it.cost / std::max(relief, 1e-9));
    };
    const auto best = std::ranges::min_element(groups, {}, price);
    if (best == groups.end() || price(*best).first)
      return {};
    excess = Remaining(excess, best->amount);
    chosen.push_back(*best);
    groups.erase(best);
  }
  return chosen;
}

}  // namespace

const WorkspaceConfig* SchedulingPass::WorkspaceOf(const Job& job) const {
  return inputs_.site.config()->FindWorkspace(job.record().workspace);
}

void SchedulingPass::ChargeStray(const WorkerId& worker, const TaskId& id) {
  if (!has_limits_)
    return;
  const Job* const job = inputs_.find_job(id.job);
  const TaskProgress* const task = job ? job->Find(id) : nullptr;
  // A run that is assigned there is counted with its job.
  if (!task || (task->run && task->run->worker == worker))
    return;
  caps_.Charge(job->record().workspace, job->spec(id.step).resources);
}

void SchedulingPass::ReportWorkspaces(const std::vector<PlacementUnit>& units) {
  if (!has_limits_)
    return;
  Resources total;
  for (const auto& [id, worker] : inputs_.registry.workers()) {
    if (worker.listed)
      total += worker.entry.capacity;
  }
  const std::vector<WorkspaceConfig>& workspaces =
      inputs_.site.config()->workspaces;
  FairShares shares(workspaces, total);
  for (const WorkspaceConfig& it : workspaces) {
    if (caps_.used(it.name) != Resources())
      shares.AddActive(it.name);
  }
  for (const PlacementUnit& it : units)
    shares.AddActive(it.job->record().workspace);
  for (const WorkspaceConfig& it : workspaces) {
    const Resources used = caps_.used(it.name);
    outcome_.workspaces[it.name] = {
        .used = used,
        .cap = it.cap,
        .weight = it.weight,
        .share = shares.DominantShare(used),
        .due_share = shares.has_weights() ? shares.DueShare(it.name) : 0};
  }
  if (shares.has_weights())
    shares_ = std::move(shares);
}

const char* SchedulingPass::LimitToCap(const PlacementUnit& unit,
                                       Demand& demand,
                                       bool outwaited) {
  const WorkspaceId& id = unit.job->record().workspace;
  if (!has_limits_ || !caps_.IsCapped(id))
    return nullptr;
  const Resources& each = unit.spec->resources;
  const int needed = unit.spec->gang ? demand.tasks : 1;
  const double kept = CanDefer(unit) && !outwaited ? kCapHeadroomShare : 0;
  const int fits = caps_.CountFits(id, each, kept);
  if (fits >= needed) {
    demand.tasks = std::min(demand.tasks, fits);
    return nullptr;
  }
  if (const WorkspaceConfig* const it = WorkspaceOf(*unit.job);
      it && !it->CanRun(*unit.spec))
    return "it needs more than its workspace may run at all";
  ++outcome_.workspaces[id].waiting_at_cap;
  if (caps_.CountFits(id, each) >= needed) {
    outcome_.repeat = true;
    return "the rest of its workspace's cap is kept for urgent work";
  }
  const Resources amount = each * (unit.spec->gang ? needed : demand.tasks);
  const char* const why = unit.job->record().priority == 0
                              ? MakeRoomUnderCap(unit, amount)
                              : "its workspace is at its cap";
  // Work that comes after it must not take what becomes free.
  caps_.Hold(id, each * needed);
  return why;
}

const char* SchedulingPass::MakeRoomUnderCap(const PlacementUnit& unit,
                                             const Resources& amount) {
  const WorkspaceId& id = unit.job->record().workspace;
  const Resources excess = caps_.Excess(id, amount);
  if (excess == Resources())
    return "runs of its workspace are being stopped";
  std::vector<StopGroup> groups;
  for (Job* const job : inputs_.jobs) {
    const int priority = job->record().priority;
    if (job->IsFinal() || job->record().workspace != id ||
        !MayStop(unit, priority, guaranteed_.contains(job->record().id)))
      continue;
    TaskId task_id{job->record().id};
    for (const OccurrenceProgress& occurrence : job->occurrences()) {
      task_id.step = 0;
      for (const StepProgress& step : occurrence.steps) {
        const StepSpec& spec = job->spec(task_id.step);
        StopGroup group{job, task_id};
        for (size_t n = 0; n < step.tasks.size(); ++n) {
          const std::optional<Run>& run = step.tasks[n].run;
          if (!run || run->phase == RunPhase::kStopping)
            continue;
          if (!spec.gang)
            group = {job, task_id};
          group.id.index = spec.gang ? 0 : static_cast<int>(n);
          group.amount += spec.resources;
          group.lost_work += LostWork(*run, spec, spec.resources, now_);
          group.cost = StopCost(group.lost_work, priority);
          if (!spec.gang)
            groups.push_back(group);
        }
        if (spec.gang && group.amount != Resources())
          groups.push_back(group);
        ++task_id.step;
      }
      ++task_id.occurrence;
    }
  }
  const std::vector<StopGroup> stops = ChooseStops(std::move(groups), excess);
  if (stops.empty())
    return "its workspace is at its cap, stopping its other runs is not enough";
  ReclaimPlan plan;
  for (const StopGroup& it : stops) {
    plan.cost += it.cost;
    plan.lost_work += it.lost_work;
  }
  const Duration waited = now_ - unit.job->accepted_at();
  if (!IsReclaimWorthwhile(
          plan, {StepWork(*unit.spec), unit.guaranteed, unit.late, waited}))
    return "its workspace is at its cap, stopping others would cost more than "
           "it gains";
  LOG(INFO) << "step " << ToString(unit.id)
            << " takes the place of other runs under the cap of workspace "
            << id << ": used=" << caps_.Describe(id, amount)
            << " stops=" << stops.size() << " lost_core_s=" << plan.lost_work
            << " guaranteed=" << unit.guaranteed
            << " waited_ms=" << waited.count();
  ++outcome_.cap_reclaims;
  for (const StopGroup& it : stops)
    Preempt(*it.job, it.id);
  outcome_.repeat = true;
  return "runs of its workspace are being stopped";
}

void SchedulingPass::ExpectEnds(Job& job, const TaskId& id) {
  const StepSpec& spec = job.spec(id.step);
  const auto expect = [&](const TaskProgress& task) {
    if (task.run && task.run->phase != RunPhase::kStopping)
      caps_.ExpectEnd(job.record().workspace, spec.resources);
  };
  if (spec.gang)
    std::ranges::for_each(job.FindStep(id)->tasks, expect);
  else
    expect(*job.Find(id));
}

}  // namespace quetzalshelf::batch
