// Recovery of a shard by a new owner, and events of its workers.

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/logging.h"
#include "servers/jobs/job_service.h"
#include "servers/jobs/worker_session.h"

namespace quetzalshelf::jobs {

using scheduling::Commands;

void JobService::StartLoading() {
  load_in_flight_ = true;
  rows_.Load([this, alive = std::weak_ptr(alive_)](const absl::Status& status) {
    if (!alive.expired())
      OnLoaded(status);
  });
}

void JobService::OnLoaded(const absl::Status& status) {
  load_in_flight_ = false;
  const TimePoint now = deps_.clock.Now();
  if (!status.ok()) {
    // An outage is told once, and a row that cannot be read whenever it
    // changes.
    if (readiness_.code() != status.code() || !absl::IsUnavailable(status)) {
      LOG(WARNING) << "shard " << deps_.ownership.region()
                   << " cannot be rebuilt yet: " << status.message();
    }
    readiness_ = status;
    next_load_ = now + options_.store_retry;
    return;
  }
  if (phase_ != Phase::kLoading)
    return;
  phase_ = Phase::kSettling;
  pool_.SyncSoon();
  loaded_ = now;
  readiness_ = absl::UnavailableError("the workers are being asked");
  for (const auto& [job, record] : rows_.records()) {
    if (record.state == JobState::kStarting ||
        record.state == JobState::kRunning) {
      executor_.Recover(record);
    }
  }
}

bool JobService::ReadyToSettle(TimePoint now) const {
  if (!domains_.loaded() || !workers_known_ || !workspaces_known_)
    return false;
  if (now - loaded_ >= options_.recovery_wait)
    return true;
  if (now - loaded_ < options_.first_sync_wait && !pool_.AllUpAndClean())
    return false;
  for (const auto& [job, record] : rows_.records()) {
    if (!executor_.AnsweredEverywhere(job))
      return false;
    for (const WorkerId& worker : record.placement) {
      if (pool_.HoldsUnaccounted(worker))
        return false;
    }
  }
  return true;
}

void JobService::Settle(TimePoint now) {
  // Commands wait until the scheduler knows everything that runs.
  Commands commands;
  const auto add = [&commands](Commands more) {
    std::move(more.begin(), more.end(), std::back_inserter(commands));
  };
  for (const auto& [domain, row] : domains_.rows()) {
    if (!row.in_service)
      add(scheduler_->SetDomainInService(domain, false, now));
  }
  add(scheduler_->SetWorkspaces(workspaces_, now));
  for (const scheduling::Worker& worker : pool_.ListedWorkers()) {
    add(scheduler_->AddWorker(worker, now));
    const WorkerSession* session = pool_.FindSession(worker.id);
    if (session->up() && !pool_.HoldsUnaccounted(worker.id)) {
      added_.insert(worker.id);
      continue;
    }
    // The scheduler must know the worker, or it would refuse jobs that fit
    // only with it. It comes back when it answers and holds no unaccounted
    // gang.
    add(scheduler_->WorkerLost(worker.id, now));
  }
  phase_ = Phase::kServing;
  readiness_ = absl::OkStatus();
  executor_.Settle(std::move(commands), now);
  LOG(INFO) << "shard " << deps_.ownership.region() << " is served at epoch "
            << deps_.ownership.epoch();
}

bool JobService::Accounts(const GangKey& gang, const WorkerId& worker) {
  return executor_.Accounts(gang, worker);
}

void JobService::OnWorkerUsable(const scheduling::Worker& worker) {
  if (phase_ != Phase::kServing || !added_.insert(worker.id).second)
    return;
  const TimePoint now = deps_.clock.Now();
  executor_.Apply(scheduler_->AddWorker(worker, now), now);
}

void JobService::OnWorkerDown(const WorkerId& worker) {
  LOG(WARNING) << "worker " << worker << " is lost";
  added_.erase(worker);
  executor_.OnWorkerDown(worker, deps_.clock.Now());
}

void JobService::OnReport(const WorkerId& worker, const TaskReport& report) {
  executor_.OnReport(worker, report);
}

void JobService::OnReportsDone(const WorkerId& /*worker*/) {
  executor_.OnReportsDone(deps_.clock.Now());
}

void JobService::OnFenced(const WorkerId& worker) {
  LOG(WARNING) << "worker " << worker << " has seen a higher epoch";
  Fence();
}

}  // namespace quetzalshelf::jobs
