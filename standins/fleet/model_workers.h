// Workers that run tasks under leases and fences, in memory and virtual time.
// Notes each broken promise that a worker can see.

#ifndef STANDINS_FLEET_MODEL_WORKERS_H_
#define STANDINS_FLEET_MODEL_WORKERS_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/task_runner.h"
#include "core/time.h"
#include "servers/batch/worker_port.h"

namespace quetzalshelf {

struct ModelWorkerFaults {
  bool silent = false;        // Orders are lost and have no answer.
  bool fails_tasks = false;   // All that it starts fails soon.
  bool stands_still = false;  // What it starts makes no progress.
  bool refuses = false;       // It refuses to start anything.
  Duration stop_time{300};
  int late_orders = 0;  // So many orders are carried out late, unanswered.
  Duration lateness{3'000};
  int late_syncs = 0;  // The same for syncs.
  // Late calls reach the next life of the worker; else they die with the
  // process that holds them.
  bool orders_outlive_restart = false;
  // Starts are carried out, and answered, after this time.
  Duration start_delay{0};
};

class ModelWorkers : public batch::WorkerPort {
 public:
  using RunTime = std::function<Duration(const batch::TaskId&)>;
  // The members of the gang that an order belongs to; 0 if none.
  using GangSize = std::function<int(const batch::StartOrder&)>;

  ModelWorkers(TaskRunner& runner,
               const Clock& clock,
               Duration answer_time,
               RunTime run_time);

  // Gangs work only while all members are present, and end together. Without
  // this each task counts as independent.
  void set_gang_size(GangSize size) { gang_size_ = std::move(size); }
  // Longer leases are shortened to this length.
  void set_longest_lease(Duration longest) { longest_lease_ = longest; }
  // Time until the members of a gang hear of the end of another one. Those
  // that end by themselves meanwhile list an end of their own.
  void set_gang_news_delay(Duration delay) { gang_news_delay_ = delay; }
  // Tasks that crash each worker soon after it starts them.
  using DeadlyTasks = std::function<bool(const batch::TaskId&)>;
  void set_deadly_tasks(DeadlyTasks deadly) { deadly_ = std::move(deadly); }
  // Tasks that fail on each worker after half of their run time, or 500 ms.
  using FailingTasks = std::function<bool(const batch::TaskId&)>;
  void set_failing_tasks(FailingTasks failing) {
    failing_ = std::move(failing);
  }
  int crashes() const { return crashes_; }
  // What the worker would tell the platform of itself.
  const batch::WorkerEntry& entry(const WorkerId& id) const {
    return workers_.at(id).entry;
  }
  void Add(const batch::WorkerEntry& entry);
  // Crashes the worker and starts it again under the same id: it runs and
  // knows nothing of before, and its clock and counts start anew.
  void Restart(const WorkerId& id, int64_t incarnation_start_wall_ms);
  enum class CrashStyle {
    kRefusing,  // Refuses connections until it is back.
    kSilent,    // Has no power until it is back: calls have no answer.
    kForGood,   // Like kSilent, and never comes back.
  };
  // Tells for each call whether it is carried out late, without an answer, and
  // after which time. Takes the place of the counts of late calls.
  using Lateness = std::function<std::optional<Duration>()>;
  void set_lateness(Lateness lateness) { lateness_ = std::move(lateness); }
  // Of all crashes from now on.
  void set_crash_style(CrashStyle style, Duration outage) {
    crash_style_ = style;
    outage_ = outage;
  }
  // The worker is down, then back as a new incarnation.
  void Crash(const WorkerId& id);
  // Whether the worker is there to tell the platform of itself.
  bool IsUp(const WorkerId& id) const { return !workers_.at(id).down; }
  // Resets the connections to the worker and refuses new ones. It runs on.
  void CutOff(const WorkerId& id);
  void Reconnect(const WorkerId& id) { workers_[id].cut_off = false; }
  ModelWorkerFaults& faults(const WorkerId& id) { return workers_[id].faults; }

  void Start(const batch::WorkerEntry& worker,
             const batch::StartOrder& order,
             Duration timeout,
             OrderCallback done) override;
  void Stop(const batch::WorkerEntry& worker,
            const batch::StopOrder& order,
            Duration timeout,
            OrderCallback done) override;
  void Sync(const batch::WorkerEntry& worker,
            const batch::SyncRequest& request,
            Duration timeout,
            SyncCallback done) override;

  // Starts of a task so far, on any worker.
  int starts(const batch::TaskId& task) const;
  int total_starts() const { return total_starts_; }
  // Starts that were answered as fenced.
  int fenced_starts() const { return fenced_starts_; }
  // Failed ends of a task so far, on any worker.
  int failures(const batch::TaskId& task) const;
  // Workers that restarted while they ran the task.
  int crashes_under(const batch::TaskId& task) const;
  bool IsDone(const batch::TaskId& task) const { return done_.contains(task); }
  // When the task's first run started.
  TimePoint first_start(const batch::TaskId& task) const;
  int running() const;
  std::vector<batch::TaskId> RunningTasks() const;
  bool IsRunning(const batch::TaskId& task) const;
  // The worker that runs the task; empty if none.
  WorkerId HolderOf(const batch::TaskId& task) const;
  // One line for each broken promise: a task that runs twice at once, or a
  // start after a done end was noted.
  const std::vector<std::string>& violations() const { return violations_; }
  // The same where a late call has started a run, or made the worker forget its
  // end, before a call had reached that life in time, and nobody had been told
  // of the run: no caller can know of it.
  const std::vector<std::string>& violations_before_contact() const {
    return violations_before_contact_;
  }

 private:
  struct ModelRun {
    Attempt attempt;
    uint64_t serial = 0;
    TimePoint started_at;
    Duration duration{0};
    bool stands_still = false;
    int gang_size = 0;
    bool present = true;  // All members of the gang are there.
    // Started by a late call, before a call had reached this life in time.
    bool before_contact = false;
    bool listed = false;  // Some caller has been told of it.
  };
  struct Member {
    WorkerId worker;
    batch::TaskId task;
  };
  struct ModelWorker {
    batch::WorkerEntry entry;
    ModelWorkerFaults faults;
    uint64_t life = 0;       // Grows with each restart.
    bool down = false;       // Crashed and not yet back.
    bool contacted = false;  // A call has reached this life in time.
    bool cut_off = false;    // Its connections are reset and refused.
    TimePoint clock_start;   // When the worker's clock showed 0.
    batch::Fence fence;
    TimePoint lease_until;
    std::map<batch::TaskId, ModelRun> runs;
    std::map<batch::TaskId, Attempt> tombstones;
    std::vector<batch::ListedEnd> ends;
    int64_t last_end = 0;
    uint64_t lease_serial = 0;
    std::vector<std::function<void()>> waiting;
  };

  int64_t ClockOf(const ModelWorker& worker) const;
  // Whether an order cannot be delivered; the failure is told to `give_up`.
  bool IsOutOfReach(const ModelWorker& worker,
                    Duration timeout,
                    const std::function<void(absl::Status)>& give_up);
  // Whether the next call is carried out late, and after which time. `count` is
  // the number of late calls of its kind that are left.
  std::optional<Duration> NextLateness(ModelWorker& worker, int& count) const;
  void Deliver(const WorkerId& id,
               Duration timeout,
               std::optional<Duration> lateness,
               Duration delay,
               std::function<void()> carry_out,
               const std::function<void(absl::Status)>& give_up);
  void CarryOutSync(const WorkerId& id,
                    const batch::SyncRequest& request,
                    const SyncCallback& done);
  batch::OrderReply CarryOutStart(ModelWorker& worker,
                                  const batch::StartOrder& order);
  batch::OrderReply CarryOutStop(ModelWorker& worker,
                                 const batch::StopOrder& order);
  void MarkListed(const WorkerId& id);
  batch::SyncReply Snapshot(const ModelWorker& worker) const;
  void ExtendLease(ModelWorker& worker, int64_t until_ms);
  int PercentOf(const ModelRun& run) const;
  void End(ModelWorker& worker,
           const batch::TaskId& task,
           batch::EndReason reason);
  void CheckStart(const WorkerId& id, const batch::StartOrder& order);
  void EndAfter(Duration delay,
                const WorkerId& id,
                const batch::TaskId& task,
                batch::EndReason reason);
  std::vector<Member> MembersOf(const batch::TaskId& task, Attempt attempt);
  void JoinGang(ModelWorker& worker, const batch::TaskId& task);
  void EndGang(const batch::TaskId& task, Attempt attempt);
  // Lets a task that fails by its own fault do so later. False for others.
  bool FailHalfway(const ModelWorker& worker, const batch::TaskId& task);

  TaskRunner& runner_;
  const Clock& clock_;
  Duration answer_time_;
  RunTime run_time_;
  GangSize gang_size_;
  Duration longest_lease_{6'000};
  Duration gang_news_delay_{0};
  DeadlyTasks deadly_;
  FailingTasks failing_;
  Lateness lateness_;
  int crashes_ = 0;
  CrashStyle crash_style_ = CrashStyle::kRefusing;
  Duration outage_{3'000};
  std::map<WorkerId, ModelWorker> workers_;
  std::map<batch::TaskId, int> starts_;
  std::map<batch::TaskId, TimePoint> first_start_;
  std::map<batch::TaskId, int> failures_;
  std::map<batch::TaskId, int> crashes_under_;
  std::set<batch::TaskId> done_;
  std::set<batch::TaskId> noted_done_;
  std::set<batch::TaskId> noted_before_contact_;
  std::vector<std::string> violations_;
  std::vector<std::string> violations_before_contact_;
  uint64_t serial_ = 0;
  int total_starts_ = 0;
  int fenced_starts_ = 0;
};

}  // namespace quetzalshelf

#endif  // STANDINS_FLEET_MODEL_WORKERS_H_
