// A lasting job whose worker crashes several times in the life of the job.

#include <string>

#include "review/common/rig.h"

namespace quetzalshelf::review {

namespace {

constexpr int kCrashes = 6;
constexpr Duration kDown{4'500};
constexpr Duration kWorkTime{6'000};  // Of the task between two crashes.
constexpr Duration kRestartLimit{8'000};

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
  int crashes = 0;
  std::string state;
  for (int n = 0; n < kCrashes; ++n) {
    const bool runs = rig.WaitUntil(
        kRestartLimit, [&] { return rig.model().IsRunning(task); });
    if (!runs && n == 0)
      return rig.GiveUp("the task was not started");
    state = rig.StateOf(path);
    if (!runs)
      break;
    rig.Wait(kWorkTime);
    if (!HasTrouble())
      continue;
    rig.CrashWorker(rig.model().HolderOf(task), kDown);
    ++crashes;
  }
  rig.Wait(kRestartLimit);
  state = rig.StateOf(path);
  const int failures = rig.model().failures(task);
  return rig.Finish(
      state != "running" && state != "queued",
      "state=" + state + " after " + std::to_string(crashes) +
          " crashes of its workers, ends failed=" + std::to_string(failures) +
          ", runs now=" + std::to_string(rig.model().IsRunning(task)));
}

}  // namespace

}  // namespace quetzalshelf::review

int main(int argc, char** argv) {
  return argc == 3 ? quetzalshelf::review::Run(argv[1], argv[2]) : 2;
}
