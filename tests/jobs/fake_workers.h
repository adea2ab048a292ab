// Workers in memory, with message faults and a record of what ran.

#ifndef TESTS_JOBS_FAKE_WORKERS_H_
#define TESTS_JOBS_FAKE_WORKERS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/platform/worker_port.h"
#include "core/random.h"
#include "drivers/clock/manual_task_runner.h"

namespace quetzalshelf::jobs {

// What happens to the next messages. Chances are per message.
struct MessageFaults {
  double lose_request = 0;
  double lose_answer = 0;
  double duplicate = 0;
  double delay = 0;  // Up to `max_delay`, which also reorders.
  Duration max_delay{0};
  Duration timeout{1'000};  // Until a lost message is reported as unknown.
};

// One interval in which a task ran.
struct TaskRun {
  WorkerId worker;
  GangKey gang;
  int task = 0;
  Epoch epoch;
  TimePoint from;
  TimePoint to = TimePoint::max();
};

// A task runs for the declared run time and then reports the result
// `<job>/<task>`. Jobs whose payload is `fail` fail at once.
class FakeWorkers : public WorkerPort {
 public:
  FakeWorkers(ManualTaskRunner& runner, uint64_t seed);

  void Add(const WorkerId& worker);
  // The process dies with its tasks, and calls do not reach it.
  void Kill(const WorkerId& worker);
  // Another incarnation answers.
  void Restart(const WorkerId& worker);
  // Calls do not reach it; its tasks go on until their leases end.
  void Cut(const WorkerId& worker, bool cut);

  void Sync(const WorkerAddress& worker,
            const SyncRequest& request,
            SyncCallback done) override;
  void Prepare(const WorkerAddress& worker,
               const PrepareRequest& request,
               Callback done) override;
  void Run(const WorkerAddress& worker,
           const RunRequest& request,
           Callback done) override;
  void Act(const WorkerAddress& worker,
           const GangRequest& request,
           Callback done) override;

  MessageFaults faults;
  // Called for every message before it is delivered; false loses it.
  std::function<bool(const std::string& kind, const WorkerId&)> filter;
  std::vector<TaskRun> history;
  int64_t messages = 0;

  // Tasks of the gang that run now.
  int Running(const JobId& job) const;

 private:
  struct Gang {
    PrepareRequest prepared;
    std::map<int, TaskReport> tasks;
    TimePoint lease_end;
    TimePoint started;
    bool run = false;
  };
  struct Model {
    int incarnation = 1;
    bool alive = true;
    bool cut = false;
    Duration clock_offset{0};
    Epoch epoch;
    std::map<GangKey, Gang> gangs;
    std::set<GangKey> stopped;
    uint64_t sequence = 0;
    std::map<std::pair<GangKey, int>, std::pair<uint64_t, TaskReport>> reports;
  };

  template <typename Answer, typename Handler>
  void Deliver(const char* kind,
               const WorkerId& worker,
               Handler handler,
               std::function<void(Answer)> done);
  absl::Status CheckEpoch(Model& model, Epoch epoch);
  absl::Status CheckStart(Model& model,
                          const IncarnationId& incarnation,
                          TimePoint deadline);
  TimePoint ClockOf(const Model& model) const;
  void Expire(const WorkerId& worker, Model& model);
  void Report(Model& model, const TaskReport& report);
  void End(const WorkerId& worker, Model& model, Gang& gang, TaskState state);
  void Finish(const WorkerId& worker, const GangKey& gang, int incarnation);

  ManualTaskRunner& runner_;
  Random random_;
  std::map<WorkerId, Model> models_;
};

}  // namespace quetzalshelf::jobs

#endif  // TESTS_JOBS_FAKE_WORKERS_H_
