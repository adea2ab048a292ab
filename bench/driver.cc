#include "bench/driver.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "bench/cpu_time.h"

namespace quetzalshelf::bench {
namespace {

constexpr Duration kTickEvery{1'000};
constexpr Duration kFragmentationEvery{5'000};
constexpr Duration kFirstUsageAfter{15'000};
constexpr Duration kUsageEvery{5 * 60'000};
constexpr Duration kSelfCheckpointEvery{15 * 60'000};

constexpr LatencyRange kStartLatency{Duration(200), Duration(1'500)};
constexpr LatencyRange kStopLatency{Duration(200), Duration(1'500)};
constexpr LatencyRange kCheckpointLatency{Duration(2'000), Duration(8'000)};

}  // namespace

Driver::Driver(const Trace& trace,
               scheduling::GangScheduler& scheduler,
               const DriverOptions& options)
    : trace_(trace),
      scheduler_(scheduler),
      options_(options),
      oracle_(trace.workspaces,
              {.domain_out_limit = trace.domain_out_limit},
              [this](const JobId& job) {
                return scheduler_.Explain(job, now_).guaranteed;
              }),
      workers_(trace),
      gangs_(trace.jobs.size()) {
  result_.jobs.resize(trace.jobs.size());
  for (size_t n = 0; n < trace.jobs.size(); ++n) {
    job_index_[trace.jobs[n].job.id] = n;
  }
}

RunResult Driver::Run() {
  Tell([&] { return scheduler_.SetWorkspaces(trace_.workspaces, now_); });
  for (const scheduling::Worker& it : trace_.workers) {
    oracle_.WorkerUp(it, now_);
    Tell([&] { return scheduler_.AddWorker(it, now_); });
  }
  for (size_t n = 0; n < trace_.jobs.size(); ++n) {
    Push({.at = trace_.jobs[n].submit, .kind = EventKind::kSubmit, .index = n});
  }
  for (size_t n = 0; n < trace_.faults.size(); ++n) {
    Push({.at = trace_.faults[n].at, .kind = EventKind::kFault, .index = n});
  }
  Push({.at = now_ + kTickEvery, .kind = EventKind::kTick});
  open_jobs_ = trace_.jobs.size();
  while (open_jobs_ > 0 && events_.top().at <= trace_.drain_end) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Dispatch(event);
  }
  oracle_.End(now_);
  result_.counts = oracle_.counts();
  result_.findings = oracle_.findings();
  ExplainOpenJobs();
  result_.end = now_;
  return std::move(result_);
}

void Driver::ExplainOpenJobs() {
  static constexpr const char* kPhases[] = {"waits",  "starts", "runs",
                                            "is cut", "stops",  "has ended"};
  for (size_t n = 0; n < trace_.jobs.size(); ++n) {
    if (result_.jobs[n].outcome == Outcome::kNone) {
      const JobId& id = trace_.jobs[n].job.id;
      result_.findings.push_back(
          id.value() + " " + kPhases[static_cast<size_t>(gangs_[n].phase)] +
          " at the end: " + scheduler_.Explain(id, now_).sentence);
    }
  }
}

void Driver::Push(Event event) {
  event.order = next_order_++;
  events_.push(event);
}

void Driver::PushGang(EventKind kind, size_t job, Duration delay) {
  Push({.at = now_ + delay,
        .kind = kind,
        .index = job,
        .attempt = gangs_[job].attempt,
        .version = gangs_[job].version});
}

// Whether the gang is still in a phase to which the event belongs.
bool Driver::Valid(const Event& event) const {
  const Gang& gang = gangs_[event.index];
  if (gang.attempt != event.attempt) {
    return false;
  }
  switch (event.kind) {
    case EventKind::kStarted:
      return gang.phase == Phase::kStarting;
    case EventKind::kStartTimeout:
      return gang.phase == Phase::kBroken;
    case EventKind::kStopped:
      return gang.phase == Phase::kStopping;
    case EventKind::kFinished:
      return gang.phase == Phase::kRunning && gang.version == event.version;
    default:
      return gang.phase == Phase::kRunning;
  }
}

void Driver::Dispatch(const Event& event) {
  using Handler = void (Driver::*)(const Event&);
  struct Row {
    EventKind kind;
    Handler handler;
    bool of_gang;
  };
  static constexpr Row kRows[] = {
      {EventKind::kSubmit, &Driver::OnSubmit, false},
      {EventKind::kFault, &Driver::OnFault, false},
      {EventKind::kTick, &Driver::OnTick, false},
      {EventKind::kWorkerLost, &Driver::OnWorkerLost, false},
      {EventKind::kDomainDown, &Driver::OnDomainDown, false},
      {EventKind::kStarted, &Driver::OnStarted, true},
      {EventKind::kStartTimeout, &Driver::OnStartTimeout, true},
      {EventKind::kTaskFailed, &Driver::OnTaskFailed, true},
      {EventKind::kFinished, &Driver::OnFinished, true},
      {EventKind::kCheckpointSaved, &Driver::OnCheckpointSaved, true},
      {EventKind::kSelfCheckpoint, &Driver::OnSelfCheckpoint, true},
      {EventKind::kStopped, &Driver::OnStopped, true},
      {EventKind::kUsage, &Driver::OnUsage, true},
  };
  const auto* row =
      std::find_if(std::begin(kRows), std::end(kRows),
                   [&](const Row& it) { return it.kind == event.kind; });
  if (!row->of_gang || Valid(event)) {
    ++result_.events;
    (this->*row->handler)(event);
  }
}

void Driver::OnSubmit(const Event& event) {
  const TraceJob& it = trace_.jobs[event.index];
  waiting_.insert(event.index);
  oracle_.Submitted(it.job, it.runnable, now_);
  Tell([&] { return scheduler_.Submit(it.job, now_); });
}

void Driver::OnTick(const Event& /*event*/) {
  ++result_.ticks;
  Tell([&] { return scheduler_.Tick(now_); });
  oracle_.Check(now_);
  if (now_.time_since_epoch() % kFragmentationEvery == Duration(0)) {
    SampleFragmentation();
  }
  Push({.at = now_ + kTickEvery, .kind = EventKind::kTick});
}

void Driver::OnStarted(const Event& event) {
  const size_t job = event.index;
  const TraceJob& it = trace_.jobs[job];
  Gang& gang = gangs_[job];
  gang.phase = Phase::kRunning;
  gang.since = now_;
  gang.progress =
      options_.resume_from_checkpoint ? gang.checkpoint : Duration(0);
  SetThrottle(job, 100);
  ++result_.jobs[job].starts;
  running_tasks_ += it.job.gang.tasks;
  result_.most_tasks_running =
      std::max(result_.most_tasks_running, running_tasks_);
  ScheduleEnd(job);
  ScheduleFailure(job);
  PushGang(EventKind::kUsage, job, kFirstUsageAfter);
  if (it.job.can_checkpoint) {
    PushGang(EventKind::kSelfCheckpoint, job, kSelfCheckpointEvery);
  }
  oracle_.Started(it.job.id, gang.attempt, now_);
  Tell([&] { return scheduler_.GangStarted(it.job.id, gang.attempt, now_); });
}

void Driver::OnStartTimeout(const Event& event) {
  const size_t job = event.index;
  const JobId& id = trace_.jobs[job].job.id;
  const WorkerId& refused_by = trace_.workers[gangs_[job].refused_by].id;
  Release(job);
  oracle_.StartFailed(id, event.attempt, now_);
  Tell([&] {
    return scheduler_.StartFailed(id, event.attempt, refused_by, now_);
  });
}

void Driver::OnFinished(const Event& event) {
  const size_t job = event.index;
  const TraceJob& it = trace_.jobs[job];
  Advance(job);
  Release(job);
  waiting_.erase(job);
  oracle_.Finished(it.job.id, event.attempt, now_);
  result_.jobs[job].completion_s =
      static_cast<double>((now_ - it.submit).count()) / 1e3;
  EndJob(job, Outcome::kFinished);
  Tell([&] { return scheduler_.GangFinished(it.job.id, event.attempt, now_); });
}

void Driver::OnCheckpointSaved(const Event& event) {
  const size_t job = event.index;
  Gang& gang = gangs_[job];
  gang.checkpoint = std::max(gang.checkpoint, event.progress);
  Tell([&] {
    return scheduler_.CheckpointSaved(trace_.jobs[job].job.id, event.attempt,
                                      event.progress, now_);
  });
}

void Driver::OnSelfCheckpoint(const Event& event) {
  StartCheckpoint(event.index);
  PushGang(EventKind::kSelfCheckpoint, event.index, kSelfCheckpointEvery);
}

void Driver::OnStopped(const Event& event) {
  const JobId& id = trace_.jobs[event.index].job.id;
  Release(event.index);
  oracle_.Stopped(id, event.attempt, now_);
  Tell([&] { return scheduler_.GangStopped(id, event.attempt, now_); });
}

void Driver::OnUsage(const Event& event) {
  const TraceJob& it = trace_.jobs[event.index];
  const double share = it.use_factor * gangs_[event.index].throttle / 100;
  const Accelerators used(static_cast<int64_t>(
      share * static_cast<double>(GangAccelerators(it.job))));
  Tell([&] {
    return scheduler_.UsageReported(it.job.id, event.attempt, used, now_);
  });
  PushGang(EventKind::kUsage, event.index, kUsageEvery);
}

void Driver::Tell(const std::function<scheduling::Commands()>& call) {
  const double start = CpuSeconds();
  const scheduling::Commands commands = call();
  result_.scheduler_cpu_s += CpuSeconds() - start;
  for (const scheduling::Command& it : commands) {
    oracle_.Commanded(it, now_);
    std::visit([this](const auto& command) { Apply(command); }, it);
  }
}

void Driver::Apply(const scheduling::StartGang& start) {
  const auto found = job_index_.find(start.job);
  if (found == job_index_.end()) {
    return;
  }
  const size_t job = found->second;
  Gang& gang = gangs_[job];
  // Nothing is left to stop of a gang whose workers are all known to be lost.
  if ((gang.phase == Phase::kBroken || gang.phase == Phase::kStopping) &&
      workers_.AllGone(job, gang.placement)) {
    Release(job);
  }
  if (gang.phase != Phase::kIdle) {
    return;
  }
  gang.phase = Phase::kStarting;
  gang.attempt = start.attempt;
  gang.placement = workers_.Indices(start.placement);
  workers_.Hold(job, gang.placement, trace_.jobs[job].job.gang.per_task);
  waiting_.erase(job);
  const auto down =
      std::find_if(gang.placement.begin(), gang.placement.end(),
                   [&](size_t it) { return workers_.IsDown(it); });
  if (down != gang.placement.end()) {
    gang.phase = Phase::kBroken;
    gang.refused_by = *down;
    PushGang(EventKind::kStartTimeout, job, kStartTimeout);
  } else {
    PushGang(EventKind::kStarted, job, Latency(job, 1, kStartLatency));
  }
}

void Driver::Apply(const scheduling::StopGang& stop) {
  const std::optional<size_t> job = FindHeld(stop.job, stop.attempt);
  if (!job || gangs_[*job].phase == Phase::kStopping) {
    return;
  }
  Advance(*job);
  Break(*job);
  gangs_[*job].phase = Phase::kStopping;
  PushGang(EventKind::kStopped, *job, Latency(*job, 2, kStopLatency));
}

void Driver::Apply(const scheduling::CheckpointGang& checkpoint) {
  const std::optional<size_t> job =
      FindHeld(checkpoint.job, checkpoint.attempt);
  if (job && gangs_[*job].phase == Phase::kRunning) {
    StartCheckpoint(*job);
  }
}

void Driver::Apply(const scheduling::ThrottleGang& throttle) {
  const std::optional<size_t> job = FindHeld(throttle.job, throttle.attempt);
  if (job && gangs_[*job].phase == Phase::kRunning) {
    Advance(*job);
    SetThrottle(*job, throttle.percent);
    ScheduleEnd(*job);
  }
}

void Driver::Apply(const scheduling::RefuseJob& refuse) {
  if (const auto it = job_index_.find(refuse.job); it != job_index_.end()) {
    CloseJob(it->second, Outcome::kRefused);
  }
}

std::optional<size_t> Driver::FindHeld(const JobId& id, Attempt attempt) const {
  const auto found = job_index_.find(id);
  if (found == job_index_.end()) {
    return std::nullopt;
  }
  const Gang& gang = gangs_[found->second];
  const bool held = gang.phase != Phase::kIdle && gang.phase != Phase::kEnded;
  return held && gang.attempt == attempt ? std::optional(found->second)
                                         : std::nullopt;
}

// Saves the progress made so far; the gang runs on meanwhile.
void Driver::StartCheckpoint(size_t job) {
  if (!trace_.jobs[job].job.can_checkpoint) {
    return;
  }
  Advance(job);
  const Duration delay = Latency(job, 3, kCheckpointLatency);
  Push({.at = now_ + delay,
        .kind = EventKind::kCheckpointSaved,
        .index = job,
        .attempt = gangs_[job].attempt,
        .progress = gangs_[job].progress});
}

// Run times hold at the declared size: a gang that uses more is not faster, and
// one that is throttled to its declared size is not slower.
void Driver::SetThrottle(size_t job, int percent) {
  Gang& gang = gangs_[job];
  gang.throttle = std::clamp(percent, 1, 100);
  const double use = std::max(1.0, trace_.jobs[job].use_factor);
  gang.speed_percent =
      std::max(1, static_cast<int>(std::min(100.0, gang.throttle * use)));
}

void Driver::ScheduleEnd(size_t job) {
  Gang& gang = gangs_[job];
  ++gang.version;
  const Duration rest = trace_.jobs[job].run_time - gang.progress;
  PushGang(EventKind::kFinished, job, rest * 100 / gang.speed_percent);
}

void Driver::Advance(size_t job) {
  Gang& gang = gangs_[job];
  if (gang.phase != Phase::kRunning) {
    return;
  }
  const TraceJob& it = trace_.jobs[job];
  const Duration done = std::min((now_ - gang.since) * gang.speed_percent / 100,
                                 it.run_time - gang.progress);
  gang.progress += done;
  gang.since = now_;
  // Only what goes beyond the most progress ever made was not done before.
  const Duration fresh = std::max(
      Duration(0), gang.progress - std::max(gang.best, gang.progress - done));
  gang.best = std::max(gang.best, gang.progress);
  const auto accelerators = static_cast<double>(GangAccelerators(it.job));
  result_.redone_accelerator_seconds +=
      accelerators * static_cast<double>((done - fresh).count()) / 1e3;
  if (fresh.count() > 0) {
    result_.work.push_back(
        {job, now_ - fresh * 100 / gang.speed_percent, now_,
         accelerators * static_cast<double>(fresh.count()) / 1e3});
  }
}

// No task of the gang makes progress any more.
void Driver::Break(size_t job) {
  Gang& gang = gangs_[job];
  if (gang.phase == Phase::kRunning) {
    running_tasks_ -= trace_.jobs[job].job.gang.tasks;
  }
  if (gang.phase != Phase::kStopping) {
    gang.phase = Phase::kBroken;
  }
}

void Driver::Release(size_t job) {
  Gang& gang = gangs_[job];
  Break(job);
  workers_.Release(job, gang.placement, trace_.jobs[job].job.gang.per_task);
  gang.placement.clear();
  gang.phase = Phase::kIdle;
  waiting_.insert(job);
  if (gang.closing != Outcome::kNone) {
    EndJob(job, gang.closing);
  }
}

// Ends the job now, or when its gang has stopped.
void Driver::CloseJob(size_t job, Outcome outcome) {
  Gang& gang = gangs_[job];
  if (gang.closing == Outcome::kNone) {
    gang.closing = outcome;
  }
  if (gang.phase == Phase::kIdle) {
    EndJob(job, gang.closing);
  }
}

void Driver::EndJob(size_t job, Outcome outcome) {
  if (gangs_[job].phase != Phase::kEnded) {
    gangs_[job].phase = Phase::kEnded;
    waiting_.erase(job);
    result_.jobs[job].outcome = outcome;
    --open_jobs_;
  }
}

Duration Driver::Latency(size_t job, uint64_t salt, const LatencyRange& range) {
  // Independent of the order of events, so that both schedulers meet the same
  // latencies for the same attempt.
  Random random(trace_.seed * 0x100000001B3ULL + job * 64 + salt * 8 +
                gangs_[job].attempt.value() * 0x9E3779B9ULL);
  return Duration(random.Between(range.min.count(), range.max.count()));
}

void Driver::SampleFragmentation() {
  WaitingShapes shapes;
  for (size_t job : waiting_) {
    const Shape& gang = trace_.jobs[job].job.gang;
    if (std::find(shapes.begin(), shapes.end(), gang) == shapes.end()) {
      shapes.push_back(gang);
    }
  }
  if (!shapes.empty()) {
    result_.fragmentation.Add(
        MeasureFreeSpace(workers_.FreeInService(), shapes),
        kFragmentationEvery);
  }
}

}  // namespace quetzalshelf::bench
