// List of VMs over HTTP.

#ifndef DRIVERS_PLATFORM_HTTP_VM_LIST_H_
#define DRIVERS_PLATFORM_HTTP_VM_LIST_H_

#include "core/platform/vm_list.h"
#include "drivers/http/http_caller.h"
#include "drivers/platform/platform_address.h"

namespace quetzalshelf {

// `GET /vms`.
class HttpVmList : public VmList {
 public:
  // `caller` must outlive the list.
  HttpVmList(HttpCaller& caller, PlatformAddress address);

  void List(ListCallback done) override;

 private:
  HttpCaller& caller_;
  const PlatformAddress address_;
};

}  // namespace quetzalshelf

#endif  // DRIVERS_PLATFORM_HTTP_VM_LIST_H_
