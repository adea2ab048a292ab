// Records the commands that workers accepted, by epoch.

#ifndef TESTS_JOBS_RECORDING_PORT_H_
#define TESTS_JOBS_RECORDING_PORT_H_

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/platform/worker_port.h"

namespace quetzalshelf::jobs {

// What one owner may not do: use another owner's epoch, or have a command
// accepted by a worker that accepted a higher epoch before it was sent.
struct EpochOracle {
  std::map<Epoch, std::string> users;
  std::map<WorkerId, Epoch> highest;
  int violations = 0;
  int64_t messages = 0;

  void Send(const std::string& owner, Epoch epoch) {
    ++messages;
    violations += users.emplace(epoch, owner).first->second == owner ? 0 : 1;
  }
  void Accept(const WorkerId& worker, Epoch sent, Epoch highest_then) {
    violations += sent < highest_then ? 1 : 0;
    highest[worker] = std::max(highest[worker], sent);
  }
};

// One owner's way to the workers.
class RecordingPort : public WorkerPort {
 public:
  RecordingPort(WorkerPort& port, EpochOracle& oracle, std::string owner)
      : port_(port), oracle_(oracle), owner_(std::move(owner)) {}

  void Sync(const WorkerAddress& worker,
            const SyncRequest& request,
            SyncCallback done) override {
    port_.Sync(worker, request, Record(worker, request.epoch, std::move(done)));
  }
  void Prepare(const WorkerAddress& worker,
               const PrepareRequest& request,
               Callback done) override {
    port_.Prepare(worker, request,
                  Record(worker, request.epoch, std::move(done)));
  }
  void Run(const WorkerAddress& worker,
           const RunRequest& request,
           Callback done) override {
    port_.Run(worker, request, Record(worker, request.epoch, std::move(done)));
  }
  void Act(const WorkerAddress& worker,
           const GangRequest& request,
           Callback done) override {
    port_.Act(worker, request, Record(worker, request.epoch, std::move(done)));
  }

  // Answers that come in while the owner is paused wait for it.
  void Pause() { paused_ = true; }
  void Wake() {
    paused_ = false;
    for (const auto& answer : std::exchange(held_, {}))
      answer();
  }

 private:
  template <typename Done>
  Done Record(const WorkerAddress& worker, Epoch epoch, Done done) {
    oracle_.Send(owner_, epoch);
    const WorkerId id = worker.worker;
    const Epoch highest = oracle_.highest[id];
    return
        [this, id, epoch, highest, done = std::move(done)](const auto& answer) {
          if (answer.ok())
            oracle_.Accept(id, epoch, highest);
          if (paused_)
            held_.push_back([done, answer] { done(answer); });
          else
            done(answer);
        };
  }

  WorkerPort& port_;
  EpochOracle& oracle_;
  const std::string owner_;
  bool paused_ = false;
  std::vector<std::function<void()>> held_;
};

}  // namespace quetzalshelf::jobs

#endif  // TESTS_JOBS_RECORDING_PORT_H_
