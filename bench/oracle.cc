#include "bench/oracle.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace quetzalshelf::bench {
namespace {

using scheduling::Adjacency;
using scheduling::Placement;
using scheduling::RefusalReason;
using scheduling::StartGang;
using scheduling::Worker;

constexpr size_t kMaxFindings = 40;
// A job that fails on one worker only may be the victim of that worker.
constexpr size_t kMinWorkersToFailJob = 2;

Accelerators Total(const scheduling::Job& job) {
  return job.gang.per_task.accelerators * job.gang.tasks;
}

std::string Name(const JobId& job, Attempt attempt) {
  return job.value() + " attempt " + std::to_string(attempt.value());
}

std::string Describe(const scheduling::Job& job) {
  return job.id.value() + " (" + job.kind + " of " + job.workspace.value() +
         ", " + std::to_string(job.gang.tasks) + " x " +
         std::to_string(job.gang.per_task.accelerators.value()) + ")";
}

}  // namespace

int64_t FaultCounts::Total() const {
  return guarantee_violations + partial_gangs + starts_in_out_domain +
         duplicate_runs + lost_jobs;
}

FaultCounts& FaultCounts::operator+=(const FaultCounts& other) {
  guarantee_violations += other.guarantee_violations;
  partial_gangs += other.partial_gangs;
  starts_in_out_domain += other.starts_in_out_domain;
  duplicate_runs += other.duplicate_runs;
  lost_jobs += other.lost_jobs;
  return *this;
}

Oracle::Oracle(const std::vector<scheduling::Workspace>& workspaces,
               const OracleLimits& limits,
               ChargeClaim claim)
    : limits_(limits),
      claim_(std::move(claim)),
      guarantees_(workspaces, limits.start_latency, [this] {
        return SpaceForGuarantees();
      }) {}

void Oracle::WorkerUp(const Worker& worker, TimePoint /*now*/) {
  WorkerState& state = workers_[worker.id];
  const bool bad = state.bad;
  state = {worker, true, bad};
}

void Oracle::WorkerDown(const WorkerId& worker, TimePoint now) {
  const auto found = workers_.find(worker);
  if (found == workers_.end() || !found->second.up) {
    return;
  }
  found->second.up = false;
  for (auto& [id, held] : held_) {
    JobState& state = *held;
    Placement& placement = state.placement;
    if (std::find(placement.begin(), placement.end(), worker) ==
        placement.end()) {
      continue;
    }
    std::replace(placement.begin(), placement.end(), worker, WorkerId());
    if (state.phase != Phase::kStopping && !state.incomplete) {
      state.incomplete = true;
      state.incomplete_since = now;
    }
  }
  guarantees_.RestartClocks(now);
}

void Oracle::WorkerBad(const WorkerId& worker, bool bad, TimePoint now) {
  workers_[worker].bad = bad;
  if (bad) {
    guarantees_.RestartClocks(now);
  }
}

void Oracle::DomainInService(const DomainId& domain, bool in, TimePoint now) {
  if (in) {
    out_domains_.erase(domain);
  } else {
    out_domains_.try_emplace(domain, now);
    guarantees_.RestartClocks(now);
  }
}

void Oracle::Submitted(const scheduling::Job& job,
                       bool runnable,
                       TimePoint now) {
  JobState& state = jobs_[job.id];
  state.job = job;
  state.runnable = runnable;
  Wait(state, now);
}

void Oracle::Cancelled(const JobId& job, TimePoint /*now*/) {
  if (const auto it = jobs_.find(job); it != jobs_.end()) {
    Close(it->second);
  }
}

void Oracle::Commanded(const scheduling::Command& command, TimePoint now) {
  if (const auto* start = std::get_if<StartGang>(&command)) {
    OnStart(*start, now);
  } else if (const auto* stop = std::get_if<scheduling::StopGang>(&command)) {
    OnStop(*stop);
  } else if (const auto* refuse =
                 std::get_if<scheduling::RefuseJob>(&command)) {
    OnRefuse(*refuse, now);
  }
}

void Oracle::Started(const JobId& job, Attempt attempt, TimePoint now) {
  JobState* state = FindHeld(job, attempt);
  if (state == nullptr || state->phase != Phase::kStarting) {
    return;
  }
  CheckDomains(*state, now, limits_.domain_out_limit);
  if (const auto violation = guarantees_.CheckStarted(state->job, now)) {
    CountViolation(*violation, now);
  }
  guarantees_.Leave(state->job);
  state->phase = Phase::kRunning;
}

void Oracle::StartFailed(const JobId& job, Attempt attempt, TimePoint now) {
  if (JobState* state = FindHeld(job, attempt)) {
    EndAttempt(*state, now);
  }
}

void Oracle::Finished(const JobId& job, Attempt attempt, TimePoint /*now*/) {
  if (JobState* state = FindHeld(job, attempt)) {
    Release(*state);
    state->closed = true;
    state->phase = Phase::kEnded;
  }
}

void Oracle::TaskFailed(const JobId& job,
                        Attempt attempt,
                        const WorkerId& worker,
                        TimePoint now) {
  JobState* state = FindHeld(job, attempt);
  if (state == nullptr) {
    return;
  }
  ++state->failures;
  state->failed_on.insert(worker);
  if (state->phase != Phase::kStopping && !state->incomplete) {
    state->incomplete = true;
    state->incomplete_since = now;
  }
}

void Oracle::Stopped(const JobId& job, Attempt attempt, TimePoint now) {
  if (JobState* state = FindHeld(job, attempt)) {
    EndAttempt(*state, now);
  }
}

void Oracle::Check(TimePoint now) {
  CheckIncomplete(now);
  for (const WorkspaceId& it : guarantees_.Pressed(now)) {
    SyncCharges(it);
  }
  for (const GuaranteeViolation& it : guarantees_.Check(now)) {
    CountViolation(it, now);
  }
}

void Oracle::End(TimePoint now) {
  for (const auto& [id, state] : jobs_) {
    const bool ended = state.phase == Phase::kEnded;
    if (!ended) {
      Report(counts_.lost_jobs, now, Describe(state.job) + " has no outcome");
    }
  }
}

void Oracle::OnStart(const StartGang& start, TimePoint now) {
  const auto found = jobs_.find(start.job);
  if (found == jobs_.end()) {
    Report(counts_.duplicate_runs, now,
           start.job.value() + " started but never submitted");
    return;
  }
  JobState& state = found->second;
  CheckMayStart(state, start, now);
  if (state.phase != Phase::kWaiting) {
    return;
  }
  Hold(state, start);
  CheckPlacement(state, start, now);
  CheckDomains(state, now, Duration(0));
}

void Oracle::CheckMayStart(JobState& state,
                           const StartGang& start,
                           TimePoint now) {
  const bool held = held_.contains(start.job);
  if (held && AllGone(state)) {
    // Nothing of the earlier attempt is left to stop.
    EndAttempt(state, now);
  }
  if (state.phase != Phase::kWaiting || start.attempt <= state.attempt) {
    Report(counts_.duplicate_runs, now,
           Name(start.job, start.attempt) +
               (state.closed ? " started after the job had ended"
                             : " started while another attempt is held"));
  }
}

void Oracle::OnStop(const scheduling::StopGang& stop) {
  JobState* state = FindHeld(stop.job, stop.attempt);
  if (state == nullptr) {
    return;
  }
  state->phase = Phase::kStopping;
  state->incomplete = false;
  guarantees_.Leave(state->job);
}

void Oracle::OnRefuse(const scheduling::RefuseJob& refuse, TimePoint now) {
  const auto found = jobs_.find(refuse.job);
  if (found == jobs_.end() || found->second.closed) {
    return;
  }
  if (WrongRefusal(found->second, refuse.reason)) {
    Report(counts_.lost_jobs, now,
           refuse.job.value() + " refused: " + refuse.detail);
  }
  Close(found->second);
}

bool Oracle::WrongRefusal(const JobState& state, RefusalReason reason) const {
  const scheduling::Workspace* limits = guarantees_.Find(state.job.workspace);
  if (!state.runnable || limits == nullptr) {
    return false;
  }
  switch (reason) {
    case RefusalReason::kOverQuota:
      return limits->quota.value() == 0 || Total(state.job) <= limits->quota;
    case RefusalReason::kQueueFull:
      // The queue of the oracle includes the job itself.
      return guarantees_.QueueLength(state.job.workspace) <=
             static_cast<size_t>(limits->max_queued_jobs);
    case RefusalReason::kTooManyFailures:
      return state.failures < state.job.max_failures ||
             state.failed_on.size() < kMinWorkersToFailJob;
    default:
      return true;
  }
}

void Oracle::CheckPlacement(const JobState& state,
                            const StartGang& start,
                            TimePoint now) {
  const std::string name = Name(start.job, start.attempt);
  if (start.placement.size() != static_cast<size_t>(state.job.gang.tasks)) {
    Report(counts_.partial_gangs, now,
           name + " started with " + std::to_string(start.placement.size()) +
               " of " + std::to_string(state.job.gang.tasks) + " tasks");
    return;
  }
  for (const WorkerId& it : start.placement) {
    const auto found = workers_.find(it);
    if (found == workers_.end() || !found->second.up) {
      Report(counts_.partial_gangs, now,
             name + " started on " + it.value() + ", which is not there");
      return;
    }
  }
  if (!Adjacent(state, start.placement)) {
    Report(counts_.partial_gangs, now, name + " is not adjacent");
  }
  CheckCapacity(state, now);
}

void Oracle::CheckCapacity(const JobState& state, TimePoint now) {
  for (const WorkerId& it : state.placement) {
    const WorkerState& worker = workers_[it];
    if (!worker.used.FitsIn(worker.worker.capacity)) {
      Report(
          counts_.partial_gangs, now,
          Name(state.job.id, state.attempt) + " does not fit on " + it.value());
      return;
    }
  }
}

bool Oracle::Adjacent(const JobState& state, const Placement& placement) const {
  const Adjacency adjacency = state.job.gang.adjacency;
  const Worker& first = workers_.at(placement.front()).worker;
  return std::all_of(
      placement.begin(), placement.end(), [&](const WorkerId& id) {
        const Worker& it = workers_.at(id).worker;
        const bool domain = it.domain == first.domain;
        const bool rack = domain && it.rack == first.rack;
        return adjacency == Adjacency::kRegion ||
               (adjacency == Adjacency::kDomain && domain) ||
               (adjacency == Adjacency::kRack && rack) || it.id == first.id;
      });
}

void Oracle::CheckDomains(const JobState& state,
                          TimePoint now,
                          Duration limit) {
  for (const WorkerId& it : state.placement) {
    const auto worker = workers_.find(it);
    if (worker == workers_.end()) {
      continue;
    }
    const auto out = out_domains_.find(worker->second.worker.domain);
    // A command given at the time of the exit follows it, because the
    // scheduler was told first.
    const bool late = out != out_domains_.end() &&
                      (limit == Duration(0) || now > out->second + limit);
    if (late) {
      Report(counts_.starts_in_out_domain, now,
             Name(state.job.id, state.attempt) + " on " + it.value());
      return;
    }
  }
}

void Oracle::Hold(JobState& state, const StartGang& start) {
  state.phase = Phase::kStarting;
  state.attempt = start.attempt;
  state.placement = start.placement;
  state.incomplete = false;
  state.guaranteed = start.guaranteed;
  held_[start.job] = &state;
  guarantees_.Hold(state.job, start.guaranteed, WorkersOf(start.placement));
  for (const WorkerId& it : state.placement) {
    WorkerState& worker = workers_[it];
    worker.used += state.job.gang.per_task;
    if (start.guaranteed) {
      worker.guaranteed_used += state.job.gang.per_task;
    }
  }
}

void Oracle::Release(JobState& state) {
  for (const WorkerId& it : state.placement) {
    if (it.empty()) {
      continue;
    }
    WorkerState& worker = workers_[it];
    worker.used -= state.job.gang.per_task;
    if (state.guaranteed) {
      worker.guaranteed_used -= state.job.gang.per_task;
    }
  }
  state.placement.clear();
  state.incomplete = false;
  held_.erase(state.job.id);
  guarantees_.Release(state.job);
}

void Oracle::EndAttempt(JobState& state, TimePoint now) {
  Release(state);
  if (state.closed) {
    state.phase = Phase::kEnded;
  } else {
    Wait(state, now);
  }
}

void Oracle::Wait(JobState& state, TimePoint now) {
  state.phase = Phase::kWaiting;
  guarantees_.Wait(state.job, now);
}

void Oracle::Close(JobState& state) {
  state.closed = true;
  if (state.phase == Phase::kWaiting) {
    state.phase = Phase::kEnded;
    guarantees_.Leave(state.job);
  }
}

Oracle::JobState* Oracle::FindHeld(const JobId& job, Attempt attempt) {
  const auto it = held_.find(job);
  return it != held_.end() && it->second->attempt == attempt ? it->second
                                                             : nullptr;
}

bool Oracle::AllGone(const JobState& state) {
  return std::all_of(state.placement.begin(), state.placement.end(),
                     [](const WorkerId& it) { return it.empty(); });
}

void Oracle::CheckIncomplete(TimePoint now) {
  for (auto& [id, held] : held_) {
    JobState& state = *held;
    if (state.incomplete && !AllGone(state) &&
        now - state.incomplete_since > limits_.start_timeout) {
      state.incomplete = false;
      Report(counts_.partial_gangs, now,
             Name(id, state.attempt) + " runs on without some of its tasks");
    }
  }
}

std::vector<const Worker*> Oracle::WorkersOf(const Placement& placement) const {
  std::vector<const Worker*> out;
  for (const WorkerId& it : placement) {
    if (const auto found = workers_.find(it); found != workers_.end()) {
      out.push_back(&found->second.worker);
    }
  }
  return out;
}

void Oracle::SyncCharges(const WorkspaceId& workspace) {
  for (auto& [id, held] : held_) {
    JobState& state = *held;
    if (state.job.workspace != workspace || !claim_ ||
        state.phase == Phase::kStopping) {
      continue;
    }
    const bool claimed = claim_(id);
    if (!guarantees_.SetCharged(state.job, claimed,
                                WorkersOf(state.placement)) ||
        claimed == state.guaranteed) {
      continue;
    }
    state.guaranteed = claimed;
    for (const WorkerId& it : state.placement) {
      if (it.empty()) {
        continue;
      }
      Resources& used = workers_[it].guaranteed_used;
      used = claimed ? used + state.job.gang.per_task
                     : used - state.job.gang.per_task;
    }
  }
}

void Oracle::CountViolation(const GuaranteeViolation& violation,
                            TimePoint now) {
  Report(counts_.guarantee_violations, now,
         Describe(jobs_.at(violation.job).job) + " waits since " +
             std::to_string(ToMillis(violation.covered_since)) + " ms");
}

GuaranteeWatch::Space Oracle::SpaceForGuarantees() const {
  GuaranteeWatch::Space out;
  for (const auto& [id, state] : workers_) {
    if (!state.up || state.bad || out_domains_.contains(state.worker.domain)) {
      continue;
    }
    out.empty.push_back(state.worker);
    out.rest.push_back(state.worker);
    out.rest.back().capacity -= state.guaranteed_used;
  }
  return out;
}

void Oracle::Report(int64_t& count, TimePoint now, const std::string& text) {
  ++count;
  if (findings_.size() < kMaxFindings) {
    findings_.push_back(std::to_string(ToMillis(now)) + " ms: " + text);
  }
}

}  // namespace quetzalshelf::bench
