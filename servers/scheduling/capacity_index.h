// Finds workers for a gang without visiting all of them. Workers are kept in
// buckets by available accelerators per failure domain, and racks and domains
// in order of their sums.

#ifndef SERVERS_SCHEDULING_CAPACITY_INDEX_H_
#define SERVERS_SCHEDULING_CAPACITY_INDEX_H_

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/units.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::scheduling {

using WorkerIndex = uint32_t;
using GroupIndex = uint32_t;

// A number of tasks of one gang on one worker.
struct Slot {
  WorkerIndex worker = 0;
  int tasks = 0;
};
using Slots = std::vector<Slot>;

// How many tasks of the given size fit, at most `limit`.
int TasksIn(const Resources& available, const Resources& per_task, int limit);

// Chooses among workers that fit equally well; lower is better.
class WorkerPreference {
 public:
  virtual ~WorkerPreference() = default;
  virtual int64_t Penalty(WorkerIndex worker, int tasks) const = 0;
};

class CapacityIndex {
 public:
  // Declares a worker, or moves it, with nothing available. Workers, racks and
  // domains are dense numbers; a rack belongs to one domain.
  void AddWorker(WorkerIndex worker, GroupIndex rack, GroupIndex domain);
  // Nothing can be placed on a worker whose `available` has a negative amount.
  void SetAvailable(WorkerIndex worker, const Resources& available);
  const Resources& available(WorkerIndex worker) const {
    return workers_[worker].available;
  }
  size_t size() const { return workers_.size(); }

  // Places the whole shape with its adjacency in the smallest group that can
  // hold it, or nothing. `excluded` is a short list.
  std::optional<Slots> Find(const Shape& shape,
                            const std::vector<WorkerIndex>& excluded,
                            const WorkerPreference* preference = nullptr) const;
  // Up to `limit` alternatives in different racks or domains.
  std::vector<Slots> FindSeveral(const Shape& shape,
                                 const std::vector<WorkerIndex>& excluded,
                                 size_t limit) const;

 private:
  static constexpr int64_t kMaxLevel = 64;  // More accelerators count as 64.
  // Workers with the same number of free accelerators that a preference sees.
  static constexpr size_t kMaxPreferred = 16;

  struct Entry {
    Resources available;
    GroupIndex rack = 0;
    GroupIndex domain = 0;
    uint32_t position = 0;  // In its bucket.
    bool listed = false;
  };
  struct Group {
    int64_t accelerators = 0;
    std::vector<WorkerIndex> workers;
    GroupIndex domain = 0;
  };
  struct Domain {
    int64_t accelerators = 0;
    // By level; the last one holds all workers with more.
    std::vector<std::vector<WorkerIndex>> buckets;
  };
  struct Request;
  using Order = std::set<std::pair<int64_t, GroupIndex>>;

  static size_t Level(const Resources& available);
  void Unlist(WorkerIndex worker);
  void List(WorkerIndex worker);
  void AddTo(Entry& entry, int64_t accelerators);

  std::optional<Slots> FindOnWorker(const Request& request) const;
  std::optional<Slots> FindInRack(const Request& request,
                                  GroupIndex rack) const;
  std::optional<Slots> FindInDomains(const Request& request,
                                     const std::vector<GroupIndex>& in) const;

  std::vector<Entry> workers_;
  std::vector<Group> racks_;
  std::vector<Domain> domains_;
  Order rack_order_;
  Order domain_order_;
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_CAPACITY_INDEX_H_
