// What the guarantees of one workspace still cover, by shapes alone and
// without regard to where any scheduler holds them.

#ifndef BENCH_GUARANTEE_BOOK_H_
#define BENCH_GUARANTEE_BOOK_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "servers/scheduling/types.h"

namespace quetzalshelf::bench {

// Part of a guaranteed shape that tasks occupy.
struct GuaranteeUse {
  size_t block = 0;
  size_t slice = 0;
  int tasks = 0;
};

// One guaranteed shape as slices, one per task of the shape.
struct GuaranteeBlock {
  scheduling::Adjacency adjacency = scheduling::Adjacency::kRegion;
  Resources per_slice;
  std::vector<Resources> free;

  int64_t FreeAccelerators() const;
};

class GuaranteeBook {
 public:
  GuaranteeBook() = default;
  explicit GuaranteeBook(const scheduling::Workspace& workspace);

  // Whether the gang fits in what no guaranteed gang of the workspace uses.
  bool Covers(const scheduling::Shape& gang);
  // Charges a running gang, given the worker of each task that is left. Returns
  // false, and charges nothing, when the sum of the guarantees is used up.
  bool Charge(const JobId& job,
              const scheduling::Shape& gang,
              std::vector<const scheduling::Worker*> workers);
  void Release(const JobId& job);

  bool IsCharged(const JobId& job) const;

  const std::vector<GuaranteeBlock>& blocks();

 private:
  struct Charged {
    Resources per_task;
    Resources total;
    std::vector<const scheduling::Worker*> workers;
  };
  // A charged task that no slice has been found for yet.
  struct Task {
    Resources resources;
    const scheduling::Worker* worker = nullptr;
  };

  // The accelerators of the tasks.
  static Accelerators Use(const std::vector<Task>& tasks);
  // Finds slices for all charged tasks: the tasks in a slice are on one worker,
  // those in a block are adjacent as the block demands.
  void Map();
  static std::vector<Resources> Fill(const GuaranteeBlock& block,
                                     const std::string& group,
                                     std::vector<Task>& tasks);
  std::vector<GuaranteeUse> Find(const scheduling::Shape& gang) const;
  std::vector<GuaranteeUse> FindInBlock(size_t block,
                                        const scheduling::Shape& gang) const;
  std::vector<GuaranteeUse> FindAcross(const scheduling::Shape& gang) const;

  std::vector<GuaranteeBlock> blocks_;
  Resources unused_;  // Sum of all slices less what is charged.
  std::map<JobId, Charged> charged_;
  bool mapped_ = true;
};

// Whether empty space on the workers holds all free slices of the blocks, each
// block with its adjacency. Greedy, largest first: true is proven, false may
// be wrong. `workers` carry the space as their capacity.
bool CanHold(std::vector<GuaranteeBlock> blocks,
             std::vector<scheduling::Worker> workers);

// Tasks of a size that fit in `free`.
int TasksIn(const Resources& per_task, const Resources& free);

}  // namespace quetzalshelf::bench

#endif  // BENCH_GUARANTEE_BOOK_H_
