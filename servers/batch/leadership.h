// What a node does with the leadership: it runs the dispatcher while it leads,
// and keeps running tasks alive afterwards until the successor takes care of
// them.

#ifndef SERVERS_BATCH_LEADERSHIP_H_
#define SERVERS_BATCH_LEADERSHIP_H_

#include <memory>
#include <optional>
#include <string>

#include "core/metrics.h"
#include "core/time.h"
#include "servers/batch/dispatcher.h"
#include "servers/batch/leader_lease.h"
#include "servers/batch/lease_handover.h"
#include "servers/batch/observed_store.h"
#include "servers/batch/site_view.h"
#include "servers/batch/worker_port.h"

namespace quetzalshelf::batch {

class Leadership {
 public:
  // Gives `lease` its load reports; the lease must not be ticked once the
  // leadership has been destroyed.
  Leadership(ObservedStore& store,
             WorkerPort& workers,
             const Clock& clock,
             const SiteView& site,
             MetricsRegistry& metrics,
             LeaderLease& lease,
             DispatcherOptions options,
             uint64_t seed);

  // Creates or ends the dispatcher as the lease says.
  void Update(TimePoint now);
  // Advances the dispatcher and the hand-over of leases.
  void Tick(TimePoint now);
  // Null while the node does not lead.
  Dispatcher* dispatcher() { return dispatcher_.get(); }
  const Dispatcher* dispatcher() const { return dispatcher_.get(); }
  // Of the dispatcher.
  Epoch epoch() const { return epoch_; }

  // Gives the leadership up. Leases are renewed until the successor gives
  // orders.
  void Resign(TimePoint now);
  // Ends the dispatcher, whose state may be inconsistent after an error.
  void Abandon(const std::string& reason);
  // Whether tasks run under leases that no other node is known to renew.
  bool KeepsLeases(TimePoint now) const;

 private:
  void EndDispatcher(TimePoint now);
  // nullopt while this node does not lead or its view of the jobs is too old.
  std::optional<std::string> MakeLoadReport(TimePoint now) const;

  ObservedStore& store_;
  WorkerPort& workers_;
  const Clock& clock_;
  const SiteView& site_;
  MetricsRegistry& metrics_;
  LeaderLease& lease_;
  DispatcherOptions options_;
  uint64_t seed_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::unique_ptr<LeaseHandover> handover_;
  Epoch epoch_;
  bool resigned_ = false;
  bool deposed_ = false;
  std::string reason_;  // Why it was deposed.
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_LEADERSHIP_H_
