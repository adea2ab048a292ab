#include "tests/scheduling/simulation.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace quetzalshelf::scheduling {

Worker MakeWorker(const std::string& id,
                  const std::string& domain,
                  const std::string& rack,
                  int accelerators) {
  return {WorkerId(id),
          DomainId(domain),
          RackId(rack),
          {Accelerators(accelerators), MilliCores(64'000), Mebibytes(131'072)}};
}

Job MakeJob(const std::string& id,
            const std::string& workspace,
            int tasks,
            int accelerators,
            Adjacency adjacency,
            Urgency urgency) {
  Job job;
  job.id = JobId(id);
  job.workspace = WorkspaceId(workspace);
  job.gang = {
      tasks,
      {Accelerators(accelerators), MilliCores(int64_t{1'000} * accelerators),
       Mebibytes(int64_t{1'024} * accelerators)},
      adjacency};
  job.urgency = urgency;
  return job;
}

Workspace MakeWorkspace(const std::string& id,
                        const std::vector<Guarantee>& guarantees) {
  Workspace workspace;
  workspace.id = WorkspaceId(id);
  workspace.guarantees = guarantees;
  return workspace;
}

void Simulation::AddWorkers(int domains, int racks_per_domain, int rack_size) {
  for (int d = 0; d < domains; ++d) {
    for (int r = 0; r < racks_per_domain; ++r) {
      for (int w = 0; w < rack_size; ++w) {
        const std::string domain = absl::StrCat("d", d);
        const std::string rack = absl::StrCat(domain, "r", r);
        workers_.push_back(
            MakeWorker(absl::StrCat(rack, "w", w), domain, rack));
        by_id_[workers_.back().id] = workers_.back();
        Execute(scheduler_.AddWorker(workers_.back(), now_));
      }
    }
  }
}

void Simulation::Submit(const Job& job, Duration run_time) {
  SimulatedJob& record = jobs_[job.id];
  record.job = job;
  record.run_time = run_time;
  record.submitted = now_;
  Execute(scheduler_.Submit(job, now_));
}

void Simulation::Cancel(const std::string& id) {
  SimulatedJob& job = jobs_.at(JobId(id));
  job.cancelled = true;
  if (job.state == SimulatedJob::State::kWaiting)
    job.state = SimulatedJob::State::kCancelled;
  Execute(scheduler_.Cancel(job.job.id, now_));
}

void Simulation::LoseWorker(const WorkerId& id) {
  if (!lost_.insert(id).second)
    return;
  used_[id] = {};
  for (auto& [job_id, job] : jobs_) {
    // Nothing is left that a stop could reach.
    if (std::erase(job.placement, id) > 0 && job.placement.empty() &&
        job.state != SimulatedJob::State::kStopping)
      job.state = StateAfterStop(job);
  }
  Execute(scheduler_.WorkerLost(id, now_));
}

void Simulation::ReturnWorker(const WorkerId& id) {
  if (lost_.erase(id) == 0)
    return;
  Execute(scheduler_.AddWorker(by_id_.at(id), now_));
}

void Simulation::SetDomain(const std::string& id, bool in_service) {
  if (in_service)
    out_.erase(DomainId(id));
  else
    out_.insert(DomainId(id));
  Execute(scheduler_.SetDomainInService(DomainId(id), in_service, now_));
}

void Simulation::Run(Duration time) {
  const TimePoint end = now_ + time;
  while (now_ < end) {
    const TimePoint tick = std::min(end, now_ + Duration(1'000));
    while (!events_.empty() && events_.top().time <= tick) {
      const Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.time);
      event.run();
    }
    now_ = tick;
    Execute(scheduler_.Tick(now_));
  }
}

size_t Simulation::CountRunning() const {
  return static_cast<size_t>(
      std::count_if(jobs_.begin(), jobs_.end(), [](const auto& it) {
        return it.second.state == SimulatedJob::State::kRunning;
      }));
}

void Simulation::Execute(const Commands& commands) {
  for (const Command& it : commands)
    std::visit([this](const auto& command) { On(command); }, it);
}

void Simulation::ScheduleAfter(Duration delay, std::function<void()> run) {
  events_.push({now_ + delay, ++order_, std::move(run)});
}

SimulatedJob* Simulation::FindAttempt(const JobId& id, Attempt attempt) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.attempt != attempt)
    return nullptr;
  const auto state = it->second.state;
  const bool holds = state == SimulatedJob::State::kStarting ||
                     state == SimulatedJob::State::kRunning ||
                     state == SimulatedJob::State::kStopping;
  return holds ? &it->second : nullptr;
}

SimulatedJob::State Simulation::StateAfterStop(const SimulatedJob& job) {
  return job.cancelled ? SimulatedJob::State::kCancelled
                       : SimulatedJob::State::kWaiting;
}

Duration Simulation::Progress(const SimulatedJob& job) const {
  return job.progress_at_start + (now_ - job.started);
}

void Simulation::On(const StartGang& command) {
  const auto it = jobs_.find(command.job);
  if (it == jobs_.end()) {
    AddViolation("started unknown job " + command.job.value());
    return;
  }
  SimulatedJob& job = it->second;
  if (job.state != SimulatedJob::State::kWaiting)
    AddViolation("started " + command.job.value() + " while it does not wait");
  if (job.cancelled)
    AddViolation("started cancelled job " + command.job.value());
  if (command.attempt <= job.attempt)
    AddViolation("attempt of " + command.job.value() + " did not grow");
  job.state = SimulatedJob::State::kStarting;
  job.attempt = command.attempt;
  job.placement = command.placement;
  job.guaranteed = command.guaranteed;
  if (job.starts++ == 0)
    job.first_start = now_;
  CheckPlacement(job);
  ScheduleAfter(start_time, [this, id = command.job,
                             attempt = command.attempt] {
    SimulatedJob* started = FindAttempt(id, attempt);
    if (started == nullptr || started->state != SimulatedJob::State::kStarting)
      return;
    started->state = SimulatedJob::State::kRunning;
    started->started = now_;
    started->progress_at_start = started->saved;
    Execute(scheduler_.GangStarted(id, attempt, now_));
    const auto bad = std::find_if(
        started->placement.begin(), started->placement.end(),
        [&](const WorkerId& w) { return failing_workers_.contains(w); });
    if (bad != started->placement.end() || failing_jobs_.contains(id)) {
      const WorkerId worker =
          bad != started->placement.end() ? *bad : started->placement[0];
      ScheduleAfter(Duration(2'000), [this, id, attempt, worker] {
        Execute(scheduler_.TaskFailed(id, attempt, worker, now_));
      });
      return;
    }
    ScheduleAfter(started->run_time - started->saved, [this, id, attempt] {
      SimulatedJob* finished = FindAttempt(id, attempt);
      if (finished == nullptr ||
          finished->state != SimulatedJob::State::kRunning)
        return;
      Free(*finished);
      finished->state = SimulatedJob::State::kDone;
      finished->done = now_;
      Execute(scheduler_.GangFinished(id, attempt, now_));
    });
  });
}

void Simulation::CheckPlacement(const SimulatedJob& job) {
  const std::string& id = job.job.id.value();
  const Shape& gang = job.job.gang;
  if (job.placement.size() != static_cast<size_t>(gang.tasks))
    AddViolation("partial gang " + id);
  std::set<WorkerId> workers;
  std::set<std::pair<DomainId, RackId>> racks;
  std::set<DomainId> domains;
  for (const WorkerId& it : job.placement) {
    const auto worker = by_id_.find(it);
    if (worker == by_id_.end() || lost_.contains(it)) {
      AddViolation("start of " + id + " on a missing worker");
      continue;
    }
    workers.insert(it);
    racks.insert({worker->second.domain, worker->second.rack});
    domains.insert(worker->second.domain);
    used_[it] += gang.per_task;
    if (!used_[it].FitsIn(worker->second.capacity))
      AddViolation("overcommitted worker " + it.value() + " for " + id);
    if (out_.contains(worker->second.domain))
      AddViolation("start of " + id + " in a domain that is out");
  }
  const bool adjacent =
      gang.adjacency == Adjacency::kWorker   ? workers.size() == 1
      : gang.adjacency == Adjacency::kRack   ? racks.size() == 1
      : gang.adjacency == Adjacency::kDomain ? domains.size() == 1
                                             : true;
  if (!adjacent)
    AddViolation("adjacency of " + id + " is broken");
}

void Simulation::Free(SimulatedJob& job) {
  for (const WorkerId& it : job.placement) {
    if (!lost_.contains(it))
      used_[it] -= job.job.gang.per_task;
  }
  job.placement.clear();
}

void Simulation::On(const CheckpointGang& command) {
  SimulatedJob* job = FindAttempt(command.job, command.attempt);
  if (job == nullptr || job->state != SimulatedJob::State::kRunning)
    return;
  ScheduleAfter(
      checkpoint_time, [this, id = command.job, attempt = command.attempt] {
        SimulatedJob* saved = FindAttempt(id, attempt);
        if (saved == nullptr || saved->state != SimulatedJob::State::kRunning)
          return;
        saved->saved = Progress(*saved);
        Execute(scheduler_.CheckpointSaved(id, attempt, saved->saved, now_));
      });
}

void Simulation::On(const StopGang& command) {
  SimulatedJob* job = FindAttempt(command.job, command.attempt);
  if (job == nullptr)
    return;
  job->state = SimulatedJob::State::kStopping;
  ScheduleAfter(stop_time, [this, id = command.job, attempt = command.attempt] {
    SimulatedJob* stopped = FindAttempt(id, attempt);
    if (stopped == nullptr)
      return;
    Free(*stopped);
    stopped->state = StateAfterStop(*stopped);
    Execute(scheduler_.GangStopped(id, attempt, now_));
  });
}

void Simulation::On(const RefuseJob& command) {
  SimulatedJob& job = jobs_.at(command.job);
  if (job.state != SimulatedJob::State::kWaiting)
    AddViolation("refused " + command.job.value() + " while it runs");
  job.state = SimulatedJob::State::kRefused;
  job.refusal = command.reason;
}

void Simulation::On(const ThrottleGang& /*command*/) {}

}  // namespace quetzalshelf::scheduling
