// Free capacity of the baseline scheduler, with first-fit placement.

#ifndef SERVERS_SCHEDULING_NAIVE_CAPACITY_H_
#define SERVERS_SCHEDULING_NAIVE_CAPACITY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "servers/scheduling/types.h"

namespace quetzalshelf::scheduling {

class NaiveCapacity {
 public:
  // Stands for a worker that was lost while a task was placed on it.
  static constexpr size_t kLostWorker = SIZE_MAX;

  // One worker index per task.
  using Slots = std::vector<size_t>;

  // Returns false when the worker is known and up already.
  bool Add(const Worker& worker);
  // Returns the index of the worker, or nothing when it is not up.
  std::optional<size_t> Lose(const WorkerId& worker);
  void SetInService(const DomainId& domain, bool in_service);

  std::optional<size_t> Find(const WorkerId& worker) const;
  const Worker& worker(size_t index) const { return workers_[index].worker; }
  bool IsUp(size_t index) const { return workers_[index].up; }
  bool InService(size_t index) const;

  // Whether all workers together could hold the gang when empty.
  bool FitsEmpty(const Shape& gang) const;
  // The first workers that hold the gang, without those to avoid.
  std::optional<Slots> Place(const Shape& gang,
                             const std::set<size_t>& avoid) const;
  void Hold(const Slots& slots, const Resources& per_task);
  void Release(const Slots& slots, const Resources& per_task);

  Accelerators FreeInService() const;

 private:
  struct State {
    Worker worker;
    Resources free;
    bool up = false;
  };
  using Group = std::vector<size_t>;

  const std::vector<Group>& Groups(Adjacency adjacency) const;
  Slots PlaceIn(const Group& group,
                const Shape& gang,
                const std::set<size_t>& avoid) const;

  std::vector<State> workers_;
  std::unordered_map<WorkerId, size_t> index_;
  std::set<DomainId> out_domains_;
  // Built when first needed after a worker was added.
  mutable std::map<Adjacency, std::vector<Group>> groups_;
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_NAIVE_CAPACITY_H_
