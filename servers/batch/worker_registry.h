// Registry of workers of the batch leader: listing, clock, lease bounds and
// failure history of each worker.

#ifndef SERVERS_BATCH_WORKER_REGISTRY_H_
#define SERVERS_BATCH_WORKER_REGISTRY_H_

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "servers/batch/job_state.h"
#include "servers/batch/types.h"
#include "servers/batch/worker_health.h"

namespace quetzalshelf::batch {

// Time that a lease granted now lasts on the worker's clock. Long enough for a
// new leader to take over and renew it, below the longest lease of workers.
inline constexpr Duration kLeaseLength{5'000};
// Lease that a start order grants to an idle worker. It is renewed as soon as
// the start is confirmed; until then it bounds how long a start without an
// answer can be carried out.
inline constexpr Duration kStartLease{2'000};
// The longest lease of workers where the settings do not tell it.
inline constexpr Duration kDefaultLongestLease{6'000};
// A worker's clock runs at least at this share of the true speed.
inline constexpr double kSlowestClock = 0.98;
// Covers rounding and the travel time of orders.
inline constexpr Duration kLeaseMargin{200};

// Bounds on leases, which follow from what the platform lets workers grant.
struct LeaseLimits {
  // Workers shorten longer leases to this length.
  Duration longest = kDefaultLongestLease;

  // Leases end at most this long after the store last confirmed the leader. A
  // successor therefore knows when leases have expired on workers that it
  // cannot reach. Longer than most outages of the store, so that tasks outlive
  // them, and long enough that starts, which may grant the longest lease, go on
  // while a few confirmations are late.
  Duration unconfirmed() const {
    return std::max(kOutlivedOutage, longest + kLateConfirmation);
  }

 private:
  static constexpr Duration kOutlivedOutage{8'000};
  static constexpr Duration kLateConfirmation{2'000};
};

// A lease that a call grants to a worker.
struct CallLease {
  int64_t end_clock_ms = 0;  // On the worker's estimated clock.
  // Its entry in the worker's open leases; nullopt if it has none.
  std::optional<TimePoint> open_end;
};

// The last lease that was granted to a worker, for logs.
struct LeaseGrant {
  const char* order = "none";
  TimePoint at;
  int64_t end_clock_ms = 0;               // On the worker's estimated clock.
  int64_t incarnation_start_wall_ms = 0;  // Of the process with that clock.
};

struct Worker {
  WorkerEntry entry;
  bool listed = false;  // The platform lists it.
  TimePoint leaves_at;  // While it drains: not before this time.
  // `entry` tells of its present process, which may be of another kind than a
  // former one.
  bool is_described = false;
  // Some answer came under the present epoch, so that orders of former leaders
  // are refused there.
  bool synced = false;
  // Part of the fence of its calls. Raised so that it refuses calls that have
  // had no answer, and those that were meant for a former process.
  uint32_t fence_series = 0;
  // No call of before the last restart can act on its present process, which
  // has answered under a fence of `settling_series` or later.
  bool settled = false;
  uint32_t settling_series = 0;
  int64_t former_incarnation_start_wall_ms = 0;
  TimePoint restarted_at;  // When the last restart became known.
  bool has_clock = false;
  int64_t clock_ms = 0;  // The worker's clock at `clock_at`.
  TimePoint clock_at;
  LeaseLimits lease_limits;
  // By then all leases have expired, but for the open ones.
  TimePoint counted_leases_end;
  // Ends of leases that calls without an answer grant. A process that has
  // restarted unnoticed may take each of them for the longest lease; the answer
  // to the call shows what it is.
  std::multiset<TimePoint> open_lease_ends;
  LeaseGrant last_grant;
  // Starts and syncs without an answer, which may still be carried out: those
  // sent to the present process, and to former ones.
  int unanswered_calls = 0;
  int former_calls = 0;

  TimePoint heard_at;  // Its last answer.
  // Since then another incarnation has come, so that the process that answered
  // has ended. A broken connection does not show this.
  bool has_ended = false;

  bool sync_in_flight = false;
  bool contact = false;  // The sync in flight counts in the contact queue.
  bool sync_soon = false;
  TimePoint next_sync;
  int sync_failures = 0;
  int64_t recorded_ends = 0;      // Ends up to this number are in the store.
  int64_t applied_ends = 0;       // Ends up to this number were applied.
  int64_t acknowledged_ends = 0;  // The worker may forget them.
  // Applied ends whose jobs are not yet in the store, in order.
  struct PendingEnd {
    int64_t number = 0;
    JobId job;
    uint64_t revision = 0;
  };
  std::deque<PendingEnd> pending_ends;

  WorkerHealth health;
  TimePoint full_until;  // It had less capacity than known here.

  int runs = 0;  // With an order sent; recounted at each tick.
  // Start orders of which the answer has not come; recounted at each tick.
  int unanswered_starts = 0;
  // Tasks with a run there, as of the last tick.
  std::vector<TaskId> assigned;
  // Tasks of which it last listed a run that is not assigned to it. They start
  // nowhere until it lists the run no more, or its leases have expired.
  std::set<TaskId> strays;
  // Starts that had no answer, and when they were last sent. A later process of
  // the worker may carry them out.
  std::map<TaskId, TimePoint> open_starts;
  // Recounted for a pass: what runs use, and what is kept for waiting tasks.
  Resources used;
  Resources reserved;
  Resources awaiting;  // As of Candidate.
  // Recounted for a pass: it has not been heard since it started some run, and
  // this run is of a suspect task.
  bool has_unproven_run = false;
  bool has_suspect_run = false;

  int64_t EstimateClock(TimePoint now) const;
  // A lease granted now, which counts from now on. `order` names the call that
  // carries it.
  CallLease GrantLease(TimePoint now, Duration length, const char* order);
  // The call that granted the lease was answered, or never sent, and no more
  // than `left` of the lease is left on the worker's clock.
  void CloseLease(const CallLease& lease, Duration left, TimePoint now);
  // By then all leases granted so far have expired on the worker.
  TimePoint LeasesEnd() const {
    return open_lease_ends.empty()
               ? counted_leases_end
               : std::max(counted_leases_end, *open_lease_ends.rbegin());
  }
  // How long a lease granted now can last on the worker's clock. A process that
  // has restarted unnoticed shortens a lease on its predecessor's clock to the
  // longest one. Confirmed runs ended with the predecessor, so this matters
  // only to a start without an answer.
  Duration LongestEffect(Duration length) const {
    return unanswered_starts > 0 ? std::max(length, lease_limits.longest)
                                 : length;
  }
  // Takes over the clock of an answer. One that falls back belongs to a new
  // incarnation.
  void ObserveClock(int64_t clock, TimePoint now);
  // The same for an answer that is known to come from the present incarnation,
  // though it may be late.
  void SetClock(int64_t clock, TimePoint now);
  // Resets the state for a new incarnation, whose end numbers start again. 0
  // when its start is not known yet.
  void ResetForIncarnation(int64_t incarnation_start_wall_ms, TimePoint now);

  // A call that may have been sent has had no answer.
  void RecordUnansweredCall();
  void RecordUnansweredStart(const TaskId& task, TimePoint now);
  void ForgetOldStarts(TimePoint now);
  // Until when a start that was sent then can act.
  TimePoint OpenStartEnd(TimePoint sent_at) const;
  // Whether it may come to run an open start before it is heard again.
  bool MayRunOpenStart(TimePoint sent_at, TimePoint now) const;
  // Whether, and until when, the runs of `strays` may last.
  bool HoldsStrays(TimePoint now) const {
    return !strays.empty() && now <= StraysEnd();
  }
  TimePoint StraysEnd() const;
  // A sync of this series was answered by the present process. Whether this
  // settles the worker.
  bool RecordSync(uint32_t series, TimePoint now);
  // Whether a call of this series was sent before the last restart was known,
  // so that its answer may come from the former process.
  bool PrecedesRestart(uint32_t series) const {
    return series < settling_series;
  }
  void RecordStray(const TaskId& task, TimePoint now);
  void RecordAnswer(TimePoint now);
  // Whether the present process may hold the run beyond LeasesEnd(), since a
  // call for a former one may start or prolong it there.
  bool MayOutlastLeases(const Run& run, TimePoint now) const;
  // Whether it has answered long enough after it started the run to rule out
  // that the start makes it crash.
  bool HasSurvivedStart(const Run& run) const;
  // What a loss of the run says of its task, from what is known by now.
  LostRun JudgeLoss(const Run& run, TimePoint now) const;

  // What is known of its process and its leases, for logs.
  std::string DescribeLease(TimePoint now) const;

  // An order did not reach it; it gets no tasks before it answers a sync.
  void RecordUnreachable();
  // Whether it could start tasks, its probation aside.
  bool IsAvailable(TimePoint now) const;
  // Whether it may be given tasks as far as its own state goes.
  bool IsUsable(TimePoint now) const {
    return IsAvailable(now) && !health.IsOnProbation(now);
  }

 private:
  // Its process is known to be another one, which may still carry out calls for
  // a former one.
  bool IsRestarting(TimePoint now) const;
  // Counts a lease of this length, granted now, on the slowest clock.
  void CountLease(TimePoint now, Duration length);
  void RaiseFence();
};

class WorkerRegistry {
 public:
  explicit WorkerRegistry(LeaseLimits lease_limits = {})
      : lease_limits_(lease_limits) {}

  // Adds or updates a listed worker.
  Worker& Update(const WorkerEntry& entry, TimePoint now);
  // The platform no longer lists the worker. It is kept while runs may be on
  // it.
  void Unlist(const WorkerId& id);
  // Unlists every worker that is not in `listed`.
  void KeepOnly(const std::set<WorkerId>& listed);
  Worker* Find(const WorkerId& id);
  const Worker* Find(const WorkerId& id) const;
  // A worker that runs were recorded on but that is not listed.
  Worker& FindOrAdd(const WorkerId& id, TimePoint now);

  std::map<WorkerId, Worker>& workers() { return workers_; }
  const std::map<WorkerId, Worker>& workers() const { return workers_; }

 private:
  LeaseLimits lease_limits_;
  std::map<WorkerId, Worker> workers_;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_WORKER_REGISTRY_H_
