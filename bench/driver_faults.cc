// The faults of a trace: tasks, workers, failure domains and cancellations.

#include <algorithm>

#include "bench/driver.h"

namespace quetzalshelf::bench {
namespace {

constexpr Duration kWorkerLostAfter{30'000};  // The lease of its tasks.
constexpr LatencyRange kBadWorkerLatency{Duration(2'000), Duration(10'000)};
constexpr LatencyRange kFailingJobLatency{Duration(5'000), Duration(60'000)};

}  // namespace

void Driver::OnFault(const Event& event) {
  const Fault& fault = trace_.faults[event.index];
  switch (fault.kind) {
    case FaultKind::kWorkerDown:
      BreakWorker(fault.index, WorkerPool::Cause::kFailure);
      break;
    case FaultKind::kWorkerUp:
      RepairWorker(fault.index, WorkerPool::Cause::kFailure);
      break;
    case FaultKind::kWorkerBad:
    case FaultKind::kWorkerGood:
      SetBad(fault.index, fault.kind == FaultKind::kWorkerBad);
      break;
    case FaultKind::kDomainOut:
      TakeDomainOut(event.index);
      break;
    case FaultKind::kDomainIn:
      BringDomainBack(fault.domain);
      break;
    case FaultKind::kCancel:
      CancelJob(fault.index);
      break;
  }
}

void Driver::CancelJob(size_t job) {
  const JobId& id = trace_.jobs[job].job.id;
  oracle_.Cancelled(id, now_);
  Tell([&] { return scheduler_.Cancel(id, now_); });
  CloseJob(job, Outcome::kCancelled);
}

void Driver::BreakWorker(size_t worker, WorkerPool::Cause cause) {
  if (!workers_.TakeDown(worker, cause)) {
    return;
  }
  for (size_t job : workers_.gangs(worker)) {
    Gang& gang = gangs_[job];
    if (gang.phase == Phase::kStarting) {
      gang.refused_by = worker;
      PushGang(EventKind::kStartTimeout, job, kStartTimeout);
    }
    Advance(job);
    Break(job);
  }
  Push({.at = now_ + kWorkerLostAfter,
        .kind = EventKind::kWorkerLost,
        .index = worker,
        .version = workers_.absence(worker)});
}

void Driver::OnWorkerLost(const Event& event) {
  if (workers_.IsDown(event.index) &&
      workers_.absence(event.index) == event.version) {
    TellLost(event.index);
  }
}

void Driver::TellLost(size_t worker) {
  const WorkerId& id = trace_.workers[worker].id;
  workers_.SetToldLost(worker);
  oracle_.WorkerDown(id, now_);
  Tell([&] { return scheduler_.WorkerLost(id, now_); });
}

void Driver::RepairWorker(size_t worker, WorkerPool::Cause cause) {
  if (!workers_.BringUp(worker, cause)) {
    return;
  }
  // A worker that returns before its loss was noticed has lost its tasks too.
  if (!workers_.told_lost(worker)) {
    TellLost(worker);
  }
  workers_.Clear(worker);
  oracle_.WorkerUp(trace_.workers[worker], now_);
  Tell([&] { return scheduler_.AddWorker(trace_.workers[worker], now_); });
}

void Driver::SetBad(size_t worker, bool bad) {
  workers_.SetBad(worker, bad);
  oracle_.WorkerBad(trace_.workers[worker].id, bad, now_);
  for (size_t job : workers_.gangs(worker)) {
    if (bad && gangs_[job].phase == Phase::kRunning) {
      ScheduleFailure(job);
    }
  }
}

void Driver::TakeDomainOut(size_t fault) {
  const Fault& out = trace_.faults[fault];
  const auto back = std::find_if(
      trace_.faults.begin() + static_cast<std::ptrdiff_t>(fault),
      trace_.faults.end(), [&](const Fault& it) {
        return it.kind == FaultKind::kDomainIn && it.domain == out.domain;
      });
  result_.moves.push_back({now_, back->at + (back->at - out.at)});
  Push({.at = now_ + trace_.domain_notice,
        .kind = EventKind::kDomainDown,
        .index = fault});
  SetDomain(out.domain, false);
}

// The workers of the domain stop, whatever still runs there.
void Driver::OnDomainDown(const Event& event) {
  const DomainId& domain = trace_.faults[event.index].domain;
  for (size_t n = 0; n < trace_.workers.size(); ++n) {
    if (trace_.workers[n].domain == domain && workers_.IsOut(domain)) {
      BreakWorker(n, WorkerPool::Cause::kDomain);
    }
  }
}

void Driver::BringDomainBack(const DomainId& domain) {
  for (size_t n = 0; n < trace_.workers.size(); ++n) {
    if (trace_.workers[n].domain == domain) {
      RepairWorker(n, WorkerPool::Cause::kDomain);
    }
  }
  SetDomain(domain, true);
}

void Driver::SetDomain(const DomainId& domain, bool in_service) {
  workers_.SetOut(domain, !in_service);
  oracle_.DomainInService(domain, in_service, now_);
  Tell([&] { return scheduler_.SetDomainInService(domain, in_service, now_); });
}

void Driver::OnTaskFailed(const Event& event) {
  const size_t job = event.index;
  const JobId& id = trace_.jobs[job].job.id;
  Gang& gang = gangs_[job];
  Advance(job);
  Break(job);
  gang.failed_once = true;
  const WorkerId& worker = trace_.workers[event.worker].id;
  oracle_.TaskFailed(id, event.attempt, worker, now_);
  Tell([&] { return scheduler_.TaskFailed(id, event.attempt, worker, now_); });
}

void Driver::ScheduleFailure(size_t job) {
  const TraceJob& it = trace_.jobs[job];
  const Gang& gang = gangs_[job];
  Event event{
      .kind = EventKind::kTaskFailed, .index = job, .attempt = gang.attempt};
  const auto bad =
      std::find_if(gang.placement.begin(), gang.placement.end(),
                   [&](size_t worker) { return workers_.IsBad(worker); });
  if (bad != gang.placement.end()) {
    event.at = now_ + Latency(job, 4, kBadWorkerLatency);
    event.worker = *bad;
  } else if (it.fails_always) {
    event.at = now_ + Latency(job, 5, kFailingJobLatency);
    event.worker = gang.placement.back();
  } else if (it.fails_once && !gang.failed_once &&
             gang.progress <= it.fail_after) {
    event.at = now_ + (it.fail_after - gang.progress);
    event.worker = gang.placement.front();
  } else {
    return;
  }
  Push(event);
}

}  // namespace quetzalshelf::bench
