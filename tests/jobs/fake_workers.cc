#include "tests/jobs/fake_workers.h"

#include <algorithm>
#include <utility>

namespace quetzalshelf::jobs {

FakeWorkers::FakeWorkers(ManualTaskRunner& runner, uint64_t seed)
    : runner_(runner), random_(seed) {}

void FakeWorkers::Add(const WorkerId& worker) {
  models_[worker].clock_offset = Duration(random_.Between(0, 1'000'000));
}

void FakeWorkers::Kill(const WorkerId& worker) {
  Model& model = models_.at(worker);
  for (auto& [key, gang] : model.gangs)
    End(worker, model, gang, TaskState::kStopped);
  model.alive = false;
}

void FakeWorkers::Restart(const WorkerId& worker) {
  Kill(worker);
  const Model& old = models_.at(worker);
  models_[worker] = {.incarnation = old.incarnation + 1,
                     .clock_offset = Duration(random_.Between(0, 1'000'000))};
}

void FakeWorkers::Cut(const WorkerId& worker, bool cut) {
  models_.at(worker).cut = cut;
}

TimePoint FakeWorkers::ClockOf(const Model& model) const {
  return runner_.Now() + model.clock_offset;
}

// Carries one call to the worker and the answer back, with faults.
template <typename Answer, typename Handler>
void FakeWorkers::Deliver(const char* kind,
                          const WorkerId& worker,
                          Handler handler,
                          std::function<void(Answer)> done) {
  ++messages;
  const bool lost =
      random_.Chance(faults.lose_request) || (filter && !filter(kind, worker));
  const bool answer_lost = random_.Chance(faults.lose_answer);
  const bool twice = random_.Chance(faults.duplicate);
  Duration delay{1};
  if (random_.Chance(faults.delay))
    delay += Duration(random_.Between(0, faults.max_delay.count()));
  const Duration timeout = faults.timeout;
  if (lost) {
    runner_.PostAfter(timeout, [done] {
      done(absl::DeadlineExceededError("no answer from the worker"));
    });
    return;
  }
  runner_.PostAfter(delay, [this, worker, handler, done, answer_lost, timeout] {
    auto it = models_.find(worker);
    if (it == models_.end() || !it->second.alive || it->second.cut) {
      runner_.PostAfter(Duration(1), [done] {
        done(absl::UnavailableError("the worker is not reached"));
      });
      return;
    }
    Expire(worker, it->second);
    Answer answer = handler(it->second);
    if (answer_lost)
      answer = absl::DeadlineExceededError("no answer from the worker");
    runner_.PostAfter(answer_lost ? timeout : Duration(1),
                      [done, answer] { done(answer); });
  });
  if (twice) {
    runner_.PostAfter(delay * 2, [this, worker, handler] {
      Model& model = models_.at(worker);
      if (!model.alive || model.cut)
        return;
      Expire(worker, model);
      static_cast<void>(handler(model));
    });
  }
}

absl::Status FakeWorkers::CheckEpoch(Model& model, Epoch epoch) {
  if (epoch < model.epoch)
    return absl::FailedPreconditionError("an older epoch");
  model.epoch = epoch;
  return absl::OkStatus();
}

absl::Status FakeWorkers::CheckStart(Model& model,
                                     const IncarnationId& incarnation,
                                     TimePoint deadline) {
  if (incarnation.value() != std::to_string(model.incarnation))
    return absl::FailedPreconditionError("another incarnation");
  if (ClockOf(model) > deadline)
    return absl::FailedPreconditionError("past the deadline");
  return absl::OkStatus();
}

void FakeWorkers::Sync(const WorkerAddress& worker,
                       const SyncRequest& request,
                       SyncCallback done) {
  const auto handler = [this,
                        request](Model& model) -> absl::StatusOr<SyncReply> {
    if (absl::Status status = CheckEpoch(model, request.epoch); !status.ok())
      return status;
    SyncReply reply{
        .incarnation = IncarnationId(std::to_string(model.incarnation)),
        .clock = ClockOf(model),
        .sequence = model.sequence};
    const uint64_t acknowledged =
        request.incarnation == reply.incarnation ? request.acknowledged : 0;
    for (auto& [key, gang] : model.gangs) {
      gang.lease_end = runner_.Now() + request.lease;
      if (acknowledged == 0)
        reply.held.push_back(key);
    }
    for (const auto& [key, report] : model.reports) {
      if (report.first > acknowledged)
        reply.reports.push_back(report.second);
    }
    return reply;
  };
  Deliver<absl::StatusOr<SyncReply>>("sync", worker.worker, handler, done);
}

void FakeWorkers::Prepare(const WorkerAddress& worker,
                          const PrepareRequest& request,
                          Callback done) {
  const auto handler = [this, request](Model& model) {
    absl::Status status = CheckEpoch(model, request.epoch);
    if (status.ok())
      status = CheckStart(model, request.incarnation, request.deadline);
    if (status.ok() && model.stopped.contains(request.gang))
      status = absl::FailedPreconditionError("the attempt was stopped");
    if (status.ok() && !model.gangs.contains(request.gang)) {
      Gang& gang = model.gangs[request.gang];
      gang.prepared = request;
      gang.lease_end = runner_.Now() + Duration(30'000);
    }
    return status;
  };
  Deliver<absl::Status>("prepare", worker.worker, handler, done);
}

void FakeWorkers::Run(const WorkerAddress& worker,
                      const RunRequest& request,
                      Callback done) {
  const auto handler = [this, request, id = worker.worker](Model& model) {
    absl::Status status = CheckEpoch(model, request.epoch);
    if (status.ok())
      status = CheckStart(model, request.incarnation, request.deadline);
    auto it = model.gangs.find(request.gang);
    if (status.ok() && it == model.gangs.end())
      status = absl::FailedPreconditionError("not prepared");
    if (!status.ok() || it->second.run)
      return status;
    Gang& gang = it->second;
    gang.run = true;
    gang.started = runner_.Now();
    const bool fails = gang.prepared.payload == "fail";
    for (const TaskAssignment& task : gang.prepared.tasks) {
      history.push_back(
          {id, request.gang, task.task, request.epoch, runner_.Now()});
      TaskReport report{.gang = request.gang,
                        .task = task.task,
                        .state = TaskState::kRunning};
      if (fails)
        report.state = TaskState::kFailed;
      gang.tasks[task.task] = report;
      Report(model, report);
    }
    if (!fails) {
      runner_.PostAfter(
          gang.prepared.run_time - gang.prepared.resume_from,
          [this, id, key = request.gang, incarnation = model.incarnation] {
            Finish(id, key, incarnation);
          });
    }
    return status;
  };
  Deliver<absl::Status>("run", worker.worker, handler, done);
}

void FakeWorkers::Act(const WorkerAddress& worker,
                      const GangRequest& request,
                      Callback done) {
  const auto handler = [this, request, id = worker.worker](Model& model) {
    if (absl::Status status = CheckEpoch(model, request.epoch); !status.ok())
      return status;
    auto it = model.gangs.find(request.gang);
    if (request.action == GangAction::kStop) {
      model.stopped.insert(request.gang);
      if (it != model.gangs.end()) {
        End(id, model, it->second, TaskState::kStopped);
        model.gangs.erase(it);
      }
    } else if (request.action == GangAction::kCheckpoint &&
               it != model.gangs.end()) {
      for (auto& [index, task] : it->second.tasks) {
        task.checkpointed = it->second.prepared.resume_from +
                            (runner_.Now() - it->second.started);
        Report(model, task);
      }
    }
    return absl::OkStatus();
  };
  Deliver<absl::Status>("act", worker.worker, handler, done);
}

void FakeWorkers::Report(Model& model, const TaskReport& report) {
  model.reports[{report.gang, report.task}] = {++model.sequence, report};
}

void FakeWorkers::End(const WorkerId& worker,
                      Model& model,
                      Gang& gang,
                      TaskState state) {
  for (auto& [index, task] : gang.tasks) {
    if (task.state != TaskState::kRunning && task.state != TaskState::kFailed)
      continue;
    task.state = state;
    if (state == TaskState::kFinished)
      task.result = task.gang.job.value() + "/" + std::to_string(index);
    Report(model, task);
  }
  for (TaskRun& run : history) {
    if (run.worker == worker && run.gang == gang.prepared.gang &&
        run.to == TimePoint::max()) {
      run.to = runner_.Now();
    }
  }
}

void FakeWorkers::Finish(const WorkerId& worker,
                         const GangKey& key,
                         int incarnation) {
  Model& model = models_.at(worker);
  if (model.incarnation != incarnation || !model.alive)
    return;
  Expire(worker, model);
  if (auto it = model.gangs.find(key); it != model.gangs.end())
    End(worker, model, it->second, TaskState::kFinished);
}

// Stops the tasks whose leases have ended, at the time at which they ended.
void FakeWorkers::Expire(const WorkerId& worker, Model& model) {
  for (auto it = model.gangs.begin(); it != model.gangs.end();) {
    Gang& gang = it->second;
    if (runner_.Now() <= gang.lease_end) {
      ++it;
      continue;
    }
    End(worker, model, gang, TaskState::kStopped);
    for (TaskRun& run : history) {
      if (run.worker == worker && run.gang == it->first)
        run.to = std::min(run.to, std::max(run.from, gang.lease_end));
    }
    model.stopped.insert(it->first);
    it = model.gangs.erase(it);
  }
}

int FakeWorkers::Running(const JobId& job) const {
  return static_cast<int>(
      std::count_if(history.begin(), history.end(), [&](const TaskRun& run) {
        return run.gang.job == job && run.to == TimePoint::max();
      }));
}

}  // namespace quetzalshelf::jobs
