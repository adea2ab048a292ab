// Dispatcher: scheduling passes, which choose the tasks to start, their workers
// and the runs to preempt.

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/logging.h"
#include "servers/batch/dispatcher.h"
#include "servers/batch/victims.h"

namespace quetzalshelf::batch {

namespace {

// Factor by which stopping a run costs more per level of priority.
constexpr double kPriorityWeight = 4;
constexpr int kLowestPriority = 2;
// In core-seconds, added to each group of victims: a restart delays its job.
constexpr double kRestartCost = 10;
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
// Share of a service's accelerators that is kept free for urgent gangs while
// other work can be deferred.
constexpr double kHeadroomShare = 0.28;
// Share of the time until its objective during which work of other queues stays
// out of this headroom; the rest is left for its run and for retries.
constexpr double kDeferralShare = 0.35;
// During a failure burst, the last attempt of a gang waits this long for
// workers that have succeeded since the burst began. A burst passes within
// seconds, whereas a failed job is lost.
constexpr Duration kLastAttemptMaxWait{8'000};
// A suspect task waits this long for a worker on which nothing has just
// started; afterwards it may start on any.
constexpr Duration kIsolationPatience{4'000};
// A step waits this long for a rack, for the end of its deferral or for its
// restart after a preemption while there is ample room. Then even a slow run is
// better than none. Below the 3 s for which the users let a job stand.
constexpr Duration kAmpleRoomPatience{2'000};
// A step waits this long for other workers than those on which it is likely to
// fail, unless there is ample room there. Longer than workers usually fail all
// that they start.
constexpr Duration kAvoidancePatience{8'000};
// Preemptions that are further apart are not in a row.
constexpr Duration kPreemptionMemory{10'000};
// Urgent steps are expected to start sooner than this. Also the time between
// two log lines on the wait of a step.
constexpr Duration kWaitLogInterval{1'000};
// Occurrences start this long after they are due, since the clocks of VMs
// differ slightly.
constexpr int64_t kDueMarginMs = 30;

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

// Estimated work of a step in core-seconds.
double StepWork(const StepSpec& step) {
  return step.tasks * WeighCores(step.resources) * Seconds(step.estimate);
}

// Work of a run that would be lost if it were stopped now, in core-seconds.
double LostWork(const Run& run,
                const StepSpec& spec,
                const Resources& each,
                TimePoint now) {
  if (run.phase != RunPhase::kRunning)
    return 0;
  const TimePoint since = spec.checkpointing ? run.saved_at : run.started_at;
  return WeighCores(each) * Seconds(now - since);
}

// Estimated time until the run ends by itself; the maximum duration when
// unknown.
Duration TimeLeft(const Run& run, TimePoint began, TimePoint now) {
  const std::optional<Duration> left =
      run.progress.TimeLeft(std::max(began, run.started_at), now);
  return run.phase == RunPhase::kRunning && left ? *left : Duration::max();
}

double StopCost(double lost_work, int priority) {
  double weight = 1;
  for (int n = priority; n < kLowestPriority; ++n)
    weight *= kPriorityWeight;
  return weight * (lost_work + kRestartCost);
}

// Avoids workers with a penalty: one failing worker fails a whole gang, and no
// run should be stopped in favour of one that is likely to fail.
void AvoidUnhealthyWorkers(const std::vector<Candidate>& candidates,
                           Demand& demand) {
  std::set<WorkerId> unhealthy;
  for (const Candidate& it : candidates) {
    if (it.penalty > 0)
      unhealthy.insert(it.worker->id);
  }
  Avoid(candidates, unhealthy, demand);
}

// Avoids workers on which the step is likely to fail.
void AvoidLikelyFailures(const StepProgress& step,
                         const std::vector<Candidate>& candidates,
                         Demand& demand) {
  std::set<WorkerId> failed_on;
  for (const TaskProgress& it : step.tasks)
    failed_on.insert(it.failed_on.begin(), it.failed_on.end());
  Avoid(candidates, failed_on, demand);
  if (demand.all_or_none)
    AvoidUnhealthyWorkers(candidates, demand);
}

}  // namespace

// Waiting tasks that are placed together.
struct Dispatcher::PlacementUnit {
  Job* job = nullptr;
  TaskId id;  // The index is not used.
  StepProgress* step = nullptr;
  const StepSpec* spec = nullptr;
  bool guaranteed = false;
  bool late = false;  // Can no longer meet its objective.
  TimePoint objective;
  std::vector<int> waiting;  // Indexes of the tasks to place.
  bool suspect = false;      // Workers have crashed under them.

  auto Rank() const {
    return std::tuple(job->record().priority, !guaranteed, late, objective, id);
  }
};

// State of one scheduling pass. The free resources of the candidates shrink as
// units are placed.
struct Dispatcher::PassState {
  struct Victim {
    Job* job = nullptr;
    TaskId id;  // Of a run, or of a step when it is a gang.
    int priority = 0;
    bool guaranteed = false;
    Duration time_left{0};  // Until all its runs end by themselves.
  };
  // The runs of one service. Members of groups are indexes into the candidates
  // of the same service.
  struct ServiceVictims {
    std::vector<VictimGroup> groups;
    std::vector<Victim> victims;  // One per group.
  };

  TimePoint now;
  std::set<JobId> guaranteed;
  std::map<ServiceName, std::vector<Candidate>> candidates;
  // Racks kept free of deferrable work; chosen when such work is first placed.
  std::map<ServiceName, std::set<RackId>> headroom;
  // Collected when the first unit of a service tries to reclaim.
  std::map<ServiceName, ServiceVictims> victims;
  // Services in which a gang that may not stop other runs holds workers.
  std::set<ServiceName> held;
  // Tasks of which some worker holds, or may come to hold, a run that is not
  // assigned to it.
  std::set<TaskId> strays;
};

void Dispatcher::RunPass(TimePoint now) {
  PassState pass;
  pass.now = now;
  ComputeUsage(pass);
  pass.guaranteed = GuaranteedJobs();
  std::vector<PlacementUnit> units = CollectUnits(pass);
  std::ranges::sort(units, {}, &PlacementUnit::Rank);
  for (PlacementUnit& it : units) {
    if (const char* const why = StartUnit(it, pass))
      LogWait(it, why, pass.now);
  }
}

void Dispatcher::ComputeUsage(PassState& pass) {
  for (auto& [id, worker] : registry_.workers()) {
    worker.used = Resources();
    worker.has_unproven_run = worker.has_suspect_run = false;
    if (worker.HoldsStrays(pass.now)) {
      pass.strays.insert(worker.strays.begin(), worker.strays.end());
      strays_end_ = std::min(strays_end_, worker.StraysEnd());
    }
    worker.ForgetOldStarts(pass.now);
    for (const auto& [task, sent_at] : worker.open_starts) {
      if (!worker.MayRunOpenStart(sent_at, pass.now))
        continue;
      pass.strays.insert(task);
      strays_end_ = std::min(strays_end_, Worker::OpenStartEnd(sent_at));
    }
  }
  for (const JobId& id : live_) {
    Job& job = *jobs_.at(id);
    for (OccurrenceProgress& occurrence : job.occurrences()) {
      for (size_t n = 0; n < occurrence.steps.size(); ++n) {
        StepProgress& step = occurrence.steps[n];
        const Resources each =
            MakeDemand(job.spec(static_cast<int>(n)), 1).each;
        bool any_waiting = false;
        for (const TaskProgress& task : step.tasks) {
          any_waiting = any_waiting || (!task.done && !task.run);
          if (!task.run)
            continue;
          Worker* const worker = registry_.Find(task.run->worker);
          if (!worker)
            continue;
          worker->used += each;
          if (worker->HasSurvivedStart(*task.run))
            continue;
          worker->has_unproven_run = true;
          worker->has_suspect_run =
              worker->has_suspect_run || task.is_suspect();
        }
        if (!any_waiting)
          step.reserved.clear();
        if (!step.reserved.empty() && job.record().priority > 0)
          pass.held.insert(job.record().service);
        for (const WorkerId& reserved : step.reserved) {
          if (Worker* const worker = registry_.Find(reserved))
            worker->used += each;
        }
      }
    }
  }
}

std::set<JobId> Dispatcher::GuaranteedJobs() const {
  // Jobs of priority 0 up to the guarantee of their workspace: running jobs
  // first, so that they are not stopped for older waiting ones, then in order
  // of acceptance.
  std::vector<const Job*> urgent;
  for (const JobId& id : live_) {
    const Job& job = *jobs_.at(id);
    if (job.record().priority == 0 && !job.IsFinal())
      urgent.push_back(&job);
  }
  std::ranges::sort(urgent, {}, [](const Job* it) {
    return std::pair(!it->HasAnyRun(), it->accepted_at());
  });
  std::map<WorkspaceId, int64_t> used;
  std::set<JobId> guaranteed;
  for (const Job* const job : urgent) {
    const WorkspaceConfig* const workspace =
        site_.config()->FindWorkspace(job->record().workspace);
    if (!workspace)
      continue;
    int64_t need = 0;
    for (const StepSpec& it : job->record().spec.steps)
      need = std::max(need, it.tasks * it.resources.accelerators.value());
    int64_t& sum = used[workspace->name];
    if (sum + need > workspace->guaranteed.value())
      continue;
    sum += need;
    guaranteed.insert(job->record().id);
  }
  return guaranteed;
}

std::vector<Dispatcher::PlacementUnit> Dispatcher::CollectUnits(
    const PassState& pass) {
  const int64_t wall = clock_.WallMillis() - kDueMarginMs;
  std::vector<PlacementUnit> units;
  for (const JobId& job_id : live_) {
    Job& job = *jobs_.at(job_id);
    if (job.IsFinal())
      continue;
    const TimePoint objective = job.Objective();
    TaskId id{job_id};
    for (OccurrenceProgress& occurrence : job.occurrences()) {
      id.step = -1;
      const bool due = occurrence.due_wall_ms <= wall;
      if (!due)
        pass_due_ = true;
      for (StepProgress& step : occurrence.steps) {
        ++id.step;
        if (!due || Job::IsDone(step) ||
            !job.DependenciesDone(occurrence, id.step))
          continue;
        if (step.ready_since == TimePoint())
          step.ready_since = pass.now;
        if (pass.now < step.retry_at) {
          pass_due_ = true;
          continue;
        }
        PlacementUnit unit{&job, id, &step, &job.spec(id.step)};
        unit.guaranteed = pass.guaranteed.contains(job_id);
        unit.objective = objective;
        unit.late = pass.now + unit.spec->estimate > objective;
        std::vector<int> suspects;
        for (size_t n = 0; n < step.tasks.size(); ++n) {
          const TaskProgress& task = step.tasks[n];
          const TaskId task_id{job_id, id.occurrence, id.step,
                               static_cast<int>(n)};
          if (task.done || task.run || pass.strays.contains(task_id))
            continue;
          unit.suspect = unit.suspect || task.is_suspect();
          // A gang without this task is not whole and waits as well.
          if (Job::AwaitsUnclearLosses(task))
            continue;
          if (task.is_suspect() && !unit.spec->gang)
            suspects.push_back(static_cast<int>(n));
          else
            unit.waiting.push_back(static_cast<int>(n));
        }
        // Suspect tasks start apart from the others of their step.
        if (unit.waiting.empty())
          unit.waiting = std::move(suspects);
        else if (!unit.spec->gang)
          unit.suspect = false;
        // A gang waits until no run of its last attempt is left.
        const bool whole = unit.waiting.size() == step.tasks.size();
        if (unit.waiting.empty() || (unit.spec->gang && !whole))
          continue;
        units.push_back(std::move(unit));
      }
      ++id.occurrence;
    }
  }
  return units;
}

std::vector<Candidate>& Dispatcher::CandidatesOf(const ServiceName& service,
                                                 PassState& pass) {
  const auto [it, added] = pass.candidates.try_emplace(service);
  std::vector<Candidate>& candidates = it->second;
  if (!added)
    return candidates;
  for (auto& [id, worker] : registry_.workers()) {
    if (worker.entry.service != service || !worker.IsUsable(pass.now) ||
        site_.IsEvacuated(worker.entry.domain))
      continue;
    candidates.push_back({&worker.entry, worker.entry.capacity - worker.used,
                          worker.health.Penalty(pass.now),
                          speeds_.Slowness(id, pass.now),
                          worker.has_unproven_run});
    if (worker.has_suspect_run)
      candidates.back().Close();
  }
  return candidates;
}

bool Dispatcher::CanDefer(const PlacementUnit& unit, TimePoint now) const {
  if (unit.job->record().priority == 0)
    return false;
  const TimePoint accepted = unit.job->accepted_at();
  const Duration whole = unit.objective - accepted;
  const Duration allowed(static_cast<int64_t>(
      kDeferralShare * static_cast<double>(whole.count())));
  return now < accepted + allowed;
}

void Dispatcher::LogWait(const PlacementUnit& unit,
                         const char* why,
                         TimePoint now) {
  const Duration waited = now - unit.step->ready_since;
  if (unit.job->record().priority > 0 || waited < kWaitLogInterval ||
      now < unit.step->next_wait_log)
    return;
  unit.step->next_wait_log = now + kWaitLogInterval;
  LOG(INFO) << "step " << ToString(unit.id)
            << " waits for workers: tasks=" << unit.waiting.size()
            << " accelerators=" << unit.spec->resources.accelerators.value()
            << " gang=" << unit.spec->gang << " guaranteed=" << unit.guaranteed
            << " late=" << unit.late << " waited_ms=" << waited.count() << ": "
            << why;
}

const char* Dispatcher::StartUnit(PlacementUnit& unit, PassState& pass) {
  std::vector<Candidate>& candidates =
      CandidatesOf(unit.job->record().service, pass);
  StepProgress& step = *unit.step;
  if (!unit.spec->gang)
    StartReservedTasks(unit, pass);
  else if (!step.reserved.empty() && TryStartReserved(unit, pass))
    return step.reserved.empty() ? nullptr : "runs are being stopped";
  if (unit.waiting.size() == step.reserved.size())
    return unit.waiting.empty() ? nullptr : "runs are being stopped";
  Demand demand = MakeDemand(
      *unit.spec, static_cast<int>(unit.waiting.size() - step.reserved.size()));
  demand.urgent = unit.job->record().priority == 0;
  demand.present = step.reserved;
  for (const TaskProgress& it : step.tasks) {
    if (it.run)
      demand.present.push_back(it.run->worker);
  }
  if (pass.now < step.restart_at &&
      !HasOutwaitedRoom(unit, candidates, demand, pass.now)) {
    pass_due_ = true;
    return "it was preempted a moment ago";
  }
  Demand preferred = demand;
  AvoidLikelyFailures(step, candidates, preferred);
  if (!HasOutwaitedAvoidance(step, candidates, demand, preferred, pass.now))
    demand = std::move(preferred);
  if (unit.suspect)
    Isolate(unit, candidates, demand, pass.now);
  const bool can_defer = CanDefer(unit, pass.now);
  const bool outwaited = (can_defer || demand.rack_local) &&
                         HasOutwaitedRoom(unit, candidates, demand, pass.now);
  if (can_defer && !outwaited) {
    const auto [it, added] =
        pass.headroom.try_emplace(unit.job->record().service);
    if (added)
      it->second = ChooseHeadroom(candidates, kHeadroomShare);
    AvoidRacks(candidates, it->second, demand);
  }
  if (!unit.spec->gang) {
    const Placement placement = PlaceTasks(candidates, demand);
    if (!placement.empty())
      Assign(unit, placement, pass);
    for (const size_t n : placement)
      demand.present.push_back(candidates[n].worker->id);
    demand.tasks -= static_cast<int>(placement.size());
    if (demand.tasks == 0)
      return nullptr;
    AvoidUnhealthyWorkers(candidates, demand);
  } else {
    const bool allow_spread =
        demand.rack_local && (outwaited || !FitsSomeRack(candidates, demand));
    if (const auto placement =
            PlaceGangOnHealthyWorkers(unit, demand, allow_spread, pass)) {
      Assign(unit, *placement, pass);
      return nullptr;
    }
  }
  if (!MayReserve(unit, pass))
    return "no workers have room, none may be reclaimed yet";
  return TryReclaim(unit, demand, pass);
}

void Dispatcher::Isolate(const PlacementUnit& unit,
                         const std::vector<Candidate>& candidates,
                         Demand& demand,
                         TimePoint now) {
  demand.prefer_idle = true;
  if (now - unit.step->crashed_at > kIsolationPatience)
    return;
  if (!unit.spec->gang)
    demand.max_per_worker = 1;
  // Passes go on until the runs on some worker are proven.
  pass_due_ = true;
  for (const Candidate& it : candidates) {
    if (it.has_unproven_run)
      demand.avoid.insert(it.worker->id);
  }
}

bool Dispatcher::HasOutwaitedRoom(const PlacementUnit& unit,
                                  const std::vector<Candidate>& candidates,
                                  const Demand& demand,
                                  TimePoint now) {
  StepProgress& step = *unit.step;
  if (Job::HasRuns(step) || !HasAmpleRoom(candidates, demand)) {
    step.ample_room_since = TimePoint();
    return false;
  }
  if (step.ample_room_since == TimePoint())
    step.ample_room_since = now;
  const bool outwaited = now - step.ample_room_since >= kAmpleRoomPatience;
  pass_due_ = pass_due_ || !outwaited;
  return outwaited;
}

bool Dispatcher::HasOutwaitedAvoidance(StepProgress& step,
                                       const std::vector<Candidate>& candidates,
                                       const Demand& demand,
                                       const Demand& preferred,
                                       TimePoint now) {
  const bool avoids_some = preferred.avoid.size() > demand.avoid.size();
  if (!avoids_some || HasRoom(candidates, preferred) ||
      !HasRoom(candidates, demand)) {
    step.avoiding_since = TimePoint();
    return false;
  }
  if (step.avoiding_since == TimePoint())
    step.avoiding_since = now;
  const Duration patience = HasAmpleRoom(candidates, demand)
                                ? kAmpleRoomPatience
                                : kAvoidancePatience;
  const bool outwaited = now - step.avoiding_since >= patience;
  pass_due_ = pass_due_ || !outwaited;
  return outwaited;
}

bool Dispatcher::MayReserve(const PlacementUnit& unit,
                            const PassState& pass) const {
  if (pass.now < unit.step->reclaim_at)
    return false;
  const bool is_starving =
      unit.spec->gang && unit.late &&
      pass.now - unit.step->ready_since >= kStarvationThreshold;
  return unit.job->record().priority == 0 ||
         (is_starving && !pass.held.contains(unit.job->record().service));
}

std::optional<Placement> Dispatcher::PlaceGangOnHealthyWorkers(
    const PlacementUnit& unit,
    const Demand& demand,
    bool allow_spread,
    PassState& pass) {
  const std::vector<Candidate>& candidates =
      CandidatesOf(unit.job->record().service, pass);
  const TimePoint burst_start = failure_bursts_.BurstStart(pass.now);
  if (burst_start == TimePoint::max())
    return PlaceGang(candidates, demand, allow_spread);
  Demand healthy_only = demand;
  for (const Candidate& it : candidates) {
    if (registry_.Find(it.worker->id)->health.last_success_start() <
        burst_start)
      healthy_only.avoid.insert(it.worker->id);
  }
  if (auto placement = PlaceGang(candidates, healthy_only, allow_spread))
    return placement;
  int failures = 0;
  for (const TaskProgress& it : unit.step->tasks)
    failures = std::max(failures, it.failures);
  const bool last_attempt = failures + 1 >= unit.job->record().attempts;
  const bool patient = pass.now - unit.step->ready_since <= kLastAttemptMaxWait;
  if (last_attempt && patient) {
    pass_due_ = true;
    return std::nullopt;
  }
  return PlaceGang(candidates, demand, allow_spread);
}

bool Dispatcher::TryStartReserved(PlacementUnit& unit, PassState& pass) {
  StepProgress& step = *unit.step;
  StopOverrunning(step, pass.now);
  std::vector<Candidate>& candidates =
      CandidatesOf(unit.job->record().service, pass);
  const Resources each = MakeDemand(*unit.spec, 1).each;
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
  if (usable && !fits && pass.now <= step.reserved_until)
    return true;
  step.reserved.clear();
  for (const size_t n : placement)
    candidates[n].free += each;
  if (usable && fits) {
    Assign(unit, placement, pass);
    return true;
  }
  LOG(INFO) << "reservation of step " << ToString(unit.id)
            << " cancelled: usable=" << usable;
  return false;
}

void Dispatcher::StartReservedTasks(PlacementUnit& unit, PassState& pass) {
  StepProgress& step = *unit.step;
  if (step.reserved.empty())
    return;
  StopOverrunning(step, pass.now);
  std::vector<Candidate>& candidates =
      CandidatesOf(unit.job->record().service, pass);
  const Demand one = MakeDemand(*unit.spec, 1);
  std::vector<size_t> usable;
  for (const WorkerId& id : std::exchange(step.reserved, {})) {
    const auto it = std::ranges::find(
        candidates, id, [](const Candidate& c) { return c.worker->id; });
    if (it == candidates.end())
      continue;
    // The reservation itself counts as used.
    it->free += one.each;
    usable.push_back(static_cast<size_t>(it - candidates.begin()));
  }
  for (const size_t n : usable) {
    Candidate& candidate = candidates[n];
    if (unit.waiting.size() == step.reserved.size() ||
        !IsEligible(*candidate.worker, one))
      continue;
    if (CountFits(*candidate.worker, candidate.free, one) > 0) {
      Assign(unit, {n}, pass);
    } else if (pass.now <= step.reserved_until) {
      step.reserved.push_back(candidate.worker->id);
      candidate.free -= one.each;
    } else {
      LOG(INFO) << "reservation of step " << ToString(unit.id)
                << " cancelled: worker=" << candidate.worker->id;
    }
  }
}

void Dispatcher::CollectVictims(PassState& pass, const ServiceName& service) {
  PassState::ServiceVictims& collected = pass.victims[service];
  const std::vector<Candidate>& candidates = CandidatesOf(service, pass);
  std::map<WorkerId, size_t> index;
  for (size_t n = 0; n < candidates.size(); ++n)
    index[candidates[n].worker->id] = n;
  for (const JobId& job_id : live_) {
    Job& job = *jobs_.at(job_id);
    if (job.IsFinal() || job.record().service != service)
      continue;
    PassState::Victim victim{&job, TaskId{job_id}, job.record().priority,
                             pass.guaranteed.contains(job_id)};
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
          group.lost_work += LostWork(*task.run, spec, each, pass.now);
          victim.time_left =
              std::max(victim.time_left, TimeLeft(*task.run, began, pass.now));
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

const char* Dispatcher::TryReclaim(PlacementUnit& unit,
                                   const Demand& demand,
                                   PassState& pass) {
  const ServiceName& service = unit.job->record().service;
  std::vector<Candidate>& candidates = CandidatesOf(service, pass);
  unit.step->reclaim_at = pass.now + kReclaimRetryInterval;
  pass_due_ = true;
  if (!pass.victims.contains(service))
    CollectVictims(pass, service);
  auto& [all_groups, victims] = pass.victims.at(service);
  const int priority = unit.job->record().priority;
  const bool may_stop = priority == 0;
  // Runs that end before a stop would take effect cost nothing.
  const Duration max_wait = may_stop ? mean_stop_time_ : kMaxHoldWait;
  std::vector<VictimGroup> groups = all_groups;
  std::vector<bool> awaited(groups.size());
  std::vector<bool> stoppable(groups.size());
  for (size_t n = 0; n < groups.size(); ++n) {
    const PassState::Victim& victim = victims[n];
    // Guaranteed work may also stop unguaranteed runs of its own priority.
    stoppable[n] =
        may_stop && (victim.priority > priority ||
                     (unit.guaranteed && victim.priority == priority &&
                      !victim.guaranteed));
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
  const Duration waited = pass.now - unit.job->accepted_at();
  if (!plan)
    return "stopping all that may be stopped makes too little room";
  if (!IsReclaimWorthwhile(
          *plan, {StepWork(*unit.spec), unit.guaranteed, unit.late, waited}))
    return "stopping others would cost more than it gains";
  reclaims_.Add();
  LOG(INFO) << "step " << ToString(unit.id)
            << " reclaims workers: groups=" << plan->victims.size()
            << " awaited="
            << std::ranges::count_if(plan->victims,
                                     [&](size_t n) { return awaited[n]; })
            << " lost_core_s=" << plan->lost_work
            << " guaranteed=" << unit.guaranteed
            << " waited_ms=" << waited.count();
  StepProgress& step = *unit.step;
  TimePoint until = pass.now + kReservationTimeout;
  // Tasks of no gang may have earlier reservations.
  if (step.reserved.empty())
    step.awaited.clear();
  for (const size_t n : plan->victims) {
    const PassState::Victim& victim = victims[n];
    if (!awaited[n]) {
      Preempt(*victim.job, victim.id, pass.now);
    } else if (stoppable[n]) {
      step.awaited.push_back({victim.id, victim.job->Find(victim.id)->attempt});
      step.await_until = pass.now + max_wait + kEndTolerance;
    } else {
      until = pass.now + max_wait + kEndTolerance;
    }
    all_groups[n].members.clear();
  }
  step.reserved_until =
      step.reserved.empty() ? until : std::max(step.reserved_until, until);
  for (const size_t n : plan->placement) {
    step.reserved.push_back(candidates[n].worker->id);
    candidates[n].free -= demand.each;
  }
  if (!may_stop)
    pass.held.insert(service);
  return nullptr;
}

void Dispatcher::StopOverrunning(StepProgress& step, TimePoint now) {
  if (step.awaited.empty())
    return;
  if (now < step.await_until) {
    pass_due_ = true;
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
      Preempt(*job, id, now);
  }
}

void Dispatcher::Preempt(Job& job, const TaskId& id, TimePoint now) {
  StepProgress& step = *job.FindStep(id);
  if (now - step.preempted_at > kPreemptionMemory)
    step.preemptions = 0;
  // Several tasks of a step that are stopped together count once.
  if (step.preemptions == 0 || step.preempted_at != now)
    ++step.preemptions;
  step.preempted_at = now;
  step.restart_at = now + RestartDelay(step.preemptions);
  StopRun(job, id, now, "preempted by urgent work");
}

void Dispatcher::Assign(PlacementUnit& unit,
                        const Placement& placement,
                        PassState& pass) {
  Job& job = *unit.job;
  StepProgress& step = *unit.step;
  std::vector<Candidate>& candidates = CandidatesOf(job.record().service, pass);
  const Resources each = MakeDemand(*unit.spec, 1).each;
  const Attempt gang_attempt = Job::NextAttempt(step);
  for (size_t n = 0; n < placement.size(); ++n) {
    Candidate& candidate = candidates[placement[n]];
    TaskProgress& task = step.tasks[static_cast<size_t>(unit.waiting[n])];
    task.attempt = unit.spec->gang ? gang_attempt : task.attempt.Next();
    task.run = Run{.worker = candidate.worker->id,
                   .attempt = task.attempt,
                   .phase = RunPhase::kRecording,
                   .phase_since = pass.now,
                   .revision = job.revision + 1};
    candidate.free -= each;
    candidate.has_unproven_run = true;
  }
  if (unit.suspect) {
    for (const size_t n : placement)
      candidates[n].Close();
  }
  unit.waiting.erase(
      unit.waiting.begin(),
      unit.waiting.begin() + static_cast<std::ptrdiff_t>(placement.size()));
  if (job.first_placed_at == TimePoint())
    job.first_placed_at = pass.now;
  MarkChanged(job, WriteUrgency::kNow);
}

bool Dispatcher::MoveGangMember(Job& job, const TaskId& id, TimePoint now) {
  TaskProgress& task = *job.Find(id);
  StepProgress& step = *job.FindStep(id);
  const StepSpec& spec = job.spec(id.step);
  PassState pass;
  pass.now = now;
  ComputeUsage(pass);
  const std::vector<Candidate>& candidates =
      CandidatesOf(job.record().service, pass);
  Demand demand = MakeDemand(spec, 1);
  demand.urgent = job.record().priority == 0;
  std::set<RackId> racks;
  for (const TaskProgress& it : step.tasks) {
    if (!it.run || it.run->phase == RunPhase::kStopping)
      return false;
    if (&it == &task)
      continue;
    demand.present.push_back(it.run->worker);
    if (const Worker* const worker = registry_.Find(it.run->worker))
      racks.insert(worker->entry.rack);
  }
  demand.avoid.insert(task.run->worker);
  for (const Candidate& it : candidates) {
    if (spec.rack_local && !racks.empty() && !racks.contains(it.worker->rack))
      demand.avoid_racks.insert(it.worker->rack);
  }
  Demand preferred = demand;
  AvoidLikelyFailures(step, candidates, preferred);
  Placement placement = PlaceTasks(candidates, preferred);
  // The others of the gang wait for it.
  if (placement.empty())
    placement = PlaceTasks(candidates, demand);
  if (placement.empty())
    return false;
  const WorkerId& worker = candidates[placement.front()].worker->id;
  LOG(INFO) << "task " << ToString(id) << " attempt=" << task.attempt
            << " moves from worker " << task.run->worker << " to " << worker
            << ": the first refused it, the gang keeps its attempt";
  task.run = Run{.worker = worker,
                 .attempt = task.attempt,
                 .phase = RunPhase::kRecording,
                 .phase_since = now,
                 .revision = job.revision + 1};
  MarkChanged(job, WriteUrgency::kNow);
  return true;
}

}  // namespace quetzalshelf::batch
