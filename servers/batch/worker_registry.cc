#include "servers/batch/worker_registry.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

#include "core/logging.h"

namespace quetzalshelf::batch {

namespace {

// Failed syncs in a row after which a worker gets no further tasks.
constexpr int kUnreachableSyncs = 2;
// A clock that falls back by more than this belongs to a new incarnation.
constexpr int64_t kClockFallbackMs = 1'000;
// Calls without an answer have been carried out up to 12 s later.
constexpr Duration kLatestCall{12'500};
// A task that makes its worker crash does so within this time of its start.
constexpr Duration kCrashWindow{1'000};

// When a lease of this length, granted by now, has ended on the slowest clock.
TimePoint LatestEnd(TimePoint now, Duration length) {
  const auto longest = static_cast<int64_t>(
      std::ceil(static_cast<double>(length.count()) / kSlowestClock));
  return now + Duration(longest) + kLeaseMargin;
}

}  // namespace

int64_t Worker::EstimateClock(TimePoint now) const {
  const auto elapsed = static_cast<double>((now - clock_at).count());
  return clock_ms + static_cast<int64_t>(std::floor(elapsed * kSlowestClock));
}

CallLease Worker::GrantLease(TimePoint now,
                             Duration length,
                             const char* order) {
  last_grant = {order, now, EstimateClock(now) + length.count(),
                entry.incarnation_start_wall_ms};
  CallLease lease{.end_clock_ms = last_grant.end_clock_ms};
  if (const Duration effect = LongestEffect(length); effect > length) {
    open_lease_ends.erase(open_lease_ends.begin(),
                          open_lease_ends.lower_bound(now));
    lease.open_end = LatestEnd(now, effect);
    open_lease_ends.insert(*lease.open_end);
  } else {
    CountLease(now, length);
  }
  return lease;
}

void Worker::CloseLease(const CallLease& lease, Duration left, TimePoint now) {
  if (!lease.open_end)
    return;
  if (const auto it = open_lease_ends.find(*lease.open_end);
      it != open_lease_ends.end())
    open_lease_ends.erase(it);
  CountLease(now, std::clamp(left, Duration(0), lease_limits.longest));
}

void Worker::CountLease(TimePoint now, Duration length) {
  counted_leases_end = std::max(counted_leases_end, LatestEnd(now, length));
}

void Worker::ObserveClock(int64_t clock, TimePoint now) {
  if (has_clock && clock + kClockFallbackMs < EstimateClock(now)) {
    LOG(INFO) << "clock of worker " << entry.id
              << " went backwards, treated as a new incarnation";
    // Its next list of runs or its entry tells when it started, and must not
    // look like a further restart.
    ResetForIncarnation(0, now);
  }
  SetClock(clock, now);
}

void Worker::SetClock(int64_t clock, TimePoint now) {
  has_clock = true;
  clock_ms = clock;
  clock_at = now;
}

void Worker::ResetForIncarnation(int64_t incarnation_start_wall_ms,
                                 TimePoint now) {
  former_calls += std::exchange(unanswered_calls, 0);
  LOG(INFO) << "worker " << entry.id << " has a new incarnation: former="
            << entry.incarnation_start_wall_ms
            << " present=" << incarnation_start_wall_ms
            << " former_calls=" << former_calls;
  // An unknown start only tells that the known process has ended.
  if (entry.incarnation_start_wall_ms != 0)
    former_incarnation_start_wall_ms = entry.incarnation_start_wall_ms;
  entry.incarnation_start_wall_ms = incarnation_start_wall_ms;
  is_described = false;
  RaiseFence();
  settling_series = fence_series;
  settled = false;
  restarted_at = now;
  has_ended = true;
  has_clock = false;
  recorded_ends = 0;
  applied_ends = 0;
  acknowledged_ends = 0;
  pending_ends.clear();
  strays.clear();
  health = WorkerHealth();
  sync_soon = true;
}

void Worker::RaiseFence() {
  if (fence_series < kMaxFenceSeries)
    ++fence_series;
  else
    LOG(ERROR) << "worker " << entry.id << " has had the last fence of this "
               << "epoch; late calls cannot be excluded any more";
}

void Worker::RecordUnansweredCall() {
  ++unanswered_calls;
  RaiseFence();
}

bool Worker::RecordSync(uint32_t series, TimePoint now) {
  if (series == fence_series)
    unanswered_calls = 0;
  if (settled || PrecedesRestart(series))
    return false;
  settled = true;
  former_calls = 0;
  // Until now, calls for a former process may have prolonged its leases.
  CountLease(now, lease_limits.longest);
  return true;
}

void Worker::RecordStray(const TaskId& task, TimePoint now) {
  strays.insert(task);
  // The call that started it was not counted for this process.
  CountLease(now, lease_limits.longest);
}

void Worker::RecordAnswer(TimePoint now) {
  heard_at = now;
  has_ended = false;
}

void Worker::RecordUnansweredStart(const TaskId& task, TimePoint now) {
  RecordUnansweredCall();
  open_starts[task] = now;
}

TimePoint Worker::OpenStartEnd(TimePoint sent_at) const {
  return sent_at + kLatestCall + lease_limits.longest;
}

void Worker::ForgetOldStarts(TimePoint now) {
  std::erase_if(open_starts,
                [&](const auto& it) { return now > OpenStartEnd(it.second); });
}

bool Worker::IsRestarting(TimePoint now) const {
  return restarted_at != TimePoint() && !settled &&
         now <= OpenStartEnd(restarted_at);
}

bool Worker::MayRunOpenStart(TimePoint sent_at, TimePoint now) const {
  return IsRestarting(now) && now <= OpenStartEnd(sent_at);
}

TimePoint Worker::StraysEnd() const {
  const bool may_be_prolonged = restarted_at != TimePoint() && !settled;
  return may_be_prolonged ? std::max(LeasesEnd(), OpenStartEnd(restarted_at))
                          : LeasesEnd();
}

bool Worker::MayOutlastLeases(const Run& run, TimePoint now) const {
  // A process gets runs only once no call for a former one can act on it.
  if (run.phase == RunPhase::kRecovered && run.incarnation_start_wall_ms != 0 &&
      run.incarnation_start_wall_ms == entry.incarnation_start_wall_ms)
    return false;
  // Runs that were confirmed before have ended with the former process, unless
  // a start of them had no answer.
  return IsRestarting(now) && (run.uncertain || run.IsUnanswered() ||
                               run.started_at >= restarted_at);
}

bool Worker::HasSurvivedStart(const Run& run) const {
  return run.ordered && heard_at >= run.ordered_at + kCrashWindow;
}

LostRun Worker::JudgeLoss(const Run& run, TimePoint now) const {
  const bool confirmed = run.started_at != TimePoint();
  const bool received = run.ordered && (confirmed || run.uncertain);
  // Also known where a former leader gave it the run.
  const bool holder_has_ended =
      has_ended ||
      (run.incarnation_start_wall_ms != 0 &&
       entry.incarnation_start_wall_ms > run.incarnation_start_wall_ms);
  // A worker that has not been heard for as long as its leases last may have
  // crashed; one that answers and does not know the run has not.
  const bool may_have_crashed = holder_has_ended || now > LeasesEnd();
  if (!may_have_crashed || entry.draining || !received)
    return {};
  // A recovered run may have started long ago.
  const bool at_start =
      confirmed && run.phase != RunPhase::kRecovered && !HasSurvivedStart(run);
  return {.evidence = at_start ? CrashEvidence::kStrong : CrashEvidence::kWeak,
          .has_crashed = holder_has_ended,
          .incarnation_start_wall_ms = std::max(
              run.incarnation_start_wall_ms, entry.incarnation_start_wall_ms)};
}

std::string Worker::DescribeLease(TimePoint now) const {
  std::ostringstream text;
  text << "lease_order=" << last_grant.order
       << " granted_ms_ago=" << (now - last_grant.at).count()
       << " end_clock_ms=" << last_grant.end_clock_ms
       << " on_clock_of=" << last_grant.incarnation_start_wall_ms
       << " incarnation=" << entry.incarnation_start_wall_ms
       << " heard_ms_ago=" << (now - heard_at).count()
       << " leases_end_in_ms=" << (LeasesEnd() - now).count()
       << " unanswered_calls=" << unanswered_calls
       << " former_calls=" << former_calls;
  return text.str();
}

void Worker::RecordUnreachable() {
  if (synced)
    LOG(WARNING) << "worker " << entry.id << " does not answer orders";
  synced = false;
}

bool Worker::IsAvailable(TimePoint now) const {
  return listed && is_described && synced && settled && has_clock &&
         !entry.draining && now >= full_until &&
         sync_failures < kUnreachableSyncs;
}

Worker& WorkerRegistry::Update(const WorkerEntry& entry, TimePoint now) {
  Worker& worker = FindOrAdd(entry.id, now);
  const bool known = worker.listed || worker.entry.port != 0;
  const bool reborn =
      known && entry.incarnation_start_wall_ms != 0 &&
      worker.entry.incarnation_start_wall_ms != 0 &&
      entry.incarnation_start_wall_ms > worker.entry.incarnation_start_wall_ms;
  if (!worker.listed || worker.entry.draining != entry.draining || reborn) {
    LOG(INFO) << "worker " << entry.id << " listed: domain=" << entry.domain
              << " rack=" << entry.rack << " draining=" << entry.draining
              << " reborn=" << reborn;
  }
  // Later entries repeat the notice; the first one counts.
  if (entry.draining && (!worker.entry.draining || reborn))
    worker.leaves_at = now + entry.remaining;
  const int64_t known_start = worker.entry.incarnation_start_wall_ms;
  worker.entry = entry;
  worker.listed = true;
  // An entry that does not say so, or tells of a former process.
  const bool tells_of_former = worker.restarted_at != TimePoint() &&
                               entry.incarnation_start_wall_ms ==
                                   worker.former_incarnation_start_wall_ms;
  if (known_start != 0 || tells_of_former)
    worker.entry.incarnation_start_wall_ms = known_start;
  if (reborn)
    worker.ResetForIncarnation(entry.incarnation_start_wall_ms, now);
  worker.is_described =
      !tells_of_former &&
      (entry.incarnation_start_wall_ms == 0 || known_start == 0 ||
       entry.incarnation_start_wall_ms >= known_start);
  return worker;
}

void WorkerRegistry::Unlist(const WorkerId& id) {
  if (Worker* const worker = Find(id); worker && worker->listed) {
    LOG(INFO) << "worker " << id << " is no longer listed";
    worker->listed = false;
  }
}

void WorkerRegistry::KeepOnly(const std::set<WorkerId>& listed) {
  for (auto& [id, worker] : workers_) {
    if (!listed.contains(id))
      Unlist(id);
  }
}

Worker* WorkerRegistry::Find(const WorkerId& id) {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

const Worker* WorkerRegistry::Find(const WorkerId& id) const {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

Worker& WorkerRegistry::FindOrAdd(const WorkerId& id, TimePoint now) {
  const auto [it, added] = workers_.try_emplace(id);
  if (added) {
    it->second.entry.id = id;
    it->second.lease_limits = lease_limits_;
    // A former leader may not know yet that it has been deposed.
    it->second.counted_leases_end = LatestEnd(now, lease_limits_.unconfirmed());
  }
  return it->second;
}

}  // namespace quetzalshelf::batch
