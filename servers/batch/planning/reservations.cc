// SchedulingPass: reservations, and the runs that are stopped for them.

#include <algorithm>
#include <utility>

#include "core/logging.h"
#include "servers/batch/planning/run_costs.h"
#include "servers/batch/planning/scheduling_pass.h"

namespace quetzalshelf::batch {

namespace {

// A reservation expires after this time; stopping runs takes under 1 s.
constexpr Duration kReservationTimeout{2'500};
// Runs expected to end by themselves may overrun by this much before they are
// stopped, or before the reservation expires if they may not be.
constexpr Duration kEndTolerance{250};
// Minimum time between two reclaim attempts for a step.
constexpr Duration kReclaimRetryInterval{60};
// A late gang that has waited this long reserves workers as they become free.
// Otherwise smaller tasks would take each of them and starve it.
constexpr Duration kStarvationThreshold{20'000};
// A starving gang reserves the workers of runs that end within this time; the
// workers that it holds are idle until then.
constexpr Duration kMaxHoldWait{2'000};
// Preemptions that are further apart are not in a row.
constexpr Duration kPreemptionMemory{10'000};

// Estimated time until the run ends by itself; the maximum duration when
// unknown.
Duration TimeLeft(const Run& run, TimePoint began, TimePoint now) {
  const std::optional<Duration> left =
      run.progress.TimeLeft(std::max(began, run.started_at), now);
  return run.phase == RunPhase::kRunning && left ? *left : Duration::max();
}

}  // namespace

bool SchedulingPass::MayReserve(const PlacementUnit& unit) const {
  if (now_ < unit.step->reclaim_at)
    return false;
  if (unit.postponed &&
      owed_.contains({UrgencyOf(unit), unit.job->record().service}))
    return false;
  const bool is_starving =
      unit.spec->gang && unit.late &&
      now_ - unit.step->ready_since >= kStarvationThreshold;
  return unit.job->record().priority == 0 ||
         (is_starving && !held_.contains(unit.job->record().service));
}

void SchedulingPass::Reserve(const PlacementUnit& unit, Candidate& candidate) {
  const Resources each = MakeDemand(*unit.spec, 1).each;
  unit.step->reserved.push_back(candidate.worker->id);
  candidate.free -= each;
  candidate.reserved += each;
  if (unit.job->record().priority > 0)
    candidate.awaiting += each;
  caps_.Charge(unit.job->record().workspace, unit.spec->resources);
}

void SchedulingPass::Unreserve(const PlacementUnit& unit,
                               Candidate& candidate) {
  const Resources each = MakeDemand(*unit.spec, 1).each;
  candidate.free += each;
  candidate.reserved -= each;
  if (unit.job->record().priority > 0)
    candidate.awaiting -= each;
}

bool SchedulingPass::TryStartReserved(PlacementUnit& unit, bool outwaited) {
  StepProgress& step = *unit.step;
  StopOverrunning(step);
  std::vector<Candidate>& candidates = CandidatesOf(unit.job->record().service);
  bool usable = true;
  bool fits = true;
  Placement placement;
  for (const WorkerId& id : step.reserved) {
    const auto it = std::ranges::find(
        candidates, id, [](const Candidate& c) { return c.worker->id; });
    usable = usable && it != candidates.end();
    if (!usable)
      break;
    // The reservation itself counts as used.
    fits = fits && Resources().FitsIn(it->free);
    placement.push_back(static_cast<size_t>(it - candidates.begin()));
  }
  if (usable && !fits && now_ <= step.reserved_until && !outwaited)
    return true;
  const WorkspaceId& workspace = unit.job->record().workspace;
  const auto tasks = static_cast<int>(step.reserved.size());
  caps_.Release(workspace, unit.spec->resources * tasks);
  step.reserved.clear();
  for (const size_t n : placement)
    Unreserve(unit, candidates[n]);
  // The cap may have been lowered since.
  const bool allowed =
      caps_.CountFits(workspace, unit.spec->resources) >= tasks;
  if (usable && fits && allowed) {
    Assign(unit, placement);
    return true;
  }
  LOG(INFO) << "reservation of step " << ToString(unit.id)
            << " cancelled: usable=" << usable << " under_cap=" << allowed
            << " outwaited=" << outwaited;
  return false;
}

void SchedulingPass::StartReservedTasks(PlacementUnit& unit, bool outwaited) {
  StepProgress& step = *unit.step;
  if (step.reserved.empty())
    return;
  StopOverrunning(step);
  std::vector<Candidate>& candidates = CandidatesOf(unit.job->record().service);
  const Demand one = MakeDemand(*unit.spec, 1);
  const WorkspaceId& workspace = unit.job->record().workspace;
  const Resources& task_size = unit.spec->resources;
  std::vector<size_t> usable;
  for (const WorkerId& id : std::exchange(step.reserved, {})) {
    caps_.Release(workspace, task_size);
    const auto it = std::ranges::find(
        candidates, id, [](const Candidate& c) { return c.worker->id; });
    if (it == candidates.end())
      continue;
    // The reservation itself counts as used.
    Unreserve(unit, *it);
    usable.push_back(static_cast<size_t>(it - candidates.begin()));
  }
  for (const size_t n : usable) {
    Candidate& candidate = candidates[n];
    if (unit.waiting.size() == step.reserved.size() ||
        !IsEligible(*candidate.worker, one))
      continue;
    // The cap may have been lowered since.
    if (caps_.CountFits(workspace, task_size) == 0) {
      LOG(INFO) << "reservation of step " << ToString(unit.id)
                << " cancelled: worker=" << candidate.worker->id
                << " cap=" << caps_.Describe(workspace, task_size);
      continue;
    }
    if (CountFits(*candidate.worker, candidate.free, one) > 0) {
      Assign(unit, Placement{n});
    } else if (now_ <= step.reserved_until && !outwaited) {
      Reserve(unit, candidate);
    } else {
      LOG(INFO) << "reservation of step " << ToString(unit.id)
                << " cancelled: worker=" << candidate.worker->id;
    }
  }
}

void SchedulingPass::CollectVictims(const ServiceName& service) {
  ServiceVictims& collected = victims_[service];
  const std::vector<Candidate>& candidates = CandidatesOf(service);
  std::map<WorkerId, size_t> index;
  for (size_t n = 0; n < candidates.size(); ++n)
    index[candidates[n].worker->id] = n;
  for (Job* const live : inputs_.jobs) {
    Job& job = *live;
    const JobId& job_id = job.record().id;
    if (job.IsFinal() || job.record().service != service)
      continue;
    Victim victim{&job, TaskId{job_id}, job.record().priority,
                  guaranteed_.contains(job_id)};
    for (OccurrenceProgress& occurrence : job.occurrences()) {
      victim.id.step = -1;
      for (StepProgress& step : occurrence.steps) {
        ++victim.id.step;
        victim.id.index = 0;
        const StepSpec& spec = job.spec(victim.id.step);
        const Resources each = MakeDemand(spec, 1).each;
        VictimGroup group;
        victim.time_left = Duration(0);
        const auto add_group = [&](int task_index) {
          group.cost = StopCost(group.lost_work, victim.priority);
          collected.groups.push_back(std::exchange(group, {}));
          collected.victims.push_back(victim);
          collected.victims.back().id.index = task_index;
          victim.time_left = Duration(0);
        };
        const TimePoint began =
            spec.gang ? job.WorkStartTime(victim.id) : TimePoint();
        for (const TaskProgress& task : step.tasks) {
          ++victim.id.index;
          if (!task.run || task.run->phase == RunPhase::kStopping)
            continue;
          group.lost_work += LostWork(*task.run, spec, each, now_);
          victim.time_left =
              std::max(victim.time_left, TimeLeft(*task.run, began, now_));
          if (const auto it = index.find(task.run->worker); it != index.end())
            group.members.push_back({it->second, each});
          if (!spec.gang && !group.members.empty())
            add_group(victim.id.index - 1);
        }
        if (!group.members.empty())
          add_group(0);
      }
      ++victim.id.occurrence;
    }
  }
}

const char* SchedulingPass::TryReclaim(PlacementUnit& unit,
                                       const Demand& demand) {
  const ServiceName& service = unit.job->record().service;
  std::vector<Candidate>& candidates = CandidatesOf(service);
  unit.step->reclaim_at = now_ + kReclaimRetryInterval;
  outcome_.repeat = true;
  if (!victims_.contains(service))
    CollectVictims(service);
  auto& [all_groups, victims] = victims_.at(service);
  const int priority = unit.job->record().priority;
  const bool may_stop = priority == 0;
  // Runs that end before a stop would take effect cost nothing.
  const Duration max_wait = may_stop ? inputs_.mean_stop_time : kMaxHoldWait;
  std::vector<VictimGroup> groups = all_groups;
  std::vector<bool> awaited(groups.size());
  std::vector<bool> stoppable(groups.size());
  for (size_t n = 0; n < groups.size(); ++n) {
    const Victim& victim = victims[n];
    // Guaranteed work may also stop unguaranteed runs of its own priority.
    stoppable[n] = MayStop(unit, victim.priority, victim.guaranteed);
    // Guaranteed work must not depend on runs that it may not stop.
    awaited[n] =
        victim.time_left <= max_wait && (stoppable[n] || !unit.guaranteed);
    if (awaited[n])
      groups[n].cost = groups[n].lost_work = 0;
    else if (!stoppable[n])
      groups[n].members.clear();
  }
  const bool allow_spread =
      unit.guaranteed || !FitsSomeRack(candidates, demand);
  const auto plan = PlanReclaim(candidates, groups, demand, allow_spread);
  const Duration waited = now_ - unit.job->accepted_at();
  if (!plan)
    return "stopping all that may be stopped makes too little room";
  if (!IsReclaimWorthwhile(
          *plan, {StepWork(*unit.spec), unit.guaranteed, unit.late, waited}))
    return "stopping others would cost more than it gains";
  ++outcome_.reclaims;
  LOG(INFO) << "step " << ToString(unit.id)
            << " reclaims workers: groups=" << plan->victims.size()
            << " awaited="
            << std::ranges::count_if(plan->victims,
                                     [&](size_t n) { return awaited[n]; })
            << " lost_core_s=" << plan->lost_work
            << " guaranteed=" << unit.guaranteed
            << " waited_ms=" << waited.count();
  StepProgress& step = *unit.step;
  TimePoint until = now_ + kReservationTimeout;
  // Tasks of no gang may have earlier reservations.
  if (step.reserved.empty())
    step.awaited.clear();
  for (const size_t n : plan->victims) {
    const Victim& victim = victims[n];
    if (!awaited[n]) {
      Preempt(*victim.job, victim.id);
    } else if (stoppable[n]) {
      step.awaited.push_back({victim.id, victim.job->Find(victim.id)->attempt});
      step.await_until = now_ + max_wait + kEndTolerance;
    } else {
      until = now_ + max_wait + kEndTolerance;
    }
    all_groups[n].members.clear();
  }
  step.reserved_until =
      step.reserved.empty() ? until : std::max(step.reserved_until, until);
  for (const size_t n : plan->placement)
    Reserve(unit, candidates[n]);
  if (!may_stop)
    held_.insert(service);
  return nullptr;
}

void SchedulingPass::StopOverrunning(StepProgress& step) {
  if (step.awaited.empty())
    return;
  if (now_ < step.await_until) {
    outcome_.repeat = true;
    return;
  }
  for (const auto& [id, attempt] : std::exchange(step.awaited, {})) {
    Job* const job = FindJob(id.job);
    const TaskProgress* const task = job ? job->Find(id) : nullptr;
    const bool runs =
        task && task->attempt == attempt &&
        (job->spec(id.step).gang ? Job::HasRuns(*job->FindStep(id))
                                 : task->run.has_value());
    if (runs)
      Preempt(*job, id);
  }
}

void SchedulingPass::Preempt(Job& job, const TaskId& id) {
  StepProgress& step = *job.FindStep(id);
  if (now_ - step.preempted_at > kPreemptionMemory)
    step.preemptions = 0;
  // Several tasks of a step that are stopped together count once.
  if (step.preemptions == 0 || step.preempted_at != now_)
    ++step.preemptions;
  step.preempted_at = now_;
  step.restart_at = now_ + RestartDelay(step.preemptions);
  ExpectEnds(job, id);
  actions_.StopRun(job, id, "preempted by urgent work");
}

}  // namespace quetzalshelf::batch
