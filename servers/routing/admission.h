// Bounded queues of requests, one a workspace, served in weighted fair order.

#ifndef SERVERS_ROUTING_ADMISSION_H_
#define SERVERS_ROUTING_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "servers/routing/types.h"

namespace quetzalshelf::routing {

enum class AdmissionResult { kQueued, kUnknownWorkspace, kQueueFull };

// Holds request ids only. Requests in flight count against their workspace
// until Release().
class Admission {
 public:
  // Replaces the limits. Requests of a workspace that disappears stay queued.
  void SetLimits(const std::vector<WorkspaceLimits>& limits);

  AdmissionResult Enqueue(const WorkspaceId& workspace,
                          const RequestId& request,
                          TimePoint deadline);
  // Puts a request that was taken back at the head of its queue.
  void Requeue(const WorkspaceId& workspace,
               const RequestId& request,
               TimePoint deadline);
  // The next request of the workspace with the least use for its weight, or
  // nothing when every queue is empty or at its limit.
  std::optional<RequestId> Take();
  // A request that was taken has ended.
  void Release(const WorkspaceId& workspace);
  // Takes out the requests whose deadline has passed.
  std::vector<RequestId> TakeExpired(TimePoint now);

  size_t CountQueued() const;

 private:
  struct Waiting {
    RequestId request;
    TimePoint deadline;
  };
  struct Queue {
    WorkspaceLimits limits;
    bool open = true;
    int in_flight = 0;
    // Service received, scaled by the weight. A queue that was idle starts at
    // the least value of the busy ones, so that it cannot save up service.
    int64_t virtual_time = 0;
    std::deque<Waiting> waiting;
  };

  int64_t LeastBusyTime() const;

  std::map<WorkspaceId, Queue> queues_;
};

}  // namespace quetzalshelf::routing

#endif  // SERVERS_ROUTING_ADMISSION_H_
