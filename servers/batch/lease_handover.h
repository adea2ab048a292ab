// Keeps running tasks alive after a change of leader. Answers a store that
// fails right after the change: the successor cannot read what runs where, and
// all tasks would end with the leases of the former leader.

#ifndef SERVERS_BATCH_LEASE_HANDOVER_H_
#define SERVERS_BATCH_LEASE_HANDOVER_H_

#include <memory>
#include <vector>

#include "core/time.h"
#include "servers/batch/worker_port.h"
#include "servers/batch/worker_registry.h"

namespace quetzalshelf::batch {

// Renews leases under the epoch of the former leader and gives no other orders.
// Workers refuse it as soon as the successor has contacted them.
class LeaseHandover {
 public:
  // `workers` are those with runs. No lease ends after `limit`, which the
  // successor assumes for workers that it cannot reach.
  LeaseHandover(WorkerPort& port,
                const Clock& clock,
                Epoch epoch,
                std::vector<Worker> workers,
                TimePoint limit);
  // Answers that come later are dropped.
  ~LeaseHandover();

  // Sends the renewals that are due.
  void Tick(TimePoint now);
  // The successor gives orders, or no lease may be granted any more.
  bool IsOver(TimePoint now) const;

 private:
  void Renew(size_t index, TimePoint now);
  void OnReply(size_t index, const absl::StatusOr<SyncReply>& reply);

  WorkerPort& port_;
  const Clock& clock_;
  Epoch epoch_;
  std::vector<Worker> workers_;
  TimePoint limit_;
  bool fenced_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_LEASE_HANDOVER_H_
