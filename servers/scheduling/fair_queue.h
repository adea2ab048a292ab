// Waiting jobs of all workspaces in the order in which they are tried: by
// urgency, then by a key that grows with submission time, expected work and
// the share that the workspace already uses.

#ifndef SERVERS_SCHEDULING_FAIR_QUEUE_H_
#define SERVERS_SCHEDULING_FAIR_QUEUE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "core/time.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::scheduling {

struct JobRecord;

// Position of a waiting job; constant while it waits, so that a queue of any
// length needs no sorting again. Because the key contains the submission time,
// a job is overtaken only by jobs submitted at most (its expected work minus
// theirs) later.
struct QueueKey {
  int urgency = 0;  // 0 goes first.
  int64_t rank_millis = 0;
  uint64_t sequence = 0;

  friend auto operator<=>(const QueueKey&, const QueueKey&) = default;
};

class FairQueue {
 public:
  void Add(const WorkspaceId& workspace, const QueueKey& key, JobRecord* job);
  // Logarithmic in the length of the workspace's queue.
  void Remove(const WorkspaceId& workspace, const QueueKey& key);

  size_t size() const { return by_age_.size(); }
  size_t SizeOf(const WorkspaceId& workspace) const;
  // Handicap of a workspace against the others, from its weighted share.
  void SetRankOffset(const WorkspaceId& workspace, Duration handicap);

  // Up to `limit` jobs in order.
  std::vector<JobRecord*> First(size_t limit) const;
  // Up to `limit` jobs, longest waiting first.
  std::vector<JobRecord*> Oldest(size_t limit) const;

 private:
  struct Lane {
    std::map<QueueKey, JobRecord*> jobs;
    int64_t handicap_millis = 0;
  };

  std::map<WorkspaceId, Lane> lanes_;
  std::map<uint64_t, JobRecord*> by_age_;  // By sequence.
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_FAIR_QUEUE_H_
