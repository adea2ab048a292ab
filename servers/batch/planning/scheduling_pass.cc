#include "servers/batch/planning/scheduling_pass.h"

#include <algorithm>
#include <deque>
#include <tuple>
#include <utility>

#include "core/logging.h"

namespace quetzalshelf::batch {

namespace {

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
// A step stands still for this long beside idle workers, whatever it waits for.
// Then even a slow run is better than none. Below the 3 s for which the users
// let a job stand.
constexpr Duration kAmpleRoomPatience{2'000};
// Room that is gone for less than this does not end such a wait: a run counts
// from its assignment, before it starts, until its end is known.
constexpr Duration kRoomGap{100};
// Such a step may use a worker on probation when its last quick failure,
// refusal or stall is this long ago.
constexpr Duration kProbationPatience{4'000};
// A step waits this long for other workers than those on which it is likely to
// fail. Longer than workers usually fail all that they start.
constexpr Duration kAvoidancePatience{8'000};
// Urgent steps are expected to start sooner than this. Also the time between
// two log lines on the wait of a step.
constexpr Duration kWaitLogInterval{1'000};
// The same for other steps, which are logged only when a cap holds them back.
constexpr Duration kPatientLogInterval{10'000};
// A step that stands still beside idle workers for so long is logged.
constexpr Duration kStandLogDelay{1'000};
// Lines of one pass on such steps. Further ones are only counted.
constexpr int kMaxStandLines = 8;
// Occurrences start this long after they are due, since the clocks of VMs
// differ slightly.
constexpr int64_t kDueMarginMs = 30;

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

SchedulingPass::SchedulingPass(const PassInputs& inputs, PassActions& actions)
    : inputs_(inputs),
      actions_(actions),
      now_(inputs.now),
      has_limits_(std::ranges::any_of(inputs.site.config()->workspaces,
                                      [](const WorkspaceConfig& it) {
                                        return it.weight > 0 ||
                                               it.cap != Resources();
                                      })),
      caps_(has_limits_ ? inputs.site.config()->workspaces
                        : std::vector<WorkspaceConfig>()) {}

PassOutcome SchedulingPass::Decide() {
  ComputeUsage();
  guaranteed_ = GuaranteedJobs();
  std::vector<PlacementUnit> units = CollectUnits();
  std::ranges::sort(units, {}, &PlacementUnit::Rank);
  ReportWorkspaces(units);
  StartUnits(units);
  for (const BlockedUnit& it : blocked_)
    ObserveWait(it.unit, it.why);
  return outcome_;
}

void SchedulingPass::StartUnits(std::vector<PlacementUnit>& units) {
  std::vector<PlacementUnit*> postponed;
  for (PlacementUnit& it : units) {
    if (!postponed.empty() && UrgencyOf(*postponed.back()) != UrgencyOf(it))
      StartPostponed(std::exchange(postponed, {}));
    it.postponed = IsPostponed(it);
    if (it.postponed)
      postponed.push_back(&it);
    else if (!TryUnit(it) && shares_)
      owed_.emplace(UrgencyOf(it), it.job->record().service);
  }
  StartPostponed(postponed);
}

bool SchedulingPass::IsPostponed(const PlacementUnit& unit) const {
  // A guarantee is not shared.
  if (!shares_ || unit.guaranteed)
    return false;
  const WorkspaceId& id = unit.job->record().workspace;
  return shares_->IsBeyond(id, caps_.used(id));
}

void SchedulingPass::StartPostponed(const std::vector<PlacementUnit*>& units) {
  std::map<WorkspaceId, std::deque<PlacementUnit*>> queues;
  for (PlacementUnit* const it : units)
    queues[it->job->record().workspace].push_back(it);
  while (!queues.empty()) {
    const auto next = std::ranges::min_element(queues, {}, [this](auto& it) {
      return shares_->DominantShare(caps_.used(it.first)) /
             shares_->DueShare(it.first);
    });
    TryUnit(*next->second.front());
    next->second.pop_front();
    if (next->second.empty())
      queues.erase(next);
  }
}

bool SchedulingPass::TryUnit(PlacementUnit& unit) {
  const char* const why = StartUnit(unit);
  if (why) {
    LogWait(unit, why);
    ObserveWait(unit, why);
  }
  return !why;
}

Job* SchedulingPass::FindJob(const JobId& id) const {
  const auto it = std::ranges::lower_bound(
      inputs_.jobs, id, {},
      [](const Job* job) -> const JobId& { return job->record().id; });
  return it != inputs_.jobs.end() && (*it)->record().id == id ? *it : nullptr;
}

void SchedulingPass::ComputeUsage() {
  for (auto& [id, worker] : inputs_.registry.workers()) {
    worker.used = worker.reserved = worker.awaiting = Resources();
    worker.has_unproven_run = worker.has_suspect_run = false;
    if (worker.HoldsStrays(now_)) {
      for (const TaskId& it : worker.strays)
        ChargeStray(id, it);
      strays_.insert(worker.strays.begin(), worker.strays.end());
      outcome_.strays_end = std::min(outcome_.strays_end, worker.StraysEnd());
    }
    worker.ForgetOldStarts(now_);
    for (const auto& [task, sent_at] : worker.open_starts) {
      if (!worker.MayRunOpenStart(sent_at, now_))
        continue;
      ChargeStray(id, task);
      strays_.insert(task);
      outcome_.strays_end =
          std::min(outcome_.strays_end, worker.OpenStartEnd(sent_at));
    }
  }
  for (Job* const live : inputs_.jobs) {
    Job& job = *live;
    for (OccurrenceProgress& occurrence : job.occurrences()) {
      for (size_t n = 0; n < occurrence.steps.size(); ++n) {
        StepProgress& step = occurrence.steps[n];
        const StepSpec& spec = job.spec(static_cast<int>(n));
        const Resources each = MakeDemand(spec, 1).each;
        bool any_waiting = false;
        for (const TaskProgress& task : step.tasks) {
          any_waiting = any_waiting || (!task.done && !task.run);
          if (!task.run)
            continue;
          caps_.Charge(job.record().workspace, spec.resources);
          if (task.run->phase == RunPhase::kStopping)
            caps_.ExpectEnd(job.record().workspace, spec.resources);
          Worker* const worker = inputs_.registry.Find(task.run->worker);
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
          held_.insert(job.record().service);
        for (const WorkerId& reserved : step.reserved) {
          caps_.Charge(job.record().workspace, spec.resources);
          Worker* const worker = inputs_.registry.Find(reserved);
          if (!worker)
            continue;
          worker->reserved += each;
          if (job.record().priority > 0)
            worker->awaiting += each;
        }
      }
    }
  }
}

std::set<JobId> SchedulingPass::GuaranteedJobs() const {
  // Jobs of priority 0 up to the guarantee of their workspace: running jobs
  // first, so that they are not stopped for older waiting ones, then in order
  // of acceptance.
  std::vector<const Job*> urgent;
  for (const Job* const live : inputs_.jobs) {
    const Job& job = *live;
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
        inputs_.site.config()->FindWorkspace(job->record().workspace);
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

std::vector<SchedulingPass::PlacementUnit> SchedulingPass::CollectUnits() {
  const int64_t wall = inputs_.wall_ms - kDueMarginMs;
  std::vector<PlacementUnit> units;
  for (Job* const live : inputs_.jobs) {
    Job& job = *live;
    const JobId& job_id = job.record().id;
    if (job.IsFinal())
      continue;
    const Resources cap = caps_.cap(job.record().workspace);
    const TimePoint objective = job.Objective(cap);
    TaskId id{job_id};
    for (OccurrenceProgress& occurrence : job.occurrences()) {
      id.step = -1;
      const bool due = occurrence.due_wall_ms <= wall;
      if (!due)
        outcome_.repeat = true;
      for (StepProgress& step : occurrence.steps) {
        ++id.step;
        if (!due || Job::IsDone(step) ||
            !job.DependenciesDone(occurrence, id.step))
          continue;
        if (step.ready_since == TimePoint())
          step.ready_since = now_;
        PlacementUnit unit{&job, id, &step, &job.spec(id.step)};
        if (now_ < step.retry_at) {
          outcome_.repeat = true;
          blocked_.push_back({unit, "a run failed or was refused just now"});
          continue;
        }
        unit.guaranteed = guaranteed_.contains(job_id);
        unit.objective = objective;
        std::vector<int> suspects;
        const char* blocked = nullptr;
        for (size_t n = 0; n < step.tasks.size(); ++n) {
          const TaskProgress& task = step.tasks[n];
          const TaskId task_id{job_id, id.occurrence, id.step,
                               static_cast<int>(n)};
          if (task.done || task.run)
            continue;
          if (strays_.contains(task_id)) {
            blocked = "a worker may hold a run of it";
            continue;
          }
          unit.suspect = unit.suspect || task.is_suspect();
          // A gang without this task is not whole and waits as well.
          if (Job::AwaitsUnclearLosses(task)) {
            blocked = "it may have crashed workers that are out of reach";
            continue;
          }
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
        if (unit.waiting.empty() || (unit.spec->gang && !whole)) {
          if (blocked)
            blocked_.push_back({unit, blocked});
          continue;
        }
        const int waves =
            unit.spec->gang ? 1
                            : CountWaves(static_cast<int>(unit.waiting.size()),
                                         cap, unit.spec->resources);
        unit.late = now_ + unit.spec->estimate * waves > objective;
        units.push_back(std::move(unit));
      }
      ++id.occurrence;
    }
  }
  return units;
}

SchedulingPass::ServicePool& SchedulingPass::PoolOf(
    const ServiceName& service) {
  const auto [it, added] = pools_.try_emplace(service);
  ServicePool& pool = it->second;
  if (!added)
    return pool;
  for (auto& [id, worker] : inputs_.registry.workers()) {
    if (worker.entry.service != service || !worker.IsAvailable(now_) ||
        inputs_.site.IsEvacuated(worker.entry.domain))
      continue;
    const Resources idle = worker.entry.capacity - worker.used;
    pool.capacity += WeighCores(worker.entry.capacity);
    pool.idle += WeighCores(idle);
    std::vector<Candidate>& group =
        worker.health.IsOnProbation(now_) ? pool.set_aside : pool.candidates;
    group.push_back({&worker.entry, idle - worker.reserved,
                     worker.health.Penalty(now_),
                     inputs_.speeds.Slowness(id, now_), worker.has_unproven_run,
                     worker.reserved, worker.awaiting});
    if (worker.has_suspect_run)
      group.back().Close();
  }
  return pool;
}

bool SchedulingPass::HasIdleRoom(const PlacementUnit& unit) {
  const int needed = unit.spec->gang ? unit.spec->tasks : 1;
  // Its own reservation counts against the cap already.
  if (unit.step->reserved.empty() &&
      caps_.CountFits(unit.job->record().workspace, unit.spec->resources) <
          needed)
    return false;
  const ServicePool& pool = PoolOf(unit.job->record().service);
  if (pool.idle * 2 <= pool.capacity)
    return false;
  const int twice = 2 * needed;
  const Demand demand = MakeDemand(*unit.spec, twice);
  const int fits = CountIdleFits(pool.candidates, demand, twice);
  return fits + CountIdleFits(pool.set_aside, demand, twice - fits) >= twice;
}

Duration SchedulingPass::StandTime(const PlacementUnit& unit) {
  StepProgress& step = *unit.step;
  const bool runs = Job::HasStartedRuns(step);
  if (!runs && HasIdleRoom(unit)) {
    step.idle_room_at = now_;
    if (step.standing_since == TimePoint())
      step.standing_since = now_;
  } else if (runs || now_ - step.idle_room_at > kRoomGap) {
    step.standing_since = TimePoint();
  }
  return step.standing_since == TimePoint()
             ? Duration(0)
             : Duration(now_ - step.standing_since);
}

void SchedulingPass::ObserveWait(const PlacementUnit& unit, const char* why) {
  StepProgress& step = *unit.step;
  const Duration stood = StandTime(unit);
  if (stood < kStandLogDelay || now_ < step.next_stand_log)
    return;
  step.next_stand_log = now_ + kStandLogDelay;
  ++outcome_.standing[why];
  if (++stand_lines_ > kMaxStandLines)
    return;
  const ServicePool& pool = PoolOf(unit.job->record().service);
  LOG(WARNING) << "step " << ToString(unit.id)
               << " stands still beside idle workers: for_ms=" << stood.count()
               << " tasks=" << unit.spec->tasks
               << " accelerators=" << unit.spec->resources.accelerators.value()
               << " gang=" << unit.spec->gang
               << " rack_local=" << unit.spec->rack_local
               << " priority=" << unit.job->record().priority
               << " late=" << unit.late << " reserved=" << step.reserved.size()
               << " workers=" << pool.candidates.size()
               << " set_aside=" << pool.set_aside.size()
               << " idle_cores=" << pool.idle << " of=" << pool.capacity << ": "
               << why;
}

bool SchedulingPass::CanDefer(const PlacementUnit& unit) const {
  if (unit.job->record().priority == 0)
    return false;
  const TimePoint accepted = unit.job->accepted_at();
  const Duration whole = unit.objective - accepted;
  const Duration allowed(static_cast<int64_t>(
      kDeferralShare * static_cast<double>(whole.count())));
  return now_ < accepted + allowed;
}

void SchedulingPass::LogWait(const PlacementUnit& unit, const char* why) const {
  const Duration waited = now_ - unit.step->ready_since;
  const WorkspaceId& workspace = unit.job->record().workspace;
  const bool urgent = unit.job->record().priority == 0;
  const Duration interval = urgent ? kWaitLogInterval : kPatientLogInterval;
  if ((!urgent && !has_limits_) || waited < interval ||
      now_ < unit.step->next_wait_log)
    return;
  const std::string limits = caps_.Describe(
      workspace,
      unit.spec->resources * (unit.spec->gang ? std::ssize(unit.waiting) : 1));
  if (!urgent && limits.empty())
    return;
  unit.step->next_wait_log = now_ + interval;
  LOG(INFO) << "step " << ToString(unit.id)
            << " waits for workers: tasks=" << unit.waiting.size()
            << " accelerators=" << unit.spec->resources.accelerators.value()
            << " gang=" << unit.spec->gang << " guaranteed=" << unit.guaranteed
            << " late=" << unit.late << " waited_ms=" << waited.count() << ": "
            << why
            << (limits.empty() ? ""
                               : ", workspace " + workspace.value() +
                                     " at its cap: " + limits);
}

const char* SchedulingPass::StartUnit(PlacementUnit& unit) {
  std::vector<Candidate>& candidates = CandidatesOf(unit.job->record().service);
  StepProgress& step = *unit.step;
  const bool outwaited = HasOutwaitedRoom(unit);
  if (!unit.spec->gang)
    StartReservedTasks(unit, outwaited);
  else if (!step.reserved.empty() && TryStartReserved(unit, outwaited))
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
  if (now_ < step.restart_at && !outwaited) {
    outcome_.repeat = true;
    return "it was preempted a moment ago";
  }
  if (const char* const why = LimitToCap(unit, demand, outwaited))
    return why;
  const Demand unrestricted = demand;
  Demand preferred = demand;
  AvoidLikelyFailures(step, candidates, preferred);
  if (!HasOutwaitedAvoidance(step, candidates, demand, preferred))
    demand = std::move(preferred);
  if (unit.suspect)
    Isolate(unit, candidates, demand);
  const Demand any_rack = demand;
  // Of tasks that are no gang, one is enough for a job that stands still.
  if (CanDefer(unit) && (!outwaited || !unit.spec->gang)) {
    const auto [it, added] = headroom_.try_emplace(unit.job->record().service);
    if (added)
      it->second = ChooseHeadroom(candidates, kHeadroomShare);
    AvoidRacks(candidates, it->second, demand);
  }
  if (!unit.spec->gang) {
    const Placement placement = PlaceTasks(candidates, demand);
    if (!placement.empty())
      Assign(unit, placement);
    else if (outwaited && StartAnywhere(unit, {any_rack, unrestricted}))
      return nullptr;
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
            PlaceGangOnHealthyWorkers(unit, demand, allow_spread, outwaited)) {
      Assign(unit, *placement);
      return nullptr;
    }
    if (outwaited && StartAnywhere(unit, {unrestricted}))
      return nullptr;
  }
  if (!MayReserve(unit))
    return "no workers have room, none may be reclaimed yet";
  return TryReclaim(unit, demand);
}

void SchedulingPass::Isolate(const PlacementUnit& unit,
                             const std::vector<Candidate>& candidates,
                             Demand& demand) {
  demand.prefer_idle = true;
  if (now_ - unit.step->crashed_at > kIsolationPatience)
    return;
  if (!unit.spec->gang)
    demand.max_per_worker = 1;
  // Passes go on until the runs on some worker are proven.
  outcome_.repeat = true;
  for (const Candidate& it : candidates) {
    if (it.has_unproven_run)
      demand.avoid.insert(it.worker->id);
  }
}

bool SchedulingPass::HasOutwaitedRoom(const PlacementUnit& unit) {
  const Duration stood = StandTime(unit);
  const bool outwaited =
      stood >= kAmpleRoomPatience && !Job::HasRuns(*unit.step);
  const bool stands = unit.step->standing_since != TimePoint();
  outcome_.repeat = outcome_.repeat || (stands && !outwaited);
  return outwaited;
}

std::vector<Candidate*> SchedulingPass::AllWorkersFor(
    const ServiceName& service) {
  ServicePool& pool = PoolOf(service);
  std::vector<Candidate*> workers;
  workers.reserve(pool.candidates.size() + pool.set_aside.size());
  for (Candidate& it : pool.candidates)
    workers.push_back(&it);
  for (Candidate& it : pool.set_aside) {
    const Worker& worker = *inputs_.registry.Find(it.worker->id);
    if (now_ - worker.health.last_telling_incident() >= kProbationPatience)
      workers.push_back(&it);
  }
  return workers;
}

bool SchedulingPass::StartAnywhere(PlacementUnit& unit,
                                   std::vector<Demand> demands) {
  for (Demand& it : demands) {
    it.prefer_idle = unit.suspect;
    if (!unit.spec->gang)
      it.tasks = 1;
  }
  const auto place = [&](const std::vector<Candidate>& candidates,
                         const Demand& demand) {
    return unit.spec->gang ? PlaceGang(candidates, demand, demand.rack_local)
                                 .value_or(Placement())
                           : PlaceTasks(candidates, demand);
  };
  const ServiceName& service = unit.job->record().service;
  Placement placement;
  for (const Demand& it : demands) {
    placement = place(CandidatesOf(service), it);
    if (placement.empty())
      continue;
    Assign(unit, placement);
    return true;
  }
  const std::vector<Candidate*> workers = AllWorkersFor(service);
  std::vector<Candidate> candidates;
  candidates.reserve(workers.size());
  for (const Candidate* it : workers) {
    candidates.push_back(*it);
    candidates.back().free += it->awaiting;
  }
  placement = place(candidates, demands.back());
  if (placement.empty())
    return false;
  std::vector<Candidate*> chosen;
  for (const size_t n : placement)
    chosen.push_back(workers[n]);
  LOG(INFO) << "step " << ToString(unit.id)
            << " starts on workers that others would have or that have failed: "
            << "stood_ms=" << (now_ - unit.step->standing_since).count()
            << " tasks=" << placement.size();
  Assign(unit, chosen);
  return true;
}

bool SchedulingPass::HasOutwaitedAvoidance(
    StepProgress& step,
    const std::vector<Candidate>& candidates,
    const Demand& demand,
    const Demand& preferred) {
  const bool avoids_some = preferred.avoid.size() > demand.avoid.size();
  if (!avoids_some || HasRoom(candidates, preferred) ||
      !HasRoom(candidates, demand)) {
    step.avoiding_since = TimePoint();
    return false;
  }
  if (step.avoiding_since == TimePoint())
    step.avoiding_since = now_;
  const bool outwaited = now_ - step.avoiding_since >= kAvoidancePatience;
  outcome_.repeat = outcome_.repeat || !outwaited;
  return outwaited;
}

std::optional<Placement> SchedulingPass::PlaceGangOnHealthyWorkers(
    const PlacementUnit& unit,
    const Demand& demand,
    bool allow_spread,
    bool outwaited) {
  const std::vector<Candidate>& candidates =
      CandidatesOf(unit.job->record().service);
  const TimePoint burst_start = inputs_.failure_bursts.BurstStart(now_);
  if (burst_start == TimePoint::max())
    return PlaceGang(candidates, demand, allow_spread);
  Demand healthy_only = demand;
  for (const Candidate& it : candidates) {
    if (inputs_.registry.Find(it.worker->id)->health.last_success_start() <
        burst_start)
      healthy_only.avoid.insert(it.worker->id);
  }
  if (auto placement = PlaceGang(candidates, healthy_only, allow_spread))
    return placement;
  int failures = 0;
  for (const TaskProgress& it : unit.step->tasks)
    failures = std::max(failures, it.failures);
  const bool last_attempt = failures + 1 >= unit.job->record().attempts;
  const bool patient =
      !outwaited && now_ - unit.step->ready_since <= kLastAttemptMaxWait;
  if (last_attempt && patient) {
    outcome_.repeat = true;
    return std::nullopt;
  }
  return PlaceGang(candidates, demand, allow_spread);
}

void SchedulingPass::Assign(PlacementUnit& unit, const Placement& placement) {
  std::vector<Candidate>& candidates = CandidatesOf(unit.job->record().service);
  std::vector<Candidate*> workers;
  workers.reserve(placement.size());
  for (const size_t n : placement)
    workers.push_back(&candidates[n]);
  Assign(unit, workers);
}

void SchedulingPass::Assign(PlacementUnit& unit,
                            const std::vector<Candidate*>& workers) {
  Job& job = *unit.job;
  StepProgress& step = *unit.step;
  ServicePool& pool = PoolOf(job.record().service);
  const Resources each = MakeDemand(*unit.spec, 1).each;
  const Attempt gang_attempt = Job::NextAttempt(step);
  for (size_t n = 0; n < workers.size(); ++n) {
    Candidate& candidate = *workers[n];
    TaskProgress& task = step.tasks[static_cast<size_t>(unit.waiting[n])];
    task.attempt = unit.spec->gang ? gang_attempt : task.attempt.Next();
    task.run = Run{.worker = candidate.worker->id,
                   .attempt = task.attempt,
                   .incarnation_start_wall_ms =
                       candidate.worker->incarnation_start_wall_ms,
                   .phase = RunPhase::kRecording,
                   .phase_since = now_,
                   .revision = job.revision + 1};
    candidate.free -= each;
    pool.idle -= WeighCores(each);
    caps_.Charge(job.record().workspace, unit.spec->resources);
    candidate.has_unproven_run = true;
  }
  if (unit.suspect) {
    for (Candidate* const it : workers)
      it->Close();
  }
  unit.waiting.erase(
      unit.waiting.begin(),
      unit.waiting.begin() + static_cast<std::ptrdiff_t>(workers.size()));
  if (job.first_placed_at == TimePoint())
    job.first_placed_at = now_;
  actions_.RecordAssignment(job);
}

bool SchedulingPass::MoveGangMember(Job& job, const TaskId& id) {
  TaskProgress& task = *job.Find(id);
  StepProgress& step = *job.FindStep(id);
  const StepSpec& spec = job.spec(id.step);
  ComputeUsage();
  const std::vector<Candidate>& candidates = CandidatesOf(job.record().service);
  Demand demand = MakeDemand(spec, 1);
  demand.urgent = job.record().priority == 0;
  std::set<RackId> racks;
  for (const TaskProgress& it : step.tasks) {
    if (!it.run || it.run->phase == RunPhase::kStopping)
      return false;
    if (&it == &task)
      continue;
    demand.present.push_back(it.run->worker);
    if (const Worker* const worker = inputs_.registry.Find(it.run->worker))
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
  const WorkerEntry& worker = *candidates[placement.front()].worker;
  LOG(INFO) << "task " << ToString(id) << " attempt=" << task.attempt
            << " moves from worker " << task.run->worker << " to " << worker.id
            << ": the first refused it, the gang keeps its attempt";
  task.run = Run{.worker = worker.id,
                 .attempt = task.attempt,
                 .incarnation_start_wall_ms = worker.incarnation_start_wall_ms,
                 .phase = RunPhase::kRecording,
                 .phase_since = now_,
                 .revision = job.revision + 1};
  actions_.RecordAssignment(job);
  return true;
}

}  // namespace quetzalshelf::batch
