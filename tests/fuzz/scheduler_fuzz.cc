// Feeds arbitrary sequences of events to the decision core on a simulated
// cluster and ends the program when a rule is broken.

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <iostream>

#include <absl/strings/str_cat.h>

#include "servers/scheduling/shape_scheduler.h"
#include "tests/scheduling/simulation.h"

namespace quetzalshelf::scheduling {
namespace {

void SubmitFrom(Simulation& cluster, int number, uint8_t bits) {
  const int tasks = 1 + bits % 5;
  const int accelerators = 1 << (bits / 5 % 4);
  const auto adjacency = static_cast<Adjacency>(bits / 20 % 4);
  const auto urgency = static_cast<Urgency>(bits / 80 % 3);
  cluster.Submit(MakeJob(absl::StrCat("j", number), absl::StrCat("w", bits % 3),
                         tasks, accelerators, adjacency, urgency),
                 Duration(1'000 * (1 + bits)));
}

void SendStaleEvents(ShapeScheduler& scheduler,
                     Simulation& cluster,
                     int jobs,
                     uint8_t bits) {
  const JobId id(absl::StrCat("j", bits % (jobs + 1)));
  const Attempt old(0);
  const TimePoint now = cluster.now();
  cluster.Execute(scheduler.GangStarted(id, old, now));
  cluster.Execute(scheduler.GangStopped(id, old, now));
  cluster.Execute(scheduler.GangFinished(id, old, now));
  cluster.Execute(scheduler.TaskFailed(id, old, WorkerId("d0r0w0"), now));
  cluster.Execute(scheduler.StartFailed(id, old, WorkerId("nobody"), now));
  cluster.Execute(scheduler.CheckpointSaved(id, old, Duration(bits), now));
}

void Run(const uint8_t* data, size_t size) {
  ShapeScheduler scheduler;
  Simulation cluster(scheduler);
  const Shape rack = MakeJob("", "", 3, 8, Adjacency::kRack).gang;
  cluster.Execute(
      scheduler.SetWorkspaces({MakeWorkspace("w0", {{rack, 2}}),
                               MakeWorkspace("w1"), MakeWorkspace("w2")},
                              cluster.now()));
  cluster.AddWorkers(2, 2, 3);
  int jobs = 0;
  for (size_t n = 0; n + 1 < std::min<size_t>(size, 512); n += 2) {
    const uint8_t bits = data[n + 1];
    const WorkerId worker = cluster.workers()[bits % 12].id;
    switch (data[n] % 8) {
      case 0:
      case 1:
        SubmitFrom(cluster, jobs++, bits);
        break;
      case 2:
        if (jobs > 0)
          cluster.Cancel(absl::StrCat("j", bits % jobs));
        break;
      case 3:
        cluster.LoseWorker(worker);
        break;
      case 4:
        cluster.ReturnWorker(worker);
        break;
      case 5:
        cluster.SetDomain(absl::StrCat("d", bits % 2), bits % 4 < 2);
        break;
      case 6:
        SendStaleEvents(scheduler, cluster, jobs, bits);
        break;
      default:
        cluster.Run(Duration(100 * bits));
        break;
    }
  }
  cluster.Run(Duration(60'000));
  for (const std::string& it : cluster.violations())
    std::cerr << it << "\n";
  if (!cluster.violations().empty())
    std::abort();
}

}  // namespace
}  // namespace quetzalshelf::scheduling

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  quetzalshelf::scheduling::Run(data, size);
  return 0;
}
