#include "servers/batch/leadership.h"

#include <utility>

namespace quetzalshelf::batch {

Leadership::Leadership(ObservedStore& store,
                       WorkerPort& workers,
                       const Clock& clock,
                       const SiteView& site,
                       MetricsRegistry& metrics,
                       LeaderLease& lease,
                       DispatcherOptions options,
                       uint64_t seed)
    : store_(store),
      workers_(workers),
      clock_(clock),
      site_(site),
      metrics_(metrics),
      lease_(lease),
      options_(options),
      seed_(seed) {
  lease_.set_report_source([this] { return MakeLoadReport(clock_.Now()); });
}

std::optional<std::string> Leadership::MakeLoadReport(TimePoint now) const {
  std::optional<LoadReport> report =
      dispatcher_ ? dispatcher_->Report(now) : std::nullopt;
  const std::optional<StoreTime> as_of =
      report ? store_.store_clock().Earliest(dispatcher_->jobs_confirmed_at())
             : std::nullopt;
  if (!as_of)
    return std::nullopt;
  report->as_of = *as_of;
  return EncodeLoadReport(*report);
}

void Leadership::Update(TimePoint now) {
  if (dispatcher_ && deposed_) {
    lease_.StepDown(reason_);
    EndDispatcher(now);
  }
  // A leader that resigned goes on renewing leases until it is deposed.
  if (dispatcher_ && !resigned_ &&
      (!lease_.is_leader() || lease_.fencing_token().epoch != epoch_))
    EndDispatcher(now);
  if (dispatcher_ || !lease_.is_leader())
    return;
  handover_.reset();
  epoch_ = lease_.fencing_token().epoch;
  deposed_ = false;
  dispatcher_ = std::make_unique<Dispatcher>(
      store_, workers_, clock_, site_, metrics_, lease_.fencing_token(),
      [this](const std::string& reason) {
        deposed_ = true;
        reason_ = reason;
      },
      [this] { return lease_.TakeHeartbeat(clock_.Now()); }, options_,
      seed_ + epoch_.value());
}

void Leadership::Tick(TimePoint now) {
  if (dispatcher_) {
    dispatcher_->ConfirmLeadership(lease_.confirmed_at());
    dispatcher_->Tick(now);
  }
  if (!handover_)
    return;
  handover_->Tick(now);
  if (handover_->IsOver(now))
    handover_.reset();
}

void Leadership::Resign(TimePoint now) {
  resigned_ = true;
  if (dispatcher_)
    dispatcher_->Retire();
  lease_.Release(now);
}

void Leadership::Abandon(const std::string& reason) {
  dispatcher_.reset();
  handover_.reset();
  lease_.StepDown(reason);
}

bool Leadership::KeepsLeases(TimePoint now) const {
  return (dispatcher_ && dispatcher_->HasRuns()) ||
         (handover_ && !handover_->IsOver(now));
}

void Leadership::EndDispatcher(TimePoint now) {
  handover_ = dispatcher_->HandOverLeases(now);
  dispatcher_.reset();
}

}  // namespace quetzalshelf::batch
