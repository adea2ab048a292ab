#include "servers/batch/contact_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace quetzalshelf::batch {

namespace {

// Contacts at the same time. A VM with an eighth of a core makes these
// connections well within their time-out; more would only wait for it.
constexpr int kMaxContacts = 100;

bool IsDue(const Worker& worker, TimePoint now) {
  return !worker.synced && !worker.sync_in_flight && worker.entry.port != 0 &&
         now >= worker.next_sync && (worker.listed || worker.runs > 0);
}

}  // namespace

void ContactQueue::Refill(const std::map<WorkerId, Worker>& workers,
                          TimePoint now) {
  std::vector<const Worker*> due;
  for (const auto& [id, worker] : workers) {
    if (IsDue(worker, now))
      due.push_back(&worker);
  }
  std::ranges::sort(due, {}, [](const Worker* it) {
    return std::tuple(it->runs == 0, it->sync_failures, it->entry.rack,
                      it->entry.id);
  });
  queue_.clear();
  for (const Worker* const it : due)
    queue_.push_back(it->entry.id);
}

WorkerId ContactQueue::Next() {
  if (queue_.empty() || under_way_ >= kMaxContacts)
    return WorkerId();
  WorkerId next = std::move(queue_.front());
  queue_.pop_front();
  ++under_way_;
  return next;
}

}  // namespace quetzalshelf::batch
