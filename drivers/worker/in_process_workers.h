// Workers within the process, reached through a network with faults.

#ifndef DRIVERS_WORKER_IN_PROCESS_WORKERS_H_
#define DRIVERS_WORKER_IN_PROCESS_WORKERS_H_

#include <functional>
#include <map>
#include <memory>

#include "core/platform/worker_port.h"
#include "core/task_runner.h"
#include "drivers/worker/worker_model.h"

namespace quetzalshelf {

enum class WorkerMessageKind { kSync, kPrepare, kRun, kAct };

// A command on its way, as shown to the fault hook.
struct WorkerMessage {
  WorkerId worker;
  WorkerMessageKind kind = WorkerMessageKind::kSync;
  GangKey gang;  // Empty for kSync.
};

// What happens to one command. Messages are reordered by different delays.
struct WorkerDelivery {
  bool refuse = false;  // Not reached: kUnavailable at once.
  bool lose_request = false;
  bool lose_reply = false;
  Duration request_delay{0};
  Duration reply_delay{0};
  // The worker receives the command once more this long after the first time;
  // the second answer goes nowhere.
  std::optional<Duration> duplicate_after;
};

// WorkerPort over WorkerModel objects, for standalone mode, simulations and
// tests. Not thread-safe.
class InProcessWorkers : public WorkerPort {
 public:
  using FaultHook = std::function<WorkerDelivery(const WorkerMessage&)>;

  // `runner` and `clock` share one time and must outlive this object and its
  // pending tasks. A command without an answer after `timeout` is
  // kDeadlineExceeded.
  InProcessWorkers(TaskRunner& runner, const Clock& clock, Duration timeout);
  ~InProcessWorkers() override;

  // Adds a worker, or replaces the one of that name by a new incarnation.
  WorkerModel& AddWorker(WorkerModelOptions options);
  // The worker dies with its tasks and is not reached until it is added again.
  void RemoveWorker(const WorkerId& worker);
  // nullptr when there is none.
  WorkerModel* FindWorker(const WorkerId& worker);

  // Decides on each command; without a hook all are delivered.
  void SetFaultHook(FaultHook hook);

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

 private:
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_WORKER_IN_PROCESS_WORKERS_H_
