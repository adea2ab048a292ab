#include "tests/batch/stand_watch.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace quetzalshelf::batch {

bool StandWatch::IsStepDone(const JobId& id,
                            const JobSpec& spec,
                            int step) const {
  const StepSpec& it = spec.steps[static_cast<size_t>(step)];
  int done = 0;
  for (int n = 0; n < it.tasks; ++n)
    done += fixture_.workers.IsDone({id, 0, step, n}) ? 1 : 0;
  // One end of a gang stands for all.
  return done >= (it.gang ? 1 : it.tasks);
}

const StepSpec* StandWatch::FindWaitingStep(const JobId& id,
                                            const JobSpec& spec) const {
  const StepSpec* waiting = nullptr;
  for (int step = 0; step < std::ssize(spec.steps); ++step) {
    const StepSpec& it = spec.steps[static_cast<size_t>(step)];
    for (int n = 0; n < it.tasks; ++n) {
      if (fixture_.workers.IsRunning({id, 0, step, n}))
        return nullptr;
    }
    const bool ready = std::ranges::all_of(
        it.depends_on, [&](int n) { return IsStepDone(id, spec, n); });
    if (!waiting && ready && !IsStepDone(id, spec, step))
      waiting = &it;
  }
  return waiting;
}

std::map<WorkerId, Resources> StandWatch::CountUse() const {
  std::map<WorkerId, Resources> used;
  double cores = 0;
  double capacity = 0;
  for (const WorkerEntry& it : fixture_.listed) {
    used[it.id] = Resources();
    capacity += WeighCores(it.capacity);
  }
  for (const TaskId& it : fixture_.workers.RunningTasks()) {
    const auto job = jobs_.find(it.job);
    if (job == jobs_.end())
      continue;
    const Resources& each =
        job->second.spec.steps[static_cast<size_t>(it.step)].resources;
    used[fixture_.workers.HolderOf(it)] += each;
    cores += WeighCores(each);
  }
  if (cores * 2 >= capacity)
    used.clear();
  return used;
}

bool StandWatch::IsOver(const JobId& id) const {
  const std::optional<StoreRow> row = fixture_.store.Find(StateRowKey(id));
  const auto state = row ? DecodeStateSummary(row->value) : std::nullopt;
  return state && state->phase != JobPhase::kQueued &&
         state->phase != JobPhase::kRunning;
}

bool StandWatch::HasRoomTwice(const StepSpec& step,
                              const std::map<WorkerId, Resources>& used) const {
  const int twice = 2 * (step.gang ? step.tasks : 1);
  const Demand demand = MakeDemand(step, twice);
  int fits = 0;
  for (const WorkerEntry& it : fixture_.listed)
    fits += CountFits(it, it.capacity - used.at(it.id), demand);
  return fits >= twice;
}

void StandWatch::Observe() {
  const TimePoint now = fixture_.runner.Now();
  const std::map<WorkerId, Resources> used = CountUse();
  for (auto& [id, job] : jobs_) {
    const StepSpec* const step =
        used.empty() ? nullptr : FindWaitingStep(id, job.spec);
    if (!step || !HasRoomTwice(*step, used)) {
      job.standing_since = TimePoint();
      continue;
    }
    if (job.standing_since == TimePoint())
      job.standing_since = now;
    const Duration stood = now - job.standing_since;
    if (stood <= kLongestStand || job.reported || IsOver(id))
      continue;
    job.reported = true;
    violations_.push_back(id.value() + " stands still beside idle workers at " +
                          std::to_string(now.time_since_epoch().count()) +
                          " ms: tasks=" + std::to_string(step->tasks) +
                          " gang=" + std::to_string(step->gang) +
                          " rack_local=" + std::to_string(step->rack_local) +
                          " label=" + step->required_label + " accelerators=" +
                          std::to_string(step->resources.accelerators.value()));
  }
}

}  // namespace quetzalshelf::batch
