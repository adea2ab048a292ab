// The leader's machine stands still for a moment while more than 500 small
// tasks end on one worker, which lists 500 ends at a time.

#include <map>
#include <string>
#include <vector>

#include "review/1/rig/rig.h"

namespace quetzalshelf::review {

namespace {

constexpr int kJobs = 20;
constexpr int kTasks = 60;
// 7.1 jobs a second, for 2.8 s.
constexpr Duration kSubmitGap{140};
constexpr Duration kStartLimit{2'000};
constexpr Duration kRunTime{8'000};  // Of the first job.
// The ends of two jobs are so far apart.
constexpr Duration kEndGap{30};
// Below the silence after which another node takes over.
constexpr Duration kFreeze{500};

int Run(const std::string& work_dir, const std::string& record) {
  std::map<JobId, Duration> run_times;
  Rig rig(work_dir, record,
          [&run_times](const batch::TaskId& it) { return run_times[it.job]; });
  if (!rig.Start())
    return rig.GiveUp("the deployment did not start");
  std::vector<std::string> jobs;
  const TimePoint began = rig.Now();
  for (int n = 0; n < kJobs; ++n) {
    const std::string id = rig.NewJobId();
    jobs.push_back(kPatient + id);
    run_times[JobId(id)] = kRunTime - (kSubmitGap - kEndGap) * n;
    const JobShape shape{.tasks = kTasks,
                         .estimate_ms = static_cast<int>(kRunTime.count())};
    if (rig.CallAny("POST", jobs.back(), Rig::Encode(shape)).status != 200)
      return rig.GiveUp("a job was not accepted");
    // One job after the other, so that a worker never has over 64 calls at
    // once.
    const bool started = rig.WaitUntil(kStartLimit, [&rig, n] {
      return rig.model().total_starts() >= (n + 1) * kTasks;
    });
    if (!started)
      return rig.GiveUp("a job was not started");
    rig.WaitUntil(kSubmitGap,
                  [&] { return rig.Now() >= began + kSubmitGap * (n + 1); });
  }
  const TimePoint first = rig.model().first_start(
      {JobId(jobs.front().substr(std::string(kPatient).size()))});
  Node* const leader = rig.Leader();
  if (leader == nullptr)
    return rig.GiveUp("no node leads");
  rig.WaitUntil(kRunTime,
                [&rig, first] { return rig.Now() >= first + kRunTime; });
  if (HasTrouble()) {
    rig.Record("machine " + leader->name() + " stands still");
    leader->Pause();
  }
  rig.Wait(kFreeze);
  leader->Resume();
  rig.Record("machine " + leader->name() + " goes on");
  rig.Wait(kFinishTime + kRunTime);
  int complete = 0;
  for (const std::string& it : jobs)
    complete += rig.StateOf(it) == "complete" ? 1 : 0;
  int repeats = 0;
  int noted = 0;
  for (const WatchedWorkers::Repeat& it : rig.watched().Repeats()) {
    ++repeats;
    noted += it.noted ? 1 : 0;
    rig.Record("started again: " + ToString(it.task) + ", ended done on " +
               it.ended_on.value() + " as end " + std::to_string(it.end) +
               ", noted=" + (it.noted ? "yes" : "no"));
  }
  const std::string seen =
      std::to_string(repeats) + " tasks started after a run had ended done, " +
      std::to_string(noted) +
      " of these ends were taken note of; jobs=" + std::to_string(kJobs) +
      " complete=" + std::to_string(complete) +
      " most ends listed at once=" + std::to_string(rig.watched().most_ends()) +
      " most calls of a worker at once=" +
      std::to_string(rig.watched().most_calls());
  return rig.Finish(noted > 0 || !rig.model().violations().empty(), seen);
}

}  // namespace

}  // namespace quetzalshelf::review

int main(int argc, char** argv) {
  return argc == 3 ? quetzalshelf::review::Run(argv[1], argv[2]) : 2;
}
