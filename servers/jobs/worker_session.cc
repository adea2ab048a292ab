#include "servers/jobs/worker_session.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"

namespace quetzalshelf::jobs {

namespace {

// A reading of this age is replaced even by a less precise one, so that the
// drift between the clocks stays small.
constexpr Duration kReadingLifetime{60'000};

// Lease sent to a lost worker: it must not keep tasks that count as gone.
constexpr Duration kProbeLease{1};

}  // namespace

WorkerSession::WorkerSession(WorkerAddress address,
                             WorkerPort& port,
                             const Clock& clock,
                             const cluster::ShardOwnership& ownership,
                             Delegate& delegate,
                             WorkerSessionOptions options,
                             TimePoint now)
    : address_(std::move(address)),
      port_(port),
      clock_(clock),
      ownership_(ownership),
      delegate_(delegate),
      options_(options),
      answered_(now + options.task_lease),
      next_sync_(now) {}

Duration WorkerSession::LeaseLeft(TimePoint now) const {
  return answered_ + options_.task_lease - now;
}

TimePoint WorkerSession::DeadlineAfter(TimePoint since, Duration window) const {
  return reading_->worker_clock + (since - reading_->received) + window;
}

void WorkerSession::Tick(TimePoint now) {
  if (in_flight_ && now - sent_ >= options_.sync_timeout) {
    in_flight_ = false;
    next_sync_ = now;
  }
  // The last renewal may have travelled for as long as the time-out.
  if (!lost() && LeaseLeft(now) + options_.sync_timeout < Duration(0))
    Lose();
  if (!in_flight_ && now >= next_sync_ && ownership_.MayRenewTasks(now))
    Send(now);
}

void WorkerSession::Send(TimePoint now) {
  // Renewals shrink while the worker does not answer, so that no renewal that
  // it may have received outlives the moment at which it counts as lost.
  const Duration lease =
      lost() ? kProbeLease : std::min(LeaseLeft(now), options_.task_lease);
  if (lease <= Duration(0))
    return;
  in_flight_ = true;
  sent_ = now;
  next_sync_ = now + options_.sync_period;
  const uint64_t call = ++last_call_;
  SyncRequest request{.region = ownership_.region(),
                      .epoch = ownership_.epoch(),
                      .lease = lease,
                      .incarnation = incarnation_,
                      .acknowledged = acknowledged_};
  port_.Sync(address_, request,
             [this, call, now, alive = std::weak_ptr(alive_)](
                 const absl::StatusOr<SyncReply>& reply) {
               if (!alive.expired())
                 OnAnswer(call, now, reply);
             });
}

void WorkerSession::OnAnswer(uint64_t call,
                             TimePoint sent,
                             const absl::StatusOr<SyncReply>& reply) {
  // Answers to calls that were given up carry nothing that a later one lacks.
  if (!in_flight_ || call != last_call_)
    return;
  in_flight_ = false;
  const TimePoint now = clock_.Now();
  if (!reply.ok()) {
    next_sync_ = now + options_.sync_retry;
    if (absl::IsFailedPrecondition(reply.status()))
      delegate_.OnFenced(address_.worker);
    return;
  }
  OnReply(sent, now, *reply);
}

void WorkerSession::OnReply(TimePoint sent,
                            TimePoint now,
                            const SyncReply& reply) {
  answered_ = std::max(answered_, sent);
  // Reports that stay unacknowledged come again.
  if (hold_reports_ || !ownership_.MayAct(now))
    return;
  if (up() && reply.incarnation != incarnation_) {
    LOG(WARNING) << "worker " << address_.worker << " has restarted";
    Lose();
    // Only an answer to "nothing acknowledged" names the gangs held.
    next_sync_ = now;
    return;
  }
  if (!up())
    Begin(reply);
  RecordReading(reply, now);
  if (reply.sequence <= acknowledged_)
    return;
  acknowledged_ = reply.sequence;
  for (const TaskReport& report : reply.reports)
    delegate_.OnReport(address_.worker, report);
  delegate_.OnReportsDone(address_.worker);
}

void WorkerSession::Begin(const SyncReply& reply) {
  state_ = State::kUp;
  answered_ = std::min(answered_, sent_);
  incarnation_ = reply.incarnation;
  delegate_.OnWorkerUp(address_.worker, reply.held);
}

void WorkerSession::RecordReading(const SyncReply& reply, TimePoint now) {
  const ClockReading fresh{reply.incarnation, reply.clock, now};
  if (reading_ && now - reading_->received < kReadingLifetime &&
      fresh.worker_clock - fresh.received <
          reading_->worker_clock - reading_->received) {
    return;
  }
  reading_ = fresh;
}

void WorkerSession::Lose() {
  state_ = State::kLost;
  acknowledged_ = 0;
  reading_.reset();
  incarnation_ = IncarnationId();
  delegate_.OnWorkerDown(address_.worker);
}

}  // namespace quetzalshelf::jobs
