#include "drivers/worker/in_process_workers.h"

#include <utility>

namespace quetzalshelf {

// Outlives the port while messages are on their way.
struct InProcessWorkers::State : std::enable_shared_from_this<State> {
  State(TaskRunner& the_runner, const Clock& the_clock, Duration the_timeout)
      : runner(the_runner), clock(the_clock), timeout(the_timeout) {}

  // Carries out a command on a worker and gives its result.
  template <typename Result>
  using Work = std::function<Result(WorkerModel&, TimePoint)>;

  template <typename Result>
  void Deliver(const WorkerMessage& message,
               Work<Result> work,
               std::function<void(Result)> done) {
    const WorkerDelivery delivery = hook ? hook(message) : WorkerDelivery();
    // The first of answer and time-out runs the callback.
    const auto once = std::make_shared<std::function<void(Result)>>(
        [done = std::move(done)](Result result) { done(std::move(result)); });
    const auto answer = [once](Result result) {
      if (const auto callback = std::exchange(*once, nullptr))
        callback(std::move(result));
    };
    if (delivery.refuse || !workers.contains(message.worker)) {
      runner.Post([answer] {
        answer(absl::UnavailableError("the worker is not reached"));
      });
      return;
    }
    runner.PostAfter(timeout, [answer] {
      answer(absl::DeadlineExceededError("no answer from the worker"));
    });
    if (delivery.lose_request)
      return;
    const auto self = shared_from_this();
    runner.PostAfter(
        delivery.request_delay, [self, message, work, delivery, answer] {
          self->Receive<Result>(message.worker, work, delivery, answer);
        });
  }

  template <typename Result>
  void Receive(const WorkerId& worker,
               const Work<Result>& work,
               const WorkerDelivery& delivery,
               const std::function<void(Result)>& answer) {
    const auto it = workers.find(worker);
    if (it == workers.end())
      return;
    Result result = work(*it->second, clock.Now());
    if (delivery.duplicate_after) {
      WorkerDelivery again;
      again.lose_reply = true;
      runner.PostAfter(*delivery.duplicate_after,
                       [self = shared_from_this(), worker, work, again] {
                         self->Receive<Result>(worker, work, again, nullptr);
                       });
    }
    if (delivery.lose_reply)
      return;
    runner.PostAfter(delivery.reply_delay,
                     [answer, result = std::move(result)] { answer(result); });
  }

  TaskRunner& runner;
  const Clock& clock;
  const Duration timeout;
  FaultHook hook;
  std::map<WorkerId, std::unique_ptr<WorkerModel>> workers;
};

InProcessWorkers::InProcessWorkers(TaskRunner& runner,
                                   const Clock& clock,
                                   Duration timeout)
    : state_(std::make_shared<State>(runner, clock, timeout)) {}

InProcessWorkers::~InProcessWorkers() = default;

WorkerModel& InProcessWorkers::AddWorker(WorkerModelOptions options) {
  std::unique_ptr<WorkerModel>& slot = state_->workers[options.worker];
  slot = std::make_unique<WorkerModel>(std::move(options));
  return *slot;
}

void InProcessWorkers::RemoveWorker(const WorkerId& worker) {
  state_->workers.erase(worker);
}

WorkerModel* InProcessWorkers::FindWorker(const WorkerId& worker) {
  const auto it = state_->workers.find(worker);
  return it == state_->workers.end() ? nullptr : it->second.get();
}

void InProcessWorkers::SetFaultHook(FaultHook hook) {
  state_->hook = std::move(hook);
}

void InProcessWorkers::Sync(const WorkerAddress& worker,
                            const SyncRequest& request,
                            SyncCallback done) {
  state_->Deliver<absl::StatusOr<SyncReply>>(
      {worker.worker, WorkerMessageKind::kSync, {}},
      [request](WorkerModel& model, TimePoint now) {
        return model.Sync(request, now);
      },
      std::move(done));
}

void InProcessWorkers::Prepare(const WorkerAddress& worker,
                               const PrepareRequest& request,
                               Callback done) {
  state_->Deliver<absl::Status>(
      {worker.worker, WorkerMessageKind::kPrepare, request.gang},
      [request](WorkerModel& model, TimePoint now) {
        return model.Prepare(request, now);
      },
      std::move(done));
}

void InProcessWorkers::Run(const WorkerAddress& worker,
                           const RunRequest& request,
                           Callback done) {
  state_->Deliver<absl::Status>(
      {worker.worker, WorkerMessageKind::kRun, request.gang},
      [request](WorkerModel& model, TimePoint now) {
        return model.Run(request, now);
      },
      std::move(done));
}

void InProcessWorkers::Act(const WorkerAddress& worker,
                           const GangRequest& request,
                           Callback done) {
  state_->Deliver<absl::Status>(
      {worker.worker, WorkerMessageKind::kAct, request.gang},
      [request](WorkerModel& model, TimePoint now) {
        return model.Act(request, now);
      },
      std::move(done));
}

}  // namespace quetzalshelf
