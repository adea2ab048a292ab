// A job is cancelled while the worker of its task is cut off, and the leader
// loses power before the cut ends.

#include <string>

#include "review/1/rig/rig.h"

namespace quetzalshelf::review {

namespace {

constexpr Duration kCut{3'000};
constexpr Duration kLeaderLives{800};  // After the cancelling.
constexpr Duration kPowerless{3'500};
constexpr Duration kWatch{20'000};

int Run(const std::string& work_dir, const std::string& record) {
  Rig rig(work_dir, record,
          [](const batch::TaskId&) { return Duration(600'000); });
  if (!rig.Start())
    return rig.GiveUp("the deployment did not start");
  JobShape lasting{.accelerators = 1, .estimate_ms = 60'000};
  lasting.step = {{"long_running", true}};
  const std::string id = rig.NewJobId();
  const std::string path = kPatient + id;
  if (rig.CallAny("POST", path, Rig::Encode(lasting)).status != 200)
    return rig.GiveUp("the job was not accepted");
  const batch::TaskId task{JobId(id)};
  if (!rig.WaitUntil(Duration(5'000),
                     [&] { return rig.model().IsRunning(task); }))
    return rig.GiveUp("the task was not started");
  rig.Wait(Duration(2'000));
  const WorkerId worker = rig.model().HolderOf(task);
  Node* const leader = rig.Leader();
  if (leader == nullptr)
    return rig.GiveUp("no node leads");
  const TimePoint began = rig.Now();
  if (HasTrouble()) {
    rig.Record("worker " + worker.value() + " is cut off");
    rig.model().faults(worker).silent = true;
  }
  const Answer cancelled = rig.CallAny("DELETE", path);
  if (cancelled.status != 200)
    return rig.GiveUp("the job was not cancelled");
  const TimePoint cancelled_at = rig.Now();
  rig.Wait(kLeaderLives);
  if (HasTrouble()) {
    rig.Record("leader " + leader->name() + " loses power");
    leader->Kill();
  }
  rig.Wait(began + kCut - rig.Now());
  rig.model().faults(worker).silent = false;
  rig.Record("worker " + worker.value() + " is no longer cut off");
  rig.Wait(cancelled_at + kLeaderLives + kPowerless - rig.Now());
  if (HasTrouble()) {
    leader->Spawn();
    rig.Record("machine " + leader->name() + " is back");
  }
  // From here on nothing is disturbed.
  rig.Wait(kContactTime + kCancelBound + kStopBound);
  const bool runs = rig.model().IsRunning(task);
  rig.Record("the task runs " +
             std::to_string((rig.Now() - cancelled_at).count()) +
             " ms after the cancelling: " + (runs ? "yes" : "no"));
  rig.CallAny("DELETE", path);
  rig.Wait(kWatch);
  const bool still_runs = rig.model().IsRunning(task);
  const std::string state = rig.StateOf(path);
  return rig.Finish(runs && still_runs,
                    "state=" + state + ", its task " +
                        (still_runs ? "still runs " : "does not run ") +
                        std::to_string((rig.Now() - cancelled_at).count()) +
                        " ms after the cancelling was acknowledged");
}

}  // namespace

}  // namespace quetzalshelf::review

int main(int argc, char** argv) {
  return argc == 3 ? quetzalshelf::review::Run(argv[1], argv[2]) : 2;
}
