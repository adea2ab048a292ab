// Interface to the platform's list of VMs. The list lags behind the truth.

#ifndef CORE_PLATFORM_VM_LIST_H_
#define CORE_PLATFORM_VM_LIST_H_

#include <functional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "core/ids.h"
#include "core/units.h"

namespace quetzalshelf {

enum class VmRole { kEntry, kWorker, kBackend };
enum class VmState { kLive, kLeaving };

// One VM. `capacity` and `rack` are set for workers, `slots` for backend
// servers.
struct Vm {
  std::string name;
  std::string host;
  int port = 0;
  VmRole role = VmRole::kEntry;
  VmState state = VmState::kLive;
  RegionId region;
  DomainId domain;
  RackId rack;
  Resources capacity;
  int slots = 0;
};

class VmList {
 public:
  using ListCallback = std::function<void(absl::StatusOr<std::vector<Vm>>)>;

  virtual ~VmList() = default;

  // Errors: kUnavailable, kDeadlineExceeded.
  virtual void List(ListCallback done) = 0;
};

}  // namespace quetzalshelf

#endif  // CORE_PLATFORM_VM_LIST_H_
