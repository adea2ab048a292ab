// Follows the platform's list of VMs.

#ifndef MAIN_DAEMON_VM_WATCH_H_
#define MAIN_DAEMON_VM_WATCH_H_

#include <functional>
#include <memory>
#include <vector>

#include "core/platform/vm_list.h"
#include "core/time.h"

namespace quetzalshelf {

// Single-threaded. A list that cannot be read leaves the last one in force.
class VmWatch {
 public:
  using ListCallback = std::function<void(const std::vector<Vm>&)>;

  // `list` must outlive the watch. `on_list` runs in a callback of the list.
  VmWatch(VmList& list, Duration period, ListCallback on_list);

  // Reads the list when the period has passed.
  void Tick(TimePoint now);
  // Whether the list has been read at least once.
  bool loaded() const { return loaded_; }

 private:
  VmList& list_;
  const Duration period_;
  const ListCallback on_list_;
  bool in_flight_ = false;
  bool loaded_ = false;
  TimePoint next_read_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quetzalshelf

#endif  // MAIN_DAEMON_VM_WATCH_H_
