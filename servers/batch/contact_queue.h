// Order in which a leader contacts workers that have not answered it yet.
//
// Answers the load of a cold start: a new leader has to contact thousands of
// workers from a small VM. All at once they would wait for its processor until
// most of the connections timed out, and each retry would add to that load.

#ifndef SERVERS_BATCH_CONTACT_QUEUE_H_
#define SERVERS_BATCH_CONTACT_QUEUE_H_

#include <deque>
#include <map>

#include "core/ids.h"
#include "core/time.h"
#include "servers/batch/worker_registry.h"

namespace quetzalshelf::batch {

class ContactQueue {
 public:
  // Queues the workers whose contact is due. Workers with runs come first,
  // since their leases expire; then those that have not failed to answer, rack
  // by rack, so that whole racks soon take gangs.
  void Refill(const std::map<WorkerId, Worker>& workers, TimePoint now);

  // The next worker to contact, which counts as under way until Finish(). Empty
  // when none is queued or the limit is reached.
  WorkerId Next();
  // A contact was answered or has failed.
  void Finish() { --under_way_; }

 private:
  std::deque<WorkerId> queue_;
  int under_way_ = 0;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_CONTACT_QUEUE_H_
