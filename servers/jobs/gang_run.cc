#include "servers/jobs/gang_run.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"
#include "servers/jobs/worker_session.h"

namespace quetzalshelf::jobs {

GangRun::GangRun(JobSpec spec,
                 scheduling::StartGang start,
                 Duration resume_from,
                 WorkerPort& port,
                 const Clock& clock,
                 const cluster::ShardOwnership& ownership,
                 Delegate& delegate,
                 GangRunOptions options)
    : spec_(std::move(spec)),
      start_(std::move(start)),
      key_{start_.job, start_.attempt},
      resume_from_(resume_from),
      port_(port),
      clock_(clock),
      ownership_(ownership),
      delegate_(delegate),
      options_(options),
      tasks_(start_.placement.size()),
      results_(start_.placement.size()),
      checkpointed_(resume_from) {
  for (size_t i = 0; i < start_.placement.size(); ++i)
    parts_[start_.placement[i]].tasks.push_back(static_cast<int>(i));
  for (Task& task : tasks_)
    task.checkpointed = resume_from;
}

template <typename Handler>
WorkerPort::Callback GangRun::Guard(Handler handler) {
  return [handler, alive = std::weak_ptr(alive_)](const absl::Status& status) {
    if (!alive.expired())
      handler(status);
  };
}

void GangRun::Start(TimePoint committed, TimePoint now) {
  started_ = now;
  for (const auto& [worker, part] : parts_) {
    const WorkerSession* session = delegate_.FindSession(worker);
    if (session == nullptr || !session->up() || !session->reading()) {
      GiveUp(worker, now);
      return;
    }
  }
  for (const auto& [worker, part] : parts_)
    SendPrepare(worker, committed);
}

void GangRun::SendPrepare(const WorkerId& worker, TimePoint committed) {
  const WorkerSession& session = *delegate_.FindSession(worker);
  const TimePoint deadline =
      session.DeadlineAfter(committed, options_.start_window);
  const IncarnationId incarnation = session.reading()->incarnation;
  run_requests_[worker] = {.region = ownership_.region(),
                           .epoch = ownership_.epoch(),
                           .incarnation = incarnation,
                           .deadline = deadline,
                           .gang = key_};
  PrepareRequest request{.region = ownership_.region(),
                         .epoch = ownership_.epoch(),
                         .incarnation = incarnation,
                         .deadline = deadline,
                         .gang = key_,
                         .kind = spec_.job.kind,
                         .payload = spec_.payload,
                         .run_time = spec_.job.declared_run_time,
                         .resume_from = resume_from_};
  for (int task : parts_.at(worker).tasks)
    request.tasks.push_back({task, spec_.job.gang.per_task});
  port_.Prepare(session.address(), request,
                Guard([this, worker](const absl::Status& status) {
                  OnPrepared(worker, status);
                }));
}

void GangRun::OnPrepared(const WorkerId& worker, const absl::Status& status) {
  if (phase_ != Phase::kPreparing)
    return;
  const TimePoint now = clock_.Now();
  if (!status.ok() || !ownership_.MayAct(now)) {
    GiveUp(status.ok() ? WorkerId() : worker, now);
    return;
  }
  parts_.at(worker).agreed = true;
  if (std::all_of(parts_.begin(), parts_.end(),
                  [](const auto& item) { return item.second.agreed; })) {
    Launch();
  }
}

void GangRun::Launch() {
  phase_ = Phase::kLaunching;
  for (const auto& [worker, part] : parts_) {
    if (phase_ == Phase::kLaunching)
      SendRun(worker);
  }
}

void GangRun::SendRun(const WorkerId& worker) {
  const WorkerSession* session = delegate_.FindSession(worker);
  if (session == nullptr) {
    GiveUp(worker, clock_.Now());
    return;
  }
  port_.Run(session->address(), run_requests_.at(worker),
            Guard([this, worker](const absl::Status& status) {
              OnLaunched(worker, status);
            }));
}

void GangRun::OnLaunched(const WorkerId& worker, const absl::Status& status) {
  if (phase_ != Phase::kLaunching)
    return;
  if (!status.ok()) {
    GiveUp(worker, clock_.Now());
    return;
  }
  parts_.at(worker).launched = true;
  if (!std::all_of(parts_.begin(), parts_.end(),
                   [](const auto& item) { return item.second.launched; })) {
    return;
  }
  phase_ = Phase::kRunning;
  run_requests_.clear();
  delegate_.OnGangRunning(key_);
  OnReportsDone(clock_.Now());
}

void GangRun::Recover() {
  phase_ = Phase::kRecovering;
}

void GangRun::Adopt() {
  phase_ = Phase::kRunning;
}

void GangRun::GiveUp(const WorkerId& refused_by, TimePoint now) {
  if (refused_by_.empty())
    refused_by_ = refused_by;
  Stop(/*commanded=*/false, now);
}

void GangRun::Stop(bool commanded, TimePoint now) {
  commanded_stop_ = commanded_stop_ || commanded;
  if (phase_ == Phase::kStopping || phase_ == Phase::kEnded)
    return;
  phase_ = Phase::kStopping;
  for (auto& [worker, part] : parts_)
    part.next_stop = now;
  Tick(now);
}

void GangRun::Tick(TimePoint now) {
  const bool starting =
      phase_ == Phase::kPreparing || phase_ == Phase::kLaunching;
  if (starting && now - started_ >= options_.start_timeout) {
    auto silent = std::find_if(parts_.begin(), parts_.end(), [&](auto& item) {
      return phase_ == Phase::kPreparing ? !item.second.agreed
                                         : !item.second.launched;
    });
    GiveUp(silent == parts_.end() ? WorkerId() : silent->first, now);
    return;
  }
  if (phase_ != Phase::kStopping || !ownership_.MayAct(now))
    return;
  for (auto& [worker, part] : parts_) {
    if (!part.gone && now >= part.next_stop)
      SendStop(worker, now);
  }
  EndIfGone();
}

void GangRun::SendStop(const WorkerId& worker, TimePoint now) {
  Part& part = parts_.at(worker);
  part.next_stop = now + options_.stop_retry;
  if (delegate_.IsGone(worker, now)) {
    part.gone = true;
    return;
  }
  const WorkerSession* session = delegate_.FindSession(worker);
  if (session == nullptr)
    return;
  GangRequest request{.region = ownership_.region(),
                      .epoch = ownership_.epoch(),
                      .gang = key_,
                      .action = GangAction::kStop};
  port_.Act(session->address(), request,
            Guard([this, worker](const absl::Status& status) {
              OnStopped(worker, status);
            }));
}

void GangRun::OnStopped(const WorkerId& worker, const absl::Status& status) {
  if (phase_ != Phase::kStopping)
    return;
  if (absl::IsFailedPrecondition(status)) {
    delegate_.OnFenced(worker);
    return;
  }
  if (!status.ok())
    return;
  parts_.at(worker).gone = true;
  EndIfGone();
}

void GangRun::EndIfGone() {
  if (phase_ != Phase::kStopping ||
      !std::all_of(parts_.begin(), parts_.end(),
                   [](const auto& item) { return item.second.gone; })) {
    return;
  }
  phase_ = Phase::kEnded;
  delegate_.OnGangEnded(key_,
                        commanded_stop_ ? End::kStopped : End::kStartFailed);
}

void GangRun::Act(GangAction action, int throttle_percent) {
  if (phase_ != Phase::kRunning)
    return;
  for (const auto& [worker, part] : parts_) {
    const WorkerSession* session = delegate_.FindSession(worker);
    if (session == nullptr)
      continue;
    GangRequest request{.region = ownership_.region(),
                        .epoch = ownership_.epoch(),
                        .gang = key_,
                        .action = action,
                        .throttle_percent = throttle_percent};
    port_.Act(session->address(), request, [](const absl::Status& status) {
      if (!status.ok())
        LOG(DEBUG) << "action on a gang failed: " << status.message();
    });
  }
}

void GangRun::OnWorkerGone(const WorkerId& worker, TimePoint now) {
  auto it = parts_.find(worker);
  if (it == parts_.end() || phase_ == Phase::kEnded)
    return;
  it->second.gone = true;
  if (phase_ == Phase::kPreparing || phase_ == Phase::kLaunching)
    GiveUp(worker, now);
  else if (phase_ == Phase::kRunning)
    Stop(/*commanded=*/true, now);
  else
    EndIfGone();
}

void GangRun::OnReport(const WorkerId& worker, const TaskReport& report) {
  if (report.gang != key_ || report.task < 0 ||
      static_cast<size_t>(report.task) >= tasks_.size() ||
      start_.placement[static_cast<size_t>(report.task)] != worker) {
    return;
  }
  const auto index = static_cast<size_t>(report.task);
  Task& task = tasks_[index];
  // A finished task stays finished, whatever a later report says.
  if (task.reported && task.state == TaskState::kFinished)
    return;
  task.reported = true;
  task.state = report.state;
  task.checkpointed = std::max(task.checkpointed, report.checkpointed);
  task.used = report.accelerators_used;
  if (report.state == TaskState::kFinished)
    results_[index] = report.result;
}

void GangRun::OnReportsDone(TimePoint now) {
  if (phase_ == Phase::kEnded)
    return;
  TellProgress();
  if (phase_ != Phase::kRunning)
    return;
  if (AllFinished()) {
    phase_ = Phase::kEnded;
    delegate_.OnGangEnded(key_, End::kFinished);
    return;
  }
  for (size_t i = 0; i < tasks_.size(); ++i) {
    Task& task = tasks_[i];
    if (phase_ != Phase::kRunning)
      return;
    if (task.state == TaskState::kStopped) {
      // The worker ended the task by itself, as after a lapse of its lease.
      Stop(/*commanded=*/true, now);
      return;
    }
    if (task.state == TaskState::kFailed && !task.failure_told) {
      task.failure_told = true;
      delegate_.OnTaskFailed(key_, start_.placement[i]);
    }
  }
}

void GangRun::TellProgress() {
  const auto least = std::min_element(tasks_.begin(), tasks_.end(),
                                      [](const Task& a, const Task& b) {
                                        return a.checkpointed < b.checkpointed;
                                      });
  if (least != tasks_.end() && least->checkpointed > checkpointed_) {
    checkpointed_ = least->checkpointed;
    delegate_.OnCheckpoint(key_, checkpointed_);
  }
  Accelerators used;
  for (const Task& task : tasks_)
    used += task.used;
  if (used != used_) {
    used_ = used;
    delegate_.OnUsage(key_, used);
  }
}

bool GangRun::AllFinished() const {
  return std::all_of(tasks_.begin(), tasks_.end(), [](const Task& task) {
    return task.reported && task.state == TaskState::kFinished;
  });
}

bool GangRun::AllTasksRun() const {
  return std::all_of(tasks_.begin(), tasks_.end(), [](const Task& task) {
    return task.reported && (task.state == TaskState::kRunning ||
                             task.state == TaskState::kCheckpointing ||
                             task.state == TaskState::kFinished);
  });
}

}  // namespace quetzalshelf::jobs
