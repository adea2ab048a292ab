#include "standins/fleet/model_workers.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace quetzalshelf {

namespace {

using batch::EndReason;
using batch::OrderReply;
using batch::OrderResult;

constexpr Duration kFailTime{200};
// Tasks that fail by their own fault do so in the course of their work.
constexpr Duration kOwnFailTime{500};
constexpr Duration kGangWait{4'000};
constexpr Duration kCrashDelay{10};
// The platform's limit of one answer.
constexpr size_t kMaxListedEnds = 500;

}  // namespace

ModelWorkers::ModelWorkers(TaskRunner& runner,
                           const Clock& clock,
                           Duration answer_time,
                           RunTime run_time)
    : runner_(runner),
      clock_(clock),
      answer_time_(answer_time),
      run_time_(std::move(run_time)) {}

void ModelWorkers::Add(const batch::WorkerEntry& entry) {
  workers_[entry.id].entry = entry;
}

void ModelWorkers::Restart(const WorkerId& id,
                           int64_t incarnation_start_wall_ms) {
  ModelWorker& worker = workers_[id];
  // Calls that wait for an end get the lists of the new life.
  for (const auto& it : worker.waiting)
    runner_.Post(it);
  ModelWorker reborn;
  reborn.entry = worker.entry;
  reborn.entry.incarnation_start_wall_ms = incarnation_start_wall_ms;
  reborn.faults = worker.faults;
  reborn.life = worker.life + 1;
  reborn.clock_start = clock_.Now();
  // Timers of the earlier life find another serial.
  reborn.lease_serial = worker.lease_serial + 1;
  const std::map<batch::TaskId, ModelRun> lost =
      std::exchange(worker, std::move(reborn)).runs;
  for (const auto& [task, run] : lost) {
    ++crashes_under_[task];
    if (run.gang_size <= 1)
      continue;
    for (const Member& it : MembersOf(task, run.attempt))
      End(workers_[it.worker], it.task, EndReason::kBroken);
  }
}

void ModelWorkers::Crash(const WorkerId& id) {
  ++crashes_;
  const int64_t next = clock_.WallMillis() + outage_.count();
  const bool silent = crash_style_ != CrashStyle::kRefusing;
  workers_[id].down = true;
  workers_[id].faults.silent = silent;
  Restart(id, next);
  workers_[id].down = true;
  if (crash_style_ == CrashStyle::kForGood)
    return;
  runner_.PostAfter(outage_, [this, id] {
    workers_[id].down = false;
    workers_[id].faults.silent = false;
  });
}

void ModelWorkers::CutOff(const WorkerId& id) {
  ModelWorker& worker = workers_[id];
  worker.cut_off = true;
  for (const auto& it : std::exchange(worker.waiting, {}))
    runner_.Post(it);
}

int64_t ModelWorkers::ClockOf(const ModelWorker& worker) const {
  return (clock_.Now() - worker.clock_start).count();
}

bool ModelWorkers::IsOutOfReach(
    const ModelWorker& worker,
    Duration timeout,
    const std::function<void(absl::Status)>& give_up) {
  if (worker.faults.silent) {
    runner_.PostAfter(timeout, [give_up] {
      give_up(absl::DeadlineExceededError("no answer"));
    });
    return true;
  }
  if (worker.down || worker.cut_off) {
    runner_.PostAfter(answer_time_, [give_up] {
      give_up(absl::UnavailableError("connection refused"));
    });
    return true;
  }
  return false;
}

std::optional<Duration> ModelWorkers::NextLateness(ModelWorker& worker,
                                                   int& count) const {
  if (lateness_)
    return lateness_();
  if (count == 0)
    return std::nullopt;
  --count;
  return worker.faults.lateness;
}

void ModelWorkers::Deliver(const WorkerId& id,
                           Duration timeout,
                           std::optional<Duration> lateness,
                           Duration delay,
                           std::function<void()> carry_out,
                           const std::function<void(absl::Status)>& give_up) {
  if (lateness) {
    runner_.PostAfter(timeout, [give_up] {
      give_up(absl::DeadlineExceededError("no answer"));
    });
    runner_.PostAfter(*lateness, [this, id, life = workers_[id].life,
                                  carry_out = std::move(carry_out)] {
      const ModelWorker& worker = workers_[id];
      if (worker.life == life ||
          (worker.faults.orders_outlive_restart && !worker.down))
        carry_out();
    });
    return;
  }
  runner_.PostAfter(answer_time_ + delay,
                    [this, id, carry_out = std::move(carry_out)] {
                      workers_[id].contacted = true;
                      carry_out();
                    });
}

void ModelWorkers::Start(const batch::WorkerEntry& worker,
                         const batch::StartOrder& order,
                         Duration timeout,
                         OrderCallback done) {
  ModelWorker& model = workers_[worker.id];
  if (IsOutOfReach(model, timeout, done))
    return;
  const std::optional<Duration> lateness =
      NextLateness(model, model.faults.late_orders);
  Deliver(
      worker.id, timeout, lateness, model.faults.start_delay,
      [this, id = worker.id, order, lateness, done] {
        const OrderReply reply = CarryOutStart(workers_[id], order);
        if (lateness)
          return;
        fenced_starts_ += reply.result == OrderResult::kFenced ? 1 : 0;
        done(reply);
      },
      done);
}

void ModelWorkers::Stop(const batch::WorkerEntry& worker,
                        const batch::StopOrder& order,
                        Duration timeout,
                        OrderCallback done) {
  ModelWorker& model = workers_[worker.id];
  if (IsOutOfReach(model, timeout, done))
    return;
  const std::optional<Duration> lateness =
      NextLateness(model, model.faults.late_orders);
  Deliver(
      worker.id, timeout, lateness, Duration(0),
      [this, id = worker.id, order, lateness, done] {
        const OrderReply reply = CarryOutStop(workers_[id], order);
        if (!lateness)
          done(reply);
      },
      done);
}

void ModelWorkers::Sync(const batch::WorkerEntry& worker,
                        const batch::SyncRequest& request,
                        Duration timeout,
                        SyncCallback done) {
  ModelWorker& model = workers_[worker.id];
  if (model.faults.silent) {
    runner_.PostAfter(
        timeout, [done] { done(absl::DeadlineExceededError("no answer")); });
    return;
  }
  const std::optional<Duration> lateness =
      NextLateness(model, model.faults.late_syncs);
  Deliver(
      worker.id, timeout, lateness, Duration(0),
      [this, id = worker.id, request, lateness, done] {
        CarryOutSync(id, request,
                     [this, id, lateness,
                      done](const absl::StatusOr<batch::SyncReply>& reply) {
                       // Nobody hears the answer to a late call.
                       if (lateness)
                         return;
                       if (reply.ok())
                         MarkListed(id);
                       done(reply);
                     });
      },
      done);
}

void ModelWorkers::CarryOutSync(const WorkerId& id,
                                const batch::SyncRequest& request,
                                const SyncCallback& done) {
  ModelWorker& here = workers_[id];
  if (here.down || here.cut_off) {
    done(absl::UnavailableError("connection refused"));
    return;
  }
  if (request.fence < here.fence) {
    done(batch::SyncReply{.result = OrderResult::kFenced,
                          .clock_ms = ClockOf(here)});
    return;
  }
  here.fence = request.fence;
  if (request.lease_until_ms)
    ExtendLease(here, *request.lease_until_ms);
  for (const batch::ListedEnd& it : here.ends) {
    if (it.number <= request.acknowledged_ends && it.reason == EndReason::kDone)
      (here.contacted ? noted_done_ : noted_before_contact_).insert(it.task);
  }
  std::erase_if(here.ends, [&](const batch::ListedEnd& it) {
    return it.number <= request.acknowledged_ends;
  });
  if (request.wait.count() == 0 || !here.ends.empty()) {
    done(Snapshot(here));
    return;
  }
  auto answered = std::make_shared<bool>(false);
  const auto answer = [this, id, done, answered] {
    if (std::exchange(*answered, true))
      return;
    const ModelWorker& now_here = workers_[id];
    // A process without power breaks no connection.
    if (now_here.faults.silent)
      done(absl::DeadlineExceededError("no answer"));
    else if (now_here.down || now_here.cut_off)
      done(absl::UnknownError("the connection broke"));
    else
      done(Snapshot(workers_[id]));
  };
  here.waiting.push_back(answer);
  runner_.PostAfter(request.wait, answer);
}

void ModelWorkers::MarkListed(const WorkerId& id) {
  for (auto& [task, run] : workers_[id].runs)
    run.listed = true;
}

batch::SyncReply ModelWorkers::Snapshot(const ModelWorker& worker) const {
  batch::SyncReply reply;
  reply.clock_ms = ClockOf(worker);
  reply.incarnation_start_wall_ms = worker.entry.incarnation_start_wall_ms;
  for (const auto& [task, run] : worker.runs)
    reply.runs.push_back({task, run.attempt, "", PercentOf(run)});
  const size_t count = std::min(worker.ends.size(), kMaxListedEnds);
  reply.ends.assign(worker.ends.begin(),
                    worker.ends.begin() + static_cast<std::ptrdiff_t>(count));
  reply.more_ends = count < worker.ends.size();
  return reply;
}

int ModelWorkers::PercentOf(const ModelRun& run) const {
  if (run.stands_still || !run.present || run.duration.count() == 0)
    return 0;
  const Duration elapsed = clock_.Now() - run.started_at;
  return static_cast<int>(
      std::min<int64_t>(99, elapsed.count() * 100 / run.duration.count()));
}

void ModelWorkers::CheckStart(const WorkerId& id,
                              const batch::StartOrder& order) {
  const std::string name = ToString(order.task);
  const bool before_contact = !workers_.at(id).contacted;
  const auto note = [&](bool is_unknown, const std::string& text) {
    (is_unknown ? violations_before_contact_ : violations_)
        .push_back(name + text);
  };
  for (const auto& [other, worker] : workers_) {
    const auto it = worker.runs.find(order.task);
    // Timers may fire late in real time; a run ends with its lease.
    if (worker.lease_until <= clock_.Now() || it == worker.runs.end())
      continue;
    const bool is_unknown = it->second.before_contact && !it->second.listed;
    note(before_contact || is_unknown,
         " runs twice: " + other.value() + " and " + id.value());
  }
  if (noted_done_.contains(order.task))
    note(before_contact, " starts after its noted end");
  else if (noted_before_contact_.contains(order.task))
    note(/*is_unknown=*/true, " starts after its noted end");
}

OrderReply ModelWorkers::CarryOutStart(ModelWorker& worker,
                                       const batch::StartOrder& order) {
  OrderReply reply{.clock_ms = ClockOf(worker)};
  const auto refuse = [&](OrderResult result) {
    reply.result = result;
    return reply;
  };
  if (order.fence < worker.fence)
    return refuse(OrderResult::kFenced);
  worker.fence = order.fence;
  if (const auto it = worker.runs.find(order.task);
      it != worker.runs.end() && it->second.attempt == order.attempt) {
    if (order.lease_until_ms > ClockOf(worker))
      ExtendLease(worker, order.lease_until_ms);
    return reply;
  }
  if (order.lease_until_ms <= ClockOf(worker))
    return refuse(OrderResult::kLeaseInPast);
  if (const auto it = worker.tombstones.find(order.task);
      it != worker.tombstones.end() && order.attempt <= it->second) {
    ExtendLease(worker, order.lease_until_ms);
    return refuse(OrderResult::kSuperseded);
  }
  if (worker.faults.refuses)
    return refuse(OrderResult::kUnhealthy);
  CheckStart(worker.entry.id, order);
  ExtendLease(worker, order.lease_until_ms);
  const uint64_t serial = ++serial_;
  ++starts_[order.task];
  ++total_starts_;
  first_start_.try_emplace(order.task, clock_.Now());
  const int gang_size = gang_size_ ? gang_size_(order) : 0;
  ModelRun& run = worker.runs[order.task];
  run = {order.attempt,
         serial,
         clock_.Now(),
         run_time_(order.task),
         worker.faults.stands_still,
         gang_size,
         gang_size <= 1,
         !worker.contacted};
  const WorkerId& id = worker.entry.id;
  if (deadly_ && deadly_(order.task)) {
    runner_.PostAfter(kCrashDelay, [this, id, life = worker.life] {
      if (workers_[id].life == life)
        Crash(id);
    });
  }
  if (worker.faults.fails_tasks)
    EndAfter(kFailTime, id, order.task, EndReason::kFailed);
  else if (gang_size > 1)
    JoinGang(worker, order.task);
  else if (!run.stands_still && !FailHalfway(worker, order.task))
    EndAfter(run.duration, id, order.task, EndReason::kDone);
  return reply;
}

void ModelWorkers::EndAfter(Duration delay,
                            const WorkerId& id,
                            const batch::TaskId& task,
                            EndReason reason) {
  const uint64_t serial = workers_[id].runs.at(task).serial;
  runner_.PostAfter(delay, [this, id, task, serial, reason] {
    ModelWorker& here = workers_[id];
    const auto it = here.runs.find(task);
    if (it == here.runs.end() || it->second.serial != serial ||
        (reason == EndReason::kAlone && it->second.present))
      return;
    End(here, task, reason);
  });
}

std::vector<ModelWorkers::Member> ModelWorkers::MembersOf(
    const batch::TaskId& task,
    Attempt attempt) {
  std::vector<Member> members;
  for (const auto& [id, worker] : workers_) {
    for (const auto& [other, run] : worker.runs) {
      if (other.job == task.job && other.occurrence == task.occurrence &&
          other.step == task.step && run.attempt == attempt)
        members.push_back({id, other});
    }
  }
  return members;
}

void ModelWorkers::JoinGang(ModelWorker& worker, const batch::TaskId& task) {
  const ModelRun& run = worker.runs.at(task);
  const std::vector<Member> members = MembersOf(task, run.attempt);
  if (members.size() < static_cast<size_t>(run.gang_size)) {
    EndAfter(kGangWait, worker.entry.id, task, EndReason::kAlone);
    return;
  }
  bool stands_still = false;
  for (const Member& it : members) {
    ModelRun& member = workers_[it.worker].runs.at(it.task);
    member.present = true;
    member.started_at = clock_.Now();
    stands_still = stands_still || member.stands_still;
  }
  if (stands_still || FailHalfway(worker, task))
    return;
  runner_.PostAfter(run.duration, [this, task, attempt = run.attempt] {
    EndGang(task, attempt);
  });
}

bool ModelWorkers::FailHalfway(const ModelWorker& worker,
                               const batch::TaskId& task) {
  if (!failing_ || !failing_(task))
    return false;
  const Duration half = worker.runs.at(task).duration / 2;
  EndAfter(std::max(half, kOwnFailTime), worker.entry.id, task,
           EndReason::kFailed);
  return true;
}

void ModelWorkers::EndGang(const batch::TaskId& task, Attempt attempt) {
  // Members that have ended before took the others with them.
  for (const Member& it : MembersOf(task, attempt))
    End(workers_[it.worker], it.task, EndReason::kDone);
}

OrderReply ModelWorkers::CarryOutStop(ModelWorker& worker,
                                      const batch::StopOrder& order) {
  OrderReply reply{.clock_ms = ClockOf(worker)};
  if (order.fence < worker.fence) {
    reply.result = OrderResult::kFenced;
    return reply;
  }
  worker.fence = order.fence;
  Attempt& tombstone = worker.tombstones[order.task];
  tombstone = std::max(tombstone, order.attempt);
  const auto it = worker.runs.find(order.task);
  if (it == worker.runs.end() || it->second.attempt > order.attempt)
    return reply;
  runner_.PostAfter(
      worker.faults.stop_time, [this, id = worker.entry.id, task = order.task,
                                serial = it->second.serial] {
        ModelWorker& here = workers_[id];
        const auto run = here.runs.find(task);
        if (run != here.runs.end() && run->second.serial == serial)
          End(here, task, EndReason::kStopped);
      });
  return reply;
}

void ModelWorkers::ExtendLease(ModelWorker& worker, int64_t until_ms) {
  const TimePoint until = std::min(worker.clock_start + Duration(until_ms),
                                   clock_.Now() + longest_lease_);
  worker.lease_until = std::max(worker.lease_until, until);
  const uint64_t serial = ++worker.lease_serial;
  runner_.PostAfter(worker.lease_until - clock_.Now(),
                    [this, id = worker.entry.id, serial] {
                      ModelWorker& here = workers_[id];
                      if (here.lease_serial != serial)
                        return;
                      while (!here.runs.empty()) {
                        // A copy, since the key goes with its run.
                        const batch::TaskId task = here.runs.begin()->first;
                        End(here, task, EndReason::kLapsed);
                      }
                    });
}

void ModelWorkers::End(ModelWorker& worker,
                       const batch::TaskId& task,
                       EndReason reason) {
  const Attempt attempt = worker.runs.at(task).attempt;
  const bool breaks_gang = worker.runs.at(task).gang_size > 1 &&
                           reason != EndReason::kDone &&
                           reason != EndReason::kBroken;
  worker.runs.erase(task);
  if (reason == EndReason::kDone)
    done_.insert(task);
  if (reason == EndReason::kFailed)
    ++failures_[task];
  Attempt& tombstone = worker.tombstones[task];
  tombstone = std::max(tombstone, attempt);
  worker.ends.push_back({++worker.last_end, task, attempt, reason, ""});
  for (const auto& it : std::exchange(worker.waiting, {}))
    runner_.Post(it);
  if (!breaks_gang)
    return;
  const auto break_gang = [this, task, attempt] {
    for (const Member& it : MembersOf(task, attempt))
      End(workers_[it.worker], it.task, EndReason::kBroken);
  };
  if (gang_news_delay_ > Duration(0))
    runner_.PostAfter(gang_news_delay_, break_gang);
  else
    break_gang();
}

int ModelWorkers::starts(const batch::TaskId& task) const {
  const auto it = starts_.find(task);
  return it == starts_.end() ? 0 : it->second;
}

int ModelWorkers::failures(const batch::TaskId& task) const {
  const auto it = failures_.find(task);
  return it == failures_.end() ? 0 : it->second;
}

TimePoint ModelWorkers::first_start(const batch::TaskId& task) const {
  const auto it = first_start_.find(task);
  return it == first_start_.end() ? TimePoint() : it->second;
}

int ModelWorkers::running() const {
  int count = 0;
  for (const auto& [id, worker] : workers_)
    count += static_cast<int>(worker.runs.size());
  return count;
}

std::vector<batch::TaskId> ModelWorkers::RunningTasks() const {
  std::vector<batch::TaskId> tasks;
  for (const auto& [id, worker] : workers_) {
    for (const auto& [task, run] : worker.runs)
      tasks.push_back(task);
  }
  return tasks;
}

int ModelWorkers::crashes_under(const batch::TaskId& task) const {
  const auto it = crashes_under_.find(task);
  return it == crashes_under_.end() ? 0 : it->second;
}

bool ModelWorkers::IsRunning(const batch::TaskId& task) const {
  return !HolderOf(task).empty();
}

WorkerId ModelWorkers::HolderOf(const batch::TaskId& task) const {
  for (const auto& [id, worker] : workers_) {
    if (worker.runs.contains(task))
      return id;
  }
  return WorkerId();
}

}  // namespace quetzalshelf
