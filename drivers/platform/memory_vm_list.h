// List of VMs in memory, with a lag.

#ifndef DRIVERS_PLATFORM_MEMORY_VM_LIST_H_
#define DRIVERS_PLATFORM_MEMORY_VM_LIST_H_

#include <map>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include "core/platform/vm_list.h"
#include "core/task_runner.h"
#include "core/time.h"

namespace quetzalshelf {

// `lag` is the time from a change to its appearance in the list, for changes
// made from now on.
struct VmListFaults {
  bool down = false;
  Duration slow{0};
  Duration lag{0};
};

// Changes show up in List after the lag, in their order. Not thread-safe.
class MemoryVmList : public VmList {
 public:
  // `runner` and `clock` share one time.
  MemoryVmList(TaskRunner& runner, const Clock& clock);
  ~MemoryVmList() override;

  void List(ListCallback done) override;

  // Adds a VM or replaces the one of that name.
  void Put(const Vm& vm);
  // Errors: kNotFound.
  absl::Status SetState(const std::string& name, VmState state);
  absl::Status Remove(const std::string& name);

  VmListFaults& faults();

 private:
  struct State;

  std::shared_ptr<State> state_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_PLATFORM_MEMORY_VM_LIST_H_
