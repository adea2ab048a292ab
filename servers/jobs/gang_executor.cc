#include "servers/jobs/gang_executor.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/logging.h"
#include "servers/jobs/worker_session.h"

namespace quetzalshelf::jobs {

using scheduling::Commands;
using scheduling::StartGang;

GangExecutor::GangExecutor(GangExecutorDeps deps,
                           std::function<void()> on_fenced,
                           TimePoint unlisted_gone,
                           GangRunOptions options)
    : deps_(deps),
      on_fenced_(std::move(on_fenced)),
      unlisted_gone_(unlisted_gone),
      options_(options) {}

GangExecutor::~GangExecutor() = default;

void GangExecutor::Apply(Commands commands, TimePoint now) {
  commands_.insert(commands_.end(), commands.begin(), commands.end());
  // Commands that follow from carrying out another one wait for their turn.
  if (executing_)
    return;
  executing_ = true;
  while (!commands_.empty()) {
    const scheduling::Command command = std::move(commands_.front());
    commands_.pop_front();
    std::visit([&](const auto& item) { Execute(item, now); }, command);
  }
  executing_ = false;
}

void GangExecutor::Tick(TimePoint now) {
  ended_.clear();
  std::vector<JobId> jobs;
  jobs.reserve(runs_.size());
  for (const auto& [job, attempted] : runs_)
    jobs.push_back(job);
  for (const JobId& job : jobs) {
    if (auto it = runs_.find(job); it != runs_.end())
      it->second.run->Tick(now);
  }
}

void GangExecutor::Execute(const StartGang& command, TimePoint now) {
  const JobId& job = command.job;
  if (starts_.contains(job) || runs_.contains(job)) {
    LOG(ERROR) << "start of job " << job << " while an attempt is under way";
    return;
  }
  if (deps_.rows.Find(job) == nullptr) {
    Apply(deps_.scheduler.StartFailed(job, command.attempt, WorkerId(), now),
          now);
    return;
  }
  starts_[job] = {.command = command};
  deps_.rows.UpdateOnce(
      job,
      [this, job](JobRecord& record) { return PrepareRecord(job, record); },
      [this, job] { return StartConditions(job); },
      [this, job](JobRows::Outcome outcome) { OnStartSettled(job, outcome); });
}

bool GangExecutor::PrepareRecord(const JobId& job, JobRecord& record) {
  PendingStart& start = starts_.at(job);
  if (start.stop_requested || IsFinal(record.state))
    return false;
  for (const WorkerId& worker : start.command.placement) {
    const scheduling::Worker* known = deps_.pool.FindWorker(worker);
    if (known == nullptr || !deps_.domains.InService(known->domain))
      return false;
  }
  record.state = JobState::kStarting;
  record.attempt = record.attempt.Next();
  record.placement = start.command.placement;
  record.guaranteed = start.command.guaranteed;
  start.sent = deps_.clock.Now();
  return true;
}

std::vector<Condition> GangExecutor::StartConditions(const JobId& job) const {
  std::set<DomainId> used;
  for (const WorkerId& worker : starts_.at(job).command.placement)
    used.insert(deps_.pool.FindWorker(worker)->domain);
  std::vector<Condition> conditions;
  conditions.reserve(used.size());
  for (const DomainId& domain : used)
    conditions.push_back(deps_.domains.ConditionFor(domain));
  return conditions;
}

void GangExecutor::OnStartSettled(const JobId& job, JobRows::Outcome outcome) {
  const TimePoint now = deps_.clock.Now();
  const PendingStart start = std::move(starts_.extract(job).mapped());
  const StartGang& command = start.command;
  const bool committed = outcome == JobRows::Outcome::kCommitted;
  if (start.stop_requested) {
    Apply(deps_.scheduler.GangStopped(job, command.attempt, now), now);
    return;
  }
  if (!committed || !deps_.ownership.MayAct(now)) {
    // Nothing was sent to a worker. A row of a domain may have changed.
    deps_.domains.ReadSoon();
    Apply(deps_.scheduler.StartFailed(job, command.attempt, WorkerId(), now),
          now);
    return;
  }
  const JobRecord& record = *deps_.rows.Find(job);
  Attempted& attempted = runs_[job];
  attempted.run = MakeRun(record, command);
  attempted.scheduled = command.attempt;
  Log("job.starting", attempted.run->key(), "");
  attempted.run->Start(start.sent, now);
}

std::unique_ptr<GangRun> GangExecutor::MakeRun(const JobRecord& record,
                                               const StartGang& start) {
  StartGang numbered = start;
  numbered.attempt = record.attempt;
  return std::make_unique<GangRun>(record.spec, std::move(numbered),
                                   record.checkpoint, deps_.port, deps_.clock,
                                   deps_.ownership, *this, options_);
}

GangExecutor::Attempted* GangExecutor::FindRun(const GangKey& gang) {
  auto it = runs_.find(gang.job);
  return it != runs_.end() && it->second.run->key() == gang ? &it->second
                                                            : nullptr;
}

GangExecutor::Attempted* GangExecutor::FindScheduled(const JobId& job,
                                                     Attempt attempt) {
  auto it = runs_.find(job);
  return it != runs_.end() && it->second.known_to_core &&
                 it->second.scheduled == attempt
             ? &it->second
             : nullptr;
}

void GangExecutor::Execute(const scheduling::CheckpointGang& command,
                           TimePoint /*now*/) {
  if (Attempted* found = FindScheduled(command.job, command.attempt))
    found->run->Act(GangAction::kCheckpoint, 100);
}

void GangExecutor::Execute(const scheduling::ThrottleGang& command,
                           TimePoint /*now*/) {
  if (Attempted* found = FindScheduled(command.job, command.attempt))
    found->run->Act(GangAction::kThrottle, command.percent);
}

void GangExecutor::Execute(const scheduling::StopGang& command, TimePoint now) {
  if (auto it = starts_.find(command.job);
      it != starts_.end() && it->second.command.attempt == command.attempt) {
    it->second.stop_requested = true;
    return;
  }
  if (Attempted* found = FindScheduled(command.job, command.attempt)) {
    Log("job.stopping", found->run->key(), "");
    found->run->Stop(/*commanded=*/true, now);
  }
}

void GangExecutor::Execute(const scheduling::RefuseJob& command,
                           TimePoint now) {
  const bool failed =
      command.reason == scheduling::RefusalReason::kTooManyFailures;
  deps_.rows.Update(command.job, [failed, command](JobRecord& record) {
    if (IsFinal(record.state))
      return false;
    record.state = failed ? JobState::kFailed : JobState::kRefused;
    record.detail = command.detail;
    return true;
  });
  if (auto it = runs_.find(command.job); it != runs_.end())
    it->second.run->Stop(/*commanded=*/true, now);
}

void GangExecutor::Submit(const JobId& job, TimePoint now) {
  if (const JobRecord* record = deps_.rows.Find(job))
    Apply(deps_.scheduler.Submit(record->spec.job, now), now);
}

void GangExecutor::Cancel(const JobId& job, TimePoint now) {
  Apply(deps_.scheduler.Cancel(job, now), now);
}

bool GangExecutor::Accounts(const GangKey& gang, const WorkerId& worker) const {
  auto it = runs_.find(gang.job);
  return it != runs_.end() && it->second.run->key() == gang &&
         it->second.run->HasWorker(worker);
}

void GangExecutor::OnWorkerDown(const WorkerId& worker, TimePoint now) {
  Apply(deps_.scheduler.WorkerLost(worker, now), now);
  std::vector<JobId> jobs;
  jobs.reserve(runs_.size());
  for (const auto& [job, attempted] : runs_) {
    if (attempted.run->HasWorker(worker))
      jobs.push_back(job);
  }
  for (const JobId& job : jobs) {
    if (auto it = runs_.find(job); it != runs_.end())
      it->second.run->OnWorkerGone(worker, now);
  }
}

void GangExecutor::OnReport(const WorkerId& worker, const TaskReport& report) {
  if (Attempted* found = FindRun(report.gang)) {
    found->run->OnReport(worker, report);
    touched_.insert(report.gang.job);
  }
}

void GangExecutor::OnReportsDone(TimePoint now) {
  const std::set<JobId> touched = std::exchange(touched_, {});
  for (const JobId& job : touched) {
    if (auto it = runs_.find(job); it != runs_.end())
      it->second.run->OnReportsDone(now);
  }
}

WorkerSession* GangExecutor::FindSession(const WorkerId& worker) {
  return deps_.pool.FindSession(worker);
}

bool GangExecutor::IsGone(const WorkerId& worker, TimePoint now) {
  const WorkerSession* session = deps_.pool.FindSession(worker);
  return session == nullptr ? now >= unlisted_gone_ : session->lost();
}

void GangExecutor::OnGangRunning(const GangKey& gang) {
  const Attempted* found = FindRun(gang);
  if (found == nullptr)
    return;
  const TimePoint now = deps_.clock.Now();
  SetState(gang, JobState::kRunning);
  Log("job.running", gang, "");
  Apply(deps_.scheduler.GangStarted(gang.job, found->scheduled, now), now);
}

void GangExecutor::OnGangEnded(const GangKey& gang, GangRun::End end) {
  const TimePoint now = deps_.clock.Now();
  Attempted attempted = std::move(runs_.extract(gang.job).mapped());
  GangRun& run = *attempted.run;
  ended_.push_back(std::move(attempted.run));
  if (end == GangRun::End::kFinished) {
    Log("job.finished", gang, "");
    deps_.publisher.Publish({gang.job, gang.attempt, run.TakeResults()}, now);
    Apply(deps_.scheduler.GangFinished(gang.job, attempted.scheduled, now),
          now);
    return;
  }
  Log(end == GangRun::End::kStopped ? "job.stopped" : "job.start_failed", gang,
      run.refused_by().value());
  SetState(gang, JobState::kWaiting);
  if (!attempted.known_to_core) {
    if (!IsFinal(deps_.rows.Find(gang.job)->state))
      Submit(gang.job, now);
  } else if (end == GangRun::End::kStopped) {
    Apply(deps_.scheduler.GangStopped(gang.job, attempted.scheduled, now), now);
  } else {
    Apply(deps_.scheduler.StartFailed(gang.job, attempted.scheduled,
                                      run.refused_by(), now),
          now);
  }
}

void GangExecutor::OnTaskFailed(const GangKey& gang, const WorkerId& worker) {
  const Attempted* failed = FindRun(gang);
  if (failed == nullptr)
    return;
  const TimePoint now = deps_.clock.Now();
  Log("job.task_failed", gang, worker.value());
  Apply(deps_.scheduler.TaskFailed(gang.job, failed->scheduled, worker, now),
        now);
  // A gang never goes on without one of its tasks.
  if (Attempted* found = FindRun(gang))
    found->run->Stop(/*commanded=*/true, now);
}

void GangExecutor::OnCheckpoint(const GangKey& gang, Duration progress) {
  const Attempted* found = FindRun(gang);
  if (found == nullptr)
    return;
  const TimePoint now = deps_.clock.Now();
  deps_.rows.Update(gang.job, [gang, progress](JobRecord& record) {
    if (IsFinal(record.state) || record.checkpoint >= progress)
      return false;
    record.checkpoint = progress;
    return true;
  });
  Apply(deps_.scheduler.CheckpointSaved(gang.job, found->scheduled, progress,
                                        now),
        now);
}

void GangExecutor::OnUsage(const GangKey& gang, Accelerators used) {
  const Attempted* found = FindRun(gang);
  if (found == nullptr)
    return;
  const TimePoint now = deps_.clock.Now();
  Apply(deps_.scheduler.UsageReported(gang.job, found->scheduled, used, now),
        now);
}

void GangExecutor::OnFenced(const WorkerId& worker) {
  LOG(WARNING) << "worker " << worker << " has seen a higher epoch";
  on_fenced_();
}

void GangExecutor::SetState(const GangKey& gang, JobState state) {
  deps_.rows.Update(gang.job, [gang, state](JobRecord& record) {
    if (IsFinal(record.state) || record.attempt != gang.attempt)
      return false;
    record.state = state;
    return true;
  });
}

void GangExecutor::Log(const char* kind,
                       const GangKey& gang,
                       std::string text) {
  if (deps_.log == nullptr)
    return;
  deps_.log->Add({.kind = kind,
                  .job = gang.job,
                  .epoch = deps_.ownership.epoch(),
                  .text = std::move(text)});
}

}  // namespace quetzalshelf::jobs
