// Stores results and makes them visible by one transaction each.

#ifndef SERVERS_JOBS_RESULT_PUBLISHER_H_
#define SERVERS_JOBS_RESULT_PUBLISHER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/platform/object_store.h"
#include "core/time.h"
#include "servers/jobs/job_rows.h"

namespace quetzalshelf::jobs {

struct PublishedResult {
  JobId job;
  Attempt attempt;
  std::vector<std::string> tasks;  // The result of each task.
};

std::string EncodeResult(const PublishedResult& result);

// A result is visible only through the job row that names it. The object is
// stored first and named by attempt, so a second try never changes a visible
// result.
class ResultPublisher {
 public:
  using Done = std::function<void(const JobId&, Attempt)>;

  // `store`, `rows` and `clock` must outlive the publisher. `on_settled` is
  // called when the row names the result, or when the job ended otherwise.
  ResultPublisher(ObjectStore& store,
                  JobRows& rows,
                  const Clock& clock,
                  Duration retry,
                  Done on_settled);

  void Publish(const PublishedResult& result, TimePoint now);
  // Stores again what could not be stored.
  void Tick(TimePoint now);

  bool Holds(const JobId& job) const { return pending_.contains(job); }
  size_t pending() const { return pending_.size(); }

 private:
  struct Pending {
    Attempt attempt;
    std::string content;
    bool in_flight = false;
    TimePoint next_try;
  };

  void Put(const JobId& job, TimePoint now);
  void OnPut(const JobId& job, const absl::Status& status);

  ObjectStore& store_;
  JobRows& rows_;
  const Clock& clock_;
  const Duration retry_;
  const Done on_settled_;
  std::map<JobId, Pending> pending_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf::jobs

#endif  // SERVERS_JOBS_RESULT_PUBLISHER_H_
