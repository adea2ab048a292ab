// The owner's side of one worker: lease renewal, delta reports, the worker's
// clock, and the finding that the worker is lost.

#ifndef SERVERS_JOBS_WORKER_SESSION_H_
#define SERVERS_JOBS_WORKER_SESSION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/platform/worker_port.h"
#include "core/time.h"
#include "servers/cluster/shard_ownership.h"

namespace quetzalshelf::jobs {

struct WorkerSessionOptions {
  Duration sync_period{5'000};
  // Pause before a sync that was not answered is sent again.
  Duration sync_retry{1'000};
  // A sync without an answer for this long is given up. Also the longest time
  // that a message is assumed to travel.
  Duration sync_timeout{2'000};
  // Leases of tasks; a worker stops tasks whose lease was not renewed.
  Duration task_lease{30'000};
};

// A reading of a worker's clock.
struct ClockReading {
  IncarnationId incarnation;
  TimePoint worker_clock;
  TimePoint received;  // On the owner's clock.
};

// Syncs one worker. The first sync of an incarnation acknowledges nothing, so
// that the worker names every gang that it holds.
class WorkerSession {
 public:
  // Calls come from Tick or from a callback of the port. The session must not
  // be destroyed within them.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    // The first answer of an incarnation. Everything that an earlier
    // incarnation held is gone.
    virtual void OnWorkerUp(const WorkerId& worker,
                            const std::vector<GangKey>& held) = 0;
    // No task of the worker runs any more: leases have run out, or another
    // incarnation has answered. Also called once for a worker that never
    // answered.
    virtual void OnWorkerDown(const WorkerId& worker) = 0;
    virtual void OnReport(const WorkerId& worker, const TaskReport& report) = 0;
    // All reports of one answer have been passed on.
    virtual void OnReportsDone(const WorkerId& worker) = 0;
    // The worker has seen a higher epoch.
    virtual void OnFenced(const WorkerId& worker) = 0;
  };

  // All arguments but the address and options must outlive the session.
  WorkerSession(WorkerAddress address,
                WorkerPort& port,
                const Clock& clock,
                const cluster::ShardOwnership& ownership,
                Delegate& delegate,
                WorkerSessionOptions options,
                TimePoint now);

  // Sends a sync when one is due and finds out whether the worker is lost.
  void Tick(TimePoint now);
  // Renews leases but leaves reports unacknowledged, until called with false.
  void HoldReports(bool hold) { hold_reports_ = hold; }
  // Makes the next Tick send a sync.
  void SyncSoon() { next_sync_ = TimePoint(); }

  const WorkerAddress& address() const { return address_; }
  // Whether the worker answered and has not been lost since.
  bool up() const { return state_ == State::kUp; }
  // Whether no task can run on the worker, as far as this owner knows.
  bool lost() const { return state_ == State::kLost; }
  // Set while up. The oldest possible instant of the worker's clock.
  const std::optional<ClockReading>& reading() const { return reading_; }
  // The deadline on the worker's clock that falls at most `window` after
  // `since` on the owner's clock. Requires a reading.
  TimePoint DeadlineAfter(TimePoint since, Duration window) const;

 private:
  enum class State { kUnheard, kUp, kLost };

  void Send(TimePoint now);
  void OnAnswer(uint64_t call,
                TimePoint sent,
                const absl::StatusOr<SyncReply>& reply);
  void OnReply(TimePoint sent, TimePoint now, const SyncReply& reply);
  void RecordReading(const SyncReply& reply, TimePoint now);
  void Begin(const SyncReply& reply);
  void Lose();
  // What is left of the task leases if the worker received none of the syncs
  // sent since the last answered one.
  Duration LeaseLeft(TimePoint now) const;

  const WorkerAddress address_;
  WorkerPort& port_;
  const Clock& clock_;
  const cluster::ShardOwnership& ownership_;
  Delegate& delegate_;
  const WorkerSessionOptions options_;

  State state_ = State::kUnheard;
  bool hold_reports_ = false;
  IncarnationId incarnation_;
  uint64_t acknowledged_ = 0;
  std::optional<ClockReading> reading_;
  // When the last answered sync was sent. Starts one lease later than the
  // session: the earlier owner may have renewed leases until shortly after the
  // shard was taken, when its peers were slow to tell it.
  TimePoint answered_;
  TimePoint next_sync_;
  uint64_t last_call_ = 0;
  bool in_flight_ = false;
  TimePoint sent_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf::jobs

#endif  // SERVERS_JOBS_WORKER_SESSION_H_
