// Whether accepted jobs stand still although there is room for them.

#ifndef TESTS_SOAK_STAND_CHECK_H_
#define TESTS_SOAK_STAND_CHECK_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"

namespace quetzalshelf::soak {

// After a fault the site has this long to recover: the users' `contact_ms`.
inline constexpr Duration kCalmBefore{4'000};
// A job may have nothing running for this long: the users' rule on lost jobs.
inline constexpr Duration kLongestStand{3'000};

// Follows jobs from one observation to the next.
class StandCheck {
 public:
  // An accepted job that is not over and has nothing running, though a task
  // could run.
  struct Job {
    std::string id;
    TimePoint accepted_at;
    int tasks = 0;
    int accelerators = 0;  // Of each task.
  };
  // Accelerators of a worker.
  struct Room {
    int all = 0;
    int free = 0;
  };

  // Returns the jobs that have stood for too long, each once. A job stands
  // while it is listed, all workers are under half full, and they have room for
  // it twice over.
  std::vector<std::string> Observe(const std::vector<Job>& jobs,
                                   const std::vector<Room>& rooms,
                                   TimePoint now,
                                   TimePoint calm_since);

 private:
  std::map<std::string, TimePoint> standing_since_;
  std::set<std::string> reported_;
};

}  // namespace quetzalshelf::soak

#endif  // TESTS_SOAK_STAND_CHECK_H_
