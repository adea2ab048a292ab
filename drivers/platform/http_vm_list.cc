#include "drivers/platform/http_vm_list.h"

#include <utility>

#include "drivers/platform/platform_call.h"
#include "drivers/platform/platform_codec.h"

namespace quetzalshelf {

HttpVmList::HttpVmList(HttpCaller& caller, PlatformAddress address)
    : caller_(caller), address_(std::move(address)) {}

void HttpVmList::List(ListCallback done) {
  caller_.Call(
      MakePlatformCall(address_, "GET", "/vms"),
      [done = std::move(done)](const absl::StatusOr<HttpResponse>& reply) {
        done(DecodeReply<std::vector<Vm>>(reply, &DecodeVms));
      });
}

}  // namespace quetzalshelf
