// Urgent jobs of two services that reclaim workers at the same time.

#include <map>
#include <string>
#include <vector>

#include "review/1/rig/rig.h"

namespace quetzalshelf::review {

namespace {

constexpr int kOtherWorkers = 2;
constexpr int kTasks = 8;  // Of one accelerator each: they fill a worker.
constexpr int kPatientMs = 30'000;
constexpr int kUrgentMs = 1'000;
// Twice as many as the workers can run.
constexpr int kPatientJobs = 20;
constexpr int kOtherPatientJobs = 4;
constexpr Duration kSubmitGap{230};  // 4.3 jobs a second come to the site.
constexpr Duration kFill{8'000};
constexpr int kRounds = 24;
constexpr Duration kRoundGap{2'500};
constexpr int kUrgentJobs = 4;  // A round, for each service.
constexpr Duration kCheck{20};
// "is restarted after a short delay".
constexpr Duration kRestartDelay{1'000};
constexpr Duration kIdleLimit{3'000};
// The rule: ends by themselves on two machines, three times each.
constexpr int kEnds = 3;
constexpr int kMachines = 2;

JobShape PatientJob() {
  return {.tasks = kTasks,
          .accelerators = 1,
          .milli_cores = 1'000,
          .estimate_ms = kPatientMs};
}

JobShape UrgentJob() {
  return {.accelerators = 8, .milli_cores = 1'000, .estimate_ms = kUrgentMs};
}

int Run(const std::string& work_dir, const std::string& record) {
  std::map<JobId, Duration> run_times;
  Rig rig(
      work_dir, record,
      [&run_times](const batch::TaskId& it) { return run_times[it.job]; },
      kOtherWorkers);
  if (!rig.Start())
    return rig.GiveUp("the deployment did not start");
  std::map<Node*, int> ends;
  std::map<Node*, TimePoint> restarts;
  rig.Every(kCheck, [&] {
    for (const auto& it : rig.nodes()) {
      if (!it->is_up()) {
        if (rig.Now() >= restarts[it.get()])
          it->Spawn();
      } else if (it->HasEnded()) {
        ++ends[it.get()];
        restarts[it.get()] = rig.Now() + kRestartDelay;
        rig.Record("node " + it->name() + " has ended by itself " +
                   it->HowEnded());
      }
    }
  });
  const auto name_job = [&](const char* queue, int run_ms) {
    const std::string id = rig.NewJobId();
    run_times[JobId(id)] = Duration(run_ms);
    return queue + id;
  };
  // Both services get work that urgent jobs may stop.
  for (int n = 0; n < kPatientJobs + kOtherPatientJobs; ++n) {
    const std::string path =
        name_job(n < kPatientJobs ? kPatient : kOtherPatient, kPatientMs);
    if (rig.CallAny("POST", path, Rig::Encode(PatientJob())).status != 200)
      return rig.GiveUp("a job was not accepted");
    rig.Wait(kSubmitGap);
  }
  rig.Wait(kFill);
  std::vector<std::string> accepted;
  for (int round = 0; round < kRounds; ++round) {
    for (int n = 0; n < 2 * kUrgentJobs; ++n) {
      const char* const queue = n % 2 == 0 ? kUrgent : kOtherUrgent;
      if (queue == kOtherUrgent && !HasTrouble())
        continue;
      const std::string path = name_job(queue, kUrgentMs);
      for (const auto& it : rig.nodes()) {
        if (!it->is_up())
          continue;
        rig.CallLater(*it, "POST", path, Rig::Encode(UrgentJob()), "",
                      [&rig, &accepted, path](const Answer& answer) {
                        rig.Record("submitted " + path +
                                   " answer=" + std::to_string(answer.status));
                        if (answer.status == 200)
                          accepted.push_back(path);
                      });
        break;
      }
    }
    rig.Wait(kRoundGap);
  }
  rig.Wait(kFinishTime);
  const int running = rig.model().running();
  const int before = rig.model().total_starts();
  rig.Wait(kIdleLimit + Duration(1'000));
  const int started = rig.model().total_starts() - before;
  int open = 0;
  for (const std::string& it : accepted)
    open += rig.StateOf(it) == "complete" ? 0 : 1;
  int machines = 0;
  int total = 0;
  for (const auto& [node, count] : ends) {
    machines += count >= kEnds ? 1 : 0;
    total += count;
  }
  return rig.Finish(
      machines >= kMachines || (open > 0 && running == 0 && started == 0),
      "processes ended by themselves " + std::to_string(total) + " times, " +
          std::to_string(machines) + " machines 3 times or more; " +
          std::to_string(open) + " of " + std::to_string(accepted.size()) +
          " accepted urgent jobs are not complete " +
          std::to_string(kFinishTime.count()) + " ms after the traffic, " +
          std::to_string(running) + " tasks run, " + std::to_string(started) +
          " starts in 4 s");
}

}  // namespace

}  // namespace quetzalshelf::review

int main(int argc, char** argv) {
  return argc == 3 ? quetzalshelf::review::Run(argv[1], argv[2]) : 2;
}
