#include "servers/jobs/result_publisher.h"

#include <utility>

#include "core/json_reader.h"
#include "core/logging.h"

namespace quetzalshelf::jobs {

std::string EncodeResult(const PublishedResult& result) {
  return Json{{"format", 1},
              {"job", result.job.value()},
              {"attempt", result.attempt.value()},
              {"tasks", result.tasks}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

ResultPublisher::ResultPublisher(ObjectStore& store,
                                 JobRows& rows,
                                 const Clock& clock,
                                 Duration retry,
                                 Done on_settled)
    : store_(store),
      rows_(rows),
      clock_(clock),
      retry_(retry),
      on_settled_(std::move(on_settled)) {}

void ResultPublisher::Publish(const PublishedResult& result, TimePoint now) {
  const JobId job = result.job;
  pending_[job] = {.attempt = result.attempt, .content = EncodeResult(result)};
  Put(job, now);
}

void ResultPublisher::Tick(TimePoint now) {
  for (const auto& [job, pending] : pending_) {
    if (!pending.in_flight && now >= pending.next_try)
      Put(job, now);
  }
}

void ResultPublisher::Put(const JobId& job, TimePoint now) {
  Pending& pending = pending_.at(job);
  pending.in_flight = true;
  pending.next_try = now + retry_;
  store_.Put(
      ResultName(job, pending.attempt), pending.content,
      [this, job, alive = std::weak_ptr(alive_)](const absl::Status& status) {
        if (!alive.expired())
          OnPut(job, status);
      });
}

void ResultPublisher::OnPut(const JobId& job, const absl::Status& status) {
  auto it = pending_.find(job);
  if (it == pending_.end())
    return;
  if (!status.ok()) {
    LOG(WARNING) << "result of job " << job
                 << " is not stored yet: " << status.message();
    it->second.in_flight = false;
    it->second.next_try = clock_.Now() + retry_;
    return;
  }
  // The entry stays in flight until the row is settled.
  const Attempt attempt = it->second.attempt;
  rows_.Update(
      job,
      [job, attempt](JobRecord& record) {
        if (IsFinal(record.state) || record.attempt != attempt)
          return false;
        record.state = JobState::kFinished;
        record.result = ResultName(job, attempt);
        return true;
      },
      [this, job, attempt](JobRows::Outcome) {
        pending_.erase(job);
        on_settled_(job, attempt);
      });
}

}  // namespace quetzalshelf::jobs
