#include "servers/batch/lease_handover.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"

namespace quetzalshelf::batch {

namespace {

// A lease survives two lost renewals.
constexpr Duration kRenewalInterval{1'500};
constexpr Duration kRenewalTimeout{500};
constexpr Duration kRetryInterval{150};

}  // namespace

LeaseHandover::LeaseHandover(WorkerPort& port,
                             const Clock& clock,
                             Epoch epoch,
                             std::vector<Worker> workers,
                             TimePoint limit)
    : port_(port),
      clock_(clock),
      epoch_(epoch),
      workers_(std::move(workers)),
      limit_(limit) {
  for (Worker& it : workers_) {
    it.next_sync = TimePoint();
    it.sync_in_flight = false;
  }
}

LeaseHandover::~LeaseHandover() {
  *alive_ = false;
}

void LeaseHandover::Tick(TimePoint now) {
  if (IsOver(now))
    return;
  for (size_t n = 0; n < workers_.size(); ++n) {
    if (!workers_[n].sync_in_flight && now >= workers_[n].next_sync)
      Renew(n, now);
  }
}

bool LeaseHandover::IsOver(TimePoint now) const {
  return fenced_ || workers_.empty() || now >= limit_;
}

void LeaseHandover::Renew(size_t index, TimePoint now) {
  Worker& worker = workers_[index];
  SyncRequest request;
  request.fence = MakeFence(epoch_, worker.fence_series);
  // No end is acknowledged: those that are not in the store stay listed for the
  // successor.
  const Duration left = limit_ - now;
  const Duration lease = std::min(kLeaseLength, left);
  if (worker.LongestEffect(lease) <= left)
    request.lease_until_ms =
        worker.GrantLease(now, lease, "hand-over").end_clock_ms;
  worker.sync_in_flight = true;
  worker.next_sync = now + kRenewalInterval;
  port_.Sync(
      worker.entry, request, kRenewalTimeout,
      [this, alive = alive_, index](const absl::StatusOr<SyncReply>& reply) {
        if (*alive)
          OnReply(index, reply);
      });
}

void LeaseHandover::OnReply(size_t index,
                            const absl::StatusOr<SyncReply>& reply) {
  const TimePoint now = clock_.Now();
  Worker& worker = workers_[index];
  worker.sync_in_flight = false;
  if (!reply.ok()) {
    if (!absl::IsUnavailable(reply.status()))
      worker.RecordUnansweredCall();
    worker.next_sync = now + kRetryInterval;
    return;
  }
  if (reply->result == OrderResult::kFenced) {
    if (!fenced_) {
      LOG(INFO) << "the next leader gives orders: former_epoch=" << epoch_
                << " worker=" << worker.entry.id;
    }
    fenced_ = true;
    return;
  }
  if (reply->result != OrderResult::kDone) {
    worker.next_sync = TimePoint::max();  // Another incarnation has no runs.
    return;
  }
  worker.ObserveClock(reply->clock_ms, now);
  // Further leases are counted on the clock of the process that holds the runs.
  worker.unanswered_starts = 0;
}

}  // namespace quetzalshelf::batch
