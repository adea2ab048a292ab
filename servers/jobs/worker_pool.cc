#include "servers/jobs/worker_pool.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"

namespace quetzalshelf::jobs {

struct WorkerPool::Member : WorkerSession::Delegate {
  Member(WorkerPool& owner, const WorkerEntry& from, TimePoint now)
      : pool(owner),
        worker(from.worker),
        session(from.address,
                owner.port_,
                owner.clock_,
                owner.ownership_,
                *this,
                owner.options_.session,
                now) {}

  void OnWorkerUp(const WorkerId& /*id*/,
                  const std::vector<GangKey>& gangs) override {
    pool.OnUp(*this, gangs);
  }
  void OnWorkerDown(const WorkerId& /*id*/) override { pool.OnDown(*this); }
  void OnReport(const WorkerId& id, const TaskReport& report) override {
    pool.delegate_.OnReport(id, report);
  }
  void OnReportsDone(const WorkerId& id) override {
    pool.delegate_.OnReportsDone(id);
  }
  void OnFenced(const WorkerId& id) override { pool.delegate_.OnFenced(id); }

  WorkerPool& pool;
  scheduling::Worker worker;
  WorkerSession session;
  bool listed = true;
  std::set<GangKey> held;
  // Gangs to stop, with the time of the next try.
  std::map<GangKey, TimePoint> unaccounted;
  // Gangs that hold no capacity any more but must be forgotten.
  std::map<GangKey, TimePoint> releases;
};

WorkerPool::WorkerPool(WorkerPort& port,
                       const Clock& clock,
                       const cluster::ShardOwnership& ownership,
                       Delegate& delegate,
                       WorkerPoolOptions options)
    : port_(port),
      clock_(clock),
      ownership_(ownership),
      delegate_(delegate),
      options_(options) {}

WorkerPool::~WorkerPool() = default;

void WorkerPool::SetWorkers(const std::vector<WorkerEntry>& workers,
                            TimePoint now) {
  for (auto& [id, member] : members_)
    member->listed = false;
  for (const WorkerEntry& entry : workers) {
    std::unique_ptr<Member>& member = members_[entry.worker.id];
    if (member == nullptr)
      member = std::make_unique<Member>(*this, entry, now);
    // A replaced VM gets a new session once the old one is lost.
    const WorkerAddress& known = member->session.address();
    member->listed =
        known.host == entry.address.host && known.port == entry.address.port;
  }
}

void WorkerPool::Tick(bool hold_reports, TimePoint now) {
  for (auto it = members_.begin(); it != members_.end();) {
    Member& member = *it->second;
    member.session.HoldReports(hold_reports);
    member.session.Tick(now);
    if (!member.listed && member.session.lost()) {
      it = members_.erase(it);
      continue;
    }
    if (member.session.up() && ownership_.MayAct(now))
      StopUnaccounted(member, now);
    ++it;
  }
}

void WorkerPool::SyncSoon() {
  for (auto& [id, member] : members_)
    member->session.SyncSoon();
}

void WorkerPool::Release(const GangKey& gang,
                         const WorkerId& worker,
                         TimePoint now) {
  auto it = members_.find(worker);
  if (it != members_.end() && it->second->session.up())
    it->second->releases.emplace(gang, now);
}

WorkerSession* WorkerPool::FindSession(const WorkerId& worker) {
  auto it = members_.find(worker);
  return it == members_.end() ? nullptr : &it->second->session;
}

const scheduling::Worker* WorkerPool::FindWorker(const WorkerId& worker) const {
  auto it = members_.find(worker);
  return it == members_.end() ? nullptr : &it->second->worker;
}

bool WorkerPool::HeldAtStart(const GangKey& gang,
                             const WorkerId& worker) const {
  auto it = members_.find(worker);
  return it != members_.end() && it->second->session.up() &&
         it->second->held.contains(gang);
}

bool WorkerPool::HoldsUnaccounted(const WorkerId& worker) const {
  auto it = members_.find(worker);
  return it != members_.end() && !it->second->unaccounted.empty();
}

bool WorkerPool::AllUpAndClean() const {
  return std::all_of(members_.begin(), members_.end(), [](const auto& item) {
    const Member& member = *item.second;
    return !member.listed ||
           (member.session.up() && member.unaccounted.empty());
  });
}

std::vector<scheduling::Worker> WorkerPool::ListedWorkers() const {
  std::vector<scheduling::Worker> workers;
  for (const auto& [id, member] : members_) {
    if (member->listed)
      workers.push_back(member->worker);
  }
  return workers;
}

void WorkerPool::OnUp(Member& member, const std::vector<GangKey>& held) {
  member.held = {held.begin(), held.end()};
  member.unaccounted.clear();
  member.releases.clear();
  for (const GangKey& gang : held) {
    if (!delegate_.Accounts(gang, member.worker.id))
      member.unaccounted.emplace(gang, TimePoint());
  }
  if (member.unaccounted.empty())
    delegate_.OnWorkerUsable(member.worker);
  else
    StopUnaccounted(member, clock_.Now());
}

void WorkerPool::OnDown(Member& member) {
  member.held.clear();
  member.unaccounted.clear();
  member.releases.clear();
  delegate_.OnWorkerDown(member.worker.id);
}

void WorkerPool::StopUnaccounted(Member& member, TimePoint now) {
  for (auto* gangs : {&member.unaccounted, &member.releases}) {
    for (auto& [gang, next_try] : *gangs) {
      if (now < next_try)
        continue;
      next_try = now + options_.stop_retry;
      GangRequest request{.region = ownership_.region(),
                          .epoch = ownership_.epoch(),
                          .gang = gang,
                          .action = GangAction::kStop};
      port_.Act(member.session.address(), request,
                [this, worker = member.worker.id, key = gang,
                 alive = std::weak_ptr(alive_)](const absl::Status& status) {
                  if (!alive.expired())
                    OnUnaccountedStopped(worker, key, status);
                });
    }
  }
}

void WorkerPool::OnUnaccountedStopped(const WorkerId& worker,
                                      const GangKey& gang,
                                      const absl::Status& status) {
  auto it = members_.find(worker);
  if (it == members_.end())
    return;
  if (absl::IsFailedPrecondition(status)) {
    delegate_.OnFenced(worker);
    return;
  }
  if (!status.ok())
    return;
  Member& member = *it->second;
  member.releases.erase(gang);
  if (member.unaccounted.erase(gang) == 0 || !member.unaccounted.empty())
    return;
  LOG(INFO) << "worker " << worker << " holds no unaccounted gang any more";
  delegate_.OnWorkerUsable(member.worker);
}

}  // namespace quetzalshelf::jobs
