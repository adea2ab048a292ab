// Recovery of attempts that an earlier owner started.

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "core/logging.h"
#include "servers/jobs/gang_executor.h"
#include "servers/jobs/worker_session.h"

namespace quetzalshelf::jobs {

using scheduling::Commands;

void GangExecutor::Recover(const JobRecord& record) {
  const JobId& job = record.spec.job.id;
  Attempted& attempted = runs_[job];
  attempted.run = MakeRun(record, {.job = job,
                                   .attempt = record.attempt,
                                   .placement = record.placement,
                                   .guaranteed = record.guaranteed});
  attempted.scheduled = record.attempt;
  attempted.known_to_core = false;
  attempted.run->Recover();
}

bool GangExecutor::AnsweredEverywhere(const JobId& job) const {
  auto it = runs_.find(job);
  if (it == runs_.end())
    return true;
  const scheduling::Placement& placement = it->second.run->start().placement;
  return std::all_of(
      placement.begin(), placement.end(), [this](const WorkerId& worker) {
        const WorkerSession* session = deps_.pool.FindSession(worker);
        return session != nullptr && session->up();
      });
}

bool GangExecutor::RunsWhole(const GangRun& run) const {
  const scheduling::Placement& placement = run.start().placement;
  return run.phase() == GangRun::Phase::kRecovering && run.AllTasksRun() &&
         std::all_of(placement.begin(), placement.end(),
                     [&](const WorkerId& worker) {
                       return deps_.pool.HeldAtStart(run.key(), worker) &&
                              !deps_.pool.HoldsUnaccounted(worker);
                     });
}

void GangExecutor::Settle(Commands commands, TimePoint now) {
  std::vector<JobId> jobs;
  std::vector<const JobRecord*> waiting;
  for (const auto& [job, attempted] : runs_)
    jobs.push_back(job);
  for (const auto& [job, record] : deps_.rows.records()) {
    if (!IsFinal(record.state) && !runs_.contains(job))
      waiting.push_back(&record);
  }
  const auto add = [&commands](Commands more) {
    std::move(more.begin(), more.end(), std::back_inserter(commands));
  };
  for (const JobId& job : jobs) {
    Attempted& attempted = runs_.at(job);
    GangRun& run = *attempted.run;
    if (!RunsWhole(run))
      continue;
    attempted.known_to_core = true;
    run.Adopt();
    SetState(run.key(), JobState::kRunning);
    add(deps_.scheduler.Adopt(run.spec().job, run.start(), run.checkpointed(),
                              now));
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const JobRecord* a, const JobRecord* b) {
              return a->order < b->order;
            });
  for (const JobRecord* record : waiting)
    add(deps_.scheduler.Submit(record->spec.job, now));
  for (const JobId& job : jobs) {
    GangRun& run = *runs_.at(job).run;
    if (run.phase() == GangRun::Phase::kRunning)
      touched_.insert(job);
    else
      run.Stop(/*commanded=*/true, now);
  }
  Apply(std::move(commands), now);
  OnReportsDone(now);
}

}  // namespace quetzalshelf::jobs
