// Dispatcher: job and state rows, the list of workers, and the event loop.

#include "servers/batch/dispatcher.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"
#include "servers/batch/job_codec.h"

namespace quetzalshelf::batch {

namespace {

// Urgent jobs are late after a few hundred milliseconds, so jobs that a silent
// feed misses must be found sooner.
constexpr Duration kJobPollPeriod{200};
// Short because all jobs wait for these feeds; only the leader's few feeds
// retry this often.
constexpr Duration kMaxFeedRetryDelay{150};
// Workers that answer tell of the runs of a former leader within some 0.3 s of
// a change of leader. Half of the time for which the former leader's report is
// told.
constexpr Duration kRecoveredRunGrace{1'000};
// Twice the time for which callers may query a finished job.
constexpr Duration kFinishedJobRetention{240'000};
// A read of all jobs that began before the rows of a job were deleted may still
// deliver them; it takes less than this.
constexpr Duration kDeletedJobRetention{60'000};
constexpr Duration kCleanupPeriod{5'000};
constexpr Duration kCleanupTimeout{1'000};
// Changes within this time are handled in one scheduling pass. A pass visits
// every worker, so the spacing grows with their number.
constexpr Duration kMinPassSpacing{10};
constexpr Duration kMaxPassSpacing{40};
constexpr int64_t kWorkersPerPassMs = 10;
// Starts that are impossible for this long are logged; later lines come after
// twice the time.
constexpr Duration kBlockedWarning{1'000};
// A worker that has started within this time may have had a former process to
// which calls are still under way. Includes the differences of wall clocks.
constexpr Duration kYoungWorker{22'000};
// Limits the computed age of a job after a jump of the wall clock.
constexpr Duration kMaxJobAge{600'000};

}  // namespace

Dispatcher::Dispatcher(VersionedStore& store,
                       WorkerPort& workers,
                       const Clock& clock,
                       const SiteView& site,
                       MetricsRegistry& metrics,
                       FencingToken fencing_token,
                       DeposedHandler on_deposed,
                       StateWriter::HeartbeatSource heartbeat,
                       DispatcherOptions options,
                       uint64_t seed)
    : store_(store),
      port_(workers),
      clock_(clock),
      site_(site),
      fencing_token_(fencing_token),
      on_deposed_(std::move(on_deposed)),
      options_(options),
      registry_(options.lease_limits),
      writer_(
          store,
          clock,
          fencing_token,
          [this](const JobId& id) { return MakeStateRow(id); },
          [this](const JobId& id, uint64_t revision, RowVersion version) {
            OnStateCommitted(id, revision, version);
          },
          [this] { Depose("the epoch row has changed"); },
          std::move(heartbeat),
          seed),
      began_(clock.Now()),
      blocked_since_(began_),
      blocked_warning_(kBlockedWarning),
      metrics_(metrics),
      starts_(metrics.GetCounter("quetzalshelf_task_starts_total")),
      ends_(metrics.GetCounter("quetzalshelf_task_ends_total")),
      failures_(metrics.GetCounter("quetzalshelf_task_failures_total")),
      losses_(metrics.GetCounter("quetzalshelf_task_losses_total")),
      crashes_(metrics.GetCounter("quetzalshelf_task_crashes_total")),
      reclaims_(metrics.GetCounter("quetzalshelf_reclaims_total")),
      cap_reclaims_(metrics.GetCounter("quetzalshelf_cap_reclaims_total")),
      start_delay_(metrics.GetDistribution("quetzalshelf_start_delay_ms")) {
  states_ = std::make_unique<TableFollower>(
      store_, clock_,
      TableFollowerOptions{.table = kStateTable,
                           .partitions = {kLeaderPartition}},
      [this](const std::vector<StoreRow>& rows) { OnStates(rows); },
      [](const std::vector<StoreRow>&) {}, seed + 1);
  job_rows_ = std::make_unique<TableFollower>(
      store_, clock_,
      TableFollowerOptions{.table = kJobTable,
                           .partitions = JobPartitions(),
                           .poll = kJobPollPeriod,
                           .longest_retry = kMaxFeedRetryDelay},
      [this](const std::vector<StoreRow>& rows) { OnJobs(rows); },
      [this](const std::vector<StoreRow>& rows) { OnJobs(rows); }, seed + 2);
}

Dispatcher::~Dispatcher() {
  *alive_ = false;
}

void Dispatcher::Tick(TimePoint now) {
  if (deposed_)
    return;
  // The states are read once, since only the leader writes them.
  if (states_read_)
    states_.reset();
  else
    states_->Tick(now);
  job_rows_->Tick(now);
  LogStartability(now);
  // Until the jobs are loaded, the runs and ends of workers cannot be matched
  // to jobs and would be taken for unassigned ones.
  if (!HasLoadedJobs())
    return;
  TickRuns(now);
  for (auto& [id, worker] : registry_.workers())
    TickWorker(worker, now);
  contacts_.Refill(registry_.workers(), now);
  ContactWorkers(now);
  SettleOldLosses(now);
  if (now > strays_end_) {
    strays_end_ = TimePoint::max();
    pass_due_ = true;
  }
  Pump(now);
  if (now >= next_cleanup_) {
    next_cleanup_ = now + kCleanupPeriod;
    pass_due_ = true;
    RetireFinishedJobs();
    ForgetOldJobs(now);
  }
}

bool Dispatcher::HasLoadedJobs() const {
  return states_read_ && job_rows_->ready();
}

void Dispatcher::Pump(TimePoint now) {
  if (deposed_ || !HasLoadedJobs())
    return;
  if (pass_due_ && now - last_pass_ >= PassSpacing() && MayStart(now)) {
    last_pass_ = now;
    pass_due_ = false;
    RunPass(now);
  }
  for (const TaskId& id : std::exchange(due_runs_, {})) {
    Job* const job = FindJob(id.job);
    TaskProgress* const task = job ? job->Find(id) : nullptr;
    if (task && task->run)
      TickRun(*job, id, *task, now);
  }
  for (const WorkerId& id : std::exchange(due_workers_, {})) {
    if (Worker* const worker = registry_.Find(id))
      TickWorker(*worker, now);
  }
  writer_.Pump(now);
}

Duration Dispatcher::PassSpacing() {
  const auto workers = static_cast<int64_t>(registry_.workers().size());
  return std::clamp(Duration(workers / kWorkersPerPassMs), kMinPassSpacing,
                    kMaxPassSpacing);
}

bool Dispatcher::MayStart(TimePoint now) const {
  return !retired_ && !deposed_ && workers_read_ && HasLoadedJobs() &&
         site_.config() && now - workers_confirmed_at_ <= kMaxViewAge &&
         now - site_.confirmed_at() <= kMaxViewAge &&
         now - job_rows_->confirmed_at() <= kMaxViewAge;
}

DispatcherStatus Dispatcher::Status(TimePoint now) const {
  return {.states_read = states_read_,
          .jobs_read = job_rows_->ready(),
          .workers_read = workers_read_,
          .may_start = MayStart(now),
          .jobs_age = now - std::max(job_rows_->confirmed_at(), began_),
          .workers_age = now - std::max(workers_confirmed_at_, began_),
          .config_age = now - site_.confirmed_at()};
}

void Dispatcher::LogStartability(TimePoint now) {
  const DispatcherStatus status = Status(now);
  const bool was_blocked = std::exchange(blocked_, !status.may_start);
  if (was_blocked != blocked_) {
    const bool first = blocked_since_ == began_;
    if (status.may_start && (first || blocked_warning_ > kBlockedWarning)) {
      LOG(INFO) << "tasks can start: epoch=" << fencing_token_.epoch
                << " after_ms=" << (now - blocked_since_).count()
                << " jobs=" << jobs_.size()
                << " workers=" << registry_.workers().size();
    }
    blocked_since_ = now;
    blocked_warning_ = kBlockedWarning;
  }
  if (!blocked_ || now - blocked_since_ < blocked_warning_)
    return;
  blocked_warning_ *= 2;
  LOG(WARNING) << "tasks cannot start: epoch=" << fencing_token_.epoch
               << " for_ms=" << (now - blocked_since_).count()
               << " states_read=" << status.states_read
               << " jobs_read=" << status.jobs_read
               << " workers_read=" << status.workers_read
               << " jobs_age_ms=" << status.jobs_age.count()
               << " workers_age_ms=" << status.workers_age.count()
               << " config_age_ms=" << status.config_age.count()
               << " retired=" << retired_;
}

Duration Dispatcher::MaxLease(TimePoint now) const {
  const TimePoint confirmed =
      std::max(leadership_confirmed_at_, writer_.confirmed_at());
  return confirmed + options_.lease_limits.unconfirmed() - now;
}

void Dispatcher::OnStates(const std::vector<StoreRow>& rows) {
  const TimePoint now = clock_.Now();
  for (const StoreRow& it : rows) {
    const JobId id(it.id.key);
    const std::optional<StateSummary> summary = DecodeStateSummary(it.value);
    if (summary && summary->over)
      finished_[id] = {now, it.version};
    else
      restored_[id] = it;
  }
  states_read_ = true;
  LOG(INFO) << "states of jobs read: epoch=" << fencing_token_.epoch
            << " jobs=" << rows.size() << " over=" << finished_.size();
  OnJobs(std::exchange(buffered_jobs_, {}));
}

void Dispatcher::OnJobs(const std::vector<StoreRow>& rows) {
  // The progress of a job comes from its state row, so states are read first.
  if (!states_read_) {
    buffered_jobs_.insert(buffered_jobs_.end(), rows.begin(), rows.end());
    return;
  }
  const TimePoint now = clock_.Now();
  for (const StoreRow& it : rows) {
    if (it.deleted)
      continue;
    if (const JobId cancelled = CancelledJob(it.id); !cancelled.empty()) {
      OnCancel(cancelled, now);
      continue;
    }
    const JobId id(it.id.key);
    if (!jobs_.contains(id) && !finished_.contains(id))
      AddJob(it, now);
  }
  Pump(now);
}

void Dispatcher::AddJob(const StoreRow& row, TimePoint now) {
  const JobId id(row.id.key);
  Findings findings;
  std::optional<JobRecord> record = DecodeJobRecord(id, row.value, findings);
  if (!record) {
    LOG(ERROR) << "job " << id
               << " cannot be read and is not run: " << findings.ToString();
    return;
  }
  // VMs' wall clocks differ a little, so an age may come out negative.
  const Duration age =
      std::clamp(Duration(clock_.WallMillis() - record->accepted_wall_ms),
                 Duration(0), kMaxJobAge);
  auto job = std::make_unique<Job>(*std::move(record), now, age);
  if (const auto it = restored_.find(id); it != restored_.end()) {
    job->row_version = it->second.version;
    if (!job->RestoreState(it->second.value, now)) {
      LOG(ERROR) << "state of job " << id
                 << " cannot be read; the job is not run";
      return;
    }
    restored_.erase(it);
    job->revision = job->committed_revision = 1;
  }
  Job& added = *job;
  added.loaded_at = now;
  jobs_.emplace(id, std::move(job));
  live_.insert(id);
  pass_due_ = true;
  added.ForEachTask([&](const TaskId& task_id, const TaskProgress& task) {
    for (const UnclearLoss& it : task.unclear_losses)
      unclear_losses_[it.worker].insert(task_id);
  });
  if (cancelled_.contains(id))
    CancelJob(added, now);
  // The stop orders of a former leader may have been lost with it.
  StopObsoleteRuns(added, now);
  LOG(INFO) << "job " << id << " loaded: queue=" << added.record().queue
            << " workspace=" << added.record().workspace
            << " steps=" << added.record().spec.steps.size()
            << " tasks=" << added.record().spec.steps.front().tasks
            << " accelerators="
            << added.record().spec.steps.front().resources.accelerators.value()
            << " estimate_ms=" << added.ChainEstimate().count()
            << " phase=" << ToString(added.phase())
            << " age_ms=" << age.count();
}

void Dispatcher::OnCancel(const JobId& id, TimePoint now) {
  if (!cancelled_.insert(id).second)
    return;
  if (Job* const job = FindJob(id))
    CancelJob(*job, now);
}

void Dispatcher::CancelJob(Job& job, TimePoint now) {
  if (job.IsFinal())
    return;
  LOG(INFO) << "job " << job.record().id << " cancelled";
  job.Cancel();
  StopUnfinished(job, now, "the job was cancelled");
  MarkChanged(job);
}

void Dispatcher::MarkChanged(Job& job, WriteUrgency urgency) {
  ++job.revision;
  pass_due_ = true;
  const bool is_final = job.IsFinal();
  writer_.MarkDirty(job.record().id, is_final ? WriteUrgency::kNow : urgency,
                    clock_.Now());
  if (!is_final || job.final_since != TimePoint())
    return;
  job.final_since = clock_.Now();
  LOG(INFO) << "job " << job.record().id << " is " << ToString(job.phase())
            << ": queue=" << job.record().queue
            << " priority=" << job.record().priority
            << " after_ms=" << (job.final_since - job.accepted_at()).count()
            << " objective_ms=" << (job.Objective() - job.accepted_at()).count()
            << " loaded_ms=" << (job.loaded_at - job.accepted_at()).count()
            << " placed_ms="
            << (job.first_placed_at == TimePoint()
                    ? Duration(-1)
                    : Duration(job.first_placed_at - job.accepted_at()))
                   .count()
            << " attempts=" << job.HighestAttempt();
}

std::optional<StateRow> Dispatcher::MakeStateRow(const JobId& id) {
  const Job* const job = FindJob(id);
  if (!job)
    return std::nullopt;
  return StateRow{job->EncodeState(), job->row_version, job->revision};
}

void Dispatcher::OnStateCommitted(const JobId& id,
                                  uint64_t revision,
                                  RowVersion version) {
  Job* const job = FindJob(id);
  if (!job)
    return;
  job->row_version = version;
  job->committed_revision = std::max(job->committed_revision, revision);
  const TimePoint now = clock_.Now();
  if (job->revision > revision)
    writer_.MarkDirty(id, WriteUrgency::kNow, now);
  TaskId task_id{id};
  for (OccurrenceProgress& occurrence : job->occurrences()) {
    task_id.step = 0;
    for (StepProgress& step : occurrence.steps) {
      task_id.index = 0;
      for (TaskProgress& task : step.tasks) {
        if (task.run && task.run->phase == RunPhase::kRecording &&
            task.run->revision <= job->committed_revision) {
          task.run->phase = RunPhase::kStarting;
          task.run->phase_since = now;
          due_runs_.insert(task_id);
        }
        ++task_id.index;
      }
      ++task_id.step;
    }
    ++task_id.occurrence;
  }
  for (const WorkerId& worker_id : std::set<WorkerId>(awaiting_record_))
    RecordEnds(*registry_.Find(worker_id));
  Pump(now);
}

void Dispatcher::RecordEnds(Worker& worker) {
  while (!worker.pending_ends.empty()) {
    const Worker::PendingEnd& end = worker.pending_ends.front();
    const Job* const job = FindJob(end.job);
    if (job && job->committed_revision < end.revision) {
      awaiting_record_.insert(worker.entry.id);
      return;
    }
    worker.recorded_ends = end.number;
    worker.pending_ends.pop_front();
    worker.sync_soon = true;
    worker.next_sync = TimePoint();
    due_workers_.insert(worker.entry.id);
  }
  awaiting_record_.erase(worker.entry.id);
}

void Dispatcher::OnWorkers(const std::vector<WorkerEntry>& entries,
                           TimePoint now) {
  std::set<WorkerId> listed;
  for (const WorkerEntry& it : entries) {
    listed.insert(it.id);
    UpdateWorker(it, now);
  }
  registry_.KeepOnly(listed);
  workers_read_ = true;
  pass_due_ = true;
  Pump(now);
}

void Dispatcher::OnWorker(const WorkerEntry& entry, TimePoint now) {
  Worker* const known = registry_.Find(entry.id);
  const bool news =
      !known || !known->listed || known->entry.draining != entry.draining ||
      known->entry.incarnation_start_wall_ms != entry.incarnation_start_wall_ms;
  UpdateWorker(entry, now);
  if (news)
    pass_due_ = true;
}

void Dispatcher::UpdateWorker(const WorkerEntry& entry, TimePoint now) {
  const Worker* const known = registry_.Find(entry.id);
  if (known &&
      known->entry.incarnation_start_wall_ms != entry.incarnation_start_wall_ms)
    speeds_.Forget(entry.id);
  const bool is_new = !known || known->entry.port == 0;
  Worker& worker = registry_.Update(entry, now);
  // Calls of a former leader to its former process may still be carried out.
  if (is_new && clock_.WallMillis() - entry.incarnation_start_wall_ms <
                    kYoungWorker.count())
    worker.restarted_at = now;
  // An entry may be older than the process that it names; only a new process
  // tells something of the former one.
  const int64_t known_start = worker.entry.incarnation_start_wall_ms;
  SettleLosses(entry.id, /*has_crashed=*/true, now, [&](const UnclearLoss& it) {
    return it.incarnation_start_wall_ms != 0 &&
           known_start > it.incarnation_start_wall_ms;
  });
}

void Dispatcher::OnWorkerUnlisted(const WorkerId& id) {
  registry_.Unlist(id);
}

Job* Dispatcher::FindJob(const JobId& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

void Dispatcher::Depose(const std::string& reason) {
  if (deposed_)
    return;
  deposed_ = true;
  on_deposed_(reason);
}

Fence Dispatcher::FenceOf(const Worker& worker) const {
  return MakeFence(fencing_token_.epoch, worker.fence_series);
}

void Dispatcher::OnFencedByWorker(const Worker& worker, Fence fence) {
  if (fence < FenceOf(worker)) {
    LOG(INFO) << "worker " << worker.entry.id
              << " refused a call that a later one has overtaken";
    return;
  }
  fenced_by_worker_ = true;
  Depose("a worker knows a newer epoch");
}

bool Dispatcher::HasRuns() const {
  return std::ranges::any_of(registry_.workers(),
                             [](const auto& it) { return it.second.runs > 0; });
}

std::unique_ptr<LeaseHandover> Dispatcher::HandOverLeases(TimePoint now) const {
  std::vector<Worker> workers;
  for (const auto& [id, worker] : registry_.workers()) {
    if (worker.runs > 0 && worker.has_clock && worker.entry.port != 0)
      workers.push_back(worker);
  }
  if (fenced_by_worker_ || workers.empty() || MaxLease(now) <= Duration(0))
    return nullptr;
  LOG(INFO) << "leases are renewed until the next leader gives orders: epoch="
            << fencing_token_.epoch << " workers=" << workers.size()
            << " for_ms=" << MaxLease(now).count();
  return std::make_unique<LeaseHandover>(port_, clock_, fencing_token_.epoch,
                                         std::move(workers),
                                         now + MaxLease(now));
}

std::optional<LoadReport> Dispatcher::Report(TimePoint now) const {
  if (!HasLoadedJobs() || now - job_rows_->confirmed_at() > kMaxViewAge)
    return std::nullopt;
  LoadReport report;
  for (const JobId& id : live_) {
    const Job& job = *jobs_.at(id);
    if (job.has_begun() || job.IsFinal())
      continue;
    // The order of a recorded start may not have reached its worker.
    if (now - job.loaded_at < kRecoveredRunGrace && job.HasRecoveredRuns())
      return std::nullopt;
    ++report.queues[job.record().queue].pending;
  }
  return report;
}

void Dispatcher::RetireFinishedJobs() {
  std::erase_if(jobs_, [this](const auto& entry) {
    const auto& [id, job] = entry;
    const bool over = job->final_since != TimePoint() && !live_.contains(id) &&
                      job->committed_revision == job->revision;
    if (over)
      finished_[id] = {job->final_since, job->row_version};
    return over;
  });
}

void Dispatcher::ForgetOldJobs(TimePoint now) {
  for (auto& [id, job] : finished_) {
    if (job.deleting || now - job.since <= kFinishedJobRetention)
      continue;
    job.deleting = true;
    DeleteRows(id, job.state_version);
  }
  std::erase_if(finished_, [&](const auto& entry) {
    const auto& [id, job] = entry;
    if (!job.deleted_at || now - *job.deleted_at <= kDeletedJobRetention)
      return false;
    cancelled_.erase(id);
    return true;
  });
}

void Dispatcher::OnRowsDeleted(const JobId& id, bool deleted, TimePoint now) {
  const auto it = finished_.find(id);
  if (it == finished_.end())
    return;
  it->second.deleting = deleted;
  if (deleted)
    it->second.deleted_at = now;
}

void Dispatcher::DeleteRows(const JobId& id, RowVersion state_version) {
  // The job's rows go first: a state without a job is harmless, a job without
  // its state would run again.
  StoreTransaction job_rows;
  job_rows.deletes = {JobRowKey(id), CancelRowKey(id)};
  store_.Commit(
      job_rows, kCleanupTimeout,
      [this, alive = alive_, id,
       state_version](const absl::StatusOr<CommitOutcome>& result) {
        if (!*alive)
          return;
        OnRowsDeleted(id, result.ok(), clock_.Now());
        if (!result.ok()) {
          LOG(WARNING) << "old job " << id
                       << " was not deleted: " << result.status().message();
          return;
        }
        StoreTransaction state;
        state.conditions = {{EpochRowKey(), fencing_token_.version},
                            {StateRowKey(id), state_version}};
        state.deletes = {StateRowKey(id)};
        store_.Commit(state, kCleanupTimeout,
                      [id](const absl::StatusOr<CommitOutcome>& outcome) {
                        if (!outcome.ok()) {
                          LOG(WARNING) << "state of old job " << id
                                       << " was not deleted: "
                                       << outcome.status().message();
                        }
                      });
      });
}

}  // namespace quetzalshelf::batch
