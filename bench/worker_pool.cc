#include "bench/worker_pool.h"

#include <algorithm>

namespace quetzalshelf::bench {

WorkerPool::WorkerPool(const Trace& trace)
    : trace_(trace), workers_(trace.workers.size()) {
  for (size_t n = 0; n < workers_.size(); ++n) {
    index_[trace.workers[n].id] = n;
    workers_[n].free = trace.workers[n].capacity;
  }
}

bool WorkerPool::TakeDown(size_t worker, Cause cause) {
  State& state = workers_[worker];
  const bool was_up = state.causes.empty();
  state.causes.insert(cause);
  state.absence += was_up ? 1 : 0;
  return was_up;
}

bool WorkerPool::BringUp(size_t worker, Cause cause) {
  State& state = workers_[worker];
  return state.causes.erase(cause) > 0 && state.causes.empty();
}

void WorkerPool::Clear(size_t worker) {
  State& state = workers_[worker];
  state.told_lost = false;
  state.free = trace_.workers[worker].capacity;
  state.gangs.clear();
}

void WorkerPool::SetOut(const DomainId& domain, bool out) {
  if (out) {
    out_.insert(domain);
  } else {
    out_.erase(domain);
  }
}

std::vector<size_t> WorkerPool::Indices(
    const scheduling::Placement& placement) const {
  std::vector<size_t> out;
  for (const WorkerId& it : placement) {
    if (const auto found = index_.find(it); found != index_.end()) {
      out.push_back(found->second);
    }
  }
  return out;
}

void WorkerPool::Hold(size_t gang,
                      const std::vector<size_t>& placement,
                      const Resources& per_task) {
  for (size_t it : placement) {
    workers_[it].free -= per_task;
    workers_[it].gangs.insert(gang);
  }
}

void WorkerPool::Release(size_t gang,
                         const std::vector<size_t>& placement,
                         const Resources& per_task) {
  std::set<size_t> held;
  for (size_t it : placement) {
    // A worker that has returned meanwhile no longer holds the tasks.
    if (workers_[it].gangs.contains(gang)) {
      workers_[it].free += per_task;
      held.insert(it);
    }
  }
  for (size_t it : held) {
    workers_[it].gangs.erase(gang);
  }
}

std::vector<size_t> WorkerPool::gangs(size_t worker) const {
  const std::set<size_t>& gangs = workers_[worker].gangs;
  return {gangs.begin(), gangs.end()};
}

bool WorkerPool::AllGone(size_t gang,
                         const std::vector<size_t>& placement) const {
  return std::all_of(placement.begin(), placement.end(), [&](size_t it) {
    return workers_[it].told_lost || !workers_[it].gangs.contains(gang);
  });
}

std::vector<FreeWorker> WorkerPool::FreeInService() const {
  std::vector<FreeWorker> out;
  for (size_t n = 0; n < workers_.size(); ++n) {
    if (!IsDown(n) && !IsOut(trace_.workers[n].domain)) {
      out.push_back({&trace_.workers[n], workers_[n].free});
    }
  }
  return out;
}

}  // namespace quetzalshelf::bench
