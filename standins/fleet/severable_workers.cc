#include "standins/fleet/severable_workers.h"

#include <algorithm>
#include <utility>

namespace quetzalshelf {

namespace {

absl::Status NoAnswer() {
  return absl::DeadlineExceededError("no answer in time");
}

}  // namespace

void SeverableWorkers::Start(const batch::WorkerEntry& worker,
                             const batch::StartOrder& order,
                             Duration timeout,
                             OrderCallback done) {
  if (cut_.contains(worker.id))
    runner_.PostAfter(timeout, [done = std::move(done)] { done(NoAnswer()); });
  else
    workers_.Start(worker, order, timeout, std::move(done));
}

void SeverableWorkers::Stop(const batch::WorkerEntry& worker,
                            const batch::StopOrder& order,
                            Duration timeout,
                            OrderCallback done) {
  if (cut_.contains(worker.id))
    runner_.PostAfter(timeout, [done = std::move(done)] { done(NoAnswer()); });
  else
    workers_.Stop(worker, order, timeout, std::move(done));
}

void SeverableWorkers::Sync(const batch::WorkerEntry& worker,
                            const batch::SyncRequest& request,
                            Duration timeout,
                            SyncCallback done) {
  const int poll = request.wait > Duration(0) ? 1 : 0;
  *polls_ += poll;
  acknowledgements_ += request.acknowledged_ends > 0 ? 1 : 0;
  most_polls_ = std::max(most_polls_, *polls_);
  most_syncs_ = std::max(most_syncs_, ++*syncs_);
  SyncCallback finish =
      [syncs = syncs_, polls = polls_, poll,
       done = std::move(done)](absl::StatusOr<batch::SyncReply> reply) {
        --*syncs;
        *polls -= poll;
        done(std::move(reply));
      };
  if (cut_.contains(worker.id))
    runner_.PostAfter(timeout,
                      [finish = std::move(finish)] { finish(NoAnswer()); });
  else
    workers_.Sync(worker, request, timeout, std::move(finish));
}

}  // namespace quetzalshelf
