// Estimates relative speeds of workers from the progress of gangs, whose
// members have the same work to do. Needed for urgent jobs with little slack:
// one slow worker delays the whole gang.

#ifndef SERVERS_BATCH_WORKER_SPEEDS_H_
#define SERVERS_BATCH_WORKER_SPEEDS_H_

#include <map>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace quetzalshelf::batch {

class WorkerSpeeds {
 public:
  // Progress of one member of a gang, in percent a second.
  struct MemberRate {
    WorkerId worker;
    double rate = 0;
  };

  void ObserveGang(const std::vector<MemberRate>& members, TimePoint now);
  // Time that a task takes there, relative to a healthy worker; 1 when unknown.
  double Slowness(const WorkerId& worker, TimePoint now) const;
  // A new incarnation of the worker may be of another kind.
  void Forget(const WorkerId& worker);

 private:
  struct Record {
    double slowness = 1;
    TimePoint at;
  };

  std::map<WorkerId, Record> records_;
};

}  // namespace quetzalshelf::batch

#endif  // SERVERS_BATCH_WORKER_SPEEDS_H_
