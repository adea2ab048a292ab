// A small cluster for tests of a scheduler. It carries out commands after
// fixed delays, and checks with its own accounts, which share nothing with the
// scheduler's, that no rule is broken.

#ifndef TESTS_SCHEDULING_SIMULATION_H_
#define TESTS_SCHEDULING_SIMULATION_H_

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "servers/scheduling/gang_scheduler.h"

namespace quetzalshelf::scheduling {

struct SimulatedJob {
  Job job;
  Duration run_time{0};
  enum class State {
    kWaiting,
    kStarting,
    kRunning,
    kStopping,
    kDone,
    kRefused,
    kCancelled
  } state = State::kWaiting;
  Attempt attempt;
  Placement placement;
  bool guaranteed = false;
  TimePoint submitted, first_start, started, done;
  Duration saved{0};
  Duration progress_at_start{0};
  int starts = 0;
  bool cancelled = false;
  RefusalReason refusal = RefusalReason::kInvalid;
};

class Simulation {
 public:
  explicit Simulation(GangScheduler& scheduler) : scheduler_(scheduler) {}

  // Racks of `rack_size` workers, spread over the domains in turn.
  void AddWorkers(int domains, int racks_per_domain, int rack_size);
  void Submit(const Job& job, Duration run_time);
  void Cancel(const std::string& id);
  void LoseWorker(const WorkerId& id);
  void ReturnWorker(const WorkerId& id);
  void SetDomain(const std::string& id, bool in_service);
  // Lets time pass with a tick each second.
  void Run(Duration time);
  // Tasks on this worker fail shortly after their start.
  void FailTasksOn(const WorkerId& id) { failing_workers_.insert(id); }
  // Every task of this job fails.
  void FailTasksOfJob(const std::string& id) {
    failing_jobs_.insert(JobId(id));
  }

  void Execute(const Commands& commands);
  TimePoint now() const { return now_; }
  const SimulatedJob& job(const std::string& id) const {
    return jobs_.at(JobId(id));
  }
  const std::map<JobId, SimulatedJob>& jobs() const { return jobs_; }
  const std::vector<Worker>& workers() const { return workers_; }
  // Rules that were broken, in words.
  const std::vector<std::string>& violations() const { return violations_; }
  size_t CountRunning() const;

  Duration start_time{300};
  Duration stop_time{300};
  Duration checkpoint_time{1'000};

 private:
  struct Event {
    TimePoint time;
    uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  void ScheduleAfter(Duration delay, std::function<void()> run);
  void On(const StartGang& command);
  void On(const CheckpointGang& command);
  void On(const StopGang& command);
  void On(const RefuseJob& command);
  void On(const ThrottleGang& command);
  SimulatedJob* FindAttempt(const JobId& id, Attempt attempt);
  static SimulatedJob::State StateAfterStop(const SimulatedJob& job);
  void Free(SimulatedJob& job);
  void CheckPlacement(const SimulatedJob& job);
  void AddViolation(const std::string& text) { violations_.push_back(text); }
  Duration Progress(const SimulatedJob& job) const;

  GangScheduler& scheduler_;
  TimePoint now_ = FromMillis(1'000'000);
  uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<JobId, SimulatedJob> jobs_;
  std::vector<Worker> workers_;
  std::map<WorkerId, Worker> by_id_;
  std::map<WorkerId, Resources> used_;
  std::set<WorkerId> lost_;
  std::set<WorkerId> failing_workers_;
  std::set<JobId> failing_jobs_;
  std::set<DomainId> out_;
  std::vector<std::string> violations_;
};

Worker MakeWorker(const std::string& id,
                  const std::string& domain,
                  const std::string& rack,
                  int accelerators = 8);
Job MakeJob(const std::string& id,
            const std::string& workspace,
            int tasks,
            int accelerators,
            Adjacency adjacency = Adjacency::kRegion,
            Urgency urgency = Urgency::kNormal);
Workspace MakeWorkspace(const std::string& id,
                        const std::vector<Guarantee>& guarantees = {});

}  // namespace quetzalshelf::scheduling

#endif  // TESTS_SCHEDULING_SIMULATION_H_
