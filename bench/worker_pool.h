// The workers of a trace: what is free on them and why they are down.

#ifndef BENCH_WORKER_POOL_H_
#define BENCH_WORKER_POOL_H_

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

#include "bench/measures.h"
#include "bench/trace.h"

namespace quetzalshelf::bench {

// Workers are named by their index in the trace, gangs by that of their job.
class WorkerPool {
 public:
  // A worker is down while any cause holds.
  enum class Cause { kFailure, kDomain };

  // Stands for a worker of a gang that returned without the gang's task.
  static constexpr size_t kGone = SIZE_MAX;

  explicit WorkerPool(const Trace& trace);

  // Returns whether the worker went down by this call.
  bool TakeDown(size_t worker, Cause cause);
  // Returns whether the worker came up by this call.
  bool BringUp(size_t worker, Cause cause);
  bool IsDown(size_t worker) const { return !workers_[worker].causes.empty(); }
  // Counts the times that the worker went down.
  uint64_t absence(size_t worker) const { return workers_[worker].absence; }

  void SetToldLost(size_t worker) { workers_[worker].told_lost = true; }
  bool told_lost(size_t worker) const { return workers_[worker].told_lost; }
  // The worker is back without any of its former tasks.
  void Clear(size_t worker);

  void SetBad(size_t worker, bool bad) { workers_[worker].bad = bad; }
  bool IsBad(size_t worker) const {
    return worker != kGone && workers_[worker].bad;
  }
  void SetOut(const DomainId& domain, bool out);
  bool IsOut(const DomainId& domain) const { return out_.contains(domain); }

  // Workers without an index are left out.
  std::vector<size_t> Indices(const scheduling::Placement& placement) const;
  void Hold(size_t gang,
            const std::vector<size_t>& placement,
            const Resources& per_task);
  void Release(size_t gang,
               const std::vector<size_t>& placement,
               const Resources& per_task);
  // Gangs with a task on the worker.
  std::vector<size_t> gangs(size_t worker) const;
  // Whether the scheduler knows that every task of the gang is lost.
  bool AllGone(size_t gang, const std::vector<size_t>& placement) const;

  std::vector<FreeWorker> FreeInService() const;

 private:
  struct State {
    std::set<Cause> causes;
    uint64_t absence = 0;
    bool told_lost = false;
    bool bad = false;
    Resources free;
    std::set<size_t> gangs;
  };

  const Trace& trace_;
  std::unordered_map<WorkerId, size_t> index_;
  std::vector<State> workers_;
  std::set<DomainId> out_;
};

}  // namespace quetzalshelf::bench

#endif  // BENCH_WORKER_POOL_H_
