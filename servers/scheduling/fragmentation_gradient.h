// Prefers the worker whose use adds least to the free accelerators that the
// waiting gangs cannot use.

#ifndef SERVERS_SCHEDULING_FRAGMENTATION_GRADIENT_H_
#define SERVERS_SCHEDULING_FRAGMENTATION_GRADIENT_H_

#include <vector>

#include "servers/scheduling/capacity_index.h"

namespace quetzalshelf::scheduling {

class FragmentationGradient : public WorkerPreference {
 public:
  // `gang` is the one to be placed; `waiting` are the shapes that wait.
  FragmentationGradient(const CapacityIndex& index,
                        const Shape& gang,
                        const std::vector<Shape>& waiting)
      : index_(index), gang_(gang), waiting_(waiting) {}

  int64_t Penalty(WorkerIndex worker, int tasks) const override;

 private:
  // Sum over the waiting shapes of the accelerators they cannot use.
  int64_t Unusable(const Resources& available) const;

  const CapacityIndex& index_;
  const Shape& gang_;
  const std::vector<Shape>& waiting_;
};

}  // namespace quetzalshelf::scheduling

#endif  // SERVERS_SCHEDULING_FRAGMENTATION_GRADIENT_H_
