#include "main/daemon/vm_watch.h"

#include <utility>

#include "core/logging.h"

namespace quetzalshelf {

VmWatch::VmWatch(VmList& list, Duration period, ListCallback on_list)
    : list_(list), period_(period), on_list_(std::move(on_list)) {}

void VmWatch::Tick(TimePoint now) {
  if (in_flight_ || now < next_read_)
    return;
  in_flight_ = true;
  next_read_ = now + period_;
  list_.List([this, alive = std::weak_ptr<bool>(alive_)](
                 absl::StatusOr<std::vector<Vm>> vms) {
    if (alive.expired())
      return;
    in_flight_ = false;
    if (!vms.ok()) {
      LOG(WARNING) << "list of VMs: " << vms.status().message();
      return;
    }
    loaded_ = true;
    on_list_(*vms);
  });
}

}  // namespace quetzalshelf
