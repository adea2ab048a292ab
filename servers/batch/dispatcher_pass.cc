#include <algorithm>
#include <tuple>
#include <utility>

#include "core/logging.h"
#include "servers/batch/dispatcher.h"
#include "servers/batch/victims.h"

namespace quetzalshelf::batch {

namespace {

// A GPU counts as this many cores when lost work is weighed, as the platform
// prices it.
constexpr double kCoresPerAccelerator = 8;
// Runs of a more important queue cost this much more to stop, for each step of
// priority.
constexpr double kPriorityWeight = 4;
// Added to each group of victims, in core-seconds: restarting has a price of
// its own.
constexpr double kRestartCost = 10;
// Reserved workers are given up after this time; stopping takes under 1 s.
constexpr Duration kReservationLimit{2'500};
// A task that is due by the wall clock starts this late, since the clocks of
// VMs differ a little.
constexpr int64_t kDueMarginMs = 30;

}  // namespace

// Waiting work that is placed together.
struct Dispatcher::Unit {
  Job* job = nullptr;
  TaskId id;  // The index is not used.
  StepProgress* step = nullptr;
  const StepSpec* spec = nullptr;
  bool guaranteed = false;
  bool late = false;  // Past any credit for being on time.
  TimePoint objective;
  std::vector<int> waiting;  // Indexes of the tasks to place.

  auto Rank() const {
    return std::tuple(job->record().priority, !guaranteed, late, objective, id);
  }
};

void Dispatcher::Pass(TimePoint now) {
  CountUse();
  std::vector<Unit> units = CollectUnits(now);
  std::ranges::sort(units, {}, &Unit::Rank);
  for (Unit& it : units)
    StartUnit(it, now);
}

void Dispatcher::CountUse() {
  for (auto& [id, worker] : book_.workers())
    worker.used = Resources();
  for (const JobId& id : live_) {
    Job& job = *jobs_.at(id);
    for (OccurrenceProgress& occurrence : job.occurrences()) {
      for (size_t n = 0; n < occurrence.steps.size(); ++n) {
        StepProgress& step = occurrence.steps[n];
        const Resources each =
            MakeDemand(job.spec(static_cast<int>(n)), 1).each;
        for (const TaskProgress& task : step.tasks) {
          if (!task.run)
            continue;
          if (Worker* const worker = book_.Find(task.run->worker))
            worker->used += each;
        }
        for (const WorkerId& reserved : step.reserved) {
          if (Worker* const worker = book_.Find(reserved))
            worker->used += each;
        }
      }
    }
  }
}

std::set<JobId> Dispatcher::GuaranteedJobs() const {
  // Jobs of priority 0 in the order in which they came, as far as the
  // guarantee of their workspace reaches.
  std::vector<const Job*> urgent;
  for (const JobId& id : live_) {
    const Job& job = *jobs_.at(id);
    if (job.record().priority == 0 && !job.IsFinal())
      urgent.push_back(&job);
  }
  std::ranges::sort(urgent, {}, &Job::accepted_at);
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

std::vector<Dispatcher::Unit> Dispatcher::CollectUnits(TimePoint now) {
  const std::set<JobId> guaranteed = GuaranteedJobs();
  const int64_t wall = clock_.WallMillis() - kDueMarginMs;
  std::vector<Unit> units;
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
          step.ready_since = now;
        if (now < step.retry_at) {
          pass_due_ = true;
          continue;
        }
        Unit unit{&job, id, &step, &job.spec(id.step)};
        unit.guaranteed = guaranteed.contains(job_id);
        unit.objective = objective;
        unit.late = now > objective;
        for (size_t n = 0; n < step.tasks.size(); ++n) {
          if (!step.tasks[n].done && !step.tasks[n].run)
            unit.waiting.push_back(static_cast<int>(n));
        }
        // A gang waits until all runs of its last attempt are gone.
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

std::vector<Candidate> Dispatcher::MakeCandidates(const ServiceName& service,
                                                  TimePoint now) {
  std::vector<Candidate> candidates;
  for (auto& [id, worker] : book_.workers()) {
    if (worker.entry.service != service || !worker.IsUsable(now) ||
        site_.IsEvacuated(worker.entry.domain))
      continue;
    candidates.push_back({&worker.entry, worker.entry.capacity - worker.used,
                          worker.Penalty(now)});
  }
  return candidates;
}

void Dispatcher::StartUnit(Unit& unit, TimePoint now) {
  if (!unit.step->reserved.empty() && TryReserved(unit, now))
    return;
  const std::vector<Candidate> candidates =
      MakeCandidates(unit.job->record().service, now);
  Demand demand = MakeDemand(*unit.spec, static_cast<int>(unit.waiting.size()));
  for (const TaskProgress& it : unit.step->tasks) {
    if (it.run)
      demand.present.push_back(it.run->worker);
    demand.avoid.insert(it.failed_on.begin(), it.failed_on.end());
  }
  const auto usable =
      std::ranges::count_if(candidates, [&](const Candidate& it) {
        return !demand.avoid.contains(it.worker->id);
      });
  // Better a worker that failed before than none.
  if (usable * 2 < static_cast<int64_t>(candidates.size()))
    demand.avoid.clear();
  const auto workers_of = [&](const Placement& placement) {
    std::vector<WorkerId> workers;
    for (const size_t n : placement)
      workers.push_back(candidates[n].worker->id);
    return workers;
  };
  if (!unit.spec->gang) {
    const Placement placement = PlaceTasks(candidates, demand);
    if (!placement.empty())
      Assign(unit, workers_of(placement), now);
    return;
  }
  const bool allow_spread = !FitsSomeRack(candidates, demand);
  if (const auto placement = PlaceGang(candidates, demand, allow_spread)) {
    Assign(unit, workers_of(*placement), now);
    return;
  }
  if (unit.job->record().priority == 0)
    TryReclaim(unit, candidates, demand, now);
}

bool Dispatcher::TryReserved(Unit& unit, TimePoint now) {
  StepProgress& step = *unit.step;
  const Resources each = MakeDemand(*unit.spec, 1).each;
  bool usable = true;
  bool fits = true;
  for (const WorkerId& id : step.reserved) {
    const Worker* const worker = book_.Find(id);
    usable = usable && worker && worker->IsUsable(now) &&
             !site_.IsEvacuated(worker->entry.domain);
    // The reservation itself counts as used.
    fits = fits && worker && worker->used.FitsIn(worker->entry.capacity);
  }
  if (usable && fits) {
    const std::vector<WorkerId> workers = std::exchange(step.reserved, {});
    for (const WorkerId& id : workers)
      book_.Find(id)->used -= each;
    Assign(unit, workers, now);
    return true;
  }
  if (usable && now - step.reserved_at <= kReservationLimit)
    return true;
  LOG(INFO) << "reservation of step " << ToString(unit.id)
            << " given up: usable=" << usable;
  for (const WorkerId& id : std::exchange(step.reserved, {})) {
    if (Worker* const worker = book_.Find(id))
      worker->used -= each;
  }
  return false;
}

bool Dispatcher::TryReclaim(Unit& unit,
                            const std::vector<Candidate>& candidates,
                            const Demand& demand,
                            TimePoint now) {
  std::map<WorkerId, size_t> index;
  for (size_t n = 0; n < candidates.size(); ++n)
    index[candidates[n].worker->id] = n;
  const std::set<JobId> guaranteed = GuaranteedJobs();
  std::vector<VictimGroup> groups;
  std::vector<std::pair<Job*, TaskId>> owners;
  for (const JobId& job_id : live_) {
    Job& job = *jobs_.at(job_id);
    const int priority = job.record().priority;
    // A guarantee reaches as far as the unguaranteed runs of its own priority.
    const bool allowed =
        priority > unit.job->record().priority ||
        (unit.guaranteed && priority == unit.job->record().priority &&
         !guaranteed.contains(job_id));
    if (!allowed || job.IsFinal())
      continue;
    TaskId id{job_id};
    for (OccurrenceProgress& occurrence : job.occurrences()) {
      id.step = -1;
      for (StepProgress& step : occurrence.steps) {
        ++id.step;
        const StepSpec& spec = job.spec(id.step);
        const Resources each = MakeDemand(spec, 1).each;
        const double cores = static_cast<double>(each.cpu.value()) / 1000.0 +
                             kCoresPerAccelerator *
                                 static_cast<double>(each.accelerators.value());
        double weight = 1;
        for (int n = priority; n < 2; ++n)
          weight *= kPriorityWeight;
        VictimGroup gang;
        for (size_t n = 0; n < step.tasks.size(); ++n) {
          const TaskProgress& task = step.tasks[n];
          if (!task.run || task.run->phase == RunPhase::kStopping)
            continue;
          const auto at = index.find(task.run->worker);
          const Run& run = *task.run;
          const TimePoint since =
              spec.checkpointing ? run.saved_at : run.started_at;
          const double lost_s =
              run.phase == RunPhase::kRunning
                  ? static_cast<double>((now - since).count()) / 1000.0
                  : 0;
          const double cost = weight * (cores * lost_s + kRestartCost);
          if (spec.gang) {
            gang.cost += cost;
            if (at != index.end())
              gang.members.push_back({at->second, each});
            continue;
          }
          if (at == index.end())
            continue;
          VictimGroup single;
          single.cost = cost;
          single.members.push_back({at->second, each});
          groups.push_back(std::move(single));
          id.index = static_cast<int>(n);
          owners.emplace_back(&job, id);
        }
        if (!gang.members.empty()) {
          groups.push_back(std::move(gang));
          id.index = 0;
          owners.emplace_back(&job, id);
        }
      }
      ++id.occurrence;
    }
  }
  const bool allow_spread =
      unit.guaranteed || !FitsSomeRack(candidates, demand);
  const auto plan = PlanReclaim(candidates, groups, demand, allow_spread);
  if (!plan)
    return false;
  reclaims_.Add();
  LOG(INFO) << "step " << ToString(unit.id)
            << " reclaims workers: groups=" << plan->victims.size()
            << " cost=" << plan->cost << " guaranteed=" << unit.guaranteed;
  for (const size_t group : plan->victims) {
    auto& [job, id] = owners[group];
    if (job->spec(id.step).gang) {
      StopStep(*job, *job->FindStep(id), now);
      continue;
    }
    TaskProgress& task = *job->Find(id);
    if (task.run->phase == RunPhase::kRecording) {
      task.run.reset();
      Changed(*job);
    } else {
      RequestStop(*task.run, now);
    }
  }
  unit.step->reserved.clear();
  unit.step->reserved_at = now;
  for (const size_t n : plan->placement) {
    const WorkerId& id = candidates[n].worker->id;
    unit.step->reserved.push_back(id);
    book_.Find(id)->used += demand.each;
  }
  pass_due_ = true;
  return true;
}

void Dispatcher::Assign(Unit& unit,
                        const std::vector<WorkerId>& workers,
                        TimePoint now) {
  Job& job = *unit.job;
  StepProgress& step = *unit.step;
  const Resources each = MakeDemand(*unit.spec, 1).each;
  const Attempt gang_attempt = Job::NextAttempt(step);
  for (size_t n = 0; n < workers.size(); ++n) {
    TaskProgress& task = step.tasks[static_cast<size_t>(unit.waiting[n])];
    task.attempt = unit.spec->gang ? gang_attempt : task.attempt.Next();
    task.run = Run{.worker = workers[n],
                   .attempt = task.attempt,
                   .phase = RunPhase::kRecording,
                   .phase_since = now,
                   .revision = job.revision + 1};
    book_.Find(workers[n])->used += each;
  }
  job.set_begun();
  Changed(job);
  pass_due_ = pass_due_ || !step.reserved.empty();
}

}  // namespace quetzalshelf::batch
