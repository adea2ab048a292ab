#include "servers/routing/admission.h"

#include <algorithm>
#include <limits>

namespace quetzalshelf::routing {

namespace {

// Service of one request at weight 1. Divisible by every common weight.
constexpr int64_t kServiceUnit = 720'720;

}  // namespace

void Admission::SetLimits(const std::vector<WorkspaceLimits>& limits) {
  for (auto& [id, queue] : queues_)
    queue.open = false;
  for (const WorkspaceLimits& it : limits) {
    Queue& queue = queues_[it.workspace];
    queue.limits = it;
    queue.open = true;
  }
  std::erase_if(queues_, [](const auto& it) {
    const Queue& queue = it.second;
    return !queue.open && queue.in_flight == 0 && queue.waiting.empty();
  });
}

AdmissionResult Admission::Enqueue(const WorkspaceId& workspace,
                                   const RequestId& request,
                                   TimePoint deadline) {
  const auto it = queues_.find(workspace);
  if (it == queues_.end() || !it->second.open)
    return AdmissionResult::kUnknownWorkspace;
  Queue& queue = it->second;
  if (queue.waiting.size() >= static_cast<size_t>(queue.limits.max_queued))
    return AdmissionResult::kQueueFull;
  if (queue.waiting.empty() && queue.in_flight == 0)
    queue.virtual_time = std::max(queue.virtual_time, LeastBusyTime());
  queue.waiting.push_back({request, deadline});
  return AdmissionResult::kQueued;
}

void Admission::Requeue(const WorkspaceId& workspace,
                        const RequestId& request,
                        TimePoint deadline) {
  const auto it = queues_.find(workspace);
  if (it == queues_.end())
    return;
  it->second.waiting.push_front({request, deadline});
  Release(workspace);
}

std::optional<RequestId> Admission::Take() {
  Queue* next = nullptr;
  for (auto& [id, queue] : queues_) {
    const bool may_send =
        !queue.waiting.empty() && queue.in_flight < queue.limits.max_in_flight;
    if (may_send &&
        (next == nullptr || queue.virtual_time < next->virtual_time)) {
      next = &queue;
    }
  }
  if (next == nullptr)
    return std::nullopt;
  const RequestId request = next->waiting.front().request;
  next->waiting.pop_front();
  ++next->in_flight;
  next->virtual_time += kServiceUnit / std::max(1, next->limits.weight);
  return request;
}

void Admission::Release(const WorkspaceId& workspace) {
  const auto it = queues_.find(workspace);
  if (it != queues_.end())
    it->second.in_flight = std::max(0, it->second.in_flight - 1);
}

std::vector<RequestId> Admission::TakeExpired(TimePoint now) {
  std::vector<RequestId> expired;
  for (auto& [id, queue] : queues_) {
    std::erase_if(queue.waiting, [&expired, now](const Waiting& it) {
      if (now < it.deadline)
        return false;
      expired.push_back(it.request);
      return true;
    });
  }
  return expired;
}

size_t Admission::CountQueued() const {
  size_t count = 0;
  for (const auto& [id, queue] : queues_)
    count += queue.waiting.size();
  return count;
}

int64_t Admission::LeastBusyTime() const {
  int64_t least = std::numeric_limits<int64_t>::max();
  for (const auto& [id, queue] : queues_) {
    if (!queue.waiting.empty() || queue.in_flight > 0)
      least = std::min(least, queue.virtual_time);
  }
  return least == std::numeric_limits<int64_t>::max() ? 0 : least;
}

}  // namespace quetzalshelf::routing
