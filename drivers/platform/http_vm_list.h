// List of VMs over HTTP.

#ifndef DRIVERS_PLATFORM_HTTP_VM_LIST_H_
#define DRIVERS_PLATFORM_HTTP_VM_LIST_H_

#include <memory>
#include <string>
#include <vector>

#include "core/platform/vm_list.h"
#include "drivers/http/http_caller.h"
#include "drivers/platform/platform_address.h"

namespace quetzalshelf {

// `GET /vms` with the entity tag of the last answer; a list that has not
// changed is not sent again.
class HttpVmList : public VmList {
 public:
  // `caller` must outlive the list.
  HttpVmList(HttpCaller& caller, PlatformAddress address);

  void List(ListCallback done) override;

 private:
  // The last answer, shared with calls in progress.
  struct Cache {
    std::string tag;
    std::vector<Vm> vms;
  };

  HttpCaller& caller_;
  const PlatformAddress address_;
  std::shared_ptr<Cache> cache_ = std::make_shared<Cache>();
};

}  // namespace quetzalshelf

#endif  // DRIVERS_PLATFORM_HTTP_VM_LIST_H_
