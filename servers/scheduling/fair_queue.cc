#include "servers/scheduling/fair_queue.h"

#include <queue>

namespace quetzalshelf::scheduling {

void FairQueue::Add(const WorkspaceId& workspace,
                    const QueueKey& key,
                    JobRecord* job) {
  lanes_[workspace].jobs[key] = job;
  by_age_[key.sequence] = job;
}

void FairQueue::Remove(const WorkspaceId& workspace, const QueueKey& key) {
  const auto lane = lanes_.find(workspace);
  if (lane == lanes_.end() || lane->second.jobs.erase(key) == 0)
    return;
  by_age_.erase(key.sequence);
  if (lane->second.jobs.empty())
    lanes_.erase(lane);
}

size_t FairQueue::SizeOf(const WorkspaceId& workspace) const {
  const auto lane = lanes_.find(workspace);
  return lane == lanes_.end() ? 0 : lane->second.jobs.size();
}

void FairQueue::SetRankOffset(const WorkspaceId& workspace, Duration handicap) {
  if (const auto it = lanes_.find(workspace); it != lanes_.end())
    it->second.handicap_millis = handicap.count();
}

std::vector<JobRecord*> FairQueue::First(size_t limit) const {
  struct Cursor {
    QueueKey effective;
    std::map<QueueKey, JobRecord*>::const_iterator it;
    const Lane* lane;
    bool operator>(const Cursor& other) const {
      return effective > other.effective;
    }
  };
  const auto effective = [](const QueueKey& key, const Lane& lane) {
    QueueKey moved = key;
    moved.rank_millis += lane.handicap_millis;
    return moved;
  };
  std::priority_queue<Cursor, std::vector<Cursor>, std::greater<>> heads;
  for (const auto& [workspace, lane] : lanes_) {
    const auto first = lane.jobs.begin();
    heads.push({effective(first->first, lane), first, &lane});
  }
  std::vector<JobRecord*> result;
  while (!heads.empty() && result.size() < limit) {
    Cursor head = heads.top();
    heads.pop();
    result.push_back(head.it->second);
    if (++head.it == head.lane->jobs.end())
      continue;
    head.effective = effective(head.it->first, *head.lane);
    heads.push(head);
  }
  return result;
}

std::vector<JobRecord*> FairQueue::Oldest(size_t limit) const {
  std::vector<JobRecord*> result;
  for (const auto& [sequence, job] : by_age_) {
    if (result.size() == limit)
      break;
    result.push_back(job);
  }
  return result;
}

}  // namespace quetzalshelf::scheduling
