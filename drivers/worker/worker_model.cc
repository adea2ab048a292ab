#include "drivers/worker/worker_model.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "core/json_reader.h"

namespace quetzalshelf {

namespace {

constexpr int kFullSpeed = 100;

// What a task's payload says; a payload that is not such JSON says nothing.
struct TaskPayload {
  std::optional<Duration> run_time;
  bool fails = false;
  std::string result = "done";
  std::optional<Accelerators> usage;
};

// Whether writing the JSON of `text` could nest too deep, since that recurses.
bool IsDeep(const std::string& text) {
  constexpr int kMaxBrackets = 1'000;
  return std::ranges::count_if(
             text, [](char c) { return c == '[' || c == '{'; }) > kMaxBrackets;
}

TaskPayload ReadPayload(const std::string& text) {
  TaskPayload payload;
  Findings ignored;
  const std::optional<Json> json = ParseJson(text, ignored);
  if (!json || !json->is_object())
    return payload;
  constexpr int64_t kMaxRunMillis = int64_t{366} * 24 * 3'600'000;
  JsonReader reader(*json, "", ignored);
  if (reader.Has("run_ms"))
    payload.run_time = Duration(reader.RequireInt("run_ms", 0, kMaxRunMillis));
  payload.fails = reader.OptionalBool("fail", false);
  const auto result = json->find("result");
  if (result != json->end() && result->is_string())
    payload.result = result->get<std::string>();
  else if (result != json->end() && !IsDeep(text))
    payload.result = result->dump();
  if (reader.Has("accelerators_used")) {
    payload.usage =
        Accelerators(reader.RequireInt("accelerators_used", 0, kFullSpeed));
  }
  return payload;
}

bool IsActive(TaskState state) {
  return state == TaskState::kPrepared || state == TaskState::kRunning ||
         state == TaskState::kCheckpointing;
}

}  // namespace

struct WorkerModel::Event {
  // In the order in which events of one time are carried out.
  enum class Kind {
    kTaskEnd,
    kCheckpointEnd,
    kUsage,
    kPreparedLapse,
    kLeaseLapse,
  };

  TimePoint time;
  Kind kind = Kind::kTaskEnd;
  GangKey gang;
  size_t task = 0;  // Position within the gang.

  friend bool operator<(const Event& a, const Event& b) {
    return std::tie(a.time, a.kind, a.gang, a.task) <
           std::tie(b.time, b.kind, b.gang, b.task);
  }
};

WorkerModel::WorkerModel(WorkerModelOptions options)
    : options_(std::move(options)) {}

absl::StatusOr<SyncReply> WorkerModel::Sync(const SyncRequest& request,
                                            TimePoint now) {
  Advance(now);
  if (absl::Status status = CheckEpoch(request.region, request.epoch);
      !status.ok())
    return status;
  leases_[request.region] = now + request.lease;
  const bool known = request.incarnation == options_.incarnation;
  const uint64_t acknowledged = known ? request.acknowledged : 0;
  DropEnded(acknowledged);
  SyncReply reply;
  reply.incarnation = options_.incarnation;
  reply.clock = now + options_.clock_offset;
  reply.sequence = sequence_;
  for (const auto& [key, gang] : gangs_) {
    if (acknowledged == 0)
      reply.held.push_back(key);
    for (const Task& it : gang.tasks) {
      if (it.changed > acknowledged)
        reply.reports.push_back(ReportOf(key, gang, it, now));
    }
  }
  return reply;
}

absl::Status WorkerModel::Prepare(const PrepareRequest& request,
                                  TimePoint now) {
  Advance(now);
  if (absl::Status status = CheckEpoch(request.region, request.epoch);
      !status.ok())
    return status;
  if (absl::Status status =
          CheckStart(request.incarnation, request.deadline, now);
      !status.ok())
    return status;
  if (absl::Status status = CheckAttempt(request.gang); !status.ok())
    return status;
  std::set<int> indices;
  Resources wanted;
  for (const TaskAssignment& it : request.tasks) {
    indices.insert(it.task);
    wanted += it.resources;
  }
  if (indices.empty() || indices.size() != request.tasks.size())
    return absl::FailedPreconditionError("no tasks, or one is named twice");
  if (const auto held = gangs_.find(request.gang); held != gangs_.end()) {
    const std::vector<Task>& tasks = held->second.tasks;
    const bool same = tasks.size() == indices.size() &&
                      std::ranges::all_of(tasks, [&](const Task& task) {
                        return indices.contains(task.index);
                      });
    return same ? absl::OkStatus()
                : absl::FailedPreconditionError(
                      "the attempt is held with other tasks");
  }
  const auto lease = leases_.find(request.region);
  if (lease == leases_.end() || lease->second <= now)
    return absl::FailedPreconditionError("the worker has no lease");
  StopOlderAttempts(request.gang, now);
  if (faults_.refuse_starts || !(used() + wanted).FitsIn(options_.capacity))
    return absl::ResourceExhaustedError("no free slots");
  gangs_[request.gang] = MakeGang(request, now);
  return absl::OkStatus();
}

absl::Status WorkerModel::Run(const RunRequest& request, TimePoint now) {
  Advance(now);
  if (absl::Status status = CheckEpoch(request.region, request.epoch);
      !status.ok())
    return status;
  if (absl::Status status =
          CheckStart(request.incarnation, request.deadline, now);
      !status.ok())
    return status;
  if (absl::Status status = CheckAttempt(request.gang); !status.ok())
    return status;
  const auto it = gangs_.find(request.gang);
  if (it == gangs_.end())
    return absl::FailedPreconditionError("the attempt is not prepared");
  for (Task& task : it->second.tasks) {
    if (task.state != TaskState::kPrepared)
      continue;
    task.settled = now;
    task.usage_due = now + options_.usage_lag;
    Change(task, TaskState::kRunning);
    if (faults_.fail_tasks)
      FinishTask(it->second, task, now);
  }
  return absl::OkStatus();
}

absl::Status WorkerModel::Act(const GangRequest& request, TimePoint now) {
  Advance(now);
  if (absl::Status status = CheckEpoch(request.region, request.epoch);
      !status.ok())
    return status;
  const auto it = gangs_.find(request.gang);
  if (request.action == GangAction::kStop) {
    if (it != gangs_.end())
      StopGang(it->second, now);
    RefuseAttempt(request.gang);
    return absl::OkStatus();
  }
  if (it == gangs_.end())
    return absl::FailedPreconditionError("the attempt is not held");
  Gang& gang = it->second;
  for (Task& task : gang.tasks) {
    if (task.state != TaskState::kRunning)
      continue;
    Settle(gang, task, now);
    if (request.action == GangAction::kCheckpoint) {
      task.checkpoint_end = now + options_.checkpoint_time;
      Change(task, TaskState::kCheckpointing);
    }
  }
  if (request.action == GangAction::kThrottle)
    gang.percent = std::clamp(request.throttle_percent, 0, kFullSpeed);
  return absl::OkStatus();
}

void WorkerModel::Advance(TimePoint now) {
  while (true) {
    std::optional<Event> first;
    for (auto& [key, gang] : gangs_) {
      const std::optional<Event> event = NextEvent(key, gang);
      if (event && event->time <= now && (!first || *event < *first))
        first = event;
    }
    if (!first)
      return;
    Carry(*first);
  }
}

std::vector<TaskReport> WorkerModel::Tasks(TimePoint now) {
  Advance(now);
  std::vector<TaskReport> reports;
  for (const auto& [key, gang] : gangs_) {
    for (const Task& it : gang.tasks)
      reports.push_back(ReportOf(key, gang, it, now));
  }
  return reports;
}

Resources WorkerModel::used() const {
  Resources sum;
  for (const auto& [key, gang] : gangs_) {
    for (const Task& it : gang.tasks) {
      if (IsActive(it.state))
        sum += it.resources;
    }
  }
  return sum;
}

absl::Status WorkerModel::CheckEpoch(const RegionId& region, Epoch epoch) {
  Epoch& largest = epochs_[region];
  if (epoch < largest) {
    return absl::FailedPreconditionError(
        "epoch " + std::to_string(epoch.value()) + " is below " +
        std::to_string(largest.value()));
  }
  largest = epoch;
  return absl::OkStatus();
}

absl::Status WorkerModel::CheckStart(const IncarnationId& incarnation,
                                     TimePoint deadline,
                                     TimePoint now) const {
  if (incarnation != options_.incarnation)
    return absl::FailedPreconditionError("the worker has another incarnation");
  if (now + options_.clock_offset > deadline)
    return absl::FailedPreconditionError("the start deadline has passed");
  return absl::OkStatus();
}

absl::Status WorkerModel::CheckAttempt(const GangKey& gang) const {
  const auto it = refused_.find(gang.job);
  if (it != refused_.end() && gang.attempt <= it->second)
    return absl::FailedPreconditionError("the attempt was stopped before");
  for (const auto& [key, held] : gangs_) {
    if (key.job == gang.job && key.attempt > gang.attempt)
      return absl::FailedPreconditionError("a newer attempt is held");
  }
  return absl::OkStatus();
}

WorkerModel::Gang WorkerModel::MakeGang(const PrepareRequest& request,
                                        TimePoint now) const {
  TaskPayload payload = ReadPayload(request.payload);
  const Duration declared = request.run_time > Duration{0}
                                ? request.run_time
                                : options_.default_run_time;
  Gang gang;
  gang.region = request.region;
  gang.prepared_until =
      request.deadline - options_.clock_offset + kPreparedGrace;
  gang.run_time = payload.run_time.value_or(declared);
  gang.fails = payload.fails;
  gang.result = std::move(payload.result);
  gang.usage = payload.usage;
  for (const TaskAssignment& it : request.tasks) {
    Task task;
    task.index = it.task;
    task.resources = it.resources;
    task.progress = request.resume_from;
    task.checkpointed = request.resume_from;
    task.settled = now;
    gang.tasks.push_back(std::move(task));
  }
  return gang;
}

std::optional<WorkerModel::Event> WorkerModel::NextEvent(const GangKey& key,
                                                         Gang& gang) {
  std::optional<Event> next;
  const auto consider = [&](TimePoint time, Event::Kind kind, size_t task) {
    const Event event{time, kind, key, task};
    if (!next || event < *next)
      next = event;
  };
  for (size_t i = 0; i < gang.tasks.size(); ++i) {
    const Task& task = gang.tasks[i];
    if (!IsActive(task.state))
      continue;
    consider(leases_[gang.region], Event::Kind::kLeaseLapse, i);
    if (task.state == TaskState::kPrepared) {
      consider(gang.prepared_until, Event::Kind::kPreparedLapse, i);
    } else if (task.state == TaskState::kCheckpointing) {
      consider(task.checkpoint_end, Event::Kind::kCheckpointEnd, i);
    } else if (gang.percent > 0) {
      const int64_t left =
          std::max<int64_t>((gang.run_time - task.progress).count(), 0);
      const int64_t wait =
          (left * kFullSpeed + gang.percent - 1) / gang.percent;
      consider(task.settled + Duration(wait), Event::Kind::kTaskEnd, i);
    }
    if (task.usage_due)
      consider(*task.usage_due, Event::Kind::kUsage, i);
  }
  return next;
}

void WorkerModel::Carry(const Event& event) {
  Gang& gang = gangs_.at(event.gang);
  Task& task = gang.tasks[event.task];
  switch (event.kind) {
    case Event::Kind::kTaskEnd:
      FinishTask(gang, task, event.time);
      return;
    case Event::Kind::kCheckpointEnd:
      task.checkpointed = task.progress;
      task.settled = event.time;
      Change(task, TaskState::kRunning);
      return;
    case Event::Kind::kUsage:
      task.usage_due.reset();
      task.usage = gang.usage.value_or(task.resources.accelerators);
      Change(task, task.state);
      return;
    case Event::Kind::kPreparedLapse:
    case Event::Kind::kLeaseLapse:
      StopGang(gang, event.time);
      RefuseAttempt(event.gang);
      return;
  }
}

void WorkerModel::FinishTask(Gang& gang, Task& task, TimePoint now) {
  Settle(gang, task, now);
  if (faults_.fail_tasks || gang.fails) {
    task.error = faults_.fail_tasks ? "the worker fails every task"
                                    : "the task failed as its payload says";
    Change(task, TaskState::kFailed);
    return;
  }
  task.progress = std::max(task.progress, gang.run_time);
  task.result = gang.result;
  Change(task, TaskState::kFinished);
}

void WorkerModel::StopGang(Gang& gang, TimePoint now) {
  for (Task& task : gang.tasks) {
    if (!IsActive(task.state))
      continue;
    Settle(gang, task, now);
    Change(task, TaskState::kStopped);
  }
}

void WorkerModel::StopOlderAttempts(const GangKey& key, TimePoint now) {
  for (auto& [held, gang] : gangs_) {
    if (held.job != key.job || held.attempt >= key.attempt)
      continue;
    StopGang(gang, now);
    RefuseAttempt(held);
  }
}

void WorkerModel::Settle(const Gang& gang, Task& task, TimePoint now) const {
  if (task.state == TaskState::kRunning) {
    task.progress += (now - task.settled) * gang.percent / kFullSpeed;
    task.progress = std::min(task.progress, gang.run_time);
  }
  task.settled = now;
}

void WorkerModel::Change(Task& task, TaskState state) {
  task.state = state;
  task.changed = ++sequence_;
  if (!IsActive(state))
    task.usage_due.reset();
}

TaskReport WorkerModel::ReportOf(const GangKey& key,
                                 const Gang& gang,
                                 Task task,
                                 TimePoint now) const {
  Settle(gang, task, now);
  TaskReport report;
  report.gang = key;
  report.task = task.index;
  report.state = task.state;
  report.progress = task.progress;
  report.checkpointed = task.checkpointed;
  report.accelerators_used = task.usage;
  report.result = std::move(task.result);
  report.error = std::move(task.error);
  return report;
}

void WorkerModel::DropEnded(uint64_t acknowledged) {
  std::vector<GangKey> ended;  // Acknowledged and not yet stopped.
  for (auto it = gangs_.begin(); it != gangs_.end();) {
    const auto& [key, gang] = *it;
    const bool over = std::ranges::all_of(gang.tasks, [&](const Task& task) {
      return !IsActive(task.state) && task.changed <= acknowledged;
    });
    if (over && !CheckAttempt(key).ok()) {
      it = gangs_.erase(it);
      continue;
    }
    if (over)
      ended.push_back(key);
    ++it;
  }
  if (ended.size() <= kMaxEndedGangs)
    return;
  std::ranges::sort(ended, {}, [&](const GangKey& key) {
    return gangs_.at(key).tasks.front().changed;
  });
  ended.resize(ended.size() - kMaxEndedGangs);
  for (const GangKey& key : ended) {
    RefuseAttempt(key);
    gangs_.erase(key);
  }
}

void WorkerModel::RefuseAttempt(const GangKey& key) {
  Attempt& largest = refused_[key.job];
  largest = std::max(largest, key.attempt);
}

}  // namespace quetzalshelf
