#include "servers/batch/job_state.h"

#include <algorithm>
#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/json_reader.h"
#include "core/logging.h"

namespace quetzalshelf::batch {

namespace {

using nlohmann::json;

constexpr JobPhase kPhases[] = {JobPhase::kQueued, JobPhase::kRunning,
                                JobPhase::kComplete, JobPhase::kFailed,
                                JobPhase::kCancelled};

constexpr int kWeakCrashPoints = 1;
constexpr int kStrongCrashPoints = 2;
// Given up after three crashes right after its start, or five in all. A single
// coincidence with the crash of a worker must not fail a job.
constexpr int kFatalCrashPoints = 5;

int CrashPoints(CrashEvidence evidence) {
  switch (evidence) {
    case CrashEvidence::kNone:
      return 0;
    case CrashEvidence::kWeak:
      return kWeakCrashPoints;
    case CrashEvidence::kStrong:
      return kStrongCrashPoints;
  }
  return 0;
}

// Points of a task if all its unclear losses were crashes.
int CrashPointsIfAllCrashed(const TaskProgress& task) {
  int points = task.crash_points;
  for (const UnclearLoss& it : task.unclear_losses)
    points += CrashPoints(it.evidence);
  return points;
}

CrashEvidence EvidenceOf(int crash_points) {
  return crash_points >= kStrongCrashPoints ? CrashEvidence::kStrong
                                            : CrashEvidence::kWeak;
}

// Columns of a task in a state row; tasks without any progress are omitted.
enum TaskColumn {
  kOccurrence,
  kStep,
  kIndex,
  kDone,
  kAttempt,
  kFailures,
  kCheckpoint,
  kWorker,  // Empty when the task has no run.
  kTaskColumns,
  // Left out when there are none.
  kCrashPoints = kTaskColumns,
  kUnclearLosses
};

// Columns of an unclear loss.
enum LossColumn { kLossWorker, kLossIncarnation, kLossPoints, kLossColumns };

// Columns of a gang's failed attempt in a state row.
enum GangColumn { kGangOccurrence, kGangStep, kGangAttempt, kGangColumns };

bool IsReadableGang(const json& row) {
  return row.is_array() && row.size() >= kGangColumns &&
         row[kGangOccurrence].is_number() && row[kGangStep].is_number() &&
         row[kGangAttempt].is_number();
}

bool HasProgress(const TaskProgress& task) {
  return task.done || task.attempt.value() > 0;
}

std::optional<JobPhase> FindPhase(const std::string& name) {
  for (const JobPhase it : kPhases) {
    if (name == ToString(it))
      return it;
  }
  return std::nullopt;
}

bool IsReadableTask(const json& row) {
  return row.is_array() && row.size() >= kTaskColumns &&
         row[kOccurrence].is_number() && row[kStep].is_number() &&
         row[kIndex].is_number() && row[kDone].is_number() &&
         row[kAttempt].is_number() && row[kFailures].is_number() &&
         row[kCheckpoint].is_string() && row[kWorker].is_string();
}

json EncodeLosses(const std::vector<UnclearLoss>& losses) {
  json rows = json::array();
  for (const UnclearLoss& it : losses) {
    rows.push_back({it.worker.value(), it.incarnation_start_wall_ms,
                    CrashPoints(it.evidence)});
  }
  return rows;
}

// Leaves out what cannot be read: a loss that is not known gives no points.
std::vector<UnclearLoss> DecodeLosses(const json& rows, TimePoint now) {
  std::vector<UnclearLoss> losses;
  for (const json& row : rows) {
    const bool readable = row.is_array() && row.size() >= kLossColumns &&
                          row[kLossWorker].is_string() &&
                          row[kLossIncarnation].is_number() &&
                          row[kLossPoints].is_number();
    if (!readable) {
      LOG(WARNING) << "a lost run in a state row cannot be read";
      continue;
    }
    losses.push_back({WorkerId(row[kLossWorker].get<std::string>()),
                      row[kLossIncarnation].get<int64_t>(),
                      EvidenceOf(row[kLossPoints].get<int>()), now});
  }
  return losses;
}

}  // namespace

std::optional<StateSummary> DecodeStateSummary(const std::string& value) {
  const json body = json::parse(value, nullptr, false);
  if (!body.is_object())
    return std::nullopt;
  Findings findings;
  JsonReader reader(body, "", findings);
  const std::optional<JobPhase> phase =
      FindPhase(reader.OptionalString("phase"));
  const WorkspaceId workspace(reader.OptionalString("workspace"));
  if (!phase || !findings.empty())
    return std::nullopt;
  const auto tasks = body.find("tasks");
  const bool over = IsFinalPhase(*phase) && tasks != body.end() &&
                    tasks->is_array() && tasks->empty();
  return StateSummary{workspace, *phase, over};
}

Job::Job(JobRecord record, TimePoint now, Duration age)
    : record_(std::move(record)), accepted_at_(now - age) {
  const Recurrence& recurrence = record_.spec.recurrence;
  occurrences_.resize(static_cast<size_t>(std::max(1, recurrence.occurrences)));
  for (size_t n = 0; n < occurrences_.size(); ++n) {
    OccurrenceProgress& occurrence = occurrences_[n];
    if (recurrence.occurrences > 0) {
      occurrence.due_wall_ms =
          recurrence.first_wall_ms +
          static_cast<int64_t>(n) * recurrence.period.count();
    }
    occurrence.steps.resize(record_.spec.steps.size());
    for (size_t step = 0; step < occurrence.steps.size(); ++step) {
      occurrence.steps[step].tasks.resize(
          static_cast<size_t>(record_.spec.steps[step].tasks));
    }
  }
}

StepProgress* Job::FindStep(const TaskId& task) {
  const auto occurrence = static_cast<size_t>(task.occurrence);
  const auto step = static_cast<size_t>(task.step);
  if (occurrence >= occurrences_.size() ||
      step >= occurrences_[occurrence].steps.size())
    return nullptr;
  return &occurrences_[occurrence].steps[step];
}

TaskProgress* Job::Find(const TaskId& task) {
  return const_cast<TaskProgress*>(std::as_const(*this).Find(task));
}

const TaskProgress* Job::Find(const TaskId& task) const {
  const auto occurrence = static_cast<size_t>(task.occurrence);
  const auto step = static_cast<size_t>(task.step);
  const auto index = static_cast<size_t>(task.index);
  if (occurrence >= occurrences_.size() ||
      step >= occurrences_[occurrence].steps.size() ||
      index >= occurrences_[occurrence].steps[step].tasks.size())
    return nullptr;
  return &occurrences_[occurrence].steps[step].tasks[index];
}

TimePoint Job::WorkStartTime(const TaskId& id) const {
  const auto started = [](const TaskProgress& task) {
    const bool confirmed = task.run && task.run->started_at != TimePoint();
    return confirmed ? task.run->started_at : TimePoint::max();
  };
  if (!spec(id.step).gang)
    return started(*Find(id));
  const StepProgress& step = occurrences_[static_cast<size_t>(id.occurrence)]
                                 .steps[static_cast<size_t>(id.step)];
  TimePoint began;
  for (const TaskProgress& it : step.tasks)
    began = std::max(began, started(it));
  return began;
}

bool Job::IsDone(const StepProgress& step) {
  return std::ranges::all_of(step.tasks, &TaskProgress::done);
}

bool Job::HasRuns(const StepProgress& step) {
  return std::ranges::any_of(
      step.tasks, [](const TaskProgress& it) { return it.run.has_value(); });
}

bool Job::HasStartedRuns(const StepProgress& step) {
  return std::ranges::any_of(step.tasks, [](const TaskProgress& it) {
    return it.run && it.run->phase != RunPhase::kRecording &&
           it.run->phase != RunPhase::kStarting;
  });
}

bool Job::DependenciesDone(const OccurrenceProgress& occurrence,
                           int step) const {
  return std::ranges::all_of(spec(step).depends_on, [&](int earlier) {
    return earlier >= 0 && earlier < step &&
           IsDone(occurrence.steps[static_cast<size_t>(earlier)]);
  });
}

bool Job::ApplyEnd(const TaskId& id,
                   Attempt attempt,
                   EndReason reason,
                   const std::string& checkpoint,
                   const WorkerId& worker) {
  TaskProgress* const task = Find(id);
  if (!task || attempt > task->attempt)
    return false;
  StepProgress& step = *FindStep(id);
  const StepSpec& spec = this->spec(id.step);
  const bool current =
      task->run && task->run->attempt == attempt && task->run->worker == worker;
  if (current)
    task->run.reset();
  if (reason == EndReason::kDone && !spec.long_running) {
    const bool changed = current || !task->done;
    task->done = true;
    if (spec.gang) {
      // The end of one member completes the whole gang.
      for (TaskProgress& it : step.tasks)
        it.done = true;
    }
    KeepFinalPhase();
    return changed;
  }
  if (!current)
    return false;
  if (!checkpoint.empty()) {
    task->checkpoint = checkpoint;
    if (spec.gang) {
      for (TaskProgress& it : step.tasks)
        it.checkpoint = checkpoint;
    }
  }
  if (reason == EndReason::kFailed) {
    task->failed_on.insert(worker);
    if (!spec.gang) {
      ++task->failures;
    } else if (step.failed_attempt < attempt) {
      step.failed_attempt = attempt;
      for (TaskProgress& it : step.tasks)
        ++it.failures;
    }
    KeepFinalPhase();
  }
  return true;
}

bool Job::ApplyLoss(const TaskId& id,
                    Attempt attempt,
                    const LostRun& loss,
                    TimePoint now) {
  TaskProgress* const task = Find(id);
  if (!task || !task->run || task->run->attempt != attempt)
    return false;
  if (loss.has_crashed) {
    task->crash_points += CrashPoints(loss.evidence);
  } else if (loss.evidence != CrashEvidence::kNone) {
    task->unclear_losses.push_back({task->run->worker,
                                    loss.incarnation_start_wall_ms,
                                    loss.evidence, now});
  }
  task->run.reset();
  KeepFinalPhase();
  return true;
}

bool Job::AwaitsUnclearLosses(const TaskProgress& task) {
  if (task.unclear_losses.empty())
    return false;
  return CrashPointsIfAllCrashed(task) >= kFatalCrashPoints;
}

std::optional<CrashEvidence> Job::SettleLosses(
    const TaskId& id,
    bool has_crashed,
    const std::function<bool(const UnclearLoss&)>& is_settled) {
  TaskProgress* const task = Find(id);
  if (!task)
    return std::nullopt;
  CrashEvidence added = CrashEvidence::kNone;
  const auto settled =
      std::erase_if(task->unclear_losses, [&](const UnclearLoss& it) {
        if (!is_settled(it))
          return false;
        if (has_crashed) {
          task->crash_points += CrashPoints(it.evidence);
          added = std::max(added, it.evidence);
        }
        return true;
      });
  if (settled == 0)
    return std::nullopt;
  KeepFinalPhase();
  return added;
}

void Job::SaveCheckpoint(const TaskId& id,
                         const std::string& checkpoint,
                         TimePoint now) {
  TaskProgress* const task = Find(id);
  if (!task || checkpoint.empty() || task->checkpoint == checkpoint)
    return;
  if (!spec(id.step).gang) {
    task->checkpoint = checkpoint;
    if (task->run)
      task->run->saved_at = now;
    return;
  }
  for (TaskProgress& it : FindStep(id)->tasks) {
    it.checkpoint = checkpoint;
    if (it.run)
      it.run->saved_at = now;
  }
}

void Job::ForEachTask(
    const std::function<void(const TaskId&, const TaskProgress&)>& visit)
    const {
  TaskId id{record_.id};
  for (id.occurrence = 0; id.occurrence < static_cast<int>(occurrences_.size());
       ++id.occurrence) {
    const auto& steps = occurrences_[static_cast<size_t>(id.occurrence)].steps;
    for (id.step = 0; id.step < static_cast<int>(steps.size()); ++id.step) {
      const auto& tasks = steps[static_cast<size_t>(id.step)].tasks;
      for (id.index = 0; id.index < static_cast<int>(tasks.size()); ++id.index)
        visit(id, tasks[static_cast<size_t>(id.index)]);
    }
  }
}

bool Job::HasFailed() const {
  bool failed = false;
  ForEachTask([&](const TaskId& id, const TaskProgress& task) {
    const bool out_of_attempts =
        !spec(id.step).long_running && task.failures >= record_.attempts;
    failed = failed || (!task.done && (out_of_attempts ||
                                       task.crash_points >= kFatalCrashPoints));
  });
  return failed;
}

bool Job::HasRecoveredRuns() const {
  bool any = false;
  ForEachTask([&](const TaskId&, const TaskProgress& task) {
    any = any || (task.run && task.run->phase == RunPhase::kRecovered);
  });
  return any;
}

bool Job::HasAnyRun() const {
  bool any = false;
  ForEachTask([&](const TaskId&, const TaskProgress& task) {
    any = any || task.run.has_value();
  });
  return any;
}

std::optional<JobPhase> Job::FindFinalPhase() const {
  if (final_phase_)
    return final_phase_;
  const bool complete =
      std::ranges::all_of(occurrences_, [](const OccurrenceProgress& it) {
        return std::ranges::all_of(it.steps, &Job::IsDone);
      });
  if (complete)
    return JobPhase::kComplete;
  if (HasFailed())
    return JobPhase::kFailed;
  return std::nullopt;
}

JobPhase Job::phase() const {
  if (const auto final_phase = FindFinalPhase())
    return *final_phase;
  return begun_ || HasAnyRun() ? JobPhase::kRunning : JobPhase::kQueued;
}

void Job::Cancel() {
  if (!final_phase_)
    final_phase_ = JobPhase::kCancelled;
}

void Job::KeepFinalPhase() {
  if (const auto present = FindFinalPhase())
    final_phase_ = present;
}

bool Job::IsFinal() const {
  return FindFinalPhase().has_value();
}

Attempt Job::NextAttempt(const StepProgress& step) {
  Attempt highest;
  for (const TaskProgress& it : step.tasks)
    highest = std::max(highest, it.attempt);
  return highest.Next();
}

Attempt Job::HighestAttempt() const {
  Attempt highest;
  ForEachTask([&](const TaskId&, const TaskProgress& task) {
    highest = std::max(highest, task.attempt);
  });
  return highest;
}

Duration Job::ChainEstimate(const Resources& cap) const {
  std::vector<Duration> ends;
  for (const StepSpec& it : record_.spec.steps) {
    Duration start{0};
    for (const int earlier : it.depends_on) {
      if (earlier >= 0 && static_cast<size_t>(earlier) < ends.size())
        start = std::max(start, ends[static_cast<size_t>(earlier)]);
    }
    const int waves = it.gang ? 1 : CountWaves(it.tasks, cap, it.resources);
    ends.push_back(start + it.estimate * waves);
  }
  return ends.empty() ? Duration(0) : *std::ranges::max_element(ends);
}

TimePoint Job::Objective(const Resources& cap) const {
  const double chain = static_cast<double>(ChainEstimate(cap).count());
  return accepted_at_ +
         Duration(static_cast<int64_t>(record_.slack_factor * chain)) +
         record_.target_latency;
}

std::string Job::EncodeState() const {
  json tasks = json::array();
  const bool over = IsFinal() && !HasAnyRun();
  ForEachTask([&](const TaskId& id, const TaskProgress& task) {
    // The phase alone describes a final job without runs.
    if (over || !HasProgress(task))
      return;
    json row = {id.occurrence,
                id.step,
                id.index,
                task.done ? 1 : 0,
                task.attempt.value(),
                task.failures,
                task.checkpoint,
                task.run ? task.run->worker.value() : ""};
    if (task.crash_points > 0 || !task.unclear_losses.empty())
      row.push_back(task.crash_points);
    if (!task.unclear_losses.empty())
      row.push_back(EncodeLosses(task.unclear_losses));
    tasks.push_back(std::move(row));
  });
  json body = {{"workspace", record_.workspace.value()},
               {"phase", ToString(phase())},
               {"begun", begun_},
               {"tasks", std::move(tasks)}};
  if (json gangs = EncodeFailedAttempts(); !over && !gangs.empty())
    body["failed_attempts"] = std::move(gangs);
  const auto dump = [&body] {
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
  };
  if (!HasAnyRun())
    return dump();
  body["processes"] = EncodeProcesses(0);
  std::string value = dump();
  if (value.size() <= kMaxRowBytes)
    return value;
  // A crash under one of the other tasks does not count if the leader changes
  // before it has noted it; a row that is too large would stop the whole job.
  LOG(WARNING) << "state of job " << record_.id << " takes " << value.size()
               << " bytes, more than a row; it leaves out the processes of "
               << "workers without suspect tasks";
  body["processes"] = EncodeProcesses(1);
  return dump();
}

json Job::EncodeProcesses(int least_crash_points) const {
  std::map<std::string, int64_t> processes;
  ForEachTask([&](const TaskId&, const TaskProgress& task) {
    if (!task.run || task.run->incarnation_start_wall_ms == 0 ||
        CrashPointsIfAllCrashed(task) < least_crash_points)
      return;
    int64_t& process = processes[task.run->worker.value()];
    process = std::max(process, task.run->incarnation_start_wall_ms);
  });
  return json(processes);
}

void Job::RestoreProcesses(const json& processes) {
  for (OccurrenceProgress& occurrence : occurrences_) {
    for (StepProgress& step : occurrence.steps) {
      for (TaskProgress& task : step.tasks) {
        if (!task.run)
          continue;
        const auto it = processes.find(task.run->worker.value());
        if (it != processes.end() && it->is_number())
          task.run->incarnation_start_wall_ms = it->get<int64_t>();
      }
    }
  }
}

json Job::EncodeFailedAttempts() const {
  json rows = json::array();
  for (size_t occurrence = 0; occurrence < occurrences_.size(); ++occurrence) {
    const auto& steps = occurrences_[occurrence].steps;
    for (size_t step = 0; step < steps.size(); ++step) {
      const Attempt failed = steps[step].failed_attempt;
      if (failed.value() > 0 && !IsDone(steps[step]))
        rows.push_back({occurrence, step, failed.value()});
    }
  }
  return rows;
}

bool Job::RestoreFailedAttempts(const json& rows) {
  for (const json& row : rows) {
    if (!IsReadableGang(row))
      return false;
    StepProgress* const step =
        FindStep({record_.id, row[kGangOccurrence].get<int>(),
                  row[kGangStep].get<int>(), 0});
    if (!step)
      return false;
    step->failed_attempt = Attempt(row[kGangAttempt].get<uint64_t>());
  }
  return true;
}

bool Job::RestoreState(const std::string& value, TimePoint now) {
  const json body = json::parse(value, nullptr, false);
  Findings findings;
  JsonReader reader(body, "", findings);
  begun_ = reader.OptionalBool("begun", false);
  if (const auto phase = FindPhase(reader.OptionalString("phase"));
      phase && IsFinalPhase(*phase))
    final_phase_ = phase;
  const json& tasks = reader.RequireArray("tasks");
  if (!findings.empty()) {
    LOG(ERROR) << "state of job " << record_.id << ": " << findings.ToString();
    return false;
  }
  for (const json& row : tasks) {
    if (!IsReadableTask(row))
      return false;
    const TaskId id{record_.id, row[kOccurrence].get<int>(),
                    row[kStep].get<int>(), row[kIndex].get<int>()};
    TaskProgress* const task = Find(id);
    if (!task)
      return false;
    task->done = row[kDone].get<int>() != 0;
    task->attempt = Attempt(row[kAttempt].get<uint64_t>());
    task->failures = row[kFailures].get<int>();
    task->checkpoint = row[kCheckpoint].get<std::string>();
    if (row.size() > kCrashPoints && row[kCrashPoints].is_number())
      task->crash_points = row[kCrashPoints].get<int>();
    if (row.size() > kUnclearLosses && row[kUnclearLosses].is_array())
      task->unclear_losses = DecodeLosses(row[kUnclearLosses], now);
    const WorkerId worker(row[kWorker].get<std::string>());
    if (!worker.empty()) {
      task->run = Run{.worker = worker,
                      .attempt = task->attempt,
                      .phase = RunPhase::kRecovered,
                      .phase_since = now,
                      .ordered = true,
                      .ordered_at = now,
                      .started_at = now,
                      .saved_at = now};
    }
  }
  // Rows of former versions lack it.
  const auto failed_attempts = body.find("failed_attempts");
  if (failed_attempts != body.end() && !RestoreFailedAttempts(*failed_attempts))
    return false;
  if (const auto processes = body.find("processes");
      processes != body.end() && processes->is_object())
    RestoreProcesses(*processes);
  KeepFinalPhase();
  return true;
}

}  // namespace quetzalshelf::batch
