// Watches a fixture for jobs that stand still beside idle workers, from what
// runs on the workers alone.

#ifndef TESTS_BATCH_STAND_WATCH_H_
#define TESTS_BATCH_STAND_WATCH_H_

#include <map>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "servers/batch/types.h"
#include "tests/batch/batch_fixture.h"

namespace quetzalshelf::batch {

// The users' limit: with nothing running while a task could run, less than half
// of the service in use, and room for the task or its gang twice over.
inline constexpr Duration kLongestStand{3'000};

class StandWatch {
 public:
  explicit StandWatch(BatchFixture& fixture) : fixture_(fixture) {}

  void Add(const JobId& id, const JobSpec& spec) { jobs_[id].spec = spec; }
  void Observe();
  // One line for each job that has stood for more than kLongestStand.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Watched {
    JobSpec spec;
    TimePoint standing_since;
    bool reported = false;
  };

  bool IsStepDone(const JobId& id, const JobSpec& spec, int step) const;
  // The first step of which a task could run; null if none could, or if
  // something of the job runs.
  const StepSpec* FindWaitingStep(const JobId& id, const JobSpec& spec) const;
  bool HasRoomTwice(const StepSpec& step,
                    const std::map<WorkerId, Resources>& used) const;
  // Whether its state in the store is final, for example failed.
  bool IsOver(const JobId& id) const;
  // Empty when half of the service is in use or more.
  std::map<WorkerId, Resources> CountUse() const;

  BatchFixture& fixture_;
  std::map<JobId, Watched> jobs_;
  std::vector<std::string> violations_;
};

}  // namespace quetzalshelf::batch

#endif  // TESTS_BATCH_STAND_WATCH_H_
